/**
 * Checks of a file on its own, without the fleet. The kind of file is told by its tables.
 */
import type { z } from 'zod';
import { checkConfiguration, parseTargets } from '../core/configuration.js';
import type { Inventory } from '../types/internal.js';
import type { Configuration, Finding } from '../types/public.js';
import { checkValue, parseTomlText } from '../utils/settings.js';
import { cliSettingsSchema } from './connectionSettings.js';

export type FileKind = 'targets' | 'node settings' | 'control settings' | 'command line settings';

interface CheckedFile {
  readonly kind: FileKind;
  readonly findings: readonly Finding[];
}

const emptyInventory: Inventory = { clusters: new Map(), delayMs: () => 0, dataCentres: [] };

/** Every service counts as expected, since no endpoint is known here. */
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

const settingsSchemas: Partial<Record<FileKind, z.ZodType>> = {
  'command line settings': cliSettingsSchema,
};

const kindOf = (value: Readonly<Record<string, unknown>>): FileKind => {
  if ('node' in value) {
    return 'node settings';
  }
  if (Array.isArray(value.control) || 'token_file' in value) {
    return 'command line settings';
  }
  return 'control' in value ? 'control settings' : 'targets';
};

export const checkFile = (text: string, file: string): CheckedFile => {
  const { value, findings } = parseTomlText(text, file);
  if (!value) {
    return { kind: 'targets', findings };
  }
  const kind = kindOf(value);
  const schema = settingsSchemas[kind];
  return schema
    ? { kind, findings: checkValue(value, file, schema).findings }
    : { kind, findings: checkTargets(text, file) };
};
