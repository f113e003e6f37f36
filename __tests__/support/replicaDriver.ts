/**
 * Drives a single replica, "a", of which a test sends the events and reads the effects.
 */
import assert from 'node:assert/strict';
import {
  createReplica,
  emptySnapshot,
  type ReplicaCore,
} from '../../src/core/agreement/consensus.js';
import { encodeMembers } from '../../src/core/agreement/consensusLog.js';
import type {
  LogEntry,
  MemberId,
  ReplicaEffect,
  ReplicaEvent,
  ReplicaOptions,
  RequestMessage,
} from '../../src/core/agreement/consensusTypes.js';
import type { Member } from '../../src/types/internal.js';

export const electionTimeoutMs = 1_000;
export const heartbeatMs = 200;

export const member = (
  name: string,
  incarnation = `${name}-0`,
  kind: Member['kind'] = 'voter',
): Member => ({
  name,
  address: name,
  dataCentre: 'dc',
  region: 'r',
  incarnation,
  kind,
});

export const voters = ['a', 'b', 'c'].map((name) => member(name));
export const first: LogEntry = {
  term: 1,
  index: 1,
  kind: 'membership',
  payload: encodeMembers(voters),
};
export const sender = (name: string, incarnation = `${name}-0`) => ({ name, incarnation });

export interface Driver {
  readonly core: ReplicaCore;
  /** Passes an event to the replica at the current time and returns the effects. */
  step(event: ReplicaEvent): readonly ReplicaEffect[];
  advance(ms: number): readonly ReplicaEffect[];
  /** Reports all writes so far as synced. */
  sync(): readonly ReplicaEffect[];
  request(from: string, message: RequestMessage): readonly ReplicaEffect[];
  /** Answers a request that was sent to `to`, by default the incarnation in the first membership. */
  ack(from: string, matchIndex: number, incarnation?: string, round?: number, to?: MemberId): void;
}

export const createDriver = (
  entries: readonly LogEntry[] = [first],
  term = 1,
  options: Pick<ReplicaOptions, 'removeSilentAfterMs' | 'minVoters'> = {},
): Driver => {
  const core = createReplica({
    self: sender('a'),
    electionTimeoutMs,
    heartbeatMs,
    random: () => 0,
    hardState: { term, votedFor: '' },
    snapshot: emptySnapshot,
    entries,
    ...options,
  });
  let now = 0;
  let sequence = 0;
  const step: Driver['step'] = (event) => {
    const effects = core.step(event, now);
    effects.forEach((effect) => {
      sequence = effect.type === 'persist' ? effect.sequence : sequence;
    });
    return effects;
  };
  core.start(now);
  return {
    core,
    step,
    advance: (ms) => {
      now += ms;
      return step({ type: 'tick' });
    },
    sync: () => step({ type: 'persisted', sequence }),
    request: (from, message) => step({ type: 'request', from: sender(from), message, token: 1 }),
    ack: (from, matchIndex, incarnation = `${from}-0`, round = 1, to = sender(from)) =>
      step({
        type: 'answer',
        from: sender(from, incarnation),
        to,
        message: {
          type: 'appendAnswer',
          term: core.queries.status().term,
          success: true,
          matchIndex,
          round,
        },
      }),
  };
};

export const vote = (driver: Driver, from: string, preVote: boolean) => {
  const { term } = driver.core.queries.status();
  const message = { type: 'voteAnswer', term: preVote ? term + 1 : term, granted: true, preVote };
  driver.step({ type: 'answer', from: sender(from), to: sender(from), message: message as never });
};

/** Makes the replica under test the leader of the next term and syncs its first entry. */
export const elect = (driver: Driver): Driver => {
  driver.advance(electionTimeoutMs * 2);
  vote(driver, 'b', true);
  driver.sync();
  vote(driver, 'b', false);
  assert.equal(driver.core.queries.status().role, 'leader');
  driver.sync();
  return driver;
};
