/**
 * Limit on the rate of each tenant, on a node: draws tokens from the owners of the shares. It opens
 * no connection and sets no timer before the first call of a tenant with a rate.
 */
import { createClient } from '@connectrpc/connect';
import type { QuotaSettings, TenantLimit } from '../../core/quota/quotaBounds.js';
import {
  createTokenLedger,
  maxTokenWaitMs,
  type ClockReading,
  type OwnerAddress,
  type PlannedDraw,
} from '../../core/quota/tokenLedger.js';
import { Quota } from '../../gen/auburnsill/v1/quota_pb.js';
import type { Version } from '../../types/public.js';
import type { QuotaDecision, QuotaGate } from '../../types/quota.js';
import type { Tenant } from '../../types/tenants.js';
import type { Log } from '../../utils/log.js';
import { createRateLimitedLog } from '../../utils/rateLimitedLog.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { writeVersion } from '../distribution/feedMessages.js';
import type { Metrics } from '../metrics.js';
import type { Access } from '../operators/access.js';
import { createRpcTransport, type RpcTransport } from '../rpc.js';
import { hasRate } from './callToken.js';
import { createDrawStream, type DrawStream } from './drawStream.js';
import { createNodeQuotaMetrics } from './quotaMetrics.js';

/** Period in which the addresses of the control instances are read again, in ms. */
const refreshMs = 1_000;
/** A tenant over its rate is logged once in this time, in ms. */
const tenantLogMs = 10_000;
const maxLoggedTenants = 1_000;

export interface QuotaClientOptions extends QuotaSettings {
  readonly dataCentre: string;
  /** Known control instances. */
  readonly controls: () => readonly OwnerAddress[];
  /** Number of nodes in the fleet; 0 if it is unknown. */
  readonly fleetNodes: () => number;
  readonly access: Access;
  readonly timer: Timer;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

export interface ClosableQuotaGate extends QuotaGate {
  readonly queries: {
    /** Valid tokens that the node holds for the tenant. */
    tokens(tenant: string): number;
  };
  /**
   * Connects to the owners if a tenant of the configuration has a rate, so that the first calls
   * need not wait for that.
   */
  prepare(tenants: readonly Tenant[]): void;
  close(): void;
}

interface Connection {
  readonly rpc: RpcTransport;
  readonly stream: DrawStream;
}

export const createQuotaClient = (options: QuotaClientOptions): ClosableQuotaGate => {
  const { timer, access, shares, bounds, dataCentre, random } = options;
  const log = options.log.part('quota');
  const logTenant = createRateLimitedLog(log, timer);
  const connections = new Map<string, Connection>();
  /** Refusals of each tenant since its last log line, and the time of that. */
  const overRate = new Map<string, { refused: number; loggedAt: number }>();
  let refreshedAt = -Infinity;
  let wake: { readonly at: number; readonly cancel: Cancel } | undefined;
  let isClosed = false;

  const ledger = createTokenLedger({
    dataCentre,
    shares,
    bounds,
    random,
    onOwnerState: (address, isReachable, reason) =>
      isReachable
        ? log.info('owner reachable', { address })
        : log.warn('owner not reachable', { address, reason }),
  });
  const metrics = createNodeQuotaMetrics(options.metrics, ledger);

  const readClock = (): ClockReading => ({ now: timer.now(), wallClock: timer.wallClock() });

  const streamTo = (address: string): DrawStream => {
    const known = connections.get(address);
    if (known) {
      return known.stream;
    }
    const rpc = createRpcTransport(address, [access.clientInterceptor], maxTokenWaitMs);
    const stream = createDrawStream(createClient(Quota, rpc.transport), timer);
    connections.set(address, { rpc, stream });
    return stream;
  };

  const refresh = (now: number) => {
    if (now - refreshedAt < refreshMs) {
      return;
    }
    refreshedAt = now;
    const controls = options.controls();
    ledger.commands.setOwners(controls);
    ledger.commands.setNodes(options.fleetNodes());
    const addresses = new Set(controls.map(({ address }) => address));
    [...connections]
      .filter(([address]) => !addresses.has(address))
      .forEach(([address, { rpc, stream }]) => {
        connections.delete(address);
        stream.close();
        rpc.close();
      });
  };

  const send = async (draw: PlannedDraw) => {
    const tenants = draw.tenants.map(({ tenant, wanted, returned, limit }) => ({
      tenant,
      wanted,
      returned,
      ratePerS: limit.ratePerSecond,
      burst: limit.burst,
      version: writeVersion(limit.version),
    }));
    try {
      const answer = await streamTo(draw.owner).draw({ tenants }, maxTokenWaitMs);
      metrics.observeDraw('answered', timer.now() - draw.sentAt);
      ledger.commands.answer(draw, answer, readClock());
    } catch (error) {
      metrics.observeDraw('failed', timer.now() - draw.sentAt);
      log.debug('draw failed', { address: draw.owner, error: String(error) });
      ledger.commands.fail(draw, readClock());
    }
    pump();
  };

  const scheduleWake = (now: number) => {
    const at = ledger.queries.nextAt(now);
    if (at === undefined || at === wake?.at) {
      return;
    }
    wake?.cancel();
    const run = () => {
      wake = undefined;
      pump();
    };
    wake = { at, cancel: timer.after(Math.max(1, at - now), run) };
  };

  const pump = () => {
    if (isClosed) {
      return;
    }
    const clock = readClock();
    ledger.commands.expire(clock);
    if (ledger.queries.waiting() > 0) {
      refresh(clock.now);
      ledger.commands.planDraws(clock).forEach(send);
    }
    scheduleWake(clock.now);
  };

  const recordRefusal = (tenant: string, limit: TenantLimit, reason: string) => {
    metrics.refused(tenant, reason);
    const now = timer.now();
    const known = overRate.get(tenant) ?? { refused: 0, loggedAt: -Infinity };
    known.refused += 1;
    if (now - known.loggedAt >= tenantLogMs) {
      logTenant('calls of a tenant refused', {
        tenant,
        reason,
        refused: known.refused,
        rate_per_s: limit.ratePerSecond,
        burst: limit.burst,
      });
      known.loggedAt = now;
      known.refused = 0;
    }
    if (overRate.has(tenant) || overRate.size < maxLoggedTenants) {
      overRate.set(tenant, known);
    }
  };

  const take = (
    { name, ratePerSecond = 0, burst = 0 }: Tenant,
    version: Version,
    onDecision: (decision: QuotaDecision) => void,
  ): Cancel => {
    const clock = readClock();
    refresh(clock.now);
    const limit: TenantLimit = { ratePerSecond, burst, version };
    const decide = (decision: QuotaDecision) => {
      if (!decision.isAllowed) {
        recordRefusal(name, limit, decision.reason);
      }
      onDecision(decision);
    };
    const giveUp = ledger.commands.take(name, limit, decide, clock);
    if (ledger.queries.waiting() > 0) {
      pump();
    }
    return giveUp;
  };

  return {
    commands: {
      take,
      giveBack: ({ name }, token) => ledger.commands.giveBack(name, token, readClock()),
    },
    queries: { tokens: (tenant) => ledger.queries.tokens(tenant, timer.now()) },
    prepare: (tenants) => {
      if (tenants.some(hasRate)) {
        const clock = readClock();
        refresh(clock.now);
        ledger.commands.prepare(clock).forEach(send);
      }
    },
    close: () => {
      isClosed = true;
      wake?.cancel();
      connections.forEach(({ rpc, stream }) => {
        stream.close();
        rpc.close();
      });
    },
  };
};
