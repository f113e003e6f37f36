/**
 * Joins an instance to a cluster of which it is not, or no longer, a member: a new instance, one
 * that lost its disk, or one that was removed while it was unreachable. It sends join requests to
 * the known control instances until the leader has added it as a learner. The leader promotes a
 * learner that has caught up to voter.
 */
import type { Member, ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { JoinAnswer, JoiningMember } from './consensusTransport.js';

/**
 * Time between two join requests, in ms: a quarter of the shortest election timeout, so that an
 * instance joins soon after a leader is elected.
 */
const joinPeriodMs = 250;
/**
 * A listed instance sends join requests only if no quorum has confirmed its leader for this time,
 * in ms: while a leader replicates to it, it does not have to join.
 */
const leaderSilenceMs = 1_500;

type Group = Pick<ReplicaGroup<unknown>, 'commands' | 'queries'>;

/** Handles a join request of another instance. */
export const handleJoin = async (group: Group, member: Member): Promise<JoinAnswer> => {
  const { queries, commands } = group;
  const leader = queries.leader();
  const others = queries.members().map(({ address }) => address);
  const addresses = [...new Set([...(leader ? [leader.address] : []), ...others])];
  if (queries.role() !== 'leader') {
    return { outcome: 'not_leader', addresses };
  }
  const isMember = queries
    .members()
    .some(({ name, incarnation }) => name === member.name && incarnation === member.incarnation);
  if (isMember) {
    return { outcome: 'member', addresses };
  }
  try {
    await commands.changeMembers({ action: 'add', member });
    return { outcome: 'member', addresses };
  } catch (error) {
    if (!(error instanceof Failure)) {
      throw error;
    }
    return { outcome: error.reason === 'not_leader' ? 'not_leader' : 'pending', addresses };
  }
};

export interface JoinOptions {
  readonly self: JoiningMember;
  readonly incarnation: string;
  readonly group: Group;
  /** Peer addresses from the settings. */
  readonly seeds: () => readonly string[];
  readonly ask: (address: string) => Promise<JoinAnswer>;
  readonly timer: Timer;
  readonly log: Log;
}

/** Starts to send join requests whenever this instance is not a member. */
export const startJoining = (options: JoinOptions): Cancel => {
  const { self, incarnation, group, timer, log } = options;
  let learnedAddresses: readonly string[] = [];
  let isAsking = false;
  let wasAccepted = false;

  const isJoined = (): boolean => {
    const { members, confirmedAgeMs, role } = group.queries;
    const isListed = members().some(
      (member) => member.name === self.name && member.incarnation === incarnation,
    );
    return role() === 'leader' || (isListed && confirmedAgeMs() < leaderSilenceMs);
  };

  const joinAddresses = (): string[] => {
    const members = group.queries.members().map(({ address }) => address);
    const known = new Set([...learnedAddresses, ...members, ...options.seeds()]);
    known.delete(self.address);
    return [...known];
  };

  const requestJoin = async () => {
    const answers = await Promise.all(
      joinAddresses().map((address) =>
        options.ask(address).catch((error: unknown) => {
          log.debug('join request failed', { address, error: String(error) });
          return undefined;
        }),
      ),
    );
    const received = answers.filter((answer) => answer !== undefined);
    learnedAddresses = [...new Set(received.flatMap(({ addresses }) => addresses))];
    const isAccepted = received.some(({ outcome }) => outcome === 'member');
    if (isAccepted && !wasAccepted) {
      log.info('joined the cluster', { group: self.group });
    }
    wasAccepted = isAccepted;
  };

  return timer.every(joinPeriodMs, () => {
    if (isAsking || isJoined()) {
      return;
    }
    isAsking = true;
    requestJoin().finally(() => {
      isAsking = false;
    });
  });
};
