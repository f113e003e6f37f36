/**
 * Rollouts in the state machine of the configuration group: entries for orders and steps, and the
 * state that is kept beside the configurations.
 */
import {
  decideOrder,
  takeStep,
  type EndedOrder,
  type OrderDecision,
  type RolloutOrder,
  type Rollouts,
  type RolloutsState,
  type RolloutStep,
} from '../rollouts/rolloutState.js';
import type { Version } from '../../types/public.js';
import type { AppliedChange, ChangeResult, RefusalCause } from './configurationHistory.js';
import { noVersion } from './version.js';

/** Payload of an entry, beside the other kinds of entries of the group. */
export type RolloutEntry =
  { readonly rolloutOrder: RolloutOrder } | { readonly rolloutStep: RolloutStep };

export const encodeRolloutOrder = (rolloutOrder: RolloutOrder): Uint8Array =>
  new TextEncoder().encode(JSON.stringify({ rolloutOrder } satisfies RolloutEntry));

export const encodeRolloutStep = (rolloutStep: RolloutStep): Uint8Array =>
  new TextEncoder().encode(JSON.stringify({ rolloutStep } satisfies RolloutEntry));

/** The parts of the history that rollouts read and change. */
export interface RolloutHead {
  /** Version of the configuration in force; undefined before the first one. */
  version(): Version | undefined;
  rollouts(): Rollouts;
  /** Puts the configuration in force again as a new version, with these rollouts. */
  push(rollouts: Rollouts, version: Version, acceptedAtMs: number): ChangeResult;
}

export interface RolloutEntries {
  readonly commands: {
    apply(entry: RolloutEntry, version: Version): AppliedChange;
    /** Replaces the ended orders by those of a snapshot; snapshots of earlier releases have none. */
    restore(endedOrders: readonly EndedOrder[] | undefined): void;
  };
  readonly queries: {
    /** The result of an order that starts no rollout now. Undefined if it would start one. */
    precheck(order: RolloutOrder): AppliedChange | undefined;
    endedOrders(): readonly EndedOrder[];
  };
}

/** Creates the rollouts of a configuration history. */
export const createRolloutEntries = (head: RolloutHead): RolloutEntries => {
  let endedOrders: readonly EndedOrder[] = [];

  const stateNow = () => ({ rollouts: head.rollouts(), endedOrders });
  const headVersion = () => head.version() ?? noVersion;

  const refuse = (reason: RefusalCause): AppliedChange => ({
    result: { outcome: 'refused', reason, version: headVersion() },
    replayed: false,
  });

  const keepUnchanged = (): AppliedChange => ({
    result: { outcome: 'unchanged', version: headVersion() },
    replayed: true,
  });

  const push = (state: RolloutsState, version: Version, atMs: number): AppliedChange => {
    endedOrders = state.endedOrders;
    return { result: head.push(state.rollouts, version, atMs), replayed: false };
  };

  const resultsWithoutStart: Readonly<
    Record<Exclude<OrderDecision['outcome'], 'started'>, () => AppliedChange>
  > = {
    resent: keepUnchanged,
    conflict: () => refuse('rollout_running'),
    too_many: () => refuse('change_too_large'),
  };

  /** Returns the state in which the order starts a rollout, or the result if it starts none. */
  const decide = (order: RolloutOrder): { state: RolloutsState } | { applied: AppliedChange } => {
    if (!head.version()) {
      return { applied: refuse('no_configuration') };
    }
    const decision = decideOrder(stateNow(), order);
    return decision.outcome === 'started'
      ? { state: decision.state }
      : { applied: resultsWithoutStart[decision.outcome]() };
  };

  const applyOrder = (order: RolloutOrder, version: Version): AppliedChange => {
    const decided = decide(order);
    return 'applied' in decided
      ? decided.applied
      : push(decided.state, version, order.proposedAtMs);
  };

  const applyStep = (step: RolloutStep, version: Version): AppliedChange => {
    const state = takeStep(stateNow(), step);
    return state ? push(state, version, step.proposedAtMs) : keepUnchanged();
  };

  return {
    commands: {
      apply: (entry, version) =>
        'rolloutOrder' in entry
          ? applyOrder(entry.rolloutOrder, version)
          : applyStep(entry.rolloutStep, version),
      restore: (restored = []) => {
        endedOrders = restored;
      },
    },
    queries: {
      precheck: (order) => {
        const decided = decide(order);
        return 'applied' in decided ? decided.applied : undefined;
      },
      endedOrders: () => endedOrders,
    },
  };
};
