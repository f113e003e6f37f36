/**
 * Bodies of requests. A small body is read whole, so that an attempt can be repeated and an
 * idempotency key can be bound to it; a larger one is passed on part by part and read once.
 */
import type { IncomingMessage } from 'node:http';
import type { RequestBody } from '../../types/calls.js';
import { Failure } from '../../utils/failure.js';
import { hasBody } from './callHeaders.js';

/** Largest body that is kept for a second attempt, in bytes. */
export const maxBufferedBytes = 64 * 1_024;

const noBody: RequestBody = { kind: 'none' };

/** Body that was kept whole, or its first part and the reader of the rest. */
export interface RequestBodyWithPrefix {
  readonly body: RequestBody;
  /** The first bytes, up to `maxKeptBytes` and one part. */
  readonly prefix: Buffer;
}

async function* joinParts(
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

/** Reads the body of a request up to the bound. Throws `bad_request` if it ends early. */
export const readBody = async (request: IncomingMessage): Promise<RequestBodyWithPrefix> => {
  if (!hasBody(request)) {
    return { body: noBody, prefix: Buffer.alloc(0) };
  }
  const parts = request.iterator({ destroyOnReturn: false }) as AsyncIterator<Buffer>;
  const first: Buffer[] = [];
  let bytes = 0;
  try {
    let next = await parts.next();
    while (!next.done) {
      first.push(next.value);
      bytes += next.value.length;
      if (bytes > maxBufferedBytes) {
        return {
          body: { kind: 'stream', parts: joinParts(first, parts) },
          prefix: Buffer.concat(first),
        };
      }
      next = await parts.next();
    }
  } catch (error) {
    throw new Failure('bad_request', 'the body ended before its announced length', {
      cause: error,
    });
  }
  const kept = Buffer.concat(first);
  return { body: { kind: 'kept', bytes: kept }, prefix: kept };
};
