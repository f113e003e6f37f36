/**
 * Reports when the version in force on a node is not confirmed in time, and which step on the way
 * from the control instance took too long. The load of the event loop tells a node that reads late
 * from one that is sent nothing.
 */
import { performance } from 'node:perf_hooks';
import { formatVersion } from '../../core/agreement/version.js';
import { findGapCause, type GapState } from '../../core/distribution/confirmationGap.js';
import { neverConfirmedMs } from '../../core/distribution/freshness.js';
import type { Version } from '../../types/public.js';
import type { Log } from '../../utils/log.js';
import type { FeedMetrics } from './feedMetrics.js';

/** A change has to be in force within this time, so a confirmation must not be older. */
const maxUnconfirmedMs = 2_000;

export interface ConfirmationState extends GapState {
  readonly confirmedAgeMs: number;
  /** Newest version that the node has heard of. */
  readonly head: Version;
  readonly parent: string | undefined;
}

export interface ConfirmationWatch {
  /** Logs the beginning and the end of a time in which the version in force is not confirmed. */
  check(state: ConfirmationState): void;
}

export const createConfirmationWatch = (log: Log, metrics?: FeedMetrics): ConfirmationWatch => {
  let isUnconfirmed = false;
  let usage = performance.eventLoopUtilization();

  const measureLoad = (): number => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, usage);
    usage = current;
    return utilization;
  };

  return {
    check: (state) => {
      const load = measureLoad();
      const { confirmedAgeMs, received, inForce, head, parent } = state;
      const isStarting = confirmedAgeMs === neverConfirmedMs;
      if (isStarting || confirmedAgeMs > maxUnconfirmedMs === isUnconfirmed) {
        return;
      }
      isUnconfirmed = !isUnconfirmed;
      if (!isUnconfirmed) {
        log.info('configuration confirmed', { version: formatVersion(inForce) });
        return;
      }
      const cause = findGapCause(state);
      log.warn('configuration not confirmed', {
        version: formatVersion(inForce),
        received: formatVersion(received),
        head: formatVersion(head),
        age_ms: confirmedAgeMs,
        cause,
        parent,
        loop_busy: Number(load.toFixed(2)),
      });
      metrics?.unconfirmed(cause);
    },
  };
};
