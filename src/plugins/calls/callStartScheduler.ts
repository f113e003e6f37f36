/**
 * Starts calls once the event loop has looked at all connections after it read them. On a process
 * that is short of processor time the end of a caller's connection waits behind its request; a call
 * that started as soon as it was read would be sent on for a caller that has left. While the event
 * loop has time, nothing waits unread, and a call starts at once: one more turn of the loop for
 * each call is a good part of what a call costs.
 */
import { performance } from 'node:perf_hooks';
import type { Timer } from '../../utils/timer.js';

export interface CallStartScheduler {
  /** Runs `start` now or soon. It has to check itself whether its caller is still there. */
  add(start: () => void): void;
}

/** What the event loop did since its start, in ms. */
export interface EventLoopTimes {
  /** Time in which it waited for events. */
  readonly idle: number;
  /** Time in which it ran code. */
  readonly active: number;
}

export interface CallStartSchedulerOptions {
  readonly timer: Timer;
  /** Told how long a start was put off, in ms. */
  readonly onDelay?: (delayMs: number) => void;
  /** Default: those of this process. */
  readonly eventLoopTimes?: () => EventLoopTimes;
}

/** Longest time in ms that starts take before connections are looked at again. */
const maxStartsMs = 5;
/**
 * Time in ms for which the loop may have run code since it last waited for events. All that has
 * arrived before is read by then. A small part of the shortest time after which callers give up.
 */
const maxUnseenMs = 10;

interface DueStart {
  readonly start: () => void;
  readonly addedAt: number;
}

/** Creates the starts of a node. */
export const createCallStartScheduler = ({
  timer,
  onDelay = () => undefined,
  eventLoopTimes: loopTimes = () => performance.eventLoopUtilization(),
}: CallStartSchedulerOptions): CallStartScheduler => {
  /** Starts that were added since the connections were last looked at. */
  let fresh: DueStart[] = [];
  let due: DueStart[] = [];
  let isScheduled = false;
  let last: EventLoopTimes = { idle: 0, active: 0 };
  /** Time for which the loop has run code since it last waited, or more. */
  let unseenMs = 0;

  const schedule = () => {
    isScheduled = true;
    setImmediate(runDue);
  };

  const run = ({ start, addedAt }: DueStart, now: number) => {
    onDelay(now - addedAt);
    start();
  };

  const runDue = () => {
    const until = timer.now() + maxStartsMs;
    let count = 0;
    let now = timer.now();
    while (count < due.length && (count === 0 || now < until)) {
      run(due[count]!, now);
      count += 1;
      now = timer.now();
    }
    due = [...due.slice(count), ...fresh];
    fresh = [];
    isScheduled = false;
    if (due.length > 0) {
      schedule();
    }
  };

  const hasWaited = (): boolean => {
    const { idle, active } = loopTimes();
    unseenMs = active - last.active + (idle > last.idle ? 0 : unseenMs);
    last = { idle, active };
    return unseenMs < maxUnseenMs;
  };

  return {
    add: (start) => {
      const now = timer.now();
      const isSeen = hasWaited();
      if (isSeen && due.length === 0 && fresh.length === 0) {
        run({ start, addedAt: now }, now);
        return;
      }
      fresh.push({ start, addedAt: now });
      if (!isScheduled) {
        schedule();
      }
    },
  };
};
