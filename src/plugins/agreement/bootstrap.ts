/**
 * First start of a cluster. The first member of the settings writes the first membership, with itself
 * as the only voter, and only if every other member of the settings answers that it holds nothing.
 * So a founder that lost its disk cannot found a second cluster beside the one that goes on without
 * it. The others start as learners and become voters once they have caught up.
 */
import { encodeMembers } from '../../core/agreement/consensusLog.js';
import type { LogEntry, RequestVote } from '../../core/agreement/consensusTypes.js';
import type { Member } from '../../types/internal.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { PeerAnswer } from './consensusTransport.js';
import { retryWhileDiskFull } from './diskSpace.js';
import type { GroupLog, LoadedLog } from './groupLog.js';

const retryMs = 200;
const firstTerm = 1;
const firstIndex = 1;

/** A pre-vote in term 0 is granted by nobody; its answer tells the term and the incarnation. */
export const identityProbe: RequestVote = {
  type: 'requestVote',
  term: 0,
  lastLogIndex: 0,
  lastLogTerm: 0,
  preVote: true,
};

export interface BootstrapOptions {
  readonly self: Member;
  /** The other members of the settings. */
  readonly others: readonly Omit<Member, 'incarnation' | 'kind'>[];
  readonly storage: GroupLog;
  /** The others are known by their addresses alone and join by themselves. */
  readonly othersJoin?: boolean;
  readonly probe: (address: string) => Promise<PeerAnswer>;
  readonly timer: Timer;
  readonly log: Log;
  readonly isStopped: () => boolean;
}

export const isEmptyLog = ({ hardState, snapshot, entries }: LoadedLog): boolean =>
  hardState.term === 0 && snapshot.index === 0 && entries.length === 0;

const askOthers = async ({
  others,
  othersJoin = false,
  probe,
  timer,
  log,
  isStopped,
}: BootstrapOptions): Promise<{ member: Member; term: number }[]> => {
  const answers = new Map<string, { member: Member; term: number }>();
  let isReported = false;
  while (answers.size < others.length && !isStopped()) {
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
    if (answers.size < others.length) {
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
 * Writes the first membership and returns the log with it, or the log as it is if a cluster exists
 * already.
 */
export const bootstrapGroup = async (options: BootstrapOptions): Promise<LoadedLog> => {
  const { self, storage, log, isStopped, othersJoin = false } = options;
  const answers = await askOthers(options);
  const known = answers.find(({ term }) => term > 0);
  if (known || isStopped()) {
    if (known) {
      log.warn('a cluster exists, joining it instead of founding one', {
        member: known.member.name,
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
  log.info('the first membership is written', { members: members.length });
  return { ...storage.loaded, hardState, entries: [entry] };
};
