/**
 * Partitions a data centre from the others, has several changes accepted without it, and heals the
 * partition. Measures the time until every proxy of the partitioned data centre has the newest
 * version in force, and counts rollbacks to an older version. The fault proxies run in this process
 * and look up the source of each connection, which limits the size.
 */
import {
  createChangeClient,
  parseVersionIndex,
  formatTargets,
} from '../__tests__/support/deploymentClient.js';
import { waitFor } from '../__tests__/support/waitFor.js';
import { services, startFeedLoad } from './support/feedLoad.js';
import { quantile, slope } from './support/processStats.js';

const defaultSizes = [9, 24, 48];
const changesDuringPartition = 5;
const partitionMs = 15_000;
const limitMs = 60_000;

const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

/** Counts rollbacks to an older version in the log of a process. */
const countRollbacks = (lines: readonly string[]): number => {
  const indexes = lines
    .filter((line) => line.includes('feed: version in force'))
    .map((line) => parseVersionIndex((JSON.parse(line) as { version: string }).version));
  return indexes.filter((index, place) => place > 0 && index < (indexes[place - 1] ?? 0)).length;
};

const measure = async (size: number, print: (line: string) => void) => {
  const fleet = await startFeedLoad(size, print, { faultProxies: true });
  const { deployment } = fleet;
  try {
    const cutOffProcesses = deployment.processNamesIn('c');
    const otherProcesses = [...deployment.processNamesIn('a'), ...deployment.processNamesIn('b')];
    const cutOff = deployment.nodes.filter(({ dataCentre }) => dataCentre === 'c');
    const connected = deployment.nodes.filter(({ dataCentre }) => dataCentre !== 'c');
    deployment.partition(cutOffProcesses, otherProcesses);
    await sleep(partitionMs / 2);
    const controls = deployment.controls.filter(({ dataCentre }) => dataCentre !== 'c');
    const changes = createChangeClient({ ...deployment, controls });
    let version = '';
    let sentAt = 0;
    for (let change = 0; change < changesDuringPartition; change += 1) {
      sentAt = Date.now();
      version = await changes.apply(formatTargets(services, 10 + change), ['c']);
    }
    await sleep(partitionMs / 2);
    const inForceDuringPartition = fleet.inForceTimes(version);
    const healedAt = Date.now();
    deployment.heal();
    await waitFor(() => fleet.inForceTimes(version).size === size, {
      limitMs,
      everyMs: 50,
      what: 'the newest version on all nodes',
    });
    const inForceAfterHeal = fleet.inForceTimes(version);
    const times = cutOff.map(({ name }) => (inForceAfterHeal.get(name) ?? 0) - healedAt);
    changes.close();
    return {
      nodes: size,
      nodesCutOff: cutOff.length,
      changes: changesDuringPartition,
      connectedInForceMs: Math.max(
        ...connected.map(({ name }) => (inForceDuringPartition.get(name) ?? NaN) - sentAt),
      ),
      cutOffInForceDuringCut: cutOff.filter(({ name }) => inForceDuringPartition.has(name)).length,
      inForceAfterHealMs: { p50: quantile(times, 0.5), max: Math.max(...times) },
      stepsBack: deployment.nodes.reduce(
        (sum, { process }) => sum + countRollbacks(process.output()),
        0,
      ),
    };
  } finally {
    await fleet.stop();
  }
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
  const rows: Awaited<ReturnType<typeof measure>>[] = [];
  for (const size of sizes) {
    rows.push(await measure(Math.ceil(size / 3) * 3, print));
    print(JSON.stringify(rows.at(-1)));
  }
  const points = rows.map((row) => ({ x: row.nodes, y: row.inForceAfterHealMs.max }));
  return {
    bench: 'cut',
    product: rows,
    slopes: rows.length < 2 ? undefined : { inForceAfterHealMsPerNode: slope(points) },
  };
};
