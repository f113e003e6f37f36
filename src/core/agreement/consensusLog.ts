/**
 * In-memory log of a replica: a snapshot, the entries after it, the memberships that these entries
 * contain, and the index up to which the log is synced to disk.
 */
import type { Member } from '../../types/internal.js';
import type { LogEntry, ReplicaSnapshot } from './consensusTypes.js';

interface IndexedMembership {
  readonly index: number;
  readonly members: readonly Member[];
}

interface PendingSync {
  readonly sequence: number;
  lastIndex: number;
}

export interface ReplicaLog {
  readonly commands: {
    append(entries: readonly LogEntry[], sequence: number): void;
    truncateFrom(index: number): void;
    /** Replaces the entries up to the snapshot's index, or all entries, by the snapshot. */
    compact(snapshot: ReplicaSnapshot, dropAll: boolean): void;
    /** Marks all writes up to the given persist sequence as synced. */
    markSynced(sequence: number): void;
  };
  readonly queries: {
    firstIndex(): number;
    lastIndex(): number;
    lastTerm(): number;
    /** Term of the entry; undefined if it is compacted or does not exist. */
    termAt(index: number): number | undefined;
    entryAt(index: number): LogEntry | undefined;
    slice(from: number, to: number): readonly LogEntry[];
    snapshot(): ReplicaSnapshot;
    members(): readonly Member[];
    /** Membership before the current one; empty if that is compacted or does not exist. */
    previousMembers(): readonly Member[];
    /** The last memberships, the newest one last. */
    recentMemberships(count: number): readonly (readonly Member[])[];
    /** Index of the entry that contains the current membership. */
    membershipIndex(): number;
    membersAt(index: number): readonly Member[];
    syncedIndex(): number;
  };
}

const textEncoder = new TextEncoder();
const textDecoder = new TextDecoder();

export const encodeMembers = (members: readonly Member[]): Uint8Array =>
  textEncoder.encode(JSON.stringify(members));

export const decodeMembers = (payload: Uint8Array): readonly Member[] =>
  JSON.parse(textDecoder.decode(payload)) as Member[];

export const createReplicaLog = (
  initialSnapshot: ReplicaSnapshot,
  initialEntries: readonly LogEntry[],
): ReplicaLog => {
  let snapshot = initialSnapshot;
  let entries: LogEntry[] = [];
  let memberships: IndexedMembership[] = [
    { index: initialSnapshot.index, members: initialSnapshot.members },
  ];
  let pending: PendingSync[] = [];
  let syncedIndex = initialSnapshot.index;

  const lastIndex = () => entries.at(-1)?.index ?? snapshot.index;
  const entryAt = (index: number) => entries[index - snapshot.index - 1];

  const add = (added: readonly LogEntry[]) => {
    added.forEach((entry) => {
      entries.push(entry);
      if (entry.kind === 'membership') {
        memberships.push({ index: entry.index, members: decodeMembers(entry.payload) });
      }
    });
  };

  const membershipAt = (index: number): IndexedMembership =>
    memberships.findLast((membership) => membership.index <= index) ?? memberships[0]!;

  const lowerSyncedIndex = (index: number) => {
    syncedIndex = Math.min(syncedIndex, index);
    pending.forEach((sync) => {
      sync.lastIndex = Math.min(sync.lastIndex, index);
    });
  };

  const compact = (next: ReplicaSnapshot, dropAll: boolean) => {
    const kept = dropAll ? [] : entries.filter(({ index }) => index > next.index);
    const later = dropAll ? [] : memberships.filter(({ index }) => index > next.index);
    if (dropAll) {
      lowerSyncedIndex(next.index);
    }
    memberships = [{ index: next.index, members: next.members }, ...later];
    entries = kept;
    snapshot = next;
    syncedIndex = Math.max(syncedIndex, next.index);
  };

  add(initialEntries);
  syncedIndex = lastIndex();

  return {
    commands: {
      append: (added, sequence) => {
        add(added);
        pending.push({ sequence, lastIndex: lastIndex() });
      },
      truncateFrom: (index) => {
        entries = entries.slice(0, index - snapshot.index - 1);
        memberships = memberships.filter((membership) => membership.index < index);
        lowerSyncedIndex(index - 1);
      },
      compact,
      markSynced: (sequence) => {
        const done = pending.filter((sync) => sync.sequence <= sequence);
        pending = pending.filter((sync) => sync.sequence > sequence);
        syncedIndex = Math.max(syncedIndex, done.at(-1)?.lastIndex ?? 0);
      },
    },
    queries: {
      firstIndex: () => snapshot.index + 1,
      lastIndex,
      lastTerm: () => entries.at(-1)?.term ?? snapshot.term,
      termAt: (index) => (index === snapshot.index ? snapshot.term : entryAt(index)?.term),
      entryAt,
      slice: (from, to) => entries.slice(from - snapshot.index - 1, to - snapshot.index),
      snapshot: () => snapshot,
      members: () => memberships.at(-1)!.members,
      previousMembers: () => memberships.at(-2)?.members ?? [],
      recentMemberships: (count) => memberships.slice(-count).map(({ members }) => members),
      membershipIndex: () => memberships.at(-1)!.index,
      membersAt: (index) => membershipAt(index).members,
      syncedIndex: () => syncedIndex,
    },
  };
};
