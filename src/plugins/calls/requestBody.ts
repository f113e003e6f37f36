/**
 * Bodies of requests. A small body is buffered, so that an attempt can be repeated and an
 * idempotency key can be bound to it; a larger one is streamed and can be read only once.
 */
import type { IncomingMessage } from 'node:http';
import type { RequestBody } from '../../types/calls.js';
import { Failure } from '../../utils/failure.js';
import { hasBody } from './callHeaders.js';

/** Largest body that is buffered for further attempts, in bytes. */
export const maxBufferedBytes = 64 * 1_024;

const noBody: RequestBody = { kind: 'none' };

/** A buffered body, or a stream of its first bytes and the rest. */
export interface RequestBodyWithPrefix {
  readonly body: RequestBody;
  /** The first bytes, up to `maxBufferedBytes` and one chunk. */
  readonly prefix: Buffer;
  /**
   * Reads and drops what its reader has left of the body, so that the connection can carry the next
   * request. Does nothing if the body was read to its end.
   */
  discardRest(): void;
}

async function* concatParts(
  first: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
): AsyncGenerator<Buffer> {
  yield* first;
  let next = await rest.next();
  while (!next.done) {
    yield next.value;
    next = await rest.next();
  }
}

/**
 * The iterator has to end before the request can flow: its listener for `readable` keeps a stream
 * paused, and Node.js reads no further request from the connection of an unread one.
 */
const discardRest = async (request: IncomingMessage, parts: AsyncIterator<Buffer>) => {
  if (request.complete && request.readableLength === 0) {
    return;
  }
  try {
    await parts.return?.();
  } catch {
    // The connection is broken, so there is nothing left to read.
  }
  request.resume();
};

/** Buffers the body of a request up to the limit. Throws `bad_request` if it ends early. */
export const readBody = async (request: IncomingMessage): Promise<RequestBodyWithPrefix> => {
  if (!hasBody(request)) {
    return { body: noBody, prefix: Buffer.alloc(0), discardRest: () => undefined };
  }
  const parts = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const first: Buffer[] = [];
  let bufferedBytes = 0;
  try {
    let next = await parts.next();
    while (!next.done) {
      first.push(next.value);
      bufferedBytes += next.value.length;
      if (bufferedBytes > maxBufferedBytes) {
        return {
          body: { kind: 'stream', parts: concatParts(first, parts) },
          prefix: Buffer.concat(first),
          discardRest: () => {
            discardRest(request, parts);
          },
        };
      }
      next = await parts.next();
    }
  } catch (error) {
    throw new Failure('bad_request', 'the body ended before its announced length', {
      cause: error,
    });
  }
  const wholeBody = Buffer.concat(first);
  return {
    body: { kind: 'kept', bytes: wholeBody },
    prefix: wholeBody,
    discardRest: () => undefined,
  };
};
