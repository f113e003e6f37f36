/**
 * Bodies of requests. A small body is kept, so that an attempt can be repeated and an idempotency
 * key can be bound to it; a larger one is streamed and can be read only once. It is read ahead of
 * its upstream, so that the end of the caller's connection is seen behind it.
 */
import type { IncomingMessage } from 'node:http';
import type { RequestBody } from '../../types/calls.js';
import { Failure } from '../../utils/failure.js';
import { createBodyBuffer, type BodyBudget, type BodyBuffer } from './bodyBuffer.js';
import { hasBody } from './callHeaders.js';

/** Largest body that is kept for further attempts, in bytes. */
export const maxBufferedBytes = 64 * 1_024;

const noBody: RequestBody = { kind: 'none' };

/** A buffered body, or a stream of its first bytes and the rest. */
export interface RequestBodyWithPrefix {
  readonly body: RequestBody;
  /** The first bytes, up to `maxBufferedBytes` and one chunk. */
  readonly prefix: Buffer;
  /**
   * Drops what its reader has left of the body. The rest is read and dropped too: Node.js reads no
   * further request from the connection of an unread one.
   */
  discardRest(): void;
}

/** Reads the rest of a body into its buffer. Resolves at the end of the request. */
const readRest = async (
  parts: AsyncIterator<Buffer>,
  buffer: BodyBuffer,
  waitForRoom: () => Promise<void>,
) => {
  try {
    let next = await parts.next();
    while (!next.done) {
      if (!buffer.push(next.value)) {
        await waitForRoom();
      }
      next = await parts.next();
    }
    buffer.end();
  } catch (error) {
    buffer.destroy(error instanceof Error ? error : new Error(String(error)));
  }
};

/** Streams a body of which some parts were read already. */
const streamBody = (
  first: readonly Buffer[],
  rest: AsyncIterator<Buffer>,
  budget: BodyBudget,
): RequestBodyWithPrefix => {
  let resume: () => void = () => undefined;
  const buffer = createBodyBuffer(budget, () => resume());
  first.forEach((part) => buffer.push(part));
  readRest(
    rest,
    buffer,
    () =>
      new Promise((resolve) => {
        resume = resolve;
      }),
  );
  return {
    body: { kind: 'stream', parts: buffer.parts },
    prefix: Buffer.concat(first),
    discardRest: () => buffer.destroy(new Error('the call is over')),
  };
};

/** Buffers the body of a request up to the limit. Throws `bad_request` if it ends early. */
export const readBody = async (
  request: IncomingMessage,
  budget: BodyBudget,
): Promise<RequestBodyWithPrefix> => {
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
        return streamBody(first, parts, budget);
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
