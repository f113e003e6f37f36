/**
 * Access to files, behind an interface so that tests can inject failed syncs, torn writes, full
 * disks and bit flips.
 */
import { mkdir, open, readdir, readFile, rename, rm } from 'node:fs/promises';

/** A file that is open for appending. */
export interface DataFile {
  append(bytes: Uint8Array): Promise<void>;
  /** Resolves once everything that was appended is durable. */
  sync(): Promise<void>;
  /** Cuts the file to `size` bytes. */
  truncate(size: number): Promise<void>;
  close(): Promise<void>;
}

export interface Files {
  makeFolder(path: string): Promise<void>;
  /** Names in a folder. */
  list(path: string): Promise<readonly string[]>;
  /** Undefined if there is no such file. */
  read(path: string): Promise<Uint8Array | undefined>;
  /** Opens a file at its end, and creates it if needed. */
  openAppend(path: string): Promise<DataFile>;
  /** Creates an empty file, or empties the one that is there. */
  create(path: string): Promise<DataFile>;
  rename(from: string, to: string): Promise<void>;
  remove(path: string): Promise<void>;
  /** Makes names in the folder durable. */
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

/** Files of the local file system. */
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

/** Writes a file so that after a crash either the old or the new content is there. */
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
    // What was written in part would take up the room that another try needs.
    await file.truncate(0);
    throw error;
  } finally {
    await file.close();
  }
  await files.rename(temporary, `${folder}/${name}`);
  await files.syncFolder(folder);
};
