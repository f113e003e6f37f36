/**
 * Measures the latency that a path through nodes adds to a direct call, at two rates. Each round
 * measures the routes one after the other: directly to the upstream, through the node beside it
 * (one hop), and through another node and that one (two hops). 300,000 calls per second over 1,000
 * nodes are 300 on each node, and 2,700 with 9 levels of calls.
 */
import { startDeployment, type Deployment } from '../__tests__/support/deployment.js';
import { runLoad, type PatternResult } from './support/load.js';

interface BenchContext {
  readonly print: (line: string) => void;
  readonly options: Readonly<Record<string, unknown>>;
}

type Route = 'direct' | 'one_hop' | 'two_hops';
type Percentile = 'p50' | 'p99' | 'p999';

const targetMs = 0.41;
const rates = [300, 2_700];
const routes: readonly Route[] = ['direct', 'one_hop', 'two_hops'];
const percentiles: readonly Percentile[] = ['p50', 'p99', 'p999'];
/** A node keeps 8 connections to another node, which are too few for 2,700 calls per second. */
const upstreams = 3;
const defaultRounds = 3;
/** Nodes need some seconds until the JIT compiler has optimized their code. */
const warmUpMs = 4_000;
const measureMs = 3_000;

const targets = `
[class.lookup]
service = "s"
match = [{ method = "GET", path = "/lookup" }]
answer_within = "1s"
idempotent = true
`;

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? NaN;

const roundToMicroseconds = (value: number): number => Math.round(value * 1_000) / 1_000;

const addressOf = (deployment: Deployment, route: Route): string => {
  const addresses: Record<Route, () => string> = {
    direct: () => deployment.node('s-1').upstream!.address(),
    one_hop: () => deployment.node('s-1').calls,
    two_hops: () => deployment.node('caller-a-1').calls,
  };
  return addresses[route]();
};

const measure = async (address: string, ratePerSecond: number): Promise<PatternResult> => {
  const { patterns } = await runLoad({
    targets: [address],
    patterns: [{ name: 'lookup', method: 'GET', path: '/lookup', ratePerSecond }],
    warmUpMs,
    measureMs,
  });
  return patterns[0]!;
};

/** Runs the benchmark. `--rounds N` sets the number of measurements of each route. */
export const run = async ({ print, options }: BenchContext) => {
  const rounds = Number(options.rounds ?? defaultRounds);
  const deployment = await startDeployment({
    dataCentres: [
      {
        name: 'a',
        upstreams: [{ service: 's', count: upstreams, slots: 200, behaviour: { workMs: 0 } }],
        callerNodes: 1,
      },
    ],
    targets,
    logLevel: 'warn',
  });
  const results: Record<string, Record<Route, PatternResult[]>> = {};
  try {
    for (let round = 0; round < rounds; round += 1) {
      for (const rate of rates) {
        results[rate] ??= { direct: [], one_hop: [], two_hops: [] };
        for (const route of routes) {
          const result = await measure(addressOf(deployment, route), rate);
          results[rate][route].push(result);
          const { p50, p99, p999 } = result.latencyMs;
          print(
            `${rate}/s ${route}: p50 ${p50}, p99 ${p99}, p99.9 ${p999}, ${result.failed} failed`,
          );
        }
      }
    }
  } finally {
    await deployment.stop();
  }

  const medianLatencyMs = (rate: number, route: Route, percentile: Percentile): number =>
    median(results[rate]![route].map(({ latencyMs }) => latencyMs[percentile]));
  const added = Object.fromEntries(
    rates.map((rate) => [
      rate,
      Object.fromEntries(
        (['one_hop', 'two_hops'] as const).map((route) => [
          route,
          Object.fromEntries(
            percentiles.map((percentile) => [
              percentile,
              roundToMicroseconds(
                medianLatencyMs(rate, route, percentile) -
                  medianLatencyMs(rate, 'direct', percentile),
              ),
            ]),
          ),
        ]),
      ),
    ]),
  );
  const failed = rates
    .flatMap((rate) => routes.flatMap((route) => results[rate]![route]))
    .reduce((sum, result) => sum + result.failed, 0);
  return {
    target_ms: targetMs,
    rounds,
    failed,
    added_ms: added,
    added_p99_ms: roundToMicroseconds(
      medianLatencyMs(2_700, 'two_hops', 'p99') - medianLatencyMs(2_700, 'direct', 'p99'),
    ),
  };
};
