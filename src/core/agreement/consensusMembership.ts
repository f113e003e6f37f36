/**
 * Membership of a replica group. The membership in effect is the newest one in the log, committed or
 * not. It changes by one member at a time, so that any two majorities of successive memberships
 * share a member. A member counts only with the incarnation that the membership names.
 */
import type { Member } from '../../types/internal.js';
import type { MemberChange, RefusalReason, Replica, MemberId } from './consensusTypes.js';

export const currentMembers = (replica: Replica): readonly Member[] =>
  replica.log.queries.members();

export const isSameMember = (member: MemberId, sender: MemberId): boolean =>
  member.name === sender.name && member.incarnation === sender.incarnation;

export const findMember = (replica: Replica, name: string): Member | undefined =>
  currentMembers(replica).find((member) => member.name === name);

export const voters = (replica: Replica): readonly Member[] =>
  currentMembers(replica).filter(({ kind }) => kind === 'voter');

export const isVoter = (replica: Replica, sender: MemberId): boolean =>
  voters(replica).some((member) => isSameMember(member, sender));

/** The membership in the own log names this incarnation, as voter or as learner. */
export const isMember = (replica: Replica, sender: MemberId): boolean =>
  currentMembers(replica).some((member) => isSameMember(member, sender));

/** All members but this one, whatever incarnation the membership names for it. */
export const otherMembers = (replica: Replica): readonly Member[] =>
  currentMembers(replica).filter(({ name }) => name !== replica.options.self.name);

export const majority = (replica: Replica): number => Math.floor(voters(replica).length / 2) + 1;

/** The greatest value that a majority of the voters has reached. */
export const quorumValue = (replica: Replica, valueOf: (voter: Member) => number): number => {
  const values = voters(replica)
    .map(valueOf)
    .sort((a, b) => b - a);
  return values[majority(replica) - 1] ?? 0;
};

export const isQuorum = (replica: Replica, names: ReadonlySet<string>): boolean =>
  voters(replica).filter(({ name }) => names.has(name)).length >= majority(replica);

/**
 * A membership change is allowed once the last one is committed and the leader has committed an
 * entry of its own term. Without the second condition two leaders could each commit a change of the
 * same base with majorities that do not overlap.
 */
export const mayChangeMembers = (replica: Replica): boolean =>
  replica.log.queries.membershipIndex() <= replica.commitIndex &&
  replica.log.queries.termAt(replica.commitIndex) === replica.term;

const addMember = (
  members: readonly Member[],
  added: Member,
): readonly Member[] | RefusalReason => {
  const current = members.find(({ name }) => name === added.name);
  if (current && isSameMember(current, added)) {
    return 'already_member';
  }
  return [...members.filter(({ name }) => name !== added.name), { ...added, kind: 'learner' }];
};

const removeMember = (
  members: readonly Member[],
  removed: Member,
): readonly Member[] | RefusalReason =>
  members.some(({ name }) => name === removed.name)
    ? members.filter(({ name }) => name !== removed.name)
    : 'not_a_member';

/** Members after an operator's change. A new member starts as a learner. */
export const applyMemberChange = (
  members: readonly Member[],
  { action, member }: MemberChange,
): readonly Member[] | RefusalReason => {
  const change = { add: addMember, remove: removeMember }[action];
  return change(members, member);
};

const silentMs = (replica: Replica, name: string): number => {
  const progress = replica.progress.get(name);
  const since = Math.max(
    progress?.createdAt ?? replica.now,
    progress?.lastContactAt ?? replica.now,
  );
  return replica.now - since;
};

const isSilent = (replica: Replica, name: string): boolean =>
  silentMs(replica, name) > replica.options.electionTimeoutMs;

const replacedMember = (replica: Replica): Member | undefined => {
  for (const member of otherMembers(replica)) {
    const incarnation = replica.progress.get(member.name)?.otherIncarnation;
    if (incarnation !== undefined && isSilent(replica, member.name)) {
      return { ...member, incarnation, kind: 'learner' };
    }
  }
  return undefined;
};

const caughtUpLearner = (replica: Replica): Member | undefined => {
  const learner = otherMembers(replica).find(
    ({ name, kind }) =>
      kind === 'learner' &&
      !isSilent(replica, name) &&
      (replica.progress.get(name)?.matchIndex ?? 0) >= replica.commitIndex,
  );
  return learner && { ...learner, kind: 'voter' };
};

/** Fewer voters than this are never removed automatically: two cannot do without one another. */
const minVotersToRemove = 4;

/**
 * A member that a replacement has made superfluous. An even number of voters tolerates no more
 * losses than the odd number below it, so the silent one is given up; it joins again if it returns.
 */
const surplusMember = (replica: Replica): Member | undefined => {
  const { removeSilentAfterMs = Infinity } = replica.options;
  const isLost = ({ name }: Member) => silentMs(replica, name) > removeSilentAfterMs;
  const others = otherMembers(replica);
  const count = voters(replica).length;
  const isSurplus = count >= minVotersToRemove && count % 2 === 0;
  const lostLearner = others.find((member) => member.kind === 'learner' && isLost(member));
  return (
    lostLearner ??
    (isSurplus ? others.find((member) => member.kind === 'voter' && isLost(member)) : undefined)
  );
};

/**
 * The next change that a leader makes on its own: a member that came back with another data folder
 * loses its vote and becomes a learner; a learner that holds all committed entries becomes a voter;
 * a member that was replaced is removed.
 */
export const nextAutomaticMembers = (replica: Replica): readonly Member[] | undefined => {
  if (!mayChangeMembers(replica)) {
    return undefined;
  }
  const surplus = surplusMember(replica);
  if (surplus) {
    return currentMembers(replica).filter((member) => member !== surplus);
  }
  const changed = replacedMember(replica) ?? caughtUpLearner(replica);
  return (
    changed &&
    currentMembers(replica).map((member) => (member.name === changed.name ? changed : member))
  );
};
