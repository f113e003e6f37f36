/**
 * What a server of calls writes to its peer: answers with back-pressure, refusals with their typed
 * body. An answer that breaks after its head was written resets the peer's connection, so that it is
 * never taken for a whole one.
 */
import type { ServerResponse } from 'node:http';
import type { ResponseHead, AttemptFailureReport } from '../../types/calls.js';
import { Failure, failureTable } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';
import type { RefusalResponse } from '../../types/callInterface.js';
import { filterResponseHeaders, replayedHeader } from './callHeaders.js';

/** Time for which a refused peer may go on sending its body, in ms. */
const lingerMs = 1_000;

/** Turns an error into the report that its refusal is written from. */
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
 * Ends a refusal. While the peer still sends its body, the connection stays open for a moment: one
 * that is closed with unread bytes is reset, and the refusal is lost with it.
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

/** Writes a refusal, or resets the connection if an answer was begun. */
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
  // The rest of a body is not read: the connection cannot carry another request.
  response.shouldKeepAlive &&= response.req.complete;
  response.writeHead(status, [...headers, ...extraHeaders]);
  endRefusal(response, body, timer);
};

export interface ResponseWriter {
  /** Takes the head of the answer, with headers of this system to add. */
  head(head: ResponseHead, extraHeaders: readonly string[]): void;
  /** Writes a part. Returns false if the answer should pause until `resume` is called. */
  part(chunk: Buffer, resume: () => void): boolean;
  end(): void;
}

/** Writer that can write the head before the first part. */
export interface BufferedHeadWriter extends ResponseWriter {
  flushHead(): void;
}

/** What an answer is written to: the response to a caller, or a connection to another node. */
export interface ResponseTarget {
  readonly destroyed: boolean;
  readonly writableNeedDrain: boolean;
  /** Takes the head, which is written with the first part or by `flushHeaders`. */
  writeResponseHead(head: ResponseHead, extraHeaders: readonly string[]): void;
  flushHeaders(): void;
  write(chunk: Buffer): boolean;
  end(chunk?: Buffer): void;
  destroy(): void;
  once(event: 'drain' | 'close', listener: () => void): unknown;
}

/** Creates the target of an answer to a caller. */
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
 * Creates the writer of an answer. The head is written with the first part: until then an answer
 * that breaks can be replaced by a refusal, instead of closing the connection without an answer.
 */
export const createResponseWriter = (target: ResponseTarget): BufferedHeadWriter => {
  let writeHead: (() => void) | undefined;
  let isFull = false;

  const begin = () => {
    const write = writeHead;
    writeHead = undefined;
    write?.();
  };

  return {
    flushHead: begin,
    head: (head, extraHeaders) => {
      writeHead = () => target.writeResponseHead(head, extraHeaders);
    },
    part: (chunk, resume) => {
      begin();
      if (target.write(chunk)) {
        return true;
      }
      // An answer that cannot be paused brings further parts meanwhile.
      if (!isFull) {
        isFull = true;
        target.once('drain', () => {
          isFull = false;
          resume();
        });
      }
      return false;
    },
    end: () => {
      try {
        begin();
        target.end();
      } catch {
        // A head that cannot be written: the call is over and nobody else would end its connection.
        target.destroy();
      }
    },
  };
};
