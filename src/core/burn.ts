/**
 * Service-level burn: outcomes for each class and data centre over a short and a long window, the
 * error budget that is left and what used it. Reports of several nodes can be merged.
 */
import type { Configuration } from '../types/public.js';

/**
 * Outcome of a call against its target. `waiting` is a call that was late or refused because it
 * waited for capacity; `shed` was refused at once.
 */
export type CallOutcome = 'good' | 'late' | 'shed' | 'failed' | 'waiting';

export type OutcomeCounts = Readonly<Record<CallOutcome, number>>;

/** Counts of one class in one data centre. */
export interface BurnEntry {
  readonly className: string;
  readonly dataCentre: string;
  readonly short: OutcomeCounts;
  readonly long: OutcomeCounts;
}

/** JSON form, as served by `/report` and merged by the command line. */
export interface BurnSnapshot {
  readonly shortMs: number;
  readonly longMs: number;
  readonly entries: readonly BurnEntry[];
}

/** Burn of one class in one data centre against its target. */
export interface BurnLine extends BurnEntry {
  /** Allowed share of bad calls. */
  readonly allowedShare: number;
  /** Share of bad calls divided by the allowed share: 1 uses the budget exactly. */
  readonly shortBurn: number;
  readonly longBurn: number;
  /** Part of the error budget of the long window that is left; negative when overdrawn. */
  readonly budgetLeft: number;
  /** Outcome that used most of the budget in the long window. */
  readonly mainCause?: Exclude<CallOutcome, 'good'>;
}

export interface RecordedCall {
  readonly className: string;
  readonly dataCentre: string;
  readonly outcome: CallOutcome;
}

export interface Burn {
  readonly commands: { recordOutcome(call: RecordedCall, now: number): void };
  readonly queries: { snapshot(now: number): BurnSnapshot };
}

export const shortWindowMs = 5 * 60_000;
export const longWindowMs = 60 * 60_000;

const noCounts: OutcomeCounts = { good: 0, late: 0, shed: 0, failed: 0, waiting: 0 };
const outcomes = Object.keys(noCounts) as CallOutcome[];

const addCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => ({
  good: a.good + b.good,
  late: a.late + b.late,
  shed: a.shed + b.shed,
  failed: a.failed + b.failed,
  waiting: a.waiting + b.waiting,
});

/** Creates the burn counters of one node. */
export const createBurn = (): Burn => {
  const entries = new Map<string, BurnEntry>();
  return {
    commands: {
      recordOutcome: ({ className, dataCentre, outcome }) => {
        const key = JSON.stringify([className, dataCentre]);
        const known = entries.get(key);
        const one = { ...noCounts, [outcome]: 1 };
        entries.set(key, {
          className,
          dataCentre,
          short: addCounts(known?.short ?? noCounts, one),
          long: addCounts(known?.long ?? noCounts, one),
        });
      },
    },
    queries: {
      snapshot: () => ({
        shortMs: shortWindowMs,
        longMs: longWindowMs,
        entries: [...entries.values()],
      }),
    },
  };
};

/** Adds up the snapshots of several nodes. */
export const mergeBurn = (snapshots: readonly BurnSnapshot[]): BurnSnapshot => {
  const entries = new Map<string, BurnEntry>();
  snapshots
    .flatMap((snapshot) => snapshot.entries)
    .forEach((entry) => {
      const key = JSON.stringify([entry.className, entry.dataCentre]);
      const known = entries.get(key);
      entries.set(key, {
        ...entry,
        short: addCounts(known?.short ?? noCounts, entry.short),
        long: addCounts(known?.long ?? noCounts, entry.long),
      });
    });
  return { shortMs: shortWindowMs, longMs: longWindowMs, entries: [...entries.values()] };
};

const badShare = (counts: OutcomeCounts): number => {
  const total = outcomes.reduce((sum, outcome) => sum + counts[outcome], 0);
  return total === 0 ? 0 : (total - counts.good) / total;
};

const mainCauseOf = (counts: OutcomeCounts): Exclude<CallOutcome, 'good'> | undefined =>
  (['late', 'shed', 'failed', 'waiting'] as const)
    .filter((outcome) => counts[outcome] > 0)
    .sort((a, b) => counts[b] - counts[a])[0];

/** Compares a snapshot with the targets of a configuration. */
export const burnReport = (snapshot: BurnSnapshot, configuration: Configuration): BurnLine[] =>
  snapshot.entries.flatMap((entry) => {
    const target = configuration.classes[entry.className];
    if (!target) {
      return [];
    }
    const allowedShare = Math.max(1 - Math.min(target.share, target.availability), 1e-6);
    const shortBurn = badShare(entry.short) / allowedShare;
    const longBurn = badShare(entry.long) / allowedShare;
    const mainCause = mainCauseOf(entry.long);
    return [{ ...entry, allowedShare, shortBurn, longBurn, budgetLeft: 1 - longBurn, mainCause }];
  });
