/**
 * Controls which share of the calls of a group a node refuses by itself, from the outcomes of those
 * that it forwards. The forwarded calls follow the number of successful ones, with a small excess
 * that detects free capacity.
 */

export interface RefusalController {
  readonly commands: {
    /** Counts a call that was refused because of this controller. */
    recordRefused(now: number): void;
    /** Counts a forwarded call, by whether there was capacity for it. */
    recordOutcome(hasCapacity: boolean, now: number): void;
  };
  readonly queries: {
    /** Share of calls, those of lowest rank, that are to be refused. */
    refusedShare(now: number): number;
  };
}

/** Time constant of the counts in ms: about the time in which overload sets in or subsides. */
const timeConstantMs = 1_000;
/**
 * Calls forwarded for each successful one. A value above 1 keeps the admission controls busy and
 * detects free capacity.
 */
const sentPerSuccess = 1.1;
/**
 * Number of consecutive successful calls that raises `sentPerSuccess` by 1. The increase is
 * quadratic in their number: with a linear one, it took 4 s and more after an outage until all
 * calls were forwarded again.
 */
const streakPerGrowth = 6;
/**
 * Time without a failure after which such a streak counts, in ms. Under steady overload, short
 * streaks occur by chance; when they counted immediately, a quarter of the calls was forwarded only
 * to be refused.
 */
const minFailureFreeMs = 500;
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
      refusedShare: (now) => {
        decay(now);
        if (calls < minCalls) {
          return 0;
        }
        const sentGrowth = now - failedAt > minFailureFreeMs ? (streak / streakPerGrowth) ** 2 : 0;
        const forwardedShare = ((sentPerSuccess + sentGrowth) * successes) / calls;
        return Math.max(0, Math.min(maxRefusedShare, 1 - forwardedShare, 1 - minProbes / calls));
      },
    },
  };
};
