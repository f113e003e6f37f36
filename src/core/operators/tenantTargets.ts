/**
 * Tenants in target files. Operators give the digests of API keys, so a file holds no secret.
 */
import * as z from 'zod';
import type { Finding } from '../../types/public.js';
import type { Tenant } from '../../types/tenants.js';
import { checkSharedKeys, hideFound } from '../tenants/tenantFindings.js';

const digestPrefix = 'sha256:';
const keyPattern = /^sha256:[0-9a-f]{64}$/;

export const tenantTargetSchema = z
  .strictObject({
    keys: z
      .array(z.string().regex(keyPattern, 'sha256: and the SHA-256 of a key in 64 hex digits'))
      .max(256),
    importance: z.number().int().min(1).max(100).optional(),
    rate: z.number().gt(0).max(1e9).optional(),
    burst: z.number().min(0).max(1e9).optional(),
  })
  .refine(({ rate, burst }) => burst === undefined || rate !== undefined, {
    path: ['burst'],
    message: 'a burst only with a rate',
  });

export type TenantTarget = z.output<typeof tenantTargetSchema>;

export const toTenant = (name: string, target: TenantTarget): Tenant => ({
  name,
  keyDigests: target.keys.map((key) => key.slice(digestPrefix.length)),
  ...(target.importance !== undefined && { importance: target.importance }),
  ...(target.rate !== undefined && { ratePerSecond: target.rate }),
  ...(target.burst !== undefined && { burst: target.burst }),
});

/** Finds keys that are listed more than once. */
export const checkTenantKeys = (
  tenants: Readonly<Record<string, Tenant>>,
  file: string,
): Finding[] =>
  checkSharedKeys(
    Object.values(tenants),
    (tenant, index) => `${file}: tenant.${tenant}.keys.${index}`,
  );

/** Hides values that may be API keys: an operator may give a key in place of its digest. */
export const hideTenantValues = (finding: Finding, file: string): Finding => {
  const path = finding.place.slice(`${file}: `.length);
  const isTable = /^[[{]/.test(finding.found ?? '');
  return path.startsWith('tenant') || (isTable && !path.includes('.'))
    ? hideFound(finding)
    : finding;
};
