/**
 * Heads of the frames between two nodes: what a call says of itself besides its body, and what a
 * refusal says. Fields from the network are checked before they are used.
 */
import type { EndpointLoad } from '../../core/calls/endpointTracker.js';
import type {
  ResponseHead,
  AttemptFailureReport,
  AttemptRequest,
  RequestBody,
} from '../../types/calls.js';
import { failureTable } from '../../utils/failure.js';

/** Head of a call: the request of the attempt, with times in ms from when it is sent. */
export interface CallHead extends Omit<
  AttemptRequest,
  'body' | 'deadlineAt' | 'headTimeoutMs' | 'needsFreshConnection'
> {
  readonly deadlineMs: number;
  readonly bodyKind: RequestBody['kind'];
}

/** Head of a refusal. */
export interface RefusalHead {
  readonly attemptId: string;
  readonly load: string;
  readonly failure: AttemptFailureReport;
}

type FieldType = 'string' | 'number';

const callFields: Readonly<Record<string, FieldType>> = {
  attemptId: 'string',
  requestId: 'string',
  className: 'string',
  service: 'string',
  caller: 'string',
  priority: 'number',
  rank: 'number',
  maxWaitMs: 'number',
  deadlineMs: 'number',
  method: 'string',
  path: 'string',
  bodyKind: 'string',
};

type Fields = Readonly<Record<string, unknown>>;

const isFields = (value: unknown): value is Fields => typeof value === 'object' && value !== null;

const isTextList = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

const hasFields = (value: Fields, fields: Readonly<Record<string, FieldType>>): boolean =>
  Object.entries(fields).every(
    ([name, type]) =>
      typeof value[name] === type && (type !== 'number' || (value[name] as number) >= 0),
  );

/** Reads the head of a call; undefined for anything else. */
export const readCallHead = (value: unknown): CallHead | undefined => {
  const isCall =
    isFields(value) &&
    hasFields(value, callFields) &&
    isTextList(value.headers) &&
    value.headers.length % 2 === 0 &&
    value.attemptId !== '' &&
    value.requestId !== '';
  return isCall ? (value as unknown as CallHead) : undefined;
};

/** Reads the head of an answer; undefined for anything else. */
export const readAnswerHead = (value: unknown): ResponseHead | undefined => {
  const isAnswer = isFields(value) && Number.isInteger(value.status) && isTextList(value.headers);
  return isAnswer
    ? {
        status: value.status as number,
        headers: value.headers as string[],
        isStarved: value.isStarved === true,
      }
    : undefined;
};

/** Reads the head of a refusal; undefined for anything else. */
export const readRefusalHead = (value: unknown): RefusalHead | undefined => {
  if (!isFields(value) || !hasFields(value, { attemptId: 'string', load: 'string' })) {
    return undefined;
  }
  const { failure } = value;
  const isFailure =
    isFields(failure) &&
    typeof failure.reason === 'string' &&
    Object.hasOwn(failureTable, failure.reason) &&
    (failure.run === 'not_run' || failure.run === 'may_have_run');
  return isFailure ? (value as unknown as RefusalHead) : undefined;
};

/** Parses a load: in flight, limit, waiting and, if it is known, the work in ms. */
export const parseLoad = (text: string): EndpointLoad | undefined => {
  const [inFlight, limit, waiting, workMs] = text.split(',').map(Number);
  const isCount = (value: number | undefined) => Number.isSafeInteger(value) && value! >= 0;
  if (![inFlight, limit, waiting].every(isCount)) {
    return undefined;
  }
  const load = { inFlight: inFlight!, limit: limit!, waiting: waiting! };
  return isCount(workMs) ? { ...load, workMs } : load;
};

/** Text form of a load. */
export const formatLoad = ({ inFlight, limit, waiting, workMs }: EndpointLoad): string =>
  [inFlight, limit, waiting, ...(workMs === undefined ? [] : [Math.round(workMs)])].join(',');
