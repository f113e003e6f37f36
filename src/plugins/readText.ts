/**
 * Reads the bodies of requests that operators and upstreams send to the system itself. They are
 * small and are buffered completely.
 */
import type { IncomingMessage } from 'node:http';
import { Failure, type FailureReason } from '../utils/failure.js';

/** Reads a body as text. Throws a Failure with `reason` if it exceeds `maxBytes`. */
export const readText = async (
  request: IncomingMessage,
  maxBytes: number,
  reason: FailureReason = 'body_too_large',
): Promise<string> => {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request) {
    parts.push(part as Buffer);
    bytes += (part as Buffer).length;
    if (bytes > maxBytes) {
      throw new Failure(reason, `more than ${maxBytes} bytes`);
    }
  }
  return Buffer.concat(parts).toString('utf8');
};

/** Parses JSON. Throws `malformed_message`. */
export const parseJsonText = (text: string): unknown => {
  try {
    return JSON.parse(text);
  } catch (cause) {
    throw new Failure('malformed_message', 'not JSON', { cause });
  }
};
