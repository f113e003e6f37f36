/**
 * RPC service for the orders and the state of rollouts, for the command line. Only the leader answers;
 * any other instance returns the address of the leader.
 */
import type { ConnectRouter } from '@connectrpc/connect';
import type { AppliedChange } from '../../core/agreement/configurationHistory.js';
import { maxSoftwareVersionLength } from '../../core/operators/targets.js';
import { OperatorRollouts, type StartRolloutRequest } from '../../gen/auburnsill/v1/operator_pb.js';
import type { ReplicaGroup } from '../../types/internal.js';
import type { Rollout } from '../../types/rollouts.js';
import { failureTable } from '../../utils/failure.js';
import type { OrderOutcome, RolloutOrders } from './rolloutOrders.js';

export interface RolloutRpcOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly orders: RolloutOrders;
}

type Answers = {
  readonly [Kind in OrderOutcome['outcome']]: (
    outcome: Extract<OrderOutcome, { outcome: Kind }>,
  ) => { readonly outcome: string; readonly message: string };
};

const answers: Answers = {
  accepted: () => ({ outcome: 'accepted', message: '' }),
  conflict: () => ({ outcome: 'refused', message: failureTable.rollout_running.text }),
  invalid: ({ message }) => ({ outcome: 'refused', message }),
  no_configuration: () => ({ outcome: 'refused', message: 'no configuration was accepted yet' }),
  unknown: () => ({ outcome: 'unknown', message: failureTable.outcome_unknown.text }),
  not_here: () => ({ outcome: 'not_leader', message: '' }),
};

const findInvalid = ({ targetVersion, periodMs }: StartRolloutRequest): string | undefined => {
  if (targetVersion.length === 0 || targetVersion.length > maxSoftwareVersionLength) {
    return `version: 1 to ${maxSoftwareVersionLength} characters`;
  }
  return periodMs > 0 ? undefined : 'period: above 0';
};

const toReply = (rollout: Rollout) => ({
  outcome: 'ok',
  targetVersion: rollout.targetVersion,
  state: rollout.state,
  stage: rollout.stage,
  canaryShare: rollout.canaryShare,
  periodMs: rollout.periodMs,
  startedAtMs: BigInt(Math.round(rollout.startedAtMs)),
  changedAtMs: BigInt(Math.round(rollout.changedAtMs)),
  blockedVersions: [...rollout.blockedVersions],
});

/** Adds the service `OperatorRollouts` to a router. */
export const createRolloutRpc = ({ group, orders }: RolloutRpcOptions) => {
  const leaderAddress = (): string => group.queries.leader()?.address ?? '';

  const start = async (request: StartRolloutRequest): Promise<OrderOutcome> => {
    const message = findInvalid(request);
    const { service, targetVersion, periodMs } = request;
    return message === undefined
      ? orders.commands.start({ service, targetVersion, periodMs })
      : { outcome: 'invalid', message };
  };

  const read = async (service: string) => {
    const result = await orders.queries.read(service);
    if (result.outcome === 'read') {
      return toReply(result.rollout);
    }
    return { outcome: result.outcome === 'none' ? 'not_found' : 'not_leader' };
  };

  return (router: ConnectRouter): void => {
    router.service(OperatorRollouts, {
      startRollout: async (request) => {
        const outcome = await start(request);
        const answer = answers[outcome.outcome] as (
          given: OrderOutcome,
        ) => ReturnType<Answers['accepted']>;
        return { ...answer(outcome), leaderAddress: leaderAddress() };
      },
      readRollout: async ({ service }) => ({
        ...(await read(service)),
        leaderAddress: leaderAddress(),
      }),
    });
  };
};
