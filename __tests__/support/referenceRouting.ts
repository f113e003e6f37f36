/**
 * Reference implementation of routing: scans all endpoints of the cluster and keeps no state
 * between choices. Tests compare the product's choice with it.
 */
import { predictCostMs, medianLatencyMs, warmUpShare } from '../../src/core/calls/endpointCost.js';
import { endpointsInUse, type EndpointChoice } from '../../src/core/calls/routing.js';
import { groupByDistance, hopCostMs, distanceCostMs } from '../../src/core/calls/routingTiers.js';
import type { Endpoint } from '../../src/types/public.js';

const warmUpTries = 8;
const costMargin = 0.9;
const probeOverdueMs = 5_000;

const pickByWarmUpShare = (
  endpoints: readonly Endpoint[],
  { evidence, random, now }: EndpointChoice,
): Endpoint | undefined => {
  const shareOf = ({ id }: Endpoint) => warmUpShare(evidence.queries.get(id), now);
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

const chooseBetweenTwo = (
  tier: readonly Endpoint[],
  choice: EndpointChoice,
  cost: (endpoint: Endpoint) => number,
): Endpoint | undefined => {
  const first = pickByWarmUpShare(tier, choice);
  const others = tier.filter((endpoint) => endpoint !== first);
  const second = others.length > 0 ? pickByWarmUpShare(others, choice) : undefined;
  if (!first || !second) {
    return first;
  }
  return cost(second) < costMargin * cost(first) ? second : first;
};

/** Chooses an endpoint by scanning all of them. */
export const chooseByScan = (choice: EndpointChoice): Endpoint | undefined => {
  const { cluster, evidence, policy, exclude, home, answerBytes = 0, now } = choice;
  const ready = cluster.endpoints.filter(({ state }) => state === 'ready');
  const probe = ready.find(({ id }) => {
    if (exclude.has(id) || evidence.queries.status(id, now) !== 'probe') {
      return false;
    }
    const dueAt = evidence.queries.get(id)?.ejection.ejectedUntil ?? now;
    return policy.idempotent || now - dueAt > probeOverdueMs;
  });
  if (probe) {
    return probe;
  }
  const inUse = endpointsInUse(ready, evidence, now).filter(({ id }) => !exclude.has(id));
  const medianMs = medianLatencyMs(evidence, inUse);
  const cost = (endpoint: Endpoint) =>
    predictCostMs(endpoint, evidence.queries.get(endpoint.id), () => medianMs, now);
  const localEndpoint = inUse.find(({ node }) => node === home.name);
  let cheapest = localEndpoint && { endpoint: localEndpoint, costMs: cost(localEndpoint) };
  groupByDistance(inUse, home).forEach(({ distance, endpoints }) => {
    const endpoint = chooseBetweenTwo(endpoints, choice, cost);
    const costMs = endpoint
      ? cost(endpoint) + distanceCostMs(distance, answerBytes) + hopCostMs
      : Infinity;
    if (endpoint && costMs < (cheapest?.costMs ?? Infinity)) {
      cheapest = { endpoint, costMs };
    }
  });
  return cheapest?.endpoint;
};
