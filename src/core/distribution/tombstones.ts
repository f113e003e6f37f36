/**
 * Withdrawals of endpoints, remembered so that an older record that arrives late does not bring the
 * endpoint back.
 */
import type { Endpoint } from '../../types/public.js';
import { compareRecords } from './clusterLog.js';

/** Longer than the records of a lost control instance are kept, which is 600 s. */
export const tombstoneTtlMs = 660_000;
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
    /** Returns true if records may be uncovered by that. */
    expire(now: number): boolean;
  };
  readonly queries: {
    /**
     * True if a withdrawal of the endpoint is meant for the record. Incarnations are times of day:
     * a lower one is an earlier process at first, and once no record of that can be renewed any more
     * a process whose clock was set back, or one beside another node.
     */
    covers(record: Pick<Endpoint, 'id' | 'incarnation' | 'sequence'>): boolean;
    list(): Withdrawal[];
    /** Withdrawals that became known within `recentWithdrawalMs`. */
    recent(now: number): Withdrawal[];
  };
}

interface Entry {
  readonly withdrawal: Withdrawal;
  readonly until: number;
  /** Records with a lower incarnation are those of an earlier process. */
  coversEarlier: boolean;
}

export const createTombstones = (): Tombstones => {
  const entries = new Map<string, Entry>();

  const add = (withdrawal: Withdrawal, now: number): boolean => {
    const known = entries.get(withdrawal.id);
    if (known && compareRecords(withdrawal, known.withdrawal) <= 0) {
      return false;
    }
    entries.delete(withdrawal.id);
    entries.set(withdrawal.id, { withdrawal, until: now + tombstoneTtlMs, coversEarlier: true });
    const oldest = entries.keys().next().value;
    if (entries.size > maxTombstones && oldest !== undefined) {
      entries.delete(oldest);
    }
    return true;
  };

  const isRecent = ({ until }: Entry, now: number): boolean =>
    until - now > tombstoneTtlMs - recentWithdrawalMs;

  const expire = (now: number): boolean => {
    let isUncovered = false;
    entries.forEach((entry, id) => {
      if (entry.until <= now) {
        entries.delete(id);
        isUncovered = true;
      } else if (entry.coversEarlier && !isRecent(entry, now)) {
        entry.coversEarlier = false;
        isUncovered = true;
      }
    });
    return isUncovered;
  };

  return {
    commands: { add, expire },
    queries: {
      covers: (record) => {
        const known = entries.get(record.id);
        if (known === undefined || compareRecords(record, known.withdrawal) > 0) {
          return false;
        }
        return known.coversEarlier || record.incarnation === known.withdrawal.incarnation;
      },
      recent: (now) =>
        [...entries.values()]
          .filter((entry) => isRecent(entry, now))
          .map(({ withdrawal }) => withdrawal),
      list: () => [...entries.values()].map(({ withdrawal }) => withdrawal),
    },
  };
};
