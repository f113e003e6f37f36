/**
 * Token buckets of the owner of a share, one for each tenant. Grants are whole numbers; fractions
 * stay in the bucket.
 *
 * A returned token may be granted again, with a new validity. Tokens that go back and forth could
 * therefore pile up and be used at once. A bucket counts the tokens that it granted within the
 * validity and refills only while these and its own are below what it could have granted in that
 * time without returns.
 */
import { isNewer } from '../agreement/version.js';
import {
  tokenShare,
  tokenValidityMs,
  type QuotaSettings,
  type TenantLimit,
} from './quotaBounds.js';

/** Time without draws after which a full bucket is dropped, in ms. */
const idleMs = 60_000;
/** Limits the memory if nodes send names that no configuration has. */
const maxTenants = 10_000;
/** Grants are counted in intervals of this length, in ms. */
const intervalMs = 50;
/** Wait in ms that is reported for a tenant whose bucket never holds a whole token. */
const maxRetryAfterMs = 60_000;

export interface BucketDraw {
  readonly tenant: string;
  readonly wanted: number;
  readonly returned: number;
  readonly limit: TenantLimit;
}

export interface BucketGrant {
  readonly granted: number;
  /** Time until the next token in ms; 0 if all wanted tokens were granted. */
  readonly retryAfterMs: number;
}

export interface TokenBuckets {
  readonly commands: {
    draw(draw: BucketDraw, now: number): BucketGrant;
    /** Empties all buckets. */
    reset(now: number): void;
    /** Drops full buckets of tenants without draws. */
    dropIdle(now: number): void;
  };
  readonly queries: {
    tenants(): number;
  };
}

interface GrantInterval {
  readonly endsAt: number;
  tokens: number;
}

interface Bucket {
  limit: TenantLimit;
  level: number;
  refilledAt: number;
  drawnAt: number;
  /** Granted tokens that may still be valid, oldest first. */
  readonly grants: GrantInterval[];
  /** Sum of `grants`. */
  outstanding: number;
}

/** Creates the buckets of an owner, which are empty at `startedAt`. */
export const createTokenBuckets = (
  { shares, bounds }: QuotaSettings,
  startedAt: number,
): TokenBuckets => {
  const validityMs = tokenValidityMs(bounds);
  const buckets = new Map<string, Bucket>();
  let emptyAt = startedAt;

  const fill = (bucket: Bucket, until: number) => {
    const { tokensPerMs, capacity } = tokenShare(bucket.limit, shares, bounds);
    const room = Math.min(capacity, capacity + validityMs * tokensPerMs - bucket.outstanding);
    const elapsedMs = Math.max(0, until - bucket.refilledAt);
    const filled = Math.min(room, bucket.level + elapsedMs * tokensPerMs);
    bucket.level = Math.max(bucket.level, filled);
    bucket.refilledAt = Math.max(bucket.refilledAt, until);
  };

  const refill = (bucket: Bucket, now: number) => {
    // The room grows when grants expire, so the time until then counts with the smaller room.
    while (bucket.grants.length > 0 && bucket.grants[0]!.endsAt + validityMs <= now) {
      const { endsAt, tokens } = bucket.grants.shift()!;
      fill(bucket, endsAt + validityMs);
      bucket.outstanding -= tokens;
    }
    fill(bucket, now);
  };

  const create = (limit: TenantLimit, now: number): Bucket => {
    // A bucket that was not drawn from since `emptyAt`, or is full, need not be kept until now.
    const bucket: Bucket = {
      limit,
      level: 0,
      refilledAt: emptyAt,
      drawnAt: now,
      grants: [],
      outstanding: 0,
    };
    refill(bucket, now);
    return bucket;
  };

  const setLimit = (bucket: Bucket, limit: TenantLimit) => {
    if (isNewer(limit.version, bucket.limit.version)) {
      bucket.limit = limit;
      bucket.level = Math.min(bucket.level, tokenShare(limit, shares, bounds).capacity);
    }
  };

  const takeBack = (bucket: Bucket, returned: number) => {
    const { capacity } = tokenShare(bucket.limit, shares, bounds);
    const accepted = Math.max(0, Math.min(returned, bucket.outstanding, capacity - bucket.level));
    bucket.level += accepted;
    bucket.outstanding -= accepted;
    // From the oldest interval, so that the count never falls below the tokens that are still valid.
    let rest = accepted;
    bucket.grants.forEach((interval) => {
      const part = Math.min(rest, interval.tokens);
      interval.tokens -= part;
      rest -= part;
    });
  };

  const grant = (bucket: Bucket, wanted: number, now: number): number => {
    const granted = Math.max(0, Math.min(wanted, Math.floor(bucket.level)));
    if (granted === 0) {
      return 0;
    }
    bucket.level -= granted;
    bucket.outstanding += granted;
    const endsAt = (Math.floor(now / intervalMs) + 1) * intervalMs;
    const last = bucket.grants.at(-1);
    if (last?.endsAt === endsAt) {
      last.tokens += granted;
    } else {
      bucket.grants.push({ endsAt, tokens: granted });
    }
    return granted;
  };

  const untilNextTokenMs = ({ limit, level }: Bucket): number => {
    const { tokensPerMs, capacity } = tokenShare(limit, shares, bounds);
    const isReachable = tokensPerMs > 0 && capacity >= 1;
    const ms = Math.max(0, 1 - level) / tokensPerMs;
    return isReachable ? Math.min(maxRetryAfterMs, ms) : maxRetryAfterMs;
  };

  const findBucket = (tenant: string, limit: TenantLimit, now: number): Bucket | undefined => {
    const known = buckets.get(tenant);
    if (known || buckets.size >= maxTenants) {
      return known;
    }
    const bucket = create(limit, now);
    buckets.set(tenant, bucket);
    return bucket;
  };

  return {
    commands: {
      draw: ({ tenant, wanted, returned, limit }, now) => {
        const bucket = findBucket(tenant, limit, now);
        if (!bucket) {
          return { granted: 0, retryAfterMs: maxRetryAfterMs };
        }
        refill(bucket, now);
        setLimit(bucket, limit);
        takeBack(bucket, returned);
        bucket.drawnAt = now;
        const granted = grant(bucket, wanted, now);
        return { granted, retryAfterMs: granted < wanted ? untilNextTokenMs(bucket) : 0 };
      },
      reset: (now) => {
        buckets.clear();
        emptyAt = now;
      },
      dropIdle: (now) => {
        [...buckets]
          .filter(([, { drawnAt }]) => now - drawnAt >= idleMs)
          .forEach(([tenant, bucket]) => {
            refill(bucket, now);
            if (bucket.level >= tokenShare(bucket.limit, shares, bounds).capacity) {
              buckets.delete(tenant);
            }
          });
      },
    },
    queries: { tenants: () => buckets.size },
  };
};
