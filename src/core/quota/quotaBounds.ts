/**
 * How much of a tenant's limit each owner and each node may use, so that their sum stays within the
 * rule: in any window of W seconds at most (rate x W + burst) x (1 + overage) + slack requests.
 *
 * Tokens are valid for V seconds, so those used in a window were granted in W + V seconds. With
 * bursts c at the owners and reserves r at the nodes, at most rate x (W + V) + sum(c) + sum(r) are
 * used. The rule holds with V < overage x W, sum(c) = burst + a part of the slack, and sum(r) =
 * overage x (rate x W + burst) - rate x V + the rest of the slack.
 */
import type { Version } from '../../types/public.js';

/** Parameters of the rule. */
export interface QuotaBounds {
  readonly windowMs: number;
  /** Share of the limit by which it may be exceeded. */
  readonly overage: number;
  /** Requests by which it may be exceeded in addition. */
  readonly slack: number;
}

/** What nodes and control instances have to agree on. */
export interface QuotaSettings {
  /** Number of shares that each limit is divided into: one for each data centre. */
  readonly shares: number;
  readonly bounds: QuotaBounds;
}

/** The limit of a tenant, as part of a version of the configuration. */
export interface TenantLimit {
  readonly ratePerSecond: number;
  readonly burst: number;
  readonly version: Version;
}

export const defaultQuotaBounds: QuotaBounds = { windowMs: 5_000, overage: 0.1, slack: 20 };

/** Validity of granted tokens in ms, unless the overage allows only a shorter one. */
const maxValidityMs = 400;
/** Part of the overage that the validity may use; the rest is left for the reserves. */
const validityPart = 0.8;
/**
 * Part of the slack that is added to the bursts of the owners. Most tenants have a burst of a few
 * tokens, which would leave a share with room for a single one.
 */
const ownerSlackPart = 0.6;

/** Time from the sending of a draw for which its tokens are valid, in ms. */
export const tokenValidityMs = ({ windowMs, overage }: QuotaBounds): number =>
  Math.min(maxValidityMs, validityPart * overage * windowMs);

/** Part of the slack that the owners use; at least one token each, if the slack has that many. */
const ownerSlack = ({ slack }: QuotaBounds, shares: number): number =>
  Math.min(slack, Math.max(ownerSlackPart * slack, shares));

export interface TokenShare {
  readonly tokensPerMs: number;
  /** Tokens that the share holds at most. */
  readonly capacity: number;
}

/** One of `shares` equal shares of a limit. */
export const tokenShare = (
  { ratePerSecond, burst }: TenantLimit,
  shares: number,
  bounds: QuotaBounds,
): TokenShare => ({
  tokensPerMs: ratePerSecond / 1_000 / shares,
  capacity: (burst + ownerSlack(bounds, shares)) / shares,
});

/** Whole tokens per window that each of `nodes` nodes may use without an owner. */
export const nodeReserve = (
  { ratePerSecond, burst }: TenantLimit,
  shares: number,
  nodes: number,
  bounds: QuotaBounds,
): number => {
  if (nodes < 1) {
    return 0;
  }
  const { windowMs, overage, slack } = bounds;
  const perWindow = (ratePerSecond * windowMs) / 1_000;
  const perValidity = (ratePerSecond * tokenValidityMs(bounds)) / 1_000;
  const total = overage * (perWindow + burst) - perValidity + slack - ownerSlack(bounds, shares);
  return Math.max(0, Math.floor(total / nodes));
};
