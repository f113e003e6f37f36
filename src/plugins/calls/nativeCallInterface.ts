/**
 * The product's native interface to callers and upstreams, see docs/calls.md.
 */
import { formatVersion } from '../../core/agreement/version.js';
import { retriedHeader } from '../../core/calls/retry.js';
import type {
  CallInterface,
  CallerInterface,
  UpstreamInterface,
} from '../../types/callInterface.js';
import { failureTable } from '../../utils/failure.js';
import { refusalBody } from './callResponses.js';
import {
  attemptIdHeader,
  refusedByUpstreamHeader,
  classHeader,
  configStaleHeader,
  configVersionHeader,
  deadlineHeader,
  findHeader,
  filterRequestHeaders,
  readCallHeaders,
  readRequestId,
  refusalHeader,
  requestIdHeader,
  runHeader,
} from './callHeaders.js';

export const nativeCallerInterface: CallerInterface = {
  callHeaders: (requestId, deadlineMs) => ({
    [requestIdHeader]: requestId,
    [deadlineHeader]: String(deadlineMs),
  }),
  readCall: readCallHeaders,
  readCaller: ({ socket }) => socket.remoteAddress ?? '',
  readRequestId,
  forwardedHeaders: filterRequestHeaders,
  responseHeaders: ({ requestId, version, isStale }) => [
    requestIdHeader,
    requestId,
    configVersionHeader,
    formatVersion(version),
    ...(isStale ? [configStaleHeader, 'true'] : []),
  ],
  refusal: (failure, requestId) => {
    const body = refusalBody(failure, requestId);
    const headers = [
      'content-type',
      'application/json',
      'content-length',
      String(body.length),
      requestIdHeader,
      requestId,
      refusalHeader,
      failure.reason,
      runHeader,
      failure.run,
    ];
    if (failure.reason === 'unauthenticated_caller') {
      headers.push('www-authenticate', 'Bearer');
    }
    if (failure.retried) {
      headers.push(retriedHeader, 'true');
    }
    if (failure.byUpstream) {
      headers.push(refusedByUpstreamHeader, 'true');
    }
    if (failure.retryAfterMs !== undefined) {
      // The `retry-after` header takes whole seconds only.
      headers.push('retry-after', String(Math.ceil(failure.retryAfterMs / 1_000)));
    }
    return { status: failureTable[failure.reason].status, headers, body };
  },
};

const nativeUpstreamInterface: UpstreamInterface = {
  requestHeaders: (request, _instance, remainingMs) => [
    ...request.headers,
    requestIdHeader,
    request.requestId,
    classHeader,
    request.className,
    attemptIdHeader,
    request.attemptId,
    deadlineHeader,
    String(Math.max(1, Math.floor(remainingMs))),
  ],
  classifyResponse: (_status, headers, { requestId, attemptId }) => {
    const isMatch =
      (findHeader(headers, requestIdHeader) ?? requestId) === requestId &&
      (findHeader(headers, attemptIdHeader) ?? attemptId) === attemptId;
    return isMatch ? 'answer' : 'mismatch';
  },
  acceptsCloseDelimited: false,
};

export const nativeCallInterface: CallInterface = {
  callers: nativeCallerInterface,
  upstreams: nativeUpstreamInterface,
};
