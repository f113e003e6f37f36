/**
 * Refusal of a call whose response the link of the node is not expected to send by its target. The
 * caller may retry after the time by which the link falls short.
 */
import type { AttemptFailureReport } from '../../types/calls.js';
import { retryAfterMs } from './retryAfter.js';

/** Creates the refusal of a response that would end `delayMs` after its target. */
export const refuseForLink = (delayMs: number, random: () => number): AttemptFailureReport => ({
  reason: 'overloaded',
  run: 'not_run',
  stage: 'link',
  detail: 'the link cannot send the response by its target',
  retried: false,
  retryAfterMs: retryAfterMs(delayMs, random),
});
