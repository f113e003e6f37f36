/**
 * Rank of an endpoint by the time that one more call is predicted to take there, and its share of
 * calls while it warms up.
 */
import type { Endpoint } from '../../types/public.js';
import type { EndpointStats, EndpointTracker } from './endpointTracker.js';

/** Time over which the share of a new endpoint rises, in ms. */
export const warmUpMs = 10_000;
const warmUpStart = 0.1;

/** Half-life of a load report in ms: it says little about an endpoint a second later. */
const loadHalfLifeMs = 500;
/** Half-life of the evidence of refusals in ms. */
const refusalHalfLifeMs = 500;
/** Half-life of the evidence of failures in ms: without it one failure kept calls away for good. */
const failureHalfLifeMs = 2_000;
/** Half-life in ms of a latency that no call has confirmed, so that an endpoint is tried again. */
const latencyHalfLifeMs = 10_000;
const latencyFreshMs = 1_000;
/** Latency assumed before the first answer of any endpoint, in ms. */
const unknownLatencyMs = 10;
/** An endpoint counts as silent after this many times its latency without any answer. */
const silentFactor = 3;
const minAnswerShare = 0.05;

const halve = (ageMs: number, halfLifeMs: number): number =>
  0.5 ** (Math.max(0, ageMs) / halfLifeMs);

/** Part of its slots from which an endpoint works more slowly. */
const crowdedAbove = 0.6;
/** Time that an endpoint with all slots in use takes longer, as a part of its usual time. */
const crowdedSlowdown = 0.5;
/** Keeps calls spread among endpoints with free slots: a part of the time for a full endpoint. */
const spreadWeight = 0.05;

/** Calls that the endpoint's slots hold or that wait for them, as far as this node knows. */
export const outstandingCalls = (known: EndpointStats | undefined, now: number): number => {
  if (!known) {
    return 0;
  }
  const { load, loadAt, inFlight, startedSinceLoad } = known;
  const reported = load ? (load.inFlight + load.waiting) * halve(now - loadAt, loadHalfLifeMs) : 0;
  // Without what was sent since, all calls between two reports go to the same endpoint.
  return Math.max(inFlight, reported + Math.min(startedSinceLoad, inFlight));
};

/** Calls that the endpoint works on at a time. */
export const capacityOf = ({ slots }: Endpoint, known: EndpointStats | undefined): number =>
  Math.max(1, Math.min(slots, known?.load?.limit ?? slots));

const latencyOf = (
  known: EndpointStats | undefined,
  usualLatency: () => number,
  now: number,
): number => {
  // The endpoint's own figure leaves out the wait for a slot, which is predicted from its load.
  if (known?.load?.workMs !== undefined) {
    return known.load.workMs;
  }
  const usualMs = usualLatency();
  if (known?.latencyMs === undefined) {
    return usualMs;
  }
  const staleMs = now - known.answeredAt - latencyFreshMs;
  return known.latencyMs > usualMs
    ? usualMs + (known.latencyMs - usualMs) * halve(staleMs, latencyHalfLifeMs)
    : known.latencyMs;
};

const withSilence = (latencyMs: number, known: EndpointStats | undefined, now: number): number => {
  const silentMs = known?.silentSince === undefined ? 0 : now - known.silentSince;
  return silentMs > silentFactor * latencyMs ? silentMs : latencyMs;
};

const answerShare = (known: EndpointStats | undefined, now: number): number => {
  if (!known) {
    return 1;
  }
  const refused = known.refusedShare * halve(now - known.refusedAt, refusalHalfLifeMs);
  const { failureShare, failedAt } = known.ejection;
  const failed = failureShare * halve(now - failedAt, failureHalfLifeMs);
  return Math.max(minAnswerShare, (1 - failed) * (1 - refused));
};

/** Middle of the latencies of the endpoints, in ms: what an unknown endpoint is assumed to take. */
export const medianLatencyMs = (
  evidence: EndpointTracker,
  endpoints: readonly Endpoint[],
): number => {
  const known = endpoints
    .map(({ id }) => evidence.queries.get(id))
    .map((state) => state?.load?.workMs ?? state?.latencyMs)
    .filter((latencyMs) => latencyMs !== undefined)
    .sort((a, b) => a - b);
  return known[Math.floor((known.length - 1) / 2)] ?? unknownLatencyMs;
};

/**
 * Predicted cost of one more call, in ms; failures and refusals make it higher. `usualLatency` is
 * asked only for an endpoint whose own figure isn't known, since it looks at all endpoints.
 */
export const predictCostMs = (
  endpoint: Endpoint,
  known: EndpointStats | undefined,
  usualLatency: () => number,
  now: number,
): number => {
  const latencyMs = withSilence(latencyOf(known, usualLatency, now), known, now);
  const capacity = capacityOf(endpoint, known);
  const outstanding = outstandingCalls(known, now);
  const waits = Math.max(0, outstanding + 1 - capacity) / capacity;
  const busy = Math.min(1, outstanding / capacity);
  const slowdown = crowdedSlowdown * Math.max(0, busy - crowdedAbove) + spreadWeight * busy;
  return (latencyMs * (1 + waits + slowdown)) / answerShare(known, now) ** 2;
};

/** Share of its calls that an endpoint gets while it warms up, from 0.1 to 1. */
export const warmUpShare = (known: EndpointStats | undefined, now: number): number => {
  if (!known) {
    return warmUpStart;
  }
  const since = Math.max(known.firstSeenAt, known.ejection.returnedAt);
  const risen = Math.min(1, Math.max(0, now - since) / warmUpMs);
  return warmUpStart + (1 - warmUpStart) * risen;
};
