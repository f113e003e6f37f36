/**
 * Token of one call, from the request for it until the call is over.
 */
import type { AttemptFailureReport } from '../../types/calls.js';
import type { Version } from '../../types/public.js';
import type { QuotaDecision, QuotaGate } from '../../types/quota.js';
import type { Tenant } from '../../types/tenants.js';

type Refused = Extract<QuotaDecision, { isAllowed: false }>;

export interface CallToken {
  /** A promise only if the call has to wait. It stays pending if the call ends before. */
  readonly decision: QuotaDecision | Promise<QuotaDecision>;
  /** The call is over: gives up its place, or returns the token of a call that was not run. */
  end(mayHaveRun: boolean): void;
}

/** True if calls of the tenant need a token. */
export const hasRate = (tenant: Tenant | undefined): tenant is Tenant =>
  tenant?.ratePerSecond !== undefined && tenant.ratePerSecond > 0;

export const takeCallToken = (gate: QuotaGate, tenant: Tenant, version: Version): CallToken => {
  let decided: QuotaDecision | undefined;
  let onDecision: ((decision: QuotaDecision) => void) | undefined;
  let isEnded = false;
  const giveUp = gate.commands.take(tenant, version, (decision) => {
    decided = decision;
    onDecision?.(decision);
  });
  return {
    decision:
      decided ??
      new Promise((resolve) => {
        onDecision = resolve;
      }),
    end: (mayHaveRun) => {
      if (isEnded) {
        return;
      }
      isEnded = true;
      giveUp();
      if (decided?.isAllowed && !mayHaveRun) {
        gate.commands.giveBack(tenant, decided.token);
      }
    },
  };
};

export const refuseForQuota = (
  { reason, retryAfterMs }: Refused,
  { name }: Tenant,
): AttemptFailureReport => ({
  reason,
  run: 'not_run',
  detail: `tenant ${name}`,
  retried: false,
  retryAfterMs,
});
