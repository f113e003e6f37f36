/**
 * Tombstones of withdrawn endpoints. They are kept so that an older record that arrives late does
 * not bring the endpoint back.
 */
import type { Endpoint } from '../../types/public.js';
import { compareRecords } from './clusterLog.js';

/** Exceeds the 600 s for which the records of a lost control instance are kept. */
export const tombstoneTtlMs = 660_000;
const maxTombstones = 10_000;
/** A withdrawal is sent to others for this time: twice the lease that a stale record can have. */
export const recentWithdrawalMs = 20_000;

/** A withdrawal by the endpoint's own node. */
export interface Withdrawal {
  readonly id: string;
  readonly incarnation: number;
  readonly sequence: number;
}

export interface Tombstones {
  readonly commands: {
    /** Adds a withdrawal. Returns false if the same or a newer one is known. */
    add(withdrawal: Withdrawal, now: number): boolean;
    /** Removes expired tombstones. Returns true if some records may no longer be covered. */
    expire(now: number): boolean;
  };
  readonly queries: {
    /**
     * True if a withdrawal of the endpoint applies to the record. Incarnations are times of day.
     * During `recentWithdrawalMs` a lower incarnation means an earlier process. After that, no
     * record of an earlier process can be renewed any more, and a lower incarnation means a process
     * whose clock was set back or one beside another node, which is not covered.
     */
    covers(record: Pick<Endpoint, 'id' | 'incarnation' | 'sequence'>): boolean;
    list(): Withdrawal[];
    /** Withdrawals that became known within `recentWithdrawalMs`. */
    recent(now: number): Withdrawal[];
  };
}

interface Entry {
  readonly withdrawal: Withdrawal;
  readonly expiresAt: number;
  /** Records with a lower incarnation come from an earlier process and are covered. */
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
    entries.set(withdrawal.id, {
      withdrawal,
      expiresAt: now + tombstoneTtlMs,
      coversEarlier: true,
    });
    const oldest = entries.keys().next().value;
    if (entries.size > maxTombstones && oldest !== undefined) {
      entries.delete(oldest);
    }
    return true;
  };

  const isRecent = ({ expiresAt }: Entry, now: number): boolean =>
    expiresAt - now > tombstoneTtlMs - recentWithdrawalMs;

  const expire = (now: number): boolean => {
    let isUncovered = false;
    entries.forEach((entry, id) => {
      if (entry.expiresAt <= now) {
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
