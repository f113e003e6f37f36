/**
 * Replication progress of the other members, as tracked by the leader.
 */
import type { Member } from '../../types/internal.js';
import type { Progress, Replica, MemberId } from './consensusTypes.js';
import { otherMembers } from './consensusMembership.js';

const createProgress = (replica: Replica, { incarnation }: Member): Progress => ({
  incarnation,
  matchIndex: 0,
  nextIndex: replica.log.queries.lastIndex() + 1,
  ackedRound: 0,
  inflightSince: undefined,
  inflightIndex: 0,
  snapshotOffset: undefined,
  isReachable: true,
  sentCommitIndex: 0,
  createdAt: replica.now,
  lastContactAt: -Infinity,
});

/** Adds and removes progress records so that they match the current membership. */
export const reconcileProgress = (replica: Replica): void => {
  const members = otherMembers(replica);
  const names = new Set(members.map(({ name }) => name));
  [...replica.progress.keys()]
    .filter((name) => !names.has(name))
    .forEach((name) => replica.progress.delete(name));
  members
    .filter(({ name, incarnation }) => replica.progress.get(name)?.incarnation !== incarnation)
    .forEach((member) => replica.progress.set(member.name, createProgress(replica, member)));
};

/**
 * Records an answer from a member and returns the member's progress. An answer from an incarnation
 * that the membership does not list does not count, and the result is undefined.
 */
export const recordAnswer = (
  replica: Replica,
  from: MemberId,
  round: number,
): Progress | undefined => {
  const progress = replica.progress.get(from.name);
  if (progress?.incarnation !== from.incarnation) {
    return undefined;
  }
  progress.lastContactAt = replica.now;
  progress.isReachable = true;
  progress.ackedRound = Math.max(progress.ackedRound, round);
  return progress;
};
