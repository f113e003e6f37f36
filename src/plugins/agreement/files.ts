/**
 * File access behind an interface, so that tests can inject failed syncs, torn writes, full disks
 * and bit flips.
 */
import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';

/** A file opened for appending. */
export interface DataFile {
  append(bytes: Uint8Array): Promise<void>;
  /** Resolves once all appended bytes are durable. */
  sync(): Promise<void>;
  /** Truncates the file to `size` bytes. */
  truncate(size: number): Promise<void>;
  close(): Promise<void>;
}

export interface Files {
  makeFolder(path: string): Promise<void>;
  /** Lists the names in a folder. */
  list(path: string): Promise<readonly string[]>;
  /** Resolves with undefined if the file does not exist. */
  read(path: string): Promise<Uint8Array | undefined>;
  /** Opens a file for appending. Creates it if it does not exist. */
  openAppend(path: string): Promise<DataFile>;
  /** Creates an empty file, or truncates an existing one. */
  create(path: string): Promise<DataFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes created, renamed and removed names in the folder durable. */
  syncFolder(path: string): Promise<void>;
}

const isMissing = (error: unknown): boolean =>
  (error as NodeJS.ErrnoException | undefined)?.code === 'ENOENT';

const openFile = async (path: string, flags: string): Promise<DataFile> => {
  const handle = await open(path, flags, 0o600);
  return {
    append: (bytes) => handle.appendFile(bytes),
    sync: () => handle.datasync(),
    truncate: (size) => handle.truncate(size),
    close: () => handle.close(),
  };
};

/** Creates the implementation on the local file system. */
export const createFiles = (): Files => ({
  makeFolder: async (path) => {
    await mkdir(path, { recursive: true, mode: 0o700 });
  },
  list: (path) => readdir(path),
  read: async (path) => {
    try {
      return await readFile(path);
    } catch (error) {
      if (isMissing(error)) {
        return undefined;
      }
      throw error;
    }
  },
  openAppend: (path) => openFile(path, 'a'),
  create: (path) => openFile(path, 'w'),
  rename,
  remove: (path) => rm(path, { force: true }),
  syncFolder: async (path) => {
    const handle = await open(path, 'r');
    try {
      await handle.sync();
    } finally {
      await handle.close();
    }
  },
});

/** Replaces a file atomically: after a crash it has either the old or the new content. */
export const replaceFile = async (
  files: Files,
  folder: string,
  name: string,
  bytes: Uint8Array,
): Promise<void> => {
  const temporary = `${folder}/${name}.new`;
  const file = await files.create(temporary);
  try {
    await file.append(bytes);
    await file.sync();
  } catch (error) {
    // The partly written file would occupy disk space that the next attempt needs.
    await file.truncate(0);
    throw error;
  } finally {
    await file.close();
  }
  await files.rename(temporary, `${folder}/${name}`);
  await files.syncFolder(folder);
};
