/**
 * Removes an instance that stops from the membership, if the group keeps enough voters without it.
 * An instance cannot know whether it will be started again: after a planned replacement it will not,
 * and until its silence is noticed its vote would still count in the size of a majority, so that the
 * loss of one more member could end the group for good. An instance that is started again joins.
 */
import { hasSurplusVoter } from '../../core/agreement/consensusMembership.js';
import type { MemberId } from '../../core/agreement/consensusTypes.js';
import type { Member, ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { LeaveOutcome } from './consensusTransport.js';

/** Time between two requests to leave, in ms: a change of the membership takes a few round trips. */
const leavePeriodMs = 50;
/** Longest time that a stop waits for the removal, in ms: one election timeout. */
const maxLeaveMs = 1_000;
/** A voter that the leader has not heard of for one election timeout may be gone, in ms. */
const maxContactAgeMs = 1_000;

type Group = Pick<ReplicaGroup<unknown>, 'commands' | 'queries'>;

const isListed = (members: readonly Member[], { name, incarnation }: MemberId): boolean =>
  members.some((member) => member.name === name && member.incarnation === incarnation);

/**
 * True if the group keeps enough voters that the leader has heard of lately. A silent one may be gone
 * for good, and then the one that leaves would be needed.
 */
const hasHeardSurplus = (
  { members, intactVoters, contactAgeMs }: Group['queries'],
  min: number,
) => {
  const silent = members().filter(
    ({ kind, name }) => kind === 'voter' && contactAgeMs(name) > maxContactAgeMs,
  );
  return hasSurplusVoter(intactVoters() - silent.length, min);
};

/**
 * Handles the request of another instance to leave. While a voter is silent that would have to stand
 * in, the outcome is `pending`: it may be heard of before the stop ends.
 */
export const handleLeave = async (
  group: Group,
  leaving: MemberId,
  minVoters: number,
): Promise<LeaveOutcome> => {
  const { queries, commands } = group;
  if (queries.role() !== 'leader') {
    return 'not_leader';
  }
  const members = queries.members();
  if (!isListed(members, leaving)) {
    return 'removed';
  }
  if (!hasSurplusVoter(queries.intactVoters(), minVoters)) {
    return 'kept';
  }
  if (!hasHeardSurplus(queries, minVoters)) {
    return 'pending';
  }
  const member = members.find(({ name }) => name === leaving.name)!;
  try {
    await commands.changeMembers({ action: 'remove', member });
    return 'removed';
  } catch (error) {
    if (!(error instanceof Failure)) {
      throw error;
    }
    return error.reason === 'not_leader' ? 'not_leader' : 'pending';
  }
};

export interface LeaveOptions {
  readonly self: MemberId;
  readonly group: Pick<Group, 'queries'>;
  readonly minVoters: number;
  readonly ask: (address: string) => Promise<LeaveOutcome>;
  readonly timer: Timer;
  readonly log: Log;
}

/** Asks the leader to remove this instance. Resolves once it has, or if it cannot in time. */
export const leaveGroup = async (options: LeaveOptions): Promise<void> => {
  const { self, group, minVoters, ask, timer, log } = options;
  const { queries } = group;
  const until = timer.now() + maxLeaveMs;

  const request = async (): Promise<LeaveOutcome> => {
    const leader = queries.leader();
    if (!leader || leader.name === self.name) {
      return 'not_leader';
    }
    return ask(leader.address).catch((error: unknown) => {
      log.debug('request to leave failed', { to: leader.name, error: String(error) });
      return 'pending';
    });
  };

  while (
    isListed(queries.members(), self) &&
    hasSurplusVoter(queries.intactVoters(), minVoters) &&
    timer.now() < until
  ) {
    const outcome = await request();
    if (outcome === 'removed' || outcome === 'kept') {
      log.info('left the membership', { outcome });
      return;
    }
    await timer.sleep(leavePeriodMs);
  }
};
