/**
 * Settings of a node, see docs/design.md.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import { z } from 'zod';
import { parseAddress } from '../plugins/rpc.js';
import { FindingsError } from '../utils/findings.js';
import { readSettings } from '../utils/settings.js';

const maxListed = 64;

const name = z
  .string()
  .regex(
    /^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/,
    '1 to 128 letters, digits, dots, dashes, underscores',
  );

const address = z.string().refine((text) => parseAddress(text) !== undefined, 'ip:port');

const schema = z.strictObject({
  node: z.strictObject({ name, data_centre: name, region: name }),
  listen: z.strictObject({ calls: address, forward: address, peer: address, admin: address }),
  /** Addresses that other processes use, if they differ from the ones that are listened on. */
  advertise: z.strictObject({ forward: address.optional(), peer: address.optional() }).optional(),
  cluster: z.strictObject({
    name,
    token_file: z.string().min(1),
    control: z
      .array(z.strictObject({ address, data_centre: name }))
      .min(1)
      .max(maxListed),
    peers: z.array(address).max(maxListed).default([]),
  }),
  log: z
    .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
    .default({ level: 'info' }),
});

export type NodeSettings = z.infer<typeof schema> & { readonly token: string };

const readToken = (settingsFile: string, tokenFile: string): string => {
  const file = resolve(dirname(settingsFile), tokenFile);
  const place = `${settingsFile}: cluster.token_file`;
  let token: string;
  try {
    // Settings are read once, before the loop has other work.
    // eslint-disable-next-line n/no-sync
    token = readFileSync(file, 'utf8').trim();
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new FindingsError('invalid_settings', [{ place, message, found: tokenFile }]);
  }
  if (token === '') {
    throw new FindingsError('invalid_settings', [{ place, message: 'the file is empty' }]);
  }
  return token;
};

/** Reads the settings of a node and its token. Throws a FindingsError with every problem. */
export const readNodeSettings = (file: string): NodeSettings => {
  const settings = readSettings(file, schema);
  return { ...settings, token: readToken(file, settings.cluster.token_file) };
};
