/**
 * Choice of the endpoint for one attempt. In each distance tier, one of the endpoints that are
 * ready and not ejected is chosen by the power of two choices on predicted time. Of these and the
 * endpoint beside the node, the one with the lowest cost including its distance is used.
 */
import type { Cluster, Endpoint, Policy } from '../../types/public.js';
import { linkWaitMs, predictCostMs, medianLatencyMs, warmUpShare } from './endpointCost.js';
import type { EndpointTracker } from './endpointTracker.js';
import {
  groupByDistance,
  hopCostMs,
  distanceCostMs,
  distanceOf,
  type Distance,
  type Locality,
  type Tier,
} from './routingTiers.js';

export type { Locality } from './routingTiers.js';

export interface EndpointChoice {
  readonly cluster: Cluster;
  readonly evidence: EndpointTracker;
  readonly policy: Policy;
  readonly home: Locality;
  /** Average size of a response of the class, in bytes. Default: 0. */
  readonly answerBytes?: number;
  /** Endpoints to which this call was already sent. */
  readonly exclude: ReadonlySet<string>;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly now: number;
}

/** Maximum share of a cluster that is ejected at a time. */
const maxEjectedShare = 0.5;
/** Time in ms for which a due probe waits for an idempotent call before any call is used. */
const probeOverdueMs = 5_000;
/** Draws after which an endpoint is used whatever its warm-up share. */
const maxPickTries = 8;
/** Predicted times that differ by less than 10% count as equal, to keep the calls spread. */
const costMargin = 0.9;

const readyOf = ({ endpoints }: Cluster): readonly Endpoint[] =>
  endpoints.filter(({ state }) => state === 'ready');

/**
 * Returns the endpoints in use. If more than half of the ready ones are ejected, those with the
 * lowest failure share stay in use, so that a common fault does not empty the cluster.
 */
export const endpointsInUse = (
  ready: readonly Endpoint[],
  evidence: EndpointTracker,
  now: number,
): readonly Endpoint[] => {
  const isEjected = ({ id }: Endpoint) => evidence.queries.isEjected(id, now);
  const ejected = ready.filter(isEjected);
  const maxEjected = Math.floor(ready.length * maxEjectedShare);
  if (ejected.length <= maxEjected) {
    return ejected.length === 0 ? ready : ready.filter((endpoint) => !isEjected(endpoint));
  }
  const failureShare = ({ id }: Endpoint) => evidence.queries.get(id)?.ejection.failureShare ?? 0;
  const keptIds = ejected
    .sort((a, b) => failureShare(a) - failureShare(b))
    .slice(0, ejected.length - maxEjected)
    .map(({ id }) => id);
  return ready.filter((endpoint) => !isEjected(endpoint) || keptIds.includes(endpoint.id));
};

interface ActiveTier extends Tier {
  /**
   * At least two endpoints have completed their warm-up, so one remains if any endpoint is
   * skipped.
   */
  isWarm: boolean;
}

/** Cached view of a cluster's endpoints from one node. */
interface ClusterView {
  readonly home: Locality;
  readonly evidence: EndpointTracker;
  readonly ejectionEpoch: number;
  /** Ready endpoints that are ejected. */
  readonly ejected: readonly Endpoint[];
  readonly inUse: readonly Endpoint[];
  /** Endpoint beside the node. */
  readonly own: Endpoint | undefined;
  readonly tiers: readonly ActiveTier[];
}

type ActiveEndpoints = Pick<ClusterView, 'inUse' | 'own' | 'tiers'>;

/** Cache by cluster, so that not every choice has to iterate over all endpoints. */
const viewCache = new WeakMap<Cluster, ClusterView>();

const groupActive = (inUse: readonly Endpoint[], home: Locality): ActiveEndpoints => ({
  inUse,
  own: inUse.find(({ node }) => node === home.name),
  tiers: groupByDistance(inUse, home).map((tier) => ({ ...tier, isWarm: false })),
});

const viewOf = ({ cluster, evidence, home, now }: EndpointChoice): ClusterView => {
  const ejectionEpoch = evidence.queries.ejectionEpoch();
  const cached = viewCache.get(cluster);
  if (
    cached?.ejectionEpoch === ejectionEpoch &&
    cached.home === home &&
    cached.evidence === evidence
  ) {
    return cached;
  }
  const ready = readyOf(cluster);
  const view = {
    home,
    evidence,
    ejectionEpoch,
    ejected: ready.filter(({ id }) => evidence.queries.isEjected(id, now)),
    ...groupActive(endpointsInUse(ready, evidence, now), home),
  };
  viewCache.set(cluster, view);
  return view;
};

const findDueProbe = (
  ejected: readonly Endpoint[],
  { evidence, policy, exclude, now }: EndpointChoice,
): Endpoint | undefined =>
  ejected.find(({ id }) => {
    if (exclude.has(id) || evidence.queries.status(id, now) !== 'probe') {
      return false;
    }
    const dueAt = evidence.queries.get(id)?.ejection.ejectedUntil ?? now;
    return policy.idempotent || now - dueAt > probeOverdueMs;
  });

const noIndex = -1;

/** Highest warm-up share in a tier, without the endpoint at the index `skipped`. */
const highestWarmUpShare = (
  tier: ActiveTier,
  skipped: number,
  { evidence, now }: EndpointChoice,
): number => {
  if (tier.isWarm) {
    return 1;
  }
  const shares = tier.endpoints
    .filter((_, index) => index !== skipped)
    .map(({ id }) => warmUpShare(evidence.queries.get(id), now));
  // Shares only rise until an ejection ends, and that rebuilds the tiers.
  tier.isWarm = shares.filter((share) => share === 1).length > 1;
  return Math.max(...shares);
};

/**
 * Returns the index of a random endpoint other than `skipped`. Endpoints that warm up are picked
 * in proportion to their share of calls.
 */
const pickWeighted = (tier: ActiveTier, skipped: number, choice: EndpointChoice): number => {
  const { evidence, random, now } = choice;
  const { endpoints } = tier;
  const highest = highestWarmUpShare(tier, skipped, choice);
  const count = skipped === noIndex ? endpoints.length : endpoints.length - 1;
  let picked = noIndex;
  for (let tries = 0; tries < maxPickTries; tries += 1) {
    const drawn = Math.floor(random() * count);
    picked = skipped !== noIndex && drawn >= skipped ? drawn + 1 : drawn;
    if (random() * highest < warmUpShare(evidence.queries.get(endpoints[picked]!.id), now)) {
      return picked;
    }
  }
  return picked;
};

type CostEstimate = (endpoint: Endpoint) => number;

interface Candidate {
  readonly endpoint: Endpoint;
  readonly costMs: number;
}

const chooseOfTwo = (tier: ActiveTier, choice: EndpointChoice, cost: CostEstimate): Candidate => {
  const firstIndex = pickWeighted(tier, noIndex, choice);
  const endpoint = tier.endpoints[firstIndex]!;
  const first = { endpoint, costMs: cost(endpoint) };
  if (tier.endpoints.length === 1) {
    return first;
  }
  const other = tier.endpoints[pickWeighted(tier, firstIndex, choice)]!;
  const second = { endpoint: other, costMs: cost(other) };
  return second.costMs < costMargin * first.costMs ? second : first;
};

interface CostEstimates {
  /** Cost of a call at the endpoint beside the node. */
  readonly own: CostEstimate;
  /** Cost of a call at an endpoint of a tier, without its distance. */
  readonly inTier: CostEstimate;
}

const createEstimates = (
  inUse: readonly Endpoint[],
  { evidence, answerBytes = 0, now }: EndpointChoice,
): CostEstimates => {
  let medianMs: number | undefined;
  const medianLatency = (): number => {
    medianMs ??= medianLatencyMs(evidence, inUse);
    return medianMs;
  };
  return {
    // The response crosses the link of this node in any case, and no other one from the own endpoint.
    own: (endpoint) =>
      predictCostMs(endpoint, evidence.queries.get(endpoint.id), medianLatency, now),
    inTier: (endpoint) => {
      const stats = evidence.queries.get(endpoint.id);
      return (
        predictCostMs(endpoint, stats, medianLatency, now, 'share') +
        linkWaitMs(stats, answerBytes, now)
      );
    },
  };
};

/** Cost of a hop to an endpoint of a tier. */
const travelCostMs = (distance: Distance, answerBytes: number): number =>
  distanceCostMs(distance, answerBytes) + hopCostMs;

const chooseOfTiers = (
  { inUse, own, tiers }: ActiveEndpoints,
  choice: EndpointChoice,
): Endpoint | undefined => {
  const { answerBytes = 0 } = choice;
  const estimates = createEstimates(inUse, choice);
  let cheapest: Candidate | undefined = own && { endpoint: own, costMs: estimates.own(own) };
  tiers.forEach((tier) => {
    const { endpoint, costMs: endpointCostMs } = chooseOfTwo(tier, choice, estimates.inTier);
    const costMs = endpointCostMs + travelCostMs(tier.distance, answerBytes);
    if (costMs < (cheapest?.costMs ?? Infinity)) {
      cheapest = { endpoint, costMs };
    }
  });
  return cheapest?.endpoint;
};

/** Chooses an endpoint that has not been tried yet; undefined if none is left. */
export const chooseEndpoint = (choice: EndpointChoice): Endpoint | undefined => {
  const { exclude, home } = choice;
  const view = viewOf(choice);
  const probe = findDueProbe(view.ejected, choice);
  if (probe) {
    return probe;
  }
  const isUntried = ({ id }: Endpoint) => !exclude.has(id);
  const active = exclude.size === 0 ? view : groupActive(view.inUse.filter(isUntried), home);
  return chooseOfTiers(active, choice);
};

/** Whether an endpoint is a candidate for a call. `probe`: the call would be its probe. */
export type EndpointUse = 'candidate' | 'probe' | 'ejected' | 'not_ready';

export interface EndpointAssessment {
  readonly endpoint: Endpoint;
  readonly use: EndpointUse;
  readonly distance: Distance;
  /** Predicted cost of a call including the distance; unset if the endpoint is no candidate. */
  readonly costMs: number | undefined;
  /** Share of its usual calls; 1 unless it warms up. */
  readonly share: number;
}

/** Says of each endpoint of a cluster how `chooseEndpoint` sees it. */
export const assessEndpoints = (choice: EndpointChoice): readonly EndpointAssessment[] => {
  const { cluster, evidence, home, answerBytes = 0, now } = choice;
  const ready = readyOf(cluster);
  const inUse = endpointsInUse(ready, evidence, now);
  const estimates = createEstimates(inUse, choice);
  const probe = findDueProbe(
    ready.filter(({ id }) => evidence.queries.isEjected(id, now)),
    choice,
  );
  const useOf = (endpoint: Endpoint): EndpointUse => {
    if (endpoint === probe) {
      return 'probe';
    }
    if (inUse.includes(endpoint)) {
      return 'candidate';
    }
    return ready.includes(endpoint) ? 'ejected' : 'not_ready';
  };
  return cluster.endpoints.map((endpoint) => {
    const use = useOf(endpoint);
    const distance = distanceOf(endpoint, home);
    const cost = () =>
      endpoint.node === home.name
        ? estimates.own(endpoint)
        : estimates.inTier(endpoint) + travelCostMs(distance, answerBytes);
    return {
      endpoint,
      use,
      distance,
      costMs: use === 'candidate' ? cost() : undefined,
      share: warmUpShare(evidence.queries.get(endpoint.id), now),
    };
  });
};
