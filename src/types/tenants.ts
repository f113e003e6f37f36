/**
 * Types of tenants. A tenant is a customer of the operators: its callers present one of its API
 * keys, and its rate holds for all of them together.
 */

/** A tenant, as nodes know it: its keys are known by their digests only. */
export interface Tenant {
  readonly name: string;
  /** Name that upstreams receive, if it is not a valid name in a configuration. */
  readonly displayName?: string;
  /** SHA-256 digests of its API keys, in hexadecimal. */
  readonly keyDigests: readonly string[];
  /** Importance of its calls, from 1 to 100; replaces that of the class. */
  readonly importance?: number;
  /** Requests per second across all nodes. Unset: no limit. */
  readonly ratePerSecond?: number;
  /** Requests above the rate that may be sent at once. Default: 0. */
  readonly burst?: number;
}
