/**
 * Counts the attempts that this node sent for services under a rollout, for the reports to the
 * control instances and as Prometheus metrics. Without a rollout, an attempt costs one look-up.
 */
import { Counter } from 'prom-client';
import { findRollout } from '../../core/rollouts/versionRouting.js';
import type { AttemptResult, VersionOutcomeCounter } from '../../core/rollouts/versionOutcomes.js';
import type { Configuration } from '../../types/public.js';
import type { Timer } from '../../utils/timer.js';
import type { Metrics } from '../metrics.js';

export interface AttemptRecorderOptions {
  readonly counter: VersionOutcomeCounter;
  readonly configuration: () => Configuration | undefined;
  readonly metrics: Pick<Metrics, 'registry'>;
  readonly timer: Pick<Timer, 'wallClock'>;
}

export const createAttemptRecorder = ({
  counter,
  configuration,
  metrics,
  timer,
}: AttemptRecorderOptions): ((result: AttemptResult) => void) => {
  const attempts = new Counter({
    name: 'auburnsill_rollout_attempts_total',
    help: 'Attempts sent by this node for services under a rollout, by side of the rollout.',
    labelNames: ['service', 'side', 'outcome'],
    registers: [metrics.registry],
  });
  return (result) => {
    const rollout = findRollout(configuration(), result.service);
    const outcome = rollout && counter.commands.record(result, rollout, timer.wallClock());
    if (outcome) {
      const side = result.version === rollout.targetVersion ? 'target' : 'other';
      attempts.inc({ service: result.service, side, outcome });
    }
  };
};
