/**
 * Outlier ejection of one endpoint: out after failures in a row or a high share of failures, for a
 * time that doubles with each ejection, and back after a single successful probe. Failures that the
 * other endpoints of the service share have another cause, such as a call of theirs that fails.
 */

export interface EjectionState {
  consecutiveFailures: number;
  /** Share of failed attempts, as an exponentially weighted average. */
  failureShare: number;
  /** Attempts counted into `failureShare` since the last return. */
  samples: number;
  /** Ejections in a row, for the exponential time. */
  ejections: number;
  /** Time at which the last ejection ends. */
  ejectedUntil: number;
  /** The endpoint was ejected and no probe has succeeded since. */
  isOut: boolean;
  isProbing: boolean;
  failedAt: number;
  returnedAt: number;
}

/** `probe` means that the ejection is over and one call may be sent as a probe. */
export type EjectionStatus = 'in' | 'out' | 'probe';

const maxConsecutiveFailures = 5;
/**
 * Chance below which failures in a row are not put down to the share that all endpoints have: once
 * in some hours at 100 calls a second.
 */
const chanceOfRow = 1e-6;
const maxFailureShare = 0.5;
/** Standard deviations above the common share at which an average is not chance any more. */
const outlierDeviations = 6;
const minSamples = 10;
const failureWeight = 0.1;
/** Shortest and longest ejection in ms. */
const baseEjectionMs = 1_000;
const maxEjectionMs = 60_000;
/** After this time in ms without an ejection the time starts from the base again. */
const forgiveAfterMs = 60_000;

export const createEjectionState = (): EjectionState => ({
  consecutiveFailures: 0,
  failureShare: 0,
  samples: 0,
  ejections: 0,
  ejectedUntil: 0,
  isOut: false,
  isProbing: false,
  failedAt: Number.NEGATIVE_INFINITY,
  returnedAt: Number.NEGATIVE_INFINITY,
});

export const ejectionStatus = (state: EjectionState, now: number): EjectionStatus => {
  if (!state.isOut) {
    return 'in';
  }
  return now >= state.ejectedUntil && !state.isProbing ? 'probe' : 'out';
};

const eject = (state: EjectionState, random: () => number, now: number): void => {
  const isForgiven = now - state.returnedAt > forgiveAfterMs && !state.isOut;
  const ejections = isForgiven ? 0 : state.ejections;
  const timeMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** ejections);
  Object.assign(state, {
    ejections: ejections + 1,
    // Jitter of half the time keeps nodes from probing a recovering endpoint together.
    ejectedUntil: now + timeMs * (0.5 + random() / 2),
    isOut: true,
    isProbing: false,
  });
};

const returnToUse = (state: EjectionState, now: number): void => {
  Object.assign(state, {
    consecutiveFailures: 0,
    failureShare: 0,
    samples: 0,
    isOut: false,
    isProbing: false,
    returnedAt: now,
  });
};

/** `shareOfOthers` is the share of failures of the other endpoints of the service. */
const isOutlier = (state: EjectionState, shareOfOthers: () => number): boolean => {
  const { consecutiveFailures, failureShare, samples } = state;
  const isRow = consecutiveFailures >= maxConsecutiveFailures;
  const isShare = samples >= minSamples && failureShare > maxFailureShare;
  if (!isRow && !isShare) {
    return false;
  }
  const commonShare = shareOfOthers();
  const variance = (commonShare * (1 - commonShare) * failureWeight) / (2 - failureWeight);
  const limit = Math.max(maxFailureShare, commonShare + outlierDeviations * Math.sqrt(variance));
  return (
    (isRow && commonShare ** consecutiveFailures < chanceOfRow) || (isShare && failureShare > limit)
  );
};

/** Notes that an attempt was sent. The first one after the ejection time is the probe. */
export const startAttempt = (state: EjectionState, now: number): void => {
  if (ejectionStatus(state, now) === 'probe') {
    state.isProbing = true;
  }
};

const countSample = (state: EjectionState, isFailure: boolean, now: number): void => {
  state.samples += 1;
  state.failedAt = isFailure ? now : state.failedAt;
  state.failureShare += failureWeight * (Number(isFailure) - state.failureShare);
  state.consecutiveFailures = isFailure ? state.consecutiveFailures + 1 : 0;
};

/**
 * Share of failures of several endpoints together, without those that are out. An average that has
 * just begun is corrected for its start at 0, and weighs less.
 */
export const commonFailureShare = (states: readonly EjectionState[]): number => {
  let weights = 0;
  let failures = 0;
  states
    .filter(({ isOut, samples }) => !isOut && samples > 0)
    .forEach(({ samples, failureShare }) => {
      const weight = Math.min(samples, minSamples);
      weights += weight;
      failures += (weight * failureShare) / (1 - (1 - failureWeight) ** samples);
    });
  return weights === 0 ? 0 : Math.min(1, failures / weights);
};

/** Notes the end of an attempt that says something about the endpoint's health. */
export const endAttempt = (
  state: EjectionState,
  isFailure: boolean,
  random: () => number,
  now: number,
  shareOfOthers: () => number,
): void => {
  countSample(state, isFailure, now);
  const isProbeTime = state.isOut && now >= state.ejectedUntil;
  if (isProbeTime && !isFailure) {
    returnToUse(state, now);
  } else if (isProbeTime || (!state.isOut && isFailure && isOutlier(state, shareOfOthers))) {
    eject(state, random, now);
  }
};

/** Notes the end of an attempt that says nothing about health, such as a refusal. */
export const discardAttempt = (state: EjectionState): void => {
  state.isProbing = false;
};
