/**
 * Detects that the process did not run for a while: it was suspended, or got no processor time. What
 * it reads right afterwards is older than it looks, and callers may have disconnected meanwhile.
 */
import type { Timer } from '../../utils/timer.js';

const markPeriodMs = 500;
/** Time without a mark after which the process counts as paused, in ms. */
const minPauseMs = 750;
/** Time after a pause in which the events of the pause are read, in ms. */
const aftermathMs = 100;

export interface PauseDetection {
  /** True if the process was paused, and may not have read all events of that time yet. */
  hasPaused(): boolean;
}

/** Starts the detection; it ends with the timer. */
export const startPauseDetection = (timer: Timer): PauseDetection => {
  let markedAt = timer.now();
  let pausedUntil = -Infinity;

  const mark = () => {
    const now = timer.now();
    if (now - markedAt > minPauseMs) {
      pausedUntil = now + aftermathMs;
    }
    markedAt = now;
  };

  timer.every(markPeriodMs, mark);

  return {
    hasPaused: () => {
      const now = timer.now();
      if (now - markedAt > minPauseMs) {
        mark();
      }
      return now < pausedUntil;
    },
  };
};
