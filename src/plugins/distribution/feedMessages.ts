/**
 * Conversion between the feed's protobuf messages and the types of the core. The sizes of strings,
 * lists and numbers from the network are checked here, and a message that exceeds a limit is
 * rejected as malformed.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import type { Version as VersionMessage } from '../../gen/auburnsill/v1/common_pb.js';
import {
  ClusterUpdateSchema,
  ConfigurationUpdateSchema,
  FeedMessageSchema,
  type ClusterCursor as ClusterCursorMessage,
  type ClusterUpdate,
  type ConfigurationUpdate,
  type ControlRecord as ControlRecordMessage,
  type EndpointRecord,
  type FeedMessage,
  type Heartbeat,
  type NodeVersion as NodeVersionMessage,
  type ReportRequest,
  type VersionCount as VersionCountMessage,
} from '../../gen/auburnsill/v1/feed_pb.js';
import type { Endpoint, Version } from '../../types/public.js';
import type { LaggingNode } from '../../types/internal.js';
import type {
  BranchReport,
  ControlAddress,
  NodeVersion,
  VersionCount,
  Withdrawal,
} from '../../core/distribution/feed.js';
import type { ClusterChange, ClusterCursor } from '../../core/distribution/clusterLog.js';
import type { ParentHeartbeat } from '../../core/distribution/parentHealth.js';
import type { ConfigurationChange } from '../../core/distribution/configurationStore.js';
import { noVersion } from '../../core/agreement/version.js';
import { Failure } from '../../utils/failure.js';
import { parseAddress } from '../rpc.js';

const maxTextLength = 256;
const maxListLength = 20_000;
const maxNumber = BigInt(Number.MAX_SAFE_INTEGER);

const checkText = (text: string, field: string): string => {
  if (text.length > maxTextLength) {
    throw new Failure('malformed_message', `${field} is longer than ${maxTextLength} characters`);
  }
  return text;
};

const checkList = <Item>(list: readonly Item[], field: string): readonly Item[] => {
  if (list.length > maxListLength) {
    throw new Failure('malformed_message', `${field} has more than ${maxListLength} items`);
  }
  return list;
};

const readNumber = (value: bigint, field: string): number => {
  if (value > maxNumber) {
    throw new Failure('malformed_message', `${field} is above ${maxNumber}`);
  }
  return Number(value);
};

export const readVersion = (message: VersionMessage | undefined): Version =>
  message
    ? {
        term: readNumber(message.term, 'version.term'),
        index: readNumber(message.index, 'version.index'),
      }
    : noVersion;

export const readHeartbeat = (message: Heartbeat): ParentHeartbeat => ({
  headVersion: readVersion(message.headVersion),
  confirmedAgeMs: Number(message.confirmedAgeMs),
  path: message.path,
  rootDataCentre: message.rootDataCentre,
});

export const writeVersion = ({ term, index }: Version) => ({
  term: BigInt(term),
  index: BigInt(index),
});

/**
 * Reads an endpoint record without checks: an invalid record must not cause the other records of
 * its message to be rejected, see `usableEndpoints.ts`.
 */
export const readEndpoint = (record: EndpointRecord): Endpoint => ({
  id: record.id,
  service: record.service,
  dataCentre: record.dataCentre,
  region: record.region,
  address: record.address,
  forwardAddress: record.forwardAddress,
  slots: record.slots,
  connections: record.connections,
  state: record.state as Endpoint['state'],
  incarnation: Number(record.incarnation),
  sequence: Number(record.sequence),
  node: record.node,
  // Unset if empty, since the digest of a record without a version does not cover it.
  ...(record.version !== '' && { version: record.version }),
});

export const writeEndpoint = (endpoint: Endpoint) => ({
  ...endpoint,
  incarnation: BigInt(endpoint.incarnation),
  sequence: BigInt(endpoint.sequence),
});

export const readCursor = (message: ClusterCursorMessage): ClusterCursor => ({
  service: checkText(message.service, 'cursor.service'),
  registry: checkText(message.registry, 'cursor.registry'),
  revision: readNumber(message.revision, 'cursor.revision'),
});

export const writeCursor = ({ service, registry, revision }: ClusterCursor) => ({
  service,
  registry,
  revision: BigInt(revision),
});

export const readCluster = (message: ClusterUpdate): ClusterChange => ({
  service: checkText(message.service, 'cluster.service'),
  registry: checkText(message.registry, 'cluster.registry'),
  baseRevision: readNumber(message.baseRevision, 'cluster.base_revision'),
  revision: readNumber(message.revision, 'cluster.revision'),
  full: message.full,
  settling: message.settling,
  upserts: checkList(message.upserts, 'cluster.upserts').map(readEndpoint),
  removals: checkList(message.removals, 'cluster.removals'),
  resultDigest: message.resultDigest,
});

export const writeCluster = (change: ClusterChange) =>
  create(ClusterUpdateSchema, {
    service: change.service,
    registry: change.registry,
    baseRevision: BigInt(change.baseRevision),
    revision: BigInt(change.revision),
    full: change.full,
    settling: change.settling,
    upserts: change.upserts.map(writeEndpoint),
    removals: [...change.removals],
    resultDigest: change.resultDigest,
  });

export const readConfiguration = (message: ConfigurationUpdate): ConfigurationChange => ({
  version: readVersion(message.version),
  base: message.baseVersion && {
    version: readVersion(message.baseVersion),
    digest: message.baseDigest,
  },
  resultDigest: message.resultDigest,
  body: message.body,
});

export const writeConfiguration = (change: ConfigurationChange) =>
  create(ConfigurationUpdateSchema, {
    version: writeVersion(change.version),
    baseVersion: change.base && writeVersion(change.base.version),
    baseDigest: change.base?.digest,
    resultDigest: change.resultDigest,
    body: change.body,
  });

export const writeMessage = (
  message: MessageInitShape<typeof FeedMessageSchema>['message'],
): FeedMessage => create(FeedMessageSchema, { message });

/** Reads addresses of other processes; invalid ones are left out. */
export const readAddresses = (addresses: readonly string[]): string[] =>
  checkList(addresses, 'addresses').filter((address) => parseAddress(address) !== undefined);

/** Reads control instances; those with an invalid address are left out. */
export const readControls = (records: readonly ControlRecordMessage[]): ControlAddress[] =>
  checkList(records, 'controls')
    .filter(({ address }) => parseAddress(address) !== undefined)
    .map(({ address, dataCentre }) => ({
      address,
      dataCentre: checkText(dataCentre, 'control.data_centre'),
    }));

const readCount = (message: VersionCountMessage): VersionCount => ({
  version: readVersion(message.version),
  dataCentre: checkText(message.dataCentre, 'count.data_centre'),
  nodes: message.nodes,
});

export const readNodeVersion = (message: NodeVersionMessage): NodeVersion => ({
  name: checkText(message.name, 'node_version.name'),
  version: readVersion(message.version),
});

export const writeNodeVersion = ({ name, version }: NodeVersion) => ({
  name,
  version: writeVersion(version),
});

const readLaggard = (message: ReportRequest['laggards'][number]): LaggingNode => ({
  name: checkText(message.name, 'laggard.name'),
  dataCentre: checkText(message.dataCentre, 'laggard.data_centre'),
  version: readVersion(message.version),
  reason: checkText(message.reason, 'laggard.reason'),
});

/** Reads the part of a report that describes the sender's subtree. */
export const readBranchReport = (message: ReportRequest): BranchReport => ({
  status: {
    counts: checkList(message.subtree, 'report.subtree').map(readCount),
    laggards: checkList(message.laggards, 'report.laggards').map(readLaggard),
  },
  announcements: checkList(message.announcements, 'report.announcements').map(readEndpoint),
  withdrawals: checkList(message.withdrawals, 'report.withdrawals').map((each) => ({
    id: checkText(each.id, 'withdrawal.id'),
    incarnation: readNumber(each.incarnation, 'withdrawal.incarnation'),
    sequence: readNumber(each.sequence, 'withdrawal.sequence'),
  })),
  dropped: checkList(message.dropped, 'report.dropped'),
  digest: message.endpointsDigest,
  full: message.full,
});

export const writeWithdrawal = ({ id, incarnation, sequence }: Withdrawal) => ({
  id,
  incarnation: BigInt(incarnation),
  sequence: BigInt(sequence),
});

export const readNodeVersions = (messages: readonly NodeVersionMessage[]): NodeVersion[] =>
  checkList(messages, 'node_versions').map(readNodeVersion);
