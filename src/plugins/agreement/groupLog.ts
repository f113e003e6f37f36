/**
 * Files of a replica group: a journal of hard states, entries and truncations, and the newest
 * snapshot. A batch of writes is made durable with one sync. After a failed write or sync no more
 * writes are accepted: the state on disk is unknown, so a retry could report data as durable that
 * is not. The exception is a write that fails because the disk is full: its partial data is
 * truncated.
 */
import { Failure } from '../../utils/failure.js';
import type {
  EntryKind,
  HardState,
  LogEntry,
  PersistEffect,
  ReplicaSnapshot,
} from '../../core/agreement/consensusTypes.js';
import { isDiskFull } from './diskSpace.js';
import { replaceFile, type DataFile, type Files } from './files.js';
import { encodeRecord, readJournal, type JournalRecord } from './journal.js';

export interface LoadedLog {
  readonly hardState: HardState;
  readonly snapshot: ReplicaSnapshot;
  readonly entries: readonly LogEntry[];
}

export interface GroupLog {
  readonly loaded: LoadedLog;
  /**
   * Resolves once all writes of the batch are durable. Rejects with `storage_full` if the disk is
   * full; the same batch can then be written again.
   */
  write(batch: readonly PersistEffect[]): Promise<void>;
  close(): Promise<void>;
}

export interface GroupLogOptions {
  readonly files: Files;
  readonly folder: string;
  /**
   * True if the log was created before, so that a missing file means that the folder is damaged.
   */
  readonly mustExist: boolean;
  /** Called with the duration of each sync in ms. */
  readonly observeSyncMs?: (ms: number) => void;
  readonly now?: () => number;
}

const journalName = 'journal';
const snapshotName = 'snapshot';
const indexBytes = 8;
const noSnapshot: ReplicaSnapshot = { index: 0, term: 0, members: [], data: new Uint8Array() };

const entryKindCodes: Record<EntryKind, number> = { noop: 1, membership: 2, command: 3 };
const entryKindsByCode = new Map(
  Object.entries(entryKindCodes).map(([kind, code]) => [code, kind as EntryKind]),
);

const encodeIndex = (index: number): Buffer => {
  const bytes = Buffer.alloc(indexBytes);
  bytes.writeBigUInt64LE(BigInt(index));
  return bytes;
};

const decodeIndex = (payload: Uint8Array): number =>
  Number(Buffer.from(payload).readBigUInt64LE(0));

const hardStateRecord = ({ term, votedFor }: HardState): Uint8Array =>
  encodeRecord({ kind: 'hardState', term, payload: Buffer.from(votedFor) });

const entryRecord = ({ term, index, kind, payload }: LogEntry): Uint8Array =>
  encodeRecord({
    kind: 'entry',
    term,
    payload: Buffer.concat([encodeIndex(index), Buffer.from([entryKindCodes[kind]]), payload]),
  });

const baseRecord = ({ term, index }: ReplicaSnapshot): Uint8Array =>
  encodeRecord({ kind: 'base', term, payload: encodeIndex(index) });

const truncateRecord = (index: number): Uint8Array =>
  encodeRecord({ kind: 'truncate', term: 0, payload: encodeIndex(index) });

const encodeEffect = ({ hardState, truncateFrom, entries = [] }: PersistEffect): Uint8Array[] => [
  ...(hardState ? [hardStateRecord(hardState)] : []),
  ...(truncateFrom === undefined ? [] : [truncateRecord(truncateFrom)]),
  ...entries.map(entryRecord),
];

const encodeSnapshot = ({ index, term, members, data }: ReplicaSnapshot): Uint8Array => {
  const header = Buffer.from(JSON.stringify({ index, members }));
  const size = Buffer.alloc(4);
  size.writeUInt32LE(header.length);
  return encodeRecord({ kind: 'snapshot', term, payload: Buffer.concat([size, header, data]) });
};

const damaged = (file: string, detail: string): Failure =>
  new Failure('folder_damaged', `${file}: ${detail}; empty the folder to join as a new member`);

const decodeSnapshot = (bytes: Uint8Array, file: string): ReplicaSnapshot => {
  const { records, validBytes } = readJournal(bytes);
  const [record] = records;
  if (
    !record ||
    records.length !== 1 ||
    record.kind !== 'snapshot' ||
    validBytes !== bytes.length
  ) {
    throw damaged(file, 'the snapshot has a wrong checksum or format');
  }
  const payload = Buffer.from(record.payload);
  const dataOffset = 4 + payload.readUInt32LE(0);
  const header = JSON.parse(payload.subarray(4, dataOffset).toString()) as Pick<
    ReplicaSnapshot,
    'index' | 'members'
  >;
  return { ...header, term: record.term, data: new Uint8Array(payload.subarray(dataOffset)) };
};

interface Replay {
  readonly file: string;
  base: { index: number; term: number };
  hardState: HardState;
  entries: LogEntry[];
}

const lastIndexOf = ({ base, entries }: Replay): number => entries.at(-1)?.index ?? base.index;

const replayEntry = (replay: Replay, { term, payload }: JournalRecord): void => {
  const index = decodeIndex(payload);
  const kind = entryKindsByCode.get(payload[indexBytes]!);
  if (kind === undefined || index !== lastIndexOf(replay) + 1) {
    throw damaged(replay.file, `entry ${index} follows entry ${lastIndexOf(replay)}`);
  }
  replay.entries.push({ term, index, kind, payload: new Uint8Array(payload.subarray(9)) });
};

const replayHandlers: Record<
  JournalRecord['kind'],
  (replay: Replay, record: JournalRecord) => void
> = {
  hardState: (replay, { term, payload }) => {
    replay.hardState = { term, votedFor: Buffer.from(payload).toString() };
  },
  entry: replayEntry,
  truncate: (replay, { payload }) => {
    const index = decodeIndex(payload);
    replay.entries = replay.entries.filter((entry) => entry.index < index);
  },
  base: (replay, { term, payload }) => {
    replay.base = { index: decodeIndex(payload), term };
  },
  snapshot: ({ file }) => {
    throw damaged(file, 'unexpected snapshot record');
  },
};

const replayRecords = (records: readonly JournalRecord[], file: string): Replay => {
  const replay: Replay = {
    file,
    base: { index: 0, term: 0 },
    hardState: { term: 0, votedFor: '' },
    entries: [],
  };
  records.forEach((record) => replayHandlers[record.kind](replay, record));
  return replay;
};

/**
 * Returns the entries after the snapshot. Returns none if the journal's term at the index of the
 * snapshot differs, because the entries then belong to another history.
 */
const entriesAfter = (snapshot: ReplicaSnapshot, { base, entries }: Replay): LogEntry[] => {
  const at =
    base.index === snapshot.index ? base : entries.find(({ index }) => index === snapshot.index);
  return at?.term === snapshot.term ? entries.filter(({ index }) => index > snapshot.index) : [];
};

/** Opens the files of a group. Throws `folder_damaged` for any damage except a torn tail. */
export const openGroupLog = async ({
  files,
  folder,
  mustExist,
  observeSyncMs,
  now = () => performance.now(),
}: GroupLogOptions): Promise<GroupLog> => {
  const journalPath = `${folder}/${journalName}`;
  const snapshotPath = `${folder}/${snapshotName}`;

  /** Size of the durable part of the journal. */
  let journalBytes = 0;

  const rewriteJournal = async (
    snapshot: ReplicaSnapshot,
    hardState: HardState,
    entries: readonly LogEntry[],
  ): Promise<void> => {
    const records = [baseRecord(snapshot), hardStateRecord(hardState), ...entries.map(entryRecord)];
    const bytes = Buffer.concat(records);
    await replaceFile(files, folder, journalName, bytes);
    journalBytes = bytes.length;
  };

  const readSnapshot = async (): Promise<ReplicaSnapshot> => {
    const bytes = await files.read(snapshotPath);
    return bytes ? decodeSnapshot(bytes, snapshotPath) : noSnapshot;
  };

  const readReplay = async (): Promise<{ replay: Replay; isTorn: boolean; size: number }> => {
    const bytes = await files.read(journalPath);
    if (!bytes && mustExist) {
      throw damaged(journalPath, 'the file is missing');
    }
    const content = readJournal(bytes ?? new Uint8Array());
    if (content.damagedAt !== undefined) {
      throw damaged(journalPath, `checksum is wrong at byte ${content.damagedAt}`);
    }
    const isTorn = bytes !== undefined && content.validBytes < bytes.length;
    return {
      replay: replayRecords(content.records, journalPath),
      isTorn,
      size: content.validBytes,
    };
  };

  const load = async (): Promise<LoadedLog> => {
    await files.makeFolder(folder);
    const snapshot = await readSnapshot();
    const { replay, isTorn, size } = await readReplay();
    if (replay.base.index > snapshot.index) {
      throw damaged(snapshotPath, `the journal continues a snapshot at ${replay.base.index}`);
    }
    const entries = entriesAfter(snapshot, replay);
    journalBytes = size;
    if (isTorn) {
      const file = await files.openAppend(journalPath);
      await file.truncate(size);
      await file.sync();
      await file.close();
    }
    // A crash between the two renames of a compaction (snapshot, then journal) leaves a journal
    // that is older than the snapshot.
    if (replay.base.index < snapshot.index) {
      await rewriteJournal(snapshot, replay.hardState, entries);
    }
    return { hardState: replay.hardState, snapshot, entries };
  };

  const loaded = await load();
  let journal: DataFile = await files.openAppend(journalPath);
  await files.syncFolder(folder);
  let failed = false;

  const writeSnapshot = async ({
    snapshot,
    hardState,
    entries = [],
  }: PersistEffect): Promise<void> => {
    if (!snapshot || !hardState) {
      throw new Error('a snapshot has to be written together with the hard state');
    }
    await replaceFile(files, folder, snapshotName, encodeSnapshot(snapshot));
    await rewriteJournal(snapshot, hardState, entries);
    await journal.close();
    journal = await files.openAppend(journalPath);
  };

  /**
   * Syncs the journal. The state on disk after a failed sync is unknown whatever the error, so that
   * the failure is never reported as a full disk.
   */
  const syncJournal = async (): Promise<void> => {
    try {
      await journal.sync();
    } catch (cause) {
      throw new Failure('storage_failed', `${folder}: sync failed: ${String(cause)}`, { cause });
    }
  };

  const append = async (effects: readonly PersistEffect[]): Promise<void> => {
    if (effects.length === 0) {
      return;
    }
    const bytes = Buffer.concat(effects.flatMap(encodeEffect));
    try {
      await journal.append(bytes);
    } catch (cause) {
      if (isDiskFull(cause)) {
        // A part of the bytes may have been written. If others followed it, the journal would be
        // considered damaged.
        await journal.truncate(journalBytes);
      }
      throw cause;
    }
    const startedAt = now();
    await syncJournal();
    journalBytes += bytes.length;
    observeSyncMs?.(now() - startedAt);
  };

  const writeBatch = async (batch: readonly PersistEffect[]): Promise<void> => {
    const snapshotAt = batch.findLastIndex(({ snapshot }) => snapshot !== undefined);
    // A snapshot effect contains everything that is kept, including earlier writes of the batch.
    if (snapshotAt >= 0) {
      await writeSnapshot(batch[snapshotAt]!);
    }
    await append(batch.slice(snapshotAt + 1));
  };

  return {
    loaded,
    write: async (batch) => {
      if (failed) {
        throw new Failure('storage_failed', `${folder}: an earlier write failed`);
      }
      try {
        await writeBatch(batch);
      } catch (cause) {
        const isFull = isDiskFull(cause);
        failed = !isFull;
        const detail = cause instanceof Error ? cause.message : String(cause);
        throw new Failure(isFull ? 'storage_full' : 'storage_failed', `${folder}: ${detail}`, {
          cause,
        });
      }
    },
    close: () => journal.close(),
  };
};
