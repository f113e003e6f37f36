/**
 * Endpoints of one service with a revision number. The registry of a control instance assigns the
 * revisions, and the logs are copied down the tree. A process that holds an older revision of the
 * same registry receives a delta, any other process a full update.
 */
import type { Endpoint } from '../../types/public.js';
import { equalBytes, sha256 } from './delta.js';

/** Removals kept for deltas. A process that lacks an older removal receives a full update. */
const maxKeptRemovals = 1_024;

/** Position of a process in a log: the registry that assigned the revision, and the revision. */
export interface ClusterCursor {
  readonly service: string;
  readonly registry: string;
  readonly revision: number;
}

/** An update of a cluster as sent to a child: a full update, or a delta from `baseRevision`. */
export interface ClusterChange extends ClusterCursor {
  readonly baseRevision: number;
  readonly full: boolean;
  /** The registry may not know all endpoints yet: receivers keep endpoints that are missing. */
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
  /** Oldest revision from which a delta can be built. */
  oldestBaseRevision: number;
  endpoints: Map<string, Endpoint>;
  /** Revision of the last change of each endpoint, by id. */
  readonly changeRevisions: Map<string, number>;
  /** Revision of each removal that is still kept, by endpoint id, in ascending order. */
  readonly removalRevisions: Map<string, number>;
  digest?: Uint8Array;
}

/** Result of an update. After `gap` the sender has to be asked for a full update. */
export type ClusterUpdateResult = 'applied' | 'already_held' | 'gap';

/** Returns a positive number if `a` is the newer record of an endpoint. */
export const compareRecords = (
  a: Pick<Endpoint, 'incarnation' | 'sequence'>,
  b: Pick<Endpoint, 'incarnation' | 'sequence'>,
): number => a.incarnation - b.incarnation || a.sequence - b.sequence;

const serializeEndpoint = (endpoint: Endpoint): string =>
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
    // Left out if unset, so that the digest is the same as in releases without versions.
    ...(endpoint.version ? [endpoint.version] : []),
  ]);

/** SHA-256 digest of a set of endpoint records, independent of their order. */
export const digestEndpoints = (endpoints: Iterable<Endpoint>): Uint8Array =>
  sha256([...endpoints].map(serializeEndpoint).sort().join('\n'));

export const createClusterLog = (
  service: string,
  registry: string,
  settling: boolean,
): ClusterLog => ({
  service,
  registry,
  // Revision 0 means that nothing was received yet; an empty cluster has a revision of its own.
  revision: 1,
  settling,
  oldestBaseRevision: 1,
  endpoints: new Map(),
  changeRevisions: new Map(),
  removalRevisions: new Map(),
});

/** Digest of the endpoints at the current revision. */
export const digestOf = (log: ClusterLog): Uint8Array => {
  log.digest ??= digestEndpoints(log.endpoints.values());
  return log.digest;
};

const trimRemovals = (log: ClusterLog) => {
  for (const [id, revision] of log.removalRevisions) {
    if (log.removalRevisions.size <= maxKeptRemovals) {
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
  // Delete the id first, so that the map stays ordered by revision.
  log.removalRevisions.delete(id);
  log.removalRevisions.set(id, log.revision);
};

/** Applies a change and assigns the next revision to it. */
export const recordChange = (
  log: ClusterLog,
  upserts: readonly Endpoint[],
  removals: readonly string[],
) => {
  log.revision += 1;
  upserts.forEach((endpoint) => upsert(log, endpoint));
  removals.forEach((id) => remove(log, id));
  log.digest = undefined;
  trimRemovals(log);
};

/** Ends the settling phase: receivers get a full update that removes missing endpoints. */
export const endSettling = (log: ClusterLog) => {
  log.settling = false;
  log.revision += 1;
  log.oldestBaseRevision = log.revision;
};

/** Update for a process at the cursor, or undefined if it is up to date. */
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
    const existing = log.endpoints.get(endpoint.id);
    return !change.settling || !existing || compareRecords(endpoint, existing) >= 0;
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
  // Receivers keep endpoints that a settling registry lacks, so the digest need not match.
  if (!change.settling && !equalBytes(digestEndpoints(next.values()), change.resultDigest)) {
    return 'gap';
  }
  log.revision = change.revision;
  change.upserts.forEach((endpoint) => upsert(log, endpoint));
  change.removals.forEach((id) => remove(log, id));
  log.digest = undefined;
  trimRemovals(log);
  return 'applied';
};

/** Applies a received change. A change that fails verification leaves the log unchanged. */
export const applyChange = (log: ClusterLog, change: ClusterChange): ClusterUpdateResult =>
  change.full ? applyFull(log, change) : applyDifference(log, change);
