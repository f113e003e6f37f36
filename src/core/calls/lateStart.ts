/**
 * Calls that waited too long for the processor of their node before they could start.
 */
import type { AttemptFailureReport } from '../../types/calls.js';
import { retryAfterMs } from './retryAfter.js';

/**
 * Longest time in ms that a call waits for the processor before it starts, if it may not wait longer
 * for a slot. A node that is this far behind serves more callers by refusing the oldest calls at once.
 */
const maxStartDelayMs = 250;

/** Whether a call has waited too long for its start; `maxWaitMs` is its longest wait for a slot. */
export const isStartTooLate = (waitedMs: number, maxWaitMs: number): boolean =>
  waitedMs > Math.max(maxStartDelayMs, maxWaitMs);

/** Refusal of such a call; the time that it has waited tells how far the node is behind. */
export const refuseLateStart = (waitedMs: number, random: () => number): AttemptFailureReport => ({
  reason: 'overloaded',
  run: 'not_run',
  detail: `the node could not start the call for ${Math.round(waitedMs)} ms`,
  retried: false,
  retryAfterMs: retryAfterMs(waitedMs, random),
});
