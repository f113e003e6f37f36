/**
 * Nodes and owners that exchange draws without a network, in steps of 1 ms. Counts the tokens that
 * calls use, so that tests can check the rule in every window.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createTokenBuckets, type TokenBuckets } from '../../src/core/quota/tokenBucket.js';
import {
  defaultQuotaBounds,
  tokenValidityMs,
  type TenantLimit,
} from '../../src/core/quota/quotaBounds.js';
import {
  createTokenLedger,
  type PlannedDraw,
  type TokenLedger,
} from '../../src/core/quota/tokenLedger.js';
import type { QuotaDecision, QuotaToken } from '../../src/types/quota.js';

export const bounds = defaultQuotaBounds;
export const validityMs = tokenValidityMs(bounds);
/** Draws without an answer fail after this time, as those of the client do. */
const drawTimeoutMs = 250;

/** Seeded random numbers in [0, 1). */
export const createSeededRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  const range = 2 ** 30;
  return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
};

export interface FleetOwner {
  readonly address: string;
  readonly dataCentre: string;
  buckets: TokenBuckets;
  isOwner: boolean;
  isUp: boolean;
  draws: number;
}

export interface FleetNode {
  readonly dataCentre: string;
  readonly ledger: TokenLedger;
  /** Time for which the node was suspended so far, which its monotonic clock does not show. */
  suspendedMs: number;
}

export interface CallResult {
  readonly at: number;
  readonly decision: QuotaDecision;
}

export const createQuotaFleet = ({
  nodesPerDataCentre,
  dataCentres = ['a', 'b', 'c'],
  seed = 1,
}: {
  nodesPerDataCentre: number;
  dataCentres?: readonly string[];
  seed?: number;
}) => {
  const random = createSeededRandom(seed);
  const shares = dataCentres.length;
  const events: ((() => void)[] | undefined)[] = [];
  let now = 0;
  /** Links that are cut: true if messages between a node and an owner are lost. */
  let isCut: (node: FleetNode, owner: FleetOwner) => boolean = () => false;

  const after = (ms: number, run: () => void) => {
    const at = now + Math.max(1, Math.ceil(ms));
    (events[at] ??= []).push(run);
  };

  const createOwner = (dataCentre: string, address = `${dataCentre}:1`): FleetOwner => ({
    address,
    dataCentre,
    buckets: createTokenBuckets({ shares, bounds }, now),
    isOwner: true,
    isUp: true,
    draws: 0,
  });
  const owners = dataCentres.map((dataCentre) => createOwner(dataCentre));

  const clockOf = (node: FleetNode) => ({ now, wallClock: now + node.suspendedMs });

  const addresses = () => owners.map(({ address, dataCentre }) => ({ address, dataCentre }));

  const nodes: FleetNode[] = dataCentres.flatMap((dataCentre) =>
    Array.from({ length: nodesPerDataCentre }, () => {
      const ledger = createTokenLedger({ dataCentre, shares, bounds, random });
      ledger.commands.setOwners(addresses());
      ledger.commands.setNodes(nodesPerDataCentre * shares);
      return { dataCentre, ledger, suspendedMs: 0 };
    }),
  );

  const latencyMs = (node: FleetNode, owner: FleetOwner) =>
    (node.dataCentre === owner.dataCentre ? 1 : 2) + random();

  const send = (node: FleetNode, draw: PlannedDraw) => {
    const owner = owners.find(({ address }) => address === draw.owner);
    let isSettled = false;
    const settle = (run: () => void) => {
      if (!isSettled) {
        isSettled = true;
        run();
        pump(node);
      }
    };
    after(drawTimeoutMs, () => settle(() => node.ledger.commands.fail(draw, clockOf(node))));
    if (!owner) {
      return;
    }
    after(latencyMs(node, owner), () => {
      if (isCut(node, owner)) {
        return;
      }
      if (!owner.isUp) {
        settle(() => node.ledger.commands.fail(draw, clockOf(node)));
        return;
      }
      owner.draws += 1;
      const grants = owner.isOwner
        ? draw.tenants.map((each) => owner.buckets.commands.draw(each, now))
        : [];
      const answer = { isOwner: owner.isOwner, grants };
      after(latencyMs(node, owner), () => {
        if (!isCut(node, owner)) {
          settle(() => node.ledger.commands.answer(draw, answer, clockOf(node)));
        }
      });
    });
  };

  const wakeAt = new Map<FleetNode, number>();
  const pump = (node: FleetNode) => {
    node.ledger.commands.expire(clockOf(node));
    node.ledger.commands.planDraws(clockOf(node)).forEach((draw) => send(node, draw));
    const at = node.ledger.queries.nextAt(now);
    const planned = wakeAt.get(node) ?? Infinity;
    if (at !== undefined && (planned <= now || at < planned)) {
      wakeAt.set(node, Math.max(now + 1, Math.ceil(at)));
      after(at - now, () => pump(node));
    }
  };

  const call = (
    node: FleetNode,
    tenant: string,
    limit: TenantLimit,
    onResult: (result: CallResult) => void,
  ) => {
    node.ledger.commands.take(
      tenant,
      limit,
      (decision) => onResult({ at: now, decision }),
      clockOf(node),
    );
    pump(node);
  };

  return {
    random,
    owners,
    nodes,
    after,
    call,
    giveBack: (node: FleetNode, tenant: string, token: QuotaToken) =>
      node.ledger.commands.giveBack(tenant, token, clockOf(node)),
    now: () => now,
    cut: (rule: typeof isCut) => {
      isCut = rule;
    },
    restart: (owner: FleetOwner) => {
      owner.buckets = createTokenBuckets({ shares, bounds }, now);
    },
    addOwner: (dataCentre: string, address: string) => {
      const owner = createOwner(dataCentre, address);
      owners.push(owner);
      nodes.forEach(({ ledger }) => ledger.commands.setOwners(addresses()));
      return owner;
    },
    /** Runs to `untilMs`, calling `onStep` in each ms. */
    run: (untilMs: number, onStep: (now: number) => void = () => undefined) => {
      while (now < untilMs) {
        now += 1;
        const due = events[now] ?? [];
        events[now] = undefined;
        // Events of this ms may add further ones for later only.
        due.forEach((run) => run());
        onStep(now);
      }
    },
  };
};

export type QuotaFleet = ReturnType<typeof createQuotaFleet>;

/** Largest number of uses in any window, given their times in order. */
export const maxInWindow = (times: readonly number[], windowMs = bounds.windowMs): number => {
  let start = 0;
  let most = 0;
  times.forEach((at, end) => {
    while (times[start]! <= at - windowMs) {
      start += 1;
    }
    most = Math.max(most, end - start + 1);
  });
  return most;
};

/** Requests that the rule allows in any window. */
export const allowedInWindow = ({ ratePerSecond, burst }: TenantLimit): number =>
  ((ratePerSecond * bounds.windowMs) / 1_000 + burst) * (1 + bounds.overage) + bounds.slack;

/** Number of arrivals in 1 ms at this rate (Poisson). */
export const arrivals = (ratePerSecond: number, random: () => number): number => {
  const limit = Math.exp(-ratePerSecond / 1_000);
  let count = 0;
  for (let product = random(); product > limit; product *= random()) {
    count += 1;
  }
  return count;
};
