/**
 * Measures convergence: the time from the acceptance of a configuration until all known proxies
 * have it in force.
 */
import { compareVersions } from '../../core/agreement/version.js';
import type { ConfigurationSource, FleetStatus } from '../../types/internal.js';
import type { Version } from '../../types/public.js';
import type { Timer } from '../../utils/timer.js';

export interface Convergence {
  /** Convergence time of the current version in ms; 0 until all proxies have it in force. */
  convergedMs(): number;
  start(): void;
}

export const createConvergence = (
  source: ConfigurationSource,
  fleet: FleetStatus,
  timer: Timer,
  onConverged: (ms: number) => void = () => undefined,
): Convergence => {
  let measured: { version: Version; ms: number } | undefined;

  const isMeasured = (version: Version): boolean =>
    measured !== undefined && compareVersions(measured.version, version) === 0;

  const measure = () => {
    const head = source.head();
    const counts = fleet.counts();
    if (!head || isMeasured(head.version) || counts.length === 0) {
      return;
    }
    if (counts.every(({ version }) => compareVersions(version, head.version) === 0)) {
      const ms = Math.max(1, timer.wallClock() - head.acceptedAtMs);
      measured = { version: head.version, ms };
      onConverged(ms);
    }
  };

  return {
    start: () => {
      fleet.onChange(measure);
      source.onChange(measure);
    },
    convergedMs: () => {
      const head = source.head();
      return head && measured && isMeasured(head.version) ? measured.ms : 0;
    },
  };
};
