/**
 * Replicated log in the manner of Raft, as a pure state machine: pre-vote, check-quorum, read
 * index, single-member membership changes, learners and snapshots. `step` takes an event and
 * returns effects that the caller executes in order. The caller reports synced writes by the event
 * `persisted`, and delays each `send` and `reply` until the writes up to its `afterSequence` are
 * synced.
 */
import type { Member, ReplicaRole } from '../../types/internal.js';
import type {
  AnswerMessage,
  LogEntry,
  MemberChange,
  RefusalReason,
  Replica,
  ReplicaEffect,
  ReplicaEvent,
  ReplicaOptions,
  RequestMessage,
  MemberId,
} from './consensusTypes.js';
import { applyCommitted, restoreSnapshot } from './consensusEffects.js';
import { createReplicaLog } from './consensusLog.js';
import {
  adoptTerm,
  checkElection,
  checkQuorum,
  countVotes,
  continueTransfer,
  transferIfStalled,
  refreshRole,
  restartElectionTimer,
  startTransfer,
  stepDown,
  handlePersisted,
  handleTimeoutNow,
  handleVoteAnswer,
  handleVoteRequest,
} from './consensusElection.js';
import {
  advanceCommit,
  sendCommitIndex,
  appendMembership,
  appendEntry,
  heartbeat,
  isRemoved,
  replicate,
  handleAppendEntries,
  handleAppendAnswer,
  updateConfirmation,
} from './consensusReplication.js';
import {
  applyMemberChange,
  currentMembers,
  confirmedVoters,
  findMember,
  intactVoters,
  isMembershipSettled,
  mayChangeMembers,
  nextAutomaticMembers,
  recordLostFolder,
  settledMembers,
} from './consensusMembership.js';
import { compact, handleInstallSnapshot, handleSnapshotAnswer } from './consensusSnapshot.js';

export interface ReplicaStatus {
  readonly role: ReplicaRole;
  readonly term: number;
  readonly leaderName: string;
  readonly commitIndex: number;
  readonly appliedIndex: number;
  readonly lastIndex: number;
  readonly snapshotIndex: number;
  readonly members: readonly Member[];
  /** The members, without the votes of those whose promotion is not settled, see `settledMembers`. */
  readonly settledMembers: readonly Member[];
  /** False while the group may need the members before the newest change as well. */
  readonly isMembershipSettled: boolean;
  /** Number of voters whose data folders are not known to be lost. */
  readonly intactVoters: number;
  /** The same without a voter whose addition is not confirmed by the log yet. */
  readonly confirmedVoters: number;
}

export interface ReplicaCore {
  /** Returns the effects of the loaded state, to be executed before the first event. */
  start(now: number): readonly ReplicaEffect[];
  step(event: ReplicaEvent, now: number): readonly ReplicaEffect[];
  readonly queries: {
    status(): ReplicaStatus;
    confirmedAgeMs(now: number): number;
    contactAgeMs(name: string, now: number): number;
    matchIndex(name: string): number;
    leader(): Member | undefined;
  };
}

/** Initial state of a replica that has never been a member. */
export const emptySnapshot = { index: 0, term: 0, members: [], data: new Uint8Array() } as const;
export const emptyHardState = { term: 0, votedFor: '' } as const;

const createState = (options: ReplicaOptions): Replica => ({
  options,
  log: createReplicaLog(options.snapshot, options.entries),
  effects: [],
  now: 0,
  role: 'learner',
  term: options.hardState.term,
  votedFor: options.hardState.votedFor,
  leaderName: '',
  commitIndex: options.snapshot.index,
  appliedIndex: 0,
  electionDeadline: 0,
  isStarting: true,
  lastLeaderContactAt: 0,
  confirmedAt: -Infinity,
  sequence: 0,
  syncedSequence: 0,
  unsyncedSince: undefined,
  hardStateSequence: 0,
  isPreVoting: false,
  votes: new Set(),
  lostFolders: new Map(),
  lostBeforeVote: new Set(),
  ownVoteSequence: 0,
  progress: new Map(),
  round: 0,
  roundSentAt: new Map(),
  lastHeartbeatAt: 0,
  leaderSince: 0,
  pendingReads: [],
  transferDeadline: undefined,
  transferTarget: '',
  incomingSnapshot: undefined,
});

const isFromLeader = ({ type }: RequestMessage): boolean =>
  type === 'appendEntries' || type === 'installSnapshot';

type CreateAnswer = (replica: Replica, message: RequestMessage) => AnswerMessage;

/** Answers to requests of an earlier term. They tell the sender the current term. */
const staleTermAnswers: Record<RequestMessage['type'], CreateAnswer> = {
  requestVote: ({ term }, message) => ({
    type: 'voteAnswer',
    term,
    granted: false,
    preVote: message.type === 'requestVote' && message.preVote,
  }),
  appendEntries: ({ term }) => ({
    type: 'appendAnswer',
    term,
    success: false,
    matchIndex: 0,
    round: 0,
  }),
  installSnapshot: ({ term }) => ({
    type: 'snapshotAnswer',
    term,
    nextOffset: 0,
    installed: false,
    lastIndex: 0,
    round: 0,
  }),
  timeoutNow: ({ term }) => ({ type: 'timeoutNowAnswer', term }),
};

type Handler<Kind, Result> = (replica: Replica, from: MemberId, message: Kind) => Result;

type Handlers<Kinds extends { type: string }, Result> = {
  [Type in Kinds['type']]: Handler<Extract<Kinds, { type: Type }>, Result>;
};

const requestHandlers: Handlers<RequestMessage, AnswerMessage> = {
  requestVote: handleVoteRequest,
  appendEntries: (replica, _, message) => handleAppendEntries(replica, message),
  installSnapshot: handleInstallSnapshot,
  timeoutNow: (replica, _, message) => {
    handleTimeoutNow(replica, message);
    return { type: 'timeoutNowAnswer', term: replica.term };
  },
};

const answerHandlers: Handlers<AnswerMessage, void> = {
  voteAnswer: handleVoteAnswer,
  appendAnswer: handleAppendAnswer,
  snapshotAnswer: handleSnapshotAnswer,
  timeoutNowAnswer: () => undefined,
};

const followLeader = (replica: Replica, from: MemberId): void => {
  if (replica.role === 'leader') {
    throw new Error(`two leaders in term ${replica.term}: this replica and ${from.name}`);
  }
  if (replica.role === 'candidate') {
    stepDown(replica);
  }
  replica.leaderName = from.name;
  replica.lastLeaderContactAt = replica.now;
  replica.isStarting = false;
  restartElectionTimer(replica);
};

const handleRequest = (
  replica: Replica,
  from: MemberId,
  message: RequestMessage,
): AnswerMessage => {
  const isPreVote = message.type === 'requestVote' && message.preVote;
  if (message.term < replica.term) {
    return staleTermAnswers[message.type](replica, message);
  }
  if (message.term > replica.term && !isPreVote) {
    adoptTerm(replica, message.term);
  }
  if (isFromLeader(message)) {
    followLeader(replica, from);
  }
  const handle = requestHandlers[message.type] as Handler<RequestMessage, AnswerMessage>;
  return handle(replica, from, message);
};

const isGrantedPreVote = (message: AnswerMessage): boolean =>
  message.type === 'voteAnswer' && message.preVote && message.granted;

const isForLeader = ({ type }: AnswerMessage): boolean =>
  type === 'appendAnswer' || type === 'snapshotAnswer';

const handleAnswer = (
  replica: Replica,
  to: MemberId,
  from: MemberId,
  message: AnswerMessage,
): void => {
  const isLossNew = recordLostFolder(replica, to, from);
  if (isLossNew) {
    countVotes(replica);
  }
  if (message.term > replica.term && !isGrantedPreVote(message)) {
    adoptTerm(replica, message.term);
    return;
  }
  if (isForLeader(message) && (replica.role !== 'leader' || message.term < replica.term)) {
    return;
  }
  const handle = answerHandlers[message.type] as Handler<AnswerMessage, void>;
  handle(replica, from, message);
};

/** Run by the leader after every event: advances the commit index, confirms reads, replicates. */
const updateLeader = (replica: Replica): void => {
  advanceCommit(replica);
  updateConfirmation(replica);
  replicate(replica);
  sendCommitIndex(replica);
  continueTransfer(replica);
  if (isRemoved(replica)) {
    replica.leaderName = '';
    stepDown(replica);
  }
};

const tickLeader = (replica: Replica): void => {
  checkQuorum(replica);
  if (replica.role !== 'leader') {
    return;
  }
  if (replica.now - replica.lastHeartbeatAt >= replica.options.heartbeatMs) {
    heartbeat(replica);
  }
  transferIfStalled(replica);
  // An entry that the target of a transfer lacks would cost it the votes of those that have it.
  const isTransferring = replica.transferDeadline !== undefined;
  const members = isTransferring ? undefined : nextAutomaticMembers(replica);
  if (members) {
    appendMembership(replica, members);
  }
};

const refuse = (replica: Replica, id: number, reason: RefusalReason): void => {
  replica.effects.push({ type: 'refused', id, reason });
};

const acceptsProposals = (replica: Replica): boolean =>
  replica.role === 'leader' && replica.transferDeadline === undefined;

const reportProposed = (replica: Replica, id: number, { term, index }: LogEntry): void => {
  replica.effects.push({ type: 'proposed', id, term, index });
};

const changeMembers = (replica: Replica, id: number, change: MemberChange): void => {
  if (!acceptsProposals(replica)) {
    refuse(replica, id, 'not_leader');
    return;
  }
  if (!mayChangeMembers(replica)) {
    refuse(replica, id, 'change_pending');
    return;
  }
  const changed = applyMemberChange(replica, change);
  if (typeof changed === 'string') {
    refuse(replica, id, changed);
    return;
  }
  reportProposed(replica, id, appendMembership(replica, changed));
};

/** Starts a read-index read, which needs a committed entry of the leader's own term. */
const startRead = (replica: Replica, id: number): void => {
  const { queries } = replica.log;
  if (replica.role !== 'leader' || queries.termAt(replica.commitIndex) !== replica.term) {
    replica.effects.push({ type: 'readFailed', id });
    return;
  }
  replica.pendingReads.push({ id, index: replica.commitIndex, round: replica.round + 1 });
  heartbeat(replica);
};

/**
 * Persist sequence that has to be synced before the answer is sent. Heartbeats are answered while a
 * long write, such as that of a snapshot, is in progress. Otherwise the leader would lose its
 * quorum and step down when several members write at the same time.
 */
const requiredSequence = (replica: Replica, answer: AnswerMessage): number => {
  const { hardStateSequence, sequence, log } = replica;
  const isSynced =
    answer.type === 'appendAnswer' &&
    (!answer.success || answer.matchIndex <= log.queries.syncedIndex());
  return isSynced ? hardStateSequence : sequence;
};

type EventHandlers = {
  [Type in ReplicaEvent['type']]: (
    replica: Replica,
    event: Extract<ReplicaEvent, { type: Type }>,
  ) => void;
};

const eventHandlers: EventHandlers = {
  tick: (replica) => {
    if (replica.role === 'leader') {
      tickLeader(replica);
    } else {
      checkElection(replica);
    }
  },
  request: (replica, { from, message, token }) => {
    const answer = handleRequest(replica, from, message);
    replica.effects.push({
      type: 'reply',
      token,
      message: answer,
      afterSequence: requiredSequence(replica, answer),
    });
  },
  answer: (replica, { to, from, message }) => handleAnswer(replica, to, from, message),
  unreachable: (replica, { name }) => {
    const progress = replica.progress.get(name);
    if (progress) {
      progress.inflightSince = undefined;
      progress.snapshotOffset = undefined;
      progress.isReachable = false;
    }
  },
  persisted: (replica, { sequence }) => {
    handlePersisted(replica, sequence);
    applyCommitted(replica);
  },
  propose: (replica, { id, payload }) => {
    if (acceptsProposals(replica)) {
      reportProposed(replica, id, appendEntry(replica, 'command', payload));
    } else {
      refuse(replica, id, 'not_leader');
    }
  },
  changeMembers: (replica, { id, change }) => changeMembers(replica, id, change),
  read: (replica, { id }) => startRead(replica, id),
  transfer: (replica) => {
    if (replica.role === 'leader') {
      startTransfer(replica);
    }
  },
  compact: (replica, { index, data }) => compact(replica, index, data),
};

const flushEffects = (replica: Replica): readonly ReplicaEffect[] => replica.effects.splice(0);

/** Creates a replica from its persisted state. */
export const createReplica = (options: ReplicaOptions): ReplicaCore => {
  const replica = createState(options);
  const { queries } = replica.log;

  return {
    start: (now) => {
      replica.now = now;
      restartElectionTimer(replica);
      refreshRole(replica);
      if (options.snapshot.index > 0) {
        restoreSnapshot(replica, options.snapshot);
      }
      return flushEffects(replica);
    },
    step: (event, now) => {
      replica.now = Math.max(replica.now, now);
      const handle = eventHandlers[event.type] as (state: Replica, handled: ReplicaEvent) => void;
      handle(replica, event);
      if (replica.role === 'leader') {
        updateLeader(replica);
      }
      refreshRole(replica);
      return flushEffects(replica);
    },
    queries: {
      status: () => ({
        role: replica.role,
        term: replica.term,
        leaderName: replica.leaderName,
        commitIndex: replica.commitIndex,
        appliedIndex: replica.appliedIndex,
        lastIndex: queries.lastIndex(),
        snapshotIndex: queries.snapshot().index,
        members: currentMembers(replica),
        settledMembers: settledMembers(replica),
        isMembershipSettled: isMembershipSettled(replica),
        intactVoters: intactVoters(replica),
        confirmedVoters: confirmedVoters(replica),
      }),
      confirmedAgeMs: (now) => Math.max(0, now - replica.confirmedAt),
      contactAgeMs: (name, now) => {
        if (name === options.self.name) {
          return 0;
        }
        const progress = replica.progress.get(name);
        return progress ? Math.max(0, now - progress.lastContactAt) : Infinity;
      },
      matchIndex: (name) =>
        name === options.self.name
          ? queries.syncedIndex()
          : (replica.progress.get(name)?.matchIndex ?? 0),
      leader: () => findMember(replica, replica.leaderName),
    },
  };
};
