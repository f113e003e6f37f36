/**
 * Findings about tenants. API keys are secrets, so no finding shows a value that may be one.
 */
import type { Finding } from '../../types/public.js';
import type { Tenant } from '../../types/tenants.js';
import { tenantLabel } from './tenantDirectory.js';

/** Fields of tenants and documents whose values are numbers. */
const numericFields = new Set([
  'priority',
  'importance',
  'rate',
  'rate_per_s',
  'burst',
  'version',
  'base_version',
]);
const numberText = /^(?:-?\d[\d.e+-]*|null|nothing)$/;

/**
 * Removes the found value from a finding if it may contain an API key, which is the case for all but
 * numbers in numeric fields.
 */
export const hideFound = (finding: Finding): Finding => {
  const { found, ...rest } = finding;
  if (found === undefined || found === 'nothing') {
    return finding;
  }
  const field = finding.place.split(/[.\s]/).at(-1) ?? '';
  return numericFields.has(field) && numberText.test(found)
    ? finding
    : { ...rest, found: 'a value that is not shown' };
};

/**
 * Finds keys that are listed more than once, by two tenants or by one. `field` returns the location
 * of a key in the input.
 */
export const checkSharedKeys = (
  tenants: readonly Tenant[],
  field: (tenant: string, index: number) => string,
): Finding[] => {
  const owners = new Map<string, string>();
  return tenants.flatMap((tenant) =>
    tenant.keyDigests.flatMap((digest, index) => {
      const place = field(tenantLabel(tenant), index);
      const first = owners.get(digest);
      if (first === undefined) {
        owners.set(digest, place);
        return [];
      }
      return [{ place, message: `the same key as ${first}`, allowed: 'each key once' }];
    }),
  );
};
