/**
 * Writes what a call server sends to its peer: responses with back-pressure, and refusals with a
 * typed body. If a response fails after its head was written, the peer's connection is reset, so
 * that the response is never taken for a complete one.
 */
import type { ServerResponse } from 'node:http';
import type { ResponseHead, AttemptFailureReport } from '../../types/calls.js';
import { Failure, failureTable } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';
import type { RefusalResponse } from '../../types/callInterface.js';
import { filterResponseHeaders, replayedHeader } from './callHeaders.js';

/** Time for which a refused peer may continue to send its request body, in ms. */
const lingerMs = 1_000;

/** Converts an error into the report from which its refusal is written. */
export const toFailureReport = (error: unknown): AttemptFailureReport => {
  if (error instanceof Failure) {
    return { reason: error.reason, run: error.run, detail: error.message, retried: false };
  }
  const detail = error instanceof Error ? error.message : String(error);
  return { reason: 'bad_request', run: 'not_run', detail, retried: false };
};

/** JSON body of a refusal, see docs/calls.md. */
export const refusalBody = (failure: AttemptFailureReport, requestId: string): Buffer => {
  const { code, text } = failureTable[failure.reason];
  const { detail } = failure;
  return Buffer.from(
    JSON.stringify({
      code,
      reason: failure.reason,
      message:
        detail === undefined || detail.startsWith(text) ? (detail ?? text) : `${text}: ${detail}`,
      run: failure.run,
      request_id: requestId,
    }),
  );
};

/**
 * Ends a refusal. While the peer is still sending its body, the connection stays open for up to
 * `lingerMs`: closing it with unread bytes would reset it, and the peer would lose the refusal.
 */
const endRefusal = (response: ServerResponse, body: Buffer, timer: Timer) => {
  const { req: request } = response;
  if (request.complete) {
    response.end(body);
    return;
  }
  response.write(body);
  request.resume();
  const cancel = timer.after(lingerMs, () => response.end());
  const end = () => {
    cancel();
    response.end();
  };
  request.once('end', end);
  request.once('close', end);
};

/** Writes a refusal, or resets the connection if a response was already started. */
export const writeRefusal = (
  response: ServerResponse,
  { status, headers, body }: RefusalResponse,
  timer: Timer,
  extraHeaders: readonly string[] = [],
) => {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  // The rest of the request body is not read, so the connection cannot carry another request.
  response.shouldKeepAlive &&= response.req.complete;
  response.writeHead(status, [...headers, ...extraHeaders]);
  endRefusal(response, body, timer);
};

export interface ResponseWriter {
  /** Sets the head of the response, with the headers that this system adds. */
  head(head: ResponseHead, extraHeaders: readonly string[]): void;
  /** Writes a chunk. Returns false if the upstream should pause until `resume` is called. */
  part(chunk: Buffer, resume: () => void): boolean;
  end(): void;
}

/** Writer that can write the head before the first chunk. */
export interface BufferedHeadWriter extends ResponseWriter {
  flushHead(): void;
}

/** Target of a response: the HTTP response to a caller, or a connection to another node. */
export interface ResponseTarget {
  readonly destroyed: boolean;
  readonly writableNeedDrain: boolean;
  /** Sets the head, which is written with the first chunk or by `flushHeaders`. */
  writeResponseHead(head: ResponseHead, extraHeaders: readonly string[]): void;
  flushHeaders(): void;
  write(chunk: Buffer): boolean;
  end(chunk?: Buffer): void;
  destroy(): void;
  once(event: 'drain' | 'close', listener: () => void): unknown;
}

/** Creates the target that writes to the HTTP response of a caller. */
export const createServerResponseTarget = (response: ServerResponse): ResponseTarget => ({
  get destroyed() {
    return response.destroyed;
  },
  get writableNeedDrain() {
    return response.writableNeedDrain;
  },
  writeResponseHead: (head, extraHeaders) => {
    const headers = filterResponseHeaders(head.headers);
    headers.push(...extraHeaders);
    if (head.isReplayed) {
      headers.push(replayedHeader, 'true');
    }
    response.writeHead(head.status, headers);
  },
  flushHeaders: () => response.flushHeaders(),
  write: (chunk) => response.write(chunk),
  end: (chunk) => {
    response.end(chunk);
  },
  destroy: () => {
    response.destroy();
  },
  once: (event, listener) => response.once(event, listener),
});

/**
 * Creates the writer of a response. The head is written with the first chunk: until then, a failed
 * response can be replaced by a refusal, instead of closing the connection without a response.
 */
export const createResponseWriter = (target: ResponseTarget): BufferedHeadWriter => {
  let writeHead: (() => void) | undefined;
  let isWaitingForDrain = false;

  const flushHead = () => {
    const write = writeHead;
    writeHead = undefined;
    write?.();
  };

  return {
    flushHead,
    head: (head, extraHeaders) => {
      writeHead = () => target.writeResponseHead(head, extraHeaders);
    },
    part: (chunk, resume) => {
      flushHead();
      if (target.write(chunk)) {
        return true;
      }
      // A response that cannot be paused delivers further chunks in the meantime.
      if (!isWaitingForDrain) {
        isWaitingForDrain = true;
        target.once('drain', () => {
          isWaitingForDrain = false;
          resume();
        });
      }
      return false;
    },
    end: () => {
      try {
        flushHead();
        target.end();
      } catch {
        // The head cannot be written. The call is over, so nothing else would close the connection.
        target.destroy();
      }
    },
  };
};
