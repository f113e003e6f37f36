import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { encodeMembers } from '../src/core/agreement/consensusLog.js';
import type { LogEntry, ReplicaEffect } from '../src/core/agreement/consensusTypes.js';
import {
  createDriver,
  elect,
  electionTimeoutMs,
  first,
  heartbeatMs,
  member,
  sender,
  vote,
  voters,
  type Driver,
} from './support/replicaDriver.js';

const command = (term: number, index: number): LogEntry => ({
  term,
  index,
  kind: 'command',
  payload: new Uint8Array([term, index]),
});

const append = (term: number, previous: LogEntry, entries: readonly LogEntry[]) =>
  ({
    type: 'appendEntries',
    term,
    previousIndex: previous.index,
    previousTerm: previous.term,
    entries,
    commitIndex: 0,
    round: 1,
    confirmedAgeMs: 0,
  }) as const;

describe('a starting replica', () => {
  const asksForVotes = (effects: readonly ReplicaEffect[]) =>
    effects.some((effect) => effect.type === 'send' && effect.message.type === 'requestVote');

  // Guards against several seconds without a leader after a power failure of all members.
  it('asks for votes long before the election timeout, and again when nobody answers', () => {
    const driver = createDriver();
    assert.equal(asksForVotes(driver.advance(0.2 * electionTimeoutMs)), false);
    assert.equal(asksForVotes(driver.advance(0.2 * electionTimeoutMs)), true);
    assert.equal(asksForVotes(driver.advance(0.4 * electionTimeoutMs)), true);
    assert.equal(driver.core.queries.status().term, 1, 'a pre-vote changes no term');
  });

  it('waits for the whole election timeout once it has heard from a leader', () => {
    const driver = createDriver();
    driver.request('b', append(1, first, []));
    assert.equal(asksForVotes(driver.advance(0.9 * electionTimeoutMs)), false);
    assert.equal(asksForVotes(driver.advance(0.2 * electionTimeoutMs)), true);
    assert.equal(asksForVotes(driver.advance(0.9 * electionTimeoutMs)), false);
  });
});

describe('leader of the replicated log', () => {
  it('sends a new commit index at once and not with the next heartbeat', () => {
    const driver = elect(createDriver());
    driver.step({ type: 'propose', id: 1, payload: new Uint8Array([1]) });
    driver.sync();
    const { lastIndex } = driver.core.queries.status();
    driver.ack('c', lastIndex);
    const effects = driver.step({
      type: 'answer',
      from: sender('b'),
      to: sender('b'),
      message: {
        type: 'appendAnswer',
        term: driver.core.queries.status().term,
        success: true,
        matchIndex: lastIndex,
        round: 1,
      },
    });
    const sentCommitIndexes = effects.flatMap((effect) =>
      effect.type === 'send' && effect.message.type === 'appendEntries'
        ? [[effect.to.name, effect.message.commitIndex]]
        : [],
    );
    assert.deepEqual(sentCommitIndexes, [['b', lastIndex]]);
  });

  // Guards against sending each large entry to a slow member again with every heartbeat and every
  // read, so that the member falls behind for seconds.
  it('sends an entry only once while the member answers heartbeats', () => {
    const driver = elect(createDriver());
    driver.ack('b', 2);
    driver.ack('c', 2);
    const entriesSentTo = (name: string, effects: readonly ReplicaEffect[]) =>
      effects.flatMap((effect) =>
        effect.type === 'send' && effect.to.name === name && 'entries' in effect.message
          ? effect.message.entries
          : [],
      ).length;
    const payload = new Uint8Array(400_000);
    let sent = entriesSentTo('c', driver.step({ type: 'propose', id: 1, payload }));
    sent += entriesSentTo('c', driver.sync());
    const answer = (matchIndex: number, round: number) =>
      driver.step({
        type: 'answer',
        from: sender('c'),
        to: sender('c'),
        message: { type: 'appendAnswer', term: 2, success: true, matchIndex, round },
      });
    for (let round = 2; round < 6; round += 1) {
      sent += entriesSentTo('c', driver.step({ type: 'read', id: round }));
      sent += entriesSentTo('c', answer(2, round));
    }
    assert.equal(driver.core.queries.status().term, 2);
    assert.equal(sent, 1);
    assert.equal(entriesSentTo('c', answer(3, 6)), 0);
    assert.equal(entriesSentTo('c', driver.step({ type: 'propose', id: 9, payload })), 1);
  });

  it('resends an entry that is not acknowledged within the election timeout', () => {
    const driver = elect(createDriver());
    driver.ack('b', 2);
    driver.ack('c', 2);
    driver.step({ type: 'propose', id: 1, payload: new Uint8Array([1]) });
    driver.advance(electionTimeoutMs / 2);
    driver.ack('b', 3);
    driver.ack('c', 2, 'c-0', 2);
    driver.ack('b', 3, 'b-0', 2);
    const resent = driver.advance(electionTimeoutMs / 2 + 1);
    const sentTo = resent.flatMap((effect) =>
      effect.type === 'send' && 'entries' in effect.message && effect.message.entries.length > 0
        ? [effect.to.name]
        : [],
    );
    assert.deepEqual(sentTo, ['c']);
  });

  it('does not count its own entry before it is synced', () => {
    const driver = elect(createDriver());
    driver.ack('b', 2);
    driver.step({ type: 'propose', id: 1, payload: new Uint8Array() });
    driver.ack('b', 3);
    assert.equal(driver.core.queries.status().commitIndex, 2);
    driver.sync();
    assert.equal(driver.core.queries.status().commitIndex, 3);
  });

  it('commits an entry of an earlier term only together with one of its own term', () => {
    const driver = elect(createDriver([first, command(1, 2)]));
    driver.ack('b', 2);
    driver.ack('c', 2);
    assert.equal(driver.core.queries.status().commitIndex, 0);
    driver.ack('b', 3);
    assert.equal(driver.core.queries.status().commitIndex, 3);
  });

  it('changes one member at a time, after an entry of its own term', () => {
    const driver = elect(createDriver());
    const add = (name: string, id: number) =>
      driver
        .step({ type: 'changeMembers', id, change: { action: 'add', member: member(name) } })
        .find(({ type }) => type === 'proposed' || type === 'refused');
    assert.deepEqual(add('d', 1), { type: 'refused', id: 1, reason: 'change_pending' });
    driver.ack('b', 2);
    assert.equal(add('d', 2)?.type, 'proposed');
    assert.deepEqual(add('e', 3), { type: 'refused', id: 3, reason: 'change_pending' });
    driver.sync();
    driver.ack('b', 3);
    assert.equal(add('e', 4)?.type, 'proposed');
  });

  it('refuses a membership change if only an earlier leader has committed an entry', () => {
    const driver = createDriver();
    driver.request('b', { ...append(2, first, []), commitIndex: 1 });
    assert.equal(driver.core.queries.status().commitIndex, 1);
    elect(driver);
    const change = { action: 'add', member: member('d') } as const;
    const effects = driver.step({ type: 'changeMembers', id: 1, change });
    assert.deepEqual(effects, [{ type: 'refused', id: 1, reason: 'change_pending' }]);
  });

  it('steps down without answers from a quorum within the election timeout', () => {
    const driver = elect(createDriver());
    driver.advance(electionTimeoutMs / 2);
    driver.step({ type: 'read', id: 7 });
    assert.equal(driver.core.queries.status().role, 'leader');
    driver.advance(electionTimeoutMs / 2 + 1);
    assert.equal(driver.core.queries.status().role, 'follower');
  });

  it('does not count answers from another incarnation, nor demote a member for a late one', () => {
    const driver = elect(createDriver());
    driver.ack('b', 2, 'b-new');
    assert.equal(driver.core.queries.status().commitIndex, 0);
    driver.ack('c', 2);
    assert.equal(driver.core.queries.status().commitIndex, 2);
    // The listed incarnation has answered a moment ago, so the member keeps its vote.
    driver.ack('b', 2, 'b-0', 2);
    driver.ack('b', 2, 'b-new', 2);
    driver.advance(heartbeatMs);
    assert.equal(driver.core.queries.status().members[1]?.kind, 'voter');
  });

  it('makes a member with a new data folder a learner, and a voter once it has caught up', () => {
    const driver = elect(createDriver());
    driver.ack('c', 2);
    for (let round = 1; round < 8; round += 1) {
      driver.advance(heartbeatMs);
      driver.ack('b', 0, 'b-new', round);
      driver.ack('c', 2, 'c-0', round + 1);
    }
    const replaced = () => driver.core.queries.status().members.find(({ name }) => name === 'b');
    assert.deepEqual([replaced()?.incarnation, replaced()?.kind], ['b-new', 'learner']);
    driver.sync();
    driver.ack('c', 3, 'c-0', 9);
    driver.advance(heartbeatMs);
    assert.equal(replaced()?.kind, 'learner');
    // A late answer from the lost data folder does not restore its incarnation.
    driver.ack('b', 2, 'b-0', 2);
    const lastIndex = () => driver.core.queries.status().lastIndex;
    Array.from({ length: 6 }).forEach((_, at) => {
      driver.advance(heartbeatMs);
      driver.sync();
      driver.ack('c', lastIndex(), 'c-0', 10 + at);
    });
    assert.equal(replaced()?.incarnation, 'b-new');
    driver.ack('b', lastIndex(), 'b-new', 9);
    driver.advance(heartbeatMs);
    assert.equal(replaced()?.kind, 'voter');
  });

  describe('of five voters, two of which have been silent', () => {
    const names = ['a', 'b', 'c', 'd', 'e'];
    const five: LogEntry = {
      ...first,
      payload: encodeMembers(names.map((name) => member(name))),
    };

    /** Lets `b` and `c` answer all messages for 6 s, and returns the names of the voters. */
    const remainingVoters = (minVoters?: number): string[] => {
      const driver = createDriver([five], 1, { removeSilentAfterMs: 3_000, minVoters });
      driver.advance(electionTimeoutMs * 2);
      ['b', 'c'].forEach((name) => vote(driver, name, true));
      driver.sync();
      ['b', 'c'].forEach((name) => vote(driver, name, false));
      driver.sync();
      for (let round = 1; round <= 30; round += 1) {
        const { lastIndex } = driver.core.queries.status();
        ['b', 'c'].forEach((name) => driver.ack(name, lastIndex, `${name}-0`, round));
        driver.advance(heartbeatMs);
        driver.sync();
      }
      assert.equal(driver.core.queries.status().role, 'leader');
      return driver.core.queries.status().members.map(({ name }) => name);
    };

    // Guards against voters that are gone for good and stay listed: with two of five gone, the loss
    // of one disk ended the group for good.
    it('removes both, although their number is odd', () => {
      assert.deepEqual(remainingVoters(), ['a', 'b', 'c']);
    });

    // Guards against a group that loses a change with the disks whose loss it has to tolerate.
    it('keeps them if it has to tolerate the loss of two disks', () => {
      assert.deepEqual(remainingVoters(5), names);
    });
  });

  it('sends to an unreachable member with heartbeats only, and not in a busy loop', () => {
    const driver = elect(createDriver());
    driver.ack('c', 2);
    const sentToB = (effects: readonly ReplicaEffect[]) =>
      effects.filter((effect) => effect.type === 'send' && effect.to.name === 'b').length;
    assert.equal(sentToB(driver.step({ type: 'unreachable', name: 'b' })), 0);
    assert.equal(sentToB(driver.advance(heartbeatMs)), 1);
    assert.equal(sentToB(driver.step({ type: 'unreachable', name: 'b' })), 0);
  });

  it('transfers its leadership to a member that holds the whole log', () => {
    const driver = elect(createDriver());
    driver.ack('b', 2);
    driver.ack('c', 1);
    const sent = driver.step({ type: 'transfer' }).filter(({ type }) => type === 'send');
    const toB = sent.find((effect) => effect.type === 'send' && effect.to.name === 'b');
    assert.equal(toB?.type === 'send' && toB.message.type, 'timeoutNow');
    const refused = driver.step({ type: 'propose', id: 1, payload: new Uint8Array() });
    assert.ok(refused.some(({ type }) => type === 'refused'));
  });
});

describe('a leader whose disk does not complete writes', () => {
  const transfersLeadership = (effects: readonly ReplicaEffect[]) =>
    effects.some((effect) => effect.type === 'send' && effect.message.type === 'timeoutNow');

  /** Advances the time while b and c answer. Returns true if the leadership was transferred. */
  const passTime = (driver: Driver, ms: number, matchIndex: number): boolean => {
    let isTransferred = false;
    for (let passed = 0; passed < ms; passed += 50) {
      const effects = driver.advance(50);
      isTransferred ||= transfersLeadership(effects);
      effects.forEach((effect) => {
        if (effect.type === 'send' && effect.message.type === 'appendEntries') {
          driver.ack(effect.to.name, matchIndex, `${effect.to.name}-0`, effect.message.round);
        }
      });
    }
    return isTransferred;
  };

  // Guards against changes that are committed but remain unanswered for as long as the disk of the
  // leader is full or hangs.
  it('transfers its leadership to a member that has written all entries', () => {
    const driver = elect(createDriver());
    passTime(driver, 200, 2);
    driver.step({ type: 'propose', id: 1, payload: new Uint8Array() });
    assert.ok(passTime(driver, electionTimeoutMs, 3));
  });

  it('remains the leader while no other member has written all entries', () => {
    const driver = elect(createDriver());
    passTime(driver, 200, 2);
    driver.step({ type: 'propose', id: 1, payload: new Uint8Array() });
    assert.equal(passTime(driver, 2 * electionTimeoutMs, 2), false);
    const taken = driver.step({ type: 'propose', id: 2, payload: new Uint8Array() });
    assert.ok(taken.some(({ type }) => type === 'proposed'));
  });

  it('does not transfer its leadership if writes are slow but complete', () => {
    const driver = elect(createDriver());
    for (let id = 1; id < 10; id += 1) {
      driver.step({ type: 'propose', id, payload: new Uint8Array() });
      assert.equal(passTime(driver, 300, 2 + id), false);
      driver.sync();
    }
  });
});

describe('follower of the replicated log', () => {
  it('neither votes nor raises its term while it hears from a leader or is partitioned', () => {
    const driver = createDriver();
    driver.request('b', append(2, first, []));
    const effects = driver.request('c', {
      type: 'requestVote',
      term: 3,
      lastLogIndex: 9,
      lastLogTerm: 2,
      preVote: true,
    });
    const reply = effects.find(({ type }) => type === 'reply');
    assert.ok(reply?.type === 'reply' && reply.message.type === 'voteAnswer');
    assert.equal(reply.message.granted, false);
    Array.from({ length: 20 }).forEach(() => driver.advance(electionTimeoutMs * 2));
    assert.equal(driver.core.queries.status().term, 2);
  });

  it('drops a conflicting tail of its log when it installs a snapshot', () => {
    const driver = createDriver([first, command(1, 2), command(1, 3), command(1, 4)]);
    driver.request('b', {
      type: 'installSnapshot',
      term: 2,
      lastIndex: 3,
      lastTerm: 2,
      offset: 0,
      chunk: new Uint8Array([1]),
      done: true,
      members: voters,
      round: 1,
    });
    const { lastIndex, snapshotIndex } = driver.core.queries.status();
    assert.deepEqual([lastIndex, snapshotIndex], [3, 3]);
  });

  // Guards against a control instance that counts as current, and keeps its nodes, although it
  // receives heartbeats only, or its disk does not complete writes.
  it('does not count as confirmed while it has not applied what the leader has committed', () => {
    const driver = createDriver();
    driver.request('b', append(1, first, []));
    assert.equal(driver.core.queries.confirmedAgeMs(0), 0);
    driver.advance(500);
    driver.request('b', { ...append(1, first, []), commitIndex: 2 });
    assert.equal(driver.core.queries.confirmedAgeMs(500), 500);
    driver.request('b', { ...append(1, first, [command(1, 2)]), commitIndex: 2 });
    assert.equal(driver.core.queries.confirmedAgeMs(500), 500);
    driver.sync();
    driver.request('b', { ...append(1, command(1, 2), []), commitIndex: 2 });
    assert.equal(driver.core.queries.confirmedAgeMs(500), 0);
  });

  it('answers heartbeats while a snapshot is being written', () => {
    const driver = createDriver();
    driver.request('b', { ...append(2, first, [command(2, 2)]), commitIndex: 2 });
    driver.sync();
    const written = driver.step({ type: 'compact', index: 2, data: new Uint8Array(9) });
    assert.ok(written.some((effect) => effect.type === 'persist' && effect.snapshot));
    const effects = driver.request('b', append(2, command(2, 2), []));
    const reply = effects.find((effect) => effect.type === 'reply');
    const snapshot = written.find((effect) => effect.type === 'persist');
    assert.ok(reply?.type === 'reply' && snapshot?.type === 'persist');
    assert.ok(reply.afterSequence < snapshot.sequence);
  });

  it('sends an answer only once the writes that it depends on are synced', () => {
    const driver = createDriver();
    const appended = driver.request('b', append(2, first, [command(2, 2)]));
    const persisted = appended.filter((effect) => effect.type === 'persist').at(-1);
    const reply = appended.find(({ type }) => type === 'reply');
    assert.ok(persisted?.type === 'persist' && reply?.type === 'reply');
    assert.equal(reply.afterSequence, persisted.sequence);
  });
});
