/**
 * Starts calls a few at a time, each after the event loop has looked at all connections once more.
 * On a process that is short of processor time the end of a caller's connection waits behind its
 * request; a call that started as soon as it was read would be sent on for a caller that has left.
 */
import type { Timer } from '../../utils/timer.js';

export interface CallStarts {
  /** Runs `start` soon. It has to check itself whether its caller is still there. */
  add(start: () => void): void;
}

/** Longest time in ms that starts take before connections are looked at again. */
const maxStartsMs = 5;

interface DueStart {
  readonly start: () => void;
  readonly addedAt: number;
}

/** Creates the starts of a node. `onDelay` is told how long each of them was put off, in ms. */
export const createCallStarts = (
  timer: Timer,
  onDelay: (delayMs: number) => void = () => undefined,
): CallStarts => {
  /** Starts that were added since the connections were last looked at. */
  let fresh: DueStart[] = [];
  let due: DueStart[] = [];
  let isScheduled = false;

  const schedule = () => {
    isScheduled = true;
    setImmediate(runDue);
  };

  const runDue = () => {
    const until = timer.now() + maxStartsMs;
    let count = 0;
    let now = timer.now();
    while (count < due.length && (count === 0 || now < until)) {
      const { start, addedAt } = due[count]!;
      onDelay(now - addedAt);
      start();
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

  return {
    add: (start) => {
      fresh.push({ start, addedAt: timer.now() });
      if (!isScheduled) {
        schedule();
      }
    },
  };
};
