/**
 * Retry amplification through 9 levels of services whose last level fails: the number of calls that
 * reach the last level per call at the first. Baseline in the same run: the same services without
 * nodes and with three attempts at each level.
 */
import { startDeployment } from '../__tests__/support/deployment.js';
import { servicePath, startChain } from './support/chain.js';
import { runLoad } from './support/load.js';

interface BenchContext {
  readonly print: (line: string) => void;
}

const depth = 9;
const ratePerSecond = 50;
const warmUpMs = 4_000;
const measureMs = 8_000;
/** Three attempts at each of 8 levels are 6,561 calls, so the baseline makes only one call. */
const baselineCalls = 1;
const baselineTries = 3;
const baselineLimitMs = 30_000;

const targets = Array.from(
  { length: depth },
  (_, level) => `
[service.level-${level}]
expected = true
[class.level-${level}]
service = "level-${level}"
match = [{ method = "GET", path = "${servicePath(level)}" }]
answer_within = "2s"
idempotent = true
`,
).join('');

const sleep = (ms: number) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export const run = async ({ print }: BenchContext) => {
  const deployment = await startDeployment({
    dataCentres: [{ name: 'a', callerNodes: depth }],
    targets,
  });
  const chain = await startChain(depth);
  try {
    const { nodes } = deployment;
    await chain.announceTo(nodes.map(({ admin }) => admin));
    chain.useNodes(nodes.map(({ calls }) => calls));
    await sleep(2_000);
    const load = {
      targets: [nodes[0]!.calls],
      patterns: [{ name: 'top', method: 'GET' as const, path: servicePath(0), ratePerSecond }],
    };
    // The initial retry budget of a node without calls is used up before the measurement.
    await runLoad({ ...load, warmUpMs: 0, measureMs: warmUpMs });
    chain.reset();
    const { patterns } = await runLoad({ ...load, warmUpMs: 0, measureMs });
    const [top] = patterns;
    const auburnsill = {
      topCalls: top?.calls ?? 0,
      bottomCalls: chain.bottomCalls(),
      bottomPerTop: Number((chain.bottomCalls() / Math.max(1, top?.calls ?? 0)).toFixed(3)),
      statuses: top?.statuses,
    };
    print(`through nodes: ${JSON.stringify(auburnsill)}`);

    chain.callDirectly(baselineTries);
    chain.reset();
    const signal = AbortSignal.timeout(baselineLimitMs);
    const first = chain.levels[0]!.address;
    for (let call = 0; call < baselineCalls; call += 1) {
      await fetch(`http://${first}${servicePath(0)}`, { signal }).catch(() => undefined);
    }
    const baseline = {
      topCalls: baselineCalls,
      bottomCalls: chain.bottomCalls(),
      bottomPerTop: chain.bottomCalls() / baselineCalls,
    };
    print(`three attempts at each level: ${JSON.stringify(baseline)}`);
    return { bench: 'retry', depth, auburnsill, baseline };
  } finally {
    await chain.stop();
    await deployment.stop();
  }
};
