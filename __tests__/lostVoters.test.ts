import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { encodeMembers } from '../src/core/agreement/consensusLog.js';
import type { LogEntry, ReplicaEffect } from '../src/core/agreement/consensusTypes.js';
import {
  createDriver,
  elect,
  electionTimeoutMs,
  heartbeatMs,
  member,
  sender,
  vote,
  type Driver,
} from './support/replicaDriver.js';

/** A log whose entries each contain the membership of the named voters. */
const membershipLog = (...memberships: string[]): LogEntry[] =>
  memberships.map((names, at) => ({
    term: 1,
    index: at + 1,
    kind: 'membership',
    payload: encodeMembers([...names].map((name) => member(name))),
  }));

const roleOf = ({ core }: Driver) => core.queries.status().role;
const commitIndexOf = ({ core }: Driver) => core.queries.status().commitIndex;
const lastIndexOf = ({ core }: Driver) => core.queries.status().lastIndex;

/** Answers a vote request to the listed incarnation of the member by another incarnation of it. */
const refuseAfterLoss = (driver: Driver, name: string, to = sender(name)) => {
  const { term } = driver.core.queries.status();
  driver.step({
    type: 'answer',
    from: sender(name, `${name}-new`),
    to,
    message: { type: 'voteAnswer', term, granted: false, preVote: true },
  });
};

const startPreVote = (driver: Driver) => driver.advance(electionTimeoutMs * 2);

/** Collects the votes of the named voters, for the pre-vote and the vote. */
const runElection = (driver: Driver, names: string, lost = '') => {
  startPreVote(driver);
  [...lost].forEach((name) => refuseAfterLoss(driver, name));
  [...names].forEach((name) => vote(driver, name, true));
  driver.sync();
  [...names].forEach((name) => vote(driver, name, false));
};

const changeMembers = (
  driver: Driver,
  action: 'add' | 'remove',
  name: string,
  incarnation?: string,
) =>
  driver
    .step({ type: 'changeMembers', id: 1, change: { action, member: member(name, incarnation) } })
    .find(({ type }) => type === 'refused' || type === 'proposed');

describe('candidate among four voters', () => {
  // Guards against the end of the group if a voter is gone for good and another one loses its disk
  // before the first one is removed.
  it('wins with two of the three others if the fourth has lost its data folder', () => {
    const driver = createDriver(membershipLog('abcd'));
    runElection(driver, 'b', 'c');
    assert.equal(roleOf(driver), 'leader');
  });

  it('needs three votes while no folder is known to be lost', () => {
    const driver = createDriver(membershipLog('abcd'));
    runElection(driver, 'b');
    assert.equal(roleOf(driver), 'candidate');
  });

  it('wins with the two others after two folders were lost one after the other', () => {
    const driver = createDriver(membershipLog('abcd'));
    runElection(driver, 'b', 'cd');
    assert.equal(roleOf(driver), 'leader');
  });

  it('does not win alone after three folders were lost', () => {
    const driver = createDriver(membershipLog('abcd'));
    runElection(driver, '', 'bcd');
    assert.equal(roleOf(driver), 'candidate');
  });

  // Guards against a vote from a voter that has itself lost its folder since: a leader that knows
  // of that loss may have committed entries with another voter whose loss the candidate knows.
  it('does not leave out a voter whose loss it learns of after the vote has started', () => {
    const driver = createDriver(membershipLog('abcd'));
    startPreVote(driver);
    ['b', 'd'].forEach((name) => vote(driver, name, true));
    driver.sync();
    vote(driver, 'b', false);
    refuseAfterLoss(driver, 'c');
    assert.equal(roleOf(driver), 'candidate');
    runElection(driver, 'b');
    assert.equal(roleOf(driver), 'leader');
  });

  it('does not take a folder for lost by a late answer from an earlier one, or of another member', () => {
    const driver = createDriver(membershipLog('abcd'));
    startPreVote(driver);
    refuseAfterLoss(driver, 'c', sender('c', 'c-older'));
    refuseAfterLoss(driver, 'c', sender('d'));
    vote(driver, 'b', true);
    driver.sync();
    assert.equal(driver.core.queries.status().term, 1, 'the pre-vote is not won');
    assert.equal(driver.core.queries.status().intactVoters, 4);
  });
});

describe('candidate that does not know whether the newest membership is committed', () => {
  // Guards against a leader without the entries that the members before the change committed.
  it('needs a quorum of the members before an addition', () => {
    const driver = createDriver(membershipLog('abc', 'abcd'));
    runElection(driver, 'd', 'c');
    assert.equal(roleOf(driver), 'candidate');
    runElection(driver, 'b');
    assert.equal(roleOf(driver), 'leader');
  });

  it('asks the removed member for its vote', () => {
    const driver = createDriver(membershipLog('abcd', 'abc'));
    const asked = startPreVote(driver).flatMap((effect) =>
      effect.type === 'send' ? [effect.to.name] : [],
    );
    assert.deepEqual(asked, ['b', 'c', 'd']);
  });

  // Guards against a group that, after a loss of power, waits for a member that was removed.
  it('needs only the newest members if the log repeats them', () => {
    const unconfirmed = createDriver(membershipLog('abcd', 'abc'));
    runElection(unconfirmed, 'b');
    assert.equal(roleOf(unconfirmed), 'candidate');
    const confirmed = createDriver(membershipLog('abcd', 'abc', 'abc'));
    runElection(confirmed, 'b');
    assert.equal(roleOf(confirmed), 'leader');
  });
});

describe('leader of four voters', () => {
  const electAmongFour = () => {
    const driver = createDriver(membershipLog('abcd'));
    runElection(driver, 'bd');
    driver.sync();
    assert.equal(roleOf(driver), 'leader');
    return driver;
  };

  it('counts a voter without the lost one only if it answered after the loss was known', () => {
    const driver = electAmongFour();
    driver.ack('b', 2);
    driver.ack('c', 0, 'c-new');
    assert.equal(commitIndexOf(driver), 0, 'the answer of b may be older than its own loss');
    driver.advance(heartbeatMs);
    driver.ack('b', 2, 'b-0', 2);
    assert.equal(commitIndexOf(driver), 2);
  });

  it('confirms a read without the lost voter', () => {
    const driver = electAmongFour();
    driver.ack('b', 2);
    driver.ack('d', 2);
    driver.ack('c', 0, 'c-new');
    driver.step({ type: 'read', id: 7 });
    const answer = { type: 'appendAnswer', term: 2, success: true, matchIndex: 2 } as const;
    const effects = driver.step({
      type: 'answer',
      from: sender('b'),
      to: sender('b'),
      message: { ...answer, round: 2 },
    });
    assert.ok(effects.some(({ type }) => type === 'readConfirmed'));
  });

  // Guards against a committed removal that the members before it do not know of: without a voter
  // that lost its folder, they would be a quorum of the old membership.
  it('commits a removal only with a quorum of the members before it', () => {
    const driver = electAmongFour();
    ['b', 'c', 'd'].forEach((name) => driver.ack(name, 2));
    assert.equal(changeMembers(driver, 'remove', 'd')?.type, 'proposed');
    driver.sync();
    driver.ack('c', 3);
    assert.equal(commitIndexOf(driver), 2);
    driver.ack('d', 3);
    assert.equal(commitIndexOf(driver), 3);
  });

  // Guards against a late request from a folder that was lost before the listed one was created.
  it('replaces a voter by another incarnation only if its folder is known to be lost', () => {
    const driver = electAmongFour();
    ['b', 'c', 'd'].forEach((name) => driver.ack(name, 2));
    const refused = { type: 'refused', id: 1, reason: 'still_listed' };
    assert.deepEqual(changeMembers(driver, 'add', 'c', 'c-new'), refused);
    driver.ack('c', 0, 'c-new');
    assert.equal(changeMembers(driver, 'add', 'c', 'c-new')?.type, 'proposed');
  });

  it('repeats the membership after a change of the voters, and then no more', () => {
    const driver = electAmongFour();
    ['b', 'c', 'd'].forEach((name) => driver.ack(name, 2));
    changeMembers(driver, 'remove', 'd');
    const memberships: number[] = [];
    const record = (effects: readonly ReplicaEffect[]) =>
      effects.forEach((effect) => {
        const entries = effect.type === 'persist' ? (effect.entries ?? []) : [];
        memberships.push(
          ...entries.filter(({ kind }) => kind === 'membership').map((e) => e.index),
        );
      });
    for (let round = 2; round < 6; round += 1) {
      driver.sync();
      ['b', 'c', 'd'].forEach((name) => driver.ack(name, lastIndexOf(driver), `${name}-0`, round));
      record(driver.advance(heartbeatMs));
    }
    assert.deepEqual(memberships, [4]);
  });

  // Guards against a transfer whose target loses the election, since the voters hold a later entry.
  it('changes no members by itself while it transfers its leadership', () => {
    const driver = electAmongFour();
    ['b', 'c', 'd'].forEach((name) => driver.ack(name, 2));
    changeMembers(driver, 'remove', 'd');
    driver.sync();
    ['b', 'c', 'd'].forEach((name) => driver.ack(name, 3));
    driver.step({ type: 'transfer' });
    driver.advance(heartbeatMs);
    assert.equal(lastIndexOf(driver), 3);
  });

  // Guards against an operator, or a test, that takes a promoted voter for one that counts: if the leader
  // is lost before a quorum has the repeated membership, the members before the promotion are needed.
  it('lists a promoted voter as a learner until a quorum has the repeated membership', () => {
    const driver = createDriver(membershipLog('ab', 'abc'));
    runElection(driver, 'b');
    driver.sync();
    const kindOfC = () =>
      driver.core.queries.status().settledMembers.find(({ name }) => name === 'c')?.kind;
    driver.ack('b', 3);
    driver.ack('c', 3);
    assert.deepEqual([commitIndexOf(driver), kindOfC()], [3, 'learner']);
    driver.advance(heartbeatMs);
    driver.sync();
    assert.deepEqual([lastIndexOf(driver), kindOfC()], [4, 'learner']);
    driver.ack('c', 4);
    assert.deepEqual([commitIndexOf(driver), kindOfC()], [4, 'voter']);
  });

  it('has the role of a learner until its log repeats the membership that made it a voter', () => {
    assert.equal(roleOf(createDriver(membershipLog('bc', 'abc'))), 'learner');
    assert.equal(roleOf(createDriver(membershipLog('bc', 'abc', 'abc'))), 'follower');
  });

  it('counts changes as stored on few disks until the addition of a voter is confirmed', () => {
    const driver = createDriver(membershipLog('a', 'ab'));
    runElection(driver, 'b');
    assert.equal(driver.core.queries.status().confirmedVoters, 1);
    driver.sync();
    driver.ack('b', lastIndexOf(driver));
    driver.advance(heartbeatMs);
    assert.equal(driver.core.queries.status().confirmedVoters, 2);
  });
});

describe('leader of two voters', () => {
  it('commits nothing that its last member has not stored, when a third is added', () => {
    const driver = elect(createDriver(membershipLog('ab')));
    driver.ack('b', 2);
    changeMembers(driver, 'add', 'c');
    driver.sync();
    driver.ack('b', 3);
    driver.ack('c', 3);
    driver.advance(heartbeatMs);
    driver.sync();
    assert.equal(lastIndexOf(driver), 4, 'c is promoted');
    driver.ack('c', 4);
    assert.equal(commitIndexOf(driver), 3);
    driver.ack('b', 4);
    assert.equal(commitIndexOf(driver), 4);
  });

  it('goes on alone after the other one has lost its folder, and readmits it', () => {
    const driver = createDriver(membershipLog('ab'));
    runElection(driver, '', 'b');
    assert.equal(roleOf(driver), 'leader');
    driver.sync();
    for (let round = 0; round < 12; round += 1) {
      driver.advance(heartbeatMs);
      driver.sync();
    }
    const listed = driver.core.queries.status().members.find(({ name }) => name === 'b');
    assert.deepEqual([listed?.incarnation, listed?.kind], ['b-new', 'learner']);
  });
});
