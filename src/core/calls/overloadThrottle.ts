/**
 * Refusal of calls by the node that takes them, once the nodes beside the upstreams refuse many calls
 * of the same class and service. Offering each call to gates that have no room costs several hops
 * and keeps its caller waiting, and on busy nodes takes the processor time of the calls that could be
 * served. The calls of lowest rank are refused: the gates would refuse the same ones.
 */

/** What became of a call that was sent on: admitted by a gate, or refused for lack of capacity. */
export type AdmissionOutcome = 'admitted' | 'refused';

/** Calls that are counted together: gates let callers take turns, so that each has a count of its own. */
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
    /** Decides about a call before its first attempt. Returns false if it is refused. */
    admit(call: ThrottledCall, now: number): boolean;
    /** Notes what became of a call that was sent on. `retryAfterMs` is what its refusal said. */
    recordSent(
      call: ThrottledCall,
      outcome: AdmissionOutcome,
      now: number,
      retryAfterMs?: number,
    ): void;
  };
  readonly queries: {
    /** Share of the calls, those of lowest rank, that are refused at the moment. */
    refusalShare(group: CallGroup, now: number): number;
    /** Time in ms after which gates asked callers to come back, on average, if they did. */
    retryAfterMs(group: CallGroup): number | undefined;
  };
}

/** Time constant of the counts in ms: about as long as overload takes to come and go. */
const memoryMs = 1_000;
/** Calls that are sent on for each that is admitted, so that gates stay busy and room is noticed. */
const sentPerAdmitted = 1.1;
/**
 * Admitted calls in a row that raise `sentPerAdmitted` by 1; it grows with their square. Linear growth
 * took 4 s and more after an outage until all calls were sent on again.
 */
const streakForOneMore = 6;
/**
 * Time without a refusal from which such a streak counts, in ms. Under steady overload short streaks
 * come by chance; counted at once, a quarter of the calls was sent in vain.
 */
const quietMs = 500;
/** A tenth of the calls is sent on whatever happened before, as probes, */
const maxRefusedShare = 0.9;
/** and at least so many in the time of `memoryMs`, so that nodes with few calls notice room as well. */
const minProbes = 3;
/** A few refusals say nothing about the load. */
const minCalls = 5;
/** Weight of a refusal in the average of the times after which callers should come back. */
const retryAfterWeight = 0.2;
/** Groups of calls that are remembered. */
const maxStates = 4_096;

interface State {
  /** Calls that ended or were refused here, and those of them that a gate admitted; they decay. */
  calls: number;
  admitted: number;
  countedAt: number;
  /** Admitted calls since the last one that was refused by a gate, and the time of that one. */
  streak: number;
  refusedAt: number;
  retryAfterMs: number | undefined;
}

/** Creates the throttle of one node. */
export const createOverloadThrottle = (): OverloadThrottle => {
  const states = new Map<string, State>();

  // Names have no spaces.
  const keyOf = ({ className, service, caller }: CallGroup): string =>
    `${className} ${service} ${caller}`;

  const createState = (key: string, now: number): State => {
    const state = {
      calls: 0,
      admitted: 0,
      countedAt: now,
      streak: 0,
      refusedAt: now,
      retryAfterMs: undefined,
    };
    states.set(key, state);
    if (states.size > maxStates) {
      states.delete(states.keys().next().value!);
    }
    return state;
  };

  const decay = (state: State, now: number): void => {
    const kept = Math.exp(-Math.max(0, now - state.countedAt) / memoryMs);
    state.calls *= kept;
    state.admitted *= kept;
    state.countedAt = now;
  };

  const shareOf = ({ calls, admitted, streak, refusedAt }: State, now: number): number => {
    if (calls < minCalls) {
      return 0;
    }
    const growth = now - refusedAt > quietMs ? (streak / streakForOneMore) ** 2 : 0;
    const wanted = (sentPerAdmitted + growth) * admitted;
    return Math.max(0, Math.min(maxRefusedShare, 1 - wanted / calls, 1 - minProbes / calls));
  };

  return {
    commands: {
      admit: (call, now) => {
        const state = states.get(keyOf(call));
        if (!state) {
          return true;
        }
        decay(state, now);
        if (call.rank >= shareOf(state, now)) {
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
          const known = state.retryAfterMs ?? retryAfterMs;
          state.retryAfterMs = known + retryAfterWeight * (retryAfterMs - known);
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
        return shareOf(state, now);
      },
      retryAfterMs: (group) => states.get(keyOf(group))?.retryAfterMs,
    },
  };
};
