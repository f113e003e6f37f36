/**
 * Plan of a rollout: the share of its canary, and the times at which its calls are shifted and the
 * rollout is completed. The limits are those of the deployment.
 */

/** Limits on the calls that a bad version may get. */
export interface RolloutLimits {
  /** Largest part of a service's calls that a bad version may get during its period. */
  readonly exposureShare: number;
  /** Calls that a bad version may get in addition. */
  readonly exposureSlack: number;
  /** Time after its 50th bad answer from which a bad version may get no call, in ms. */
  readonly rollbackMs: number;
}

/** Limits if the settings have none: those of the platform's sample settings. */
export const defaultRolloutLimits: RolloutLimits = {
  exposureShare: 0.1,
  exposureSlack: 50,
  rollbackMs: 5_000,
};

/** Times are counted from the start of the rollout, in ms. */
export interface RolloutTimes {
  readonly shiftAtMs: number;
  /** If the evidence is missing until then, the rollout stays in the canary. */
  readonly latestShiftAtMs: number;
  /** Time between the shift and the completion in which the old endpoints finish their calls. */
  readonly drainMs: number;
  /** A rollout that was shifted late, or by another leader, is completed then. */
  readonly latestCompletionAtMs: number;
}

/** Largest period of the analysis, in ms. */
export const maxAnalysisPeriodMs = 100;
/** The analysis takes place at least this many times within `rollbackMs`. */
const analysesPerRollback = 20;
/**
 * Time in which a version that turns bad in the shift is rolled back: report of the nodes (500 ms),
 * analysis (100 ms), commit (100 ms) and distribution (400 ms).
 */
export const reactionMs = 1_100;
/** The distribution of the shift to the nodes, until which old endpoints get calls, in ms. */
const distributionMs = 400;
/** Assumed response time of the slowest class if no calls were reported, in ms. */
const assumedResponseMs = 800;
/** The mean times this factor covers most of the calls: of 800 ms, those up to 2 s. */
const longCallFactor = 2.5;
/** Calls of the shift are reported after 1 s, and 700 ms of them are the evidence of the shift. */
const minDrainMs = 1_700;
const maxDrainMs = 2_400;
/** In short periods the canary needs most of the time. */
const maxDrainPart = 0.3;

/** Part of the period that is left at its end for the commit of the completion. */
const completionPart = 0.05;
const minCompletionMs = 300;
const maxCompletionMs = 1_000;
/** Part of that time by which the completion may be late. */
const latePart = 0.5;
/** Part of the drain time that a late shift may use up. */
const lateDrainPart = 0.2;

/** Part of the allowed exposure that is planned. */
const exposurePart = 0.95;
/** Part of the slack that is planned; the rest is for the calls that are needed as evidence. */
const slackPart = 0.7;
/** Calls per second of a service for which no calls were reported before the order. */
const assumedCallsPerSecond = 250;
/** Fewer calls give no evidence in time: 1% of 100 calls/s is 1 call/s. */
const minCanaryShare = 0.01;
/** The canary may use at most this part of `exposureShare`. */
const maxCanaryPart = 0.5;

export const analysisPeriodMs = ({ rollbackMs }: RolloutLimits): number =>
  Math.min(maxAnalysisPeriodMs, rollbackMs / analysesPerRollback);

const clamp = (value: number, low: number, high: number): number =>
  Math.min(Math.max(value, low), high);

const completionMarginMs = (periodMs: number): number =>
  clamp(completionPart * periodMs, Math.min(minCompletionMs, periodMs / 10), maxCompletionMs);

/**
 * Times of a rollout. `responseMs` is the mean response time of the slowest class at the other
 * versions, if it is known.
 */
export const planTimes = (
  periodMs: number,
  responseMs: number = assumedResponseMs,
): RolloutTimes => {
  const neededMs = distributionMs + longCallFactor * responseMs;
  const drainMs = Math.min(clamp(neededMs, minDrainMs, maxDrainMs), maxDrainPart * periodMs);
  const marginMs = completionMarginMs(periodMs);
  const shiftAtMs = periodMs - marginMs - drainMs;
  return {
    shiftAtMs,
    latestShiftAtMs: shiftAtMs + latePart * marginMs + lateDrainPart * drainMs,
    drainMs,
    latestCompletionAtMs: periodMs - latePart * marginMs,
  };
};

/**
 * Share of the calls for the canary, such that a version that turns bad at the shift stays below
 * the allowed exposure until it is rolled back. A service with few calls gets a larger share, since
 * the slack is larger than the canary's calls there.
 */
export const planCanaryShare = (
  periodMs: number,
  { exposureShare, exposureSlack }: RolloutLimits,
  callsPerSecond: number = assumedCallsPerSecond,
): number => {
  const { latestShiftAtMs } = planTimes(periodMs);
  const slackMs = (1_000 * slackPart * exposureSlack) / callsPerSecond;
  const allowedMs = exposurePart * exposureShare * periodMs + slackMs - reactionMs;
  const largest = maxCanaryPart * exposureShare;
  return clamp(allowedMs / latestShiftAtMs, Math.min(minCanaryShare, largest), largest);
};
