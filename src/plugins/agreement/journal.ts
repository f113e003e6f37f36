/**
 * Encoding and decoding of journal records. A record consists of a header of 24 bytes (payload
 * length, kind, term, CRC of the payload, CRC of the header), the payload and an end mark. The end
 * mark is not zero, so that a record whose end was never written can be distinguished from one that
 * was written completely and corrupted later.
 */
import { crc32 } from 'node:zlib';

export type RecordKind = 'hardState' | 'entry' | 'truncate' | 'base' | 'snapshot';

export interface JournalRecord {
  readonly kind: RecordKind;
  readonly term: number;
  readonly payload: Uint8Array;
}

export interface JournalContent {
  readonly records: readonly JournalRecord[];
  /** Size of the valid part. Unless `damagedAt` is set, the rest is a torn tail. */
  readonly validBytes: number;
  /** Offset of damage other than a torn tail. */
  readonly damagedAt: number | undefined;
}

const headerBytes = 24;
const endMark = 0xa5;
const endMarkBytes = 1;
const kindCodes: Record<RecordKind, number> = {
  hardState: 1,
  entry: 2,
  truncate: 3,
  base: 4,
  snapshot: 5,
};
const kindsByCode = new Map(
  Object.entries(kindCodes).map(([kind, code]) => [code, kind as RecordKind]),
);

const offsets = { length: 0, kind: 4, term: 8, payloadCrc: 16, headerCrc: 20 } as const;

export const encodeRecord = ({ kind, term, payload }: JournalRecord): Uint8Array => {
  const record = Buffer.alloc(headerBytes + payload.length + endMarkBytes);
  record.writeUInt32LE(payload.length, offsets.length);
  record.writeUInt8(kindCodes[kind], offsets.kind);
  record.writeBigUInt64LE(BigInt(term), offsets.term);
  record.writeUInt32LE(crc32(payload), offsets.payloadCrc);
  record.writeUInt32LE(crc32(record.subarray(0, offsets.headerCrc)), offsets.headerCrc);
  record.set(payload, headerBytes);
  record.writeUInt8(endMark, headerBytes + payload.length);
  return record;
};

const hasHeader = (bytes: Buffer, offset: number): boolean =>
  offset + headerBytes <= bytes.length &&
  crc32(bytes.subarray(offset, offset + offsets.headerCrc)) ===
    bytes.readUInt32LE(offset + offsets.headerCrc);

const endOfRecord = (bytes: Buffer, offset: number): number =>
  offset + headerBytes + bytes.readUInt32LE(offset + offsets.length) + endMarkBytes;

const readRecord = (bytes: Buffer, offset: number): JournalRecord | undefined => {
  if (!hasHeader(bytes, offset)) {
    return undefined;
  }
  const end = endOfRecord(bytes, offset);
  if (end > bytes.length || bytes[end - 1] !== endMark) {
    return undefined;
  }
  const payload = bytes.subarray(offset + headerBytes, end - endMarkBytes);
  const kind = kindsByCode.get(bytes.readUInt8(offset + offsets.kind));
  if (kind === undefined || crc32(payload) !== bytes.readUInt32LE(offset + offsets.payloadCrc)) {
    return undefined;
  }
  const term = Number(bytes.readBigUInt64LE(offset + offsets.term));
  return { kind, term, payload };
};

/** End of the written data: a file that was extended but not filled ends in zeros. */
const endOfWritten = (bytes: Buffer): number => {
  let end = bytes.length;
  while (end > 0 && bytes[end - 1] === 0) {
    end -= 1;
  }
  return end;
};

/**
 * True if the record at `offset` is a torn tail: its end was not written, and nothing after it was
 * written either. A complete record that fails its checks was corrupted later.
 */
const isTornTail = (bytes: Buffer, offset: number): boolean => {
  const written = endOfWritten(bytes);
  const isHeaderWritten = written - offset >= headerBytes;
  if (!isHeaderWritten) {
    return true;
  }
  return hasHeader(bytes, offset) && endOfRecord(bytes, offset) > written;
};

/** Reads the records of a file up to its end or the first invalid record. */
export const readJournal = (content: Uint8Array): JournalContent => {
  const bytes = Buffer.from(content.buffer, content.byteOffset, content.byteLength);
  const records: JournalRecord[] = [];
  let offset = 0;
  while (offset < bytes.length) {
    const record = readRecord(bytes, offset);
    if (!record) {
      const damagedAt = isTornTail(bytes, offset) ? undefined : offset;
      return { records, validBytes: offset, damagedAt };
    }
    records.push(record);
    offset = endOfRecord(bytes, offset);
  }
  return { records, validBytes: offset, damagedAt: undefined };
};
