/**
 * Waiting for room on a full disk. A write that found no room has changed nothing that was durable, so
 * it can be repeated; the process goes on with all that needs no disk meanwhile.
 */
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

/** Error codes of writes for which the disk, or the quota on it, has no room. */
const fullCodes: ReadonlySet<string | undefined> = new Set(['ENOSPC', 'EDQUOT']);
/** Time between two tries, in ms: a fifth of an election timeout. */
const retryMs = 200;

/** Whether a write failed for want of room alone. */
export const isDiskFull = (error: unknown): boolean =>
  error instanceof Failure
    ? error.reason === 'storage_full'
    : fullCodes.has((error as NodeJS.ErrnoException | undefined)?.code);

export interface DiskRetryOptions {
  readonly timer: Timer;
  readonly log: Log;
  /** A wait ends with the error of the last try once this is true. */
  readonly isStopped?: () => boolean;
}

/** Repeats a step until the disk has room for it. */
export const retryWhileDiskFull = async <Value>(
  step: () => Promise<Value>,
  { timer, log, isStopped = () => false }: DiskRetryOptions,
): Promise<Value> => {
  for (let tries = 1; ; tries += 1) {
    try {
      const value = await step();
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
