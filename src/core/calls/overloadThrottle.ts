/**
 * Refusal of calls by the node that receives them from their callers, once the admission controls
 * of the upstreams refuse many calls of the same class and service. Forwarding a call that is
 * refused there costs several hops, delays the response to its caller, and on a busy node takes
 * processor time from calls that could be served. The calls of lowest rank are refused, which the
 * admission controls would refuse too.
 */

/** Outcome of a forwarded call at an admission control; refused means for lack of capacity. */
export type AdmissionOutcome = 'admitted' | 'refused';

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
}

export interface OverloadThrottle {
  readonly commands: {
    /** Decides on a call before its first attempt. Returns false to refuse it. */
    admit(call: ThrottledCall, now: number): boolean;
    /** Records the outcome of a forwarded call; `retryAfterMs` is from its refusal. */
    recordSent(
      call: ThrottledCall,
      outcome: AdmissionOutcome,
      now: number,
      retryAfterMs?: number,
    ): void;
  };
  readonly queries: {
    /** Share of calls, those of lowest rank, that are currently refused. */
    refusalShare(group: CallGroup, now: number): number;
    /** Average retry delay requested in refusals, in ms; undefined if none requested one. */
    retryAfterMs(group: CallGroup): number | undefined;
  };
}

/** Time constant of the counts in ms: about the time in which overload sets in or subsides. */
const timeConstantMs = 1_000;
/**
 * Calls forwarded for each admitted one. A value above 1 keeps the admission controls busy and
 * detects free capacity.
 */
const sentPerAdmitted = 1.1;
/**
 * Number of consecutive admitted calls that raises `sentPerAdmitted` by 1. The increase is
 * quadratic in their number: with a linear one, it took 4 s and more after an outage until all
 * calls were forwarded again.
 */
const streakPerGrowth = 6;
/**
 * Time without a refusal after which such a streak counts, in ms. Under steady overload, short
 * streaks occur by chance; when they counted immediately, a quarter of the calls was forwarded only
 * to be refused.
 */
const minRefusalFreeMs = 500;
/** Upper bound of the refused share: at least a tenth of the calls is forwarded as probes. */
const maxRefusedShare = 0.9;
/**
 * Minimum number of probes in a period of `timeConstantMs`, so that nodes with few calls detect
 * free capacity too.
 */
const minProbes = 3;
/** Number of calls below which none is refused: a few refusals say nothing about the load. */
const minCalls = 5;
/** Weight of the latest refusal in the average of the requested retry delays. */
const retryAfterWeight = 0.2;
/** Maximum number of groups kept. */
const maxGroups = 4_096;

interface GroupState {
  /** Calls that were forwarded or refused by this node; decays exponentially. */
  calls: number;
  /** Those of `calls` that an admission control admitted; decays likewise. */
  admitted: number;
  countedAt: number;
  /** Admitted calls since the last one that an admission control refused. */
  streak: number;
  /** Time of the last refusal by an admission control. */
  refusedAt: number;
  retryAfterMs: number | undefined;
}

/** Creates the throttle of one node. */
export const createOverloadThrottle = (): OverloadThrottle => {
  const states = new Map<string, GroupState>();

  // Names of classes, services and callers contain no spaces, so the key is unambiguous.
  const keyOf = ({ className, service, caller }: CallGroup): string =>
    `${className} ${service} ${caller}`;

  const createState = (key: string, now: number): GroupState => {
    const state = {
      calls: 0,
      admitted: 0,
      countedAt: now,
      streak: 0,
      refusedAt: now,
      retryAfterMs: undefined,
    };
    states.set(key, state);
    if (states.size > maxGroups) {
      states.delete(states.keys().next().value!);
    }
    return state;
  };

  const decay = (state: GroupState, now: number): void => {
    const kept = Math.exp(-Math.max(0, now - state.countedAt) / timeConstantMs);
    state.calls *= kept;
    state.admitted *= kept;
    state.countedAt = now;
  };

  const refusalShareOf = (
    { calls, admitted, streak, refusedAt }: GroupState,
    now: number,
  ): number => {
    if (calls < minCalls) {
      return 0;
    }
    const sentGrowth = now - refusedAt > minRefusalFreeMs ? (streak / streakPerGrowth) ** 2 : 0;
    const allowed = (sentPerAdmitted + sentGrowth) * admitted;
    return Math.max(0, Math.min(maxRefusedShare, 1 - allowed / calls, 1 - minProbes / calls));
  };

  return {
    commands: {
      admit: (call, now) => {
        const state = states.get(keyOf(call));
        if (!state) {
          return true;
        }
        decay(state, now);
        if (call.rank >= refusalShareOf(state, now)) {
          return true;
        }
        state.calls += 1;
        return false;
      },
      recordSent: (call, outcome, now, retryAfterMs) => {
        const key = keyOf(call);
        const state = states.get(key) ?? createState(key, now);
        decay(state, now);
        state.calls += 1;
        if (outcome === 'admitted') {
          state.admitted += 1;
          state.streak += 1;
          return;
        }
        state.streak = 0;
        state.refusedAt = now;
        if (retryAfterMs !== undefined) {
          const average = state.retryAfterMs ?? retryAfterMs;
          state.retryAfterMs = average + retryAfterWeight * (retryAfterMs - average);
        }
      },
    },
    queries: {
      refusalShare: (group, now) => {
        const state = states.get(keyOf(group));
        if (!state) {
          return 0;
        }
        decay(state, now);
        return refusalShareOf(state, now);
      },
      retryAfterMs: (group) => states.get(keyOf(group))?.retryAfterMs,
    },
  };
};
