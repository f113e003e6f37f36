/**
 * Real process of a test, started from dist/, with its output collected. All processes that a test
 * started are killed when the test process exits.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { waitFor } from './waitFor.js';

const maxKeptLines = 2_000;
const startLimitMs = 20_000;

export interface ManagedProcessOptions {
  readonly name: string;
  /** Script in dist/ and its arguments. */
  readonly args: readonly string[];
  readonly cwd: string;
  readonly env?: Readonly<Record<string, string>>;
}

export interface ManagedProcess {
  readonly name: string;
  /** Starts the process; `extraArgs` are for this start only. */
  start(extraArgs?: readonly string[]): void;
  pid(): number | undefined;
  isRunning(): boolean;
  signal(signal: NodeJS.Signals): void;
  /** Suspends the process with SIGSTOP: it keeps its connections but does not respond. */
  pause(): void;
  resume(): void;
  /** Sends a signal and waits for the exit. Resolves with the exit code, null after a signal. */
  end(signal?: NodeJS.Signals): Promise<number | null>;
  /** Waits for the process to exit by itself. Rejects after `limitMs`. */
  waitForExit(limitMs?: number): Promise<number | null>;
  exitCode(): number | null;
  /** First line on standard output, for processes that print their addresses. */
  firstLine(): Promise<string>;
  output(): readonly string[];
  stdout(): string;
  stderr(): string;
  tail(lines?: number): string;
}

const started = new Set<ChildProcess>();

process.on('exit', () => started.forEach((child) => child.kill('SIGKILL')));

/** The test runner ends a test file that times out with a signal, which skips the `exit` event. */
(['SIGTERM', 'SIGHUP'] as const).forEach((signal) =>
  process.on(signal, () => {
    if (process.listenerCount(signal) === 1) {
      process.exit(1);
    }
  }),
);

export const createManagedProcess = ({
  name,
  args,
  cwd,
  env,
}: ManagedProcessOptions): ManagedProcess => {
  const lines: string[] = [];
  const standardOutput: string[] = [];
  const standardError: string[] = [];
  let child: ChildProcess | undefined;
  let exitPromise: Promise<number | null> = Promise.resolve(null);

  const collect = (stream: NodeJS.ReadableStream | null, into?: string[]) => {
    let partialLine = '';
    stream?.setEncoding('utf8');
    stream?.on('data', (text: string) => {
      const parts = (partialLine + text).split('\n');
      partialLine = parts.pop() ?? '';
      lines.push(...parts);
      into?.push(...parts);
      lines.splice(0, Math.max(0, lines.length - maxKeptLines));
    });
  };

  const start: ManagedProcess['start'] = (extraArgs = []) => {
    standardOutput.length = 0;
    standardError.length = 0;
    const launched = spawn(process.execPath, [...args, ...extraArgs], {
      cwd,
      env: { PATH: process.env.PATH, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    child = launched;
    started.add(launched);
    collect(launched.stdout, standardOutput);
    collect(launched.stderr, standardError);
    exitPromise = new Promise((resolve) => {
      launched.on('close', (code) => {
        started.delete(launched);
        resolve(code);
      });
    });
  };

  const isRunning = () =>
    child !== undefined && child.exitCode === null && child.signalCode === null;
  const signal: ManagedProcess['signal'] = (kind) => {
    child?.kill(kind);
  };

  const waitForExit: ManagedProcess['waitForExit'] = (limitMs = 30_000) => {
    let timer: NodeJS.Timeout | undefined;
    const limit = new Promise<never>((resolve, reject) => {
      timer = setTimeout(
        () => reject(new Error(`${name} did not end within ${limitMs} ms`)),
        limitMs,
      );
    });
    return Promise.race([exitPromise, limit]).finally(() => clearTimeout(timer));
  };

  return {
    name,
    start,
    pid: () => child?.pid,
    isRunning,
    signal,
    pause: () => signal('SIGSTOP'),
    resume: () => signal('SIGCONT'),
    end: (kind = 'SIGKILL') => {
      signal(kind);
      return waitForExit(60_000);
    },
    waitForExit,
    exitCode: () => child?.exitCode ?? null,
    firstLine: async () => {
      await waitFor(() => standardOutput.length > 0 || !isRunning(), {
        limitMs: startLimitMs,
        what: `the first line of ${name}`,
      });
      if (standardOutput[0] === undefined) {
        throw new Error(`${name} ended with ${child?.exitCode} before its first line`);
      }
      return standardOutput[0];
    },
    output: () => lines,
    stdout: () => standardOutput.join('\n'),
    stderr: () => standardError.join('\n'),
    tail: (count = 30) => lines.slice(-count).join('\n'),
  };
};
