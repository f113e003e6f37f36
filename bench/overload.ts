/**
 * Overload: a latency-sensitive class shares two endpoints with a class that may wait, and the load
 * of the latter is raised temporarily until the total is 2 and 5 times the capacity. Baseline in
 * the same run: the same calls directly to the same upstreams in round-robin order, which queue
 * calls and shed none.
 */
import { startDeployment, type Deployment } from '../__tests__/support/deployment.js';
import { runLoad, type CallPattern, type PatternResult } from './support/load.js';

interface BenchContext {
  readonly print: (line: string) => void;
  readonly options: Readonly<Record<string, unknown>>;
}

const endpoints = 2;
const slots = 4;
const workMs = 40;
/** Calls per second that the endpoints can process: slots / work. */
const capacity = (endpoints * slots * 1_000) / workMs;
const longWorkMs = 1_000;
const targetMs = 400;
const waitMs = 2_000;
const fastRate = capacity / 2;
const quietBulkRate = capacity * 0.3;
const burstStartMs = 5_000;
const burstMs = 8_000;
const totalMs = 20_000;
const deadlineMs = 2 * targetMs;

const targets = `
[service.s]
expected = true
[class.fast]
service = "s"
match = [{ method = "GET", path = "/fast" }]
answer_within = "${targetMs}ms"
idempotent = true
importance = 80
work = "${workMs}ms"
[class.bulk]
service = "s"
match = [{ method = "GET", path = "/bulk" }]
may_wait = "${waitMs}ms"
idempotent = true
importance = 10
`;

const fast = (ratePerSecond: number): CallPattern => ({
  name: 'fast',
  method: 'GET',
  path: '/fast',
  ratePerSecond,
  usefulWithinMs: targetMs,
});

/** Calls of the class that may wait. Their rate needs the same slots whatever their work is. */
const bulk = (ratePerSecond: number, bulkWorkMs: number): CallPattern => ({
  name: 'bulk',
  method: 'GET',
  path: `/bulk?work=${bulkWorkMs}`,
  ratePerSecond: (ratePerSecond * workMs) / bulkWorkMs,
});

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const sumSecond = (patterns: readonly PatternResult[], second: number): number =>
  patterns.reduce((sum, { usefulBySecond }) => sum + (usefulBySecond[second] ?? 0), 0);

/** Whole seconds from the end of the burst until 95 % of the base load is answered usefully. */
const recoverySeconds = (patterns: readonly PatternResult[], endMs: number): number => {
  const expected = 0.95 * (fastRate + quietBulkRate);
  const from = Math.ceil(endMs / 1_000);
  for (let second = from; second < totalMs / 1_000; second += 1) {
    if (sumSecond(patterns, second) >= expected) {
      return second - from;
    }
  }
  return Number.POSITIVE_INFINITY;
};

const runBurst = async (
  addresses: readonly string[],
  factor: number,
  timeoutMs: number,
  bulkWorkMs = workMs,
) => {
  const baseLoad = runLoad({
    targets: addresses,
    patterns: [fast(fastRate), bulk(quietBulkRate, bulkWorkMs)],
    warmUpMs: burstStartMs,
    measureMs: totalMs - burstStartMs,
    timeoutMs,
  });
  await sleep(burstStartMs);
  const burstRate = factor * capacity - fastRate - quietBulkRate;
  const burst = await runLoad({
    targets: addresses,
    connections: 4_096,
    patterns: [bulk(burstRate, bulkWorkMs)],
    warmUpMs: 2_000,
    measureMs: burstMs - 2_000,
    timeoutMs,
  });
  const { patterns, maxStartLagMs } = await baseLoad;
  const [fastResult, bulkResult] = patterns;
  // The generator process of the burst starts about a second late. These seconds are well within
  // the burst.
  const burstSecondsOfBase = [8, 9, 10, 11];
  const fastUseful =
    burstSecondsOfBase.reduce((sum, second) => sum + (fastResult?.usefulBySecond[second] ?? 0), 0) /
    burstSecondsOfBase.length;
  const baseBulk =
    burstSecondsOfBase.reduce((sum, second) => sum + (bulkResult?.usefulBySecond[second] ?? 0), 0) /
    burstSecondsOfBase.length;
  const burstSeconds = burst.patterns[0]?.usefulBySecond.slice(3, 7) ?? [];
  const burstBulk =
    burstSeconds.reduce((sum, count) => sum + count, 0) / Math.max(1, burstSeconds.length);
  return {
    factor,
    bulkWorkMs,
    usefulPerSecond: Math.round(fastUseful + baseBulk + burstBulk),
    fastUsefulPerSecond: Math.round(fastUseful),
    fastUsefulShare: Number((fastUseful / fastRate).toFixed(3)),
    fastP99Ms: Math.round(fastResult?.latencyMs.p99 ?? 0),
    bulkP99Ms: Math.round(burst.patterns[0]?.latencyMs.p99 ?? 0),
    fastShed: fastResult?.reasons ?? {},
    bulkShed: burst.patterns[0]?.reasons ?? {},
    // With long work, too few calls of the waiting class end per second for a comparison.
    recoverySeconds:
      bulkWorkMs === workMs ? recoverySeconds(patterns, burstStartMs + burstMs + 1_000) : undefined,
    generatorLagMs: Math.round(Math.max(maxStartLagMs, burst.maxStartLagMs)),
  };
};

/** Useful responses per second at an offered load equal to the capacity of the endpoints. */
const measurePeak = async (addresses: readonly string[], timeoutMs: number) => {
  const { patterns } = await runLoad({
    targets: addresses,
    patterns: [fast(fastRate), bulk(capacity * 0.5, workMs)],
    warmUpMs: 4_000,
    measureMs: 6_000,
    timeoutMs,
  });
  return Math.round(patterns.reduce((sum, { useful }) => sum + useful, 0) / 6);
};

const measure = async (addresses: readonly string[], timeoutMs: number) => ({
  peakPerSecond: await measurePeak(addresses, timeoutMs),
  bursts: [
    await runBurst(addresses, 2, timeoutMs),
    await runBurst(addresses, 5, timeoutMs),
    await runBurst(addresses, 5, timeoutMs, longWorkMs),
  ],
});

const upstreamAddresses = ({ nodes }: Deployment): string[] =>
  nodes.flatMap(({ upstream }) => (upstream ? [upstream.address()] : []));

export const run = async ({ print, options }: BenchContext) => {
  const deployment = await startDeployment({
    dataCentres: [
      {
        name: 'a',
        upstreams: [
          { service: 's', count: endpoints, slots, behaviour: { workMs, queue: 100_000 } },
        ],
        callerNodes: 1,
      },
    ],
    targets,
  });
  try {
    const callerAddresses = deployment.nodes
      .filter(({ upstream }) => !upstream)
      .map(({ calls }) => calls);
    if (options['long-only']) {
      const long = await runBurst(callerAddresses, 5, waitMs + 30_000, longWorkMs);
      return { bench: 'overload', capacityPerSecond: capacity, targetMs, long };
    }
    print(`capacity ${capacity}/s, fast ${fastRate}/s, target ${targetMs} ms`);
    const auburnsill = await measure(callerAddresses, waitMs + 30_000);
    print(`through nodes: ${JSON.stringify(auburnsill, null, 1)}`);
    // `--trial` skips the baseline, for quick trials of a change.
    const baseline = options.trial
      ? undefined
      : await measure(upstreamAddresses(deployment), deadlineMs);
    print(`without shedding: ${JSON.stringify(baseline, null, 1)}`);
    return { bench: 'overload', capacityPerSecond: capacity, targetMs, auburnsill, baseline };
  } finally {
    await deployment.stop();
  }
};
