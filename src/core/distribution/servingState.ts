/**
 * What a proxy holds and serves. A received configuration is staged beside the one in force; when
 * the clusters of its routes are there, or the wait is over, both become one new unit by the swap
 * of one reference. A version never goes back, and a route whose cluster has not arrived is
 * withheld.
 */
import type { Cluster, Configuration, Endpoint, Policy, Version } from '../../types/public.js';
import type { ActiveConfiguration } from '../../types/internal.js';
import type { StoredConfiguration } from './configurationStore.js';
import { isNewer, noVersion } from '../agreement/version.js';
import { routedServices } from '../operators/services.js';

/** Longest wait for the clusters of a staged configuration. */
export const clusterWaitMs = 3_000;
/** A cluster is kept for this time after the last call to its service. */
export const clusterRetentionMs = 600_000;

interface Staged extends StoredConfiguration {
  readonly policies: ReadonlyMap<string, Policy>;
  readonly services: ReadonlySet<string>;
  /** Services that are new to the routes and whose clusters are awaited. */
  readonly awaited: ReadonlySet<string>;
  readonly since: number;
}

export type StageResult = 'staged' | 'not_newer' | 'below_floor';

export interface ServingState {
  readonly commands: {
    /** Stages a configuration whose digest was checked. */
    stageConfiguration(stored: StoredConfiguration, now: number): StageResult;
    /** Takes the newest endpoints of a service. */
    stageCluster(cluster: Cluster): void;
    /** Does not serve versions below the floor. */
    raiseFloor(version: Version): void;
    /** Records a call to a service, which keeps its cluster. */
    recordUse(service: string, now: number): void;
    /**
     * Swaps the reference if something staged is ready. Returns what is held now if it changed.
     */
    activate(now: number): ActiveConfiguration | undefined;
    /** Drops clusters without a route or without calls. Returns what is held if it changed. */
    dropUnused(now: number): ActiveConfiguration | undefined;
  };
  readonly queries: {
    current(): ActiveConfiguration | undefined;
    floor(): Version;
    /** Services whose clusters are held or awaited. */
    neededServices(): ReadonlySet<string>;
    /** Why the newest configuration is not in force, or undefined if it is. */
    reason(): string | undefined;
  };
}

/** Derives the policies of all classes of a configuration, by class name. */
export type DerivePolicies = (configuration: Configuration) => ReadonlyMap<string, Policy>;

export const createServingState = (derivePolicies: DerivePolicies): ServingState => {
  let held: ActiveConfiguration | undefined;
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

  const newestStaged = (): Version => staged?.version ?? held?.version ?? noVersion;

  const stageConfiguration: ServingState['commands']['stageConfiguration'] = (stored, now) => {
    if (!isNewer(stored.version, newestStaged())) {
      return 'not_newer';
    }
    if (isNewer(floor, stored.version)) {
      return 'below_floor';
    }
    const services = routedServices(stored.configuration);
    const routedBefore: ReadonlySet<string> = held ? routedServices(held.configuration) : new Set();
    const awaited = new Set([...services].filter((service) => !routedBefore.has(service)));
    awaited.forEach((service) => usedAt.set(service, now));
    staged = {
      ...stored,
      policies: derivePolicies(stored.configuration),
      services,
      awaited,
      // A stream of changes must not put off the swap again and again.
      since: staged?.since ?? now,
    };
    return 'staged';
  };

  const isReady = ({ awaited, since }: Staged, now: number): boolean =>
    now - since >= clusterWaitMs || [...awaited].every((service) => clusters.has(service));

  /** A cluster without drained endpoints stays the same object, since routing keeps more with it. */
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
    held = Object.freeze({
      version: next.version,
      digest: next.digest,
      configuration: next.configuration,
      policies: next.policies,
      clusters: selectClusters(next.configuration),
    });
    return held;
  };

  const activate = (now: number): ActiveConfiguration | undefined => {
    if (staged && isReady(staged, now)) {
      const next = staged;
      staged = undefined;
      return swap(next);
    }
    return held && clustersChanged ? swap(held) : undefined;
  };

  const wanted = (): Set<string> => {
    const routed = [
      ...(held ? routedServices(held.configuration) : []),
      ...(staged?.services ?? []),
    ];
    return new Set(routed.filter((service) => usedAt.has(service)));
  };

  const dropUnused = (now: number): ActiveConfiguration | undefined => {
    [...usedAt]
      .filter(([, at]) => now - at >= clusterRetentionMs)
      .forEach(([service]) => usedAt.delete(service));
    const kept = wanted();
    const dropped = [...clusters.keys()].filter((service) => !kept.has(service));
    dropped.forEach((service) => clusters.delete(service));
    const wasHeld = held && dropped.some((service) => held?.clusters.has(service));
    return held && wasHeld ? swap(held) : undefined;
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
      current: () => held,
      floor: () => floor,
      neededServices: wanted,
      reason: () => {
        if (staged) {
          return 'waiting for clusters';
        }
        return held ? undefined : 'no configuration at or above the floor';
      },
    },
  };
};
