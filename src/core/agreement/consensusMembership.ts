/**
 * Membership of a replica group. The membership in effect is the newest one in the log, committed
 * or not. It changes by one member at a time. Until a change is known to be committed, elections and
 * commits need a quorum of the membership before it as well, since a quorum without a lost voter
 * does not always intersect those of the next membership. A member counts only with the incarnation
 * that the membership lists.
 */
import type { Member } from '../../types/internal.js';
import type { MemberChange, MemberId, Progress, RefusalReason, Replica } from './consensusTypes.js';
import { quorumSize } from './quorum.js';

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

/** Identifies a member and its data folder in sets and maps. */
export const keyOf = ({ name, incarnation }: MemberId): string => `${name}/${incarnation}`;

/**
 * Members before the newest change, while it is not known to be committed. They still receive
 * entries and requests for votes.
 */
const outgoingMembers = (replica: Replica): readonly Member[] => {
  const { queries } = replica.log;
  return queries.membershipIndex() > replica.commitIndex ? queries.previousMembers() : [];
};

const listedMembers = (replica: Replica): readonly Member[] => [
  ...currentMembers(replica),
  ...outgoingMembers(replica),
];

/**
 * True if a membership that counts lists this incarnation, as voter or learner. While the removal of a
 * voter is not known to be committed, the group may need its vote.
 */
export const isListedMember = (replica: Replica, sender: MemberId): boolean =>
  listedMembers(replica).some((member) => isSameMember(member, sender));

/** True if this incarnation is a voter of a membership that counts. */
export const isListedVoter = (replica: Replica, sender: MemberId): boolean =>
  listedMembers(replica).some((member) => member.kind === 'voter' && isSameMember(member, sender));

/** Voters of each membership that has to contribute a quorum. */
const votersOfEach = (replica: Replica): readonly (readonly Member[])[] => {
  const outgoing = outgoingMembers(replica).filter(({ kind }) => kind === 'voter');
  return outgoing.length > 0 ? [outgoing, voters(replica)] : [voters(replica)];
};

/** All members except this one; its incarnation is ignored. */
export const otherMembers = (replica: Replica): readonly Member[] => {
  const current = currentMembers(replica);
  const names = new Set(current.map(({ name }) => name));
  const outgoing = outgoingMembers(replica).filter(({ name }) => !names.has(name));
  return [...current, ...outgoing].filter(({ name }) => name !== replica.options.self.name);
};

/**
 * Voters whose votes a candidate needs, except this one. A name occurs twice if the newest change
 * replaced the incarnation of the member.
 */
export const otherVoters = (replica: Replica): readonly Member[] => {
  const byKey = new Map(
    votersOfEach(replica)
      .flat()
      .map((voter) => [keyOf(voter), voter]),
  );
  return [...byKey.values()].filter(({ name }) => name !== replica.options.self.name);
};

const isSelf = (replica: Replica, member: MemberId): boolean =>
  isSameMember(replica.options.self, member);

/** Progress of the member, if it is tracked with the listed incarnation. */
export const progressOf = (replica: Replica, member: Member): Progress | undefined => {
  const progress = replica.progress.get(member.name);
  return progress?.incarnation === member.incarnation ? progress : undefined;
};

const highestCommon = (values: readonly number[], size: number): number =>
  [...values].sort((a, b) => b - a)[size - 1] ?? 0;

/**
 * The value without the voters whose folders are lost. The others count once they have answered a
 * heartbeat that was sent after the loss was known: an earlier answer does not show that they
 * outlived it, and a leader that knows of another loss could count a quorum without them.
 */
const valueWithoutLost = (
  replica: Replica,
  listed: readonly Member[],
  valueOf: (voter: Member) => number,
): number => {
  const intact = listed.filter((voter) => !replica.lostFolders.has(keyOf(voter)));
  const learnedAt = Math.max(
    ...listed.map((voter) => replica.lostFolders.get(keyOf(voter))?.round ?? 0),
  );
  const values = intact
    .filter(
      (voter) =>
        isSelf(replica, voter) || (progressOf(replica, voter)?.ackedRound ?? 0) > learnedAt,
    )
    .map(valueOf);
  return highestCommon(values, quorumSize(listed.length, listed.length - intact.length));
};

/** The highest value that a quorum of the voters has reached; used by the leader. */
export const quorumValue = (replica: Replica, valueOf: (voter: Member) => number): number =>
  Math.min(
    ...votersOfEach(replica).map((listed) =>
      Math.max(
        highestCommon(listed.map(valueOf), quorumSize(listed.length, 0)),
        valueWithoutLost(replica, listed, valueOf),
      ),
    ),
  );

/** True if the members with these keys form a quorum without the voters whose folders are lost. */
export const isQuorum = (
  replica: Replica,
  keys: ReadonlySet<string>,
  lost: ReadonlySet<string>,
): boolean =>
  votersOfEach(replica).every((listed) => {
    const intact = listed.map(keyOf).filter((key) => !lost.has(key));
    const size = quorumSize(listed.length, listed.length - intact.length);
    return intact.filter((key) => keys.has(key)).length >= size;
  });

const hasVoters = (members: readonly Member[]): boolean =>
  members.some(({ kind }) => kind === 'voter');

/** True if the log shows that the newest change of the voters was committed. */
const isConfirmed = (replica: Replica): boolean => {
  const { queries } = replica.log;
  const voterKeys = (members: readonly Member[]) =>
    members
      .filter(({ kind }) => kind === 'voter')
      .map(keyOf)
      .sort()
      .join();
  const previous = queries.previousMembers();
  return !hasVoters(previous) || voterKeys(previous) === voterKeys(queries.members());
};

/**
 * True if the group can do without any one member of the previous membership: the newest change of
 * the voters is confirmed by an entry that a quorum is known to have stored.
 */
export const isMembershipSettled = (replica: Replica): boolean =>
  replica.log.queries.membershipIndex() <= replica.commitIndex && isConfirmed(replica);

/**
 * The members, of which a promoted voter counts as a learner until the promotion is settled: until
 * then one of the last three memberships is that before the promotion.
 */
export const settledMembers = (replica: Replica): readonly Member[] => {
  const members = currentMembers(replica);
  if (isMembershipSettled(replica)) {
    return members;
  }
  const recent = replica.log.queries.recentMemberships(3).filter(hasVoters);
  const isVoterOfAll = (member: Member) =>
    recent.every((listed) =>
      listed.some((other) => other.kind === 'voter' && isSameMember(other, member)),
    );
  return members.map((member) =>
    isVoterOfAll(member) ? member : { ...member, kind: 'learner' as const },
  );
};

/**
 * True if this replica is a voter, and its log holds the entry that confirms it: the group can then
 * do without any one of the other members.
 */
export const isConfirmedVoter = (replica: Replica): boolean => {
  const previous = replica.log.queries.previousMembers();
  const isVoterOf = (members: readonly Member[]) =>
    members.some((member) => member.kind === 'voter' && isSameMember(member, replica.options.self));
  return isVoterOf(currentMembers(replica)) && (!hasVoters(previous) || isVoterOf(previous));
};

const countIntact = (replica: Replica, members: readonly Member[]): number =>
  members.filter((member) => member.kind === 'voter' && !replica.lostFolders.has(keyOf(member)))
    .length;

/** Number of voters whose folders are not known to be lost. */
export const intactVoters = (replica: Replica): number =>
  countIntact(replica, currentMembers(replica));

/**
 * The same number, or that before the newest change of the voters until the log shows that it was
 * committed. A replica that restarts earlier needs a quorum of the voters before it as well.
 */
export const confirmedVoters = (replica: Replica): number => {
  const previous = replica.log.queries.previousMembers();
  const current = intactVoters(replica);
  return hasVoters(previous) ? Math.min(countIntact(replica, previous), current) : current;
};

/** Forgets the lost folders of incarnations that are no longer listed. */
const pruneLostFolders = (replica: Replica): void => {
  const listed = new Set(listedMembers(replica).map(keyOf));
  [...replica.lostFolders.keys()]
    .filter((key) => !listed.has(key))
    .forEach((key) => replica.lostFolders.delete(key));
};

/**
 * Records that the listed data folder of a member is lost, if another incarnation of the member
 * answers. The request was sent when the incarnation was listed, hence after that folder was
 * created, so the folder that answers is the later one. Returns true if the loss was not known.
 */
export const recordLostFolder = (replica: Replica, to: MemberId, from: MemberId): boolean => {
  const isListed = listedMembers(replica).some((member) => isSameMember(member, to));
  if (!isListed || to.name !== from.name || to.incarnation === from.incarnation) {
    return false;
  }
  pruneLostFolders(replica);
  const known = replica.lostFolders.get(keyOf(to));
  const round = known?.round ?? replica.round;
  replica.lostFolders.set(keyOf(to), { successor: from.incarnation, round });
  if (!known) {
    replica.effects.push({ type: 'folderLost', member: to, successor: from.incarnation });
  }
  return !known;
};

/**
 * A membership change is allowed once the previous change is committed and the leader has committed
 * an entry of its own term. Without the second condition two leaders could each commit a change of
 * the same membership, by majorities that do not overlap.
 */
export const mayChangeMembers = (replica: Replica): boolean =>
  replica.log.queries.membershipIndex() <= replica.commitIndex &&
  replica.log.queries.termAt(replica.commitIndex) === replica.term;

/**
 * A voter is replaced by another incarnation only if its folder is known to be lost: a request to
 * join that comes late may be from a folder that was lost before the listed one was created.
 */
const addMember = (replica: Replica, added: Member): readonly Member[] | RefusalReason => {
  const members = currentMembers(replica);
  const current = members.find(({ name }) => name === added.name);
  if (current && isSameMember(current, added)) {
    return 'already_member';
  }
  if (current?.kind === 'voter' && !replica.lostFolders.has(keyOf(current))) {
    return 'still_listed';
  }
  return [...members.filter(({ name }) => name !== added.name), { ...added, kind: 'learner' }];
};

const removeMember = (replica: Replica, removed: Member): readonly Member[] | RefusalReason =>
  currentMembers(replica).some(({ name }) => name === removed.name)
    ? currentMembers(replica).filter(({ name }) => name !== removed.name)
    : 'not_a_member';

/** Returns the members after a change by an operator. A new member starts as a learner. */
export const applyMemberChange = (
  replica: Replica,
  { action, member }: MemberChange,
): readonly Member[] | RefusalReason => {
  const change = { add: addMember, remove: removeMember }[action];
  return change(replica, member);
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
    const lost = replica.lostFolders.get(keyOf(member));
    if (lost && isSilent(replica, member.name)) {
      return { ...member, incarnation: lost.successor, kind: 'learner' };
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
export const hasSurplusVoter = (voterCount: number, minVoters = defaultMinVoters): boolean =>
  voterCount > minVoters;

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
  const hasSurplus = hasSurplusVoter(intactVoters(replica), minVoters);
  return (
    lostLearner ??
    (hasSurplus ? others.find((member) => member.kind === 'voter' && isLost(member)) : undefined)
  );
};

/**
 * Returns the members after the next change that the leader makes by itself, if there is one. It
 * removes a member that was replaced, turns a member that returned with another data folder into a
 * learner without a vote, and promotes a learner that holds all committed entries to voter. After
 * the last change of the voters it repeats the membership: a replica that restarts does not know
 * what is committed, and the repetition shows it that the members before the change no longer count.
 */
export const nextAutomaticMembers = (replica: Replica): readonly Member[] | undefined => {
  if (!mayChangeMembers(replica)) {
    return undefined;
  }
  const members = currentMembers(replica);
  const surplus = surplusMember(replica);
  if (surplus) {
    return members.filter((member) => member !== surplus);
  }
  const changed = replacedMember(replica) ?? caughtUpLearner(replica);
  if (changed) {
    return members.map((member) => (member.name === changed.name ? changed : member));
  }
  return isConfirmed(replica) ? undefined : members;
};
