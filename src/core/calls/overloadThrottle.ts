/**
 * Refusal of calls by the node that receives them from their callers, while calls of the same class
 * and service find no capacity: admission controls of the upstreams refuse them, or services that
 * they need for nested calls are short of capacity. Forwarding such a call costs several hops and
 * often slot time, delays the response to its caller, and on a busy node takes processor time from
 * calls that could be served. The calls of lowest rank are refused, which the admission controls of
 * all services would refuse too.
 */
import type { NestedShortage } from '../../types/calls.js';
import { createCallProfile, type ProfiledGroup } from './callProfile.js';
import { createRefusalController, type RefusalController } from './refusalController.js';

/**
 * Outcome of a forwarded call. `refused`: an admission control refused it for lack of capacity.
 * `starved`: it was admitted, but one of its nested calls was refused or delayed for lack of
 * capacity.
 */
export type AdmissionOutcome = 'admitted' | 'refused' | 'starved';

/**
 * Calls that are counted together. Each caller is counted separately, because admission controls
 * serve callers round-robin.
 */
export interface CallGroup {
  readonly className: string;
  readonly service: string;
  readonly caller: string;
}

export interface ThrottledCall extends CallGroup {
  /** See `callRank`. */
  readonly rank: number;
  /** Importance from 1 to 100. */
  readonly priority?: number;
}

export interface OverloadThrottleOptions {
  /**
   * Whether calls are refused by the capacity that the responses report for their nested calls.
   * Default: false, they are refused by the share of calls that were starved.
   */
  readonly wholeCall?: boolean;
}

export interface AdmissionShares {
  readonly slots: number;
  readonly nestedCalls: number;
}

export interface OverloadThrottle {
  readonly commands: {
    /**
     * Decides on a call before its first attempt. Returns false to refuse it. A free slot beside the
     * node is better evidence of capacity than refusals elsewhere, but says nothing about the
     * services that nested calls need.
     */
    admit(call: ThrottledCall, now: number, hasFreeSlot?: boolean): boolean;
    /** Records the outcome of a forwarded call; `retryAfterMs` is from its refusal. */
    recordSent(
      call: ThrottledCall,
      outcome: AdmissionOutcome,
      now: number,
      retryAfterMs?: number,
    ): void;
    /** Records what a response reports about nested calls; without effect unless `wholeCall`. */
    recordShortage(group: ProfiledGroup, shortage: NestedShortage | undefined, now: number): void;
  };
  readonly queries: {
    /** Share of calls, those of lowest rank, that are currently refused without a free slot. */
    refusalShare(group: CallGroup, now: number): number;
    /**
     * Shares by which `admit` decides: a call with a rank below one of them is refused, for lack of
     * slots or for lack of capacity for its nested calls.
     */
    admissionShares(group: CallGroup, now: number, hasFreeSlot?: boolean): AdmissionShares;
    /** Average retry delay requested in refusals, in ms; undefined if none requested one. */
    retryAfterMs(group: CallGroup): number | undefined;
    /** Share of calls, those of highest rank, that their nested calls leave; 1 unless `wholeCall`. */
    forwardedShare(group: ProfiledGroup, now: number): number;
    /** The service for whose lack of capacity the call is refused, and the retry delay in ms. */
    shortageOf(
      call: ThrottledCall,
      now: number,
    ): { readonly service: string | undefined; readonly retryAfterMs: number } | undefined;
  };
}

/** Calls forwarded for each that an admission control admits. */
const sentPerAdmitted = 1.07;
/** Calls forwarded for each that is not starved. */
const sentPerCompleted = 1.07;
/**
 * The same with a free slot beside the node: a starved call then takes no slot from others, but
 * still costs processor time in two services. With 1.07 and 1.5, capacity of the called service
 * stayed free.
 */
const sentPerCompletedWithSlot = 3;
/** Weight of the latest refusal in the average of the requested retry delays. */
const retryAfterWeight = 0.2;
/** Maximum number of groups kept. */
const maxGroups = 4_096;

interface GroupState {
  /** Follows the admission controls of the service. */
  readonly slots: RefusalController;
  /** Follows the nested calls of those that were admitted. */
  readonly nestedCalls: RefusalController;
  retryAfterMs: number | undefined;
}

type OutcomeHandler = (state: GroupState, now: number) => void;

const outcomeHandlers: Readonly<Record<AdmissionOutcome, OutcomeHandler>> = {
  admitted: ({ slots, nestedCalls }, now) => {
    slots.commands.recordOutcome(true, now);
    nestedCalls.commands.recordOutcome(true, now);
  },
  refused: ({ slots }, now) => slots.commands.recordOutcome(false, now),
  starved: ({ slots, nestedCalls }, now) => {
    slots.commands.recordOutcome(true, now);
    nestedCalls.commands.recordOutcome(false, now);
  },
};

/** Creates the throttle of one node. */
export const createOverloadThrottle = ({
  wholeCall = false,
}: OverloadThrottleOptions = {}): OverloadThrottle => {
  const profile = createCallProfile();
  const states = new Map<string, GroupState>();

  // Names of classes, services and callers contain no spaces, so the key is unambiguous.
  const keyOf = ({ className, service, caller }: CallGroup): string =>
    `${className} ${service} ${caller}`;

  const createState = (key: string, now: number): GroupState => {
    const state = {
      slots: createRefusalController(now),
      nestedCalls: createRefusalController(now),
      retryAfterMs: undefined,
    };
    states.set(key, state);
    if (states.size > maxGroups) {
      states.delete(states.keys().next().value!);
    }
    return state;
  };

  const forwardedShare = (group: ProfiledGroup, now: number): number =>
    wholeCall ? profile.queries.forwardedShare(group, now) : 1;

  const lacksNestedCapacity = (call: ThrottledCall, now: number): boolean =>
    call.rank < 1 - forwardedShare(call, now);

  /** Refusals for lack of slots concern only the calls that their nested calls leave. */
  const slotShareOf = (group: CallGroup, state: GroupState, now: number): number => {
    const forwarded = forwardedShare(group, now);
    return 1 - forwarded + forwarded * state.slots.queries.refusedShare(now, sentPerAdmitted);
  };

  const starvedShareOf = (state: GroupState, now: number, hasFreeSlot: boolean): number =>
    state.nestedCalls.queries.refusedShare(
      now,
      hasFreeSlot ? sentPerCompletedWithSlot : sentPerCompleted,
    );

  const sharesOf = (group: CallGroup, now: number, hasFreeSlot: boolean): AdmissionShares => {
    const state = states.get(keyOf(group));
    const starvedShare = state && !wholeCall ? starvedShareOf(state, now, hasFreeSlot) : 0;
    return {
      slots: state && !hasFreeSlot ? slotShareOf(group, state, now) : 0,
      nestedCalls: wholeCall ? 1 - forwardedShare(group, now) : starvedShare,
    };
  };

  return {
    commands: {
      admit: (call, now, hasFreeSlot = false) => {
        if (lacksNestedCapacity(call, now)) {
          return false;
        }
        const state = states.get(keyOf(call));
        if (!state) {
          return true;
        }
        const { nestedCalls, slots } = state;
        const shares = sharesOf(call, now, hasFreeSlot);
        const isStarving = !wholeCall && call.rank < shares.nestedCalls;
        const lacksSlots = call.rank < shares.slots;
        if (isStarving) {
          nestedCalls.commands.recordRefused(now);
        }
        if (lacksSlots) {
          slots.commands.recordRefused(now);
        }
        return !isStarving && !lacksSlots;
      },
      recordSent: (call, outcome, now, retryAfterMs) => {
        const key = keyOf(call);
        const state = states.get(key) ?? createState(key, now);
        outcomeHandlers[outcome](state, now);
        if (retryAfterMs !== undefined) {
          const average = state.retryAfterMs ?? retryAfterMs;
          state.retryAfterMs = average + retryAfterWeight * (retryAfterMs - average);
        }
      },
      recordShortage: (group, shortage, now) => {
        if (wholeCall) {
          profile.commands.record(group, shortage, now);
        }
      },
    },
    queries: {
      refusalShare: (group, now) => {
        const state = states.get(keyOf(group));
        return state
          ? Math.max(
              state.slots.queries.refusedShare(now, sentPerAdmitted),
              wholeCall ? 0 : state.nestedCalls.queries.refusedShare(now, sentPerCompleted),
            )
          : 0;
      },
      admissionShares: (group, now, hasFreeSlot = false) => sharesOf(group, now, hasFreeSlot),
      retryAfterMs: (group) => states.get(keyOf(group))?.retryAfterMs,
      forwardedShare,
      shortageOf: (call, now) =>
        lacksNestedCapacity(call, now)
          ? {
              service: profile.queries.scarcestService(call, now),
              retryAfterMs: profile.queries.retryAfterMs(call, call.rank, now),
            }
          : undefined,
    },
  };
};
