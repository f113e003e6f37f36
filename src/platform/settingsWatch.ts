/**
 * Keeps the platform's settings current: the file is read again on a signal and when its time of
 * change differs, since it may change without a signal. A file with problems changes nothing.
 */
import { stat } from 'node:fs/promises';
import type { Log } from '../utils/log.js';
import type { Timer } from '../utils/timer.js';
import { readPlatformSettings, type PlatformSettings } from './settings.js';

/** A change is taken over within the time that the platform gives a new configuration, 2 s. */
const checkPeriodMs = 1_000;

export interface SettingsWatch {
  current(): PlatformSettings;
  reload(): void;
}

/** Starts to watch the settings file; `initial` is what was read from it at the start. */
export const watchSettings = (
  file: string,
  initial: PlatformSettings,
  timer: Timer,
  log: Log,
): SettingsWatch => {
  let current = initial;
  let changedAt: number | undefined;

  const reload = () => {
    try {
      current = readPlatformSettings(file);
      log.info('settings read again', { seeds: current.seeds.join(','), service: current.service });
    } catch (error) {
      log.error('settings not taken', { error: String(error) });
    }
  };

  const check = async () => {
    const { mtimeMs } = await stat(file);
    if (changedAt !== undefined && mtimeMs !== changedAt) {
      reload();
    }
    changedAt = mtimeMs;
  };

  timer.every(checkPeriodMs, () => {
    check().catch((error: unknown) => {
      log.warn('settings file not found', { error: String(error) });
    });
  });
  return { current: () => current, reload };
};
