/**
 * Watches the platform's settings file. It is reloaded on a signal and, since it may change without
 * a signal, when its modification time changes. An invalid file is ignored.
 */
import { stat } from 'node:fs/promises';
import type { Log } from '../utils/log.js';
import type { Timer } from '../utils/timer.js';
import { readPlatformSettings, type PlatformSettings } from './settings.js';

/** Keeps a reload within the 2 s in which the platform expects a new configuration to apply. */
const checkPeriodMs = 1_000;

export interface SettingsWatch {
  current(): PlatformSettings;
  reload(): void;
}

/** Starts watching the settings file; `initial` are the settings that were read at the start. */
export const watchSettings = (
  file: string,
  initial: PlatformSettings,
  timer: Timer,
  log: Log,
): SettingsWatch => {
  let current = initial;
  let modifiedAtMs: number | undefined;

  const reload = () => {
    try {
      const before = JSON.stringify(current);
      current = readPlatformSettings(file);
      if (JSON.stringify(current) === before) {
        return;
      }
      log.info('settings reloaded', { seeds: current.seeds.join(','), service: current.service });
    } catch (error) {
      log.error('invalid settings ignored', { error: String(error) });
    }
  };

  const checkModified = async () => {
    const { mtimeMs } = await stat(file);
    // The file may have changed between the reading at the start and the first check, which
    // therefore reads it again.
    if (mtimeMs !== modifiedAtMs) {
      modifiedAtMs = mtimeMs;
      reload();
    }
  };

  timer.every(checkPeriodMs, () => {
    checkModified().catch((error: unknown) => {
      log.warn('settings file is not accessible', { error: String(error) });
    });
  });
  return { current: () => current, reload };
};
