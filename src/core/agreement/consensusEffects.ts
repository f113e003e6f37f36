/**
 * Helpers that emit effects; shared by the modules of the replicated log.
 */
import type { Member } from '../../types/internal.js';
import type { PersistEffect, Replica, ReplicaSnapshot, RequestMessage } from './consensusTypes.js';

type Write = Omit<PersistEffect, 'type' | 'sequence'>;

/** Emits a persist effect and returns its sequence. */
export const persist = (replica: Replica, write: Write): number => {
  replica.sequence += 1;
  const { sequence } = replica;
  replica.unsyncedSince ??= replica.now;
  replica.effects.push({ type: 'persist', sequence, ...write });
  return sequence;
};

export const persistHardState = (replica: Replica): number => {
  const hardState = { term: replica.term, votedFor: replica.votedFor };
  replica.hardStateSequence = persist(replica, { hardState });
  return replica.hardStateSequence;
};

export const send = (
  replica: Replica,
  to: Member,
  message: RequestMessage,
  afterSequence = 0,
): void => {
  replica.effects.push({ type: 'send', to, message, afterSequence });
};

const lastApplicableIndex = (replica: Replica): number =>
  Math.min(replica.commitIndex, replica.log.queries.syncedIndex());

export const applyCommitted = (replica: Replica): void => {
  const to = lastApplicableIndex(replica);
  if (to <= replica.appliedIndex) {
    return;
  }
  const entries = replica.log.queries.slice(replica.appliedIndex + 1, to);
  replica.appliedIndex = to;
  replica.effects.push({ type: 'apply', entries });
};

/** Restores the state machine from a snapshot that is ahead of the applied entries. */
export const restoreSnapshot = (replica: Replica, snapshot: ReplicaSnapshot): void => {
  replica.commitIndex = Math.max(replica.commitIndex, snapshot.index);
  replica.appliedIndex = snapshot.index;
  replica.effects.push({ type: 'restore', snapshot });
};
