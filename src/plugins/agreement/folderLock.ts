/**
 * Lock file of a data folder, which names the process that uses the folder. Node.js has no file
 * locks, so a stale lock, whose process no longer runs, is recognised by process id and start time
 * and is taken over. The lock file is created by a hard link, so that it appears atomically with
 * its content. On a file system without hard links it is created exclusively, which also succeeds
 * for only one process at a time.
 */
import { randomUUID } from 'node:crypto';
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { Failure } from '../../utils/failure.js';

const lockName = 'lock';
const maxTakeovers = 3;
/** Position of the start time in /proc/PID/stat, counted after the command name. */
const startTimeField = 19;

/** Error codes of file systems without hard links. */
const noLinkCodes: ReadonlySet<string | undefined> = new Set(['ENOSYS', 'EPERM', 'ENOTSUP']);

/** Creates a hard link, or a copy if hard links are not supported. Throws EEXIST if `to` exists. */
export const linkOrCopy = async (
  from: string,
  to: string,
  makeLink: typeof link = link,
): Promise<void> => {
  try {
    await makeLink(from, to);
  } catch (error) {
    if (!noLinkCodes.has((error as NodeJS.ErrnoException).code)) {
      throw error;
    }
    await writeFile(to, await readFile(from), { flag: 'wx', mode: 0o600 });
  }
};

const readText = async (path: string): Promise<string | undefined> => {
  try {
    return await readFile(path, 'utf8');
  } catch {
    return undefined;
  }
};

/** Start time of a process in clock ticks since boot; undefined if the process does not run. */
const startTimeOf = async (pid: string): Promise<string | undefined> => {
  const stat = await readText(`/proc/${pid}/stat`);
  return stat?.slice(stat.lastIndexOf(')') + 2).split(' ')[startTimeField];
};

const isOwnerRunning = async (content: string): Promise<boolean> => {
  const [pid = '', startTime] = content.trim().split(' ');
  return /^\d+$/.test(pid) && startTime !== undefined && (await startTimeOf(pid)) === startTime;
};

/** Locks the folder and returns a function that unlocks it. Throws `folder_locked`. */
export const lockFolder = async (folder: string): Promise<() => Promise<void>> => {
  const lockPath = `${folder}/${lockName}`;
  const ownPath = `${folder}/${lockName}.${process.pid}.${randomUUID()}`;
  const content = `${process.pid} ${await startTimeOf(String(process.pid))}\n`;

  const tryLock = async (): Promise<boolean> => {
    try {
      await linkOrCopy(ownPath, lockPath);
      return true;
    } catch (error) {
      if ((error as NodeJS.ErrnoException).code !== 'EEXIST') {
        throw error;
      }
      return false;
    }
  };

  const takeOver = async (): Promise<void> => {
    const existing = await readText(lockPath);
    if (existing === undefined) {
      return;
    }
    if (await isOwnerRunning(existing)) {
      const [pid] = existing.split(' ');
      throw new Failure('folder_locked', `${folder} is used by process ${pid}`);
    }
    // Only one process succeeds with the rename; any other finds no lock file and tries again.
    await rename(lockPath, `${ownPath}.stale`).catch(() => undefined);
    const moved = await readText(`${ownPath}.stale`);
    if (moved !== undefined && moved !== existing) {
      await linkOrCopy(`${ownPath}.stale`, lockPath).catch(() => undefined);
    }
    await rm(`${ownPath}.stale`, { force: true });
  };

  try {
    await writeFile(ownPath, content, { mode: 0o600 });
    for (let attempt = 0; attempt < maxTakeovers; attempt += 1) {
      if (await tryLock()) {
        return () => rm(lockPath, { force: true });
      }
      await takeOver();
    }
    throw new Failure('folder_locked', `${folder} is being taken over by another process`);
  } finally {
    await rm(ownPath, { force: true });
  }
};
