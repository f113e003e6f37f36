/**
 * Open-loop load: calls start at scheduled times, whether or not earlier calls have ended. Latency
 * is measured from the scheduled start, so that a stall counts for every call that it delayed. The
 * generator runs in a separate process.
 */
import { fork } from 'node:child_process';
import { join } from 'node:path';
import { build as createHistogram } from 'hdr-histogram-js';
import { Agent, request } from 'undici';

export interface CallPattern {
  readonly name: string;
  readonly method: 'GET' | 'POST' | 'PUT';
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly bodyBytes?: number;
  /** Sends a new idempotency key with each call. */
  readonly withKey?: boolean;
  readonly ratePerSecond: number;
  /** Responses with status below 400 within this latency count as useful. Default: no limit. */
  readonly usefulWithinMs?: number;
}

export interface LoadOptions {
  /** `ip:port` of the nodes that calls are sent to. */
  readonly targets: readonly string[];
  readonly patterns: readonly CallPattern[];
  readonly warmUpMs: number;
  readonly measureMs: number;
  readonly timeoutMs?: number;
  /** Maximum connections per target. Further calls wait in the generator. Default: 256. */
  readonly connections?: number;
  /** Choice of the target: round-robin (default), or the one with the fewest calls in flight. */
  readonly balance?: 'in_turn' | 'least_in_flight';
  readonly seed?: number;
  /** Source address of the connections, by which nodes distinguish callers. */
  readonly localAddress?: string;
}

export interface PatternResult {
  readonly name: string;
  readonly calls: number;
  /** Number of responses by status. `0` counts calls without a complete response. */
  readonly statuses: Readonly<Record<string, number>>;
  /** Number of refusals by reason, and of calls without a response by error message. */
  readonly reasons: Readonly<Record<string, number>>;
  readonly failed: number;
  /** Number of responses with status below 400 within `usefulWithinMs`. */
  readonly useful: number;
  /** Number of useful responses by the second in which they ended, since the start of the load. */
  readonly usefulBySecond: readonly number[];
  /** Latency from scheduled start to last byte, in ms, of responses with status below 400. */
  readonly latencyMs: Readonly<Record<'mean' | 'p50' | 'p90' | 'p99' | 'p999' | 'max', number>>;
}

export interface LoadResult {
  readonly patterns: readonly PatternResult[];
  readonly measuredMs: number;
  /** Largest delay between a call's scheduled and actual start, in ms: the lag of the generator. */
  readonly maxStartLagMs: number;
}

const defaultTimeoutMs = 30_000;
const microsecondsPerMs = 1_000;
const highestLatencyUs = 120_000_000;

const createRecorder = (pattern: CallPattern) => {
  const histogram = createHistogram({
    lowestDiscernibleValue: 1,
    highestTrackableValue: highestLatencyUs,
    numberOfSignificantValueDigits: 3,
  });
  const statuses: Record<string, number> = {};
  const reasons: Record<string, number> = {};
  let calls = 0;
  let failed = 0;
  let useful = 0;
  const usefulBySecond: number[] = [];
  const isUseful = (status: number, latencyMs: number): boolean =>
    status > 0 && status < 400 && latencyMs <= (pattern.usefulWithinMs ?? Infinity);
  const atPercentile = (percentile: number): number =>
    histogram.getValueAtPercentile(percentile) / microsecondsPerMs;
  return {
    recordSecond: (status: number, latencyMs: number, endedAtMs: number) => {
      const second = Math.floor(endedAtMs / 1_000);
      for (let empty = usefulBySecond.length; empty <= second; empty += 1) {
        usefulBySecond.push(0);
      }
      usefulBySecond[second]! += Number(isUseful(status, latencyMs));
    },
    record: (status: number, latencyMs: number, reason?: string) => {
      calls += 1;
      useful += Number(isUseful(status, latencyMs));
      statuses[status] = (statuses[status] ?? 0) + 1;
      if (reason) {
        reasons[reason] = (reasons[reason] ?? 0) + 1;
      }
      if (status === 0 || status >= 400) {
        failed += 1;
        return;
      }
      const latencyUs = Math.round(latencyMs * microsecondsPerMs);
      histogram.recordValue(Math.min(highestLatencyUs, Math.max(1, latencyUs)));
    },
    result: (): PatternResult => ({
      name: pattern.name,
      calls,
      statuses,
      reasons,
      failed,
      useful,
      usefulBySecond,
      latencyMs: {
        mean: histogram.mean / microsecondsPerMs,
        p50: atPercentile(50),
        p90: atPercentile(90),
        p99: atPercentile(99),
        p999: atPercentile(99.9),
        max: histogram.maxValue / microsecondsPerMs,
      },
    }),
  };
};

const reasonOf = (body: string): string => {
  try {
    return String(JSON.parse(body).reason ?? '');
  } catch {
    return '';
  }
};

/** Reads a body and throws if it ends early. */
const readToEnd = async (body: AsyncIterable<unknown>) => {
  const chunks = body[Symbol.asyncIterator]();
  while (!(await chunks.next()).done);
};

/** Generates the load in this process. `runLoad` generates it in a separate process. */
export const generateLoad = async (options: LoadOptions): Promise<LoadResult> => {
  const { targets, patterns, warmUpMs, measureMs, timeoutMs = defaultTimeoutMs } = options;
  const agent = new Agent({
    connections: options.connections ?? 256,
    pipelining: 1,
    keepAliveTimeout: 30_000,
    localAddress: options.localAddress,
  });
  const startedAt = performance.now();
  const endAt = warmUpMs + measureMs;
  const pendingCalls = new Set<Promise<void>>();
  const inFlight = targets.map(() => 0);
  let sequence = 0;
  let maxStartLagMs = 0;

  const chooseTarget = (): number => {
    const turn = sequence % targets.length;
    return options.balance === 'least_in_flight'
      ? inFlight.reduce((least, count, index) => (count < inFlight[least]! ? index : least), turn)
      : turn;
  };

  const call = async (
    pattern: CallPattern,
    plannedAt: number,
    recorder: ReturnType<typeof createRecorder>,
  ) => {
    sequence += 1;
    const id = `load-${options.seed ?? 1}-${sequence}`;
    const target = chooseTarget();
    inFlight[target]! += 1;
    const isMeasured = plannedAt >= warmUpMs;
    const finish = (status: number, reason?: string) => {
      inFlight[target]! -= 1;
      const endedAt = performance.now() - startedAt;
      recorder.recordSecond(status, endedAt - plannedAt, endedAt);
      if (isMeasured) {
        recorder.record(status, endedAt - plannedAt, reason);
      }
    };
    try {
      const response = await request(`http://${targets[target]}${pattern.path}`, {
        method: pattern.method,
        dispatcher: agent,
        headersTimeout: timeoutMs,
        bodyTimeout: timeoutMs,
        headers: {
          'x-request-id': id,
          ...(pattern.withKey ? { 'idempotency-key': id } : {}),
          ...pattern.headers,
        },
        body: pattern.bodyBytes ? Buffer.alloc(pattern.bodyBytes, 'x') : undefined,
      });
      if (response.statusCode < 400) {
        await readToEnd(response.body);
        finish(response.statusCode);
      } else {
        finish(response.statusCode, reasonOf(await response.body.text()));
      }
    } catch (error) {
      finish(0, error instanceof Error ? error.message : String(error));
    }
  };

  const streams = patterns.map((pattern) => ({
    pattern,
    recorder: createRecorder(pattern),
    periodMs: 1_000 / pattern.ratePerSecond,
    nextAt: 0,
  }));

  const startDueCalls = () => {
    const now = performance.now() - startedAt;
    streams.forEach((stream) => {
      while (stream.nextAt <= now && stream.nextAt < endAt) {
        if (stream.nextAt >= warmUpMs) {
          maxStartLagMs = Math.max(maxStartLagMs, now - stream.nextAt);
        }
        const running: Promise<void> = call(stream.pattern, stream.nextAt, stream.recorder).finally(
          () => pendingCalls.delete(running),
        );
        pendingCalls.add(running);
        stream.nextAt += stream.periodMs;
      }
    });
  };

  // Timers have a resolution of a millisecond or more, which would send calls in bursts. The loop
  // therefore spins, so that each call starts at its scheduled time.
  await new Promise<void>((resolve) => {
    const turn = () => {
      startDueCalls();
      if (performance.now() - startedAt >= endAt) {
        resolve();
      } else {
        setImmediate(turn);
      }
    };
    turn();
  });
  await Promise.all(pendingCalls);
  await agent.close();
  return {
    patterns: streams.map(({ recorder }) => recorder.result()),
    measuredMs: measureMs,
    maxStartLagMs,
  };
};

/** Runs the generator in a separate process and resolves with its result. */
export const runLoad = (options: LoadOptions): Promise<LoadResult> =>
  new Promise((resolve, reject) => {
    const child = fork(join(import.meta.dirname, 'loadProcess.ts'), {
      execArgv: ['--import', 'tsx'],
      cwd: join(import.meta.dirname, '../..'),
    });
    child.once('message', (result) => resolve(result as LoadResult));
    child.once('error', reject);
    child.once('exit', (code) => reject(new Error(`the load generator ended with ${code}`)));
    child.send(options);
  });
