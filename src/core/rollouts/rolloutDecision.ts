/**
 * Chooses the next step of a running rollout from its state, its plan and the canary analysis.
 */
import type { Rollout } from '../../types/rollouts.js';
import {
  analyseCanary,
  slowestClassMs,
  type OutcomeSample,
  type Verdict,
} from './canaryAnalysis.js';
import { planTimes } from './rolloutPlan.js';
import type { RolloutStepKind } from './rolloutState.js';

export interface StepDecision {
  /** Undefined if the rollout stays as it is. */
  readonly step: RolloutStepKind | undefined;
  readonly verdict: Verdict;
}

/** Samples have the times since the start of the rollout; `nowMs` is the time of day. */
export const chooseStep = (
  rollout: Rollout,
  samples: readonly OutcomeSample[],
  nowMs: number,
): StepDecision => {
  const { targetVersion, periodMs, stage, startedAtMs, changedAtMs } = rollout;
  const verdict = analyseCanary(samples, targetVersion);
  if (verdict.verdict === 'bad') {
    return { step: 'roll_back', verdict };
  }
  const times = planTimes(periodMs, slowestClassMs(samples, targetVersion));
  const elapsedMs = nowMs - startedAtMs;
  if (stage === 'shift') {
    // Also without evidence, as after a change of the leader: the canary showed a good version, and
    // the old endpoints have no calls left.
    const isDrained =
      nowMs - changedAtMs >= times.drainMs || elapsedMs >= times.latestCompletionAtMs;
    return { step: isDrained ? 'complete' : undefined, verdict };
  }
  const isDue = elapsedMs >= times.shiftAtMs && elapsedMs <= times.latestShiftAtMs;
  return { step: isDue && verdict.verdict === 'good' ? 'shift' : undefined, verdict };
};
