/**
 * In-memory files that distinguish written from durable data, for tests of crashes and failing
 * disks.
 */
import type { DataFile, Files } from '../../src/plugins/agreement/files.js';

export type FailingOperation = 'append' | 'sync' | 'rename' | 'syncFolder';

interface Stored {
  content: Buffer;
  durable: Buffer;
}

export interface MemoryFiles extends Files {
  /**
   * Makes the operation fail from its `count`-th call from now on. A failing append first writes
   * half of its bytes.
   */
  failFrom(operation: FailingOperation, count: number, code: string): void;
  /**
   * Discards unsynced data and clears faults. The first `survivingBytes` of unsynced appends are
   * kept, followed by up to `tail` zeros.
   */
  crash(survivingBytes: number, tail: number): void;
  flipBit(path: string, offset: number, bit: number): void;
  /** Deletes the file synchronously. */
  deleteFile(path: string): void;
  size(path: string): number;
  readonly syncs: () => number;
}

const createFault = (code: string): Error => Object.assign(new Error(code), { code });

export const createMemoryFiles = (): MemoryFiles => {
  let names = new Map<string, Stored>();
  let durableNames = new Map<string, Stored>();
  const faults = new Map<FailingOperation, { at: number; code: string }>();
  const calls = new Map<FailingOperation, number>();
  let syncs = 0;

  const nextFailureCode = (operation: FailingOperation): string | undefined => {
    const call = (calls.get(operation) ?? 0) + 1;
    calls.set(operation, call);
    const fault = faults.get(operation);
    return fault && call >= fault.at ? fault.code : undefined;
  };

  const throwInjectedFault = (operation: FailingOperation) => {
    const code = nextFailureCode(operation);
    if (code !== undefined) {
      throw createFault(code);
    }
  };

  const openStored = (stored: Stored): DataFile => ({
    append: async (bytes) => {
      const code = nextFailureCode('append');
      const written = code === undefined ? bytes : bytes.subarray(0, bytes.length / 2);
      stored.content = Buffer.concat([stored.content, written]);
      if (code !== undefined) {
        throw createFault(code);
      }
    },
    sync: async () => {
      throwInjectedFault('sync');
      syncs += 1;
      stored.durable = stored.content;
    },
    truncate: async (size) => {
      stored.content = stored.content.subarray(0, size);
    },
    close: async () => undefined,
  });

  const create = (path: string): Stored => {
    const stored = { content: Buffer.alloc(0), durable: Buffer.alloc(0) };
    names.set(path, stored);
    return stored;
  };

  const contentAfterCrash = (stored: Stored, survivingBytes: number, tail: number): Stored => {
    const isAppend = stored.content.subarray(0, stored.durable.length).equals(stored.durable);
    const surviving = isAppend
      ? stored.content.subarray(0, stored.durable.length + survivingBytes)
      : stored.durable;
    const zeros = Math.min(tail, stored.content.length - surviving.length);
    const content = Buffer.concat([surviving, Buffer.alloc(Math.max(0, zeros))]);
    return { content, durable: content };
  };

  return {
    makeFolder: async () => undefined,
    list: async (path) =>
      [...names.keys()]
        .filter((name) => name.startsWith(`${path}/`))
        .map((name) => name.slice(path.length + 1).split('/')[0]!),
    read: async (path) => names.get(path)?.content,
    openAppend: async (path) => openStored(names.get(path) ?? create(path)),
    create: async (path) => openStored(create(path)),
    rename: async (from, to) => {
      throwInjectedFault('rename');
      names.set(to, names.get(from)!);
      names.delete(from);
    },
    remove: async (path) => {
      names.delete(path);
    },
    syncFolder: async () => {
      throwInjectedFault('syncFolder');
      durableNames = new Map(names);
    },
    failFrom: (operation, count, code) => {
      faults.set(operation, { at: (calls.get(operation) ?? 0) + count, code });
    },
    crash: (survivingBytes, tail) => {
      faults.clear();
      names = new Map(
        [...durableNames].map(([name, stored]) => [
          name,
          contentAfterCrash(stored, survivingBytes, tail),
        ]),
      );
      durableNames = new Map(names);
    },
    flipBit: (path, offset, bit) => {
      const stored = names.get(path)!;
      const content = Buffer.from(stored.content);
      content.writeUInt8(content.readUInt8(offset) ^ (2 ** bit), offset); // eslint-disable-line no-bitwise
      stored.content = content;
    },
    deleteFile: (path) => {
      names.delete(path);
    },
    size: (path) => names.get(path)?.content.length ?? 0,
    syncs: () => syncs,
  };
};
