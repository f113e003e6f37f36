/**
 * Operations that only the leader of a group may run, for the services of operators. A refusal
 * means that nothing was changed.
 */
import type { ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';

/** A leader whose last confirmation by a quorum is older is probably partitioned, in ms. */
const maxConfirmedAgeMs = 600;
/** After this time, the outcome of a proposal is reported as unknown, in ms. */
const outcomeLimitMs = 3_000;

/** This instance is not the leader. `leader` is the peer address of the leader if it is known. */
export interface NotLeader {
  readonly outcome: 'not_here';
  readonly leader: string | undefined;
}

export interface LeaderOperations<Result> {
  readonly commands: {
    /** Proposes a command. Resolves with undefined if the outcome is not known in time. */
    propose(payload: Uint8Array): Promise<Result | undefined>;
  };
  readonly queries: {
    isLeading(): boolean;
    notLeader(): NotLeader;
    voters(): number;
    /**
     * Runs an operation after a quorum has confirmed the leader. Returns undefined on any other
     * instance.
     */
    run<Output>(operation: () => Promise<Output>): Promise<Output | undefined>;
  };
}

export interface LeaderOperationsOptions<Result> {
  readonly group: ReplicaGroup<Result>;
  readonly timer: Timer;
  readonly log: Log;
  /** What is not accepted if this instance does not lead, for the log. */
  readonly subject: string;
}

/** Creates the leader's operations on a group. */
export const createLeaderOperations = <Result>({
  group,
  timer,
  log,
  subject,
}: LeaderOperationsOptions<Result>): LeaderOperations<Result> => {
  const { queries } = group;

  const isLeading = (): boolean =>
    queries.role() === 'leader' && queries.confirmedAgeMs() <= maxConfirmedAgeMs;

  const notLeader = (): NotLeader => ({
    outcome: 'not_here',
    leader: queries.role() === 'leader' ? undefined : queries.leader()?.address,
  });

  const run = async <Output>(operation: () => Promise<Output>): Promise<Output | undefined> => {
    if (!isLeading()) {
      return undefined;
    }
    try {
      await queries.confirmRead();
      return await operation();
    } catch (error) {
      const isNotRun = error instanceof Failure && error.run === 'not_run';
      if (isNotRun && error.reason !== 'change_too_large') {
        log.info(`${subject} not accepted`, { reason: error.reason });
        return undefined;
      }
      throw error;
    }
  };

  const propose = (payload: Uint8Array): Promise<Result | undefined> =>
    Promise.race([
      group.commands.propose(payload).then(({ result }) => result),
      timer.sleep(outcomeLimitMs).then(() => undefined),
    ]);

  return {
    commands: { propose },
    queries: { isLeading, notLeader, voters: queries.confirmedVoters, run },
  };
};
