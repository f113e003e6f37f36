/**
 * Totals of what became of the calls at one node, by class, since they were last taken. They are
 * the source of a periodic log line, which shows a shortage of capacity and its place without a
 * line for each call.
 */
import type { RefusalStage } from '../../types/calls.js';

/** What is added up: numbers of calls, and times in ms for the keys that end in `_ms`. */
export type LoadTotal =
  | 'calls'
  | 'good'
  | 'late'
  | 'failed'
  | `refused_${RefusalStage | 'other'}`
  | 'not_admitted'
  | 'slot_ms'
  | 'slot_body_ms'
  | 'starved_runs'
  | 'starved_slot_ms';

export type ClassTotals = Readonly<Partial<Record<LoadTotal, number>>>;

export interface LoadTotals {
  readonly commands: {
    add(className: string, total: LoadTotal, amount?: number): void;
    /** Returns the totals by class and begins new ones. */
    take(): ReadonlyMap<string, ClassTotals>;
  };
}

/** Creates the totals of one node. The caller bounds the number of class names. */
export const createLoadTotals = (): LoadTotals => {
  let classes = new Map<string, Partial<Record<LoadTotal, number>>>();
  return {
    commands: {
      add: (className, total, amount = 1) => {
        let totals = classes.get(className);
        if (!totals) {
          totals = {};
          classes.set(className, totals);
        }
        totals[total] = (totals[total] ?? 0) + amount;
      },
      take: () => {
        const taken = classes;
        classes = new Map();
        return taken;
      },
    },
  };
};
