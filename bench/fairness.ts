/**
 * Fairness between callers of one class: one caller requests four times the capacity through two
 * nodes, another one a tenth of it through one of them. Baseline in the same run: the same calls
 * directly to the same upstreams, which serve them in order of arrival.
 */
import { startDeployment } from '../__tests__/support/deployment.js';
import { runLoad, type CallPattern, type LoadResult } from './support/load.js';

interface BenchContext {
  readonly print: (line: string) => void;
}

const endpoints = 2;
const slots = 4;
const workMs = 40;
const capacity = (endpoints * slots * 1_000) / workMs;
const targetMs = 400;
const greedyRate = 4 * capacity;
const modestRate = capacity / 10;
const warmUpMs = 3_000;
const measureMs = 8_000;
const greedyAddress = '127.0.0.2';
const modestAddress = '127.0.0.3';

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

const lookup = (ratePerSecond: number): CallPattern => ({
  name: 'lookup',
  method: 'GET',
  path: '/',
  ratePerSecond,
  usefulWithinMs: targetMs,
});

const share = ({ patterns: [result] }: LoadResult): number =>
  Number(((result?.useful ?? 0) / Math.max(1, result?.calls ?? 0)).toFixed(3));

const measure = async (greedyTargets: readonly string[], modestTargets: readonly string[]) => {
  const common = { warmUpMs, measureMs, timeoutMs: 2 * targetMs, connections: 4_096 };
  const [greedy, modest] = await Promise.all([
    runLoad({
      ...common,
      targets: greedyTargets,
      patterns: [lookup(greedyRate)],
      localAddress: greedyAddress,
    }),
    runLoad({
      ...common,
      targets: modestTargets,
      patterns: [lookup(modestRate)],
      localAddress: modestAddress,
    }),
  ]);
  const useful = (greedy.patterns[0]?.useful ?? 0) + (modest.patterns[0]?.useful ?? 0);
  return {
    modestUsefulShare: share(modest),
    greedyUsefulShare: share(greedy),
    modestP99Ms: Math.round(modest.patterns[0]?.latencyMs.p99 ?? 0),
    usefulPerSecond: Math.round((useful * 1_000) / measureMs),
  };
};

export const run = async ({ print }: BenchContext) => {
  const deployment = await startDeployment({
    dataCentres: [
      {
        name: 'a',
        upstreams: [{ service: 's', count: endpoints, slots, behaviour: { workMs } }],
        callerNodes: 2,
      },
    ],
    targets,
  });
  try {
    const callers = deployment.nodes.filter(({ upstream }) => !upstream).map(({ calls }) => calls);
    const direct = deployment.nodes.flatMap(({ upstream }) =>
      upstream ? [upstream.address()] : [],
    );
    const auburnsill = await measure(callers, callers.slice(0, 1));
    print(`through nodes: ${JSON.stringify(auburnsill)}`);
    const baseline = await measure(direct, direct);
    print(`in order of arrival: ${JSON.stringify(baseline)}`);
    return {
      bench: 'fairness',
      capacityPerSecond: capacity,
      greedyRate,
      modestRate,
      auburnsill,
      baseline,
    };
  } finally {
    await deployment.stop();
  }
};
