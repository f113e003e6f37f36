/**
 * Tenants in the documents of the platform's operators. API keys are reduced to digests here.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import { tenantNamePattern } from '../core/operators/targets.js';
import type { Finding } from '../types/public.js';
import type { Tenant } from '../types/tenants.js';

/** Text that a header value carries unchanged: visible ASCII, with spaces only inside. */
const headerText = /^[\x21-\x7e](?:[\x20-\x7e]*[\x21-\x7e])?$/;

export const tenantSchema = z.object({
  api_keys: z.array(
    z
      .string()
      .min(1, 'a key of at least one character')
      .regex(headerText, 'visible ASCII characters, without spaces at the ends'),
  ),
  /** Rank, with 0 as the highest. */
  priority: z.number().int().min(0).optional(),
  /** 0 means no limit. */
  rate_per_s: z.number().min(0).optional(),
  burst: z.number().min(0).optional(),
});

/** SHA-256 of an API key in hexadecimal. */
export const digestKey = (key: string): string => createHash('sha256').update(key).digest('hex');

export interface TenantNames {
  /** Name in the configuration. */
  readonly name: string;
  /** Name in the document. */
  readonly givenName: string;
}

export const checkTenantName = (givenName: string, place: string): Finding[] =>
  tenantNamePattern.test(givenName)
    ? []
    : [
        {
          place: `${place}: metadata.name`,
          message: 'invalid value',
          allowed: '1 to 256 visible ASCII characters',
        },
      ];

/** Converts a tenant; a burst without a rate has no effect and is dropped. */
export const toTenant = (
  { name, givenName }: TenantNames,
  spec: z.output<typeof tenantSchema>,
  importanceOf: (rank: number) => number,
): Tenant => {
  const { api_keys: keys, priority, rate_per_s: rate = 0, burst = 0 } = spec;
  return {
    name,
    ...(givenName !== name && { displayName: givenName }),
    keyDigests: keys.map(digestKey),
    ...(priority !== undefined && { importance: importanceOf(priority) }),
    ...(rate > 0 && { ratePerSecond: rate, ...(burst > 0 && { burst }) }),
  };
};
