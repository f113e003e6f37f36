/**
 * Outlier ejection of one endpoint. An endpoint is ejected after consecutive failures or at a high
 * failure share, for a time that doubles with each ejection, and is reinstated after one successful
 * probe. Failures at the rate of the other endpoints of the service do not count against it: they
 * have a common cause, such as a failing dependency.
 */

export interface EjectionState {
  consecutiveFailures: number;
  /** Share of failed attempts, as an exponentially weighted moving average. */
  failureShare: number;
  /** Number of attempts in `failureShare` since the endpoint was last reinstated. */
  samples: number;
  /** Consecutive ejections, for the exponential backoff. */
  ejections: number;
  /** Time at which the last ejection ends and a probe is due. */
  ejectedUntil: number;
  /** True from the ejection until a probe succeeds. */
  isEjected: boolean;
  isProbing: boolean;
  /** The ejection follows from refused connections only, so the upstream itself may be warm. */
  isUnreachable: boolean;
  failedAt: number;
  returnedAt: number;
}

/** `probe`: the ejection time is over and one call may be sent as a probe. */
export type EjectionStatus = 'in' | 'out' | 'probe';

const maxConsecutiveFailures = 5;
/**
 * Consecutive failures eject an endpoint only if their probability, given the failure share of the
 * other endpoints, is lower than this. At 100 calls a second, chance alone causes such a streak
 * once in some hours.
 */
const maxStreakChance = 1e-6;
const maxFailureShare = 0.5;
/** Standard deviations above the failure share of the other endpoints that make an outlier. */
const outlierDeviations = 6;
const minSamples = 10;
const failureWeight = 0.1;
/** Minimum and maximum ejection time in ms, before jitter. */
const baseEjectionMs = 1_000;
const maxEjectionMs = 60_000;
/** The ejection time starts from its minimum again after this time without an ejection, in ms. */
const backoffResetMs = 60_000;

export const createEjectionState = (): EjectionState => ({
  consecutiveFailures: 0,
  failureShare: 0,
  samples: 0,
  ejections: 0,
  ejectedUntil: 0,
  isEjected: false,
  isProbing: false,
  isUnreachable: false,
  failedAt: Number.NEGATIVE_INFINITY,
  returnedAt: Number.NEGATIVE_INFINITY,
});

export const ejectionStatus = (state: EjectionState, now: number): EjectionStatus => {
  if (!state.isEjected) {
    return 'in';
  }
  return now >= state.ejectedUntil && !state.isProbing ? 'probe' : 'out';
};

const eject = (state: EjectionState, random: () => number, now: number): void => {
  const isBackoffReset = now - state.returnedAt > backoffResetMs && !state.isEjected;
  const ejections = isBackoffReset ? 0 : state.ejections;
  const ejectionMs = Math.min(maxEjectionMs, baseEjectionMs * 2 ** ejections);
  Object.assign(state, {
    ejections: ejections + 1,
    // A jitter of half the time keeps nodes from probing a recovering endpoint simultaneously.
    ejectedUntil: now + ejectionMs * (0.5 + random() / 2),
    isEjected: true,
    isProbing: false,
    isUnreachable: false,
  });
};

const reinstate = (state: EjectionState, now: number): void => {
  Object.assign(state, {
    consecutiveFailures: 0,
    failureShare: 0,
    samples: 0,
    isEjected: false,
    isProbing: false,
    isUnreachable: false,
    returnedAt: state.isUnreachable ? state.returnedAt : now,
  });
};

/** `peerFailureShare` returns the failure share of the other endpoints of the service. */
const isOutlier = (state: EjectionState, peerFailureShare: () => number): boolean => {
  const { consecutiveFailures, failureShare, samples } = state;
  const isStreak = consecutiveFailures >= maxConsecutiveFailures;
  const isHighShare = samples >= minSamples && failureShare > maxFailureShare;
  if (!isStreak && !isHighShare) {
    return false;
  }
  const peerShare = peerFailureShare();
  const variance = (peerShare * (1 - peerShare) * failureWeight) / (2 - failureWeight);
  const limit = Math.max(maxFailureShare, peerShare + outlierDeviations * Math.sqrt(variance));
  return (
    (isStreak && peerShare ** consecutiveFailures < maxStreakChance) ||
    (isHighShare && failureShare > limit)
  );
};

/** Records that an attempt was sent. The first one after the ejection time is the probe. */
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
 * Records that nothing accepted a connection: no further attempt is needed to know that. The time
 * does not grow, since a process that was killed is usually back within seconds.
 */
export const recordUnreachable = (
  state: EjectionState,
  random: () => number,
  now: number,
): void => {
  countSample(state, true, now);
  state.ejectedUntil = Math.max(state.ejectedUntil, now + baseEjectionMs * (0.5 + random() / 2));
  state.isUnreachable ||= !state.isEjected;
  state.isEjected = true;
  state.isProbing = false;
};

/**
 * Combined failure share of several endpoints, without the ejected ones. Averages with few samples
 * are corrected for their start at 0 and weighted by the number of samples.
 */
export const commonFailureShare = (states: readonly EjectionState[]): number => {
  let weights = 0;
  let failures = 0;
  states
    .filter(({ isEjected, samples }) => !isEjected && samples > 0)
    .forEach(({ samples, failureShare }) => {
      const weight = Math.min(samples, minSamples);
      weights += weight;
      failures += (weight * failureShare) / (1 - (1 - failureWeight) ** samples);
    });
  return weights === 0 ? 0 : Math.min(1, failures / weights);
};

/** Records the end of an attempt whose outcome reflects the health of the endpoint. */
export const endAttempt = (
  state: EjectionState,
  isFailure: boolean,
  random: () => number,
  now: number,
  peerFailureShare: () => number,
): void => {
  countSample(state, isFailure, now);
  const isProbeTime = state.isEjected && now >= state.ejectedUntil;
  if (isProbeTime && !isFailure) {
    reinstate(state, now);
  } else if (isProbeTime || (!state.isEjected && isFailure && isOutlier(state, peerFailureShare))) {
    eject(state, random, now);
  }
};

/** Records the end of an attempt that says nothing about health, such as a refusal. */
export const discardAttempt = (state: EjectionState): void => {
  state.isProbing = false;
};
