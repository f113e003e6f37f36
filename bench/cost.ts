/**
 * Measures the CPU time that nodes spend on a call over two hops at the low call rates of
 * production, where most code runs in the interpreter. All calls enter at a node whose local
 * endpoint belongs to another service. With `--old FOLDER` (an earlier `dist`), a second deployment
 * runs that build and load phases alternate between the two. The CPU time of an idle deployment is
 * subtracted.
 */
import { Agent } from 'node:http';
import { resolve } from 'node:path';
import { createDocument, startPlatform, type Platform } from '../__tests__/support/platform.js';
import { cpuTimeUs, round, countContextSwitches } from './support/processStats.js';

interface BenchContext {
  readonly print: (line: string) => void;
  readonly options: Readonly<Record<string, unknown>>;
}

const defaults = { endpoints: 12, rate: 100, rounds: 3, phaseMs: 6_000 };
const host = 'mesh.example';
/** As in production, where a small young generation limits the memory of a node. */
const nodeArgs = ['--max-semi-space-size=2', '--max-old-space-size=120'];
const routes = [
  { name: 'r-look', prefix: '/look/', service: 'alpha' },
  { name: 'r-tile', prefix: '/tile/', service: 'beta' },
];

const sleep = (ms: number): Promise<void> =>
  new Promise((done) => {
    setTimeout(done, ms);
  });

interface Sample {
  readonly entryUs: number;
  readonly otherUs: number;
  readonly entrySwitches: number;
  readonly otherSwitches: number;
}

const startTestedBuild = async (programFolder: string | undefined, endpoints: number) => {
  const platform: Platform = await startPlatform({
    dataCentres: [{ name: 'a', services: ['beta', ...Array<string>(endpoints).fill('alpha')] }],
    endpoint: { workMs: 5, slots: 20 },
    nodeArgs,
    programFolder,
  });
  await platform.putUntilAccepted(createDocument(1, 0, routes));
  await platform.waitUntilReady();
  const agent = new Agent({ keepAlive: true, maxSockets: 32 });
  const [entry, ...others] = platform.nodes;
  let sequence = 0;
  let failed = 0;

  const sample = (): Sample => {
    const sum = (read: (pid: number) => number) =>
      others.reduce((total, machine) => total + read(machine.process.pid()!), 0);
    const pid = entry!.process.pid()!;
    return {
      entryUs: cpuTimeUs(pid),
      otherUs: sum(cpuTimeUs),
      entrySwitches: countContextSwitches(pid),
      otherSwitches: sum(countContextSwitches),
    };
  };

  const call = async () => {
    sequence += 1;
    try {
      const path = `/look/${sequence}`;
      const { status } = await platform.call(entry!, { path, host, id: `c-${sequence}`, agent });
      failed += status === 200 ? 0 : 1;
    } catch {
      failed += 1;
    }
  };

  /** Sends calls at a rate and returns the resource usage of the nodes during that time. */
  const runPhase = async (ratePerSecond: number, ms: number) => {
    const before = sample();
    const startedAt = performance.now();
    const pendingCalls: Promise<void>[] = [];
    let nextAt = 0;
    while (performance.now() - startedAt < ms) {
      const now = performance.now() - startedAt;
      while (ratePerSecond > 0 && nextAt <= now) {
        pendingCalls.push(call());
        nextAt += 1_000 / ratePerSecond;
      }
      await sleep(2);
    }
    await Promise.all(pendingCalls);
    const after = sample();
    const elapsedMs = performance.now() - startedAt;
    const perMs = (key: keyof Sample) => (after[key] - before[key]) / elapsedMs;
    return {
      calls: pendingCalls.length,
      elapsedMs,
      entryUs: perMs('entryUs'),
      otherUs: perMs('otherUs'),
      entrySwitches: perMs('entrySwitches'),
      otherSwitches: perMs('otherSwitches'),
    };
  };

  return {
    phase: runPhase,
    failed: () => failed,
    stop: async () => {
      agent.destroy();
      await platform.stop();
    },
  };
};

type TestedBuild = Awaited<ReturnType<typeof startTestedBuild>>;

const median = (values: readonly number[]): number =>
  [...values].sort((a, b) => a - b)[Math.floor(values.length / 2)] ?? Number.NaN;

/** Runs the benchmark. */
export const run = async ({ print, options }: BenchContext) => {
  const number = (name: keyof typeof defaults) => Number(options[name] ?? defaults[name]);
  const { endpoints, rate, rounds, phaseMs } = {
    endpoints: number('endpoints'),
    rate: number('rate'),
    rounds: number('rounds'),
    phaseMs: number('phaseMs'),
  };
  const builds: Record<string, string | undefined> = {
    ...(typeof options.old === 'string' && { old: resolve(options.old) }),
    new: undefined,
  };
  const testedBuilds: Record<string, TestedBuild> = {};
  const figures: Record<string, { first: number[]; second: number[]; contextSwitches: number[] }> =
    {};
  const idlePhases: Record<string, Awaited<ReturnType<TestedBuild['phase']>>> = {};
  try {
    for (const [name, programFolder] of Object.entries(builds)) {
      testedBuilds[name] = await startTestedBuild(programFolder, endpoints);
      figures[name] = { first: [], second: [], contextSwitches: [] };
    }
    for (const [name, testedBuild] of Object.entries(testedBuilds)) {
      idlePhases[name] = await testedBuild.phase(0, phaseMs);
      print(
        `${name} without calls: ${round(idlePhases[name].entryUs, 2)} us per ms at the entry node`,
      );
    }
    for (let count = 0; count < rounds; count += 1) {
      for (const [name, testedBuild] of Object.entries(testedBuilds)) {
        const loadPhase = await testedBuild.phase(rate, phaseMs);
        const idlePhase = idlePhases[name]!;
        const perCall = (key: 'entryUs' | 'otherUs' | 'entrySwitches' | 'otherSwitches') =>
          ((loadPhase[key] - idlePhase[key]) * loadPhase.elapsedMs) / loadPhase.calls;
        const firstHopUs = perCall('entryUs');
        const secondHopUs = perCall('otherUs');
        const contextSwitches = perCall('entrySwitches') + perCall('otherSwitches');
        figures[name]!.first.push(firstHopUs);
        figures[name]!.second.push(secondHopUs);
        figures[name]!.contextSwitches.push(contextSwitches);
        print(
          `${name}: ${round(firstHopUs)} us at the first hop, ${round(secondHopUs)} us at the second, ` +
            `${round(contextSwitches, 2)} context switches per call (${loadPhase.calls} calls)`,
        );
      }
    }
    return {
      endpoints,
      rate,
      builds: Object.fromEntries(
        Object.entries(figures).map(
          ([name, { first: firstHopUs, second: secondHopUs, contextSwitches }]) => [
            name,
            {
              first_hop_us: round(median(firstHopUs)),
              second_hop_us: round(median(secondHopUs)),
              switches: round(median(contextSwitches), 2),
              idle_entry_us_per_s: round(idlePhases[name]!.entryUs * 1_000),
              failed: testedBuilds[name]!.failed(),
            },
          ],
        ),
      ),
    };
  } finally {
    await Promise.all(Object.values(testedBuilds).map((testedBuild) => testedBuild.stop()));
  }
};
