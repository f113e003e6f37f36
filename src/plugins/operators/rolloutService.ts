/** Rollouts of a control instance: the service for orders, the driver and the metrics. */
import type {
  AppliedChange,
  ConfigurationHistory,
} from '../../core/agreement/configurationHistory.js';
import { defaultRolloutLimits, type RolloutLimits } from '../../core/rollouts/rolloutPlan.js';
import type { ReplicaGroup } from '../../types/internal.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Metrics } from '../metrics.js';
import { createRolloutDriver, type OutcomeSource } from './rolloutDriver.js';
import { createRolloutMetrics } from './rolloutMetrics.js';
import { createRolloutOrders, type RolloutOrders } from './rolloutOrders.js';

export interface RolloutServiceOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly source: OutcomeSource;
  readonly limits?: RolloutLimits;
  readonly minVoters: number;
  readonly metrics: Metrics;
  readonly timer: Timer;
  readonly log: Log;
}

export interface RolloutService {
  readonly orders: RolloutOrders;
  start(): void;
  stop(): void;
}

/** Creates the rollouts of a control instance. */
export const createRolloutService = ({
  limits = defaultRolloutLimits,
  ...options
}: RolloutServiceOptions): RolloutService => {
  const { history } = options;
  const metrics = createRolloutMetrics(
    options.metrics,
    () => history.queries.head()?.rollouts ?? {},
  );
  const driver = createRolloutDriver({ ...options, limits, observe: metrics.observeStep });
  const orders = createRolloutOrders({
    ...options,
    limits,
    callsPerSecond: driver.queries.callsPerSecond,
    observe: metrics.observeOrder,
  });
  return { orders, start: driver.commands.start, stop: driver.commands.stop };
};
