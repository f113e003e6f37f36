/**
 * Checks of a single file without the fleet. The kind of the file is detected from its tables.
 */
import { readNodeSettings } from '../plugins/operators/nodeSettings.js';
import { checkConfiguration, parseTargets } from '../core/operators/configuration.js';
import type { Inventory } from '../types/internal.js';
import type { Configuration, Finding } from '../types/public.js';
import { FindingsError } from '../utils/findings.js';
import { parseTomlText, readSettings } from '../utils/settings.js';
import { readControlSettings } from '../plugins/operators/controlSettings.js';
import { cliSettingsSchema } from './connectionSettings.js';

export type FileKind = 'targets' | 'node settings' | 'control settings' | 'command line settings';

interface CheckedFile {
  readonly kind: FileKind;
  readonly findings: readonly Finding[];
}

const emptyInventory: Inventory = { clusters: new Map(), delayMs: () => 0, dataCentres: [] };

/** Marks all services as expected, since no endpoints are known here. */
const withExpectedServices = (configuration: Configuration): Configuration => ({
  ...configuration,
  services: Object.fromEntries(
    Object.keys(configuration.services).map((name) => [name, { name, expected: true }]),
  ),
});

const checkTargets = (text: string, file: string): Finding[] => {
  const { configuration, findings } = parseTargets(text, file);
  return configuration
    ? checkConfiguration(withExpectedServices(configuration), emptyInventory).map((finding) => ({
        ...finding,
        place: `${file}: ${finding.place}`,
      }))
    : findings;
};

const detectKind = (value: Readonly<Record<string, unknown>>): FileKind => {
  if ('node' in value) {
    return 'node settings';
  }
  if (Array.isArray(value.control) || 'token_file' in value) {
    return 'command line settings';
  }
  return 'control' in value ? 'control settings' : 'targets';
};

const collectFindings = (read: () => unknown): readonly Finding[] => {
  try {
    read();
    return [];
  } catch (error) {
    if (error instanceof FindingsError) {
      return error.findings;
    }
    throw error;
  }
};

const checks: Readonly<Record<FileKind, (text: string, file: string) => readonly Finding[]>> = {
  targets: checkTargets,
  'node settings': (_, file) => collectFindings(() => readNodeSettings(file)),
  'control settings': (_, file) => collectFindings(() => readControlSettings(file)),
  'command line settings': (_, file) =>
    collectFindings(() => readSettings(file, cliSettingsSchema)),
};

/** Checks the file with the given text, and the files that it refers to. */
export const checkFile = (text: string, file: string): CheckedFile => {
  const { value, findings } = parseTomlText(text, file);
  if (!value) {
    return { kind: 'targets', findings };
  }
  const kind = detectKind(value);
  return { kind, findings: checks[kind](text, file) };
};
