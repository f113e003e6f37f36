/**
 * Endpoints known to a control instance, by service and with revisions. The reports of the branches
 * and of the other control instances are reconciled into one set. Removals are delayed just after
 * the start, and when most endpoints would be removed at once: either can be caused by a fault of
 * this process or its network, and callers detect dead endpoints themselves.
 */
import type { Cluster, Endpoint } from '../../types/public.js';
import { leaseMs } from './branches.js';
import { createCluster } from './usableEndpoints.js';
import { createClusterLog, recordChange, endSettling, type ClusterLog } from './clusterLog.js';

/** Time after the start within which all live nodes have reported again. */
export const settleMs = leaseMs;
/** Maximum time for which a removal is delayed. */
export const massRemovalHoldMs = 3 * leaseMs;
/** Removals are delayed if more than this share of the endpoints would be removed at once. */
const massShare = 0.5;
/** Fewer removals cannot be distinguished from ordinary stops of single endpoints. */
const massMinimum = 3;

/** The set of endpoints that should be known. */
export interface DesiredEndpoints {
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  /** True if the endpoint's node withdrew it. Such a removal is never delayed. */
  isWithdrawn(endpoint: Endpoint): boolean;
}

export interface Registry {
  readonly commands: {
    /** Updates the clusters to the desired set. Returns the services that changed. */
    reconcile(desired: DesiredEndpoints, now: number): string[];
  };
  readonly queries: {
    /** Log of a service; a service without endpoints has an empty one. */
    log(service: string): ClusterLog;
    services(): string[];
    clusters(): Map<string, Cluster>;
    isSettling(): boolean;
  };
}

interface ServiceChange {
  readonly upserts: Endpoint[];
  readonly removals: string[];
}

const isSame = (a: Endpoint, b: Endpoint | undefined): boolean =>
  b !== undefined && a.incarnation === b.incarnation && a.sequence === b.sequence;

/** Creates the registry of a process that started at `startedAt`. */
export const createRegistry = (registryId: string, startedAt: number): Registry => {
  const logs = new Map<string, ClusterLog>();
  const known = new Map<string, Endpoint>();
  // Time at which the delay of an endpoint's removal started, by endpoint id.
  const delayedRemovals = new Map<string, number>();
  let settling = true;

  const log = (service: string): ClusterLog => {
    const found = logs.get(service) ?? createClusterLog(service, registryId, settling);
    logs.set(service, found);
    return found;
  };

  const endSettlingIfDue = (now: number): string[] => {
    if (!settling || now - startedAt < settleMs) {
      return [];
    }
    settling = false;
    logs.forEach(endSettling);
    return [...logs.keys()];
  };

  const chooseDueRemovals = (missing: readonly Endpoint[], now: number): Endpoint[] => {
    missing.forEach(({ id }) => delayedRemovals.set(id, delayedRemovals.get(id) ?? now));
    return missing.filter(({ id }) => now - (delayedRemovals.get(id) ?? now) >= massRemovalHoldMs);
  };

  const chooseRemovals = (desired: DesiredEndpoints, now: number): Endpoint[] => {
    const gone = [...known.values()].filter(({ id }) => !desired.endpoints.has(id));
    const withdrawn = gone.filter((endpoint) => desired.isWithdrawn(endpoint));
    const missing = gone.filter((endpoint) => !desired.isWithdrawn(endpoint));
    const stillMissing = new Set(missing.map(({ id }) => id));
    [...delayedRemovals.keys()]
      .filter((id) => !stillMissing.has(id))
      .forEach((id) => delayedRemovals.delete(id));
    const isMass = missing.length >= massMinimum && missing.length > known.size * massShare;
    const allowed = settling || isMass ? chooseDueRemovals(missing, now) : missing;
    return [...withdrawn, ...allowed];
  };

  const reconcile = (desired: DesiredEndpoints, now: number): string[] => {
    const settled = endSettlingIfDue(now);
    const changes = new Map<string, ServiceChange>();
    const changeOf = (service: string): ServiceChange => {
      const change = changes.get(service) ?? { upserts: [], removals: [] };
      changes.set(service, change);
      return change;
    };
    chooseRemovals(desired, now).forEach(({ id, service }) => {
      changeOf(service).removals.push(id);
      known.delete(id);
      delayedRemovals.delete(id);
    });
    for (const endpoint of desired.endpoints.values()) {
      if (!isSame(endpoint, known.get(endpoint.id))) {
        changeOf(endpoint.service).upserts.push(endpoint);
        known.set(endpoint.id, endpoint);
      }
    }
    changes.forEach(({ upserts, removals }, service) =>
      recordChange(log(service), upserts, removals),
    );
    return [...new Set([...settled, ...changes.keys()])];
  };

  return {
    commands: { reconcile },
    queries: {
      log,
      services: () => [...logs.keys()],
      clusters: () =>
        new Map(
          [...logs].map(([service, { endpoints }]) => [
            service,
            createCluster(service, endpoints.values()),
          ]),
        ),
      isSettling: () => settling,
    },
  };
};
