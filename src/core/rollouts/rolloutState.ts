/**
 * State machine of rollouts. Orders and steps are entries of the configuration group, so every
 * replica takes the same decisions: all times come from the proposals.
 */
import type { Rollout } from '../../types/rollouts.js';

/** An order to move the calls of a service to endpoints of another version. */
export interface RolloutOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly periodMs: number;
  /** Share of the calls that the target version gets in the canary. */
  readonly canaryShare: number;
  /** Wall-clock time at the leader, in ms. */
  readonly proposedAtMs: number;
}

export const rolloutSteps = ['shift', 'complete', 'roll_back'] as const;

export type RolloutStepKind = (typeof rolloutSteps)[number];

/** A step of the rollout that started at `startedAtMs`. It has no effect on any other rollout. */
export interface RolloutStep {
  readonly service: string;
  readonly targetVersion: string;
  readonly startedAtMs: number;
  readonly step: RolloutStepKind;
  /** Wall-clock time at the leader, in ms. */
  readonly proposedAtMs: number;
}

/** An order whose rollout ended a short time ago, kept to acknowledge it again. */
export interface EndedOrder {
  readonly service: string;
  readonly targetVersion: string;
  readonly periodMs: number;
  readonly endedAtMs: number;
}

export type Rollouts = Readonly<Record<string, Rollout>>;

export interface RolloutsState {
  /** Newest rollout of each service. */
  readonly rollouts: Rollouts;
  readonly endedOrders: readonly EndedOrder[];
}

export type OrderDecision =
  | { readonly outcome: 'started'; readonly state: RolloutsState }
  /** The same order was accepted before. */
  | { readonly outcome: 'resent' }
  /** Another rollout of the service is running. */
  | { readonly outcome: 'conflict' }
  | { readonly outcome: 'too_many' };

/**
 * Time after the end of a rollout in which an identical order counts as resent. Operators resend an
 * order for at most 4 s, and requests can be delayed for some seconds more.
 */
export const resentOrderMs = 10_000;

/** Maximum number of services with a rollout. A deployment has tens of services. */
export const maxRollouts = 256;

/** The newest blocked versions are kept, so that the configuration stays small. */
const maxBlockedVersions = 64;

type OrderKey = Pick<RolloutOrder, 'service' | 'targetVersion' | 'periodMs'>;

const isSameOrder = (a: OrderKey, b: OrderKey): boolean =>
  a.service === b.service && a.targetVersion === b.targetVersion && a.periodMs === b.periodMs;

const isRecent = ({ endedAtMs }: EndedOrder, nowMs: number): boolean =>
  nowMs - endedAtMs <= resentOrderMs;

const rolloutOf = (rollouts: Rollouts, service: string): Rollout | undefined =>
  Object.hasOwn(rollouts, service) ? rollouts[service] : undefined;

/**
 * True if a rollout stayed in the canary for lack of evidence. It is never shifted any more, so
 * another order may take its place; otherwise the service could have no further rollout.
 */
const isOverdue = ({ stage, startedAtMs, periodMs }: Rollout, nowMs: number): boolean =>
  stage === 'canary' && nowMs - startedAtMs > periodMs + resentOrderMs;

/** Versions that stay without calls when a rollout of `targetVersion` follows `previous`. */
const blockedVersionsAfter = (previous: Rollout | undefined, targetVersion: string): string[] => {
  const isUnproven = previous && previous.state !== 'completed';
  const unproven = isUnproven ? [previous.targetVersion] : [];
  const blocked = new Set([...(previous?.blockedVersions ?? []), ...unproven]);
  blocked.delete(targetVersion);
  return [...blocked].slice(-maxBlockedVersions);
};

const endedOrderOf = (
  { name: service, targetVersion, periodMs }: Rollout,
  endedAtMs: number,
): EndedOrder => ({ service, targetVersion, periodMs, endedAtMs });

const startRollout = (
  { rollouts, endedOrders }: RolloutsState,
  { service, targetVersion, periodMs, canaryShare, proposedAtMs }: RolloutOrder,
): RolloutsState => {
  const previous = rolloutOf(rollouts, service);
  // Steps name their rollout by its start, so two rollouts of a service must not share it.
  const startedAtMs = previous?.startedAtMs === proposedAtMs ? proposedAtMs + 1 : proposedAtMs;
  const started: Rollout = {
    name: service,
    targetVersion,
    state: 'running',
    stage: 'canary',
    canaryShare,
    periodMs,
    startedAtMs,
    changedAtMs: startedAtMs,
    blockedVersions: blockedVersionsAfter(previous, targetVersion),
  };
  const replaced = previous?.state === 'running' ? [endedOrderOf(previous, proposedAtMs)] : [];
  return {
    rollouts: { ...rollouts, [service]: started },
    endedOrders: [...endedOrders, ...replaced],
  };
};

/** Decides on an order, without regard to what else the configuration holds. */
export const decideOrder = (state: RolloutsState, order: RolloutOrder): OrderDecision => {
  const { rollouts, endedOrders } = state;
  const current = rolloutOf(rollouts, order.service);
  const running = current?.state === 'running' ? current : undefined;
  const isResent =
    (running && isSameOrder({ ...running, service: running.name }, order)) ||
    endedOrders.some((ended) => isSameOrder(ended, order) && isRecent(ended, order.proposedAtMs));
  if (isResent) {
    return { outcome: 'resent' };
  }
  if (running && !isOverdue(running, order.proposedAtMs)) {
    return { outcome: 'conflict' };
  }
  if (!current && Object.keys(rollouts).length >= maxRollouts) {
    return { outcome: 'too_many' };
  }
  return { outcome: 'started', state: startRollout(state, order) };
};

type Transition = (rollout: Rollout) => Pick<Rollout, 'state' | 'stage'> | undefined;

/** Undefined if the step does not follow from the rollout's stage. */
const transitions: Readonly<Record<RolloutStepKind, Transition>> = {
  shift: ({ stage }) => (stage === 'canary' ? { state: 'running', stage: 'shift' } : undefined),
  complete: ({ stage }) => (stage === 'shift' ? { state: 'completed', stage } : undefined),
  roll_back: ({ stage }) => ({ state: 'rolled_back', stage }),
};

/**
 * Takes a step. Returns undefined if it has no effect: its rollout is not running any more, or an
 * earlier leader took the step.
 */
export const takeStep = (
  { rollouts, endedOrders }: RolloutsState,
  { service, targetVersion, startedAtMs, step, proposedAtMs }: RolloutStep,
): RolloutsState | undefined => {
  const rollout = rolloutOf(rollouts, service);
  const isCurrent =
    rollout?.state === 'running' &&
    rollout.targetVersion === targetVersion &&
    rollout.startedAtMs === startedAtMs;
  const next = isCurrent ? transitions[step](rollout) : undefined;
  if (!rollout || !next) {
    return undefined;
  }
  const changed: Rollout = { ...rollout, ...next, changedAtMs: proposedAtMs };
  return {
    rollouts: { ...rollouts, [service]: changed },
    endedOrders: [
      ...endedOrders.filter((each) => isRecent(each, proposedAtMs)),
      ...(changed.state === 'running' ? [] : [endedOrderOf(rollout, proposedAtMs)]),
    ],
  };
};
