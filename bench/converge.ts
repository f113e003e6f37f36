/**
 * Measures the time until a change is in force on every proxy and the cost of distribution, at
 * three sizes and under churn: a configuration change every 2 s and changes of some endpoints every
 * second. The baseline runs after each size under the same churn.
 */
import { startBaseline } from './support/baseline.js';
import { startFeedLoad, type SentChange } from './support/feedLoad.js';
import { quantile, round, slope } from './support/processStats.js';

const defaultSizes = [9, 50, 150];
const warmUpMs = 3_000;
const windowMs = 20_000;
const changePeriodMs = 2_000;
const churnPeriodMs = 1_000;
const churnShare = 0.02;
/** A change that is not in force on a node this long after the window counts as missing there. */
const graceMs = 7_000;

const targets = { inForceMs: 7_000, bytesASecond: 3_000, coreShare: 0.035, nodeMb: 256 };

interface MeasuredFleet {
  change(): Promise<SentChange>;
  churn(endpoints: number): void;
  inForceTimes(version: string): Map<string, number>;
  sample(): Promise<{
    at: number;
    sourceCpuMs: number;
    nodeMb: readonly number[];
    nodeCpuMs?: readonly number[];
    sourceBytes: number;
    allBytes: number;
  }>;
}

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const measure = async (fleet: MeasuredFleet, size: number) => {
  await sleep(warmUpMs);
  const before = await fleet.sample();
  const changes: SentChange[] = [];
  const endAt = Date.now() + windowMs;
  const churn = setInterval(
    () => fleet.churn(Math.max(1, Math.round(size * churnShare))),
    churnPeriodMs,
  );
  while (Date.now() < endAt) {
    const startedAt = Date.now();
    changes.push(await fleet.change());
    await sleep(Math.max(0, changePeriodMs - (Date.now() - startedAt)));
  }
  clearInterval(churn);
  const after = await fleet.sample();
  const countDeliveries = () =>
    changes.reduce((sum, { version }) => sum + fleet.inForceTimes(version).size, 0);
  const graceEnd = Date.now() + graceMs;
  while (countDeliveries() < changes.length * size && Date.now() < graceEnd) {
    await sleep(100);
  }
  const times = changes.flatMap(({ version, sentAt }) =>
    [...fleet.inForceTimes(version).values()].map((at) => at - sentAt),
  );
  const seconds = (after.at - before.at) / 1_000;
  const nodeCoreShares = (after.nodeCpuMs ?? []).map(
    (ms, index) => (ms - (before.nodeCpuMs?.[index] ?? 0)) / (seconds * 1_000),
  );
  return {
    nodes: size,
    changes: changes.length,
    missing: changes.length * size - times.length,
    inForceMs: { p50: quantile(times, 0.5), p99: quantile(times, 0.99), max: Math.max(...times) },
    bytesASecondANode: round((after.allBytes - before.allBytes) / seconds / size, 0),
    sourceBytesASecond: round((after.sourceBytes - before.sourceBytes) / seconds, 0),
    sourceCoreShare: round((after.sourceCpuMs - before.sourceCpuMs) / seconds / 1_000, 4),
    nodeCoreShare:
      nodeCoreShares.length > 0
        ? {
            p50: round(quantile(nodeCoreShares, 0.5), 4),
            max: round(Math.max(...nodeCoreShares), 4),
          }
        : undefined,
    nodeMb: { p50: round(quantile(after.nodeMb, 0.5)), max: round(Math.max(...after.nodeMb)) },
  };
};

type Row = Awaited<ReturnType<typeof measure>>;

const slopesOf = (rows: readonly Row[]) => {
  const slopeOf = (pick: (row: Row) => number) =>
    Number(slope(rows.map((row) => ({ x: row.nodes, y: pick(row) }))).toPrecision(3));
  return rows.length < 2
    ? undefined
    : {
        sourceBytesASecondPerNode: slopeOf(({ sourceBytesASecond }) => sourceBytesASecond),
        sourceCoreSharePerNode: slopeOf(({ sourceCoreShare }) => sourceCoreShare),
        bytesASecondANodePerNode: slopeOf(({ bytesASecondANode }) => bytesASecondANode),
        inForceMaxMsPerNode: slopeOf(({ inForceMs }) => inForceMs.max),
      };
};

export const run = async ({
  print,
  options,
}: {
  print: (line: string) => void;
  options: Readonly<Record<string, unknown>>;
}) => {
  const sizes =
    typeof options.sizes === 'string' ? options.sizes.split(',').map(Number) : defaultSizes;
  const product: Row[] = [];
  const baseline: Row[] = [];
  for (const size of sizes) {
    const fleet = await startFeedLoad(Math.ceil(size / 3) * 3, print);
    product.push(await measure(fleet, fleet.deployment.nodes.length).finally(fleet.stop));
    print(`product: ${JSON.stringify(product.at(-1))}`);
    const baselineFleet = await startBaseline(Math.ceil(size / 3) * 3);
    baseline.push(
      await measure(baselineFleet, Math.ceil(size / 3) * 3).finally(baselineFleet.stop),
    );
    print(`baseline: ${JSON.stringify(baseline.at(-1))}`);
  }
  return {
    bench: 'converge',
    targets,
    product,
    baseline,
    slopes: { product: slopesOf(product), baseline: slopesOf(baseline) },
  };
};
