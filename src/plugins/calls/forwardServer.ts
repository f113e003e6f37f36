/**
 * Accepts calls that other nodes forward to the upstream beside this node. The sending node
 * authenticates with the cluster token when it opens a connection. Every response carries the id of
 * the attempt and the load of the upstream.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { refuseForLink } from '../../core/calls/linkRefusal.js';
import { isStartTooLate, refuseLateStart } from '../../core/calls/lateStart.js';
import type { AttemptFailureReport, RunningAttempt } from '../../types/calls.js';
import type { StopTimes } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import type { Address } from '../rpc.js';
import type { ResponseWriters } from './responseWriters.js';
import { createBodyBudget } from './bodyBuffer.js';
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
/** Time without traffic after which the peer of a connection counts as unresponsive, in ms. */
const inactivityTimeoutMs = 30_000;

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
  const { access, log, starts: startScheduler, timer, upstream, writers } = options;
  const links = new Set<InboundLink>();
  const bodyBudget = createBodyBudget();

  const load = () =>
    formatLoad({ ...upstream.queries.load(), linkMs: writers.linkUse()?.backlogMs });

  const handleCall = ({ head, body, answer: response }: ReceivedCall): (() => void) => {
    const receivedAt = timer.now();
    const call = readCallHead(head);
    let attempt: RunningAttempt | undefined;
    let isOver = false;

    const refuse = (failure: AttemptFailureReport) => {
      isOver = true;
      const refusal: RefusalHead = { attemptId: call?.attemptId ?? '', load: load(), failure };
      response.refuse(refusal);
    };

    if (!call) {
      refuse(
        toFailureReport(new Failure('bad_request', 'the head of a forwarded call is malformed')),
      );
      return () => undefined;
    }
    const { deadlineMs, targetMs, maxWaitMs, ...fields } = call;
    const deadlineAt = receivedAt + deadlineMs;
    const targetAt = targetMs === undefined ? undefined : receivedAt + targetMs;
    const transfer = { className: call.className, targetAt: targetAt ?? deadlineAt, deadlineAt };

    const start = (waitedMs: number) => {
      const writer = writers.toNode(response, transfer);
      return upstream.commands.send(
        {
          ...fields,
          body,
          maxWaitMs: Math.max(0, maxWaitMs - waitedMs),
          deadlineAt,
          targetAt,
          headTimeoutMs: deadlineMs,
        },
        {
          onHead: (responseHead) =>
            writer.head(responseHead, [attemptIdHeader, call.attemptId, loadHeader, load()]),
          onData: (chunk) => writer.part(chunk, () => attempt?.resume()),
          onEnd: () => writer.end(),
          onFailure: refuse,
        },
      );
    };

    startScheduler.add(() => {
      const waitedMs = timer.now() - receivedAt;
      if (!isOver && isStartTooLate(waitedMs, maxWaitMs)) {
        refuse(refuseLateStart(waitedMs, options.random));
      }
      const linkDelayMs = isOver ? 0 : writers.delayToNodeMs(transfer);
      if (linkDelayMs > 0) {
        refuse(refuseForLink(linkDelayMs, options.random));
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

  const isClusterNode = ({ headers }: IncomingMessage): boolean =>
    access.authenticate(headers.authorization).kind === 'cluster';

  /** Refuses a plain HTTP request, which does not ask for the protocol between nodes. */
  const refuseRequest = (request: IncomingMessage, response: ServerResponse) => {
    const failure = isClusterNode(request)
      ? new Failure('bad_request', `calls between nodes use the protocol ${linkProtocol}`)
      : new Failure('unauthorized');
    writeRefusal(response, nativeCallerInterface.refusal(toFailureReport(failure), ''), timer);
  };

  const handleUpgrade = (request: IncomingMessage, socket: Socket, first: Buffer) => {
    if (request.headers.upgrade !== linkProtocol || !isClusterNode(request)) {
      log.warn('connection for calls refused', { protocol: request.headers.upgrade });
      // On an upgrade, node:http detaches the socket and removes its own error handler.
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
      inactivityTimeoutMs,
      bodyBudget,
      onCall: handleCall,
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
    onUpgrade: handleUpgrade,
  });

  return {
    ...listener,
    stop: (limitMs) => {
      links.forEach((link) => link.drain());
      return listener.stop(limitMs);
    },
  };
};
