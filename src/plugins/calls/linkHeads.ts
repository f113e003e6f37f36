/**
 * Heads of the frames between two nodes: the metadata of a call, of a response and of a refusal.
 * Fields from the network are validated before they are used.
 */
import type { EndpointLoad } from '../../core/calls/endpointTracker.js';
import {
  refusalStages,
  type NestedShortage,
  type ResponseHead,
  type AttemptFailureReport,
  type AttemptRequest,
  type RequestBody,
} from '../../types/calls.js';
import { maxPace, minPace } from '../../core/calls/reportedPace.js';
import { failureTable } from '../../utils/failure.js';
import { isFinalStatus } from './statusCodes.js';

/** Head of a call: the request of the attempt, with times in ms from when it is sent. */
export interface CallHead extends Omit<
  AttemptRequest,
  'body' | 'deadlineAt' | 'targetAt' | 'headTimeoutMs' | 'needsFreshConnection'
> {
  readonly deadlineMs: number;
  /** Negative if the target has been missed already. */
  readonly targetMs?: number;
  readonly bodyKind: RequestBody['kind'];
}

/** Head of a refusal. */
export interface RefusalHead {
  readonly attemptId: string;
  readonly load: string;
  readonly failure: AttemptFailureReport;
}

type FieldType = 'string' | 'number';

const callHeadFields: Readonly<Record<string, FieldType>> = {
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

type UnknownRecord = Readonly<Record<string, unknown>>;

const isRecord = (value: unknown): value is UnknownRecord =>
  typeof value === 'object' && value !== null;

const isStringArray = (value: unknown): value is string[] =>
  Array.isArray(value) && value.every((item) => typeof item === 'string');

const hasFields = (value: UnknownRecord, fields: Readonly<Record<string, FieldType>>): boolean =>
  Object.entries(fields).every(
    ([name, type]) =>
      typeof value[name] === type && (type !== 'number' || (value[name] as number) >= 0),
  );

/** Validates the head of a call; returns undefined for anything else. */
export const readCallHead = (value: unknown): CallHead | undefined => {
  const isCallHead =
    isRecord(value) &&
    hasFields(value, callHeadFields) &&
    (value.targetMs === undefined || typeof value.targetMs === 'number') &&
    (value.isNested === undefined || typeof value.isNested === 'boolean') &&
    isStringArray(value.headers) &&
    value.headers.length % 2 === 0 &&
    value.attemptId !== '' &&
    value.requestId !== '';
  return isCallHead ? (value as unknown as CallHead) : undefined;
};

const shortageFields: Readonly<Record<string, FieldType>> = {
  service: 'string',
  callsPerRun: 'number',
  refusedShare: 'number',
  waitShare: 'number',
};
const maxServiceLength = 256;

/** Validates figures about nested calls; invalid ones are dropped, and their response is kept. */
const readShortage = (value: unknown): NestedShortage | undefined => {
  if (!isRecord(value) || !hasFields(value, shortageFields)) {
    return undefined;
  }
  const { service, callsPerRun, refusedShare, waitShare } = value as unknown as NestedShortage;
  const isValid =
    service.length <= maxServiceLength &&
    Number.isFinite(callsPerRun) &&
    refusedShare <= 1 &&
    waitShare <= 1;
  return isValid ? { service, callsPerRun, refusedShare, waitShare } : undefined;
};

/** Validates the head of a response; returns undefined for anything else. */
export const readResponseHead = (value: unknown): ResponseHead | undefined => {
  const isResponseHead =
    isRecord(value) &&
    typeof value.status === 'number' &&
    isFinalStatus(value.status) &&
    isStringArray(value.headers);
  const shortage = isResponseHead ? readShortage(value.shortage) : undefined;
  return isResponseHead
    ? {
        status: value.status as number,
        headers: value.headers as string[],
        isStarved: value.isStarved === true,
        ...(typeof value.processedMs === 'number' && { processedMs: value.processedMs }),
        ...(shortage && { shortage }),
      }
    : undefined;
};

/** Validates the head of a refusal; returns undefined for anything else. */
export const readRefusalHead = (value: unknown): RefusalHead | undefined => {
  if (!isRecord(value) || !hasFields(value, { attemptId: 'string', load: 'string' })) {
    return undefined;
  }
  const { failure } = value;
  const isFailureReport =
    isRecord(failure) &&
    typeof failure.reason === 'string' &&
    Object.hasOwn(failureTable, failure.reason) &&
    (failure.run === 'not_run' || failure.run === 'may_have_run');
  if (!isFailureReport) {
    return undefined;
  }
  const refusal = value as unknown as RefusalHead;
  // The stage becomes a label of a metric, whose values have to be bounded.
  return refusalStages.some((stage) => stage === failure.stage)
    ? refusal
    : { ...refusal, failure: { ...refusal.failure, stage: undefined } };
};

/**
 * Parses the text form of a load: in flight, limit, waiting and, if known, the work and the time for
 * which the link is reserved, in ms, and the pace. A value that is not known is not a number, or is
 * left out at the end.
 */
export const parseLoad = (text: string): EndpointLoad | undefined => {
  const [inFlight, limit, waiting, workMs, linkMs, pace] = text.split(',').map(Number);
  const isCount = (value: number | undefined) => Number.isSafeInteger(value) && value! >= 0;
  if (![inFlight, limit, waiting].every(isCount)) {
    return undefined;
  }
  return {
    inFlight: inFlight!,
    limit: limit!,
    waiting: waiting!,
    ...(isCount(workMs) && { workMs }),
    ...(isCount(linkMs) && { linkMs }),
    ...(isCount(pace) && pace! >= minPace && pace! <= maxPace && { pace }),
  };
};

const formatOptional = (value: number | undefined): string =>
  value === undefined ? '-' : String(Math.round(value));

/** Formats a load as comma-separated numbers, see `parseLoad`. */
export const formatLoad = (load: EndpointLoad): string => {
  const { inFlight, limit, waiting, workMs, linkMs, pace } = load;
  const fields = [inFlight, limit, waiting, formatOptional(workMs), formatOptional(linkMs)];
  return (pace === undefined ? fields : [...fields, formatOptional(pace)]).join(',');
};
