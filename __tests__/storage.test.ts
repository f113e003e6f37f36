import assert from 'node:assert/strict';
import { mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import fc from 'fast-check';
import type { LogEntry, PersistEffect } from '../src/core/agreement/consensusTypes.js';
import { openGroupLog, type LoadedLog } from '../src/plugins/agreement/groupLog.js';
import { openStorage } from '../src/plugins/agreement/storage.js';
import { Failure, type FailureReason } from '../src/utils/failure.js';
import {
  createMemoryFiles,
  type FailingOperation,
  type MemoryFiles,
} from './support/memoryFiles.js';

const seed = 20_261_204;
const runs = 2_000;
const folder = 'data/configuration';
const journalPath = `${folder}/journal`;
const snapshotPath = `${folder}/snapshot`;

const failsWith = (reason: FailureReason) => (error: unknown) =>
  error instanceof Failure && error.reason === reason;

const open = (files: MemoryFiles, isKnown = true) =>
  openGroupLog({ files, folder, mustExist: isKnown });

const entryAt = (index: number, term = 1): LogEntry => ({
  term,
  index,
  kind: 'command',
  payload: new Uint8Array(Buffer.from(`payload ${index}.${term}`)),
});

const persist = (write: Omit<PersistEffect, 'type' | 'sequence'>): PersistEffect => ({
  type: 'persist',
  sequence: 0,
  ...write,
});

const snapshotAt = (index: number, term = 1) => ({
  index,
  term,
  members: [],
  data: new Uint8Array(Buffer.from(`state ${index}`)),
});

/** Returns the expected content of the log after a write. */
const modelAfter = (model: LoadedLog, write: PersistEffect): LoadedLog => {
  if (write.snapshot) {
    const { snapshot, hardState, entries } = write;
    return { snapshot, hardState: hardState!, entries: entries! };
  }
  const from = write.truncateFrom ?? Infinity;
  return {
    snapshot: model.snapshot,
    hardState: write.hardState ?? model.hardState,
    entries: [...model.entries.filter(({ index }) => index < from), ...(write.entries ?? [])],
  };
};

type StepKind = 'vote' | 'append' | 'overwrite' | 'snapshot' | 'reset';

interface Step {
  readonly kind: StepKind;
  readonly amount: number;
}

/** Converts a step to a write that continues the model, as the core would produce it. */
const writeFor = (model: LoadedLog, { kind, amount }: Step, term: number): PersistEffect => {
  const last = model.entries.at(-1)?.index ?? model.snapshot.index;
  const count = 1 + (amount % 4);
  const appended = (from: number) =>
    Array.from({ length: count }, (_, offset) => entryAt(from + offset, term));
  const { hardState } = model;
  const makers: Record<StepKind, () => PersistEffect> = {
    vote: () => persist({ hardState: { term, votedFor: `n${amount % 3}` } }),
    append: () => persist({ entries: appended(last + 1) }),
    overwrite: () => {
      const from = Math.max(model.snapshot.index + 1, last - (amount % 3));
      return persist({ truncateFrom: from, entries: appended(from) });
    },
    snapshot: () => {
      const at = model.entries[amount % Math.max(1, model.entries.length)];
      const index = at?.index ?? model.snapshot.index;
      const entries = model.entries.filter((entry) => entry.index > index);
      return persist({
        hardState,
        snapshot: snapshotAt(index, at?.term ?? model.snapshot.term),
        entries,
      });
    },
    reset: () => persist({ hardState, snapshot: snapshotAt(last + 5, term), entries: [] }),
  };
  return makers[kind]();
};

const step = fc.record({
  kind: fc.constantFrom<StepKind>('vote', 'append', 'append', 'overwrite', 'snapshot', 'reset'),
  amount: fc.nat({ max: 20 }),
});

const scenario = fc.record({
  batches: fc.array(fc.array(step, { minLength: 1, maxLength: 4 }), { minLength: 1, maxLength: 8 }),
  failing: fc.constantFrom<FailingOperation>('append', 'sync', 'rename', 'syncFolder'),
  failAt: fc.nat({ max: 12 }),
  survivingBytes: fc.nat({ max: 200 }),
  tail: fc.constantFrom(0, 3, 600),
});

const normalize = (log: unknown): unknown =>
  JSON.parse(
    JSON.stringify(log, (_, value: unknown) =>
      value instanceof Uint8Array ? Buffer.from(value).toString('hex') : value,
    ),
  );

const assertSome = (models: readonly LoadedLog[], check: (model: LoadedLog) => boolean): void =>
  assert.ok(models.some(check));

const isSameEntry = (a: LogEntry | undefined, b: LogEntry): boolean =>
  JSON.stringify(normalize(a)) === JSON.stringify(normalize(b));

const isKept = ({ snapshot, entries }: LoadedLog, entry: LogEntry): boolean =>
  snapshot.index >= entry.index || entries.some((kept) => isSameEntry(kept, entry));

/**
 * Checks the content that was loaded after a crash: it has to consist of states that the
 * interrupted batch went through, and has to contain each synced entry that no write of that batch
 * removes.
 */
const checkLoaded = (loaded: LoadedLog, synced: LoadedLog, states: readonly LoadedLog[]): void => {
  assertSome(states, ({ hardState }) => isDeepStrictEqual(hardState, loaded.hardState));
  assertSome(states, ({ snapshot }) =>
    isDeepStrictEqual(normalize(snapshot), normalize(loaded.snapshot)),
  );
  loaded.entries.forEach((entry, offset) => {
    assert.equal(entry.index, loaded.snapshot.index + 1 + offset);
    assertSome(states, ({ entries }) => entries.some((known) => isSameEntry(known, entry)));
  });
  synced.entries
    .filter((entry) => states.every((state) => isKept(state, entry)))
    .forEach((entry) => assert.ok(isKept(loaded, entry), `entry ${entry.index} is lost`));
};

const planBatch = (start: LoadedLog, steps: readonly Step[], term: number) => {
  const states = [start];
  const writes = steps.map((next) => {
    const write = writeFor(states.at(-1)!, next, term);
    states.push(modelAfter(states.at(-1)!, write));
    return write;
  });
  return { states, writes };
};

describe('log of a replica group', () => {
  it('keeps every synced write through a crash at any step of a write', async () => {
    let failures = 0;
    await fc.assert(
      fc.asyncProperty(scenario, async ({ batches, failing, failAt, survivingBytes, tail }) => {
        const files = createMemoryFiles();
        const log = await open(files, false);
        files.failFrom(failing, failAt + 1, 'EIO');
        let synced = log.loaded;
        let states = [synced];
        for (const [term, steps] of batches.entries()) {
          const plan = planBatch(synced, steps, term + 1);
          states = plan.states;
          try {
            await log.write(plan.writes);
          } catch (error) {
            assert.ok(failsWith('storage_failed')(error));
            failures += 1;
            break;
          }
          synced = states.at(-1)!;
          states = [synced];
        }
        files.crash(survivingBytes, tail);
        const reopened = await open(files);
        checkLoaded(reopened.loaded, synced, states);
        const next = writeFor(reopened.loaded, { kind: 'append', amount: 0 }, 99);
        await reopened.write([next]);
        const expected = modelAfter(reopened.loaded, next);
        assert.deepEqual(normalize((await open(files)).loaded), normalize(expected));
      }),
      { seed, numRuns: runs },
    );
    console.log(`seed ${seed}, ${runs} runs, ${failures} with a failed write`);
    assert.ok(failures > runs / 4);
  });

  const createFilledFiles = async (): Promise<MemoryFiles> => {
    const files = createMemoryFiles();
    const log = await open(files, false);
    const hardState = { term: 1, votedFor: 'n1' };
    await log.write([persist({ hardState, entries: [1, 2, 3].map((at) => entryAt(at)) })]);
    await log.write([persist({ hardState, snapshot: snapshotAt(2), entries: [entryAt(3)] })]);
    await log.write([persist({ entries: [entryAt(4)] })]);
    return files;
  };

  it('refuses every single flipped bit', async () => {
    for (const path of [journalPath, snapshotPath]) {
      const { size } = await createFilledFiles().then((files) => ({ size: files.size(path) }));
      for (let offset = 0; offset < size; offset += 1) {
        const files = await createFilledFiles();
        files.flipBit(path, offset, offset % 8);
        const where = `${path}, byte ${offset}`;
        await assert.rejects(open(files), failsWith('folder_damaged'), where);
      }
    }
  });

  it('truncates a torn tail of any length and continues after it', async () => {
    const whole = (await createFilledFiles()).size(journalPath);
    for (let cut = 1; cut < 40; cut += 1) {
      const files = await createFilledFiles();
      const file = await files.openAppend(journalPath);
      await file.truncate(whole - cut);
      const log = await open(files);
      assert.deepEqual(
        log.loaded.entries.map(({ index }) => index),
        [3],
      );
      await log.write([persist({ entries: [entryAt(4, 2)] })]);
      assert.equal((await open(files)).loaded.entries.at(-1)?.term, 2);
    }
  });

  it('drops entries of another history when a crash follows a new snapshot', async () => {
    const files = await createFilledFiles();
    const log = await open(files);
    files.failFrom('rename', 2, 'EIO');
    const hardState = { term: 2, votedFor: '' };
    await assert.rejects(
      log.write([persist({ hardState, snapshot: snapshotAt(3, 2), entries: [] })]),
      failsWith('storage_failed'),
    );
    files.crash(0, 0);
    const { loaded } = await open(files);
    assert.deepEqual([loaded.snapshot.index, loaded.entries.length], [3, 0]);
  });

  it('refuses a folder whose files are missing', async () => {
    for (const path of [journalPath, snapshotPath]) {
      const files = await createFilledFiles();
      files.deleteFile(path);
      await assert.rejects(open(files), failsWith('folder_damaged'), path);
    }
  });

  it('writes nothing after a failed write or sync', async () => {
    for (const [operation, code] of [
      ['sync', 'EIO'],
      ['sync', 'ENOSPC'],
      ['append', 'EIO'],
    ] as const) {
      const files = await createFilledFiles();
      const log = await open(files);
      files.failFrom(operation, 1, code);
      await assert.rejects(
        log.write([persist({ entries: [entryAt(5)] })]),
        failsWith('storage_failed'),
      );
      const size = files.size(journalPath);
      files.failFrom(operation, Infinity, code);
      await assert.rejects(
        log.write([persist({ entries: [entryAt(5)] })]),
        failsWith('storage_failed'),
      );
      assert.equal(files.size(journalPath), size);
    }
  });

  it('truncates the partial write of a full disk and repeats it once there is space', async () => {
    const files = await createFilledFiles();
    const log = await open(files);
    const size = files.size(journalPath);
    const batch = [persist({ entries: [entryAt(5), entryAt(6)] })];
    for (let tries = 0; tries < 3; tries += 1) {
      files.failFrom('append', 1, 'ENOSPC');
      await assert.rejects(log.write(batch), failsWith('storage_full'));
      assert.equal(files.size(journalPath), size);
    }
    files.failFrom('append', Infinity, 'ENOSPC');
    await log.write(batch);
    await log.write([persist({ entries: [entryAt(7)] })]);
    files.crash(0, 0);
    const { entries } = (await open(files)).loaded;
    assert.deepEqual(
      entries.map(({ index }) => index),
      [3, 4, 5, 6, 7],
    );
  });

  it('keeps its content while the disk is too full for a snapshot', async () => {
    // The snapshot is written first, then the journal that continues it.
    for (const failing of [1, 2]) {
      const files = await createFilledFiles();
      const log = await open(files);
      const hardState = { term: 2, votedFor: '' };
      const batch = [persist({ hardState, snapshot: snapshotAt(4, 1), entries: [entryAt(5)] })];
      files.failFrom('append', failing, 'ENOSPC');
      await assert.rejects(log.write(batch), failsWith('storage_full'));
      files.failFrom('append', Infinity, 'ENOSPC');
      const kept = (await open(files)).loaded;
      assert.equal(kept.entries.at(-1)?.index ?? kept.snapshot.index, 4, `at append ${failing}`);
      await log.write(batch);
      await log.write([persist({ entries: [entryAt(6)] })]);
      files.crash(0, 0);
      const { snapshot, entries } = (await open(files)).loaded;
      assert.equal(snapshot.index, 4);
      assert.deepEqual(
        entries.map(({ index }) => index),
        [5, 6],
      );
    }
  });

  it('makes a batch of many writes durable with one sync', async () => {
    const files = await createFilledFiles();
    const log = await open(files);
    const before = files.syncs();
    await log.write(
      Array.from({ length: 200 }, (_, at) => persist({ entries: [entryAt(5 + at)] })),
    );
    assert.equal(files.syncs() - before, 1);
    assert.equal((await open(files)).loaded.entries.length, 202);
  });
});

describe('data folder', () => {
  const withFolder = async (body: (path: string) => Promise<void>) => {
    const path = mkdtempSync(join(tmpdir(), 'auburnsill-storage-'));
    try {
      await body(path);
    } finally {
      rmSync(path, { recursive: true });
    }
  };
  const owner = { cluster: 'c', member: 'n1' };

  it('refuses another owner, a later format and files of another program', async () => {
    await withFolder(async (path) => {
      await (await openStorage(path, owner)).close();
      const file = join(path, 'identity.json');
      const foreign = failsWith('folder_foreign');
      await assert.rejects(openStorage(path, { ...owner, member: 'n2' }), foreign);
      await assert.rejects(openStorage(path, { ...owner, cluster: 'd' }), foreign);
      const text = readFileSync(file, 'utf8');
      writeFileSync(file, text.replace('"format": 1', '"format": 2'));
      await assert.rejects(openStorage(path, owner), foreign);
      writeFileSync(file, text.replace(/"incarnation": "./, '"incarnation": "x'));
      await assert.rejects(openStorage(path, owner), failsWith('folder_damaged'));
    });
    await withFolder(async (path) => {
      writeFileSync(join(path, 'journal'), '');
      await assert.rejects(openStorage(path, owner), failsWith('folder_foreign'));
    });
  });

  it('is used by one process, and taken over from one that has ended', async () => {
    await withFolder(async (path) => {
      const storage = await openStorage(path, owner);
      await assert.rejects(openStorage(path, owner), failsWith('folder_locked'));
      await storage.close();
      // The process id belongs to a running process that was started at another time.
      writeFileSync(join(path, 'lock'), `${process.pid} 1\n`);
      const again = await openStorage(path, owner);
      assert.equal(again.incarnation, storage.incarnation);
      await again.close();
    });
  });
});
