/**
 * Metrics of tenants and of the authentication of their calls. API keys appear in no label, and
 * names of tenants only up to a limit.
 */
import type { AuthenticationProblem } from '../../core/tenants/authentication.js';
import { tenantDirectoryOf } from '../../core/tenants/tenantDirectory.js';
import type { Configuration } from '../../types/public.js';
import type { FailureReason } from '../../utils/failure.js';
import { createLabelLimiter, type Metrics } from '../metrics.js';

/** Maximum number of tenants that have a label of their own. */
const maxTenantLabels = 100;
/** Names of tenants may be longer than a label should be. */
const maxLabelLength = 64;

export interface TenantMetrics {
  /** A call was accepted; `tenant` is the name of its tenant, if it has one. */
  recordAuthenticated(kind: 'tenant' | 'exempt' | 'nested', tenant: string | undefined): void;
  recordRefusal(reason: FailureReason, problem: AuthenticationProblem): void;
  /** Updates the numbers of tenants. */
  recordConfiguration(configuration: Configuration): void;
}

/** Registers the metrics of tenants. */
export const createTenantMetrics = (metrics: Metrics): TenantMetrics => {
  const limitLabel = createLabelLimiter(maxTenantLabels);
  const authenticated = metrics.counter(
    'auburnsill_authenticated_calls_total',
    'Calls accepted in a configuration with tenants, by how they were authenticated.',
    ['kind'],
  );
  const refused = metrics.counter(
    'auburnsill_unauthenticated_calls_total',
    'Calls refused in a configuration with tenants, by reason and by what was wrong.',
    ['reason', 'problem'],
  );
  const tenantCalls = metrics.counter(
    'auburnsill_tenant_calls_total',
    'Calls authenticated with an API key, by tenant.',
    ['tenant'],
  );
  const tenants = metrics.gauge('auburnsill_tenants', 'Tenants of the configuration in force.');
  const withoutKey = metrics.gauge(
    'auburnsill_tenants_without_key',
    'Tenants without any API key in force.',
  );
  return {
    recordAuthenticated: (kind, tenant) => {
      authenticated.inc({ kind });
      if (tenant !== undefined) {
        tenantCalls.inc({ tenant: limitLabel(tenant.slice(0, maxLabelLength)) });
      }
    },
    recordRefusal: (reason, problem) => refused.inc({ reason, problem }),
    recordConfiguration: (configuration) => {
      const directory = tenantDirectoryOf(configuration);
      tenants.set(directory?.tenants ?? 0);
      withoutKey.set(directory?.tenantsWithoutKey ?? 0);
    },
  };
};
