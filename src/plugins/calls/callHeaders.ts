/**
 * Headers of a call: what is read from callers and other nodes, what is passed on, and what a
 * refusal looks like. Hop-by-hop headers are never passed on.
 */
import type { IncomingMessage } from 'node:http';
import type { CallHeaders } from '../../types/callInterface.js';
import { Failure } from '../../utils/failure.js';

export const requestIdHeader = 'x-request-id';
/** Request id that an upstream received with the call for which it makes this one. */
export const parentRequestIdHeader = 'x-parent-request-id';
export const deadlineHeader = 'x-request-deadline-ms';
export const classHeader = 'x-class';
export const idempotencyKeyHeader = 'idempotency-key';
export const attemptIdHeader = 'x-attempt-id';
export const loadHeader = 'x-load';
export const configVersionHeader = 'x-config-version';
export const configStaleHeader = 'x-config-stale';
export const replayedHeader = 'idempotency-replayed';
/** Reason of a refusal by this system, so that it is told apart from an answer of the upstream. */
export const refusalHeader = 'x-refusal';
export const runHeader = 'x-run';
/** Says that the upstream itself refused the call, and not the node beside it. */
export const refusedByUpstreamHeader = 'x-refused-by-upstream';

const maxDeadlineMs = 24 * 60 * 60 * 1_000;
const requestIdPattern = /^[\x21-\x7e]{1,128}$/;
const keyPattern = /^[\x21-\x7e]{1,256}$/;
const classPattern = /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/;
const deadlinePattern = /^\d{1,9}(?:\.\d{1,6})?$/;

const hopByHopHeaders = new Set([
  'connection',
  'expect',
  'keep-alive',
  'proxy-authenticate',
  'proxy-authorization',
  'proxy-connection',
  'te',
  'trailer',
  'transfer-encoding',
  'upgrade',
]);

/** Names that earlier versions used between nodes; they stay reserved. */
const formerRequestHeaders = [
  'x-caller',
  'x-caller-authorization',
  'x-max-wait-ms',
  'x-priority',
  'x-rank',
  'x-service',
];
const formerAnswerHeaders = ['x-retry-after-ms'];

/** Headers that this system sets itself; values from outside are not passed on. */
const ownRequestHeaders = new Set([
  attemptIdHeader,
  classHeader,
  deadlineHeader,
  requestIdHeader,
  ...formerRequestHeaders,
]);

const ownAnswerHeaders = new Set([
  attemptIdHeader,
  refusedByUpstreamHeader,
  configStaleHeader,
  configVersionHeader,
  loadHeader,
  refusalHeader,
  replayedHeader,
  requestIdHeader,
  runHeader,
  ...formerAnswerHeaders,
]);

const readHeader = (
  request: IncomingMessage,
  name: string,
  pattern: RegExp,
  allowed: string,
): string | undefined => {
  const value = request.headers[name];
  if (value === undefined) {
    return undefined;
  }
  if (typeof value !== 'string' || !pattern.test(value)) {
    throw new Failure('bad_request', `header ${name}: ${allowed}`);
  }
  return value;
};

/** Reads the headers of a call. Throws `bad_request` or `deadline_past`. */
export const readCallHeaders = (request: IncomingMessage): CallHeaders => {
  const requestId = readHeader(
    request,
    requestIdHeader,
    requestIdPattern,
    '1 to 128 visible ASCII characters',
  );
  const parentId = readHeader(
    request,
    parentRequestIdHeader,
    requestIdPattern,
    '1 to 128 visible ASCII characters',
  );
  const className = readHeader(request, classHeader, classPattern, 'the name of a class');
  const key = readHeader(
    request,
    idempotencyKeyHeader,
    keyPattern,
    '1 to 256 visible ASCII characters',
  );
  const deadline = readHeader(
    request,
    deadlineHeader,
    /^-?\d{1,9}(?:\.\d{1,6})?$/,
    'the time left in ms, as a decimal number',
  );
  if (deadline !== undefined && (!deadlinePattern.test(deadline) || Number(deadline) <= 0)) {
    throw new Failure('deadline_past', `header ${deadlineHeader}: ${deadline}`);
  }
  const deadlineMs = deadline === undefined ? undefined : Math.min(Number(deadline), maxDeadlineMs);
  return { requestId, parentId, deadlineMs, className, key };
};

/** Request id of a request that may be malformed, for its refusal. */
export const readRequestId = (request: IncomingMessage): string | undefined => {
  const value = request.headers[requestIdHeader];
  return typeof value === 'string' && requestIdPattern.test(value) ? value : undefined;
};

const namedByConnection = (raw: readonly string[]): readonly string[] => {
  const names: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.length === 10 && raw[index]!.toLowerCase() === 'connection') {
      names.push(...raw[index + 1]!.toLowerCase().split(/[\s,]+/));
    }
  }
  return names;
};

/** End-to-end headers of a message, in lower case, without those of the given names. */
export const filterHeaders = (raw: readonly string[], own: ReadonlySet<string>): string[] => {
  const connectionNames = namedByConnection(raw);
  const passed: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (!hopByHopHeaders.has(name) && !own.has(name) && !connectionNames.includes(name)) {
      passed.push(name, raw[index + 1]!);
    }
  }
  return passed;
};

/** End-to-end headers of a request, without those that this system sets. */
export const filterRequestHeaders = (raw: readonly string[]): string[] =>
  filterHeaders(raw, ownRequestHeaders);

/** End-to-end headers of an answer, without those that this system sets. */
export const filterResponseHeaders = (raw: readonly string[]): string[] =>
  filterHeaders(raw, ownAnswerHeaders);

/** Value of a header in a list of names and values in turn. */
export const findHeader = (headers: readonly string[], name: string): string | undefined => {
  for (let index = 0; index + 1 < headers.length; index += 2) {
    if (headers[index] === name) {
      return headers[index + 1];
    }
  }
  return undefined;
};

/** True if the request announces a body. */
export const hasBody = ({ headers }: IncomingMessage): boolean =>
  headers['transfer-encoding'] !== undefined || Number(headers['content-length'] ?? 0) > 0;
