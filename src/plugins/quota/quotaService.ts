/**
 * RPC service of a control instance that grants tokens from the share of its data centre, while it
 * owns that share.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import { createShareOwnership, type Ownership } from '../../core/quota/shareOwnership.js';
import { createTokenBuckets, type BucketDraw } from '../../core/quota/tokenBucket.js';
import type { QuotaSettings } from '../../core/quota/quotaBounds.js';
import { Quota, type DrawRequest, type TenantDraw } from '../../gen/auburnsill/v1/quota_pb.js';
import type { ReplicaGroup } from '../../types/internal.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { readVersion } from '../distribution/feedMessages.js';
import type { Metrics } from '../metrics.js';
import { createOwnerQuotaMetrics } from './quotaMetrics.js';

const stepMs = 500;
const maxTenantsPerDraw = 2_000;
const maxNameLength = 256;
const maxTokensPerDraw = 100_000;

export interface QuotaServiceOptions extends QuotaSettings {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** The deployment starts for the first time. */
  readonly isFirstStart: boolean;
  readonly group: Pick<ReplicaGroup<unknown>, 'queries'> & {
    onChange(listener: () => void): unknown;
  };
  readonly timer: Timer;
  readonly log: Log;
  readonly metrics: Metrics;
}

export interface QuotaService {
  routes(router: ConnectRouter): void;
  /** Ends the streams of all nodes. */
  stop(): void;
}

interface DrawStream {
  end: () => void;
}

const requireThat = (isValid: boolean, field: string, allowed: string) => {
  if (!isValid) {
    throw new ConnectError(`${field}: ${allowed}`, Code.InvalidArgument);
  }
};

const readTenantDraw = (message: TenantDraw, index: number): BucketDraw => {
  const { tenant, wanted, returned, ratePerS, burst, version } = message;
  const place = `tenants[${index}]`;
  const isAmount = (value: number) => Number.isFinite(value) && value >= 0;
  requireThat(
    tenant !== '' && tenant.length <= maxNameLength,
    `${place}.tenant`,
    `1 to ${maxNameLength} characters`,
  );
  requireThat(wanted <= maxTokensPerDraw, `${place}.wanted`, `${maxTokensPerDraw} at most`);
  requireThat(isAmount(ratePerS), `${place}.rate_per_s`, 'a number of at least 0');
  requireThat(isAmount(burst), `${place}.burst`, 'a number of at least 0');
  return {
    tenant,
    wanted,
    returned,
    limit: { ratePerSecond: ratePerS, burst, version: readVersion(version) },
  };
};

/** Creates the service. It has no timer until the first draw. */
export const createQuotaService = (options: QuotaServiceOptions): QuotaService => {
  const { group, timer, shares, bounds } = options;
  const log = options.log.part('quota');
  const ownership = createShareOwnership(options);
  const buckets = createTokenBuckets({ shares, bounds }, timer.now());
  let current: Ownership | undefined;
  let cancelSteps: Cancel | undefined;
  let steppedAt = -Infinity;
  let isStopped = false;
  const streams = new Set<DrawStream>();

  const logChange = (before: Ownership | undefined, after: Ownership) => {
    if (after.isOwner && !before?.isOwner) {
      log.info('share owned', { data_centre: options.dataCentre, shares });
    } else if (!after.isOwner && before?.isOwner) {
      log.warn('share lost', { data_centre: options.dataCentre, reason: after.reason });
    } else if (!after.isOwner && before?.isOwner === false && after.reason !== before.reason) {
      log.info('share not owned', { data_centre: options.dataCentre, reason: after.reason });
    }
  };

  const step = (): Ownership => {
    const now = timer.now();
    steppedAt = now;
    const next = ownership.commands.step({
      now,
      wallClock: timer.wallClock(),
      isPeriodic: cancelSteps !== undefined,
      members: group.queries.members(),
      confirmedAgeMs: group.queries.confirmedAgeMs(),
    });
    if (next.isOwner !== (current?.isOwner ?? false)) {
      buckets.commands.reset(now);
    }
    logChange(current, next);
    current = next;
    return next;
  };

  const tick = () => {
    step();
    buckets.commands.dropIdle(timer.now());
    if (buckets.queries.tenants() === 0) {
      cancelSteps?.();
      cancelSteps = undefined;
    }
  };

  const startSteps = () => {
    if (!cancelSteps) {
      step();
      cancelSteps = timer.every(stepMs, tick);
    }
  };

  const metrics = createOwnerQuotaMetrics(options.metrics, {
    isOwner: () => current?.isOwner ?? false,
    tenants: buckets.queries.tenants,
  });

  // Every message of the group calls the listener. The decision has to see each membership, but a
  // leader with many followers need not repeat it within some ms.
  let membersSeen: unknown;
  group.onChange(() => {
    const members = group.queries.members();
    if (members !== membersSeen || timer.now() - steppedAt >= stepMs) {
      membersSeen = members;
      step();
    }
  });
  step();

  const answer = (tenants: readonly TenantDraw[]) => {
    requireThat(tenants.length <= maxTenantsPerDraw, 'tenants', `${maxTenantsPerDraw} at most`);
    const draws = tenants.map(readTenantDraw);
    if (isStopped || !step().isOwner) {
      return { isOwner: false, grants: [] };
    }
    if (draws.length > 0) {
      startSteps();
    }
    const now = timer.now();
    const grants = draws.map((draw) => {
      const { granted, retryAfterMs } = buckets.commands.draw(draw, now);
      metrics.recordDraw(draw.wanted, granted, draw.returned);
      return { granted, retryAfterMs: Math.ceil(retryAfterMs) };
    });
    return { isOwner: true, grants };
  };

  /** Reads the next draw of a stream. Ends when the node ends the stream or the service stops. */
  const readNext = (
    requests: AsyncIterator<DrawRequest>,
    stream: DrawStream,
  ): Promise<IteratorResult<DrawRequest>> =>
    new Promise((resolve, reject) => {
      stream.end = () => resolve({ done: true, value: undefined });
      requests.next().then(resolve, reject);
    });

  async function* serve(requests: AsyncIterable<DrawRequest>) {
    const iterator = requests[Symbol.asyncIterator]();
    const stream: DrawStream = { end: () => undefined };
    streams.add(stream);
    try {
      while (!isStopped) {
        const next = await readNext(iterator, stream);
        if (next.done) {
          return;
        }
        yield answer(next.value.tenants);
      }
    } finally {
      streams.delete(stream);
    }
  }

  return {
    routes: (router) => {
      router.service(Quota, { draw: serve });
    },
    stop: () => {
      isStopped = true;
      cancelSteps?.();
      streams.forEach(({ end }) => end());
    },
  };
};
