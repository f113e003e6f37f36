/**
 * Predicted time of one more call at an endpoint, and the share of calls that a new endpoint gets
 * while it warms up.
 */
import type { Endpoint } from '../../types/public.js';
import { smallResponseBytes } from './linkPacer.js';
import type { EndpointStats, EndpointTracker } from './endpointTracker.js';
import { isHeldByPace, paceShare } from './paceTracker.js';
import { expectedPace, usualPace } from './reportedPace.js';

/** Time over which the share of calls of a new endpoint rises, in ms. */
export const warmUpMs = 10_000;
const initialWarmUpShare = 0.1;

/** Half-life of a load report in ms: after a second it says little about an endpoint. */
const loadHalfLifeMs = 500;
/** Half-life of the refused share in ms. */
const refusalHalfLifeMs = 500;
/** Half-life of the failure share in ms. Without decay, one failure kept calls away for ever. */
const failureHalfLifeMs = 2_000;
/**
 * Half-life, in ms, of the excess of an endpoint's latency over the median while no new response
 * confirms it, so that the endpoint is tried again.
 */
const latencyHalfLifeMs = 10_000;
/** Time after the last response from which a latency decays, in ms. */
const latencyFreshMs = 1_000;
/** Latency assumed before the first response of any endpoint, in ms. */
const defaultLatencyMs = 10;
/**
 * Multiple of its latency without any response after which the time of silence replaces the
 * latency of an endpoint.
 */
const silentFactor = 3;
const minSuccessShare = 0.05;

const decayFactor = (ageMs: number, halfLifeMs: number): number =>
  0.5 ** (Math.max(0, ageMs) / halfLifeMs);

/** Utilization of its slots above which an endpoint is assumed to slow down. */
const slowdownThreshold = 0.6;
/** Additional time per unit of utilization above the threshold, relative to the latency. */
const slowdownFactor = 0.5;
/**
 * Additional time at full utilization, relative to the latency. It keeps calls spread over the
 * endpoints with free slots.
 */
const spreadWeight = 0.05;

/** Calls that occupy or wait for slots of the endpoint, as far as this node knows. */
export const outstandingCalls = (stats: EndpointStats | undefined, now: number): number => {
  if (!stats) {
    return 0;
  }
  const { load, loadAt, inFlight, startedSinceLoad } = stats;
  const reported = load
    ? (load.inFlight + load.waiting) * decayFactor(now - loadAt, loadHalfLifeMs)
    : 0;
  // Without the calls sent since the last report, all calls between two reports would go to the
  // same endpoint.
  return Math.max(inFlight, reported + Math.min(startedSinceLoad, inFlight));
};

/** Number of calls that the endpoint processes concurrently. */
export const capacityOf = ({ slots }: Endpoint, stats: EndpointStats | undefined): number =>
  Math.max(1, Math.min(slots, stats?.load?.limit ?? slots));

const latencyOf = (
  stats: EndpointStats | undefined,
  medianLatency: () => number,
  now: number,
): number => {
  // The average that the endpoint reports excludes the time in queue, which is predicted from its
  // load.
  if (stats?.load?.workMs !== undefined) {
    return stats.load.workMs;
  }
  const medianMs = medianLatency();
  if (stats?.latencyMs === undefined) {
    return medianMs;
  }
  const staleMs = now - stats.respondedAt - latencyFreshMs;
  return stats.latencyMs > medianMs
    ? medianMs + (stats.latencyMs - medianMs) * decayFactor(staleMs, latencyHalfLifeMs)
    : stats.latencyMs;
};

const applySilence = (latencyMs: number, stats: EndpointStats | undefined, now: number): number => {
  const silentMs = stats?.silentSince === undefined ? 0 : now - stats.silentSince;
  return silentMs > silentFactor * latencyMs ? silentMs : latencyMs;
};

/** Factor for the expected time at the pace that the endpoint reports. */
const paceFactor = (stats: EndpointStats | undefined, now: number): number =>
  stats?.load?.pace === undefined
    ? 1
    : expectedPace(stats.load.pace, now - stats.loadAt) / usualPace;

const successShare = (stats: EndpointStats | undefined, now: number): number => {
  if (!stats) {
    return 1;
  }
  const refused = stats.refusedShare * decayFactor(now - stats.refusedAt, refusalHalfLifeMs);
  const { failureShare, failedAt } = stats.ejection;
  const failed = failureShare * decayFactor(now - failedAt, failureHalfLifeMs);
  return Math.max(minSuccessShare, (1 - failed) * (1 - refused));
};

/** Median latency of the endpoints in ms, assumed for an endpoint without a measured latency. */
export const medianLatencyMs = (
  tracker: EndpointTracker,
  endpoints: readonly Endpoint[],
): number => {
  const stats = endpoints
    .map(({ id }) => tracker.queries.get(id))
    .map((state) => state?.load?.workMs ?? state?.latencyMs)
    .filter((latencyMs) => latencyMs !== undefined)
    .sort((a, b) => a - b);
  return stats[Math.floor((stats.length - 1) / 2)] ?? defaultLatencyMs;
};

/**
 * Predicted cost of one more call in ms: its latency at the reported pace, raised for queueing,
 * utilization, failures and refusals. `medianLatency` iterates over all endpoints, so it is called only for an endpoint
 * that has not reported its average call time.
 *
 * `limit` says what limits the calls of an endpoint that ramps up. With `share`, its latency counts
 * as the median: the share already accounts for slow answers. With the cost of an old report on
 * top, a node sent an endpoint that had been slow at its start no call for seconds after it was as
 * fast as the others.
 */
export const predictCostMs = (
  endpoint: Endpoint,
  stats: EndpointStats | undefined,
  medianLatency: () => number,
  now: number,
  limit: 'cost' | 'share' = 'cost',
): number => {
  const usesMedian = limit === 'share' && stats?.pace && isHeldByPace(stats.pace, now);
  const usualMs = usesMedian ? medianLatency() : latencyOf(stats, medianLatency, now);
  const pacedMs = usualMs * paceFactor(stats, now);
  const latencyMs = applySilence(pacedMs, stats, now);
  const capacity = capacityOf(endpoint, stats);
  const outstanding = outstandingCalls(stats, now);
  const queueing = Math.max(0, outstanding + 1 - capacity) / capacity;
  const utilization = Math.min(1, outstanding / capacity);
  const slowdown =
    slowdownFactor * Math.max(0, utilization - slowdownThreshold) + spreadWeight * utilization;
  return (latencyMs * (1 + queueing + slowdown)) / successShare(stats, now) ** 2;
};

/**
 * Predicted wait of a response for the link of the endpoint's machine, in ms; 0 for small responses,
 * which do not wait.
 */
export const linkWaitMs = (
  stats: EndpointStats | undefined,
  responseBytes: number,
  now: number,
): number =>
  responseBytes > smallResponseBytes
    ? (stats?.load?.linkMs ?? 0) * decayFactor(now - (stats?.loadAt ?? 0), loadHalfLifeMs)
    : 0;

/** Share of its regular calls that an endpoint gets while it warms up, from 0.1 to 1. */
export const warmUpShare = (stats: EndpointStats | undefined, now: number): number => {
  if (!stats) {
    return initialWarmUpShare;
  }
  if (stats.pace) {
    return paceShare(stats.pace, now);
  }
  const since = Math.max(stats.firstSeenAt, stats.ejection.returnedAt);
  const progress = Math.min(1, Math.max(0, now - since) / warmUpMs);
  return initialWarmUpShare + (1 - initialWarmUpShare) * progress;
};
