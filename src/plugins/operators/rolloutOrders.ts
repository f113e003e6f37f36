/**
 * Service for the orders of operators to roll out a version, and for the state of rollouts. Only the
 * leader handles requests; any other instance returns the address of the leader. An order that is
 * resent is accepted again. If the outcome is not known, it is reported as `unknown`.
 */
import type {
  AppliedChange,
  ConfigurationHistory,
} from '../../core/agreement/configurationHistory.js';
import { encodeRolloutOrder } from '../../core/agreement/rolloutEntries.js';
import { planCanaryShare, type RolloutLimits } from '../../core/rollouts/rolloutPlan.js';
import { maxRollouts, type RolloutOrder } from '../../core/rollouts/rolloutState.js';
import type { ReplicaGroup } from '../../types/internal.js';
import type { Rollout } from '../../types/rollouts.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import { createLeaderOperations, type NotLeader } from './leaderOperations.js';

export type OrderRequest = Pick<RolloutOrder, 'service' | 'targetVersion' | 'periodMs'>;

export type OrderOutcome =
  | { readonly outcome: 'accepted' }
  /** Another rollout of the service is running. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'invalid'; readonly message: string }
  /** The order came before the first configuration. */
  | { readonly outcome: 'no_configuration' }
  | { readonly outcome: 'unknown' }
  | NotLeader;

export type RolloutReadResult =
  | { readonly outcome: 'read'; readonly rollout: Rollout }
  | { readonly outcome: 'none' }
  | NotLeader;

export interface RolloutOrders {
  readonly commands: { start(request: OrderRequest): Promise<OrderOutcome> };
  readonly queries: {
    /** Reads the newest rollout of a service, after a quorum has confirmed the leader. */
    read(service: string): Promise<RolloutReadResult>;
  };
}

export interface RolloutOrdersOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly limits: RolloutLimits;
  /** Calls per second that the service got recently, if calls were reported. */
  readonly callsPerSecond: (service: string) => number | undefined;
  /** No order is accepted with fewer voters, while the members of a new cluster join. */
  readonly minVoters: number;
  readonly observe: (outcome: OrderOutcome['outcome']) => void;
  readonly timer: Timer;
  readonly log: Log;
}

const refusals: Readonly<Record<string, OrderOutcome>> = {
  rollout_running: { outcome: 'conflict' },
  no_configuration: { outcome: 'no_configuration' },
  change_too_large: {
    outcome: 'invalid',
    message: `service: ${maxRollouts} services at most have a rollout`,
  },
};

const toOutcome = ({ result }: AppliedChange): OrderOutcome =>
  result.outcome === 'refused'
    ? (refusals[result.reason] ?? { outcome: 'unknown' })
    : { outcome: 'accepted' };

/** Creates the service for the orders of rollouts of a control instance. */
export const createRolloutOrders = (options: RolloutOrdersOptions): RolloutOrders => {
  const { group, history, limits, callsPerSecond, minVoters, observe, timer, log } = options;
  const leader = createLeaderOperations({ group, timer, log, subject: 'order of a rollout' });
  const { notLeader } = leader.queries;

  const createOrder = (request: OrderRequest): RolloutOrder => ({
    ...request,
    canaryShare: planCanaryShare(request.periodMs, limits, callsPerSecond(request.service)),
    proposedAtMs: timer.wallClock(),
  });

  const propose = async (order: RolloutOrder): Promise<OrderOutcome> => {
    const applied = await leader.commands.propose(encodeRolloutOrder(order));
    return applied ? toOutcome(applied) : { outcome: 'unknown' };
  };

  const isKnown = (service: string): boolean =>
    Object.hasOwn(history.queries.head()?.configuration.services ?? {}, service);

  const precheckAndPropose = async (request: OrderRequest): Promise<OrderOutcome> => {
    const order = createOrder(request);
    const prechecked = history.queries.precheckRollout(order);
    if (prechecked) {
      return toOutcome(prechecked);
    }
    if (!isKnown(order.service)) {
      return { outcome: 'invalid', message: 'service: the configuration has no such service' };
    }
    return leader.queries.voters() < minVoters ? notLeader() : propose(order);
  };

  const startOnce = async (request: OrderRequest): Promise<OrderOutcome> => {
    try {
      return (await leader.queries.run(() => precheckAndPropose(request))) ?? notLeader();
    } catch (error) {
      if (!(error instanceof Failure)) {
        throw error;
      }
      log.warn('outcome of an order is unknown', {
        service: request.service,
        reason: error.reason,
      });
      return { outcome: 'unknown' };
    }
  };

  const start = async (request: OrderRequest): Promise<OrderOutcome> => {
    const result = await startOnce(request);
    observe(result.outcome);
    log.info('order processed', {
      outcome: result.outcome,
      service: request.service,
      version: request.targetVersion,
      periodMs: request.periodMs,
    });
    return result;
  };

  const read = async (service: string): Promise<RolloutReadResult> => {
    const result = await leader.queries.run(async (): Promise<RolloutReadResult> => {
      const { rollouts = {} } = history.queries.head() ?? {};
      const rollout = Object.hasOwn(rollouts, service) ? rollouts[service] : undefined;
      return rollout ? { outcome: 'read', rollout } : { outcome: 'none' };
    });
    return result ?? notLeader();
  };

  return { commands: { start }, queries: { read } };
};
