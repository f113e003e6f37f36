/**
 * Types of rollouts, which move the calls of a service to endpoints of another version. Control
 * instances replicate the state; nodes route by it and report the outcomes of their calls.
 */

export const rolloutStates = ['running', 'completed', 'rolled_back'] as const;

export type RolloutState = (typeof rolloutStates)[number];

export const rolloutStages = ['canary', 'shift'] as const;

/** Stage of a running rollout: a small share of the calls goes to the target version, or all do. */
export type RolloutStage = (typeof rolloutStages)[number];

/** Newest rollout of a service. */
export interface Rollout {
  /** Name of the service. */
  readonly name: string;
  readonly targetVersion: string;
  readonly state: RolloutState;
  readonly stage: RolloutStage;
  /** Share of the service's calls that go to the target version in the stage `canary`. */
  readonly canaryShare: number;
  /** Time in which the rollout has to be completed or rolled back, in ms. */
  readonly periodMs: number;
  /** Time of day at which the order was accepted, in ms. */
  readonly startedAtMs: number;
  /** Time of day at which the current state and stage began, in ms. */
  readonly changedAtMs: number;
  /** Other versions that were rolled back and get no calls. */
  readonly blockedVersions: readonly string[];
}

/** Outcomes of the calls of one class at the endpoints of one version of a service. */
export interface VersionOutcomes {
  readonly service: string;
  readonly version: string;
  readonly className: string;
  readonly calls: number;
  /** Calls that were answered with a status from 500, or were not answered. */
  readonly failures: number;
  /** Sum of the response times of the calls that did not fail, in ms. */
  readonly totalMs: number;
}
