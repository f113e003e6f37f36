/**
 * Lock of a data folder: a file that names the process that uses it. Node.js has no file locks, so
 * a lock whose process is gone is recognised by process id and start time and is taken over. A hard
 * link makes the lock appear with its content at once; a file system without hard links gets an
 * exclusive create, which one process at a time wins as well.
 */
import { randomUUID } from 'node:crypto';
import { link, readFile, rename, rm, writeFile } from 'node:fs/promises';
import { Failure } from '../../utils/failure.js';

const lockName = 'lock';
const maxTakeovers = 3;
/** Position of the start time in /proc/PID/stat, counted after the command name. */
const startTimeField = 19;

/** Errors of a file system that has no hard links. */
const noLinkCodes: ReadonlySet<string | undefined> = new Set(['ENOSYS', 'EPERM', 'ENOTSUP']);

/** Gives a file a second name, or copies it where that is not possible. Throws EEXIST. */
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

/** Start time of a process in clock ticks since boot; undefined if it does not run. */
const startTimeOf = async (pid: string): Promise<string | undefined> => {
  const stat = await readText(`/proc/${pid}/stat`);
  return stat?.slice(stat.lastIndexOf(')') + 2).split(' ')[startTimeField];
};

const isHeld = async (content: string): Promise<boolean> => {
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
    const held = await readText(lockPath);
    if (held === undefined) {
      return;
    }
    if (await isHeld(held)) {
      const [pid] = held.split(' ');
      throw new Failure('folder_locked', `${folder} is used by process ${pid}`);
    }
    // A rename has one winner; the loser finds that the lock is gone and tries again.
    await rename(lockPath, `${ownPath}.stale`).catch(() => undefined);
    const moved = await readText(`${ownPath}.stale`);
    if (moved !== undefined && moved !== held) {
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
