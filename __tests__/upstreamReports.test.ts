import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLocalUpstream } from '../src/plugins/calls/localUpstream.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import {
  createUpstreamAnnouncement,
  type UpstreamReport,
} from '../src/plugins/calls/upstreamAnnouncement.js';
import type { Endpoint } from '../src/types/public.js';
import { createSilentLog, type Log } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { createMemoryEnds, type MemoryEnds } from './support/memoryEnds.js';

const report = (fields: Partial<UpstreamReport> = {}): UpstreamReport => ({
  service: 's',
  address: '127.0.0.1:1',
  slots: 4,
  connections: 8,
  state: 'ready',
  instance: 'e-1',
  startedAt: 1_000,
  sequence: 1,
  ...fields,
});

const createFixture = (
  startMs = 0,
  ends: MemoryEnds = createMemoryEnds(),
  log: Log = createSilentLog(),
) => {
  const timer = createManualTimer(startMs);
  const announced: Endpoint[] = [];
  const withdrawn: string[] = [];
  const upstream = createLocalUpstream(timer, nativeCallInterface.upstreams, () => 0.5);
  const announcement = createUpstreamAnnouncement({
    node: { name: 'n', dataCentre: 'd', region: 'r' },
    forwardAddress: () => '127.0.0.1:2',
    announcer: {
      announce: (endpoint) => announced.push(endpoint),
      withdraw: (id) => withdrawn.push(id),
    },
    renewWithinMs: 4_500,
    ends,
    upstream,
    timer,
    log,
  });
  announcement.start();
  return { timer, announced, withdrawn, upstream, announcement };
};

const answerOfStore = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('the handler of reports of an upstream', () => {
  it('does not restore an endpoint by a report that arrives after its deregistration', () => {
    const { announcement, upstream, announced, withdrawn } = createFixture();
    announcement.apply(report());
    announcement.deregister('e-1', undefined);
    assert.equal(announcement.apply(report({ sequence: 5 })), 'ended');
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.deepEqual([announced.length, withdrawn], [1, ['e-1']]);
  });

  it('rejects a report of a process that was deregistered first, as after a restart', () => {
    const { announcement, upstream } = createFixture();
    announcement.deregister('e-1', 1_000);
    assert.equal(announcement.apply(report()), 'ended');
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.equal(announcement.apply(report({ startedAt: 1_001 })), 'applied');
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
  });

  it('ignores reports of an earlier process and reports with an older number', () => {
    const { announcement, upstream } = createFixture();
    announcement.apply(report({ sequence: 7 }));
    assert.equal(announcement.apply(report({ sequence: 6, state: 'leaving' })), 'superseded');
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    announcement.apply(report({ instance: 'e-2', startedAt: 2_000, service: 't' }));
    assert.equal(announcement.apply(report({ sequence: 9 })), 'superseded');
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.equal(upstream.queries.hasFreeSlot('t'), true);
  });

  it('accepts a new process with the same id, whose report numbers start again', () => {
    const { announcement, upstream, withdrawn } = createFixture();
    announcement.apply(report({ sequence: 90 }));
    announcement.apply(report({ sequence: 91, state: 'leaving' }));
    assert.equal(announcement.apply(report({ startedAt: 3_000, sequence: 1 })), 'applied');
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    assert.deepEqual(withdrawn, ['e-1']);
  });

  it('waits for a second report of an upstream that started before this process', async () => {
    const { announcement, upstream } = createFixture(50_000);
    announcement.apply(report({ sequence: 7 }));
    await answerOfStore();
    assert.equal(upstream.queries.hasFreeSlot('s'), false, 'it may have ended meanwhile');
    announcement.apply(report({ sequence: 6 }));
    assert.equal(upstream.queries.hasFreeSlot('s'), false, 'another delayed report');
    announcement.apply(report({ sequence: 8 }));
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    const other = createFixture(50_000);
    other.announcement.apply(report({ sequence: 7 }));
    await answerOfStore();
    other.announcement.apply(report({ sequence: 9, state: 'leaving' }));
    other.announcement.apply(report({ sequence: 8 }));
    assert.equal(other.upstream.queries.hasFreeSlot('s'), false);
  });

  it('withdraws the endpoint of an upstream that stops reporting', () => {
    const { announcement, timer, withdrawn } = createFixture();
    announcement.apply(report());
    timer.advance(4_000);
    assert.deepEqual(withdrawn, []);
    timer.advance(1_500);
    assert.deepEqual(withdrawn, ['e-1']);
  });

  it('refuses a call for a service other than the current one of the upstream', () => {
    const { announcement, upstream } = createFixture();
    announcement.apply(report({ service: 't' }));
    const failures: string[] = [];
    upstream.commands.send(
      {
        attemptId: 'a',
        requestId: 'r',
        className: 'c',
        service: 's',
        caller: 'x',
        priority: 1,
        rank: 0,
        maxWaitMs: 0,
        method: 'GET',
        path: '/',
        headers: [],
        body: { kind: 'none' },
        deadlineAt: 1_000,
        headTimeoutMs: 1_000,
      },
      {
        onHead: () => undefined,
        onData: () => true,
        onEnd: () => undefined,
        onFailure: ({ reason, run }) => failures.push(`${reason} ${run}`),
      },
    );
    assert.deepEqual(failures, ['no_upstream not_run']);
  });
});

describe('a node that has acknowledged the end of its upstream and restarts', () => {
  type Report = Partial<UpstreamReport>;

  /** Lets the node acknowledge an end, restarts it, and returns the announcement after it. */
  const restartAfter = async (
    end: (announcement: ReturnType<typeof createFixture>['announcement']) => void,
    ends = createMemoryEnds(),
  ) => {
    const before = createFixture(0, ends);
    before.announcement.apply(report({ sequence: 3 }));
    end(before.announcement);
    await before.announcement.endsStored();
    return createFixture(50_000, ends);
  };

  const applyLate = async (
    { announcement }: ReturnType<typeof createFixture>,
    reports: readonly Report[],
  ) => {
    for (const late of reports) {
      announcement.apply(report(late));
      await answerOfStore();
    }
  };

  // Guards against requests that reach an upstream seconds after its end was acknowledged.
  it('ignores late reports from before the deregistration, however many', async () => {
    const restarted = await restartAfter(({ deregister }) => deregister('e-1', 1_000));
    await applyLate(restarted, [{ sequence: 4 }, { sequence: 5 }, { sequence: 6 }]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), false);
    assert.deepEqual(restarted.announced, []);
  });

  it('ignores late reports from before the upstream reported that it leaves', async () => {
    const restarted = await restartAfter(({ apply }) =>
      apply(report({ sequence: 9, state: 'leaving' })),
    );
    await applyLate(restarted, [{ sequence: 7 }, { sequence: 8 }]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), false);
  });

  it('ignores late reports of an upstream whose deregistration did not name its process', async () => {
    const restarted = createFixture(50_000);
    restarted.announcement.deregister('e-1', undefined);
    await applyLate(restarted, [{ sequence: 7 }, { sequence: 8 }]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), false);
  });

  it('ignores late reports of the later one of two upstreams that have ended', async () => {
    const restarted = await restartAfter(({ apply, deregister }) => {
      deregister('e-1', 1_000);
      apply(report({ instance: 'e-2', startedAt: 20_000 }));
      deregister('e-2', 20_000);
    });
    await applyLate(restarted, [
      { sequence: 4, state: 'leaving' },
      { instance: 'e-2', startedAt: 20_000, sequence: 2 },
      { instance: 'e-2', startedAt: 20_000, sequence: 3 },
    ]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), false);
  });

  it('uses the next process of the upstream, also under the same id', async () => {
    const restarted = await restartAfter(({ deregister }) => deregister('e-1', 1_000));
    await applyLate(restarted, [
      { startedAt: 30_000, sequence: 1 },
      { startedAt: 30_000, sequence: 2 },
    ]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), true);
  });

  // Guards against an upstream that is ignored for good if its clock was set back before it started
  // under the id of the one that has ended.
  it('forgets ends that it acknowledged before once no report from then can arrive', async () => {
    const restarted = await restartAfter(({ deregister }) => deregister('e-1', 1_000));
    await applyLate(restarted, [
      { startedAt: 900, sequence: 1 },
      { startedAt: 900, sequence: 2 },
    ]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), false);
    restarted.timer.advance(10_001);
    await applyLate(restarted, [{ startedAt: 900, sequence: 3 }]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), true);
  });

  // Guards against an endpoint that stays unused while no control instance can be reached.
  it('waits for the ends that it acknowledged as long as a report can be late', async () => {
    const ends = createMemoryEnds();
    ends.setReachable(false);
    const restarted = createFixture(50_000, ends);
    await applyLate(restarted, [{ sequence: 4 }, { sequence: 5 }, { sequence: 6 }]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), false);
    restarted.timer.advance(10_001);
    await applyLate(restarted, [{ sequence: 12 }]);
    assert.equal(restarted.upstream.queries.hasFreeSlot('s'), true);
  });

  it('does not acknowledge an end that is not stored, and sends no more calls', async () => {
    const ends = createMemoryEnds();
    const { announcement, upstream } = createFixture(0, ends);
    announcement.apply(report());
    ends.setReachable(false);
    announcement.deregister('e-1', 1_000);
    await assert.rejects(announcement.endsStored(), /no quorum/);
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    ends.setReachable(true);
    announcement.deregister('e-1', 1_000);
    await announcement.endsStored();
    assert.deepEqual(
      ends.marks.map(({ endpoint }) => endpoint),
      ['e-1'],
    );
  });

  it('stores each end once, although an upstream that leaves repeats its report', async () => {
    const ends = createMemoryEnds();
    const { announcement } = createFixture(0, ends);
    for (let sequence = 1; sequence < 5; sequence += 1) {
      announcement.apply(report({ sequence, state: 'leaving' }));
      await announcement.endsStored();
    }
    announcement.deregister('e-1', 1_000);
    await announcement.endsStored();
    assert.equal(ends.marks.length, 2);
  });
});

describe('a wrong report about an upstream', () => {
  const heartbeatMs = 1_500;

  /** Applies reports of the sound upstream at its heartbeats for a time. */
  const goOn = (
    { timer, announcement }: ReturnType<typeof createFixture>,
    forMs: number,
    fields: Partial<UpstreamReport> = {},
  ) => {
    const outcomes: string[] = [];
    const from = timer.now();
    for (let elapsed = heartbeatMs; elapsed <= forMs; elapsed += heartbeatMs) {
      timer.advance(heartbeatMs);
      const sequence = 2 + Math.round((from + elapsed) / heartbeatMs);
      outcomes.push(announcement.apply(report({ sequence, ...fields })));
    }
    return outcomes;
  };

  const wrongReports: Readonly<Record<string, Partial<UpstreamReport>>> = {
    'of another instance': { instance: 'w-1', startedAt: 90_000 },
    'of another instance that leaves': { instance: 'w-1', startedAt: 90_000, state: 'leaving' },
    'with a number far ahead': { sequence: 1_000_000 },
    'with a start in the future': { startedAt: 86_000_000, sequence: 1 },
  };
  Object.entries(wrongReports).forEach(([what, fields]) => {
    // Guards against a sound upstream whose reports are ignored, and acknowledged, for good.
    it(`${what} does not end the use of the sound one for good`, () => {
      const fixture = createFixture();
      fixture.announcement.apply(report());
      goOn(fixture, 6_000);
      fixture.announcement.apply(report(fields));
      const outcomes = goOn(fixture, 15_000);
      assert.equal(outcomes[0], 'superseded');
      assert.equal(outcomes.at(-1), 'applied');
      assert.equal(fixture.upstream.queries.hasFreeSlot('s'), true);
      assert.equal(fixture.announced.at(-1)?.id, 'e-1');
      assert.equal(fixture.announcement.isAnnounced(), true);
    });
  });

  // Guards against a deregistration that covers every process which starts before the one it names.
  it('that deregisters a later process does not end the use of the sound one for good', () => {
    const fixture = createFixture();
    fixture.announcement.apply(report());
    fixture.announcement.deregister('e-1', 80_000_000);
    assert.equal(fixture.upstream.queries.hasFreeSlot('s'), false);
    assert.equal(goOn(fixture, 15_000).at(-1), 'applied');
    assert.equal(fixture.upstream.queries.hasFreeSlot('s'), true);
  });

  // Guards against a deregistration without a start, or one after a wrong report, that shuts out every
  // later process of the upstream whose clock shows an earlier time.
  const laterEnds: Readonly<Record<string, number>> = {
    'of a process whose clock was ahead': 9_000,
    'after a report with a start in the future': 80_000_000,
  };
  Object.entries(laterEnds).forEach(([what, startedAt]) => {
    it(`that deregisters without a start, ${what}, does not shut out the next process for good`, () => {
      const fixture = createFixture();
      fixture.announcement.apply(report({ startedAt }));
      fixture.announcement.deregister('e-1', undefined);
      const outcomes = goOn(fixture, 15_000, { startedAt: 5_100 });
      assert.notEqual(outcomes[0], 'applied');
      assert.equal(outcomes.at(-1), 'applied');
      assert.equal(fixture.upstream.queries.hasFreeSlot('s'), true);
    });
  });

  it('that deregisters an upstream not heard of does not shut out the next process for good', () => {
    const fixture = createFixture(50_000);
    fixture.announcement.deregister('e-1', undefined);
    const outcomes = goOn(fixture, 15_000, { startedAt: 49_500 });
    assert.notEqual(outcomes[0], 'applied');
    assert.equal(outcomes.at(-1), 'applied');
  });

  // Guards against an end that counts for the wrong process only, so that the upstream which has
  // ended is used again.
  it('does not keep a process in use that deregisters without its start', () => {
    const fixture = createFixture();
    fixture.announcement.apply(report());
    fixture.announcement.apply(report({ startedAt: 90_000 }));
    goOn(fixture, 3_000);
    fixture.announcement.deregister('e-1', undefined);
    assert.deepEqual(new Set(goOn(fixture, 40_000)), new Set(['ended']));
    assert.equal(fixture.upstream.queries.hasFreeSlot('s'), false);
  });

  it('does not bring back a process that has said that it ended, however long it reports', () => {
    [1_000, undefined].forEach((startedAt) => {
      const fixture = createFixture();
      fixture.announcement.apply(report());
      fixture.announcement.deregister('e-1', startedAt);
      assert.deepEqual(new Set(goOn(fixture, 40_000)), new Set(['ended']));
      assert.equal(fixture.upstream.queries.hasFreeSlot('s'), false);
    });
  });

  // Guards against an end that is acknowledged and ignored, after a clock that was set back.
  it('is believed that it leaves once the newest process is silent, and not before', () => {
    const fixture = createFixture();
    const { announcement, upstream, timer } = fixture;
    announcement.apply(report({ startedAt: 9_000 }));
    const leaving = report({ startedAt: 5_100, sequence: 2, state: 'leaving' });
    assert.equal(announcement.apply(leaving), 'superseded');
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    timer.advance(4_501);
    assert.equal(announcement.apply({ ...leaving, sequence: 5 }), 'applied');
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.equal(announcement.apply(report({ startedAt: 9_000, sequence: 9 })), 'applied');
    assert.equal(upstream.queries.hasFreeSlot('s'), true, 'the newest process was alive');
  });

  // Guards against lines that repeat with each heartbeat.
  it('is logged once for each process', () => {
    const lines: string[] = [];
    const record = (message: string) => lines.push(message);
    const log: Log = { ...createSilentLog(), info: record, warn: record };
    const fixture = createFixture(0, createMemoryEnds(), log);
    fixture.announcement.apply(report());
    fixture.announcement.apply(report({ instance: 'w-1', startedAt: 90_000 }));
    goOn(fixture, 15_000);
    const ignored = lines.filter((line) => line.includes('superseded report'));
    const adopted = lines.filter((line) => line.includes('went on'));
    assert.deepEqual([ignored.length, adopted.length], [1, 1]);
  });
});
