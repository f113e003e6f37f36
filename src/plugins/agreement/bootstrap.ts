/**
 * Bootstrap of a new cluster. The first member in the settings writes the first membership, with
 * itself as the only voter, and only if every other member in the settings answers that its log is
 * empty. Otherwise a first member that lost its disk could bootstrap a second cluster while the
 * other members continue the first one. The other members start as learners and become voters once
 * they have caught up. Where members find each other through seeds, the first seed founds on the first
 * start of the whole system only, so a seed that stays silent does not hold it up for good: a majority
 * of the seeds is enough then.
 */
import { encodeMembers } from '../../core/agreement/consensusLog.js';
import type { LogEntry, RequestVote } from '../../core/agreement/consensusTypes.js';
import type { Member } from '../../types/internal.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import { majorityOf } from '../../core/agreement/quorum.js';
import type { PeerAnswer } from './consensusTransport.js';
import { retryWhileDiskFull } from './diskSpace.js';
import type { GroupLog, LoadedLog } from './groupLog.js';

const retryMs = 200;
/** Time for which all seeds are waited for: they start within 0.3 s of each other. */
const allSeedsMs = 2_000;
const firstTerm = 1;
const firstIndex = 1;

/**
 * A pre-vote request in term 0. It is never granted, but its answer contains the term and the
 * incarnation of the receiver.
 */
export const identityProbe: RequestVote = {
  type: 'requestVote',
  term: 0,
  lastLogIndex: 0,
  lastLogTerm: 0,
  preVote: true,
};

export interface BootstrapOptions {
  readonly self: Member;
  /** The other members in the settings. */
  readonly others: readonly Omit<Member, 'incarnation' | 'kind'>[];
  readonly storage: GroupLog;
  /**
   * True if only the addresses of the other members are known. They then join by themselves and are
   * not part of the first membership.
   */
  readonly othersJoin?: boolean;
  readonly probe: (address: string) => Promise<PeerAnswer>;
  readonly timer: Timer;
  readonly log: Log;
  readonly isStopped: () => boolean;
}

export const isEmptyLog = ({ hardState, snapshot, entries }: LoadedLog): boolean =>
  hardState.term === 0 && snapshot.index === 0 && entries.length === 0;

const probeOthers = async ({
  others,
  othersJoin = false,
  probe,
  timer,
  log,
  isStopped,
}: BootstrapOptions): Promise<{ member: Member; term: number }[]> => {
  const answers = new Map<string, { member: Member; term: number }>();
  const startedAt = timer.now();
  const hasEnough = (): boolean => {
    const hasMajority = answers.size + 1 >= majorityOf(others.length + 1);
    const mayFoundWithoutAll = othersJoin && timer.now() - startedAt >= allSeedsMs;
    return answers.size === others.length || (mayFoundWithoutAll && hasMajority);
  };
  let isReported = false;
  while (!hasEnough() && !isStopped()) {
    const missing = others.filter(({ name }) => !answers.has(name));
    await Promise.all(
      missing.map(async (other) => {
        const answer = await probe(other.address).catch(() => undefined);
        if (answer && (othersJoin || answer.from.name === other.name)) {
          const { incarnation } = answer.from;
          const member: Member = { ...other, incarnation, kind: 'learner' };
          answers.set(other.name, { member, term: answer.message.term });
        }
      }),
    );
    if (!hasEnough()) {
      if (!isReported) {
        const names = missing.map(({ name }) => name).join(', ');
        log.info('waiting for the other members before the cluster is founded', { missing: names });
        isReported = true;
      }
      await timer.sleep(retryMs);
    }
  }
  return [...answers.values()];
};

/**
 * Writes the first membership and returns the log that contains it. Returns the unchanged log if a
 * cluster already exists or the instance is stopping.
 */
export const bootstrapGroup = async (options: BootstrapOptions): Promise<LoadedLog> => {
  const { self, storage, log, isStopped, othersJoin = false } = options;
  const answers = await probeOthers(options);
  const existing = answers.find(({ term }) => term > 0);
  if (existing || isStopped()) {
    if (existing) {
      log.warn('a cluster exists, joining it instead of founding one', {
        member: existing.member.name,
      });
    }
    return storage.loaded;
  }
  const learners = othersJoin ? [] : answers.map(({ member }) => member);
  const members: Member[] = [{ ...self, kind: 'voter' }, ...learners];
  const entry: LogEntry = {
    term: firstTerm,
    index: firstIndex,
    kind: 'membership',
    payload: encodeMembers(members),
  };
  const hardState = { term: firstTerm, votedFor: self.name };
  await retryWhileDiskFull(
    () => storage.write([{ type: 'persist', sequence: 0, hardState, entries: [entry] }]),
    options,
  );
  log.info('wrote the first membership', {
    members: members.length,
    answered: answers.map(({ member }) => member.name).join(', '),
  });
  return { ...storage.loaded, hardState, entries: [entry] };
};
