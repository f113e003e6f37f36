/**
 * Sends an attempt to the node beside another upstream and reads its refusals. A refusal of that
 * node says itself whether the call may have run.
 */
import { retriedHeader } from '../../core/calls/retry.js';
import type { EndpointLoad } from '../../core/calls/evidence.js';
import type { Endpoint } from '../../types/public.js';
import type {
  AnswerHead,
  AttemptFailureReport,
  AttemptListener,
  AttemptRequest,
  RunningAttempt,
} from '../../types/calls.js';
import { failureTable, type FailureReason } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';
import {
  attemptIdHeader,
  byUpstreamHeader,
  callerAuthorizationHeader,
  callerHeader,
  classHeader,
  deadlineHeader,
  headerIn,
  loadHeader,
  maxWaitHeader,
  priorityHeader,
  rankHeader,
  refusalHeader,
  requestIdHeader,
  retryAfterMsHeader,
  runHeader,
  serviceHeader,
} from './callHeaders.js';
import { startExchange } from './exchange.js';
import type { NodePools } from './upstreamPool.js';

/** Digits of a rank on the way: few of the calls that wait at a gate have the same one. */
const rankDigits = 4;

export interface RemoteNodes {
  send(endpoint: Endpoint, request: AttemptRequest, listener: AttemptListener): RunningAttempt;
}

export interface RemoteNodesOptions {
  readonly pools: NodePools;
  readonly timer: Timer;
  readonly authorization: string;
  readonly onLoad: (endpointId: string, load: EndpointLoad) => void;
}

/** Parses `x-load`: in flight, limit, waiting and, if it is known, the work in ms. */
export const parseLoad = (text: string): EndpointLoad | undefined => {
  const [inFlight, limit, waiting, workMs] = text.split(',').map(Number);
  const isCount = (value: number | undefined) => Number.isSafeInteger(value) && value! >= 0;
  if (![inFlight, limit, waiting].every(isCount)) {
    return undefined;
  }
  const load = { inFlight: inFlight!, limit: limit!, waiting: waiting! };
  return isCount(workMs) ? { ...load, workMs } : load;
};

/** Text form of a load for `x-load`. */
export const formatLoad = ({ inFlight, limit, waiting, workMs }: EndpointLoad): string =>
  [inFlight, limit, waiting, ...(workMs === undefined ? [] : [Math.round(workMs)])].join(',');

const readRefusal = ({ headers }: AnswerHead): AttemptFailureReport | undefined => {
  const reason = headerIn(headers, refusalHeader);
  if (reason === undefined || !Object.hasOwn(failureTable, reason)) {
    return undefined;
  }
  const retryAfterMs = Number(headerIn(headers, retryAfterMsHeader));
  return {
    reason: reason as FailureReason,
    run: headerIn(headers, runHeader) === 'not_run' ? 'not_run' : 'may_have_run',
    retried: headerIn(headers, retriedHeader) === 'true',
    byUpstream: headerIn(headers, byUpstreamHeader) === 'true',
    retryAfterMs: retryAfterMs > 0 ? retryAfterMs : undefined,
  };
};

/** Creates the sender of attempts to other nodes. */
export const createRemoteNodes = ({
  pools,
  timer,
  authorization,
  onLoad,
}: RemoteNodesOptions): RemoteNodes => {
  const headersTo = (request: AttemptRequest): string[] => {
    const headers: string[] = [];
    for (let index = 0; index + 1 < request.headers.length; index += 2) {
      const name = request.headers[index]!;
      headers.push(
        name === 'authorization' ? callerAuthorizationHeader : name,
        request.headers[index + 1]!,
      );
    }
    headers.push(
      'authorization',
      authorization,
      requestIdHeader,
      request.requestId,
      attemptIdHeader,
      request.attemptId,
      classHeader,
      request.className,
      serviceHeader,
      request.service,
      callerHeader,
      request.caller,
      priorityHeader,
      String(request.priority),
      rankHeader,
      request.rank.toFixed(rankDigits),
      maxWaitHeader,
      String(request.maxWaitMs),
      deadlineHeader,
      Math.max(0.1, request.deadlineAt - timer.now()).toFixed(1),
    );
    return headers;
  };

  const send: RemoteNodes['send'] = (endpoint, request, listener) => {
    let refusal: AttemptFailureReport | undefined;
    const now = timer.now();
    if (request.needsFreshConnection) {
      pools.renew(endpoint.forwardAddress, now);
    }
    const remainingMs = request.deadlineAt - now;
    const headTimeoutMs = Math.min(request.headTimeoutMs, remainingMs);
    return startExchange({
      dispatcher: pools.to(endpoint.forwardAddress, now),
      timer,
      method: request.method,
      path: request.path,
      headers: headersTo(request),
      body: request.body,
      headTimeoutMs: Math.max(1, headTimeoutMs),
      remainingMs,
      judgeHead: (_status, headers) =>
        headerIn(headers, attemptIdHeader) === request.attemptId &&
        (headerIn(headers, requestIdHeader) ?? request.requestId) === request.requestId
          ? undefined
          : 'the answer names another attempt',
      acceptsUnframed: false,
      listener: {
        onHead: (head) => {
          const load = parseLoad(headerIn(head.headers, loadHeader) ?? '');
          if (load) {
            onLoad(endpoint.id, load);
          }
          refusal = readRefusal(head);
          if (!refusal) {
            listener.onHead(head);
          }
        },
        onData: (chunk) => (refusal ? true : listener.onData(chunk)),
        onEnd: () => {
          if (refusal) {
            listener.onFailure(refusal);
          } else {
            listener.onEnd();
          }
        },
        onFailure: (failure) => {
          // Other connections to that node may have gone silent with this one.
          if (!refusal && failure.reason === 'deadline_exceeded') {
            pools.renew(endpoint.forwardAddress, timer.now());
          }
          listener.onFailure(refusal ?? failure);
        },
      },
    });
  };

  return { send };
};
