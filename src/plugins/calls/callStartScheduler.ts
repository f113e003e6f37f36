/**
 * Starts calls once the event loop has polled all connections after reading the calls. In a process
 * that is short of CPU time, the close of a caller's connection is queued behind its request. A
 * call that started as soon as it was read would be forwarded for a caller that has disconnected.
 * While the event loop has idle time, no event is left unread and a call starts at once: one more
 * loop iteration per call is a considerable part of the cost of a call. After a pause of the process,
 * events are left unread although the loop seems to have been idle.
 */
import { performance } from 'node:perf_hooks';
import type { Timer } from '../../utils/timer.js';

export interface CallStartScheduler {
  /** Runs `start` now or soon. `start` has to check whether its caller is still connected. */
  add(start: () => void): void;
}

/** Idle and active time of the event loop since its start, in ms. */
export interface EventLoopTimes {
  /** Time spent waiting for events. */
  readonly idle: number;
  /** Time spent running code. */
  readonly active: number;
}

export interface CallStartSchedulerOptions {
  readonly timer: Timer;
  /** Called with the time for which a start was deferred, in ms. */
  readonly onDelay?: (delayMs: number) => void;
  /** Default: those of this process. */
  readonly eventLoopTimes?: () => EventLoopTimes;
  /** See `PauseDetection`. Default: never. */
  readonly hasPaused?: () => boolean;
}

/** Longest time in ms for which starts run before connections are polled again. */
const maxBatchMs = 5;
/**
 * Calls start at once if the loop has run code for less than this since it last waited for events,
 * in ms: everything that arrived before that wait has been read. A small fraction of the shortest
 * time after which callers give up.
 */
const maxBusyMs = 10;

interface PendingStart {
  readonly start: () => void;
  readonly addedAt: number;
}

export const createCallStartScheduler = ({
  timer,
  onDelay = () => undefined,
  eventLoopTimes = () => performance.eventLoopUtilization(),
  hasPaused = () => false,
}: CallStartSchedulerOptions): CallStartScheduler => {
  /** Starts that were added since the connections were last polled. */
  let added: PendingStart[] = [];
  let due: PendingStart[] = [];
  let isScheduled = false;
  let lastTimes: EventLoopTimes = { idle: 0, active: 0 };
  /** Upper bound of the time for which the loop has run code since it last waited, in ms. */
  let busyMs = 0;

  const schedule = () => {
    isScheduled = true;
    setImmediate(runDue);
  };

  const run = ({ start, addedAt }: PendingStart, now: number) => {
    onDelay(now - addedAt);
    start();
  };

  const runDue = () => {
    const until = timer.now() + maxBatchMs;
    let count = 0;
    let now = timer.now();
    while (count < due.length && (count === 0 || now < until)) {
      run(due[count]!, now);
      count += 1;
      now = timer.now();
    }
    due = [...due.slice(count), ...added];
    added = [];
    isScheduled = false;
    if (due.length > 0) {
      schedule();
    }
  };

  const hasPolledRecently = (): boolean => {
    const { idle, active } = eventLoopTimes();
    busyMs = active - lastTimes.active + (idle > lastTimes.idle ? 0 : busyMs);
    lastTimes = { idle, active };
    return busyMs < maxBusyMs;
  };

  return {
    add: (start) => {
      const now = timer.now();
      const hasPolled = hasPolledRecently() && !hasPaused();
      if (hasPolled && due.length === 0 && added.length === 0) {
        run({ start, addedAt: now }, now);
        return;
      }
      added.push({ start, addedAt: now });
      if (!isScheduled) {
        schedule();
      }
    },
  };
};
