/**
 * Takes calls from other nodes for the upstream beside this one. The sender's node proves itself by
 * the cluster token when it opens a connection, and every answer names the attempt and the load.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { isStartTooLate, refuseLateStart } from '../../core/calls/lateStart.js';
import type { AttemptFailureReport, RunningAttempt } from '../../types/calls.js';
import type { StopTimes } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import type { Address } from '../rpc.js';
import type { ResponseWriters } from './responseWriters.js';
import { toFailureReport, writeRefusal } from './callResponses.js';
import { attemptIdHeader, loadHeader } from './callHeaders.js';
import { createCallListener, type CallListener } from './callListener.js';
import type { CallStartScheduler } from './callStartScheduler.js';
import { formatLoad, readCallHead, type RefusalHead } from './linkHeads.js';
import type { LocalUpstream } from './localUpstream.js';
import { linkProtocol } from './nodeLinks.js';
import { nativeCallerInterface } from './nativeCallInterface.js';
import { createInboundLink, type ReceivedCall, type InboundLink } from './inboundLink.js';

const maxHeaderBytes = 4 * 1_024;
/** A sender that takes nothing for this time, or sends none, has gone silent, in ms. */
const silenceMs = 30_000;

export interface ForwardServerOptions {
  readonly address: Address;
  readonly access: Access;
  readonly stopTimes: StopTimes;
  readonly timer: Timer;
  readonly log: Log;
  readonly upstream: LocalUpstream;
  readonly writers: ResponseWriters;
  readonly starts: CallStartScheduler;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

/** Creates the server of a node's forward address. */
export const createForwardServer = (options: ForwardServerOptions): CallListener => {
  const { access, log, starts, timer, upstream } = options;
  const links = new Set<InboundLink>();

  const load = () => formatLoad(upstream.queries.load());

  const take = ({ head, body, answer }: ReceivedCall): (() => void) => {
    const receivedAt = timer.now();
    const call = readCallHead(head);
    let attempt: RunningAttempt | undefined;
    let isOver = false;

    const refuse = (failure: AttemptFailureReport) => {
      isOver = true;
      const refusal: RefusalHead = { attemptId: call?.attemptId ?? '', load: load(), failure };
      answer.refuse(refusal);
    };

    if (!call) {
      refuse(
        toFailureReport(new Failure('bad_request', 'the head of a forwarded call is malformed')),
      );
      return () => undefined;
    }
    const { deadlineMs, maxWaitMs, ...fields } = call;
    const writer = options.writers.toNode(answer);

    const start = (waitedMs: number) =>
      upstream.commands.send(
        {
          ...fields,
          body,
          maxWaitMs: Math.max(0, maxWaitMs - waitedMs),
          deadlineAt: receivedAt + deadlineMs,
          headTimeoutMs: deadlineMs,
        },
        {
          onHead: (answerHead) =>
            writer.head(answerHead, [attemptIdHeader, call.attemptId, loadHeader, load()]),
          onData: (chunk) => writer.part(chunk, () => attempt?.resume()),
          onEnd: () => writer.end(),
          onFailure: refuse,
        },
      );

    starts.add(() => {
      const waitedMs = timer.now() - receivedAt;
      if (!isOver && isStartTooLate(waitedMs, maxWaitMs)) {
        refuse(refuseLateStart(waitedMs, options.random));
      }
      if (isOver) {
        return;
      }
      try {
        attempt = start(waitedMs);
      } catch (error) {
        refuse(toFailureReport(error));
      }
    });
    return () => {
      isOver = true;
      attempt?.abort();
    };
  };

  const isOtherNode = ({ headers }: IncomingMessage): boolean =>
    access.identify(headers.authorization).kind === 'cluster';

  /** Answers a request that opens no connection for calls. */
  const refuseRequest = (request: IncomingMessage, response: ServerResponse) => {
    const failure = isOtherNode(request)
      ? new Failure('bad_request', `calls between nodes use the protocol ${linkProtocol}`)
      : new Failure('unauthorized');
    writeRefusal(response, nativeCallerInterface.refusal(toFailureReport(failure), ''), timer);
  };

  const open = (request: IncomingMessage, socket: Socket, first: Buffer) => {
    if (request.headers.upgrade !== linkProtocol || !isOtherNode(request)) {
      log.warn('connection for calls refused', { protocol: request.headers.upgrade });
      // The server of node:http has given the socket up, with its handler of errors.
      socket.on('error', (error) => log.info('refused connection broke', { error: error.message }));
      socket.write('HTTP/1.1 403 Forbidden\r\nconnection: close\r\n\r\n');
      socket.destroySoon();
      return;
    }
    socket.write(
      `HTTP/1.1 101 Switching Protocols\r\nconnection: upgrade\r\nupgrade: ${linkProtocol}\r\n\r\n`,
    );
    const link = createInboundLink({
      socket,
      inactivityTimeoutMs: silenceMs,
      onCall: take,
      onBusy: (isBusy) => listener.setBusy(socket, isBusy),
      onMalformed: (detail) => log.warn('malformed frame from a node', { detail }),
    });
    links.add(link);
    socket.once('close', () => links.delete(link));
    if (listener.isDraining()) {
      link.drain();
    }
    link.push(first);
  };

  const listener = createCallListener({
    address: options.address,
    timer,
    log,
    callers: nativeCallerInterface,
    maxHeaderBytes,
    stopTimes: options.stopTimes,
    onCall: refuseRequest,
    onUpgrade: open,
  });

  return {
    ...listener,
    stop: (limitMs) => {
      links.forEach((link) => link.drain());
      return listener.stop(limitMs);
    },
  };
};
