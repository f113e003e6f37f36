/**
 * Addresses of control instances and nodes, and the token of the operator. Options take precedence
 * over environment variables, and those over the settings file.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import * as z from 'zod';
import { parseAddress } from '../plugins/rpc.js';
import { FindingsError } from '../utils/findings.js';
import { readSettings } from '../utils/settings.js';
import { CommandFailure } from './exitCodes.js';

const addressSchema = z
  .string()
  .refine((text) => parseAddress(text) !== undefined, 'an address of the form ip:port');

/** Schema of the settings file of the command line. */
export const cliSettingsSchema = z.strictObject({
  control: z.array(addressSchema).min(1).optional(),
  nodes: z.array(addressSchema).optional(),
  token_file: z.string().optional(),
});

type CliSettings = z.output<typeof cliSettingsSchema>;

export interface ConnectionOptions {
  readonly control?: string;
  readonly nodes?: string;
  readonly tokenFile?: string;
  readonly config?: string;
}

export type Environment = Readonly<Record<string, string | undefined>>;

const readFileSettings = (file: string | undefined): CliSettings => {
  if (file === undefined) {
    return {};
  }
  const settings = readSettings(file, cliSettingsSchema);
  const tokenFile = settings.token_file;
  return tokenFile === undefined
    ? settings
    : { ...settings, token_file: resolve(dirname(file), tokenFile) };
};

const loadSettings = (options: ConnectionOptions, environment: Environment): CliSettings => {
  try {
    return readFileSettings(options.config ?? environment.AUBURNSILL_CONFIG);
  } catch (error) {
    if (error instanceof FindingsError) {
      throw new CommandFailure('usage', error.message, { cause: error });
    }
    throw error;
  }
};

const splitAddresses = (text: string, source: string): string[] => {
  const addresses = text
    .split(',')
    .map((part) => part.trim())
    .filter((part) => part !== '');
  const invalid = addresses.filter((address) => !parseAddress(address));
  if (addresses.length === 0 || invalid.length > 0) {
    const found = invalid.length > 0 ? invalid.join(', ') : JSON.stringify(text);
    throw new CommandFailure('usage', `${source}: ${found} is not an address of the form ip:port`);
  }
  return addresses;
};

const resolveAddresses = (
  option: { name: string; value?: string },
  variable: { name: string; value?: string },
  fileAddresses: readonly string[] | undefined,
): readonly string[] => {
  const text = option.value ?? variable.value;
  if (text === undefined) {
    return fileAddresses ?? [];
  }
  return splitAddresses(text, option.value === undefined ? variable.name : option.name);
};

/** Returns the peer addresses of the control instances. Throws if none is given. */
export const controlAddresses = (
  options: ConnectionOptions,
  environment: Environment,
): readonly string[] => {
  const addresses = resolveAddresses(
    { name: '--control', value: options.control },
    { name: 'AUBURNSILL_CONTROL', value: environment.AUBURNSILL_CONTROL },
    loadSettings(options, environment).control,
  );
  if (addresses.length === 0) {
    throw new CommandFailure(
      'usage',
      'no control instance is given: use --control ADDRESS[,ADDRESS], AUBURNSILL_CONTROL or --config FILE',
    );
  }
  return addresses;
};

/** Returns the admin addresses of the nodes. Throws if none is given. */
export const nodeAddresses = (
  options: ConnectionOptions,
  environment: Environment,
): readonly string[] => {
  const addresses = resolveAddresses(
    { name: '--nodes', value: options.nodes },
    { name: 'AUBURNSILL_NODES', value: environment.AUBURNSILL_NODES },
    loadSettings(options, environment).nodes,
  );
  if (addresses.length === 0) {
    throw new CommandFailure(
      'usage',
      'no node is given: use --nodes ADMIN-ADDRESS[,ADMIN-ADDRESS], AUBURNSILL_NODES or --config FILE',
    );
  }
  return addresses;
};

const readToken = (file: string): string => {
  try {
    // The token is read once, before anything else runs.
    // eslint-disable-next-line n/no-sync
    return readFileSync(file, 'utf8').trim();
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new CommandFailure('usage', `token file: ${message}`, { cause: error });
  }
};

/** Returns the operator's token. Throws if no file is given or the file cannot be read. */
export const operatorToken = (options: ConnectionOptions, environment: Environment): string => {
  const file =
    options.tokenFile ??
    environment.AUBURNSILL_TOKEN_FILE ??
    loadSettings(options, environment).token_file;
  if (file === undefined) {
    throw new CommandFailure(
      'usage',
      'no token file is given: use --token-file FILE, AUBURNSILL_TOKEN_FILE or --config FILE',
    );
  }
  const token = readToken(file);
  // Otherwise the HTTP library would quote an invalid token in its error message.
  if (!/^[\x21-\x7e]+$/.test(token)) {
    throw new CommandFailure('usage', `token file ${file}: not one line of printable characters`);
  }
  return token;
};
