/**
 * Processor time that nodes spend on a call over two hops at the low rates of service, where most
 * code runs in the interpreter. All calls enter at nodes whose own endpoint is of another service.
 * With `--old FOLDER` (an earlier `dist`) a second deployment runs that build, and phases of load
 * alternate between the two; time that a deployment spends without calls is taken off.
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
/** As in service, where a small young generation bounds the memory of a node. */
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

const createSubject = async (programs: string | undefined, endpoints: number) => {
  const platform: Platform = await startPlatform({
    dataCentres: [{ name: 'a', services: ['beta', ...Array<string>(endpoints).fill('alpha')] }],
    endpoint: { workMs: 5, slots: 20 },
    nodeArgs,
    programFolder: programs,
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

  /** Sends calls at a rate and returns what the nodes used meanwhile. */
  const phase = async (ratePerSecond: number, ms: number) => {
    const before = sample();
    const startedAt = performance.now();
    const open: Promise<void>[] = [];
    let nextAt = 0;
    while (performance.now() - startedAt < ms) {
      const now = performance.now() - startedAt;
      while (ratePerSecond > 0 && nextAt <= now) {
        open.push(call());
        nextAt += 1_000 / ratePerSecond;
      }
      await sleep(2);
    }
    await Promise.all(open);
    const after = sample();
    const elapsedMs = performance.now() - startedAt;
    const perMs = (key: keyof Sample) => (after[key] - before[key]) / elapsedMs;
    return {
      calls: open.length,
      elapsedMs,
      entryUs: perMs('entryUs'),
      otherUs: perMs('otherUs'),
      entrySwitches: perMs('entrySwitches'),
      otherSwitches: perMs('otherSwitches'),
    };
  };

  return {
    phase,
    failed: () => failed,
    stop: async () => {
      agent.destroy();
      await platform.stop();
    },
  };
};

type Subject = Awaited<ReturnType<typeof createSubject>>;

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
  const subjects: Record<string, Subject> = {};
  const figures: Record<string, { first: number[]; second: number[]; wakeUps: number[] }> = {};
  const idle: Record<string, Awaited<ReturnType<Subject['phase']>>> = {};
  try {
    for (const [name, programs] of Object.entries(builds)) {
      subjects[name] = await createSubject(programs, endpoints);
      figures[name] = { first: [], second: [], wakeUps: [] };
    }
    for (const [name, subject] of Object.entries(subjects)) {
      idle[name] = await subject.phase(0, phaseMs);
      print(`${name} without calls: ${round(idle[name].entryUs, 2)} us a ms at the entry node`);
    }
    for (let count = 0; count < rounds; count += 1) {
      for (const [name, subject] of Object.entries(subjects)) {
        const used = await subject.phase(rate, phaseMs);
        const base = idle[name]!;
        const perCall = (key: 'entryUs' | 'otherUs' | 'entrySwitches' | 'otherSwitches') =>
          ((used[key] - base[key]) * used.elapsedMs) / used.calls;
        const first = perCall('entryUs');
        const second = perCall('otherUs');
        const wakeUps = perCall('entrySwitches') + perCall('otherSwitches');
        figures[name]!.first.push(first);
        figures[name]!.second.push(second);
        figures[name]!.wakeUps.push(wakeUps);
        print(
          `${name}: ${round(first)} us at the first hop, ${round(second)} us at the second, ` +
            `${round(wakeUps, 2)} switches a call (${used.calls} calls)`,
        );
      }
    }
    return {
      endpoints,
      rate,
      builds: Object.fromEntries(
        Object.entries(figures).map(([name, { first, second, wakeUps }]) => [
          name,
          {
            first_hop_us: round(median(first)),
            second_hop_us: round(median(second)),
            switches: round(median(wakeUps), 2),
            idle_entry_us_per_s: round(idle[name]!.entryUs * 1_000),
            failed: subjects[name]!.failed(),
          },
        ]),
      ),
    };
  } finally {
    await Promise.all(Object.values(subjects).map((subject) => subject.stop()));
  }
};
