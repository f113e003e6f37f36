/** Metrics of the rollouts of a control instance. */
import { Gauge } from 'prom-client';
import type { Rollouts, RolloutStepKind } from '../../core/rollouts/rolloutState.js';
import { rolloutStates } from '../../types/rollouts.js';
import type { Metrics } from '../metrics.js';
import type { OrderOutcome } from './rolloutOrders.js';

export interface RolloutMetrics {
  observeOrder(outcome: OrderOutcome['outcome']): void;
  observeStep(step: RolloutStepKind): void;
}

/** Registers the metrics of rollouts. `rollouts` returns the newest rollout of each service. */
export const createRolloutMetrics = (
  metrics: Metrics,
  rollouts: () => Rollouts,
): RolloutMetrics => {
  const orders = metrics.counter(
    'auburnsill_rollout_orders_total',
    'Orders of rollouts that this instance answered, by outcome.',
    ['outcome'],
  );
  const steps = metrics.counter(
    'auburnsill_rollout_steps_total',
    'Steps of rollouts that this instance proposed and that took effect, by step.',
    ['step'],
  );
  const gauge: Gauge<'state'> = new Gauge({
    name: 'auburnsill_rollouts',
    help: 'Services by the state of their newest rollout.',
    labelNames: ['state'],
    registers: [metrics.registry],
    collect: () => {
      const all = Object.values(rollouts());
      rolloutStates.forEach((state) =>
        gauge.set({ state }, all.filter((rollout) => rollout.state === state).length),
      );
    },
  });
  return {
    observeOrder: (outcome) => orders.inc({ outcome }),
    observeStep: (step) => steps.inc({ step }),
  };
};
