/**
 * Outlier ejection of one endpoint: out after failures in a row or a high share of failures, for a
 * time that doubles with each ejection, and back after a single successful probe.
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
const maxFailureShare = 0.5;
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

const isBad = (state: EjectionState): boolean =>
  state.consecutiveFailures >= maxConsecutiveFailures ||
  (state.samples >= minSamples && state.failureShare > maxFailureShare);

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

/** Notes the end of an attempt that says something about the endpoint's health. */
export const endAttempt = (
  state: EjectionState,
  isFailure: boolean,
  random: () => number,
  now: number,
): void => {
  countSample(state, isFailure, now);
  const isProbeTime = state.isOut && now >= state.ejectedUntil;
  if (isProbeTime && !isFailure) {
    returnToUse(state, now);
  } else if (isProbeTime || (!state.isOut && isBad(state))) {
    eject(state, random, now);
  }
};

/** Notes the end of an attempt that says nothing about health, such as a refusal. */
export const abandonAttempt = (state: EjectionState): void => {
  state.isProbing = false;
};
