/**
 * Joining of a cluster that this instance does not belong to yet, or no longer: an instance that was
 * added, one whose disk was lost, and one that was removed while it was away. It asks the control
 * instances that it knows until the leader has added it as a learner; a learner that has caught up
 * becomes a voter by the leader's own decision.
 */
import type { Member, ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { JoinAnswer, JoiningMember } from './consensusTransport.js';

/** A quarter of the shortest election timeout: a new member is asked for as soon as a leader leads. */
const joinPeriodMs = 250;
/** An instance that hears a leader is followed by it, and has nothing to ask for. */
const unheardMs = 1_500;

type Group = Pick<ReplicaGroup<unknown>, 'commands' | 'queries'>;

/** Answers another instance that wants to join. */
export const handleJoin = async (group: Group, member: Member): Promise<JoinAnswer> => {
  const { queries, commands } = group;
  const leader = queries.leader();
  const others = queries.members().map(({ address }) => address);
  const addresses = [...new Set([...(leader ? [leader.address] : []), ...others])];
  if (queries.role() !== 'leader') {
    return { outcome: 'not_leader', addresses };
  }
  const isKnown = queries
    .members()
    .some(({ name, incarnation }) => name === member.name && incarnation === member.incarnation);
  if (isKnown) {
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
  /** Peer addresses that the settings name. */
  readonly seeds: () => readonly string[];
  readonly ask: (address: string) => Promise<JoinAnswer>;
  readonly timer: Timer;
  readonly log: Log;
}

/** Starts to keep this instance in the membership. */
export const startJoining = (options: JoinOptions): Cancel => {
  const { self, incarnation, group, timer, log } = options;
  let told: readonly string[] = [];
  let isAsking = false;
  let wasTaken = false;

  const isSettled = (): boolean => {
    const { members, confirmedAgeMs, role } = group.queries;
    const isNamed = members().some(
      (member) => member.name === self.name && member.incarnation === incarnation,
    );
    return role() === 'leader' || (isNamed && confirmedAgeMs() < unheardMs);
  };

  const candidates = (): string[] => {
    const members = group.queries.members().map(({ address }) => address);
    const known = new Set([...told, ...members, ...options.seeds()]);
    known.delete(self.address);
    return [...known];
  };

  const askAll = async () => {
    const answers = await Promise.all(
      candidates().map((address) =>
        options.ask(address).catch((error: unknown) => {
          log.debug('join was not answered', { address, error: String(error) });
          return undefined;
        }),
      ),
    );
    const given = answers.filter((answer) => answer !== undefined);
    told = [...new Set(given.flatMap(({ addresses }) => addresses))];
    const isTaken = given.some(({ outcome }) => outcome === 'member');
    if (isTaken && !wasTaken) {
      log.info('taken into the cluster', { group: self.group });
    }
    wasTaken = isTaken;
  };

  return timer.every(joinPeriodMs, () => {
    if (isAsking || isSettled()) {
      return;
    }
    isAsking = true;
    askAll().finally(() => {
      isAsking = false;
    });
  });
};
