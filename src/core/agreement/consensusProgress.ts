/**
 * Replication progress of the other members, as tracked by the leader.
 */
import type { Member } from '../../types/internal.js';
import type { Progress, Replica, MemberId } from './consensusTypes.js';
import { findMember, isSameMember, otherMembers } from './consensusMembership.js';

const createProgress = (replica: Replica, { incarnation }: Member): Progress => ({
  incarnation,
  createdAtRound: replica.round,
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
  otherIncarnation: undefined,
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
 * Records an answer from a member and returns the member's progress. If the answer comes from an
 * incarnation that the membership does not list, the incarnation is remembered, but the answer does
 * not count and the result is undefined.
 */
export const recordAnswer = (
  replica: Replica,
  from: MemberId,
  round: number,
): Progress | undefined => {
  const member = findMember(replica, from.name);
  const progress = replica.progress.get(from.name);
  if (!member || !progress) {
    return undefined;
  }
  if (!isSameMember(member, from)) {
    if (round > progress.createdAtRound) {
      progress.otherIncarnation = from.incarnation;
    }
    return undefined;
  }
  progress.lastContactAt = replica.now;
  progress.isReachable = true;
  progress.otherIncarnation = undefined;
  progress.ackedRound = Math.max(progress.ackedRound, round);
  return progress;
};
