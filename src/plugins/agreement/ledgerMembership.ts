/**
 * Copies the membership of the group `configuration`, which operators change, to the group
 * `ledger`. The two groups can have different leaders, so the leader of the ledger proposes these
 * changes.
 */
import type { Member, ReplicaGroup } from '../../types/internal.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

const checkPeriodMs = 500;
/** A membership that no quorum has confirmed for this time may be outdated and is not copied. */
const maxAgeMs = 1_000;

type MemberChange = Parameters<ReplicaGroup<unknown>['commands']['changeMembers']>[0];

/** Returns the next single-member change. Incarnations are updated by the group itself. */
export const nextMemberChange = (
  desired: readonly Member[],
  current: readonly Member[],
): MemberChange | undefined => {
  const isIn = (members: readonly Member[], name: string) =>
    members.some((member) => member.name === name);
  const added = desired.find(({ name }) => !isIn(current, name));
  if (added) {
    return { action: 'add', member: added };
  }
  const removed = current.find(({ name }) => !isIn(desired, name));
  return removed && { action: 'remove', member: removed };
};

/** Starts to copy the membership of `source` to `target`. */
export const mirrorMembership = (
  source: ReplicaGroup<unknown>,
  target: ReplicaGroup<unknown>,
  timer: Timer,
  log: Log,
): void => {
  let isChanging = false;

  const change = async (next: MemberChange) => {
    isChanging = true;
    try {
      await target.commands.changeMembers(next);
      log.info('membership of the ledger changed', {
        action: next.action,
        member: next.member.name,
      });
    } catch (error) {
      log.debug('could not change the membership of the ledger', { error: String(error) });
    } finally {
      isChanging = false;
    }
  };

  timer.every(checkPeriodMs, () => {
    const desired = source.queries.members();
    const isUsable = desired.length > 0 && source.queries.confirmedAgeMs() < maxAgeMs;
    if (isChanging || !isUsable || target.queries.role() !== 'leader') {
      return;
    }
    const next = nextMemberChange(desired, target.queries.members());
    if (next) {
      change(next);
    }
  });
};
