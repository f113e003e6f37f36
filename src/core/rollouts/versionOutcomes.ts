/**
 * Outcomes of the attempts that this node sent for a service under a rollout, by version and class.
 * The counts run from the start of the rollout and are cumulative, so that a report may be lost,
 * repeated or sent to several receivers without an effect on the sum over the fleet.
 */
import type { AttemptFailureReport } from '../../types/calls.js';
import type { Rollout, VersionOutcomes } from '../../types/rollouts.js';
import type { FailureReason } from '../../utils/failure.js';

/** Outcomes are counted for this time after the end of a rollout, in ms. */
export const countedAfterEndMs = 60_000;
/** Maximum number of pairs of version and class that are counted for a service. */
export const maxCountsOfService = 64;
/** Maximum number of services that are counted at a time. */
const maxServices = 64;

const minFailureStatus = 500;

export type OutcomeCount = Omit<VersionOutcomes, 'service'>;

/** Cumulative counts of one process for one service. */
export interface OutcomeReport {
  /** Random id of the counting process, which changes with each restart. */
  readonly reporter: string;
  readonly service: string;
  /** Start of the rollout from which the counts run, see `Rollout.startedAtMs`. */
  readonly rolloutStartedAtMs: number;
  readonly counts: readonly OutcomeCount[];
}

/** One attempt that has ended. */
export interface AttemptResult {
  readonly service: string;
  readonly className: string;
  /** Version of the endpoint, if it announced one. */
  readonly version: string | undefined;
  /** Status of the response; 0 without one. */
  readonly status: number;
  /** See `ResponseHead`. */
  readonly isStarved: boolean;
  /**
   * Time that the upstream took until the head of its response, in ms. Without the wait for a slot,
   * which depends on the load and would hide a version that is several times slower.
   */
  readonly responseMs: number;
  /** Set if no complete response arrived. */
  readonly failure?: AttemptFailureReport;
}

export type VersionOutcome = 'ok' | 'failed';

/** Reasons that say that an answer was lost, and not that the call or its caller was at fault. */
const lostAnswerReasons: ReadonlySet<FailureReason> = new Set<FailureReason>([
  'answer_mismatch',
  'deadline_exceeded',
  'upstream_failed',
  'upstream_unreachable',
]);

/**
 * Outcome of an attempt as evidence on the version that it was sent to; undefined if it is none:
 * the call did not run, or it failed after a nested call was refused for lack of capacity.
 */
export const classifyVersionOutcome = ({
  status,
  isStarved,
  failure,
}: Pick<AttemptResult, 'status' | 'isStarved' | 'failure'>): VersionOutcome | undefined => {
  if (status >= minFailureStatus) {
    return isStarved ? undefined : 'failed';
  }
  if (!failure) {
    return 'ok';
  }
  const isLost = failure.run === 'may_have_run' && lostAnswerReasons.has(failure.reason);
  return isLost ? 'failed' : undefined;
};

/** Whether outcomes are counted under a rollout at the time of day `wallNow`, in ms. */
export const isCounted = (rollout: Rollout | undefined, wallNow: number): boolean =>
  rollout !== undefined &&
  (rollout.state === 'running' || wallNow - rollout.changedAtMs < countedAfterEndMs);

export interface VersionOutcomeCounter {
  readonly commands: {
    /** Counts an attempt. Returns its outcome, or undefined if it was not counted. */
    record(result: AttemptResult, rollout: Rollout, wallNow: number): VersionOutcome | undefined;
    /** Drops the counts of services whose outcomes are no longer counted. */
    prune(rolloutOf: (service: string) => Rollout | undefined, wallNow: number): void;
  };
  readonly queries: {
    reports(): readonly OutcomeReport[];
  };
}

type MutableCount = { -readonly [Key in keyof OutcomeCount]: OutcomeCount[Key] };

interface ServiceCounts {
  readonly rolloutStartedAtMs: number;
  readonly counts: Map<string, MutableCount>;
}

/** Creates the counter of one process. */
export const createVersionOutcomeCounter = (reporter: string): VersionOutcomeCounter => {
  const services = new Map<string, ServiceCounts>();

  const countsOf = (service: string, { startedAtMs }: Rollout): ServiceCounts | undefined => {
    const known = services.get(service);
    if (known?.rolloutStartedAtMs === startedAtMs) {
      return known;
    }
    if (!known && services.size >= maxServices) {
      return undefined;
    }
    const created = { rolloutStartedAtMs: startedAtMs, counts: new Map<string, MutableCount>() };
    services.set(service, created);
    return created;
  };

  const countOf = (
    { counts }: ServiceCounts,
    version: string,
    className: string,
  ): MutableCount | undefined => {
    const key = JSON.stringify([version, className]);
    const known = counts.get(key);
    if (known || counts.size >= maxCountsOfService) {
      return known;
    }
    const created = { version, className, calls: 0, failures: 0, totalMs: 0 };
    counts.set(key, created);
    return created;
  };

  return {
    commands: {
      record: (result, rollout, wallNow) => {
        const outcome = classifyVersionOutcome(result);
        if (outcome === undefined || !isCounted(rollout, wallNow)) {
          return undefined;
        }
        const { service, version = '', className, responseMs } = result;
        const ofService = countsOf(service, rollout);
        const count = ofService && countOf(ofService, version, className);
        if (!count) {
          return undefined;
        }
        count.calls += 1;
        count.failures += outcome === 'failed' ? 1 : 0;
        count.totalMs += outcome === 'failed' ? 0 : responseMs;
        return outcome;
      },
      prune: (rolloutOf, wallNow) => {
        [...services.keys()]
          .filter((service) => !isCounted(rolloutOf(service), wallNow))
          .forEach((service) => services.delete(service));
      },
    },
    queries: {
      reports: () =>
        [...services].map(([service, { rolloutStartedAtMs, counts }]) => ({
          reporter,
          service,
          rolloutStartedAtMs,
          counts: [...counts.values()].map((count) => ({ ...count })),
        })),
    },
  };
};
