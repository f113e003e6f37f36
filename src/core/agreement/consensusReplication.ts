/**
 * Log replication on the leader and on followers. A member counts towards the quorum of an entry
 * once it has synced the entry. An entry is applied once it is committed and synced locally.
 */
import type { Member } from '../../types/internal.js';
import type {
  AppendAnswer,
  AppendEntries,
  LogEntry,
  Progress,
  Replica,
  MemberId,
} from './consensusTypes.js';
import { applyCommitted, persist, send } from './consensusEffects.js';
import { encodeMembers } from './consensusLog.js';
import {
  currentMembers,
  isVoter,
  otherMembers,
  progressOf,
  quorumValue,
} from './consensusMembership.js';
import { recordAnswer, reconcileProgress } from './consensusProgress.js';
import { sendSnapshotChunk } from './consensusSnapshot.js';

const maxEntriesPerMessage = 512;
/** Well below the limit of 4 MiB for a received message. */
const maxBytesPerMessage = 1024 * 1024;
/** Number of heartbeat rounds whose send times are kept for late answers. */
const maxRoundsKept = 256;

const nextEntries = (replica: Replica, nextIndex: number): readonly LogEntry[] => {
  const candidates = replica.log.queries.slice(nextIndex, nextIndex + maxEntriesPerMessage - 1);
  let bytes = 0;
  const firstExcess = candidates.findIndex(({ payload }, position) => {
    bytes += payload.length;
    return position > 0 && bytes > maxBytesPerMessage;
  });
  return firstExcess === -1 ? candidates : candidates.slice(0, firstExcess);
};

const confirmedAge = (replica: Replica): number =>
  Math.max(0, Math.round(replica.now - replica.confirmedAt));

const sendAppend = (
  replica: Replica,
  member: Member,
  progress: Progress,
  withEntries: boolean,
): void => {
  const previousIndex = progress.nextIndex - 1;
  const previousTerm = replica.log.queries.termAt(previousIndex);
  if (previousTerm === undefined) {
    sendSnapshotChunk(replica, member, progress);
    return;
  }
  const entries = withEntries ? nextEntries(replica, progress.nextIndex) : [];
  if (entries.length > 0) {
    progress.inflightSince = replica.now;
    progress.inflightIndex = entries.at(-1)!.index;
  }
  progress.sentCommitIndex = replica.commitIndex;
  send(replica, member, {
    type: 'appendEntries',
    term: replica.term,
    previousIndex,
    previousTerm,
    entries,
    commitIndex: replica.commitIndex,
    round: replica.round,
    confirmedAgeMs: confirmedAge(replica),
  });
};

const mayReceiveEntries = (replica: Replica, { inflightSince }: Progress): boolean =>
  inflightSince === undefined || replica.now - inflightSince > replica.options.electionTimeoutMs;

/** Sends the missing entries to each reachable member that has no entries in flight. */
export const replicate = (replica: Replica): void => {
  otherMembers(replica).forEach((member) => {
    const progress = replica.progress.get(member.name);
    const isBehind = progress && progress.nextIndex <= replica.log.queries.lastIndex();
    if (isBehind && progress.isReachable && mayReceiveEntries(replica, progress)) {
      sendAppend(replica, member, progress, true);
    }
  });
};

/**
 * Sends a new commit index to the members at once. If it was sent with the next heartbeat only, the
 * change would be in force up to `heartbeatMs` later on all nodes that a follower feeds.
 */
export const sendCommitIndex = (replica: Replica): void => {
  otherMembers(replica).forEach((member) => {
    const progress = replica.progress.get(member.name);
    const isBehind = progress && progress.sentCommitIndex < replica.commitIndex;
    if (isBehind && progress.isReachable && mayReceiveEntries(replica, progress)) {
      sendAppend(replica, member, progress, true);
    }
  });
};

/** Starts a round of heartbeats, whose answers confirm that this replica is still the leader. */
export const heartbeat = (replica: Replica): void => {
  replica.round += 1;
  replica.lastHeartbeatAt = replica.now;
  replica.roundSentAt.set(replica.round, replica.now);
  replica.roundSentAt.delete(replica.round - maxRoundsKept);
  otherMembers(replica).forEach((member) => {
    const progress = replica.progress.get(member.name);
    if (progress) {
      sendAppend(replica, member, progress, mayReceiveEntries(replica, progress));
    }
  });
  updateConfirmation(replica);
};

const ackedRoundOf = (replica: Replica, voter: Member): number =>
  voter.name === replica.options.self.name
    ? replica.round
    : (progressOf(replica, voter)?.ackedRound ?? 0);

/** Updates the time of the last confirmation by a quorum and confirms the reads waiting for it. */
export const updateConfirmation = (replica: Replica): void => {
  const round = quorumValue(replica, (member) => ackedRoundOf(replica, member));
  const sentAt = replica.roundSentAt.get(round);
  if (sentAt !== undefined) {
    replica.confirmedAt = Math.max(replica.confirmedAt, sentAt);
  }
  const confirmed = replica.pendingReads.filter((read) => read.round <= round);
  replica.pendingReads = replica.pendingReads.filter((read) => read.round > round);
  confirmed.forEach(({ id, index }) => {
    replica.effects.push({ type: 'readConfirmed', id, index });
  });
};

const matchIndexOf = (replica: Replica, voter: Member): number =>
  voter.name === replica.options.self.name
    ? replica.log.queries.syncedIndex()
    : (progressOf(replica, voter)?.matchIndex ?? 0);

/**
 * Advances the commit index. Entries of earlier terms are committed only together with an entry of
 * the current term: even if a majority holds them, a later leader could still overwrite them.
 */
export const advanceCommit = (replica: Replica): void => {
  const index = quorumValue(replica, (member) => matchIndexOf(replica, member));
  if (index > replica.commitIndex && replica.log.queries.termAt(index) === replica.term) {
    replica.commitIndex = index;
  }
  applyCommitted(replica);
};

/** Appends an entry to the leader's own log and starts its replication. */
export const appendEntry = (
  replica: Replica,
  kind: LogEntry['kind'],
  payload: Uint8Array,
): LogEntry => {
  const index = replica.log.queries.lastIndex() + 1;
  const entry: LogEntry = { term: replica.term, index, kind, payload };
  const sequence = persist(replica, { entries: [entry] });
  replica.log.commands.append([entry], sequence);
  reconcileProgress(replica);
  replicate(replica);
  return entry;
};

export const appendMembership = (replica: Replica, members: readonly Member[]): LogEntry =>
  appendEntry(replica, 'membership', encodeMembers(members));

/** Handles a member's answer to entries or a heartbeat. */
export const handleAppendAnswer = (
  replica: Replica,
  from: MemberId,
  answer: AppendAnswer,
): void => {
  const progress = recordAnswer(replica, from, answer.round);
  if (!progress) {
    return;
  }
  // A heartbeat that was sent after the entries may be answered before the entries are synced.
  if (!answer.success || answer.matchIndex >= progress.inflightIndex) {
    progress.inflightSince = undefined;
  }
  if (answer.success) {
    progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  } else {
    // This may go below the match index: a member whose disk lost the tail of its log gets it
    // again.
    progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, answer.matchIndex + 1));
  }
};

const conflictingEntry = (replica: Replica, entries: readonly LogEntry[]): LogEntry | undefined =>
  entries.find(({ index, term }) => {
    const own = replica.log.queries.termAt(index);
    return own !== undefined && own !== term;
  });

const storeEntries = (replica: Replica, entries: readonly LogEntry[]): void => {
  const { queries, commands } = replica.log;
  const later = entries.filter(({ index }) => index > queries.snapshot().index);
  const conflict = conflictingEntry(replica, later);
  if (conflict) {
    if (conflict.index <= replica.commitIndex) {
      throw new Error(`a leader's entry conflicts with the committed entry ${conflict.index}`);
    }
    commands.truncateFrom(conflict.index);
  }
  const added = later.filter(({ index }) => index > queries.lastIndex());
  if (added.length > 0) {
    const sequence = persist(replica, { truncateFrom: conflict?.index, entries: added });
    commands.append(added, sequence);
  }
};

/**
 * Index at which the leader should retry. It skips a whole term at a time, so that a long divergent
 * tail takes few rounds.
 */
const conflictHint = (replica: Replica, previousIndex: number): number => {
  const { queries } = replica.log;
  if (previousIndex > queries.lastIndex()) {
    return queries.lastIndex();
  }
  const term = queries.termAt(previousIndex);
  let index = previousIndex;
  while (index > replica.commitIndex && queries.termAt(index) === term) {
    index -= 1;
  }
  return index;
};

/** Handles entries or a heartbeat from the current leader. */
export const handleAppendEntries = (replica: Replica, message: AppendEntries): AppendAnswer => {
  const { queries } = replica.log;
  const { previousIndex, previousTerm, entries, round } = message;
  const answer = { type: 'appendAnswer', term: replica.term, round } as const;
  const isCompacted = previousIndex < queries.snapshot().index;
  if (!isCompacted && queries.termAt(previousIndex) !== previousTerm) {
    return { ...answer, success: false, matchIndex: conflictHint(replica, previousIndex) };
  }
  storeEntries(replica, entries);
  const matchIndex = previousIndex + entries.length;
  replica.commitIndex = Math.max(replica.commitIndex, Math.min(message.commitIndex, matchIndex));
  applyCommitted(replica);
  // A replica that lacks committed entries has an old state, however recent the message is.
  if (replica.appliedIndex >= message.commitIndex) {
    replica.confirmedAt = Math.max(replica.confirmedAt, replica.now - message.confirmedAgeMs);
  }
  return { ...answer, success: true, matchIndex };
};

/** True if the leader itself is not a voter in the committed membership. */
export const isRemoved = (replica: Replica): boolean =>
  replica.log.queries.membershipIndex() <= replica.commitIndex &&
  currentMembers(replica).length > 0 &&
  !isVoter(replica, replica.options.self);
