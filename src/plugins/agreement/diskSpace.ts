/**
 * Retries of writes to a full disk. A write that failed for lack of space has not changed any
 * durable data, so it can be repeated. Meanwhile the process continues all work that needs no disk.
 */
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

/** Error codes of writes that exceed the space or the quota on the disk. */
const diskFullCodes: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);
/** Time between two attempts, in ms: a fifth of the election timeout. */
const retryMs = 200;

/** True if a write failed only because the disk is full. */
export const isDiskFull = (error: unknown): boolean =>
  error instanceof Failure
    ? error.reason === 'storage_full'
    : diskFullCodes.has((error as NodeJS.ErrnoException | undefined)?.code);

export interface DiskRetryOptions {
  readonly timer: Timer;
  readonly log: Log;
  /** Once this returns true, the error of the last attempt is thrown. */
  readonly isStopped?: () => boolean;
}

/** Repeats an operation until it no longer fails because the disk is full. */
export const retryWhileDiskFull = async <Value>(
  operation: () => Promise<Value>,
  { timer, log, isStopped = () => false }: DiskRetryOptions,
): Promise<Value> => {
  for (let tries = 1; ; tries += 1) {
    try {
      const value = await operation();
      if (tries > 1) {
        log.info('the disk has room again', { tries });
      }
      return value;
    } catch (error) {
      if (!isDiskFull(error) || isStopped()) {
        throw error;
      }
      if (tries === 1) {
        log.error('the disk is full, writes wait for room', { error: String(error) });
      }
      await timer.sleep(retryMs);
    }
  }
};
