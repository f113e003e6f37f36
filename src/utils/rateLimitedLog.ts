/**
 * Rate-limited log for decisions that are made per call. Without a limit, logging under load would
 * take the processor time that the calls need. Dropped lines are counted, and the next line that is
 * written carries the count.
 */
import type { Log, LogFields } from './log.js';
import type { Timer } from './timer.js';

/** Sustained rate, and the largest burst after a pause. */
const linesPerSecond = 10;
const maxBurst = 30;

export type RateLimitedLog = (message: string, fields: LogFields) => void;

/** Creates a rate-limited log (token bucket). */
export const createRateLimitedLog = (
  log: Log,
  timer: Timer,
  level: 'info' | 'warn' = 'warn',
): RateLimitedLog => {
  let tokens = maxBurst;
  let refilledAt = timer.now();
  let dropped = 0;

  const refill = () => {
    const now = timer.now();
    tokens = Math.min(maxBurst, tokens + ((now - refilledAt) / 1_000) * linesPerSecond);
    refilledAt = now;
  };

  return (message, fields) => {
    refill();
    if (tokens < 1) {
      dropped += 1;
      return;
    }
    tokens -= 1;
    log[level](message, dropped === 0 ? fields : { ...fields, lines_dropped: dropped });
    dropped = 0;
  };
};
