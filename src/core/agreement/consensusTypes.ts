/**
 * Types of the replicated log: what goes in (events), what comes out (effects), the messages between
 * members and the state that the parts of the algorithm share.
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

/** What a member must not forget: the term it has seen and whom it voted for in that term. */
export interface HardState {
  readonly term: number;
  readonly votedFor: string;
}

/** State of the state machine after the entry `index`, in place of the entries up to it. */
export interface ReplicaSnapshot {
  readonly index: number;
  readonly term: number;
  readonly members: readonly Member[];
  readonly data: Uint8Array;
}

/** A member together with the data folder that it runs on. */
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
  /** Highest index known to match on success; otherwise a hint where to go back to. */
  readonly matchIndex: number;
  readonly round: number;
}

export interface SnapshotAnswer {
  readonly type: 'snapshotAnswer';
  readonly term: number;
  readonly nextOffset: number;
  readonly installed: boolean;
  /** Index of the snapshot that the answer is about. */
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
      /** Names the request in the `reply` effect. */
      readonly token: number;
    }
  | { readonly type: 'answer'; readonly from: MemberId; readonly message: AnswerMessage }
  /** A request to the member failed without an answer. */
  | { readonly type: 'unreachable'; readonly name: string }
  /** All `persist` effects up to `sequence` are synced. */
  | { readonly type: 'persisted'; readonly sequence: number }
  | { readonly type: 'propose'; readonly id: number; readonly payload: Uint8Array }
  | { readonly type: 'changeMembers'; readonly id: number; readonly change: MemberChange }
  | { readonly type: 'read'; readonly id: number }
  | { readonly type: 'transfer' }
  /** The state machine's state after the applied entry `index`. */
  | { readonly type: 'compact'; readonly index: number; readonly data: Uint8Array };

/** A write that has to reach the disk in the order of `sequence`. */
export interface PersistEffect {
  readonly type: 'persist';
  readonly sequence: number;
  readonly hardState?: HardState;
  /** Entries from this index on are dropped before `entries` are appended. */
  readonly truncateFrom?: number;
  readonly entries?: readonly LogEntry[];
  /**
   * Replaces all that was written before: `hardState` is set, and `entries` are all entries that are
   * kept after the snapshot.
   */
  readonly snapshot?: ReplicaSnapshot;
}

export type RefusalReason = 'not_leader' | 'change_pending' | 'already_member' | 'not_a_member';

export type ReplicaEffect =
  | PersistEffect
  | {
      readonly type: 'send';
      readonly to: Member;
      readonly message: RequestMessage;
      /** Not to be sent before the persist effects up to this sequence are synced. */
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
  | { readonly type: 'roleChanged'; readonly role: ReplicaRole; readonly term: number };

export interface ReplicaOptions {
  readonly self: MemberId;
  /** Shortest time without a leader after which an election starts, in ms. */
  readonly electionTimeoutMs: number;
  readonly heartbeatMs: number;
  /**
   * Silence after which a leader removes a voter from a membership of an even number, in ms. Unset:
   * only operators remove members.
   */
  readonly removeSilentAfterMs?: number;
  /** Returns a number from 0 to below 1. */
  readonly random: () => number;
  readonly hardState: HardState;
  readonly snapshot: ReplicaSnapshot;
  readonly entries: readonly LogEntry[];
}

/** What a leader knows about one other member. */
export interface Progress {
  readonly incarnation: string;
  /** Answers to rounds up to this one may come from an earlier incarnation of the member. */
  readonly createdAtRound: number;
  matchIndex: number;
  nextIndex: number;
  /** Highest heartbeat round that the member answered. */
  ackedRound: number;
  /** Time at which entries or a snapshot chunk were sent and not answered yet. */
  inflightSince: number | undefined;
  /** Last entry that is in flight; 0 for a snapshot chunk. */
  inflightIndex: number;
  snapshotOffset: number | undefined;
  /** False after a failed request: entries go with heartbeats only until the member answers. */
  isReachable: boolean;
  /** Highest commit index that was sent to the member. */
  sentCommitIndex: number;
  readonly createdAt: number;
  /** Time of the last counted answer; minus infinity before the first one. */
  lastContactAt: number;
  /** An incarnation that answered for the member and is not in the membership. */
  otherIncarnation: string | undefined;
}

export interface PendingRead {
  readonly id: number;
  readonly index: number;
  readonly round: number;
}

/** State of one replica, shared by the parts of the algorithm. */
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
  /** This replica has known no leader since its start. */
  isStarting: boolean;
  /** Time of the last message of the current leader. */
  lastLeaderContactAt: number;
  /** Time at which a quorum had last confirmed the leader, as this replica knows it. */
  confirmedAt: number;
  /** Last persist sequence that was handed out, and that is synced. */
  sequence: number;
  syncedSequence: number;
  /** Since when a write waits for the disk; unset if all is synced. */
  unsyncedSince: number | undefined;
  /** Persist sequence that holds the term and the vote. */
  hardStateSequence: number;
  /** Election in progress. */
  isPreVoting: boolean;
  votes: Set<string>;
  /** The own vote counts once this sequence is synced. */
  ownVoteSequence: number;
  /** Leader only. */
  progress: Map<string, Progress>;
  round: number;
  roundSentAt: Map<number, number>;
  lastHeartbeatAt: number;
  leaderSince: number;
  pendingReads: PendingRead[];
  transferDeadline: number | undefined;
  transferTarget: string;
  /** Chunks of a snapshot that is being received. */
  incomingSnapshot:
    { index: number; term: number; from: string; chunks: Uint8Array[]; size: number } | undefined;
}
