/**
 * The configuration and clusters that a proxy serves with. A received configuration is staged
 * beside the one in force. Once the clusters of its routes have arrived, or `clusterWaitMs` has
 * passed, the configuration and its clusters are activated together by swapping a single reference.
 * The version never decreases, and a route whose cluster has not arrived is withheld.
 */
import type { Cluster, Configuration, Endpoint, Policy, Version } from '../../types/public.js';
import type { ActiveConfiguration } from '../../types/internal.js';
import type { StoredConfiguration } from './configurationStore.js';
import { isNewer, noVersion } from '../agreement/version.js';
import { routedServices } from '../operators/services.js';

/**
 * Maximum time that a staged configuration waits for its clusters. The whole configuration waits,
 * and a change has to be in force on every proxy within 2 s, its way down the tree included.
 */
export const clusterWaitMs = 1_000;
/** A cluster is kept for this time after the last call to its service. */
export const clusterRetentionMs = 600_000;

interface Staged extends StoredConfiguration {
  readonly policies: ReadonlyMap<string, Policy>;
  readonly services: ReadonlySet<string>;
  /** Services without a route so far, whose clusters the activation waits for. */
  readonly awaited: ReadonlySet<string>;
  readonly stagedAt: number;
}

export type StageResult = 'staged' | 'not_newer' | 'below_floor';

export interface ServingState {
  readonly commands: {
    /** Stages a configuration whose digest has been verified. */
    stageConfiguration(stored: StoredConfiguration, now: number): StageResult;
    /** Sets the newest endpoints of a service, for the next activation. */
    stageCluster(cluster: Cluster): void;
    /** Raises the floor: versions below it are not served. */
    raiseFloor(version: Version): void;
    /** Records a call to a service, which keeps its cluster from being dropped. */
    recordUse(service: string, now: number): void;
    /** Activates staged state that is ready. Returns the active configuration if it changed. */
    activate(now: number): ActiveConfiguration | undefined;
    /**
     * Drops clusters without a route, or without a call for `clusterRetentionMs`. Returns the
     * active configuration if it changed.
     */
    dropUnused(now: number): ActiveConfiguration | undefined;
  };
  readonly queries: {
    current(): ActiveConfiguration | undefined;
    floor(): Version;
    /** Services whose clusters are in use or awaited. */
    neededServices(): ReadonlySet<string>;
    /** Why the newest configuration is not in force; undefined if it is. */
    reason(): string | undefined;
  };
}

/** Derives the policies of all classes of a configuration, by class name. */
export type DerivePolicies = (configuration: Configuration) => ReadonlyMap<string, Policy>;

export const createServingState = (derivePolicies: DerivePolicies): ServingState => {
  let active: ActiveConfiguration | undefined;
  let staged: Staged | undefined;
  let floor: Version = noVersion;
  let clustersChanged = false;
  const clusters = new Map<string, Cluster>();
  const usedAt = new Map<string, number>();

  const selectClusters = (configuration: Configuration): Map<string, Cluster> => {
    const services = routedServices(configuration);
    const isSelected = ([service]: [string, Cluster]) =>
      services.has(service) && usedAt.has(service);
    return new Map(
      [...clusters]
        .filter(isSelected)
        .map(([service, cluster]) => [service, markDrained(cluster, configuration)]),
    );
  };

  const newestVersion = (): Version => staged?.version ?? active?.version ?? noVersion;

  const stageConfiguration: ServingState['commands']['stageConfiguration'] = (stored, now) => {
    if (!isNewer(stored.version, newestVersion())) {
      return 'not_newer';
    }
    if (isNewer(floor, stored.version)) {
      return 'below_floor';
    }
    const services = routedServices(stored.configuration);
    const routedBefore: ReadonlySet<string> = active
      ? routedServices(active.configuration)
      : new Set();
    const awaited = new Set([...services].filter((service) => !routedBefore.has(service)));
    awaited.forEach((service) => usedAt.set(service, now));
    staged = {
      ...stored,
      policies: derivePolicies(stored.configuration),
      services,
      awaited,
      // Keeps the first time, so that a stream of changes cannot postpone the activation forever.
      stagedAt: staged?.stagedAt ?? now,
    };
    return 'staged';
  };

  const isReady = ({ awaited, stagedAt }: Staged, now: number): boolean =>
    now - stagedAt >= clusterWaitMs || [...awaited].every((service) => clusters.has(service));

  /**
   * Marks drained endpoints as leaving. A cluster without drained endpoints stays the same object,
   * since routing caches state by cluster object.
   */
  const markDrained = (cluster: Cluster, { drains = {} }: Configuration): Cluster => {
    const isDrained = ({ id }: Endpoint) => Object.hasOwn(drains, id);
    if (!cluster.endpoints.some(isDrained)) {
      return cluster;
    }
    return {
      ...cluster,
      endpoints: cluster.endpoints.map((endpoint) =>
        isDrained(endpoint) ? { ...endpoint, state: 'leaving' } : endpoint,
      ),
    };
  };

  const swap = (
    next: Pick<ActiveConfiguration, 'version' | 'digest' | 'configuration' | 'policies'>,
  ): ActiveConfiguration => {
    clustersChanged = false;
    active = Object.freeze({
      version: next.version,
      digest: next.digest,
      configuration: next.configuration,
      policies: next.policies,
      clusters: selectClusters(next.configuration),
    });
    return active;
  };

  const activate = (now: number): ActiveConfiguration | undefined => {
    if (staged && isReady(staged, now)) {
      const next = staged;
      staged = undefined;
      return swap(next);
    }
    return active && clustersChanged ? swap(active) : undefined;
  };

  const neededServices = (): Set<string> => {
    const routed = [
      ...(active ? routedServices(active.configuration) : []),
      ...(staged?.services ?? []),
    ];
    return new Set(routed.filter((service) => usedAt.has(service)));
  };

  const dropUnused = (now: number): ActiveConfiguration | undefined => {
    [...usedAt]
      .filter(([, at]) => now - at >= clusterRetentionMs)
      .forEach(([service]) => usedAt.delete(service));
    const kept = neededServices();
    const dropped = [...clusters.keys()].filter((service) => !kept.has(service));
    dropped.forEach((service) => clusters.delete(service));
    const wasActive = active && dropped.some((service) => active?.clusters.has(service));
    return active && wasActive ? swap(active) : undefined;
  };

  return {
    commands: {
      stageConfiguration,
      stageCluster: (cluster) => {
        clusters.set(cluster.service, cluster);
        clustersChanged = true;
      },
      raiseFloor: (version) => {
        floor = isNewer(version, floor) ? version : floor;
        if (staged && isNewer(floor, staged.version)) {
          staged = undefined;
        }
      },
      recordUse: (service, now) => {
        usedAt.set(service, now);
      },
      activate,
      dropUnused,
    },
    queries: {
      current: () => active,
      floor: () => floor,
      neededServices,
      reason: () => {
        if (staged) {
          return 'waiting for clusters';
        }
        return active ? undefined : 'no configuration at or above the floor';
      },
    },
  };
};
