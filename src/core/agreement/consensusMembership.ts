/**
 * Membership of a replica group. The membership in effect is the newest one in the log, committed
 * or not. It changes by one member at a time, so that majorities of successive memberships always
 * overlap. A member counts only with the incarnation that the membership lists.
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

/** True if the membership in the local log lists this incarnation, as voter or learner. */
export const isMember = (replica: Replica, sender: MemberId): boolean =>
  currentMembers(replica).some((member) => isSameMember(member, sender));

/** All members except this one; its incarnation is ignored. */
export const otherMembers = (replica: Replica): readonly Member[] =>
  currentMembers(replica).filter(({ name }) => name !== replica.options.self.name);

export const majority = (replica: Replica): number => Math.floor(voters(replica).length / 2) + 1;

/** The highest value that a majority of the voters has reached. */
export const quorumValue = (replica: Replica, valueOf: (voter: Member) => number): number => {
  const values = voters(replica)
    .map(valueOf)
    .sort((a, b) => b - a);
  return values[majority(replica) - 1] ?? 0;
};

export const isQuorum = (replica: Replica, names: ReadonlySet<string>): boolean =>
  voters(replica).filter(({ name }) => names.has(name)).length >= majority(replica);

/**
 * A membership change is allowed once the previous change is committed and the leader has committed
 * an entry of its own term. Without the second condition two leaders could each commit a change of
 * the same membership, by majorities that do not overlap.
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

/** Returns the members after a change by an operator. A new member starts as a learner. */
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

/** Default of `minVoters`: with two voters the loss of either one loses the quorum. */
const defaultMinVoters = 3;

/** True if the group keeps enough voters for the losses that it has to tolerate without one. */
export const hasSurplusVoter = (
  members: readonly Member[],
  minVoters = defaultMinVoters,
): boolean => members.filter(({ kind }) => kind === 'voter').length > minVoters;

/**
 * A lost member that is no longer needed after its replacement has joined. A silent voter counts in
 * the size of a majority and cannot contribute to one, so it is removed whether the number of voters
 * is even or odd, as long as `minVoters` remain; it joins again if it returns. A silent learner is
 * always removed.
 */
const surplusMember = (replica: Replica): Member | undefined => {
  const { removeSilentAfterMs = Infinity, minVoters } = replica.options;
  const isLost = ({ name }: Member) => silentMs(replica, name) > removeSilentAfterMs;
  const others = otherMembers(replica);
  const lostLearner = others.find((member) => member.kind === 'learner' && isLost(member));
  const hasSurplus = hasSurplusVoter(currentMembers(replica), minVoters);
  return (
    lostLearner ??
    (hasSurplus ? others.find((member) => member.kind === 'voter' && isLost(member)) : undefined)
  );
};

/**
 * Returns the members after the next change that the leader makes by itself, if there is one. It
 * removes a member that was replaced, turns a member that returned with another data folder into a
 * learner without a vote, and promotes a learner that holds all committed entries to voter.
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
