/**
 * Converts consensus messages between the types of the core and the protobuf messages.
 */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type {
  AnswerMessage,
  AppendEntries,
  EntryKind,
  InstallSnapshot,
  LogEntry,
  RequestVote,
  MemberId,
  TimeoutNow,
} from '../../core/agreement/consensusTypes.js';
import { decodeMembers, encodeMembers } from '../../core/agreement/consensusLog.js';
import type {
  AppendEntriesRequest,
  AppendEntriesRequestSchema,
  AppendEntriesResponse,
  InstallSnapshotRequest,
  InstallSnapshotRequestSchema,
  InstallSnapshotResponse,
  LogEntry as WireEntry,
  RequestVoteRequest,
  RequestVoteRequestSchema,
  RequestVoteResponse,
  Sender as WireSender,
  TimeoutNowRequest,
  TimeoutNowRequestSchema,
  TimeoutNowResponse,
} from '../../gen/auburnsill/v1/consensus_pb.js';
import { Failure } from '../../utils/failure.js';

const entryKinds: ReadonlySet<string> = new Set<EntryKind>(['noop', 'membership', 'command']);

const malformed = (detail: string): Failure => new Failure('malformed_message', detail);

const toNumber = (value: bigint): number => {
  if (value > BigInt(Number.MAX_SAFE_INTEGER)) {
    throw malformed(`number ${value} is out of range`);
  }
  return Number(value);
};

const fromWireEntry = ({ term, index, kind, payload }: WireEntry): LogEntry => {
  if (!entryKinds.has(kind)) {
    throw malformed(`entry of unknown kind "${kind}"`);
  }
  return { term: toNumber(term), index: toNumber(index), kind: kind as EntryKind, payload };
};

const isContiguous = (entries: readonly LogEntry[], previousIndex: number): boolean =>
  entries.every(({ index }, position) => index === previousIndex + 1 + position);

export const decodeSender = (sender: WireSender | undefined): MemberId => {
  if (!sender?.member || !sender.incarnation) {
    throw malformed('the message does not name its sender');
  }
  return { name: sender.member, incarnation: sender.incarnation };
};

type SenderInit = MessageInitShape<typeof RequestVoteRequestSchema>['sender'];

export const encodeVoteRequest = (
  message: RequestVote,
  sender: SenderInit,
): MessageInitShape<typeof RequestVoteRequestSchema> => ({
  sender,
  term: BigInt(message.term),
  lastLogIndex: BigInt(message.lastLogIndex),
  lastLogTerm: BigInt(message.lastLogTerm),
  preVote: message.preVote,
});

export const decodeVoteRequest = (message: RequestVoteRequest): RequestVote => ({
  type: 'requestVote',
  term: toNumber(message.term),
  lastLogIndex: toNumber(message.lastLogIndex),
  lastLogTerm: toNumber(message.lastLogTerm),
  preVote: message.preVote,
});

export const encodeAppendRequest = (
  message: AppendEntries,
  sender: SenderInit,
): MessageInitShape<typeof AppendEntriesRequestSchema> => ({
  sender,
  term: BigInt(message.term),
  previousIndex: BigInt(message.previousIndex),
  previousTerm: BigInt(message.previousTerm),
  entries: message.entries.map(({ term, index, kind, payload }) => ({
    term: BigInt(term),
    index: BigInt(index),
    kind,
    payload,
  })),
  commitIndex: BigInt(message.commitIndex),
  round: BigInt(message.round),
  confirmedAgeMs: BigInt(Math.min(message.confirmedAgeMs, Number.MAX_SAFE_INTEGER)),
});

export const decodeAppendRequest = (message: AppendEntriesRequest): AppendEntries => {
  const previousIndex = toNumber(message.previousIndex);
  const entries = message.entries.map(fromWireEntry);
  if (!isContiguous(entries, previousIndex)) {
    throw malformed('entries are not contiguous');
  }
  return {
    type: 'appendEntries',
    term: toNumber(message.term),
    previousIndex,
    previousTerm: toNumber(message.previousTerm),
    entries,
    commitIndex: toNumber(message.commitIndex),
    round: toNumber(message.round),
    confirmedAgeMs: toNumber(message.confirmedAgeMs),
  };
};

export const encodeSnapshotRequest = (
  message: InstallSnapshot,
  sender: SenderInit,
): MessageInitShape<typeof InstallSnapshotRequestSchema> => ({
  sender,
  term: BigInt(message.term),
  lastIndex: BigInt(message.lastIndex),
  lastTerm: BigInt(message.lastTerm),
  offset: BigInt(message.offset),
  chunk: message.chunk,
  done: message.done,
  membership: encodeMembers(message.members),
  round: BigInt(message.round),
});

export const decodeSnapshotRequest = (message: InstallSnapshotRequest): InstallSnapshot => ({
  type: 'installSnapshot',
  term: toNumber(message.term),
  lastIndex: toNumber(message.lastIndex),
  lastTerm: toNumber(message.lastTerm),
  offset: toNumber(message.offset),
  chunk: message.chunk,
  done: message.done,
  members: decodeMembers(message.membership),
  round: toNumber(message.round),
});

export const encodeTimeoutNow = (
  message: TimeoutNow,
  sender: SenderInit,
): MessageInitShape<typeof TimeoutNowRequestSchema> => ({ sender, term: BigInt(message.term) });

export const decodeTimeoutNow = (message: TimeoutNowRequest): TimeoutNow => ({
  type: 'timeoutNow',
  term: toNumber(message.term),
});

type AnswerOf<Type extends AnswerMessage['type']> = Extract<AnswerMessage, { type: Type }>;

export const encodeVoteAnswer = ({ term, granted, preVote }: AnswerOf<'voteAnswer'>) => ({
  term: BigInt(term),
  granted,
  preVote,
});

export const decodeVoteAnswer = (message: RequestVoteResponse): AnswerOf<'voteAnswer'> => ({
  type: 'voteAnswer',
  term: toNumber(message.term),
  granted: message.granted,
  preVote: message.preVote,
});

export const encodeAppendAnswer = (answer: AnswerOf<'appendAnswer'>) => ({
  term: BigInt(answer.term),
  success: answer.success,
  matchIndex: BigInt(answer.matchIndex),
  round: BigInt(answer.round),
});

export const decodeAppendAnswer = (message: AppendEntriesResponse): AnswerOf<'appendAnswer'> => ({
  type: 'appendAnswer',
  term: toNumber(message.term),
  success: message.success,
  matchIndex: toNumber(message.matchIndex),
  round: toNumber(message.round),
});

export const encodeSnapshotAnswer = (answer: AnswerOf<'snapshotAnswer'>) => ({
  term: BigInt(answer.term),
  nextOffset: BigInt(answer.nextOffset),
  installed: answer.installed,
  lastIndex: BigInt(answer.lastIndex),
  round: BigInt(answer.round),
});

export const decodeSnapshotAnswer = (
  message: InstallSnapshotResponse,
): AnswerOf<'snapshotAnswer'> => ({
  type: 'snapshotAnswer',
  term: toNumber(message.term),
  nextOffset: toNumber(message.nextOffset),
  installed: message.installed,
  lastIndex: toNumber(message.lastIndex),
  round: toNumber(message.round),
});

export const encodeTimeoutNowAnswer = ({ term }: AnswerOf<'timeoutNowAnswer'>) => ({
  term: BigInt(term),
});

export const decodeTimeoutNowAnswer = (
  message: TimeoutNowResponse,
): AnswerOf<'timeoutNowAnswer'> => ({
  type: 'timeoutNowAnswer',
  term: toNumber(message.term),
});
