/**
 * Tenants of a configuration by the digests of their API keys.
 */
import { createHash } from 'node:crypto';
import type { Configuration } from '../../types/public.js';
import type { Tenant } from '../../types/tenants.js';

export interface TenantDirectory {
  /** Returns the tenant that holds the API key. */
  find(apiKey: string): Tenant | undefined;
  /** Number of tenants. */
  readonly tenants: number;
  /** Number of tenants without any key, whose callers are all refused. */
  readonly tenantsWithoutKey: number;
}

type Tenants = NonNullable<Configuration['tenants']>;

const createDirectory = (tenants: Tenants): TenantDirectory => {
  const all = Object.values(tenants);
  const byDigest = new Map(
    all.flatMap((tenant) => tenant.keyDigests.map((digest) => [digest, tenant] as const)),
  );
  return {
    find: (apiKey) => byDigest.get(createHash('sha256').update(apiKey).digest('hex')),
    tenants: all.length,
    tenantsWithoutKey: all.filter(({ keyDigests }) => keyDigests.length === 0).length,
  };
};

/** Cached by record of tenants: records are immutable, and successive configurations share them. */
const directories = new WeakMap<Tenants, TenantDirectory>();

/** Returns the directory of a configuration; undefined if it has no tenants. */
export const tenantDirectoryOf = ({ tenants }: Configuration): TenantDirectory | undefined => {
  if (!tenants) {
    return undefined;
  }
  const directory = directories.get(tenants) ?? createDirectory(tenants);
  directories.set(tenants, directory);
  return directory.tenants > 0 ? directory : undefined;
};

/** Name of a tenant for upstreams, log lines and metrics. */
export const tenantLabel = ({ name, displayName = name }: Tenant): string => displayName;
