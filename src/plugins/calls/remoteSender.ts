/**
 * Sends an attempt to the node beside another upstream and reads its refusals. A refusal of that
 * node says itself whether the call may have run.
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
import { parseLoad, readAnswerHead, readRefusalHead, type CallHead } from './linkHeads.js';
import type { NodeLinks } from './nodeLinks.js';

/**
 * Time between two parts of an answer's body after which its connection counts as silent, in ms. A
 * call that has more time left waits for as long.
 */
const bodySilenceMs = 5_000;

export interface RemoteSender {
  send(endpoint: Endpoint, request: AttemptRequest, listener: AttemptListener): RunningAttempt;
}

export interface RemoteSenderOptions {
  readonly links: NodeLinks;
  readonly timer: Timer;
  readonly onLoad: (endpointId: string, load: EndpointLoad) => void;
}

const headOf = (request: AttemptRequest, now: number): CallHead => ({
  attemptId: request.attemptId,
  requestId: request.requestId,
  className: request.className,
  service: request.service,
  caller: request.caller,
  priority: request.priority,
  rank: request.rank,
  maxWaitMs: request.maxWaitMs,
  deadlineMs: Math.max(0.1, request.deadlineAt - now),
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
    let isAnswered = false;
    let partAt = now;
    /** The caller takes nothing at the moment, so that no part can come. */
    let isPaused = false;

    if (request.needsFreshConnection) {
      links.retire(address);
    }

    const finish = (): boolean => {
      if (isOver) {
        return false;
      }
      isOver = true;
      cancelLimit();
      return true;
    };

    /** Ends the attempt with the connection, since what may follow on it is not known. */
    const fail = (reason: FailureReason, detail: string) => {
      if (finish()) {
        const run = exchange.isSent() ? 'may_have_run' : 'not_run';
        exchange.destroy();
        listener.onFailure({ reason, run, detail, retried: false });
      }
    };

    const onSilence = () => {
      // Other connections to that node may have gone silent with this one.
      links.retire(address);
      fail(
        exchange.isSent() ? 'deadline_exceeded' : 'upstream_unreachable',
        'no answer within the time limit',
      );
    };

    const watchBody = () => {
      const silenceMs = Math.max(bodySilenceMs, request.deadlineAt - now);
      const waitMs = isPaused ? silenceMs : partAt + silenceMs - timer.now();
      cancelLimit = waitMs > 0 ? timer.after(waitMs, watchBody) : cancelLimit;
      if (waitMs <= 0) {
        onSilence();
      }
    };

    const passOn = (part: Buffer): boolean => {
      partAt = timer.now();
      isPaused = !listener.onData(part);
      return !isPaused;
    };

    const noteLoad = (text: string | undefined) => {
      const load = parseLoad(text ?? '');
      if (load) {
        onLoad(endpoint.id, load);
      }
    };

    const takeAnswer = ({ head, body }: Frame): boolean => {
      const answer = readAnswerHead(head);
      if (!answer || findHeader(answer.headers, attemptIdHeader) !== request.attemptId) {
        fail('answer_mismatch', 'the answer names another attempt');
        return true;
      }
      isAnswered = true;
      cancelLimit();
      partAt = timer.now();
      watchBody();
      noteLoad(findHeader(answer.headers, loadHeader));
      listener.onHead(answer);
      return isOver || body.length === 0 || passOn(body);
    };

    const takeRefusal = ({ head }: Frame): boolean => {
      const refusal = readRefusalHead(head);
      if (!refusal || refusal.attemptId !== request.attemptId || isAnswered) {
        fail('answer_mismatch', 'the refusal names another attempt');
        return true;
      }
      noteLoad(refusal.load);
      if (finish()) {
        exchange.release();
        listener.onFailure(refusal.failure);
      }
      return true;
    };

    const handlers: Partial<Record<Frame['kind'], (frame: Frame) => boolean>> = {
      answer: takeAnswer,
      refusal: takeRefusal,
      part: ({ body }) => isOver || passOn(body),
      end: () => {
        if (!isAnswered) {
          fail('answer_mismatch', 'an answer without a head');
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
    let cancelLimit: Cancel = timer.after(headTimeoutMs, onSilence);
    const exchange = links.send(
      address,
      { head: headOf(request, now), body: request.body },
      {
        onFrame: (frame) => {
          const handle = handlers[frame.kind];
          if (!handle) {
            fail('answer_mismatch', `a frame of kind ${frame.kind}`);
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
        partAt = timer.now();
        exchange.resume();
      },
      mayHaveRun: () => exchange.isSent(),
    };
  };

  return { send };
};
