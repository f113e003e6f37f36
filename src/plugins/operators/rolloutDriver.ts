/**
 * Drives running rollouts on the leader: reads the outcomes of calls, has them analysed and proposes
 * the next step. Counts are soft state: each leader judges on what was reported since it began to
 * watch a rollout. A step that was already taken has no effect, so a proposal may be repeated.
 */
import type {
  AppliedChange,
  ConfigurationHistory,
} from '../../core/agreement/configurationHistory.js';
import { encodeRolloutStep } from '../../core/agreement/rolloutEntries.js';
import { appendSample, type OutcomeSample } from '../../core/rollouts/canaryAnalysis.js';
import { chooseStep, type StepDecision } from '../../core/rollouts/rolloutDecision.js';
import { analysisPeriodMs, type RolloutLimits } from '../../core/rollouts/rolloutPlan.js';
import type { RolloutStepKind } from '../../core/rollouts/rolloutState.js';
import type { ReplicaGroup } from '../../types/internal.js';
import type { Rollout, VersionOutcomes } from '../../types/rollouts.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { createLeaderOperations } from './leaderOperations.js';

/** Time between two samples of the calls of all services, and over which rates are averaged. */
const rateSampleMs = 1_000;
const rateWindowMs = 5_000;

/** Totals of the outcomes that the nodes report. They only grow while the process lives. */
export interface OutcomeSource {
  outcomes(): readonly VersionOutcomes[];
}

export interface RolloutDriver {
  readonly commands: { start(): void; stop(): void };
  readonly queries: {
    /** Calls per second that the service got recently, if calls were reported. */
    callsPerSecond(service: string): number | undefined;
  };
}

export interface RolloutDriverOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
  readonly source: OutcomeSource;
  readonly limits: RolloutLimits;
  readonly observe: (step: RolloutStepKind) => void;
  readonly timer: Timer;
  readonly log: Log;
}

interface Watch {
  readonly startedAtMs: number;
  readonly targetVersion: string;
  samples: readonly OutcomeSample[];
  isProposing: boolean;
  hasWarned: boolean;
}

interface RateSample {
  readonly atMs: number;
  readonly calls: ReadonlyMap<string, number>;
}

const countCalls = (outcomes: readonly VersionOutcomes[]): Map<string, number> => {
  const counts = new Map<string, number>();
  outcomes.forEach(({ service, calls }) => counts.set(service, (counts.get(service) ?? 0) + calls));
  return counts;
};

/** Creates the driver of the rollouts of a control instance. */
export const createRolloutDriver = (options: RolloutDriverOptions): RolloutDriver => {
  const { group, history, source, limits, observe, timer, log } = options;
  const leader = createLeaderOperations({ group, timer, log, subject: 'step of a rollout' });
  const watches = new Map<string, Watch>();
  let rates: readonly RateSample[] = [];
  let cancel: Cancel | undefined;

  const watch = ({ name, startedAtMs, targetVersion }: Rollout): Watch => {
    const current = watches.get(name);
    if (current?.startedAtMs === startedAtMs && current.targetVersion === targetVersion) {
      return current;
    }
    const created: Watch = {
      startedAtMs,
      targetVersion,
      samples: [],
      isProposing: false,
      hasWarned: false,
    };
    watches.set(name, created);
    log.info('rollout watched', { service: name, version: targetVersion });
    return created;
  };

  const propose = async (
    watched: Watch,
    { name, targetVersion, startedAtMs }: Rollout,
    step: RolloutStepKind,
    { verdict }: StepDecision,
  ) => {
    const fields = { service: name, version: targetVersion, step };
    const reason =
      verdict.verdict === 'bad' ? { class: verdict.className, cause: verdict.cause } : {};
    watched.isProposing = true;
    try {
      const proposedAtMs = timer.wallClock();
      const payload = encodeRolloutStep({
        service: name,
        targetVersion,
        startedAtMs,
        step,
        proposedAtMs,
      });
      const { result } = await group.commands.propose(payload);
      if (result.result.outcome === 'accepted') {
        observe(step);
        log.info('step taken', { ...fields, ...reason, verdict: verdict.verdict });
      }
    } catch (error) {
      log.warn('step not confirmed', { ...fields, ...reason, error: String(error) });
    } finally {
      watched.isProposing = false;
    }
  };

  const warnIfStuck = (watched: Watch, rollout: Rollout, nowMs: number) => {
    const { name, targetVersion, stage, startedAtMs, periodMs } = rollout;
    if (!watched.hasWarned && stage === 'canary' && nowMs - startedAtMs > periodMs) {
      watched.hasWarned = true;
      log.warn('rollout stays in the canary: too few calls were reported in time', {
        service: name,
        version: targetVersion,
      });
    }
  };

  const advance = (rollout: Rollout, outcomes: readonly VersionOutcomes[]) => {
    const watched = watch(rollout);
    const nowMs = timer.wallClock();
    const ofService = outcomes.filter(({ service }) => service === rollout.name);
    watched.samples = appendSample(watched.samples, {
      atMs: nowMs - rollout.startedAtMs,
      outcomes: ofService,
    });
    if (watched.isProposing) {
      return;
    }
    const decision = chooseStep(rollout, watched.samples, nowMs);
    if (decision.step) {
      propose(watched, rollout, decision.step, decision);
    } else {
      warnIfStuck(watched, rollout, nowMs);
    }
  };

  const sampleRates = () => {
    const atMs = timer.now();
    const newest = rates.at(-1);
    if (!newest || atMs - newest.atMs >= rateSampleMs) {
      const kept = rates.filter((rate) => atMs - rate.atMs <= rateWindowMs);
      rates = [...kept, { atMs, calls: countCalls(source.outcomes()) }];
    }
  };

  const tick = () => {
    if (group.queries.role() !== 'leader') {
      watches.clear();
      rates = [];
      return;
    }
    if (!leader.queries.isLeading()) {
      return;
    }
    sampleRates();
    const running = Object.values(history.queries.head()?.rollouts ?? {}).filter(
      ({ state }) => state === 'running',
    );
    [...watches.keys()]
      .filter((service) => !running.some(({ name }) => name === service))
      .forEach((service) => watches.delete(service));
    if (running.length > 0) {
      const outcomes = source.outcomes();
      running.forEach((rollout) => advance(rollout, outcomes));
    }
  };

  const callsPerSecond = (service: string): number | undefined => {
    const [first] = rates;
    const last = rates.at(-1);
    if (!first || !last || first === last) {
      return undefined;
    }
    const calls = (last.calls.get(service) ?? 0) - (first.calls.get(service) ?? 0);
    return calls > 0 ? (1_000 * calls) / (last.atMs - first.atMs) : undefined;
  };

  return {
    commands: {
      start: () => {
        cancel ??= timer.every(analysisPeriodMs(limits), tick);
      },
      stop: () => {
        cancel?.();
        cancel = undefined;
      },
    },
    queries: { callsPerSecond },
  };
};
