/**
 * The membership of the group `ledger` follows that of the group `configuration`, which operators
 * change. The two groups can have different leaders, so the ledger's leader makes its own changes.
 */
import type { Member, ReplicaGroup } from '../../types/internal.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

const periodMs = 500;
/** The membership of an instance that is cut off may be old and is not followed. */
const maxAgeMs = 1_000;

type MemberChange = Parameters<ReplicaGroup<unknown>['commands']['changeMembers']>[0];

/** The next difference, one member at a time. Incarnations are updated by the group itself. */
export const nextMemberChange = (
  wanted: readonly Member[],
  current: readonly Member[],
): MemberChange | undefined => {
  const isIn = (members: readonly Member[], name: string) =>
    members.some((member) => member.name === name);
  const added = wanted.find(({ name }) => !isIn(current, name));
  if (added) {
    return { action: 'add', member: added };
  }
  const removed = current.find(({ name }) => !isIn(wanted, name));
  return removed && { action: 'remove', member: removed };
};

/** Starts to keep the membership of `follower` like that of `followed`. */
export const mirrorMembership = (
  followed: ReplicaGroup<unknown>,
  follower: ReplicaGroup<unknown>,
  timer: Timer,
  log: Log,
): void => {
  let isChanging = false;

  const change = async (next: MemberChange) => {
    isChanging = true;
    try {
      await follower.commands.changeMembers(next);
      log.info('membership of the ledger changed', {
        action: next.action,
        member: next.member.name,
      });
    } catch (error) {
      log.debug('membership of the ledger not changed', { error: String(error) });
    } finally {
      isChanging = false;
    }
  };

  timer.every(periodMs, () => {
    const wanted = followed.queries.members();
    const isUsable = wanted.length > 0 && followed.queries.confirmedAgeMs() < maxAgeMs;
    if (isChanging || !isUsable || follower.queries.role() !== 'leader') {
      return;
    }
    const next = nextMemberChange(wanted, follower.queries.members());
    if (next) {
      change(next);
    }
  });
};
