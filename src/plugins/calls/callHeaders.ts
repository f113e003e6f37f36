/**
 * Headers of a call: those read from callers and other nodes, those that are forwarded, and those
 * of a refusal. Hop-by-hop headers are never forwarded.
 */
import type { IncomingMessage } from 'node:http';
import type { CallHeaders, ForwardedIdentity } from '../../types/callInterface.js';
import { Failure } from '../../utils/failure.js';

export const requestIdHeader = 'x-request-id';
/** Request id of the call that an upstream is processing and for which it makes this one. */
export const parentRequestIdHeader = 'x-parent-request-id';
export const deadlineHeader = 'x-request-deadline-ms';
export const classHeader = 'x-class';
export const idempotencyKeyHeader = 'idempotency-key';
export const attemptIdHeader = 'x-attempt-id';
export const authorizationHeader = 'authorization';
/** Name of the tenant of a call, for its upstream. */
export const tenantHeader = 'x-tenant';
export const loadHeader = 'x-load';
export const configVersionHeader = 'x-config-version';
export const configStaleHeader = 'x-config-stale';
export const replayedHeader = 'idempotency-replayed';
/** Reason of a refusal by this system; distinguishes it from a response of the upstream. */
export const refusalHeader = 'x-refusal';
export const runHeader = 'x-run';
/** Set if the upstream itself refused the call, and not the node beside it. */
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

/** Headers that earlier versions used between nodes; they stay reserved. */
const legacyRequestHeaders = [
  'x-caller',
  'x-caller-authorization',
  'x-max-wait-ms',
  'x-priority',
  'x-rank',
  'x-service',
];
const legacyResponseHeaders = ['x-retry-after-ms'];

/** Headers that this system sets itself; values from outside are not forwarded. */
const reservedRequestHeaders = new Set([
  attemptIdHeader,
  classHeader,
  deadlineHeader,
  requestIdHeader,
  ...legacyRequestHeaders,
]);

const reservedResponseHeaders = new Set([
  attemptIdHeader,
  refusedByUpstreamHeader,
  configStaleHeader,
  configVersionHeader,
  loadHeader,
  refusalHeader,
  replayedHeader,
  requestIdHeader,
  runHeader,
  ...legacyResponseHeaders,
]);

const readHeader = (
  request: IncomingMessage,
  name: string,
  pattern: RegExp,
  expected: string,
): string | undefined => {
  const value = request.headers[name];
  if (value === undefined) {
    return undefined;
  }
  if (typeof value !== 'string' || !pattern.test(value)) {
    throw new Failure('bad_request', `header ${name}: ${expected}`);
  }
  return value;
};

const bearerPattern = /^bearer +([\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?)$/i;

/** Reads the API key of a call. It is empty, which no key is, if the header is unusable. */
export const readApiKey = ({ headers, rawHeaders }: IncomingMessage): string | undefined => {
  const value = headers[authorizationHeader];
  if (value === undefined) {
    return undefined;
  }
  // `headers` has only the first of several.
  const count = rawHeaders.filter(
    (name, index) => index % 2 === 0 && name.toLowerCase() === authorizationHeader,
  ).length;
  return (count === 1 && bearerPattern.exec(value)?.[1]) || '';
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
  return { requestId, parentId, deadlineMs, className, key, apiKey: readApiKey(request) };
};

/** Reads the request id of a request that may be malformed, for its refusal. */
export const readRequestId = (request: IncomingMessage): string | undefined => {
  const value = request.headers[requestIdHeader];
  return typeof value === 'string' && requestIdPattern.test(value) ? value : undefined;
};

const connectionOptions = (raw: readonly string[]): readonly string[] => {
  const names: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    if (raw[index]!.length === 10 && raw[index]!.toLowerCase() === 'connection') {
      names.push(...raw[index + 1]!.toLowerCase().split(/[\s,]+/));
    }
  }
  return names;
};

/** End-to-end headers of a message, in lower case, without the reserved ones. */
export const filterHeaders = (raw: readonly string[], reserved: ReadonlySet<string>): string[] => {
  const connectionHeaders = connectionOptions(raw);
  const kept: string[] = [];
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toLowerCase();
    if (!hopByHopHeaders.has(name) && !reserved.has(name) && !connectionHeaders.includes(name)) {
      kept.push(name, raw[index + 1]!);
    }
  }
  return kept;
};

const reservedWithTenants = new Set([...reservedRequestHeaders, authorizationHeader, tenantHeader]);

/**
 * End-to-end headers of a request, without those that this system sets. With an identity, the name
 * of the tenant takes the place of the API key.
 */
export const filterRequestHeaders = (
  raw: readonly string[],
  identity?: ForwardedIdentity,
): string[] => {
  const headers = filterHeaders(raw, identity ? reservedWithTenants : reservedRequestHeaders);
  return identity?.tenant === undefined ? headers : [...headers, tenantHeader, identity.tenant];
};

/** End-to-end headers of a response, without those that this system sets. */
export const filterResponseHeaders = (raw: readonly string[]): string[] =>
  filterHeaders(raw, reservedResponseHeaders);

/** Value of a header in a list of alternating names and values. */
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
