/**
 * One request and its response on a pooled HTTP/1.1 connection. A connection carries one call at a
 * time. Any failure of a call destroys its connection, so that a late response cannot reach the
 * next call on it. A response is matched to its request by the ids that it echoes.
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
import { isHttpStatus, minFinalStatus } from './statusCodes.js';
import type { UpstreamConnection } from './upstreamPool.js';

/**
 * Minimum time without data in a response body after which its connection counts as stalled, in ms.
 * A call with more time left waits for that long.
 */
const minBodyTimeoutMs = 5_000;

/**
 * Bytes of an unpausable response that are still read after its reader has paused. Most such
 * responses are read to their end with it, which frees their slot; one without end is held.
 */
const maxBytesWhilePaused = 1_024 * 1_024;

export interface ExchangeOptions {
  readonly dispatcher: Dispatcher;
  readonly timer: Timer;
  readonly method: string;
  readonly path: string;
  readonly headers: string[];
  readonly body: RequestBody;
  readonly headTimeoutMs: number;
  /** Time left until the deadline of the call, in ms. */
  readonly remainingMs: number;
  /** Returns why the head does not belong to this request, or undefined if it does. */
  readonly checkHead: (status: number, headers: readonly string[]) => string | undefined;
  /** The body of a response may be delimited by the close of its connection. */
  readonly acceptsCloseDelimited: boolean;
  /** True while a reset of the connection is being handled, see `UpstreamPool`. */
  readonly isResetting?: () => boolean;
  readonly expectCloseDelimited?: () => void;
  /** True if the response that begins is known to be HTTP/1.1, see `UpstreamPool`. */
  readonly isHttp11: () => boolean;
  /** Connection of the response that begins, see `UpstreamPool`. */
  readonly lastRead: () => UpstreamConnection | undefined;
  readonly listener: AttemptListener;
}

const toDispatchBody = (body: RequestBody): Buffer | AsyncIterable<Buffer> | null => {
  if (body.kind === 'none') {
    return null;
  }
  return body.kind === 'kept' ? body.bytes : body.parts;
};

const bodilessStatuses = new Set([204, 304]);

interface ParsedHead extends ResponseHead {
  /** The end of the body is marked, so that truncation can be detected. */
  readonly isDelimited: boolean;
}

const parseHead = (status: number, raw: readonly Buffer[], method: string): ParsedHead => {
  const headers: string[] = [];
  let isDelimited = method === 'HEAD' || bodilessStatuses.has(status);
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

/** A response may carry the `connection` header more than once; one `close` is enough. */
const closesConnection = (headers: readonly string[]): boolean =>
  headers.some(
    (value, index) =>
      headers[index - 1] === 'connection' &&
      index % 2 === 1 &&
      value.toLowerCase().includes('close'),
  );

/** Sends a request and reports its response to the listener. */
export const startExchange = (options: ExchangeOptions): RunningAttempt => {
  const { dispatcher, timer, method, listener } = options;
  let abortRequest: ((error?: Error) => void) | undefined;
  let resumeResponse: (() => void) | undefined;
  let isSent = false;
  let isDelimited = true;
  /** Connection of a response that undici cannot pause. */
  let unpausable: UpstreamConnection | undefined;
  let isPaused = false;
  let bytesWhilePaused = 0;
  let lastDataAt = 0;
  let isOver = false;

  const finish = (): boolean => {
    if (isOver) {
      return false;
    }
    isOver = true;
    cancelTimeout();
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

  let cancelTimeout: Cancel = timer.after(options.headTimeoutMs, () =>
    fail(isSent ? 'deadline_exceeded' : 'upstream_unreachable', 'no answer within the time limit'),
  );

  /** Fails a body that stalls for too long; its reader may pause for any time. */
  const watchBody = () => {
    const limitMs = Math.max(minBodyTimeoutMs, options.remainingMs);
    const leftMs = isPaused ? limitMs : lastDataAt + limitMs - timer.now();
    if (leftMs > 0) {
      cancelTimeout = timer.after(leftMs, watchBody);
    } else {
      fail('deadline_exceeded', 'no further data of the body within the time limit');
    }
  };

  const onHead = (status: number, raw: readonly Buffer[]): void => {
    cancelTimeout();
    const head = parseHead(status, raw, method);
    const mismatch = options.checkHead(head.status, head.headers);
    if (mismatch !== undefined) {
      fail('answer_mismatch', mismatch);
      return;
    }
    if (!head.isDelimited && !options.acceptsCloseDelimited) {
      fail('upstream_failed', 'the response has neither content-length nor chunked encoding');
      return;
    }
    isDelimited = head.isDelimited;
    if (!isDelimited) {
      options.expectCloseDelimited?.();
    }
    // undici 7 ends the process with an assertion if the connection of a paused response ends.
    const canPause = isDelimited && options.isHttp11() && !closesConnection(head.headers);
    unpausable = canPause ? undefined : options.lastRead();
    lastDataAt = timer.now();
    watchBody();
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
      resumeResponse = resume;
      if (!isHttpStatus(status)) {
        // undici reports any three digits, and fails an assertion below 100 only after the head.
        fail(
          'upstream_failed',
          `the response has the status ${status}, which HTTP does not define`,
        );
      } else if (!isOver && status >= minFinalStatus) {
        onHead(status, raw);
      }
      return true;
    },
    onData: (chunk) => {
      lastDataAt = timer.now();
      isPaused = !(isOver || listener.onData(chunk));
      if (!unpausable) {
        return !isPaused;
      }
      bytesWhilePaused = isPaused ? bytesWhilePaused + chunk.length : 0;
      if (bytesWhilePaused > maxBytesWhilePaused) {
        unpausable.hold();
      }
      return true;
    },
    onComplete: () => {
      if (!isDelimited && options.isResetting?.()) {
        fail('upstream_failed', 'the connection was reset before the end of the response');
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
      fail('upstream_failed', error.message);
    },
  };

  try {
    dispatcher.dispatch(
      {
        method,
        path: options.path,
        headers: options.headers,
        body: toDispatchBody(options.body) as Dispatcher.DispatchOptions['body'],
        // The timer above limits the wait for the head and for data of the body: undici's own
        // timeouts are only exact to 1 s, and run on while a connection is held.
        headersTimeout: 0,
        bodyTimeout: 0,
        // Keeps undici from pipelining the request behind another one on the same connection.
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
    resume: () => {
      isPaused = false;
      bytesWhilePaused = 0;
      lastDataAt = timer.now();
      if (unpausable) {
        unpausable.release();
      } else {
        resumeResponse?.();
      }
    },
    mayHaveRun: () => isSent,
  };
};
