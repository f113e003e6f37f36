/**
 * Compression of texts that are replicated or distributed. Compressed bytes start with the gzip
 * magic number and plain texts do not, so both can be read wherever one is expected.
 */
import { constants, gunzipSync, gzipSync } from 'node:zlib';

/** Shorter texts are not compressed, in bytes. */
const minCompressedBytes = 512;

const isCompressed = (bytes: Uint8Array): boolean => bytes[0] === 0x1f && bytes[1] === 0x8b;

/** Compresses a text at the fastest level, unless it is short. */
export const compressText = (text: string): Uint8Array =>
  text.length < minCompressedBytes
    ? new TextEncoder().encode(text)
    : // Entries and updates are applied synchronously, so the compression has to be as well.
      // eslint-disable-next-line n/no-sync
      gzipSync(text, { level: constants.Z_BEST_SPEED });

/** Restores a text that may be compressed. Throws if it has more than `maxBytes`. */
export const decompress = (bytes: Uint8Array, maxBytes: number): Uint8Array =>
  // eslint-disable-next-line n/no-sync
  isCompressed(bytes) ? gunzipSync(bytes, { maxOutputLength: maxBytes }) : bytes;
