/**
 * Recovery from a mass failure with a thundering herd of reconnections: half of all nodes and one
 * of the three control instances are killed at once and restarted, and a change is accepted
 * meanwhile. Measures the time until that change is in force on every proxy, and the cost of the
 * reconnections for the source. In the baseline, all lost nodes reconnect to the source at once.
 */
import { startBaseline } from './support/baseline.js';
import { startFeedLoad, type SentChange } from './support/feedLoad.js';
import { quantile, round, slope } from './support/processStats.js';
import { waitFor } from '../__tests__/support/waitFor.js';

const defaultSizes = [9, 50, 150];
const limitMs = 120_000;
const sampleWindowMs = 10_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

interface MeasuredFleet {
  /** Kills half of the processes and restarts them. */
  crashAndRestart(): Promise<void>;
  change(): Promise<SentChange>;
  inForceTimes(version: string): Map<string, number>;
  sample(): Promise<{ at: number; sourceCpuMs: number; sourceBytes: number }>;
}

const measure = async (fleet: MeasuredFleet, size: number) => {
  const before = await fleet.sample();
  const crashedAt = Date.now();
  await fleet.crashAndRestart();
  const { version, sentAt } = await fleet.change();
  const acceptedAfterMs = Date.now() - crashedAt;
  await sleep(Math.max(0, sampleWindowMs - (Date.now() - crashedAt)));
  const after = await fleet.sample();
  await waitFor(() => fleet.inForceTimes(version).size === size, {
    limitMs,
    everyMs: 100,
    what: `the change on ${size} nodes`,
  });
  const times = [...fleet.inForceTimes(version).values()].map((at) => at - crashedAt);
  const seconds = (after.at - before.at) / 1_000;
  return {
    nodes: size,
    acceptedAfterMs,
    sentAfterMs: sentAt - crashedAt,
    inForceAfterMs: {
      p50: quantile(times, 0.5),
      p99: quantile(times, 0.99),
      max: Math.max(...times),
    },
    sourceCoreShare: round((after.sourceCpuMs - before.sourceCpuMs) / seconds / 1_000, 3),
    sourceBytes: after.sourceBytes - before.sourceBytes,
  };
};

type Row = Awaited<ReturnType<typeof measure>>;

const slopesOf = (rows: readonly Row[]) => {
  const slopeOf = (pick: (row: Row) => number) =>
    Number(slope(rows.map((row) => ({ x: row.nodes, y: pick(row) }))).toPrecision(3));
  return rows.length < 2
    ? undefined
    : {
        inForceAfterMsPerNode: slopeOf(({ inForceAfterMs }) => inForceAfterMs.max),
        sourceBytesPerNode: slopeOf(({ sourceBytes }) => sourceBytes),
        sourceCoreSharePerNode: slopeOf(({ sourceCoreShare }) => sourceCoreShare),
      };
};

const measureProduct = async (size: number, print: (line: string) => void): Promise<Row> => {
  const fleet = await startFeedLoad(size, print);
  const { nodes, controls } = fleet.deployment;
  const lostControl = controls.at(-1);
  const crashing = [
    ...nodes.filter((_, index) => index % 2 === 0),
    ...(lostControl ? [lostControl] : []),
  ];
  const survivors = controls.filter((control) => control !== lostControl);
  const crashAndRestart = async () => {
    await Promise.all(crashing.map(({ process }) => process.end('SIGKILL')));
    crashing.forEach(({ process }) => process.start());
  };
  // The restarted control instance has its counters reset, so only the others count as the source.
  const sample = () => fleet.sample(survivors);
  return measure({ ...fleet, crashAndRestart, sample }, size).finally(fleet.stop);
};

const measureBaseline = async (size: number): Promise<Row> => {
  const baselineFleet = await startBaseline(size);
  const crashAndRestart = async () => baselineFleet.restartHalf();
  return measure({ ...baselineFleet, crashAndRestart }, size).finally(baselineFleet.stop);
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
  for (const size of sizes.map((each) => Math.ceil(each / 3) * 3)) {
    product.push(await measureProduct(size, print));
    print(`product: ${JSON.stringify(product.at(-1))}`);
    baseline.push(await measureBaseline(size));
    print(`baseline: ${JSON.stringify(baseline.at(-1))}`);
  }
  return {
    bench: 'herd',
    product,
    baseline,
    slopes: { product: slopesOf(product), baseline: slopesOf(baseline) },
  };
};
