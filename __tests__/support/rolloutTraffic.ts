/**
 * Calls of a service during a rollout, without a network: two versions answer a constant load, and
 * the control side sees the counts as the nodes report them.
 */
import { chooseStep } from '../../src/core/rollouts/rolloutDecision.js';
import { appendSample, type OutcomeSample } from '../../src/core/rollouts/canaryAnalysis.js';
import {
  planCanaryShare,
  maxAnalysisPeriodMs,
  reactionMs,
  defaultRolloutLimits,
} from '../../src/core/rollouts/rolloutPlan.js';
import { decideOrder, takeStep, type RolloutsState } from '../../src/core/rollouts/rolloutState.js';
import type { Rollout, VersionOutcomes } from '../../src/types/rollouts.js';

export interface Answers {
  /** Part of the answers that are failures. */
  readonly failing?: number;
  /** Factor on the response time. */
  readonly slower?: number;
}

export interface TrafficClassLoad {
  readonly name: string;
  readonly perSecond: number;
  readonly responseMs: number;
  /** Failures of all versions, for example since a nested call found no slot. */
  readonly failing?: number;
}

export interface TrafficOptions {
  readonly classes: readonly TrafficClassLoad[];
  readonly periodMs: number;
  /** Answers of the target version at a time since the order, in a stage. */
  readonly target: (atMs: number, className: string, stage: Rollout['stage']) => Answers;
  readonly random: () => number;
  readonly knowsRate?: boolean;
  /** Time at which the outcomes of the calls are lost, as in a leader change. */
  readonly lostCountsAtMs?: number;
  readonly runForMs?: number;
}

const stepMs = 50;
/** Age of the newest counts that the control side has. */
const reportMs = 500;
/** The steps come into force after the rest of the reaction time. */
const inForceMs = reactionMs - reportMs - maxAnalysisPeriodMs;

const service = 'menukaart';

/** Runs a rollout. Returns its end, when it was decided, and the calls that the target got. */
export const runRollout = (options: TrafficOptions) => {
  const { classes, periodMs, target, random, runForMs = periodMs } = options;
  const perSecond = classes.reduce((sum, each) => sum + each.perSecond, 0);
  const order = {
    service,
    targetVersion: 'v2',
    periodMs,
    canaryShare: planCanaryShare(
      periodMs,
      defaultRolloutLimits,
      options.knowsRate ? perSecond : undefined,
    ),
    proposedAtMs: 0,
  };
  const started = decideOrder({ rollouts: {}, endedOrders: [] }, order);
  let state: RolloutsState = started.outcome === 'started' ? started.state : never();
  let samples: readonly OutcomeSample[] = [];
  const totals = new Map<string, VersionOutcomes>();
  const reports: { readonly atMs: number; readonly outcomes: readonly VersionOutcomes[] }[] = [];
  const inForce: { readonly fromMs: number; readonly rollout: Rollout }[] = [];
  let calls = 0;
  let targetCalls = 0;
  let badAnswers = 0;
  let decidedAtMs: number | undefined;
  let shiftedAtMs: number | undefined;
  let badAnswersAtDecision = 0;

  const newest = () => state.rollouts[service]!;
  const record = (
    version: string,
    { name, responseMs, failing = 0 }: TrafficClassLoad,
    answers: Answers,
  ) => {
    const key = `${version} ${name}`;
    const before = totals.get(key);
    const fails = random() < 1 - (1 - failing) * (1 - (answers.failing ?? 0));
    const ms = responseMs * (answers.slower ?? 1) * (0.5 + random());
    totals.set(key, {
      service,
      version,
      className: name,
      calls: (before?.calls ?? 0) + 1,
      failures: (before?.failures ?? 0) + (fails ? 1 : 0),
      totalMs: (before?.totalMs ?? 0) + (fails ? 0 : ms),
    });
    badAnswers += version === 'v2' && fails ? 1 : 0;
  };

  const sendCalls = (atMs: number) => {
    const rollout = inForce.findLast(({ fromMs }) => fromMs <= atMs)?.rollout;
    const share = {
      running: rollout?.stage === 'shift' ? 1 : (rollout?.canaryShare ?? 0),
      completed: 1,
      rolled_back: 0,
    };
    const targetShare = rollout ? share[rollout.state] : 0;
    classes.forEach((each) => {
      const expected = (each.perSecond * stepMs) / 1_000;
      const count = Math.floor(expected) + (random() < expected % 1 ? 1 : 0);
      for (let sent = 0; sent < count; sent += 1) {
        const isTarget = random() < targetShare;
        calls += 1;
        targetCalls += isTarget ? 1 : 0;
        record(
          isTarget ? 'v2' : 'v1',
          each,
          isTarget ? target(atMs, each.name, rollout!.stage) : {},
        );
      }
    });
  };

  const decide = (atMs: number) => {
    const outcomes = reports.findLast((report) => report.atMs <= atMs - reportMs)?.outcomes ?? [];
    samples = appendSample(samples, { atMs, outcomes });
    const { step } = chooseStep(newest(), samples, atMs);
    if (step === undefined) {
      return;
    }
    const { startedAtMs } = newest();
    state = takeStep(state, {
      service,
      targetVersion: 'v2',
      startedAtMs,
      step,
      proposedAtMs: atMs,
    })!;
    inForce.push({ fromMs: atMs + inForceMs, rollout: newest() });
    if (step === 'shift') {
      shiftedAtMs = atMs;
    } else {
      decidedAtMs = atMs;
      badAnswersAtDecision = badAnswers;
    }
  };

  inForce.push({ fromMs: 0, rollout: newest() });
  for (let atMs = 0; atMs < runForMs; atMs += stepMs) {
    sendCalls(atMs);
    reports.push({ atMs, outcomes: [...totals.values()] });
    if (options.lostCountsAtMs === atMs) {
      samples = [];
    }
    if (atMs % maxAnalysisPeriodMs === 0 && newest().state === 'running') {
      decide(atMs);
    }
  }
  return {
    state: newest().state,
    stage: newest().stage,
    decidedAtMs,
    shiftedAtMs,
    calls,
    targetCalls,
    badAnswersAtDecision,
  };
};

const never = (): never => {
  throw new Error('the order was not accepted');
};
