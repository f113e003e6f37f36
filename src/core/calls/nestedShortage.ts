/**
 * What the node beside an upstream measures of the nested calls that the upstream makes: by class of
 * the parent call and service called, how many there are in each run, how long they wait and how many
 * are refused for lack of capacity. The figures of the scarcest service return with each response to
 * the node that accepted the call. They cover all runs of the class here, so that few responses are
 * enough to learn them.
 */
import type { NestedShortage } from '../../types/calls.js';

/** End of a nested call, as seen by the node beside the upstream that made it. */
export interface NestedOutcome {
  /** Class of the call that the upstream made it for. */
  readonly parentClass: string;
  /** Service that the nested call went to. */
  readonly service: string;
  /** Part of its maximum wait that it has waited, from 0 to 1; 1 if it was refused. */
  readonly waitShare: number;
  /** It was refused for lack of capacity. */
  readonly isRefused: boolean;
}

export interface NestedShortages {
  readonly commands: {
    recordRun(parentClass: string, now: number): void;
    recordNested(outcome: NestedOutcome, now: number): void;
    /** Adds what the response to a nested call says about the nested calls made further down. */
    recordDeeper(parentClass: string, shortage: NestedShortage, now: number): void;
  };
  readonly queries: {
    /** Figures of the service whose nested calls wait longest; undefined without recent calls. */
    scarcest(parentClass: string, now: number): NestedShortage | undefined;
  };
}

/** Time constant of the figures in ms. */
const timeConstantMs = 400;
/** Outcomes older than this say nothing about the capacity of a service now, in ms. */
export const maxShortageAgeMs = 1_000;
/** Maximum number of classes, and of services for each class. */
const maxClasses = 1_024;
const maxServices = 32;

interface ServiceCounts {
  /** Decaying sums. */
  calls: number;
  refused: number;
  waited: number;
  countedAt: number;
}

interface ClassCounts {
  runs: number;
  countedAt: number;
  readonly services: Map<string, ServiceCounts>;
}

const keptShare = (elapsedMs: number): number => Math.exp(-Math.max(0, elapsedMs) / timeConstantMs);

/** Returns the entry of a key in a map of bounded size, which drops its oldest entry. */
const entryOf = <Value>(
  map: Map<string, Value>,
  key: string,
  limit: number,
  create: () => Value,
): Value => {
  const known = map.get(key);
  if (known !== undefined) {
    return known;
  }
  if (map.size >= limit) {
    map.delete(map.keys().next().value!);
  }
  const created = create();
  map.set(key, created);
  return created;
};

/** Creates the measurement of one upstream. */
export const createNestedShortages = (): NestedShortages => {
  const classes = new Map<string, ClassCounts>();

  const decayRuns = (counts: ClassCounts, now: number): ClassCounts => {
    counts.runs *= keptShare(now - counts.countedAt);
    counts.countedAt = now;
    return counts;
  };

  const classOf = (parentClass: string, now: number): ClassCounts =>
    decayRuns(
      entryOf(classes, parentClass, maxClasses, () => ({
        runs: 0,
        countedAt: now,
        services: new Map<string, ServiceCounts>(),
      })),
      now,
    );

  const decayService = (counts: ServiceCounts, now: number) => {
    const kept = keptShare(now - counts.countedAt);
    counts.calls *= kept;
    counts.refused *= kept;
    counts.waited *= kept;
    counts.countedAt = now;
  };

  const add = (
    parentClass: string,
    service: string,
    { calls, waited, refused }: Pick<ServiceCounts, 'calls' | 'waited' | 'refused'>,
    now: number,
  ) => {
    const { services } = classOf(parentClass, now);
    const counts = entryOf(services, service, maxServices, () => ({
      calls: 0,
      refused: 0,
      waited: 0,
      countedAt: now,
    }));
    decayService(counts, now);
    counts.calls += calls;
    counts.waited += waited;
    counts.refused += refused;
  };

  const scarcest = (parentClass: string, now: number): NestedShortage | undefined => {
    const counts = classes.get(parentClass);
    if (!counts) {
      return undefined;
    }
    const { runs } = decayRuns(counts, now);
    return [...counts.services]
      .filter(([, { calls, countedAt }]) => calls > 0 && now - countedAt <= maxShortageAgeMs)
      .map(([service, { calls, refused, waited, countedAt }]) => ({
        service,
        callsPerRun: (calls * keptShare(now - countedAt)) / Math.max(1, runs),
        refusedShare: refused / calls,
        waitShare: waited / calls,
      }))
      .sort((a, b) => b.waitShare - a.waitShare)[0];
  };

  return {
    commands: {
      recordRun: (parentClass, now) => {
        classOf(parentClass, now).runs += 1;
      },
      recordNested: ({ parentClass, service, waitShare, isRefused }, now) =>
        add(
          parentClass,
          service,
          {
            calls: 1,
            waited: isRefused ? 1 : Math.max(0, Math.min(1, waitShare)),
            refused: Number(isRefused),
          },
          now,
        ),
      recordDeeper: (parentClass, { service, callsPerRun, waitShare, refusedShare }, now) =>
        add(
          parentClass,
          service,
          {
            calls: callsPerRun,
            waited: callsPerRun * waitShare,
            refused: callsPerRun * refusedShare,
          },
          now,
        ),
    },
    queries: { scarcest },
  };
};
