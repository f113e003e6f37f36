/**
 * Elections: pre-vote, votes, check-quorum and leadership transfer. A pre-vote asks whether an
 * election could be won and changes no state, so that a member that was cut off does not disturb a
 * leader when it returns.
 */
import type { Member, ReplicaRole } from '../../types/internal.js';
import type { Replica, RequestVote, MemberId, TimeoutNow, VoteAnswer } from './consensusTypes.js';
import { isMember, isQuorum, isVoter, otherMembers, voters } from './consensusMembership.js';
import { persistHardState, send } from './consensusEffects.js';
import { reconcileProgress } from './consensusProgress.js';
import { appendEntry, heartbeat } from './consensusReplication.js';

/**
 * Part of the election timeout that a replica waits until it has known a leader. After a loss of
 * power all members start together and none of them can tell that there is no leader; a pre-vote
 * that comes too early changes nothing.
 */
const startingPart = 0.3;
/** Part of the election timeout for which a leader waits for its disk before it hands over. */
const stalledPart = 0.5;

export const restartElectionTimer = (replica: Replica): void => {
  const { electionTimeoutMs, random } = replica.options;
  const part = replica.isStarting ? startingPart : 1;
  replica.electionDeadline = replica.now + part * electionTimeoutMs * (1 + random());
};

const restingRole = (replica: Replica): ReplicaRole =>
  isVoter(replica, replica.options.self) ? 'follower' : 'learner';

const changeRole = (replica: Replica, role: ReplicaRole): void => {
  if (replica.role !== role) {
    replica.role = role;
    replica.effects.push({ type: 'roleChanged', role, term: replica.term });
  }
};

/** Adapts follower and learner to a membership that may have changed. */
export const refreshRole = (replica: Replica): void => {
  if (replica.role === 'follower' || replica.role === 'learner') {
    changeRole(replica, restingRole(replica));
  }
};

const failReads = (replica: Replica): void => {
  replica.pendingReads.forEach(({ id }) => replica.effects.push({ type: 'readFailed', id }));
  replica.pendingReads = [];
};

/** Stops leading or standing for election; the term stays. */
export const stepDown = (replica: Replica): void => {
  replica.votes = new Set();
  replica.isPreVoting = false;
  replica.transferDeadline = undefined;
  replica.progress.clear();
  failReads(replica);
  changeRole(replica, restingRole(replica));
  restartElectionTimer(replica);
};

/** Enters a later term as follower. */
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
  otherMembers(replica)
    .filter(({ kind }) => kind === 'voter')
    .forEach((member) => send(replica, member, message, replica.sequence));
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
  // Commits the entries of earlier terms, and confirms reads and membership changes.
  appendEntry(replica, 'noop', new Uint8Array());
  heartbeat(replica);
};

const startVote = (replica: Replica): void => {
  replica.isPreVoting = false;
  replica.term += 1;
  replica.votedFor = replica.options.self.name;
  replica.leaderName = '';
  replica.votes = new Set();
  replica.ownVoteSequence = persistHardState(replica);
  changeRole(replica, 'candidate');
  restartElectionTimer(replica);
  sendVoteRequests(replica, false);
};

const countVotes = (replica: Replica): void => {
  if (replica.role !== 'candidate' || !isQuorum(replica, replica.votes)) {
    return;
  }
  if (replica.isPreVoting) {
    startVote(replica);
  } else {
    becomeLeader(replica);
  }
};

/** Counts the own vote once it is synced: a vote that a crash can undo could be given twice. */
export const countOwnVote = (replica: Replica): void => {
  const isOpen = replica.role === 'candidate' && !replica.isPreVoting;
  if (isOpen && replica.syncedSequence >= replica.ownVoteSequence) {
    replica.votes.add(replica.options.self.name);
    countVotes(replica);
  }
};

const startPreVote = (replica: Replica): void => {
  replica.isPreVoting = true;
  replica.leaderName = '';
  replica.votes = new Set([replica.options.self.name]);
  changeRole(replica, 'candidate');
  restartElectionTimer(replica);
  sendVoteRequests(replica, true);
  countVotes(replica);
};

/** Starts an election if the leader has been silent for the election timeout. */
export const checkElection = (replica: Replica): void => {
  if (replica.role === 'leader' || replica.now < replica.electionDeadline) {
    return;
  }
  if (isVoter(replica, replica.options.self)) {
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

const hearsLeader = (replica: Replica): boolean =>
  replica.role === 'leader' ||
  (replica.leaderName !== '' &&
    replica.now - replica.lastLeaderContactAt < replica.options.electionTimeoutMs);

/**
 * A replica votes only if its own log names its incarnation: an empty disk has forgotten the votes
 * and entries that it acknowledged before. The candidate need not be a member by this replica's log,
 * which may lack the entry that added it; the candidate counts only votes of its own membership.
 */
const mayVote = (replica: Replica, from: MemberId, message: RequestVote): boolean => {
  if (!isMember(replica, replica.options.self) || hasNewerLog(replica, message)) {
    return false;
  }
  if (message.preVote) {
    return message.term > replica.term && !hearsLeader(replica);
  }
  const isFree = replica.votedFor === '' || replica.votedFor === from.name;
  return message.term === replica.term && isFree;
};

/** Answers a request for a vote. A later term was adopted before. */
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
  // A granted pre-vote is answered in the term that the candidate would have.
  const term = granted && preVote ? message.term : replica.term;
  return { type: 'voteAnswer', term, granted, preVote };
};

/** Counts a vote, if it belongs to the election in progress and to a voter's incarnation. */
export const handleVoteAnswer = (replica: Replica, from: MemberId, answer: VoteAnswer): void => {
  const electionTerm = replica.isPreVoting ? replica.term + 1 : replica.term;
  const belongs =
    replica.role === 'candidate' &&
    answer.preVote === replica.isPreVoting &&
    answer.term === electionTerm;
  if (belongs && answer.granted && isVoter(replica, from)) {
    replica.votes.add(from.name);
    countVotes(replica);
  }
};

/** Steps down if no quorum has answered within the election timeout. */
export const checkQuorum = (replica: Replica): void => {
  const confirmedAt = Math.max(replica.confirmedAt, replica.leaderSince);
  if (replica.now - confirmedAt > replica.options.electionTimeoutMs) {
    replica.leaderName = '';
    stepDown(replica);
  }
};

/** Starts to hand the leadership to the voter that holds most of the log. */
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
 * Hands over if a write has waited for the disk for too long. What is committed is answered only
 * once it is synced here, so changes would go unanswered although a majority holds them.
 */
export const transferIfStalled = (replica: Replica): void => {
  const { now, options, unsyncedSince = now, transferDeadline: transferUntil } = replica;
  const isStalled = now - unsyncedSince > stalledPart * options.electionTimeoutMs;
  if (isStalled && transferUntil === undefined && transferTargetOf(replica)) {
    startTransfer(replica);
  }
};

/** Asks a voter that holds the whole log to start an election, and gives up after a while. */
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

/** Counts what became durable: the own vote of a candidate, the own entries of a leader. */
export const handlePersisted = (replica: Replica, sequence: number): void => {
  replica.syncedSequence = Math.max(replica.syncedSequence, sequence);
  replica.unsyncedSince = replica.syncedSequence < replica.sequence ? replica.now : undefined;
  replica.log.commands.markSynced(sequence);
  countOwnVote(replica);
};
