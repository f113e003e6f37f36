/**
 * Routing around faulty endpoints: each case starts with healthy endpoints, injects a fault at the
 * end of the warm-up and measures from then on. Baselines in the same run: the same calls directly
 * to the same upstreams, in round-robin order and to the one with the fewest calls in flight.
 */
import {
  startDeployment,
  type Deployment,
  type StandInUpstream,
} from '../__tests__/support/deployment.js';
import { runLoad, type LoadOptions } from './support/load.js';

interface BenchContext {
  readonly print: (line: string) => void;
  readonly options: Readonly<Record<string, unknown>>;
}

interface Case {
  readonly name: string;
  injectFault(upstreams: readonly StandInUpstream[]): Promise<unknown>;
}

const endpoints = 4;
const slots = 4;
const workMs = 20;
const targetMs = 200;
const ratePerSecond = 300;
const warmUpMs = 3_000;
const measureMs = 6_000;
/** Approximate start time of the load generator process, in ms. */
const generatorStartMs = 700;
const settleMs = 1_500;

const targets = `
[service.s]
expected = true
[class.lookup]
service = "s"
match = [{ method = "GET", path = "/" }]
answer_within = "${targetMs}ms"
idempotent = true
work = "${workMs}ms"
`;

const healthy = { mode: 'normal', modeShare: 1, workMs, claimedLoad: undefined };

const cases: readonly Case[] = [
  { name: 'none', injectFault: async () => undefined },
  { name: 'one slow', injectFault: ([first]) => first!.setBehaviour({ workMs: 10 * workMs }) },
  {
    name: 'one slow that claims no load',
    injectFault: ([first]) => first!.setBehaviour({ workMs: 10 * workMs, claimedLoad: 0 }),
  },
  {
    name: 'one fails fast',
    injectFault: ([first]) => first!.setBehaviour({ mode: 'fail', workMs: 0 }),
  },
  { name: 'one silent', injectFault: ([first]) => first!.setBehaviour({ mode: 'silent' }) },
  {
    name: 'all fail half of their calls',
    injectFault: (upstreams) =>
      Promise.all(
        upstreams.map((upstream) => upstream.setBehaviour({ mode: 'fail', modeShare: 0.5 })),
      ),
  },
];

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const upstreamsOf = ({ nodes }: Deployment): StandInUpstream[] =>
  nodes.flatMap(({ upstream }) => (upstream ? [upstream] : []));

const measure = async (
  deployment: Deployment,
  { injectFault }: Case,
  route: Pick<LoadOptions, 'targets' | 'balance'>,
) => {
  const upstreams = upstreamsOf(deployment);
  await Promise.all(upstreams.map((upstream) => upstream.setBehaviour(healthy)));
  await sleep(settleMs);
  const load = runLoad({
    ...route,
    patterns: [
      { name: 'lookup', method: 'GET', path: '/', ratePerSecond, usefulWithinMs: targetMs },
    ],
    warmUpMs,
    measureMs,
    timeoutMs: 2 * targetMs,
  });
  await sleep(generatorStartMs + warmUpMs);
  await injectFault(upstreams);
  const { patterns, maxStartLagMs } = await load;
  const { calls = 0, useful = 0, failed = 0, latencyMs } = patterns[0] ?? {};
  return {
    usefulShare: Number((useful / calls).toFixed(4)),
    failedShare: Number((failed / calls).toFixed(4)),
    p50Ms: Number(latencyMs?.p50.toFixed(1)),
    p99Ms: Number(latencyMs?.p99.toFixed(1)),
    generatorLagMs: Math.round(maxStartLagMs),
  };
};

export const run = async ({ print, options }: BenchContext) => {
  const deployment = await startDeployment({
    dataCentres: [
      {
        name: 'a',
        upstreams: [{ service: 's', count: endpoints, slots, behaviour: { workMs } }],
        callerNodes: 1,
      },
    ],
    targets,
  });
  try {
    const callerAddresses = deployment.nodes
      .filter(({ upstream }) => !upstream)
      .map(({ calls }) => calls);
    const direct = upstreamsOf(deployment).map((upstream) => upstream.address());
    const selected = cases.filter(({ name }) => !options.case || name === options.case);
    const results: Record<string, unknown> = {};
    for (const testCase of selected) {
      results[testCase.name] = {
        auburnsill: await measure(deployment, testCase, { targets: callerAddresses }),
        inTurn: await measure(deployment, testCase, { targets: direct }),
        leastInFlight: await measure(deployment, testCase, {
          targets: direct,
          balance: 'least_in_flight',
        }),
      };
      print(`${testCase.name}: ${JSON.stringify(results[testCase.name])}`);
    }
    return { bench: 'routing', ratePerSecond, targetMs, cases: results };
  } finally {
    await deployment.stop();
  }
};
