/**
 * Endpoints of one service with a revision, as numbered by the registry of a control instance and
 * copied down the tree. Holders of an older revision of the same registry get the difference.
 */
import type { Endpoint } from '../../types/public.js';
import { equalBytes, sha256 } from './delta.js';

/** Removed ids that are remembered for deltas. A holder that is further behind gets a full update. */
const keptRemovals = 1_024;

/** What a holder has: the registry that numbered the revision, and the revision. */
export interface ClusterCursor {
  readonly service: string;
  readonly registry: string;
  readonly revision: number;
}

/** A change of a cluster as it travels. */
export interface ClusterChange extends ClusterCursor {
  readonly baseRevision: number;
  readonly full: boolean;
  /** The registry does not know all endpoints yet: what is missing is not removed. */
  readonly settling: boolean;
  readonly upserts: readonly Endpoint[];
  readonly removals: readonly string[];
  readonly resultDigest: Uint8Array;
}

export interface ClusterLog {
  readonly service: string;
  registry: string;
  revision: number;
  settling: boolean;
  /** Oldest revision from which a delta can be given. */
  oldestBaseRevision: number;
  endpoints: Map<string, Endpoint>;
  readonly changeRevisions: Map<string, number>;
  readonly removalRevisions: Map<string, number>;
  digest?: Uint8Array;
}

/** Result of an update: applied, already held, or a full update is needed. */
export type ClusterUpdateResult = 'applied' | 'already_held' | 'gap';

/** Returns a positive number if `a` is the newer record of an endpoint. */
export const compareRecords = (
  a: Pick<Endpoint, 'incarnation' | 'sequence'>,
  b: Pick<Endpoint, 'incarnation' | 'sequence'>,
): number => a.incarnation - b.incarnation || a.sequence - b.sequence;

const describeEndpoint = (endpoint: Endpoint): string =>
  JSON.stringify([
    endpoint.id,
    endpoint.service,
    endpoint.dataCentre,
    endpoint.region,
    endpoint.address,
    endpoint.forwardAddress,
    endpoint.slots,
    endpoint.connections,
    endpoint.state,
    endpoint.incarnation,
    endpoint.sequence,
    endpoint.node,
  ]);

/** SHA-256 of a set of endpoint records, independent of their order. */
export const digestEndpoints = (endpoints: Iterable<Endpoint>): Uint8Array =>
  sha256([...endpoints].map(describeEndpoint).sort().join('\n'));

export const createClusterLog = (
  service: string,
  registry: string,
  settling: boolean,
): ClusterLog => ({
  service,
  registry,
  // 0 stands for nothing held, so that an empty cluster is a revision of its own.
  revision: 1,
  settling,
  oldestBaseRevision: 1,
  endpoints: new Map(),
  changeRevisions: new Map(),
  removalRevisions: new Map(),
});

/** Digest of the endpoints at the log's revision. */
export const digestOf = (log: ClusterLog): Uint8Array => {
  log.digest ??= digestEndpoints(log.endpoints.values());
  return log.digest;
};

const forgetOldRemovals = (log: ClusterLog) => {
  for (const [id, revision] of log.removalRevisions) {
    if (log.removalRevisions.size <= keptRemovals) {
      return;
    }
    log.removalRevisions.delete(id);
    log.oldestBaseRevision = Math.max(log.oldestBaseRevision, revision);
  }
};

const upsert = (log: ClusterLog, endpoint: Endpoint) => {
  log.endpoints.set(endpoint.id, endpoint);
  log.changeRevisions.set(endpoint.id, log.revision);
  log.removalRevisions.delete(endpoint.id);
};

const remove = (log: ClusterLog, id: string) => {
  log.endpoints.delete(id);
  log.changeRevisions.delete(id);
  // Deleted first, so that the map stays ordered by revision.
  log.removalRevisions.delete(id);
  log.removalRevisions.set(id, log.revision);
};

/** Records a change under the next revision. */
export const recordChange = (
  log: ClusterLog,
  upserts: readonly Endpoint[],
  removals: readonly string[],
) => {
  log.revision += 1;
  upserts.forEach((endpoint) => upsert(log, endpoint));
  removals.forEach((id) => remove(log, id));
  log.digest = undefined;
  forgetOldRemovals(log);
};

/** Ends the settling of a log: holders get a full update that removes what is missing. */
export const endSettling = (log: ClusterLog) => {
  log.settling = false;
  log.revision += 1;
  log.oldestBaseRevision = log.revision;
};

/** What a holder of the cursor needs, or undefined if it needs nothing. */
export const changeSince = (log: ClusterLog, cursor: ClusterCursor): ClusterChange | undefined => {
  const known = cursor.registry === log.registry && cursor.revision > 0;
  if (known && cursor.revision >= log.revision) {
    return undefined;
  }
  const full = !known || cursor.revision < log.oldestBaseRevision;
  const isAfter = (revision: number | undefined) => full || (revision ?? 0) > cursor.revision;
  return {
    service: log.service,
    registry: log.registry,
    baseRevision: full ? 0 : cursor.revision,
    revision: log.revision,
    full,
    settling: log.settling,
    upserts: [...log.endpoints.values()].filter(({ id }) => isAfter(log.changeRevisions.get(id))),
    removals: full
      ? []
      : [...log.removalRevisions].filter(([, revision]) => isAfter(revision)).map(([id]) => id),
    resultDigest: digestOf(log),
  };
};

const replace = (log: ClusterLog, change: ClusterChange) => {
  const kept = change.settling ? [...log.endpoints] : [];
  const isNewerThanKept = (endpoint: Endpoint) => {
    const held = log.endpoints.get(endpoint.id);
    return !change.settling || !held || compareRecords(endpoint, held) >= 0;
  };
  const received = change.upserts.filter(isNewerThanKept);
  log.endpoints = new Map([
    ...kept,
    ...received.map((each): [string, Endpoint] => [each.id, each]),
  ]);
  log.registry = change.registry;
  log.revision = change.revision;
  log.oldestBaseRevision = change.revision;
  log.settling = change.settling;
  log.changeRevisions.clear();
  log.removalRevisions.clear();
  log.digest = undefined;
};

const applyFull = (log: ClusterLog, change: ClusterChange): ClusterUpdateResult => {
  if (change.registry === log.registry && change.revision <= log.revision && log.revision > 0) {
    return 'already_held';
  }
  if (!equalBytes(digestEndpoints(change.upserts), change.resultDigest)) {
    return 'gap';
  }
  replace(log, change);
  return 'applied';
};

const applyDifference = (log: ClusterLog, change: ClusterChange): ClusterUpdateResult => {
  if (change.registry !== log.registry || change.baseRevision > log.revision) {
    return 'gap';
  }
  if (change.revision <= log.revision) {
    return 'already_held';
  }
  const next = new Map(log.endpoints);
  change.upserts.forEach((endpoint) => next.set(endpoint.id, endpoint));
  change.removals.forEach((id) => next.delete(id));
  // What a settling registry holds is not known here, since its holders keep more.
  if (!change.settling && !equalBytes(digestEndpoints(next.values()), change.resultDigest)) {
    return 'gap';
  }
  log.revision = change.revision;
  change.upserts.forEach((endpoint) => upsert(log, endpoint));
  change.removals.forEach((id) => remove(log, id));
  log.digest = undefined;
  forgetOldRemovals(log);
  return 'applied';
};

/** Applies a change that was received. A change that cannot be verified leaves the log as it was. */
export const applyChange = (log: ClusterLog, change: ClusterChange): ClusterUpdateResult =>
  change.full ? applyFull(log, change) : applyDifference(log, change);
