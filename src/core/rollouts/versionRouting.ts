/**
 * Choice of endpoints by the version of their software, as the newest rollout of a service allows.
 * The endpoints of a cluster are divided once per cluster and rollout, because the choice of an
 * endpoint caches its view by cluster object and runs for each attempt.
 */
import type { Cluster, Configuration, Endpoint } from '../../types/public.js';
import type { Rollout, RolloutStage, RolloutState } from '../../types/rollouts.js';

/** Endpoints that one attempt may go to. */
export interface VersionRoute {
  /** Clusters in order of preference: a later one is used if the earlier ones have no endpoint. */
  readonly clusters: readonly Cluster[];
  /** Whether the endpoint beside this node belongs to the preferred ones, by its id and version. */
  allows(endpointId: string, version: string | undefined): boolean;
}

/**
 * Smallest part of the slots that the share of the canary needs. With less, its endpoints work
 * under more load than the others, and a good version looks slow.
 */
const minCapacityShare = 0.9;

const fnvOffset = 0x811c9dc5;
const fnvPrime = 0x01000193;

/** FNV-1a, which is the same on all nodes and machines. */
const hashText = (text: string): number => {
  let hash = fnvOffset;
  for (let index = 0; index < text.length; index += 1) {
    // eslint-disable-next-line no-bitwise
    hash = Math.imul(hash ^ text.charCodeAt(index), fnvPrime) >>> 0;
  }
  return hash;
};

/** Newest rollout of a service; undefined if it has none. */
export const findRollout = (
  configuration: Configuration | undefined,
  service: string,
): Rollout | undefined => {
  const rollouts = configuration?.rollouts;
  return rollouts && Object.hasOwn(rollouts, service) ? rollouts[service] : undefined;
};

/** Whether endpoints of the version get no calls in any case. */
export const isVersionBarred = (
  rollout: Rollout | undefined,
  version: string | undefined,
): boolean => {
  if (!rollout || version === undefined) {
    return false;
  }
  return version === rollout.targetVersion
    ? rollout.state === 'rolled_back'
    : rollout.blockedVersions.includes(version);
};

const isReady = ({ state }: Endpoint): boolean => state === 'ready';

const sumSlots = (endpoints: readonly Endpoint[]): number =>
  endpoints.reduce((sum, { slots }) => sum + slots, 0);

/**
 * Target endpoints that share the calls of the canary: as many as work under the load of the other
 * endpoints, but at least one.
 */
const chooseCanary = (
  target: readonly Endpoint[],
  others: readonly Endpoint[],
  share: number,
): readonly Endpoint[] => {
  const neededSlots = (sumSlots(others.filter(isReady)) * share) / Math.max(1 - share, 1e-9);
  const ordered = target
    .filter(isReady)
    .map((endpoint) => ({ endpoint, hash: hashText(endpoint.id) }))
    .sort((a, b) => a.hash - b.hash || (a.endpoint.id < b.endpoint.id ? -1 : 1))
    .map(({ endpoint }) => endpoint);
  const slotsOfFirst = (count: number) => sumSlots(ordered.slice(0, count));
  const index = ordered.findIndex(
    (_, last) => slotsOfFirst(last + 1) >= minCapacityShare * neededSlots,
  );
  return index < 0 ? ordered : ordered.slice(0, index + 1);
};

/** Routes of a cluster under one rollout. */
interface VersionRoutes {
  /** Endpoints of versions other than the target and the blocked ones. */
  readonly others: VersionRoute;
  /** Unset without a ready target endpoint. */
  readonly canary: VersionRoute | undefined;
  readonly target: VersionRoute | undefined;
  /** Others, where an endpoint of the target version beside the node is allowed as well. */
  readonly withoutTarget: VersionRoute;
}

/** Returns the cluster itself if nothing is left out, since routing caches by cluster object. */
const restrict = (cluster: Cluster, endpoints: readonly Endpoint[]): Cluster =>
  endpoints.length === cluster.endpoints.length ? cluster : { ...cluster, endpoints };

const deriveRoutes = (cluster: Cluster, rollout: Rollout): VersionRoutes => {
  const { targetVersion, canaryShare } = rollout;
  const isTarget = (version: string | undefined) => version === targetVersion;
  const isOther = (version: string | undefined) =>
    !isTarget(version) && !isVersionBarred(rollout, version);
  const targetEndpoints = cluster.endpoints.filter(({ version }) => isTarget(version));
  const otherEndpoints = cluster.endpoints.filter(({ version }) => isOther(version));
  const canaryEndpoints = chooseCanary(targetEndpoints, otherEndpoints, canaryShare);
  const canaryIds = new Set(canaryEndpoints.map(({ id }) => id));
  const others = restrict(cluster, otherEndpoints);
  const hasTarget = canaryIds.size > 0;
  return {
    others: { clusters: [others], allows: (_, version) => isOther(version) },
    canary: hasTarget
      ? {
          clusters: [restrict(cluster, canaryEndpoints), others],
          allows: (endpointId, version) => isTarget(version) && canaryIds.has(endpointId),
        }
      : undefined,
    target: hasTarget
      ? {
          clusters: [restrict(cluster, targetEndpoints)],
          allows: (_, version) => isTarget(version),
        }
      : undefined,
    withoutTarget: {
      clusters: [others],
      allows: (_, version) => isTarget(version) || isOther(version),
    },
  };
};

const routesCache = new WeakMap<Cluster, WeakMap<Rollout, VersionRoutes>>();

const routesOf = (cluster: Cluster, rollout: Rollout): VersionRoutes => {
  const byRollout = routesCache.get(cluster) ?? new WeakMap<Rollout, VersionRoutes>();
  routesCache.set(cluster, byRollout);
  const routes = byRollout.get(rollout) ?? deriveRoutes(cluster, rollout);
  byRollout.set(rollout, routes);
  return routes;
};

type RouteChoice = (routes: VersionRoutes, rollout: Rollout, random: () => number) => VersionRoute;

const chooseTarget: RouteChoice = ({ target, withoutTarget }) => target ?? withoutTarget;

const stageChoices: Readonly<Record<RolloutStage, RouteChoice>> = {
  canary: ({ canary, others }, { canaryShare }, random) =>
    canary && random() < canaryShare ? canary : others,
  shift: chooseTarget,
};

const stateChoices: Readonly<Record<RolloutState, RouteChoice>> = {
  running: (routes, rollout, random) => stageChoices[rollout.stage](routes, rollout, random),
  completed: chooseTarget,
  rolled_back: ({ others }) => others,
};

/** Chooses the endpoints for one attempt. `random` returns a number in [0, 1). */
export const chooseVersionRoute = (
  cluster: Cluster,
  rollout: Rollout,
  random: () => number,
): VersionRoute => stateChoices[rollout.state](routesOf(cluster, rollout), rollout, random);

/** Number of ready endpoints by their part in a rollout. */
export interface RolloutEndpoints {
  readonly target: number;
  /** Target endpoints that get calls in the canary. */
  readonly canary: number;
  readonly others: number;
}

export const countRolloutEndpoints = (cluster: Cluster, rollout: Rollout): RolloutEndpoints => {
  const { target, canary, others } = routesOf(cluster, rollout);
  const countReady = (route: VersionRoute | undefined) =>
    route?.clusters[0]?.endpoints.filter(isReady).length ?? 0;
  return { target: countReady(target), canary: countReady(canary), others: countReady(others) };
};
