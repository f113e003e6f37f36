/**
 * Sends an attempt to the node beside another upstream and reads its response. A refusal from that
 * node states whether the call may have run.
 */
import type { EndpointLoad } from '../../core/calls/endpointTracker.js';
import type { Endpoint } from '../../types/public.js';
import type {
  AttemptFailureReport,
  AttemptListener,
  AttemptRequest,
  RunningAttempt,
} from '../../types/calls.js';
import type { FailureReason } from '../../utils/failure.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { attemptIdHeader, findHeader, loadHeader } from './callHeaders.js';
import type { Frame } from './linkFrames.js';
import { parseLoad, readResponseHead, readRefusalHead, type CallHead } from './linkHeads.js';
import type { NodeLinks } from './nodeLinks.js';

/**
 * Time between two parts of a response's body after which its connection counts as dead, in ms. For
 * a call that is sent with more time until its deadline, that time applies instead.
 */
const bodyIdleTimeoutMs = 5_000;

export interface RemoteSender {
  send(endpoint: Endpoint, request: AttemptRequest, listener: AttemptListener): RunningAttempt;
}

export interface RemoteSenderOptions {
  readonly links: NodeLinks;
  readonly timer: Timer;
  readonly onLoad: (endpointId: string, load: EndpointLoad) => void;
}

const createCallHead = (request: AttemptRequest, now: number): CallHead => ({
  attemptId: request.attemptId,
  requestId: request.requestId,
  className: request.className,
  service: request.service,
  caller: request.caller,
  priority: request.priority,
  rank: request.rank,
  ...(request.isNested && { isNested: true }),
  maxWaitMs: request.maxWaitMs,
  deadlineMs: Math.max(0.1, request.deadlineAt - now),
  ...(request.targetAt !== undefined && { targetMs: Math.round(request.targetAt - now) }),
  method: request.method,
  path: request.path,
  headers: request.headers,
  bodyKind: request.body.kind,
});

/** Creates the sender of attempts to other nodes. */
export const createRemoteSender = ({ links, timer, onLoad }: RemoteSenderOptions): RemoteSender => {
  const send: RemoteSender['send'] = (endpoint, request, listener) => {
    const address = endpoint.forwardAddress;
    const now = timer.now();
    let isOver = false;
    let hasResponseHead = false;
    let lastPartAt = now;
    /** The caller does not read at the moment, so no further part is expected. */
    let isPaused = false;

    if (request.needsFreshConnection) {
      links.retire(address);
    }

    const finish = (): boolean => {
      if (isOver) {
        return false;
      }
      isOver = true;
      clearTimer();
      return true;
    };

    /** Fails the attempt and closes the connection, whose state is unknown from then on. */
    const fail = (reason: FailureReason, detail: string) => {
      if (finish()) {
        const run = exchange.isSent() ? 'may_have_run' : 'not_run';
        exchange.destroy();
        listener.onFailure({ reason, run, detail, retried: false });
      }
    };

    const onTimeout = () => {
      // The other connections to that node may be dead as well.
      links.retire(address);
      fail(
        exchange.isSent() ? 'deadline_exceeded' : 'upstream_unreachable',
        'no response within the time limit',
      );
    };

    const watchBody = () => {
      const idleTimeoutMs = Math.max(bodyIdleTimeoutMs, request.deadlineAt - now);
      const remainingMs = isPaused ? idleTimeoutMs : lastPartAt + idleTimeoutMs - timer.now();
      clearTimer = remainingMs > 0 ? timer.after(remainingMs, watchBody) : clearTimer;
      if (remainingMs <= 0) {
        onTimeout();
      }
    };

    const forwardPart = (part: Buffer): boolean => {
      lastPartAt = timer.now();
      isPaused = !listener.onData(part);
      return !isPaused;
    };

    const reportLoad = (text: string | undefined) => {
      const load = parseLoad(text ?? '');
      if (load) {
        onLoad(endpoint.id, load);
      }
    };

    const handleResponse = ({ head, body }: Frame): boolean => {
      const response = readResponseHead(head);
      if (!response || findHeader(response.headers, attemptIdHeader) !== request.attemptId) {
        fail('answer_mismatch', 'the response carries the id of another attempt');
        return true;
      }
      hasResponseHead = true;
      clearTimer();
      lastPartAt = timer.now();
      watchBody();
      reportLoad(findHeader(response.headers, loadHeader));
      listener.onHead(response);
      return isOver || body.length === 0 || forwardPart(body);
    };

    const handleRefusal = ({ head }: Frame): boolean => {
      const refusal = readRefusalHead(head);
      if (!refusal || refusal.attemptId !== request.attemptId || hasResponseHead) {
        fail('answer_mismatch', 'unexpected refusal, or a refusal with the id of another attempt');
        return true;
      }
      reportLoad(refusal.load);
      if (finish()) {
        exchange.release();
        listener.onFailure(refusal.failure);
      }
      return true;
    };

    const handlers: Partial<Record<Frame['kind'], (frame: Frame) => boolean>> = {
      answer: handleResponse,
      refusal: handleRefusal,
      part: ({ body }) => isOver || forwardPart(body),
      end: () => {
        if (!hasResponseHead) {
          fail('answer_mismatch', 'the response ended without a head');
        } else if (finish()) {
          exchange.release();
          listener.onEnd();
        }
        return true;
      },
    };

    const onClosed = (detail: string) => {
      if (finish()) {
        const isSent = exchange.isSent();
        const failure: AttemptFailureReport = {
          reason: isSent ? 'upstream_failed' : 'upstream_unreachable',
          run: isSent ? 'may_have_run' : 'not_run',
          detail,
          retried: false,
        };
        listener.onFailure(failure);
      }
    };

    const headTimeoutMs = Math.max(1, Math.min(request.headTimeoutMs, request.deadlineAt - now));
    let clearTimer: Cancel = timer.after(headTimeoutMs, onTimeout);
    const exchange = links.send(
      address,
      { head: createCallHead(request, now), body: request.body },
      {
        onFrame: (frame) => {
          const handle = handlers[frame.kind];
          if (!handle) {
            fail('answer_mismatch', `unexpected frame of kind ${frame.kind}`);
            return true;
          }
          return handle(frame);
        },
        onClosed,
      },
    );

    return {
      abort: () => {
        if (finish()) {
          exchange.cancel();
        }
      },
      resume: () => {
        isPaused = false;
        lastPartAt = timer.now();
        exchange.resume();
      },
      mayHaveRun: () => exchange.isSent(),
    };
  };

  return { send };
};
