/**
 * What a node learns about the nested calls of the classes that it accepts, from the figures in
 * responses, and the share of the calls that it forwards because of them. The share follows the
 * wait of the nested calls at the scarcest service: it falls before any of them is refused, and rises
 * while they wait so little that capacity may be free. Calls of least rank are refused first, so
 * that all nodes refuse the same ones.
 */
import type { NestedShortage } from '../../types/calls.js';
import { maxShortageAgeMs } from './nestedShortage.js';

/** Calls that are decided on together, whoever sends them. */
export interface ProfiledGroup {
  readonly className: string;
  readonly service: string;
  /** Importance from 1 to 100. */
  readonly priority?: number;
}

export interface CallProfile {
  readonly commands: {
    /** Records the figures of a response; without any, the class made no recent nested calls. */
    record(group: ProfiledGroup, shortage: NestedShortage | undefined, now: number): void;
  };
  readonly queries: {
    /** Share of the calls, those of highest rank, that are forwarded. */
    forwardedShare(group: ProfiledGroup, now: number): number;
    /** Service that limits the share; undefined if none does. */
    scarcestService(group: ProfiledGroup, now: number): string | undefined;
    /** Time until a call of this rank is expected to be forwarded, in ms. */
    retryAfterMs(group: ProfiledGroup, rank: number, now: number): number;
  };
}

/**
 * Wait of nested calls, as a share of their limit, that the forwarded calls are adjusted to. With
 * it the slots of the called service are nearly always in use, and few calls wait to the limit.
 */
const targetWaitShare = 0.5;
/** Change of the share per second while nested calls do not wait, and while all are refused. */
const growthPerSecond = 0.2;
const decreasePerSecond = 0.4;
/** Decrease of the share per second for each refused nested call in the average run. */
const decreasePerRefusal = 5;
/**
 * Immediate change of the forwarded share by the distance of the wait from its target, on top of the
 * steps. With steps alone, the share of `bestelhistorie` swung between 0.34 and 0.57 in 5 s.
 */
const immediateGain = 0.2;
/** Time after a wait above the target in which growth comes back to its full speed, in ms. */
const growthHoldMs = 2_000;
const minGrowthShare = 0.1;
/** A class keeps at least this share of its calls. */
export const minForwardedShare = 0.3;
/** Lead that a less important class of the same service may have: half of what counts as one. */
const maxLead = 0.025;
/** Shortest retry delay, the same as for refusals without a queue, in ms. */
const minRetryAfterMs = 500;
/** Weight of the latest figures, which the nodes beside the upstreams have averaged already. */
const figureWeight = 0.6;
/** Longest time that one response changes the share for, in ms. */
const maxStepMs = 500;
/** Bounds of what is kept. */
const maxServices = 256;
const maxClassesOfService = 64;

interface ServiceFigures {
  waitShare: number;
  refusedPerRun: number;
  at: number;
}

interface GroupState {
  priority: number;
  share: number;
  steppedAt: number;
  /** Time at which the wait was last above its target. */
  scarceAt: number;
  readonly services: Map<string, ServiceFigures>;
}

const isFresh = ({ at }: ServiceFigures, now: number): boolean => now - at <= maxShortageAgeMs;

/** Creates the profile of one node. */
export const createCallProfile = (): CallProfile => {
  /** States by service and class. */
  const states = new Map<string, Map<string, GroupState>>();

  const stateOf = ({ service, className }: ProfiledGroup): GroupState | undefined =>
    states.get(service)?.get(className);

  const createState = ({ service, className }: ProfiledGroup, now: number): GroupState => {
    if (!states.has(service) && states.size >= maxServices) {
      states.delete(states.keys().next().value!);
    }
    const classes = states.get(service) ?? new Map<string, GroupState>();
    if (classes.size >= maxClassesOfService) {
      classes.delete(classes.keys().next().value!);
    }
    const state: GroupState = {
      priority: 0,
      share: 1,
      steppedAt: now,
      scarceAt: -Infinity,
      services: new Map(),
    };
    classes.set(className, state);
    states.set(service, classes);
    return state;
  };

  const freshServices = ({ services }: GroupState, now: number): [string, ServiceFigures][] =>
    [...services].filter(([, figures]) => isFresh(figures, now));

  const scarcestOf = (state: GroupState, now: number): [string, ServiceFigures] | undefined =>
    freshServices(state, now).sort(([, a], [, b]) => b.waitShare - a.waitShare)[0];

  const changePerSecond = (
    { waitShare, refusedPerRun }: ServiceFigures,
    sinceScarceMs: number,
  ): number => {
    const growth =
      growthPerSecond * Math.max(minGrowthShare, Math.min(1, sinceScarceMs / growthHoldMs));
    const change =
      waitShare > targetWaitShare
        ? (-decreasePerSecond * (waitShare - targetWaitShare)) / (1 - targetWaitShare)
        : (growth * (targetWaitShare - waitShare)) / targetWaitShare;
    return Math.max(-decreasePerSecond, change - decreasePerRefusal * refusedPerRun);
  };

  const step = (state: GroupState, now: number) => {
    const [, figures] = scarcestOf(state, now) ?? [];
    if (figures && figures.waitShare > targetWaitShare) {
      state.scarceAt = now;
    }
    const change = figures ? changePerSecond(figures, now - state.scarceAt) : growthPerSecond;
    const elapsedMs = Math.min(maxStepMs, now - state.steppedAt);
    const share = state.share + (change * elapsedMs) / 1_000;
    state.share = Math.max(minForwardedShare, Math.min(1, share));
    state.steppedAt = now;
  };

  const record: CallProfile['commands']['record'] = (group, shortage, now) => {
    const knownState = stateOf(group);
    if (!knownState && !shortage) {
      return;
    }
    const state = knownState ?? createState(group, now);
    state.priority = group.priority ?? state.priority;
    if (shortage) {
      const { service, waitShare, refusedShare, callsPerRun } = shortage;
      const known = state.services.get(service);
      const kept = known && isFresh(known, now) ? 1 - figureWeight : 0;
      const average = (before: number | undefined, value: number): number =>
        value + kept * ((before ?? value) - value);
      state.services.set(service, {
        waitShare: average(known?.waitShare, waitShare),
        refusedPerRun: average(known?.refusedPerRun, refusedShare * callsPerRun),
        at: now,
      });
    }
    step(state, now);
    state.services.forEach((figures, service) => {
      if (!isFresh(figures, now)) {
        state.services.delete(service);
      }
    });
  };

  const ownShare = (state: GroupState | undefined, now: number): number => {
    const scarcest = state && scarcestOf(state, now);
    if (!scarcest) {
      return 1;
    }
    const [, { waitShare }] = scarcest;
    const share = state.share + immediateGain * (targetWaitShare - waitShare);
    return Math.max(minForwardedShare, Math.min(1, share));
  };

  /** A less important class of the same service is not served better because of the refusals. */
  const forwardedShare = (group: ProfiledGroup, now: number): number => {
    const { priority = 0 } = group;
    const moreImportant = [...(states.get(group.service)?.values() ?? [])].filter(
      (state) => state.priority > priority,
    );
    return Math.min(
      ownShare(stateOf(group), now),
      ...moreImportant.map((state) => ownShare(state, now) + maxLead),
    );
  };

  return {
    commands: { record },
    queries: {
      forwardedShare,
      scarcestService: (group, now) => {
        const state = stateOf(group);
        return ownShare(state, now) < 1 ? scarcestOf(state!, now)?.[0] : undefined;
      },
      retryAfterMs: (group, rank, now) => {
        const missingShare = Math.max(0, 1 - rank - forwardedShare(group, now));
        return Math.max(minRetryAfterMs, (1_000 * missingShare) / growthPerSecond);
      },
    },
  };
};
