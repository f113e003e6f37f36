/**
 * Reports when the event loop of this process was blocked. While it is, the process neither answers
 * nor notices that its time limits pass, and nothing else in its log tells. The processor time
 * tells a computation from a process that was paused or blocked in a system call.
 */
import { PerformanceObserver } from 'node:perf_hooks';
import type { Log } from '../utils/log.js';
import type { Cancel, Timer } from '../utils/timer.js';

const periodMs = 250;
/** A turn of the event loop that is longer than this delays calls by more than most may wait. */
const blockedMs = 1_000;
const microsecondsPerMs = 1_000;

/** Starts the watch. The result stops it. */
export const watchEventLoop = (timer: Timer, log: Log): Cancel => {
  let gcMs = 0;
  const observer = new PerformanceObserver((list) => {
    gcMs += list.getEntries().reduce((sum, { duration }) => sum + duration, 0);
  });
  observer.observe({ entryTypes: ['gc'] });
  let checkedAt = timer.now();
  let usage = process.cpuUsage();

  const check = () => {
    const now = timer.now();
    const lateMs = now - checkedAt - periodMs;
    if (lateMs > blockedMs) {
      const { user, system } = process.cpuUsage(usage);
      log.warn('event loop blocked', {
        ms: Math.round(lateMs),
        user_ms: Math.round(user / microsecondsPerMs),
        system_ms: Math.round(system / microsecondsPerMs),
        gc_ms: Math.round(gcMs),
        rss_mb: Math.round(process.memoryUsage.rss() / 1_048_576),
      });
    }
    checkedAt = now;
    usage = process.cpuUsage();
    gcMs = 0;
  };

  const cancel = timer.every(periodMs, check);
  return () => {
    cancel();
    observer.disconnect();
  };
};
