/**
 * Interface between the calls server and the limit on the rate of each tenant.
 */
import type { Cancel } from '../utils/timer.js';
import type { Version } from './public.js';
import type { Tenant } from './tenants.js';

/** A token that a call holds. */
export interface QuotaToken {
  /** Address of the owner that granted it; empty for a token of the node's reserve. */
  readonly owner: string;
  /** Monotonic time in ms until which it can be used or given back. */
  readonly expiresAt: number;
}

/** Decision on one call. `quota_unavailable`: no owner of a share of the rate can be reached. */
export type QuotaDecision =
  | { readonly isAllowed: true; readonly token: QuotaToken }
  | {
      readonly isAllowed: false;
      readonly reason: 'quota_exceeded' | 'quota_unavailable';
      readonly retryAfterMs: number;
    };

export interface QuotaGate {
  readonly commands: {
    /**
     * Takes a token of the tenant for a call. Calls `onDecision` once, possibly before it returns.
     * The returned function gives up waiting.
     */
    take(tenant: Tenant, version: Version, onDecision: (decision: QuotaDecision) => void): Cancel;
    /** Returns the token of a call that was refused without being run. */
    giveBack(tenant: Tenant, token: QuotaToken): void;
  };
}
