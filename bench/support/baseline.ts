/**
 * Runs the baseline of the distribution benchmarks, see baselineProcess.ts.
 */
import { fork, type ChildProcess } from 'node:child_process';
import { mkdtempSync, rmSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { build } from 'esbuild';
import { createConfiguration } from '../../__tests__/support/feedFleet.js';
import { waitFor } from '../../__tests__/support/waitFor.js';
import type { SentChange } from './feedLoad.js';
import { services } from './feedLoad.js';
import { cpuTimeMs, residentMb } from './processStats.js';

interface Message {
  readonly listening?: string;
  readonly accepted?: number;
  readonly inForce?: number;
  readonly at?: number;
  readonly traffic?: { readonly receivedBytes: number; readonly sentBytes: number };
}

export interface Baseline {
  change(): Promise<SentChange>;
  churn(endpoints: number): void;
  inForceTimes(version: string): Map<string, number>;
  sample(): Promise<{
    at: number;
    sourceCpuMs: number;
    nodeMb: number[];
    sourceBytes: number;
    allBytes: number;
  }>;
  /** Kills half of the nodes and restarts them. */
  restartHalf(): void;
  stop(): void;
}

export const startBaseline = async (size: number): Promise<Baseline> => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnsill-baseline-'));
  const script = join(folder, 'baseline.mjs');
  await build({
    entryPoints: [join(import.meta.dirname, 'baselineProcess.ts')],
    outfile: script,
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    logLevel: 'error',
    banner: {
      js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
    },
  });
  const forkProcess = (args: readonly string[]): ChildProcess =>
    fork(script, args, { execArgv: [], stdio: 'ignore', serialization: 'json' });
  const nodes: ChildProcess[] = [];
  const timesByVersion = new Map<number, Map<string, number>>();
  let address = '';
  let accepted = 0;
  let traffic: Message['traffic'];
  let churnCount = 0;

  const source = forkProcess(['source']);
  source.on('message', (message: Message) => {
    address = message.listening ?? address;
    accepted = message.accepted ?? accepted;
    traffic = message.traffic ?? traffic;
  });
  process.on('exit', () => [source, ...nodes].forEach((child) => child.kill('SIGKILL')));
  await waitFor(() => address, { what: 'the start of the baseline source' });

  const startNode = (index: number) => {
    const child = forkProcess([
      'node',
      address,
      `node-${index}`,
      services[index % services.length] ?? '',
    ]);
    nodes[index] = child;
    child.on('message', ({ inForce: version, at }: Message) => {
      const times = timesByVersion.get(version ?? 0) ?? new Map<string, number>();
      timesByVersion.set(version ?? 0, times);
      times.set(`node-${index}`, at ?? 0);
    });
  };
  for (let index = 0; index < size; index += 1) {
    startNode(index);
  }

  const change = async (): Promise<SentChange> => {
    const before = accepted;
    const sentAt = Date.now();
    source.send({ configuration: createConfiguration(services, 1 + (before % 99)) });
    await waitFor(() => accepted > before, { everyMs: 1, what: 'the change' });
    return { version: String(accepted), sentAt };
  };

  const inForceTimes = (version: string): Map<string, number> => {
    const times = new Map<string, number>();
    [...timesByVersion]
      .filter(([index]) => index >= Number(version))
      .sort(([a], [b]) => b - a)
      .forEach(([, each]) => each.forEach((at, name) => times.set(name, at)));
    return times;
  };

  const first = await change();
  await waitFor(() => inForceTimes(first.version).size === size, {
    limitMs: 60_000,
    what: 'the first version on all nodes of the baseline',
  });

  return {
    change,
    churn: (endpoints) => {
      for (let count = 0; count < endpoints; count += 1) {
        nodes[churnCount % nodes.length]?.send({ churn: true });
        churnCount += 1;
      }
    },
    inForceTimes,
    sample: async () => {
      traffic = undefined;
      source.send({ traffic: true });
      const { receivedBytes, sentBytes } = await waitFor(() => traffic, { what: 'the traffic' });
      const bytes = receivedBytes + sentBytes;
      return {
        at: Date.now(),
        sourceCpuMs: cpuTimeMs(source.pid ?? 0),
        nodeMb: nodes.map(({ pid }) => residentMb(pid ?? 0)),
        sourceBytes: bytes,
        allBytes: bytes,
      };
    },
    restartHalf: () => {
      nodes.forEach((child, index) => {
        if (index % 2 === 0) {
          child.kill('SIGKILL');
          startNode(index);
        }
      });
    },
    stop: () => {
      [source, ...nodes].forEach((child) => child.kill('SIGKILL'));
      rmSync(folder, { recursive: true, force: true });
    },
  };
};
