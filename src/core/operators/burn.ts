/**
 * Service-level burn: outcomes for each class and data centre over a short and a long window, the
 * error budget that is left and what used it. Memory is bounded: counters stand in a ring of
 * minutes, and the number of rows has a limit. Snapshots of several nodes can be merged.
 */
import type { Configuration, TrafficClass } from '../../types/public.js';
import type { FailureReason } from '../../utils/failure.js';

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

export interface BurnCounters {
  readonly commands: { recordOutcome(call: RecordedCall, now: number): void };
  readonly queries: { snapshot(now: number): BurnSnapshot };
}

export const shortWindowMs = 5 * 60_000;
export const longWindowMs = 60 * 60_000;
const slotMs = 60_000;
const shortSlots = shortWindowMs / slotMs;
const longSlots = longWindowMs / slotMs;
/** Rows kept: about 100 classes in 7 data centres. Calls beyond count under `otherClass`. */
export const maxBurnRows = 1_024;
export const otherClass = '(other)';
/** Smallest allowed share of bad calls, so that a target of 1 does not divide by 0. */
const minAllowedShare = 1e-6;

const outcomes: readonly CallOutcome[] = ['good', 'late', 'shed', 'failed', 'waiting'];
const badOutcomes = ['late', 'shed', 'failed', 'waiting'] as const;

type MutableCounts = Record<CallOutcome, number>;

interface Slot {
  /** Number of the minute that the counts belong to. */
  minute: number;
  readonly counts: MutableCounts;
}

interface Row {
  readonly className: string;
  readonly dataCentre: string;
  readonly slots: readonly Slot[];
}

const noCounts = (): MutableCounts => ({ good: 0, late: 0, shed: 0, failed: 0, waiting: 0 });

const addCounts = (a: OutcomeCounts, b: OutcomeCounts): OutcomeCounts => {
  const sum = noCounts();
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
  slots: Array.from({ length: longSlots }, () => ({ minute: -1, counts: noCounts() })),
});

const minuteOf = (now: number): number => Math.floor(now / slotMs);

const slotOf = ({ slots }: Row, minute: number): Slot => {
  const slot = slots[minute % longSlots]!;
  if (slot.minute !== minute) {
    slot.minute = minute;
    Object.assign(slot.counts, noCounts());
  }
  return slot;
};

const countsSince = ({ slots }: Row, minute: number, count: number): OutcomeCounts =>
  slots
    .filter((slot) => slot.minute > minute - count && slot.minute <= minute)
    .reduce<OutcomeCounts>((sum, slot) => addCounts(sum, slot.counts), noCounts());

/** Creates the burn counters of one node. */
export const createBurnCounters = (): BurnCounters => {
  const rows = new Map<string, Row>();

  const rowOf = ({ className, dataCentre }: RecordedCall): Row => {
    const known = rows.get(rowKey(className, dataCentre));
    if (known) {
      return known;
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
        short: countsSince(row, minute, shortSlots),
        long: countsSince(row, minute, longSlots),
      }))
      .filter(({ long }) => totalOf(long) > 0);
    return { shortMs: shortWindowMs, longMs: longWindowMs, entries };
  };

  const recordOutcome = (call: RecordedCall, now: number): void => {
    slotOf(rowOf(call), minuteOf(now)).counts[call.outcome] += 1;
  };

  return { commands: { recordOutcome }, queries: { snapshot } };
};

/** Part of its wait limit after which a refused call counts as one that waited. */
const waitedShare = 0.5;

/** Outcome of a call that was refused with this reason, `elapsedMs` after it arrived. */
export const classifyRefusal = (
  reason: FailureReason,
  elapsedMs: number,
  maxWaitMs: number,
): CallOutcome => {
  if (reason !== 'overloaded') {
    return 'failed';
  }
  return maxWaitMs > 0 && elapsedMs >= waitedShare * maxWaitMs ? 'waiting' : 'shed';
};

/** Adds up the snapshots of several nodes. The order of the snapshots does not matter. */
export const mergeBurn = (snapshots: readonly BurnSnapshot[]): BurnSnapshot => {
  const entries = new Map<string, BurnEntry>();
  snapshots
    .flatMap((snapshot) => snapshot.entries)
    .forEach((entry) => {
      const key = rowKey(entry.className, entry.dataCentre);
      const known = entries.get(key);
      entries.set(key, {
        ...entry,
        short: known ? addCounts(known.short, entry.short) : entry.short,
        long: known ? addCounts(known.long, entry.long) : entry.long,
      });
    });
  const sorted = [...entries.entries()].sort(([a], [b]) => Number(a > b) - Number(a < b));
  return {
    shortMs: shortWindowMs,
    longMs: longWindowMs,
    entries: sorted.map(([, entry]) => entry),
  };
};

/** Late calls may make up `1 - share`, calls without an answer `1 - availability`. */
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
