/**
 * When a refused caller should come back. Under load it is the time in which the calls that wait
 * are worked off; callers that were refused together are spread over as much time again.
 */
import type { FailureReason } from '../../utils/failure.js';

/** A queue that is worked off faster than this is no reason to come back sooner, in ms. */
const minRetryAfterMs = 50;
/** Times for refusals that no queue stands behind, in ms. */
const usualMs: Partial<Record<FailureReason, number>> = {
  // A node that starts has its configuration within a second of finding a parent.
  no_configuration: 1_000,
  // Endpoints check in about once a second.
  no_upstream: 1_000,
  // Other nodes have heard that an endpoint leaves.
  leaving: minRetryAfterMs,
  overloaded: 500,
};

const spread = (ms: number, random: () => number): number => ms * (1 + random());

/** Spreads callers over the time from half to one and a half of what others were told, in ms. */
export const jitterAround = (ms: number, random: () => number): number => ms * (0.5 + random());

/** Time in ms, given the time in which the calls that wait are worked off. */
export const retryAfterMs = (backlogMs: number, random: () => number): number =>
  spread(Math.max(minRetryAfterMs, backlogMs), random);

/** Time in ms after a refusal that says nothing itself; undefined if coming back makes no sense. */
export const defaultRetryAfterMs = (
  reason: FailureReason,
  random: () => number,
): number | undefined => {
  const ms = usualMs[reason];
  return ms === undefined ? undefined : spread(ms, random);
};
