/**
 * HTTP protocol of the platform's callers and endpoints: translates its header names and status
 * codes to and from the internal representation of a call.
 */
import type { IncomingMessage } from 'node:http';
import {
  authorizationHeader,
  findHeader,
  filterHeaders,
  readApiKey,
} from '../plugins/calls/callHeaders.js';
import { maxPace, minPace, usualPace } from '../core/calls/reportedPace.js';
import type { AttemptFailureReport } from '../types/calls.js';
import type {
  CallInterface,
  CallerInterface,
  UpstreamInterface,
  UpstreamLoad,
} from '../types/callInterface.js';
import { Failure, type FailureReason } from '../utils/failure.js';

const requestIdHeader = 'request-id';
/** Remaining time until the deadline of the request, in ms. */
const deadlineHeader = 'deadline-ms';
/** Id of the endpoint that a request is addressed to; any other endpoint refuses it. */
const instanceHeader = 'expect-instance';
/** Service of the machine on which the request originated. */
const originHeader = 'caller-service';
/** Name of the tenant whose API key the caller presented. */
const tenantHeader = 'tenant';
/** Marks the response to a request that was not run. */
const notRunHeader = 'not-executed';
/** Running and waiting requests at the endpoint, its slots, and possibly its pace. */
const loadHeader = 'load-report';
const otherInstanceStatus = 421;

/** Headers that the node sets itself; values from the caller are discarded. */
const nodeRequestHeaders = new Set([deadlineHeader, instanceHeader, originHeader]);
const requestHeadersWithTenants = new Set([
  ...nodeRequestHeaders,
  authorizationHeader,
  tenantHeader,
]);
const requestIdPattern = /^[\x21-\x7e]{1,256}$/;
/**
 * Separator in the request id of a call that an endpoint makes: the part before the last one is the
 * id of the request on whose behalf it is made.
 */
const childSeparator = '.';
const maxDeadlineMs = 24 * 60 * 60 * 1_000;

const singleHeader = ({ headers }: IncomingMessage, name: string): string | undefined => {
  const value = headers[name];
  return typeof value === 'string' ? value : undefined;
};

const readRequestId = (request: IncomingMessage): string | undefined => {
  const value = singleHeader(request, requestIdHeader);
  return value !== undefined && requestIdPattern.test(value) ? value : undefined;
};

const readParentId = (requestId: string | undefined): string | undefined => {
  const end = requestId?.lastIndexOf(childSeparator) ?? -1;
  return end > 0 ? requestId?.slice(0, end) : undefined;
};

const readDeadlineMs = (request: IncomingMessage): number | undefined => {
  const text = singleHeader(request, deadlineHeader);
  if (text === undefined) {
    return undefined;
  }
  const value = Number(text);
  if (Number.isNaN(value)) {
    throw new Failure('bad_request', `header ${deadlineHeader}: ${text}`);
  }
  if (value <= 0) {
    throw new Failure('deadline_past', `header ${deadlineHeader}: ${text}`);
  }
  return Math.min(value, maxDeadlineMs);
};

/** Statuses for requests that were not run and should not be resent unchanged. */
const nonRetryableStatuses: Partial<Record<FailureReason, number>> = {
  unknown_class: 404,
  bad_request: 400,
  body_too_large: 413,
  unauthenticated_caller: 401,
  quota_exceeded: 429,
};
/** Guarantees that the request was not run and will not be. */
const notRunStatus = 503;
const statusesWithRetryAfter: ReadonlySet<number> = new Set([notRunStatus, 429]);
const unauthenticatedStatus = 401;
const mayHaveRunStatus = 502;
const timeoutStatus = 504;

const statusOf = ({ reason, run }: AttemptFailureReport): number => {
  if (run === 'may_have_run') {
    return reason === 'deadline_exceeded' ? timeoutStatus : mayHaveRunStatus;
  }
  return nonRetryableStatuses[reason] ?? notRunStatus;
};

const createCallers = (service: () => string): CallerInterface => ({
  callHeaders: (requestId, deadlineMs) => ({
    [requestIdHeader]: requestId,
    [deadlineHeader]: String(deadlineMs),
  }),
  readCall: (request) => {
    const requestId = readRequestId(request);
    return {
      requestId,
      parentId: readParentId(requestId),
      deadlineMs: readDeadlineMs(request),
      className: undefined,
      key: undefined,
      apiKey: readApiKey(request),
    };
  },
  // All callers on a machine connect from the same address and cannot be distinguished.
  readCaller: () => '',
  readRequestId,
  forwardedHeaders: (raw, identity) => {
    const reserved = identity ? requestHeadersWithTenants : nodeRequestHeaders;
    const headers = [...filterHeaders(raw, reserved), originHeader, service()];
    return identity?.tenant === undefined ? headers : [...headers, tenantHeader, identity.tenant];
  },
  responseHeaders: () => [],
  refusal: (failure, requestId) => {
    const headers = ['content-length', '0'];
    if (requestId !== '') {
      headers.push(requestIdHeader, requestId);
    }
    const status = statusOf(failure);
    if (status === unauthenticatedStatus) {
      headers.push('www-authenticate', 'Bearer');
    }
    if (statusesWithRetryAfter.has(status) && failure.retryAfterMs !== undefined) {
      headers.push('retry-after', (failure.retryAfterMs / 1_000).toFixed(3));
    }
    return { status, headers, body: Buffer.alloc(0) };
  },
});

/**
 * Parses a load report `running,waiting,slots` or `running,waiting,slots,pace`. Returns undefined if
 * it is invalid.
 */
export const readLoad = (headers: readonly string[]): UpstreamLoad | undefined => {
  const numbers = findHeader(headers, loadHeader)?.split(',').map(Number) ?? [];
  const [running, waiting, slots, pace = usualPace] = numbers;
  const isValid =
    (numbers.length === 3 || numbers.length === 4) &&
    numbers.every((value) => Number.isInteger(value) && value >= 0) &&
    pace >= minPace &&
    pace <= maxPace;
  return isValid
    ? {
        running: running!,
        waiting: waiting!,
        slots: slots!,
        ...(numbers.length === 4 && { pace }),
      }
    : undefined;
};

const upstreams: UpstreamInterface = {
  requestHeaders: (request, instance, remainingMs) => {
    const headers = [
      ...request.headers,
      deadlineHeader,
      String(Math.max(1, Math.floor(remainingMs))),
    ];
    return instance === undefined ? headers : [...headers, instanceHeader, instance];
  },
  classifyResponse: (status, headers, { requestId }) => {
    const id = findHeader(headers, requestIdHeader);
    if (id !== undefined && id !== requestId) {
      return 'mismatch';
    }
    if (status === otherInstanceStatus) {
      return 'other_instance';
    }
    if (findHeader(headers, notRunHeader) !== undefined) {
      return 'refused';
    }
    return id === undefined ? 'mismatch' : 'answer';
  },
  readLoad,
  acceptsCloseDelimited: true,
};

/** Creates the protocol for a machine; `service` returns the service of its endpoint. */
export const createCallInterface = (service: () => string): CallInterface => ({
  callers: createCallers(service),
  upstreams,
});
