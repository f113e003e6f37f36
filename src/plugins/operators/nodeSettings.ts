/**
 * Settings of a node, see docs/design.md.
 */
import * as z from 'zod';
import { defaultQuotaBounds, type QuotaSettings } from '../../core/quota/quotaBounds.js';
import { parseAddress } from '../rpc.js';
import { readTokenFile } from './tokenFile.js';
import { readSettings } from '../../utils/settings.js';

const maxAddresses = 64;

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
  /** Addresses that other processes use, if they differ from the listen addresses. */
  advertise: z.strictObject({ forward: address.optional(), peer: address.optional() }).optional(),
  cluster: z.strictObject({
    name,
    token_file: z.string().min(1),
    control: z
      .array(z.strictObject({ address, data_centre: name }))
      .min(1)
      .max(maxAddresses),
    peers: z.array(address).max(maxAddresses).default([]),
  }),
  /** Network link of the instance. The node cannot detect its rate. */
  link: z.strictObject({ rate_mbps: z.number().positive().optional() }).optional(),
  admission: z
    .strictObject({
      /** Calls are refused at arrival if their nested calls will find no slot. */
      whole_call: z.boolean().default(false),
    })
    .default({ whole_call: false }),
  routing: z
    .strictObject({
      /** The calls of a new or recovered endpoint grow with its answers, and not with time. */
      adaptive_pace: z.boolean().default(false),
    })
    .default({ adaptive_pace: false }),
  log: z
    .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
    .default({ level: 'info' }),
});

export type NodeSettings = z.infer<typeof schema> & {
  readonly token: string;
  readonly quota: QuotaSettings;
};

/** Reads the settings of a node and its token. Throws a FindingsError with all problems. */
export const readNodeSettings = (file: string): NodeSettings => {
  let token = '';
  const settings = readSettings(file, schema, (value) => {
    const tokenFile = readTokenFile(file, value);
    token = tokenFile.token;
    return tokenFile.findings;
  });
  // The control instances of each data centre own one share of the tenants' rates.
  const shares = new Set(settings.cluster.control.map((control) => control.data_centre)).size;
  return { ...settings, token, quota: { shares, bounds: defaultQuotaBounds } };
};
