/**
 * Controls which share of the calls of a group a node refuses by itself, from the outcomes of those
 * that it forwards. The forwarded calls follow the number of successful ones, with a small excess
 * that detects free capacity, and grow steadily once none fails any more.
 */

export interface RefusalController {
  readonly commands: {
    /** Counts a call that was refused because of this controller. */
    recordRefused(now: number): void;
    /** Counts a forwarded call, by whether there was capacity for it. */
    recordOutcome(hasCapacity: boolean, now: number): void;
  };
  readonly queries: {
    /**
     * Share of calls, those of lowest rank, that are to be refused so that `sentPerSuccess` calls
     * are forwarded for each successful one. The excess over 1 keeps the admission controls busy and
     * detects free capacity.
     */
    refusedShare(now: number, sentPerSuccess: number): number;
  };
}

/** Time constant of the counts in ms: about the time in which overload sets in or subsides. */
const timeConstantMs = 1_000;
/**
 * Share of the calls, per second, by which those forwarded grow once none has failed for
 * `minFailureFreeMs`: after an outage, all are forwarded again within 4 s. Growth in proportion to
 * the successful calls made the forwarded share alternate between a part and all of the calls.
 */
const growthPerSecond = 0.35;
/** Under steady overload, shorter times without a failure occur by chance. */
const minFailureFreeMs = 1_000;
/** Number of calls that have to succeed in that time. */
const minSuccessesForGrowth = 3;
/** Upper bound of the refused share: at least a tenth of the calls is forwarded as probes. */
const maxRefusedShare = 0.9;
/**
 * Minimum number of probes in a period of `timeConstantMs`, so that nodes with few calls detect
 * free capacity too.
 */
const minProbes = 3;
/** Number of calls below which none is refused: a few failures say nothing about the load. */
const minCalls = 5;

/** Creates the controller of one group of calls. */
export const createRefusalController = (createdAt: number): RefusalController => {
  /** Calls that were forwarded or refused; decays exponentially. */
  let calls = 0;
  /** Those of `calls` that succeeded; decays likewise. */
  let successes = 0;
  let countedAt = createdAt;
  /** Successful calls since the last one that failed. */
  let streak = 0;
  let failedAt = createdAt;

  const decay = (now: number) => {
    const kept = Math.exp(-Math.max(0, now - countedAt) / timeConstantMs);
    calls *= kept;
    successes *= kept;
    countedAt = now;
  };

  return {
    commands: {
      recordRefused: (now) => {
        decay(now);
        calls += 1;
      },
      recordOutcome: (hasCapacity, now) => {
        decay(now);
        calls += 1;
        if (hasCapacity) {
          successes += 1;
          streak += 1;
          return;
        }
        streak = 0;
        failedAt = now;
      },
    },
    queries: {
      refusedShare: (now, sentPerSuccess) => {
        decay(now);
        if (calls < minCalls) {
          return 0;
        }
        const growthMs = streak < minSuccessesForGrowth ? 0 : now - failedAt - minFailureFreeMs;
        const grownShare = Math.max(0, growthMs / 1_000) * growthPerSecond;
        const forwardedShare = (sentPerSuccess * successes) / calls + grownShare;
        return Math.max(0, Math.min(maxRefusedShare, 1 - forwardedShare, 1 - minProbes / calls));
      },
    },
  };
};
