/**
 * Snapshots: a member that lacks entries which the leader has already compacted receives the
 * leader's snapshot in chunks instead.
 */
import type { Member } from '../../types/internal.js';
import type {
  InstallSnapshot,
  Progress,
  Replica,
  ReplicaSnapshot,
  MemberId,
  SnapshotAnswer,
} from './consensusTypes.js';
import { persist, restoreSnapshot, send } from './consensusEffects.js';
import { recordAnswer } from './consensusProgress.js';

/** Well below the limit of 4 MiB for a received message. */
export const snapshotChunkBytes = 1024 * 1024;

export const sendSnapshotChunk = (replica: Replica, to: Member, progress: Progress): void => {
  const { index, term, members, data } = replica.log.queries.snapshot();
  const offset = Math.min(progress.snapshotOffset ?? 0, data.length);
  const chunk = data.subarray(offset, offset + snapshotChunkBytes);
  progress.snapshotOffset = offset;
  progress.inflightSince = replica.now;
  progress.inflightIndex = 0;
  send(replica, to, {
    type: 'installSnapshot',
    term: replica.term,
    lastIndex: index,
    lastTerm: term,
    offset,
    chunk,
    done: offset + chunk.length === data.length,
    members,
    round: replica.round,
  });
};

export const handleSnapshotAnswer = (
  replica: Replica,
  from: MemberId,
  answer: SnapshotAnswer,
): void => {
  const progress = recordAnswer(replica, from, answer.round);
  if (!progress) {
    return;
  }
  progress.inflightSince = undefined;
  if (answer.installed) {
    progress.matchIndex = Math.max(progress.matchIndex, answer.lastIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
    progress.snapshotOffset = undefined;
  } else if (answer.lastIndex === replica.log.queries.snapshot().index) {
    progress.snapshotOffset = answer.nextOffset;
  } else {
    progress.snapshotOffset = 0;
  }
};

const persistSnapshot = (replica: Replica): void => {
  const { queries } = replica.log;
  persist(replica, {
    snapshot: queries.snapshot(),
    hardState: { term: replica.term, votedFor: replica.votedFor },
    entries: queries.slice(queries.firstIndex(), queries.lastIndex()),
  });
};

const install = (replica: Replica, snapshot: ReplicaSnapshot): void => {
  const { queries, commands } = replica.log;
  const dropAll = queries.termAt(snapshot.index) !== snapshot.term;
  commands.compact(snapshot, dropAll);
  persistSnapshot(replica);
  restoreSnapshot(replica, snapshot);
};

const joinChunks = (chunks: readonly Uint8Array[]): Uint8Array =>
  new Uint8Array(Buffer.concat(chunks));

const receiveChunk = (replica: Replica, from: MemberId, message: InstallSnapshot): number => {
  const { lastIndex, lastTerm, offset, chunk } = message;
  const { incomingSnapshot: incoming } = replica;
  const isContinuation =
    incoming?.index === lastIndex && incoming.term === lastTerm && incoming.from === from.name;
  if (offset === 0 && !(isContinuation && incoming.size > 0)) {
    replica.incomingSnapshot = {
      index: lastIndex,
      term: lastTerm,
      from: from.name,
      chunks: [],
      size: 0,
    };
  }
  const received = replica.incomingSnapshot;
  if (!received || (offset > 0 && !isContinuation)) {
    return 0;
  }
  if (offset === received.size) {
    received.chunks.push(chunk);
    received.size += chunk.length;
  }
  return received.size;
};

/** Handles a chunk of the leader's snapshot. Installs the snapshot after the last chunk. */
export const handleInstallSnapshot = (
  replica: Replica,
  from: MemberId,
  message: InstallSnapshot,
): SnapshotAnswer => {
  const { lastIndex, lastTerm, offset, chunk, done, members, round } = message;
  const answer = { type: 'snapshotAnswer', term: replica.term, lastIndex, round } as const;
  if (lastIndex <= replica.commitIndex) {
    return { ...answer, nextOffset: 0, installed: true };
  }
  const nextOffset = receiveChunk(replica, from, message);
  const { incomingSnapshot: incoming } = replica;
  if (!done || !incoming || nextOffset !== offset + chunk.length) {
    return { ...answer, nextOffset, installed: false };
  }
  replica.incomingSnapshot = undefined;
  install(replica, {
    index: lastIndex,
    term: lastTerm,
    members,
    data: joinChunks(incoming.chunks),
  });
  return { ...answer, nextOffset, installed: true };
};

/** Compacts the log: replaces applied entries by a snapshot of the state machine after them. */
export const compact = (replica: Replica, index: number, data: Uint8Array): void => {
  const { queries, commands } = replica.log;
  const term = queries.termAt(index);
  if (term === undefined || index <= queries.snapshot().index || index > replica.appliedIndex) {
    return;
  }
  const snapshot = { index, term, members: queries.membersAt(index), data };
  commands.compact(snapshot, false);
  persistSnapshot(replica);
  replica.progress.forEach((progress) => {
    progress.snapshotOffset = undefined;
  });
};
