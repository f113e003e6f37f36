/**
 * Burn rate of error budgets: call outcomes by class and data centre over a short and a long
 * window, the remaining error budget and the main cause of its use. Memory is bounded: counters are
 * kept in a ring buffer of one-minute slots, and the number of rows is limited. Snapshots of
 * several nodes can be merged.
 */
import type { Configuration, TrafficClass } from '../../types/public.js';
import type { FailureReason } from '../../utils/failure.js';

/**
 * Outcome of a call against its target. `waiting`: late or refused because it waited for capacity;
 * `shed`: refused at once.
 */
export type CallOutcome = 'good' | 'late' | 'shed' | 'failed' | 'waiting';

export type OutcomeCounts = Readonly<Record<CallOutcome, number>>;

/** Outcome counts of one class in one data centre. */
export interface BurnEntry {
  readonly className: string;
  readonly dataCentre: string;
  readonly short: OutcomeCounts;
  readonly long: OutcomeCounts;
}

/** Counts of one or several nodes, as served in JSON by `/report` and merged by the CLI. */
export interface BurnSnapshot {
  readonly shortMs: number;
  readonly longMs: number;
  readonly entries: readonly BurnEntry[];
}

/** Burn rate of one class in one data centre against its target. */
export interface BurnLine extends BurnEntry {
  /** Share of bad calls that the target allows. */
  readonly allowedShare: number;
  /** Share of bad calls divided by the allowed share; 1 uses exactly the error budget. */
  readonly shortBurn: number;
  readonly longBurn: number;
  /** Remaining share of the error budget of the long window; negative if it is exceeded. */
  readonly budgetLeft: number;
  /** Most frequent bad outcome in the long window. */
  readonly mainCause?: Exclude<CallOutcome, 'good'>;
}

export interface RecordedCall {
  readonly className: string;
  readonly dataCentre: string;
  readonly outcome: CallOutcome;
}

export interface BurnCounters {
  readonly commands: { recordOutcome(call: RecordedCall, now: number): void };
  readonly queries: { snapshot(now: number): BurnSnapshot };
}

export const shortWindowMs = 5 * 60_000;
export const longWindowMs = 60 * 60_000;
const slotMs = 60_000;
const shortSlots = shortWindowMs / slotMs;
const longSlots = longWindowMs / slotMs;
/**
 * Maximum number of rows, enough for about 100 classes in 7 data centres. Calls that would need
 * another row are counted under `otherClass`.
 */
export const maxBurnRows = 1_024;
export const otherClass = '(other)';
/** Smallest allowed share of bad calls, so that a target of 1 does not divide by 0. */
const minAllowedShare = 1e-6;

const outcomes: readonly CallOutcome[] = ['good', 'late', 'shed', 'failed', 'waiting'];
const badOutcomes = ['late', 'shed', 'failed', 'waiting'] as const;

type MutableCounts = Record<CallOutcome, number>;

interface Slot {
  /** Index of the minute that the counts belong to. */
  minute: number;
  readonly counts: MutableCounts;
}

interface Row {
  readonly className: string;
  readonly dataCentre: string;
  readonly slots: readonly Slot[];
}

const zeroCounts = (): MutableCounts => ({ good: 0, late: 0, shed: 0, failed: 0, waiting: 0 });

const addCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => {
  const sum = zeroCounts();
  outcomes.forEach((outcome) => {
    sum[outcome] = a[outcome] + b[outcome];
  });
  return sum;
};

const totalOf = (counts: OutcomeCounts): number =>
  outcomes.reduce((sum, outcome) => sum + counts[outcome], 0);

const rowKey = (className: string, dataCentre: string): string =>
  JSON.stringify([className, dataCentre]);

const createRow = (className: string, dataCentre: string): Row => ({
  className,
  dataCentre,
  slots: Array.from({ length: longSlots }, () => ({ minute: -1, counts: zeroCounts() })),
});

const minuteOf = (now: number): number => Math.floor(now / slotMs);

const slotOf = ({ slots }: Row, minute: number): Slot => {
  const slot = slots[minute % longSlots]!;
  if (slot.minute !== minute) {
    slot.minute = minute;
    Object.assign(slot.counts, zeroCounts());
  }
  return slot;
};

const sumMinutes = ({ slots }: Row, minute: number, count: number): OutcomeCounts =>
  slots
    .filter((slot) => slot.minute > minute - count && slot.minute <= minute)
    .reduce<OutcomeCounts>((sum, slot) => addCounts(sum, slot.counts), zeroCounts());

/** Creates the outcome counters of one node. */
export const createBurnCounters = (): BurnCounters => {
  const rows = new Map<string, Row>();

  const rowFor = ({ className, dataCentre }: RecordedCall): Row => {
    const existing = rows.get(rowKey(className, dataCentre));
    if (existing) {
      return existing;
    }
    const isFull = rows.size >= maxBurnRows;
    const name = isFull ? otherClass : className;
    const place = isFull ? '' : dataCentre;
    const row = rows.get(rowKey(name, place)) ?? createRow(name, place);
    rows.set(rowKey(name, place), row);
    return row;
  };

  const snapshot = (now: number): BurnSnapshot => {
    const minute = minuteOf(now);
    const entries = [...rows.values()]
      .map((row) => ({
        className: row.className,
        dataCentre: row.dataCentre,
        short: sumMinutes(row, minute, shortSlots),
        long: sumMinutes(row, minute, longSlots),
      }))
      .filter(({ long }) => totalOf(long) > 0);
    return { shortMs: shortWindowMs, longMs: longWindowMs, entries };
  };

  const recordOutcome = (call: RecordedCall, now: number): void => {
    slotOf(rowFor(call), minuteOf(now)).counts[call.outcome] += 1;
  };

  return { commands: { recordOutcome }, queries: { snapshot } };
};

/** A refused call counts as `waiting` after this share of its longest wait. */
const minWaitedShare = 0.5;

/** Returns the outcome of a call that was refused `elapsedMs` after its arrival. */
export const classifyRefusal = (
  reason: FailureReason,
  elapsedMs: number,
  maxWaitMs: number,
): CallOutcome => {
  if (reason !== 'overloaded') {
    return 'failed';
  }
  return maxWaitMs > 0 && elapsedMs >= minWaitedShare * maxWaitMs ? 'waiting' : 'shed';
};

/** Adds up the snapshots of several nodes. Their order does not matter. */
export const mergeBurn = (snapshots: readonly BurnSnapshot[]): BurnSnapshot => {
  const entries = new Map<string, BurnEntry>();
  snapshots
    .flatMap((snapshot) => snapshot.entries)
    .forEach((entry) => {
      const key = rowKey(entry.className, entry.dataCentre);
      const existing = entries.get(key);
      entries.set(key, {
        ...entry,
        short: existing ? addCounts(existing.short, entry.short) : entry.short,
        long: existing ? addCounts(existing.long, entry.long) : entry.long,
      });
    });
  const sorted = [...entries.entries()].sort(([a], [b]) => Number(a > b) - Number(a < b));
  return {
    shortMs: shortWindowMs,
    longMs: longWindowMs,
    entries: sorted.map(([, entry]) => entry),
  };
};

/** The target allows `1 - share` of late calls and `1 - availability` of unanswered calls. */
const allowedShareOf = ({ share, availability, answerWithinMs }: TrafficClass): number => {
  const allowedLate = answerWithinMs === undefined ? 0 : 1 - share;
  return Math.max(minAllowedShare, allowedLate + 1 - availability);
};

const badShare = (counts: OutcomeCounts): number => {
  const total = totalOf(counts);
  return total === 0 ? 0 : (total - counts.good) / total;
};

const mainCauseOf = (counts: OutcomeCounts): BurnLine['mainCause'] =>
  badOutcomes.filter((outcome) => counts[outcome] > 0).sort((a, b) => counts[b] - counts[a])[0];

/** Compares a snapshot with the targets of a configuration. */
export const burnReport = (snapshot: BurnSnapshot, configuration: Configuration): BurnLine[] =>
  snapshot.entries.flatMap((entry) => {
    const { className } = entry;
    const target = Object.hasOwn(configuration.classes, className)
      ? configuration.classes[className]
      : undefined;
    if (!target) {
      return [];
    }
    const allowedShare = allowedShareOf(target);
    const shortBurn = badShare(entry.short) / allowedShare;
    const longBurn = badShare(entry.long) / allowedShare;
    const mainCause = mainCauseOf(entry.long);
    return [{ ...entry, allowedShare, shortBurn, longBurn, budgetLeft: 1 - longBurn, mainCause }];
  });
