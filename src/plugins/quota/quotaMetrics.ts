/**
 * Metrics of tokens, on nodes and on owners of shares.
 */
import { Counter, Gauge } from 'prom-client';
import type { TokenCounts, TokenLedger } from '../../core/quota/tokenLedger.js';
import { createLabelLimiter, type Metrics } from '../metrics.js';

/** Series by tenant name are limited to this number; further tenants are counted as `other`. */
const maxTenantLabels = 100;

export interface NodeQuotaMetrics {
  refused(tenant: string, reason: string): void;
  observeDraw(result: 'answered' | 'failed', ms: number): void;
}

/** Registers the metrics of a node. Those of its tokens are read on collection. */
export const createNodeQuotaMetrics = (
  metrics: Metrics,
  { queries }: TokenLedger,
): NodeQuotaMetrics => {
  const registers = [metrics.registry];
  const limitTenant = createLabelLimiter(maxTenantLabels);
  let counted = queries.counts();
  const tokens: Counter<'event'> = new Counter({
    name: 'auburnsill_quota_tokens_total',
    help: 'Tokens of this node: drawn, expired or void before use, returned, taken from the reserve.',
    labelNames: ['event'],
    registers,
    collect: () => {
      const counts = queries.counts();
      (Object.keys(counts) as (keyof TokenCounts)[]).forEach((event) =>
        tokens.inc({ event }, counts[event] - counted[event]),
      );
      counted = counts;
    },
  });
  const owners: Gauge = new Gauge({
    name: 'auburnsill_quota_owners_reachable',
    help: 'Control instances that answered the last draw as owners of a share.',
    registers,
    collect: () => owners.set(queries.reachableOwners()),
  });
  const waiting: Gauge = new Gauge({
    name: 'auburnsill_quota_waiting_calls',
    help: 'Calls that wait for a token.',
    registers,
    collect: () => waiting.set(queries.waiting()),
  });
  const refusals = metrics.counter(
    'auburnsill_quota_refusals_total',
    'Calls refused for the rate of their tenant.',
    ['tenant', 'reason'],
  );
  const draws = metrics.latency(
    'auburnsill_quota_draw_seconds',
    'Time of draws of tokens, by result.',
    ['result'],
  );
  return {
    refused: (tenant, reason) => refusals.inc({ tenant: limitTenant(tenant), reason }),
    observeDraw: (result, ms) => draws.observe({ result }, ms / 1_000),
  };
};

export interface OwnerQuotaMetrics {
  recordDraw(wanted: number, granted: number, returned: number): void;
}

/** Registers the metrics of a control instance. */
export const createOwnerQuotaMetrics = (
  metrics: Metrics,
  state: { isOwner(): boolean; tenants(): number },
): OwnerQuotaMetrics => {
  const registers = [metrics.registry];
  const tokens = metrics.counter(
    'auburnsill_quota_share_tokens_total',
    'Tokens that nodes wanted, were granted and returned.',
    ['event'],
  );
  const draws = metrics.counter('auburnsill_quota_share_draws_total', 'Draws of nodes.');
  const owned: Gauge = new Gauge({
    name: 'auburnsill_quota_share_owned',
    help: '1 if this instance owns the share of its data centre.',
    registers,
    collect: () => owned.set(Number(state.isOwner())),
  });
  const tenants: Gauge = new Gauge({
    name: 'auburnsill_quota_share_tenants',
    help: 'Tenants for which this instance holds a bucket.',
    registers,
    collect: () => tenants.set(state.tenants()),
  });
  return {
    recordDraw: (wanted, granted, returned) => {
      draws.inc();
      tokens.inc({ event: 'wanted' }, wanted);
      tokens.inc({ event: 'granted' }, granted);
      tokens.inc({ event: 'returned' }, returned);
    },
  };
};
