/**
 * Log lines of decisions that are taken for each call. Their number is bounded, since a log that
 * grows with the load takes the processor time that the calls need; lines beyond the bound are
 * counted, and the count is written with the next line.
 */
import type { Log, LogFields } from './log.js';
import type { Timer } from './timer.js';

/** Lines in a second on average, and at once after a pause. */
const linesPerSecond = 10;
const maxBurst = 30;

export type RateLimitedLog = (message: string, fields: LogFields) => void;

/** Creates a log of warnings whose lines are bounded. */
export const createRateLimitedLog = (log: Log, timer: Timer): RateLimitedLog => {
  let allowed = maxBurst;
  let refilledAt = timer.now();
  let dropped = 0;

  const refill = () => {
    const now = timer.now();
    allowed = Math.min(maxBurst, allowed + ((now - refilledAt) / 1_000) * linesPerSecond);
    refilledAt = now;
  };

  return (message, fields) => {
    refill();
    if (allowed < 1) {
      dropped += 1;
      return;
    }
    allowed -= 1;
    log.warn(message, dropped === 0 ? fields : { ...fields, lines_dropped: dropped });
    dropped = 0;
  };
};
