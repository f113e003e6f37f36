/**
 * Pace that an endpoint reports: how long work takes on its machine at the moment, in percent of
 * the usual time.
 */

/** Pace of a machine that works as usual. */
export const usualPace = 100;
export const minPace = 1;
export const maxPace = 100_000;

/** Half-life of a report in ms: the pace changes many times a second. */
const paceHalfLifeMs = 300;

/** Expected pace `ageMs` after a report: it returns to the usual one. */
export const expectedPace = (pace: number, ageMs: number): number =>
  usualPace + (pace - usualPace) * 0.5 ** (Math.max(0, ageMs) / paceHalfLifeMs);
