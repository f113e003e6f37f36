/**
 * Logs the totals of each class that lost calls in the last period, with the load of the process.
 * Lines for single calls are dropped under load; this one stays complete.
 */
import { performance } from 'node:perf_hooks';
import type { ClassTotals, LoadTotal, LoadTotals } from '../../core/calls/loadTotals.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { LinkUse } from './responseWriters.js';
import type { LocalUpstream } from './localUpstream.js';

const periodMs = 2_000;
/** Maximum number of lines in a period: the classes with the most lost calls. */
const maxLines = 8;

const lostTotals: readonly LoadTotal[] = [
  'late',
  'failed',
  'refused_arrival',
  'refused_late_start',
  'refused_link',
  'refused_link_queue',
  'refused_admission',
  'refused_upstream',
  'refused_other',
  'not_admitted',
  'starved_runs',
];

export interface LoadSummaryOptions {
  readonly totals: LoadTotals;
  readonly upstream: LocalUpstream;
  /** Returns what was sent on the link so far; undefined if its rate is not known. */
  readonly linkUse?: () => LinkUse | undefined;
  readonly timer: Timer;
  readonly log: Log;
}

const lostCalls = (totals: ClassTotals): number =>
  lostTotals.reduce((sum, total) => sum + (totals[total] ?? 0), 0);

const roundAll = (totals: ClassTotals): Readonly<Record<string, number>> =>
  Object.fromEntries(Object.entries(totals).map(([total, sum]) => [total, Math.round(sum)]));

/** Starts the periodic lines. */
export const startLoadSummary = (options: LoadSummaryOptions): Cancel => {
  const { totals, upstream, linkUse, timer, log } = options;
  let lastLoop = performance.eventLoopUtilization();
  let lastCpu = process.cpuUsage();
  let lastLinkUse = linkUse?.();

  const takeLinkUse = () => {
    const use = linkUse?.();
    if (!use) {
      return {};
    }
    const { pacedBytes = 0, unpacedBytes = 0 } = lastLinkUse ?? {};
    lastLinkUse = use;
    return {
      link_paced_bytes: use.pacedBytes - pacedBytes,
      link_unpaced_bytes: use.unpacedBytes - unpacedBytes,
      link_pending_bytes: use.pendingBytes,
      link_pending_responses: use.pendingResponses,
      link_backlog_ms: Math.round(use.backlogMs),
    };
  };

  const logPeriod = () => {
    const loop = performance.eventLoopUtilization();
    const cpu = process.cpuUsage();
    const { inFlight, limit, waiting } = upstream.queries.load();
    const load = {
      period_ms: periodMs,
      cpu_ms: Math.round((cpu.user + cpu.system - lastCpu.user - lastCpu.system) / 1_000),
      loop_busy: Number(performance.eventLoopUtilization(loop, lastLoop).utilization.toFixed(2)),
      in_flight: inFlight,
      limit,
      waiting,
      ...takeLinkUse(),
    };
    lastLoop = loop;
    lastCpu = cpu;
    [...totals.commands.take()]
      .filter(([, ofClass]) => lostCalls(ofClass) > 0)
      .sort(([, a], [, b]) => lostCalls(b) - lostCalls(a))
      .slice(0, maxLines)
      .forEach(([className, ofClass]) => {
        log.info('calls were lost', { class: className, ...roundAll(ofClass), ...load });
      });
  };

  return timer.every(periodMs, logPeriod);
};
