/**
 * Leader election: pre-vote, vote, check-quorum and leadership transfer. A pre-vote asks whether an
 * election could be won and changes no state at the voters, so that a member that returns from a
 * network partition does not disrupt the leader.
 */
import type { Member, ReplicaRole } from '../../types/internal.js';
import type { Replica, RequestVote, MemberId, TimeoutNow, VoteAnswer } from './consensusTypes.js';
import {
  isConfirmedVoter,
  isListedMember,
  isListedVoter,
  isQuorum,
  isVoter,
  keyOf,
  otherVoters,
  voters,
} from './consensusMembership.js';
import { persistHardState, send } from './consensusEffects.js';
import { reconcileProgress } from './consensusProgress.js';
import { appendEntry, heartbeat } from './consensusReplication.js';

/**
 * Fraction of the election timeout used until a replica has known a leader since its start. After a
 * power failure all members start at the same time and none of them can tell that there is no
 * leader, so the whole timeout would only delay the election; a pre-vote that comes too early
 * changes nothing.
 */
const startupTimeoutFraction = 0.3;
/**
 * Fraction of the election timeout for which a leader waits for a write to its disk before it
 * transfers the leadership.
 */
const stalledTimeoutFraction = 0.5;

export const restartElectionTimer = (replica: Replica): void => {
  const { electionTimeoutMs, random } = replica.options;
  const fraction = replica.isStarting ? startupTimeoutFraction : 1;
  replica.electionDeadline = replica.now + fraction * electionTimeoutMs * (1 + random());
};

/**
 * A learner that was promoted is a follower once its log confirms the promotion: until then the group
 * cannot do without any of the voters before it.
 */
const nonLeaderRole = (replica: Replica): ReplicaRole =>
  isConfirmedVoter(replica) ? 'follower' : 'learner';

const changeRole = (replica: Replica, role: ReplicaRole): void => {
  if (replica.role !== role) {
    replica.role = role;
    replica.effects.push({ type: 'roleChanged', role, term: replica.term });
  }
};

/** Switches between follower and learner if the membership has changed. */
export const refreshRole = (replica: Replica): void => {
  if (replica.role === 'follower' || replica.role === 'learner') {
    changeRole(replica, nonLeaderRole(replica));
  }
};

const failReads = (replica: Replica): void => {
  replica.pendingReads.forEach(({ id }) => replica.effects.push({ type: 'readFailed', id }));
  replica.pendingReads = [];
};

/** Stops being leader or candidate; the term does not change. */
export const stepDown = (replica: Replica): void => {
  replica.votes = new Set();
  replica.isPreVoting = false;
  replica.transferDeadline = undefined;
  replica.progress.clear();
  failReads(replica);
  changeRole(replica, nonLeaderRole(replica));
  restartElectionTimer(replica);
};

/** Enters a later term and stops being leader or candidate. */
export const adoptTerm = (replica: Replica, term: number): void => {
  replica.term = term;
  replica.votedFor = '';
  replica.leaderName = '';
  persistHardState(replica);
  stepDown(replica);
};

const sendVoteRequests = (replica: Replica, preVote: boolean): void => {
  const { queries } = replica.log;
  const message: RequestVote = {
    type: 'requestVote',
    term: preVote ? replica.term + 1 : replica.term,
    lastLogIndex: queries.lastIndex(),
    lastLogTerm: queries.lastTerm(),
    preVote,
  };
  otherVoters(replica).forEach((member) => send(replica, member, message, replica.sequence));
};

const becomeLeader = (replica: Replica): void => {
  replica.leaderName = replica.options.self.name;
  replica.votes = new Set();
  replica.leaderSince = replica.now;
  replica.roundSentAt.clear();
  replica.progress.clear();
  replica.isStarting = false;
  changeRole(replica, 'leader');
  reconcileProgress(replica);
  // Committing this entry also commits those of earlier terms and permits reads and membership
  // changes.
  appendEntry(replica, 'noop', new Uint8Array());
  heartbeat(replica);
};

const startVote = (replica: Replica): void => {
  replica.isPreVoting = false;
  replica.term += 1;
  replica.votedFor = replica.options.self.name;
  replica.leaderName = '';
  replica.votes = new Set();
  replica.lostBeforeVote = new Set(replica.lostFolders.keys());
  replica.ownVoteSequence = persistHardState(replica);
  changeRole(replica, 'candidate');
  restartElectionTimer(replica);
  sendVoteRequests(replica, false);
};

export const countVotes = (replica: Replica): void => {
  const { votes, lostFolders, lostBeforeVote, isPreVoting } = replica;
  const lost = isPreVoting ? new Set(lostFolders.keys()) : lostBeforeVote;
  if (replica.role !== 'candidate' || !isQuorum(replica, votes, lost)) {
    return;
  }
  if (replica.isPreVoting) {
    startVote(replica);
  } else {
    becomeLeader(replica);
  }
};

/**
 * Counts the candidate's own vote once it is synced. After a crash that loses an unsynced vote, the
 * replica could vote twice in one term.
 */
export const countOwnVote = (replica: Replica): void => {
  const isOpen = replica.role === 'candidate' && !replica.isPreVoting;
  if (isOpen && replica.syncedSequence >= replica.ownVoteSequence) {
    replica.votes.add(keyOf(replica.options.self));
    countVotes(replica);
  }
};

const startPreVote = (replica: Replica): void => {
  replica.isPreVoting = true;
  replica.leaderName = '';
  replica.votes = new Set([keyOf(replica.options.self)]);
  changeRole(replica, 'candidate');
  restartElectionTimer(replica);
  sendVoteRequests(replica, true);
  countVotes(replica);
};

/**
 * Starts an election when the election deadline has passed. A learner only forgets the leader. A voter
 * whose removal may not be committed stands as well: if the leader that removed it is lost, it can be
 * the only one with the newest entry.
 */
export const checkElection = (replica: Replica): void => {
  if (replica.role === 'leader' || replica.now < replica.electionDeadline) {
    return;
  }
  if (isListedVoter(replica, replica.options.self)) {
    startPreVote(replica);
  } else {
    replica.leaderName = '';
    stepDown(replica);
  }
};

const hasNewerLog = (replica: Replica, { lastLogTerm, lastLogIndex }: RequestVote): boolean => {
  const { queries } = replica.log;
  return lastLogTerm === queries.lastTerm()
    ? queries.lastIndex() > lastLogIndex
    : queries.lastTerm() > lastLogTerm;
};

const hasLiveLeader = (replica: Replica): boolean =>
  replica.role === 'leader' ||
  (replica.leaderName !== '' &&
    replica.now - replica.lastLeaderContactAt < replica.options.electionTimeoutMs);

/**
 * A replica votes only if its own log lists its incarnation, in the newest membership or in the one
 * before that still counts: after the loss of its disk it no longer knows the votes and entries that
 * it acknowledged before. The candidate does not have to be a member according to this replica's log,
 * which may lack the entry that added it; the candidate counts only votes of its own memberships.
 */
const mayVote = (replica: Replica, from: MemberId, message: RequestVote): boolean => {
  if (!isListedMember(replica, replica.options.self) || hasNewerLog(replica, message)) {
    return false;
  }
  if (message.preVote) {
    return message.term > replica.term && !hasLiveLeader(replica);
  }
  const isVoteAvailable = replica.votedFor === '' || replica.votedFor === from.name;
  return message.term === replica.term && isVoteAvailable;
};

/**
 * Handles a vote request. The caller has already adopted the term of the request if it is later.
 */
export const handleVoteRequest = (
  replica: Replica,
  from: MemberId,
  message: RequestVote,
): VoteAnswer => {
  const granted = mayVote(replica, from, message);
  const { preVote } = message;
  if (granted && !preVote && replica.votedFor === '') {
    replica.votedFor = from.name;
    persistHardState(replica);
    restartElectionTimer(replica);
  }
  // The answer to a granted pre-vote carries the term that the candidate would have.
  const term = granted && preVote ? message.term : replica.term;
  return { type: 'voteAnswer', term, granted, preVote };
};

/** Records a vote if it is for the current election. Only those of listed voters count. */
export const handleVoteAnswer = (replica: Replica, from: MemberId, answer: VoteAnswer): void => {
  const electionTerm = replica.isPreVoting ? replica.term + 1 : replica.term;
  const isForThisElection =
    replica.role === 'candidate' &&
    answer.preVote === replica.isPreVoting &&
    answer.term === electionTerm;
  if (isForThisElection && answer.granted) {
    replica.votes.add(keyOf(from));
    countVotes(replica);
  }
};

/** Check-quorum: steps down if no quorum has answered within the election timeout. */
export const checkQuorum = (replica: Replica): void => {
  const confirmedAt = Math.max(replica.confirmedAt, replica.leaderSince);
  if (replica.now - confirmedAt > replica.options.electionTimeoutMs) {
    replica.leaderName = '';
    stepDown(replica);
  }
};

/** Starts a leadership transfer to a voter that holds the whole log. */
export const startTransfer = (replica: Replica): void => {
  replica.transferDeadline = replica.now + replica.options.electionTimeoutMs;
  replica.transferTarget = '';
  continueTransfer(replica);
};

const transferTargetOf = (replica: Replica): Member | undefined => {
  const lastIndex = replica.log.queries.lastIndex();
  return voters(replica)
    .filter(({ name }) => replica.progress.get(name)?.matchIndex === lastIndex)
    .sort(
      (a, b) =>
        replica.progress.get(b.name)!.lastContactAt - replica.progress.get(a.name)!.lastContactAt,
    )
    .at(0);
};

/**
 * Transfers the leadership if a write has waited for the disk for too long. The leader applies and
 * answers a committed change only after syncing it locally, so changes would remain unanswered
 * although a majority holds them.
 */
export const transferIfStalled = (replica: Replica): void => {
  const { now, options, unsyncedSince = now, transferDeadline } = replica;
  const isStalled = now - unsyncedSince > stalledTimeoutFraction * options.electionTimeoutMs;
  if (isStalled && transferDeadline === undefined && transferTargetOf(replica)) {
    startTransfer(replica);
  }
};

/**
 * Asks a voter that holds the whole log to start an election. The transfer is abandoned after an
 * election timeout.
 */
export const continueTransfer = (replica: Replica): void => {
  if (replica.transferDeadline === undefined) {
    return;
  }
  if (replica.now >= replica.transferDeadline) {
    replica.transferDeadline = undefined;
    return;
  }
  const target = transferTargetOf(replica);
  if (target && replica.transferTarget === '') {
    replica.transferTarget = target.name;
    send(replica, target, { type: 'timeoutNow', term: replica.term });
  }
};

export const handleTimeoutNow = (replica: Replica, message: TimeoutNow): void => {
  const isCurrent = message.term === replica.term && replica.role === 'follower';
  if (isCurrent && isVoter(replica, replica.options.self)) {
    startVote(replica);
  }
};

/** Records synced writes: the own vote of a candidate and the own entries of a leader now count. */
export const handlePersisted = (replica: Replica, sequence: number): void => {
  replica.syncedSequence = Math.max(replica.syncedSequence, sequence);
  replica.unsyncedSince = replica.syncedSequence < replica.sequence ? replica.now : undefined;
  replica.log.commands.markSynced(sequence);
  countOwnVote(replica);
};
