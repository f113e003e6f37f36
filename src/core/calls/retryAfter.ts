/**
 * Delay after which a refused caller should retry. Under load it is the time in which the queue
 * drains. A jitter of up to the same time again spreads callers that were refused together.
 */
import type { FailureReason } from '../../utils/failure.js';

/** Minimum delay in ms, also for a queue that drains faster. */
const minRetryAfterMs = 50;
/** Delays for refusals without a queue, in ms. */
const defaultMs: Partial<Record<FailureReason, number>> = {
  // A starting node has its configuration within a second of finding a parent.
  no_configuration: 1_000,
  // A node finds a parent with the newest configuration within 2 s.
  unconfirmed: 1_000,
  // Endpoints send a check-in about once a second.
  no_upstream: 1_000,
  // Other nodes have already been informed that the endpoint is leaving.
  leaving: minRetryAfterMs,
  overloaded: 500,
};

const addJitter = (ms: number, random: () => number): number => ms * (1 + random());

/** Adds a jitter of plus or minus half of a delay that other callers were given, in ms. */
export const jitterAround = (ms: number, random: () => number): number => ms * (0.5 + random());

/** Delay in ms, given the time in which the queue drains. */
export const retryAfterMs = (backlogMs: number, random: () => number): number =>
  addJitter(Math.max(minRetryAfterMs, backlogMs), random);

/** Delay in ms for a refusal that specifies none; undefined if a retry makes no sense. */
export const defaultRetryAfterMs = (
  reason: FailureReason,
  random: () => number,
): number | undefined => {
  const ms = defaultMs[reason];
  return ms === undefined ? undefined : addJitter(ms, random);
};
