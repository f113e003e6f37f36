/**
 * Choice of the endpoint for one attempt: power of two choices on predicted time among the
 * endpoints that are ready and not ejected, for each distance; of these and the endpoint beside the
 * node the one that is cheapest with the way to it.
 */
import type { Cluster, Endpoint, Policy } from '../../types/public.js';
import { predictCostMs, medianLatencyMs, warmUpShare } from './endpointCost.js';
import type { EndpointTracker } from './endpointTracker.js';
import {
  groupByDistance,
  hopCostMs,
  distanceCostMs,
  type Locality,
  type Tier,
} from './routingTiers.js';

export type { Locality as Home } from './routingTiers.js';

export interface EndpointChoice {
  readonly cluster: Cluster;
  readonly evidence: EndpointTracker;
  readonly policy: Policy;
  readonly home: Locality;
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
  evidence: EndpointTracker,
  now: number,
): readonly Endpoint[] => {
  const isOut = ({ id }: Endpoint) => evidence.queries.isEjected(id, now);
  const out = ready.filter(isOut);
  const maxOut = Math.floor(ready.length * maxEjectedShare);
  if (out.length <= maxOut) {
    return out.length === 0 ? ready : ready.filter((endpoint) => !isOut(endpoint));
  }
  const failureShare = ({ id }: Endpoint) => evidence.queries.get(id)?.ejection.failureShare ?? 0;
  const kept = out
    .sort((a, b) => failureShare(a) - failureShare(b))
    .slice(0, out.length - maxOut)
    .map(({ id }) => id);
  return ready.filter((endpoint) => !isOut(endpoint) || kept.includes(endpoint.id));
};

interface UsedTier extends Tier {
  /** Two endpoints at least have their full share of calls, so that one is left beside any other. */
  isWarm: boolean;
}

/** Endpoints of a cluster that are in use, as one node sees them. */
interface ClusterUse {
  readonly home: Locality;
  readonly evidence: EndpointTracker;
  readonly ejectionEpoch: number;
  /** Ready endpoints that are ejected. */
  readonly ejected: readonly Endpoint[];
  readonly inUse: readonly Endpoint[];
  readonly own: Endpoint | undefined;
  readonly tiers: readonly UsedTier[];
}

type Used = Pick<ClusterUse, 'inUse' | 'own' | 'tiers'>;

/** Kept with the cluster, so that a choice doesn't look at all endpoints again. */
const uses = new WeakMap<Cluster, ClusterUse>();

const arrange = (inUse: readonly Endpoint[], home: Locality): Used => ({
  inUse,
  own: inUse.find(({ node }) => node === home.name),
  tiers: groupByDistance(inUse, home).map((tier) => ({ ...tier, isWarm: false })),
});

const useOf = ({ cluster, evidence, home, now }: EndpointChoice): ClusterUse => {
  const ejectionEpoch = evidence.queries.ejectionEpoch();
  const known = uses.get(cluster);
  if (
    known?.ejectionEpoch === ejectionEpoch &&
    known.home === home &&
    known.evidence === evidence
  ) {
    return known;
  }
  const ready = readyOf(cluster);
  const use = {
    home,
    evidence,
    ejectionEpoch,
    ejected: ready.filter(({ id }) => evidence.queries.isEjected(id, now)),
    ...arrange(endpointsInUse(ready, evidence, now), home),
  };
  uses.set(cluster, use);
  return use;
};

const dueForProbe = (
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

/** Largest share of calls in a tier, without the endpoint at one index. */
const highestShare = (
  tier: UsedTier,
  skipped: number,
  { evidence, now }: EndpointChoice,
): number => {
  if (tier.isWarm) {
    return 1;
  }
  const shares = tier.endpoints
    .filter((_, index) => index !== skipped)
    .map(({ id }) => warmUpShare(evidence.queries.get(id), now));
  // Shares only rise until an ejection ends, which arranges the tiers anew.
  tier.isWarm = shares.filter((share) => share === 1).length > 1;
  return Math.max(...shares);
};

/**
 * Index of a random endpoint that isn't at `skipped`; one that warms up is passed over in proportion.
 */
const pickWarm = (tier: UsedTier, skipped: number, choice: EndpointChoice): number => {
  const { evidence, random, now } = choice;
  const { endpoints } = tier;
  const highest = highestShare(tier, skipped, choice);
  const count = skipped === noIndex ? endpoints.length : endpoints.length - 1;
  let picked = noIndex;
  for (let tries = 0; tries < warmUpTries; tries += 1) {
    const drawn = Math.floor(random() * count);
    picked = skipped !== noIndex && drawn >= skipped ? drawn + 1 : drawn;
    if (random() * highest < warmUpShare(evidence.queries.get(endpoints[picked]!.id), now)) {
      return picked;
    }
  }
  return picked;
};

type Cost = (endpoint: Endpoint) => number;

interface Candidate {
  readonly endpoint: Endpoint;
  readonly costMs: number;
}

const chooseOfTwo = (tier: UsedTier, choice: EndpointChoice, cost: Cost): Candidate => {
  const firstIndex = pickWarm(tier, noIndex, choice);
  const endpoint = tier.endpoints[firstIndex]!;
  const first = { endpoint, costMs: cost(endpoint) };
  if (tier.endpoints.length === 1) {
    return first;
  }
  const other = tier.endpoints[pickWarm(tier, firstIndex, choice)]!;
  const second = { endpoint: other, costMs: cost(other) };
  return second.costMs < costMargin * first.costMs ? second : first;
};

const chooseOfTiers = (
  { inUse, own, tiers }: Used,
  choice: EndpointChoice,
): Endpoint | undefined => {
  const { evidence, answerBytes = 0, now } = choice;
  let usualMs: number | undefined;
  const usualLatency = (): number => {
    usualMs ??= medianLatencyMs(evidence, inUse);
    return usualMs;
  };
  const cost: Cost = (endpoint) =>
    predictCostMs(endpoint, evidence.queries.get(endpoint.id), usualLatency, now);
  let cheapest: Candidate | undefined = own && { endpoint: own, costMs: cost(own) };
  tiers.forEach((tier) => {
    const { endpoint, costMs: workMs } = chooseOfTwo(tier, choice, cost);
    const costMs = workMs + distanceCostMs(tier.distance, answerBytes) + hopCostMs;
    if (costMs < (cheapest?.costMs ?? Infinity)) {
      cheapest = { endpoint, costMs };
    }
  });
  return cheapest?.endpoint;
};

/** Chooses an endpoint that was not tried yet, or returns undefined if none is left. */
export const chooseEndpoint = (choice: EndpointChoice): Endpoint | undefined => {
  const { exclude, home } = choice;
  const use = useOf(choice);
  const probe = dueForProbe(use.ejected, choice);
  if (probe) {
    return probe;
  }
  const isLeft = ({ id }: Endpoint) => !exclude.has(id);
  const used = exclude.size === 0 ? use : arrange(use.inUse.filter(isLeft), home);
  return chooseOfTiers(used, choice);
};
