/**
 * Choice of the endpoint for one attempt: power of two choices on predicted time among the
 * endpoints that are ready and not ejected, for each distance; of these and the endpoint beside the
 * node the one that is cheapest with the way to it.
 */
import type { Cluster, Endpoint, Policy } from '../../types/public.js';
import { predictedMs, usualLatencyMs, warmShare } from './endpointRank.js';
import type { Evidence } from './evidence.js';
import { groupByDistance, hopMs, wayCostMs, type Home } from './routingTiers.js';

export type { Home } from './routingTiers.js';

export interface EndpointChoice {
  readonly cluster: Cluster;
  readonly evidence: Evidence;
  readonly policy: Policy;
  readonly home: Home;
  /** Usual size of an answer of the class, in bytes. Default: 0. */
  readonly answerBytes?: number;
  /** Endpoints that this call was already sent to. */
  readonly exclude: ReadonlySet<string>;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly now: number;
}

/** Largest share of a cluster that is ejected at a time. */
const maxEjectedShare = 0.5;
/** A probe waits this long in ms for an idempotent call before any other call is used for it. */
const probeOverdueMs = 5_000;
const warmUpTries = 8;
/** Predicted times that differ by less than 10% count as equal, so that calls stay spread. */
const costMargin = 0.9;

const readyOf = ({ endpoints }: Cluster): readonly Endpoint[] =>
  endpoints.filter(({ state }) => state === 'ready');

/**
 * Endpoints in use. If more than half of them are ejected, the ones with the lowest share of
 * failures stay in use, so that a fault that all share does not empty the cluster.
 */
export const endpointsInUse = (
  ready: readonly Endpoint[],
  evidence: Evidence,
  now: number,
): readonly Endpoint[] => {
  const isOut = ({ id }: Endpoint) => evidence.queries.isEjected(id, now);
  const out = ready.filter(isOut);
  const maxOut = Math.floor(ready.length * maxEjectedShare);
  if (out.length <= maxOut) {
    return out.length === 0 ? ready : ready.filter((endpoint) => !isOut(endpoint));
  }
  const failureShare = ({ id }: Endpoint) => evidence.queries.of(id)?.ejection.failureShare ?? 0;
  const kept = out
    .sort((a, b) => failureShare(a) - failureShare(b))
    .slice(0, out.length - maxOut)
    .map(({ id }) => id);
  return ready.filter((endpoint) => !isOut(endpoint) || kept.includes(endpoint.id));
};

const dueForProbe = (
  ready: readonly Endpoint[],
  { evidence, policy, exclude, now }: EndpointChoice,
): Endpoint | undefined =>
  ready.find(({ id }) => {
    if (exclude.has(id) || evidence.queries.status(id, now) !== 'probe') {
      return false;
    }
    const dueAt = evidence.queries.of(id)?.ejection.ejectedUntil ?? now;
    return policy.idempotent || now - dueAt > probeOverdueMs;
  });

/** Picks a random endpoint; one that warms up is passed over in proportion. */
const pickWarm = (
  endpoints: readonly Endpoint[],
  { evidence, random, now }: EndpointChoice,
): Endpoint | undefined => {
  const shareOf = ({ id }: Endpoint) => warmShare(evidence.queries.of(id), now);
  const highest = Math.max(...endpoints.map(shareOf));
  let picked: Endpoint | undefined;
  for (let tries = 0; tries < warmUpTries; tries += 1) {
    picked = endpoints[Math.floor(random() * endpoints.length)];
    if (picked && random() * highest < shareOf(picked)) {
      return picked;
    }
  }
  return picked;
};

type Cost = (endpoint: Endpoint) => number;

const chooseOfTwo = (
  tier: readonly Endpoint[],
  choice: EndpointChoice,
  cost: Cost,
): Endpoint | undefined => {
  const first = pickWarm(tier, choice);
  const others = tier.filter((endpoint) => endpoint !== first);
  const second = others.length > 0 ? pickWarm(others, choice) : undefined;
  if (!first || !second) {
    return first;
  }
  return cost(second) < costMargin * cost(first) ? second : first;
};

const chooseOfTiers = (
  inUse: readonly Endpoint[],
  choice: EndpointChoice,
): Endpoint | undefined => {
  const { evidence, home, answerBytes = 0, now } = choice;
  const usualMs = usualLatencyMs(evidence, inUse);
  const cost: Cost = (endpoint) =>
    predictedMs(endpoint, evidence.queries.of(endpoint.id), usualMs, now);
  const own = inUse.find(({ node }) => node === home.name);
  let cheapest = own && { endpoint: own, costMs: cost(own) };
  groupByDistance(inUse, home).forEach(({ distance, endpoints }) => {
    const endpoint = chooseOfTwo(endpoints, choice, cost);
    const costMs = endpoint ? cost(endpoint) + wayCostMs(distance, answerBytes) + hopMs : Infinity;
    if (endpoint && costMs < (cheapest?.costMs ?? Infinity)) {
      cheapest = { endpoint, costMs };
    }
  });
  return cheapest?.endpoint;
};

/** Chooses an endpoint that was not tried yet, or returns undefined if none is left. */
export const chooseEndpoint = (choice: EndpointChoice): Endpoint | undefined => {
  const { cluster, evidence, exclude, now } = choice;
  const ready = readyOf(cluster);
  const probe = dueForProbe(ready, choice);
  if (probe) {
    return probe;
  }
  const inUse = endpointsInUse(ready, evidence, now).filter(({ id }) => !exclude.has(id));
  return chooseOfTiers(inUse, choice);
};
