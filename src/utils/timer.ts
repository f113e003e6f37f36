/**
 * Clock and timers. Components use this interface instead of the system's clock and timers, so that
 * tests can substitute a timer that they advance manually. `now` is monotonic, in milliseconds;
 * `wallClock` is the time of day for logs and records.
 */
import { performance } from 'node:perf_hooks';

/** Cancels a subscription. */
export type Cancel = () => void;

export interface Timer {
  /** Monotonic time in ms. */
  now(): number;
  /** Time of day in ms since the Unix epoch. */
  wallClock(): number;
  /** Calls `listener` once after `delayMs`. */
  after(delayMs: number, listener: () => void): Cancel;
  /** Calls `listener` every `periodMs` until cancelled. */
  every(periodMs: number, listener: () => void): Cancel;
  /** Resolves after `delayMs`, or as soon as `signal` aborts. */
  sleep(delayMs: number, signal?: AbortSignal): Promise<void>;
  /** Cancels all subscriptions. */
  stop(): void;
}

export interface ManualTimer extends Timer {
  /** Advances the time by `ms` and calls all listeners that become due, in order. */
  advance(ms: number): void;
}

const createSleep =
  (after: Timer['after']): Timer['sleep'] =>
  (delayMs, signal) =>
    new Promise((resolve) => {
      if (signal?.aborted) {
        resolve();
        return;
      }
      const onAbort: { current?: () => void } = {};
      const cancel = after(delayMs, () => {
        if (onAbort.current) {
          signal?.removeEventListener('abort', onAbort.current);
        }
        resolve();
      });
      onAbort.current = () => {
        cancel();
        resolve();
      };
      signal?.addEventListener('abort', onAbort.current, { once: true });
    });

export interface TimerOptions {
  /** Whether subscriptions keep the process alive. Default: true. */
  readonly keepsProcessAlive?: boolean;
}

/** Creates a timer based on the system's clocks. */
export const createTimer = ({ keepsProcessAlive = true }: TimerOptions = {}): Timer => {
  const cancels = new Set<Cancel>();
  const unrefUnlessKept = (handle: NodeJS.Timeout) => (keepsProcessAlive ? handle : handle.unref());

  const after: Timer['after'] = (delayMs, listener) => {
    const cancel = () => {
      clearTimeout(handle);
      cancels.delete(cancel);
    };
    const handle = unrefUnlessKept(
      setTimeout(() => {
        cancels.delete(cancel);
        listener();
      }, delayMs),
    );
    cancels.add(cancel);
    return cancel;
  };

  const every: Timer['every'] = (periodMs, listener) => {
    const handle = unrefUnlessKept(setInterval(listener, periodMs));
    const cancel = () => {
      clearInterval(handle);
      cancels.delete(cancel);
    };
    cancels.add(cancel);
    return cancel;
  };

  return {
    now: () => performance.now(),
    wallClock: () => Date.now(),
    after,
    every,
    sleep: createSleep(after),
    stop: () => [...cancels].forEach((cancel) => cancel()),
  };
};

interface Subscription {
  dueAt: number;
  readonly order: number;
  readonly periodMs: number | undefined;
  readonly listener: () => void;
}

/** Creates a timer for tests whose time only advances with `advance`. */
export const createManualTimer = (startMs = 0): ManualTimer => {
  const subscriptions = new Set<Subscription>();
  let now = startMs;
  let order = 0;

  const subscribe = (delayMs: number, listener: () => void, periodMs?: number): Cancel => {
    order += 1;
    const subscription: Subscription = { dueAt: now + delayMs, order, periodMs, listener };
    subscriptions.add(subscription);
    return () => subscriptions.delete(subscription);
  };

  const nextDue = (limit: number): Subscription | undefined =>
    [...subscriptions]
      .filter(({ dueAt }) => dueAt <= limit)
      .sort((a, b) => a.dueAt - b.dueAt || a.order - b.order)[0];

  const run = (subscription: Subscription) => {
    now = Math.max(now, subscription.dueAt);
    if (subscription.periodMs === undefined) {
      subscriptions.delete(subscription);
    } else {
      subscription.dueAt += subscription.periodMs;
    }
    subscription.listener();
  };

  const after: Timer['after'] = (delayMs, listener) => subscribe(delayMs, listener);

  return {
    now: () => now,
    wallClock: () => now,
    after,
    every: (periodMs, listener) => subscribe(periodMs, listener, periodMs),
    sleep: createSleep(after),
    stop: () => subscriptions.clear(),
    advance: (ms) => {
      const limit = now + ms;
      let due = nextDue(limit);
      while (due) {
        run(due);
        due = nextDue(limit);
      }
      now = limit;
    },
  };
};
