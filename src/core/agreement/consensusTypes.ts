/**
 * Types of the replicated log: input events, output effects, messages between members, and the
 * state that the modules of the algorithm share.
 */
import type { Member, ReplicaRole } from '../../types/internal.js';
import type { ReplicaLog } from './consensusLog.js';

export type EntryKind = 'noop' | 'membership' | 'command';

export interface LogEntry {
  readonly term: number;
  readonly index: number;
  readonly kind: EntryKind;
  readonly payload: Uint8Array;
}

/** State that has to survive restarts: the current term and the vote in that term. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string;
}

/** State of the state machine after entry `index`; replaces the entries up to it. */
export interface ReplicaSnapshot {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  readonly data: Uint8Array;
}

/** Identifies a member and the data folder that it runs on. */
export interface MemberId {
  readonly name: string;
  readonly incarnation: string;
}

export interface RequestVote {
  readonly type: 'requestVote';
  readonly term: number;
  readonly lastLogIndex: number;
  readonly lastLogTerm: number;
  readonly preVote: boolean;
}

export interface AppendEntries {
  readonly type: 'appendEntries';
  readonly term: number;
  readonly previousIndex: number;
  readonly previousTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  readonly round: number;
  readonly confirmedAgeMs: number;
}

export interface InstallSnapshot {
  readonly type: 'installSnapshot';
  readonly term: number;
  readonly lastIndex: number;
  readonly lastTerm: number;
  readonly offset: number;
  readonly chunk: Uint8Array;
  readonly done: boolean;
  readonly members: readonly Member[];
  readonly round: number;
}

/** Asks the receiver to start an election at once: the last step of a leadership transfer. */
export interface TimeoutNow {
  readonly type: 'timeoutNow';
  readonly term: number;
}

export type RequestMessage = RequestVote | AppendEntries | InstallSnapshot | TimeoutNow;

export interface VoteAnswer {
  readonly type: 'voteAnswer';
  readonly term: number;
  readonly granted: boolean;
  readonly preVote: boolean;
}

export interface AppendAnswer {
  readonly type: 'appendAnswer';
  readonly term: number;
  readonly success: boolean;
  /**
   * On success the highest index known to match; otherwise a hint where the leader should retry.
   */
  readonly matchIndex: number;
  readonly round: number;
}

export interface SnapshotAnswer {
  readonly type: 'snapshotAnswer';
  readonly term: number;
  readonly nextOffset: number;
  readonly installed: boolean;
  /** Index of the snapshot that the answer refers to. */
  readonly lastIndex: number;
  readonly round: number;
}

export interface TimeoutNowAnswer {
  readonly type: 'timeoutNowAnswer';
  readonly term: number;
}

export type AnswerMessage = VoteAnswer | AppendAnswer | SnapshotAnswer | TimeoutNowAnswer;

export interface MemberChange {
  readonly action: 'add' | 'remove';
  readonly member: Member;
}

export type ReplicaEvent =
  | { readonly type: 'tick' }
  | {
      readonly type: 'request';
      readonly from: MemberId;
      readonly message: RequestMessage;
      /** Identifies the request in the `reply` effect. */
      readonly token: number;
    }
  | {
      readonly type: 'answer';
      readonly from: MemberId;
      /** The member as it was listed when the request was sent. */
      readonly to: MemberId;
      readonly message: AnswerMessage;
    }
  /** A request to the member failed without an answer. */
  | { readonly type: 'unreachable'; readonly name: string }
  /** All `persist` effects up to `sequence` have been synced. */
  | { readonly type: 'persisted'; readonly sequence: number }
  | { readonly type: 'propose'; readonly id: number; readonly payload: Uint8Array }
  | { readonly type: 'changeMembers'; readonly id: number; readonly change: MemberChange }
  | { readonly type: 'read'; readonly id: number }
  | { readonly type: 'transfer' }
  /** `data` is the state of the state machine after the applied entry `index`. */
  | { readonly type: 'compact'; readonly index: number; readonly data: Uint8Array };

/** A write to disk. Writes have to be made durable in the order of `sequence`. */
export interface PersistEffect {
  readonly type: 'persist';
  readonly sequence: number;
  readonly hardState?: HardState;
  /** Entries from this index on are deleted before `entries` are appended. */
  readonly truncateFrom?: number;
  readonly entries?: readonly LogEntry[];
  /**
   * Replaces everything written before. In this case `hardState` is set, and `entries` contains all
   * entries that are kept after the snapshot.
   */
  readonly snapshot?: ReplicaSnapshot;
}

export type RefusalReason =
  'not_leader' | 'change_pending' | 'already_member' | 'not_a_member' | 'still_listed';

export type ReplicaEffect =
  | PersistEffect
  | {
      readonly type: 'send';
      readonly to: Member;
      readonly message: RequestMessage;
      /** Must not be sent before the persist effects up to this sequence are synced. */
      readonly afterSequence: number;
    }
  | {
      readonly type: 'reply';
      readonly token: number;
      readonly message: AnswerMessage;
      readonly afterSequence: number;
    }
  | { readonly type: 'apply'; readonly entries: readonly LogEntry[] }
  | { readonly type: 'restore'; readonly snapshot: ReplicaSnapshot }
  | {
      readonly type: 'proposed';
      readonly id: number;
      readonly term: number;
      readonly index: number;
    }
  | { readonly type: 'refused'; readonly id: number; readonly reason: RefusalReason }
  | { readonly type: 'readConfirmed'; readonly id: number; readonly index: number }
  | { readonly type: 'readFailed'; readonly id: number }
  /** The member answers with another incarnation: the listed data folder is lost. */
  | { readonly type: 'folderLost'; readonly member: MemberId; readonly successor: string }
  | { readonly type: 'roleChanged'; readonly role: ReplicaRole; readonly term: number };

export interface ReplicaOptions {
  readonly self: MemberId;
  /** Shortest time without contact to a leader after which an election starts, in ms. */
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /**
   * Time without an answer, in ms, after which the leader removes a learner, or a voter while more
   * than `minVoters` are listed. If unset, only operators remove members.
   */
  readonly removeSilentAfterMs?: number;
  /** Number of voters below which the leader removes none by itself. Default: 3. */
  readonly minVoters?: number;
  /** Returns a number in the range from 0 (inclusive) to 1 (exclusive). */
  readonly random: () => number;
  readonly hardState: HardState;
  readonly snapshot: ReplicaSnapshot;
  readonly entries: readonly LogEntry[];
}

/** Replication progress of another member, as tracked by the leader. */
export interface Progress {
  readonly incarnation: string;
  matchIndex: number;
  nextIndex: number;
  /** Highest heartbeat round that the member answered. */
  ackedRound: number;
  /**
   * Time at which the unanswered entries or snapshot chunk were sent; undefined if there are none.
   */
  inflightSince: number | undefined;
  /** Index of the last entry in flight; 0 for a snapshot chunk. */
  inflightIndex: number;
  snapshotOffset: number | undefined;
  /**
   * False after a failed request: until the member answers, entries are sent with heartbeats only.
   */
  isReachable: boolean;
  /** Commit index that was last sent to the member. */
  sentCommitIndex: number;
  readonly createdAt: number;
  /** Time of the last answer that counted; minus infinity before the first one. */
  lastContactAt: number;
}

/** A listed incarnation of a member that has ended, since its data folder is lost. */
export interface LostFolder {
  /** Incarnation that answered in its place. */
  readonly successor: string;
  /** Heartbeat round in which this replica learned of the loss. */
  readonly round: number;
}

export interface PendingRead {
  readonly id: number;
  readonly index: number;
  readonly round: number;
}

/** State of a replica, shared by the modules of the algorithm. */
export interface Replica {
  readonly options: ReplicaOptions;
  readonly log: ReplicaLog;
  readonly effects: ReplicaEffect[];
  now: number;
  role: ReplicaRole;
  term: number;
  votedFor: string;
  leaderName: string;
  commitIndex: number;
  appliedIndex: number;
  electionDeadline: number;
  /** True until the replica has known a leader since its start. */
  isStarting: boolean;
  /** Time of the last message from the current leader. */
  lastLeaderContactAt: number;
  /** Last time, as known to this replica, at which a quorum had confirmed the leader. */
  confirmedAt: number;
  /** Last assigned persist sequence, and last synced one. */
  sequence: number;
  syncedSequence: number;
  /** Time since which writes have been waiting for the disk; undefined if all are synced. */
  unsyncedSince: number | undefined;
  /** Persist sequence of the last write of the term and the vote. */
  hardStateSequence: number;
  /** Pre-vote or vote in progress. */
  isPreVoting: boolean;
  /** Keys of the members that granted it, see `keyOf`. */
  votes: Set<string>;
  /** Lost data folders of listed members, by their keys. */
  lostFolders: Map<string, LostFolder>;
  /**
   * Keys of the lost folders that count in the vote in progress. They are those that were known when
   * it started: a vote that was granted before a loss does not show that its voter outlived it.
   */
  lostBeforeVote: ReadonlySet<string>;
  /** Persist sequence after which the candidate's own vote counts. */
  ownVoteSequence: number;
  /** This and the fields down to `transferTarget` are used by the leader only. */
  progress: Map<string, Progress>;
  round: number;
  roundSentAt: Map<number, number>;
  lastHeartbeatAt: number;
  leaderSince: number;
  pendingReads: PendingRead[];
  transferDeadline: number | undefined;
  transferTarget: string;
  /** Snapshot being received in chunks. */
  incomingSnapshot:
    { index: number; term: number; from: string; chunks: Uint8Array[]; size: number } | undefined;
}
