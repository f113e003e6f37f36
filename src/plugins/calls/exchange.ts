/**
 * One request and its answer on a pooled HTTP/1.1 connection. A connection carries one call at a
 * time. Whatever breaks a call destroys its connection, so that a late answer cannot reach the next
 * call on it. The answer is compared with the request by the ids that it echoes.
 */
import type { Dispatcher } from 'undici';
import type {
  ResponseHead,
  AttemptFailureReport,
  AttemptListener,
  RequestBody,
  RunningAttempt,
} from '../../types/calls.js';
import type { FailureReason } from '../../utils/failure.js';
import type { Cancel, Timer } from '../../utils/timer.js';

/**
 * Time between two parts of an answer's body after which its connection counts as silent, in ms. A
 * call that has more time left waits for as long.
 */
const bodySilenceMs = 5_000;

export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly timer: Timer;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: RequestBody;
  readonly headTimeoutMs: number;
  /** Time that is left for the call. */
  readonly remainingMs: number;
  /** Says why the head is not the answer to this request, or undefined if it is. */
  readonly checkHead: (status: number, headers: readonly string[]) => string | undefined;
  /** An answer may be ended by the end of its connection. */
  readonly acceptsCloseDelimited: boolean;
  /** True while a reset of the connection is being handled, see `UpstreamPool`. */
  readonly isResetting?: () => boolean;
  readonly expectCloseDelimited?: () => void;
  /** True if the answer that begins is known to be of HTTP/1.1, see `UpstreamPool`. */
  readonly isHttp11: () => boolean;
  readonly listener: AttemptListener;
}

const bodyOf = (body: RequestBody): Buffer | AsyncIterable<Buffer> | null => {
  if (body.kind === 'none') {
    return null;
  }
  return body.kind === 'kept' ? body.bytes : body.parts;
};

const statusesWithoutBody = new Set([204, 304]);

interface ReadHead extends ResponseHead {
  /** The end of the body is marked, so that a cut can be told from the end. */
  readonly isDelimited: boolean;
}

const readHead = (status: number, raw: readonly Buffer[], method: string): ReadHead => {
  const headers: string[] = [];
  let isDelimited = method === 'HEAD' || statusesWithoutBody.has(status);
  for (let index = 0; index + 1 < raw.length; index += 2) {
    const name = raw[index]!.toString('latin1').toLowerCase();
    const value = raw[index + 1]!.toString('latin1');
    headers.push(name, value);
    if (name === 'content-length' || name === 'transfer-encoding') {
      isDelimited = true;
    }
  }
  return { status, headers, isDelimited };
};

/** An answer may carry the header more than once; one `close` among them is enough. */
const closesConnection = (headers: readonly string[]): boolean =>
  headers.some(
    (value, index) =>
      headers[index - 1] === 'connection' &&
      index % 2 === 1 &&
      value.toLowerCase().includes('close'),
  );

const errorCode = (error: unknown): string =>
  error instanceof Error && 'code' in error ? String(error.code) : '';

const timeoutCodes = new Set(['UND_ERR_HEADERS_TIMEOUT', 'UND_ERR_BODY_TIMEOUT']);

/** Sends a request and reports its answer to the listener. */
export const startExchange = (options: ExchangeOptions): RunningAttempt => {
  const { dispatcher, timer, method, listener } = options;
  let abortRequest: ((error?: Error) => void) | undefined;
  let resumeAnswer: (() => void) | undefined;
  let isSent = false;
  let isFramed = true;
  let canPause = true;
  let isOver = false;

  const finish = (): boolean => {
    if (isOver) {
      return false;
    }
    isOver = true;
    cancelHeadTimeout();
    return true;
  };

  const fail = (reason: FailureReason, detail?: string) => {
    if (!finish()) {
      return;
    }
    const failure: AttemptFailureReport = {
      reason,
      run: isSent ? 'may_have_run' : 'not_run',
      detail,
      retried: false,
    };
    abortRequest?.();
    listener.onFailure(failure);
  };

  const cancelHeadTimeout: Cancel = timer.after(options.headTimeoutMs, () =>
    fail(isSent ? 'deadline_exceeded' : 'upstream_unreachable', 'no answer within the time limit'),
  );

  const onHead = (status: number, raw: readonly Buffer[]): void => {
    cancelHeadTimeout();
    const head = readHead(status, raw, method);
    const mismatch = options.checkHead(head.status, head.headers);
    if (mismatch !== undefined) {
      fail('answer_mismatch', mismatch);
      return;
    }
    if (!head.isDelimited && !options.acceptsCloseDelimited) {
      fail('upstream_failed', 'the answer has neither content-length nor chunked encoding');
      return;
    }
    isFramed = head.isDelimited;
    if (!isFramed) {
      options.expectCloseDelimited?.();
    }
    // undici 7 ends the process by an assertion if the connection of a paused answer ends.
    canPause = isFramed && options.isHttp11() && !closesConnection(head.headers);
    listener.onHead(head);
  };

  const handler: Dispatcher.DispatchHandler = {
    onConnect: (abort) => {
      abortRequest = abort;
      if (isOver) {
        abort();
        return;
      }
      isSent = true;
    },
    onHeaders: (status, raw, resume) => {
      resumeAnswer = resume;
      if (!isOver && status >= 200) {
        onHead(status, raw);
      }
      return true;
    },
    onData: (chunk) => {
      const takesMore = isOver || listener.onData(chunk);
      return takesMore || !canPause;
    },
    onComplete: () => {
      if (!isFramed && options.isResetting?.()) {
        fail('upstream_failed', 'the connection was reset before the end of the answer');
        return;
      }
      if (finish()) {
        listener.onEnd();
      }
    },
    onError: (error) => {
      if (!isSent) {
        fail('upstream_unreachable', error.message);
        return;
      }
      const isTimeout = timeoutCodes.has(errorCode(error));
      fail(isTimeout ? 'deadline_exceeded' : 'upstream_failed', error.message);
    },
  };

  try {
    dispatcher.dispatch(
      {
        method,
        path: options.path,
        headers: options.headers,
        body: bodyOf(options.body) as Dispatcher.DispatchOptions['body'],
        // The head is bounded by the timer above: undici's own limit is only exact to a second.
        headersTimeout: 0,
        bodyTimeout: Math.max(bodySilenceMs, options.remainingMs),
        // Keeps undici from writing the request behind another one on the same connection.
        idempotent: false,
      },
      handler,
    );
  } catch (error) {
    fail('bad_request', error instanceof Error ? error.message : String(error));
  }

  return {
    abort: () => {
      if (finish()) {
        abortRequest?.();
      }
    },
    resume: () => resumeAnswer?.(),
    mayHaveRun: () => isSent,
  };
};
