/**
 * Refusal of calls that a node short of processor time could not start soon enough.
 */
import type { AttemptFailureReport } from '../../types/calls.js';
import { retryAfterMs } from './retryAfter.js';

/**
 * Maximum delay between the arrival and the start of a call, in ms, unless its class permits a
 * longer time in queue. A node with such a backlog serves more callers if it refuses the oldest
 * calls at once.
 */
const maxStartDelayMs = 250;

/** Whether a call has waited too long for its start; `maxWaitMs` is its maximum time in queue. */
export const isStartTooLate = (waitedMs: number, maxWaitMs: number): boolean =>
  waitedMs > Math.max(maxStartDelayMs, maxWaitMs);

/** Creates the refusal of such a call; its wait is taken as the estimate of the node's backlog. */
export const refuseLateStart = (waitedMs: number, random: () => number): AttemptFailureReport => ({
  reason: 'overloaded',
  run: 'not_run',
  stage: 'late_start',
  detail: `node overloaded: the call waited ${Math.round(waitedMs)} ms to be started`,
  retried: false,
  retryAfterMs: retryAfterMs(waitedMs, random),
});
