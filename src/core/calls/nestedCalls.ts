/**
 * Rules for nested calls, which an upstream makes for a call that it is processing. If one is
 * refused, the slot time that its parent call has used is lost. So a nested call may wait longer
 * than other calls of its class, and a wait beyond the limit of its class is reported to the node
 * that accepted the parent call: that node then accepts fewer of them before any is lost.
 */

/** Factor by which the maximum wait of a nested call exceeds that of its class. */
const waitFactor = 2;
/** Share of the time until its deadline for which a nested call may wait. */
const maxWaitShare = 0.6;

/** The same share if calls are admitted by the whole call. */
const wholeCallMaxWaitShare = 0.75;

/** Maximum wait of a nested call in ms, given that of its class and the time to its deadline. */
export const nestedMaxWaitMs = (maxWaitMs: number, remainingMs: number): number =>
  Math.max(maxWaitMs, Math.min(waitFactor * maxWaitMs, maxWaitShare * remainingMs));

/**
 * The maximum wait if calls are admitted by the whole call: a nested call may use most of its time,
 * since its refusal costs the slot time of its parent. The parents are limited by the average wait,
 * long before that.
 */
export const wholeCallMaxWaitMs = (maxWaitMs: number, remainingMs: number): number =>
  Math.max(maxWaitMs, wholeCallMaxWaitShare * remainingMs);

/** Least reference for waits, as a share of the time of a call: a class may have no maximum wait. */
const minReferenceShare = 0.1;

/**
 * Part of the usual maximum wait that an answered nested call has waited, from 0 to 1. `timeMs` is
 * the time that it had from its start to its deadline.
 */
export const nestedWaitShare = (waitedMs: number, maxWaitMs: number, timeMs: number): number => {
  const referenceMs = Math.max(waitFactor * maxWaitMs, minReferenceShare * timeMs, 1);
  return Math.max(0, Math.min(1, waitedMs / referenceMs));
};

/**
 * Whether an answered nested call has waited longer than the limit of its class. All time in which
 * the upstream did not process it counts, including the queues of nodes short of processor time.
 */
export const isNestedCallDelayed = (
  elapsedMs: number,
  processedMs: number,
  maxWaitMs: number,
): boolean => elapsedMs - processedMs > maxWaitMs;
