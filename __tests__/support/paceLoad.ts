/**
 * Nodes that send calls to the endpoints of one service, in simulated time: the nodes route as the
 * product does, and the endpoints have slots, a queue with a limited wait, and a load report with
 * each answer.
 */
import {
  createEndpointTracker,
  type AttemptOutcome,
} from '../../src/core/calls/endpointTracker.js';
import type { RampEvent } from '../../src/core/calls/paceTracker.js';
import { chooseEndpoint } from '../../src/core/calls/routing.js';
import { createCluster, createEndpoint, createPolicy, createRandom } from './routingFixtures.js';

export interface LoadSetup {
  readonly seed: number;
  readonly isAdaptive: boolean;
  readonly nodes: number;
  readonly endpoints: number;
  /** Endpoints from the end of the list that are first announced at time 0. */
  readonly fresh: number;
  /** Work offered, as a part of the slots of all endpoints. */
  readonly utilization: number;
  readonly endsAt: number;
  /** Multiple of the usual work time of an endpoint for work that starts now. */
  readonly slowness?: (index: number, now: number) => number;
  readonly isFailing?: (index: number, now: number) => boolean;
}

export interface TimedRamp extends RampEvent {
  readonly at: number;
}

export interface LoadResult {
  /** Calls that arrived from time 0. */
  readonly calls: number;
  readonly late: number;
  /** Calls that got no answer: no endpoint had room. */
  readonly refused: number;
  readonly failed: number;
  /** Mean part of the slots in use at an endpoint between two times. */
  use(index: number, from: number, to: number): number;
  /** Calls that an endpoint refused between two times. */
  refusals(index: number, from: number, to: number): number;
  readonly ramps: readonly TimedRamp[];
}

const slots = 9;
const workMs = 218;
const targetMs = 613;
const maxWaitMs = 300;
const oneWayMs = 1;
const leadMs = 2_000;
const warmedMs = 30_000;
const housekeepingMs = 1_000;
const maxReroutes = 2;
const service = 'routedienst';

interface Site {
  running: number;
  workMs: number | undefined;
  readonly queue: (() => void)[];
  readonly usedByMs: Map<number, number>;
  readonly refusedAt: number[];
}

export const playLoad = (setup: LoadSetup): LoadResult => {
  // Arrivals and work have a generator of their own, so that two runs have the same load.
  const random = createRandom(setup.seed);
  const loadRandom = createRandom(setup.seed + 1_000);
  const events = new Map<number, (() => void)[]>();
  let now = -leadMs;
  const after = (delayMs: number, run: () => void) => {
    const at = now + Math.max(1, Math.round(delayMs));
    events.set(at, [...(events.get(at) ?? []), run]);
  };
  const all = Array.from({ length: setup.endpoints }, (_, index) =>
    createEndpoint(`e${index}`, { slots }),
  );
  const known = all.slice(0, setup.endpoints - setup.fresh);
  const sites: Site[] = all.map(() => ({
    running: 0,
    workMs: undefined,
    queue: [],
    usedByMs: new Map(),
    refusedAt: [],
  }));
  const ramps: TimedRamp[] = [];
  const totals = { calls: 0, late: 0, refused: 0, failed: 0 };

  const nodes = Array.from({ length: setup.nodes }, () => {
    const evidence = createEndpointTracker({
      random,
      ...(setup.isAdaptive && {
        adaptivePace: { onRamp: (event) => now >= 0 && ramps.push({ ...event, at: now }) },
      }),
    });
    const ids = known.map(({ id }) => id);
    evidence.commands.setEndpoints(service, ids, -warmedMs - leadMs);
    return { evidence, cluster: createCluster(known) };
  });

  const work = (index: number, size: number, respond: (outcome: AttemptOutcome) => void) => {
    const site = sites[index]!;
    site.running += 1;
    const tookMs = workMs * size * (setup.slowness?.(index, now) ?? 1);
    const outcome = setup.isFailing?.(index, now) ? 'failed' : 'ok';
    after(tookMs, () => {
      site.running -= 1;
      site.workMs = site.workMs === undefined ? tookMs : site.workMs + 0.1 * (tookMs - site.workMs);
      site.queue.shift()?.();
      respond(outcome);
    });
  };

  const receive = (index: number, size: number, respond: (outcome: AttemptOutcome) => void) => {
    const site = sites[index]!;
    if (site.running < slots) {
      work(index, size, respond);
      return;
    }
    const start = () => work(index, size, respond);
    site.queue.push(start);
    after(maxWaitMs, () => {
      const position = site.queue.indexOf(start);
      if (position >= 0) {
        site.queue.splice(position, 1);
        site.refusedAt.push(now);
        respond('refused');
      }
    });
  };

  const call = () => {
    const { evidence, cluster } = nodes[Math.floor(loadRandom() * nodes.length)]!;
    const size = 0.75 + loadRandom() / 2;
    const arrivedAt = now;
    const counts = now >= 0;
    const exclude = new Set<string>();
    totals.calls += Number(counts);
    const attempt = () => {
      const endpoint = chooseEndpoint({
        cluster,
        evidence,
        policy: createPolicy(),
        home: { dataCentre: 'a', region: 'r' },
        exclude,
        random,
        now,
      });
      if (!endpoint) {
        totals.refused += Number(counts);
        return;
      }
      const index = all.findIndex(({ id }) => id === endpoint.id);
      const site = sites[index]!;
      const sentAt = now;
      evidence.commands.recordStart(endpoint.id, now);
      after(oneWayMs, () =>
        receive(index, size, (outcome) => {
          const load = { inFlight: site.running, limit: slots, waiting: site.queue.length };
          const report = { ...load, ...(site.workMs !== undefined && { workMs: site.workMs }) };
          after(oneWayMs, () => {
            evidence.commands.recordLoad(endpoint.id, report, now);
            evidence.commands.recordEnd(endpoint.id, { latencyMs: now - sentAt, outcome }, now);
            if (outcome === 'refused' && exclude.size < maxReroutes) {
              exclude.add(endpoint.id);
              attempt();
              return;
            }
            totals.refused += Number(counts && outcome === 'refused');
            totals.failed += Number(counts && outcome === 'failed');
            totals.late += Number(counts && outcome === 'ok' && now - arrivedAt > targetMs);
          });
        }),
      );
    };
    attempt();
  };

  const perMs = (setup.utilization * slots * setup.endpoints) / workMs;
  let nextCallAt = now;
  const tick = () => {
    if (now === 0) {
      nodes.forEach((node) => Object.assign(node, { cluster: createCluster(all) }));
    }
    nodes.forEach(({ evidence, cluster }, index) => {
      if ((now + index * 7) % housekeepingMs === 0) {
        const ids = cluster.endpoints.map(({ id }) => id);
        evidence.commands.setEndpoints(service, ids, now);
      }
    });
    events.get(now)?.forEach((run) => run());
    events.delete(now);
    for (; nextCallAt <= now; nextCallAt += -Math.log(1 - loadRandom()) / perMs) {
      call();
    }
    sites.forEach((site) => site.usedByMs.set(now, site.running));
  };
  for (; now < setup.endsAt; now += 1) {
    tick();
  }

  return {
    ...totals,
    ramps,
    use: (index, from, to) => {
      let used = 0;
      for (let at = from; at < to; at += 1) {
        used += sites[index]!.usedByMs.get(at) ?? 0;
      }
      return used / ((to - from) * slots);
    },
    refusals: (index, from, to) =>
      sites[index]!.refusedAt.filter((at) => at >= from && at < to).length,
  };
};
