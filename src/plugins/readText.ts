/**
 * Reads the bodies of requests that operators and upstreams send to the system itself. They are
 * small and are buffered completely.
 */
import type { IncomingMessage } from 'node:http';
import { Failure, type FailureReason } from '../utils/failure.js';
import { decodeUtf8 } from '../utils/utf8.js';

export interface BodyFailures {
  readonly tooLarge: FailureReason;
  readonly notUtf8: FailureReason;
}

const defaultFailures: BodyFailures = { tooLarge: 'body_too_large', notUtf8: 'malformed_message' };

/** Reads a body as text. Throws a Failure if it exceeds `maxBytes` or is not valid UTF-8. */
export const readText = async (
  request: IncomingMessage,
  maxBytes: number,
  failures: BodyFailures = defaultFailures,
): Promise<string> => {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request) {
    parts.push(part as Buffer);
    bytes += (part as Buffer).length;
    if (bytes > maxBytes) {
      throw new Failure(failures.tooLarge, `more than ${maxBytes} bytes`);
    }
  }
  return decodeUtf8(Buffer.concat(parts), failures.notUtf8);
};

/** Parses JSON. Throws `malformed_message`. */
export const parseJsonText = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new Failure('malformed_message', 'not JSON', { cause });
  }
};
