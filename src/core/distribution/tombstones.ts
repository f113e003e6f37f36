/**
 * Withdrawals of endpoints, remembered so that an older record that arrives late does not bring the
 * endpoint back.
 */
import type { Endpoint } from '../../types/public.js';
import { compareRecords } from './clusterLog.js';

/** Longer than any record can be under way: several lease times of the deepest tree. */
export const tombstoneLifeMs = 120_000;
const maxTombstones = 10_000;
/** A withdrawal is news for others for this time: twice the lease that a stale record can have. */
export const recentWithdrawalMs = 20_000;

/** A withdrawal by the endpoint's own node. */
export interface Withdrawal {
  readonly id: string;
  readonly incarnation: number;
  readonly sequence: number;
}

export interface Tombstones {
  readonly commands: {
    /** Returns false if the same or a newer withdrawal is known. */
    add(withdrawal: Withdrawal, now: number): boolean;
    expire(now: number): void;
  };
  readonly queries: {
    /** True if the record is older than a withdrawal of its endpoint. */
    covers(record: Pick<Endpoint, 'id' | 'incarnation' | 'sequence'>): boolean;
    list(): Withdrawal[];
    /** Withdrawals that became known within `recentWithdrawalMs`. */
    recent(now: number): Withdrawal[];
  };
}

export const createTombstones = (): Tombstones => {
  const entries = new Map<string, { withdrawal: Withdrawal; until: number }>();

  const add = (withdrawal: Withdrawal, now: number): boolean => {
    const known = entries.get(withdrawal.id);
    if (known && compareRecords(withdrawal, known.withdrawal) <= 0) {
      return false;
    }
    entries.delete(withdrawal.id);
    entries.set(withdrawal.id, { withdrawal, until: now + tombstoneLifeMs });
    const oldest = entries.keys().next().value;
    if (entries.size > maxTombstones && oldest !== undefined) {
      entries.delete(oldest);
    }
    return true;
  };

  return {
    commands: {
      add,
      expire: (now) => {
        [...entries].filter(([, { until }]) => until <= now).forEach(([id]) => entries.delete(id));
      },
    },
    queries: {
      covers: (record) => {
        const known = entries.get(record.id);
        return known !== undefined && compareRecords(record, known.withdrawal) <= 0;
      },
      recent: (now) =>
        [...entries.values()]
          .filter(({ until }) => until - now > tombstoneLifeMs - recentWithdrawalMs)
          .map(({ withdrawal }) => withdrawal),
      list: () => [...entries.values()].map(({ withdrawal }) => withdrawal),
    },
  };
};
