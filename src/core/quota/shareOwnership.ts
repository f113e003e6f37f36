/**
 * Decides whether a control instance owns the share of its data centre. At most one instance of a
 * data centre may own it at any time, although instances learn of changes at different times: an
 * owner that is not confirmed stops after 10 s, and its successor starts after 12 s.
 */

/** An owner stops if its leader was not confirmed by a quorum within this time, in ms. */
export const maxUnconfirmedMs = 10_000;
/** Wait of an instance that takes the place of another one, in ms. */
export const successionMs = 12_000;
/** Time between two steps above which the process was suspended, in ms, if steps are periodic. */
const maxStepGapMs = 1_500;
/**
 * The same without periodic steps: they then follow messages of the group, which do not come while
 * the instance is cut off.
 */
const maxIrregularGapMs = 8_000;
/** Difference of the two clocks above which the process was suspended or the time was set, in ms. */
const maxClockDriftMs = 200;
/**
 * Messages that arrived during a suspension are read right after it and look new. Only a
 * confirmation from later than this after it counts, in ms.
 */
const aftermathMs = 500;

export interface OwnershipMember {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  readonly kind: 'voter' | 'learner';
}

export interface OwnershipInput {
  readonly now: number;
  /** Time of day in ms. */
  readonly wallClock: number;
  /** True if steps are made at least every 500 ms. */
  readonly isPeriodic: boolean;
  readonly members: readonly OwnershipMember[];
  /** Time since a quorum last confirmed the leader, in ms. */
  readonly confirmedAgeMs: number;
}

/** Why an instance does not own its share. */
export type NotOwnerReason = 'not_first_voter' | 'unconfirmed' | 'succession' | 'suspended';

export type Ownership =
  | { readonly isOwner: true; readonly since: number }
  | { readonly isOwner: false; readonly reason: NotOwnerReason };

export interface ShareOwnership {
  readonly commands: {
    step(input: OwnershipInput): Ownership;
  };
}

export interface ShareOwnershipOptions {
  readonly name: string;
  readonly incarnation: string;
  readonly dataCentre: string;
  /** The deployment starts for the first time, so the share had no owner before. */
  readonly isFirstStart: boolean;
}

const compareNames = (a: OwnershipMember, b: OwnershipMember): number =>
  Number(a.name > b.name) - Number(a.name < b.name);

export const createShareOwnership = (options: ShareOwnershipOptions): ShareOwnership => {
  const { name, incarnation, dataCentre, isFirstStart } = options;
  let previous: { readonly now: number; readonly wallClock: number } | undefined;
  /** Time from which on a confirmation counts. */
  let confirmedFrom = -Infinity;
  /** Time from which on this instance may own the share, while it is the first voter. */
  let ownsFrom: number | undefined;
  /** Members of the data centre at the first step; unset once they have changed. */
  let initialMembers: string | undefined;
  let hasSeenOthers = false;
  let hasStarted = false;
  let ownerSince: number | undefined;

  const isSelf = (member: OwnershipMember) =>
    member.name === name && member.incarnation === incarnation;

  /** The process ran on, but its clocks or the time between steps show a time without it. */
  const wasSuspended = ({ now, wallClock, isPeriodic }: OwnershipInput): boolean => {
    if (!previous) {
      return false;
    }
    const elapsedMs = now - previous.now;
    const driftMs = Math.abs(wallClock - previous.wallClock - elapsedMs);
    return elapsedMs > (isPeriodic ? maxStepGapMs : maxIrregularGapMs) || driftMs > maxClockDriftMs;
  };

  /**
   * True if no other instance can own the share: the membership at the start, which the disk holds,
   * is unchanged, or there was none in the data centre before. An instance that was removed while it
   * was down is added as a learner before it votes again, which is a change.
   */
  const hasNoPredecessor = (local: readonly OwnershipMember[]): boolean =>
    initialMembers !== undefined || (isFirstStart && !hasSeenOthers && local.every(isSelf));

  const observeMembers = (local: readonly OwnershipMember[]) => {
    const text = JSON.stringify(local.map((each) => [each.name, each.incarnation, each.kind]));
    if (!hasStarted) {
      hasStarted = true;
      initialMembers = local.some((each) => isSelf(each) && each.kind === 'voter')
        ? text
        : undefined;
    } else if (text !== initialMembers) {
      initialMembers = undefined;
    }
    hasSeenOthers ||= !local.every((each) => each.name === name);
  };

  const decide = (input: OwnershipInput): Ownership => {
    const { now, members, confirmedAgeMs } = input;
    const local = members.filter((member) => member.dataCentre === dataCentre).sort(compareNames);
    observeMembers(local);
    if (wasSuspended(input)) {
      confirmedFrom = now + aftermathMs;
    }
    const first = local.find(({ kind }) => kind === 'voter');
    if (!first || !isSelf(first)) {
      ownsFrom = undefined;
      return { isOwner: false, reason: 'not_first_voter' };
    }
    const confirmedAt = now - confirmedAgeMs;
    if (confirmedAgeMs > maxUnconfirmedMs) {
      // The first message after a cut may confirm the leader before it brings a new membership.
      if (ownsFrom !== undefined) {
        confirmedFrom = now + aftermathMs;
      }
      return { isOwner: false, reason: 'unconfirmed' };
    }
    if (confirmedAt < confirmedFrom) {
      return { isOwner: false, reason: 'suspended' };
    }
    ownsFrom ??= hasNoPredecessor(local) ? now : now + successionMs;
    return now < ownsFrom
      ? { isOwner: false, reason: 'succession' }
      : { isOwner: true, since: ownerSince ?? now };
  };

  return {
    commands: {
      step: (input) => {
        const ownership = decide(input);
        previous = { now: input.now, wallClock: input.wallClock };
        ownerSince = ownership.isOwner ? ownership.since : undefined;
        return ownership;
      },
    },
  };
};
