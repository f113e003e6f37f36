/**
 * Takes calls from other nodes for the upstream beside this one. The sender's node proves itself by
 * the cluster token, and every answer echoes the attempt id and carries the load.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AttemptFailureReport, RunningAttempt } from '../../types/calls.js';
import type { StopTimes } from '../../types/internal.js';
import type { Access } from '../operators/access.js';
import type { AnswerWriters } from './answerWriters.js';
import { reportOf, writeRefusal } from './callAnswers.js';
import {
  attemptIdHeader,
  callerAuthorizationHeader,
  callerHeader,
  loadHeader,
  maxWaitHeader,
  passRequestHeaders,
  priorityHeader,
  rankHeader,
  readCallHeaders,
  readRequestId,
  retryAfterMsHeader,
  serviceHeader,
} from './callHeaders.js';
import type { CallStarts } from './callStarts.js';
import { ownCallers } from './ownCallInterface.js';
import { createCallListener, type CallListener } from './callListener.js';
import type { LocalUpstream } from './localUpstream.js';
import { formatLoad } from './remoteNode.js';
import { streamBody } from './requestBody.js';
import type { Address } from '../rpc.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

/** Room for the headers that nodes add to those of a caller. */
const maxHeaderBytes = 32 * 1_024;
const defaultDeadlineMs = 30_000;
const defaultPriority = 50;

export interface ForwardServerOptions {
  readonly address: Address;
  readonly access: Access;
  readonly stopTimes: StopTimes;
  readonly timer: Timer;
  readonly log: Log;
  readonly upstream: LocalUpstream;
  readonly writers: AnswerWriters;
  readonly starts: CallStarts;
}

const single = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

const numberIn = (request: IncomingMessage, name: string, otherwise: number): number => {
  const value = Number(single(request, name) ?? otherwise);
  if (!Number.isFinite(value) || value < 0) {
    throw new Failure('bad_request', `header ${name}: a number of at least 0`);
  }
  return value;
};

/** Headers for the upstream: the caller's, with its own `authorization` put back. */
const headersForUpstream = (request: IncomingMessage): string[] => {
  const headers: string[] = [];
  const passed = passRequestHeaders(request.rawHeaders);
  for (let index = 0; index + 1 < passed.length; index += 2) {
    if (passed[index] !== 'authorization') {
      headers.push(passed[index]!, passed[index + 1]!);
    }
  }
  const authorization = single(request, callerAuthorizationHeader);
  return authorization === undefined ? headers : [...headers, 'authorization', authorization];
};

/** Creates the server of a node's forward address. */
export const createForwardServer = (options: ForwardServerOptions): CallListener => {
  const { access, starts, timer, upstream } = options;

  const handle = (request: IncomingMessage, response: ServerResponse) => {
    const requestId = readRequestId(request) ?? '';
    const attemptId = single(request, attemptIdHeader) ?? '';
    const echo = () => [
      attemptIdHeader,
      attemptId,
      loadHeader,
      formatLoad(upstream.queries.load()),
    ];
    const writer = options.writers.acrossLink(response);
    let attempt: RunningAttempt | undefined;
    let isOver = false;

    const refuse = (failure: AttemptFailureReport) => {
      isOver = true;
      const { retryAfterMs } = failure;
      const extraHeaders = echo();
      if (retryAfterMs !== undefined) {
        extraHeaders.push(retryAfterMsHeader, String(Math.round(retryAfterMs)));
      }
      writeRefusal(response, ownCallers.refusal(failure, requestId), timer, extraHeaders);
    };

    if (access.identify(request.headers.authorization).kind !== 'cluster') {
      refuse(reportOf(new Failure('unauthorized')));
      return;
    }

    const start = () => {
      const { deadlineMs = defaultDeadlineMs, className = '' } = readCallHeaders(request);
      if (attemptId === '' || requestId === '') {
        throw new Failure('bad_request', 'a forwarded call has an attempt id and a request id');
      }
      return upstream.commands.send(
        {
          attemptId,
          requestId,
          className,
          service: single(request, serviceHeader) ?? '',
          caller: single(request, callerHeader) ?? '',
          priority: numberIn(request, priorityHeader, defaultPriority),
          rank: numberIn(request, rankHeader, 0),
          maxWaitMs: numberIn(request, maxWaitHeader, 0),
          method: request.method ?? 'GET',
          path: request.url ?? '',
          headers: headersForUpstream(request),
          body: streamBody(request),
          deadlineAt: timer.now() + deadlineMs,
          headTimeoutMs: deadlineMs,
        },
        {
          onHead: (head) => writer.head(head, [...echo(), 'x-request-id', requestId]),
          onData: (chunk) => writer.part(chunk, () => attempt?.resume()),
          onEnd: () => writer.end(),
          onFailure: refuse,
        },
      );
    };

    const leave = () => {
      isOver = true;
      if (!response.writableFinished) {
        attempt?.abort();
      }
    };
    listener.guard(request, {
      onBroken: (reason, detail) => {
        const run = attempt?.mayHaveRun() ? 'may_have_run' : 'not_run';
        attempt?.abort();
        refuse({ reason, run, detail, retried: false });
      },
      onLeft: leave,
    });
    response.once('close', leave);
    starts.add(() => {
      if (isOver) {
        return;
      }
      try {
        attempt = start();
      } catch (error) {
        refuse(reportOf(error));
      }
    });
  };

  const listener = createCallListener({
    address: options.address,
    timer,
    log: options.log,
    callers: ownCallers,
    maxHeaderBytes,
    stopTimes: options.stopTimes,
    onCall: handle,
  });
  return listener;
};
