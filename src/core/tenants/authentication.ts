/**
 * Decides who a call belongs to in a configuration with tenants, and which calls are refused for
 * lack of a known API key.
 */
import { maxKnownAgeMs } from '../distribution/freshness.js';
import type { Tenant } from '../../types/tenants.js';
import type { TenantDirectory } from './tenantDirectory.js';

export interface PresentedCall {
  /** API key of the call; undefined without one, empty if the header is malformed. */
  readonly apiKey: string | undefined;
  /** The route needs no key. */
  readonly isExempt: boolean;
  /** Id of the call for which this one is made, if the call names it. */
  readonly parentId: string | undefined;
  /** The local upstream is processing the call with the id `parentId`. */
  readonly isParentInFlight: boolean;
  /** Time since the node's configuration was confirmed, in ms. */
  readonly confirmedAgeMs: number;
}

/** Why a call was refused. `unknown_parent`: no key, and the call that it names is not known. */
export type AuthenticationProblem = 'no_key' | 'unknown_key' | 'unknown_parent';

export type Authentication =
  | { readonly kind: 'tenant'; readonly tenant: Tenant }
  /** The route needs no key, and the call has no known one. */
  | { readonly kind: 'exempt' }
  /** Made by the local upstream for a call that it is processing, and belongs to its tenant. */
  | { readonly kind: 'nested' }
  | {
      readonly kind: 'refused';
      readonly reason: 'unauthenticated_caller' | 'unconfirmed';
      readonly problem: AuthenticationProblem;
    };

const problemOf = ({ apiKey, parentId }: PresentedCall): AuthenticationProblem => {
  if (apiKey !== undefined) {
    return 'unknown_key';
  }
  return parentId === undefined ? 'no_key' : 'unknown_parent';
};

/**
 * Authenticates a call. A known key counts in any case: calls of upstreams carry none. A refusal is
 * only final (`unauthenticated_caller`) if no newer configuration can allow the call, and if it is
 * not made for a call that the node may have forgotten in a restart.
 */
export const authenticate = (directory: TenantDirectory, call: PresentedCall): Authentication => {
  const tenant = call.apiKey ? directory.find(call.apiKey) : undefined;
  if (tenant) {
    return { kind: 'tenant', tenant };
  }
  if (call.isParentInFlight) {
    return { kind: 'nested' };
  }
  if (call.isExempt) {
    return { kind: 'exempt' };
  }
  const problem = problemOf(call);
  const isFinal = problem !== 'unknown_parent' && call.confirmedAgeMs <= maxKnownAgeMs;
  return { kind: 'refused', reason: isFinal ? 'unauthenticated_caller' : 'unconfirmed', problem };
};
