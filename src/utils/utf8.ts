/**
 * Strict decoding of UTF-8. A replacement character for each invalid sequence would turn different
 * bytes into the same text, which then has another encoding than what was read.
 */
import { readFileSync } from 'node:fs';
import { Failure, type FailureReason } from './failure.js';

/** A byte order mark is kept, so that the text has the same bytes as what was decoded. */
export const strictDecoder = new TextDecoder('utf-8', { fatal: true, ignoreBOM: true });

/** Decodes bytes. Throws a Failure with `reason` if they are not valid UTF-8. */
export const decodeUtf8 = (
  bytes: Uint8Array,
  reason: FailureReason = 'malformed_message',
): string => {
  try {
    return strictDecoder.decode(bytes);
  } catch (cause) {
    throw new Failure(reason, 'not valid UTF-8', { cause });
  }
};

/** Reads a settings file, which happens before the event loop has other work. */
export const readSettingsText = (path: string): string =>
  // eslint-disable-next-line n/no-sync
  decodeUtf8(readFileSync(path), 'invalid_settings');
