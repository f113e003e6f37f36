/**
 * Replication of the log: what a leader sends and counts, and what a follower takes. An entry counts
 * for a member once the member has synced it; an entry is applied once it is committed and synced
 * here.
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
import { currentMembers, isVoter, otherMembers, quorumValue } from './consensusMembership.js';
import { recordAnswer, reconcileProgress } from './consensusProgress.js';
import { sendSnapshotChunk } from './consensusSnapshot.js';

const maxEntriesPerMessage = 512;
/** Well below the 4 MiB that a process accepts in one message. */
const maxBytesPerMessage = 1024 * 1024;
/** Send times of rounds that are kept for answers that come late. */
const maxRoundsKept = 256;

const entriesFor = (replica: Replica, nextIndex: number): readonly LogEntry[] => {
  const candidates = replica.log.queries.slice(nextIndex, nextIndex + maxEntriesPerMessage - 1);
  let bytes = 0;
  const tooMany = candidates.findIndex(({ payload }, position) => {
    bytes += payload.length;
    return position > 0 && bytes > maxBytesPerMessage;
  });
  return tooMany === -1 ? candidates : candidates.slice(0, tooMany);
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
  const entries = withEntries ? entriesFor(replica, progress.nextIndex) : [];
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

const isIdle = (replica: Replica, { inflightSince: inflightAt }: Progress): boolean =>
  inflightAt === undefined || replica.now - inflightAt > replica.options.electionTimeoutMs;

/** Sends what is missing to each member that has no entries in flight. */
export const replicate = (replica: Replica): void => {
  otherMembers(replica).forEach((member) => {
    const progress = replica.progress.get(member.name);
    const behind = progress && progress.nextIndex <= replica.log.queries.lastIndex();
    if (behind && progress.isReachable && isIdle(replica, progress)) {
      sendAppend(replica, member, progress, true);
    }
  });
};

/**
 * Tells members about a new commit index at once. With the next heartbeat, what the entry changes
 * would be in force up to `heartbeatMs` later on all that a follower feeds.
 */
export const sendCommitIndex = (replica: Replica): void => {
  otherMembers(replica).forEach((member) => {
    const progress = replica.progress.get(member.name);
    const isBehind = progress && progress.sentCommitIndex < replica.commitIndex;
    if (isBehind && progress.isReachable && isIdle(replica, progress)) {
      sendAppend(replica, member, progress, true);
    }
  });
};

/** Starts a round of heartbeats. Its answers confirm that this replica still leads. */
export const heartbeat = (replica: Replica): void => {
  replica.round += 1;
  replica.lastHeartbeatAt = replica.now;
  replica.roundSentAt.set(replica.round, replica.now);
  replica.roundSentAt.delete(replica.round - maxRoundsKept);
  otherMembers(replica).forEach((member) => {
    const progress = replica.progress.get(member.name);
    if (progress) {
      sendAppend(replica, member, progress, isIdle(replica, progress));
    }
  });
  updateConfirmation(replica);
};

const ackedRoundOf = (replica: Replica, { name }: Member): number =>
  name === replica.options.self.name
    ? replica.round
    : (replica.progress.get(name)?.ackedRound ?? 0);

/** Updates the time of the last confirmation by a quorum and answers reads that waited for it. */
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

const matchIndexOf = (replica: Replica, { name }: Member): number =>
  name === replica.options.self.name
    ? replica.log.queries.syncedIndex()
    : (replica.progress.get(name)?.matchIndex ?? 0);

/**
 * Advances the commit index. Entries of earlier terms are committed only together with one of the
 * own term, since a majority alone does not keep a later leader from overwriting them.
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

/** Takes a member's answer to entries or a heartbeat. */
export const handleAppendAnswer = (
  replica: Replica,
  from: MemberId,
  answer: AppendAnswer,
): void => {
  const progress = recordAnswer(replica, from, answer.round);
  if (!progress) {
    return;
  }
  // A heartbeat that was sent after the entries may be answered before they are synced.
  if (!answer.success || answer.matchIndex >= progress.inflightIndex) {
    progress.inflightSince = undefined;
  }
  if (answer.success) {
    progress.matchIndex = Math.max(progress.matchIndex, answer.matchIndex);
    progress.nextIndex = Math.max(progress.nextIndex, progress.matchIndex + 1);
  } else {
    // May go below the match index: a disk that lost the end of its log gets it again.
    progress.nextIndex = Math.max(1, Math.min(progress.nextIndex - 1, answer.matchIndex + 1));
  }
};

const conflictingEntry = (replica: Replica, entries: readonly LogEntry[]): LogEntry | undefined =>
  entries.find(({ index, term }) => {
    const own = replica.log.queries.termAt(index);
    return own !== undefined && own !== term;
  });

const takeEntries = (replica: Replica, entries: readonly LogEntry[]): void => {
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

/** Goes back over a whole term at a time, so that a long divergent tail takes few rounds. */
const hintFor = (replica: Replica, previousIndex: number): number => {
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

/** Takes entries or a heartbeat of the current leader. */
export const handleAppendEntries = (replica: Replica, message: AppendEntries): AppendAnswer => {
  const { queries } = replica.log;
  const { previousIndex, previousTerm, entries, round } = message;
  replica.confirmedAt = Math.max(replica.confirmedAt, replica.now - message.confirmedAgeMs);
  const answer = { type: 'appendAnswer', term: replica.term, round } as const;
  const isCompacted = previousIndex < queries.snapshot().index;
  if (!isCompacted && queries.termAt(previousIndex) !== previousTerm) {
    return { ...answer, success: false, matchIndex: hintFor(replica, previousIndex) };
  }
  takeEntries(replica, entries);
  const matchIndex = previousIndex + entries.length;
  replica.commitIndex = Math.max(replica.commitIndex, Math.min(message.commitIndex, matchIndex));
  applyCommitted(replica);
  return { ...answer, success: true, matchIndex };
};

/** True if the leader itself is no longer a voter by a committed membership. */
export const isRemoved = (replica: Replica): boolean =>
  replica.log.queries.membershipIndex() <= replica.commitIndex &&
  currentMembers(replica).length > 0 &&
  !isVoter(replica, replica.options.self);
