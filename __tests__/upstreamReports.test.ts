import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createLocalUpstream } from '../src/plugins/calls/localUpstream.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import {
  createUpstreamAnnouncement,
  type UpstreamReport,
} from '../src/plugins/calls/upstreamAnnouncement.js';
import type { Endpoint } from '../src/types/public.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';

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

const createFixture = (startMs = 0) => {
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
    upstream,
    timer,
    log: createSilentLog(),
  });
  announcement.start();
  return { timer, announced, withdrawn, upstream, announcement };
};

describe('the handler of reports of an upstream', () => {
  it('does not restore an endpoint by a report that arrives after its deregistration', () => {
    const { announcement, upstream, announced, withdrawn } = createFixture();
    announcement.apply(report());
    announcement.deregister('e-1', undefined);
    assert.equal(announcement.apply(report({ sequence: 5 })), false);
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.deepEqual([announced.length, withdrawn], [1, ['e-1']]);
  });

  it('rejects a report of a process that was deregistered first, as after a restart', () => {
    const { announcement, upstream } = createFixture();
    announcement.deregister('e-1', 1_000);
    assert.equal(announcement.apply(report()), false);
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.equal(announcement.apply(report({ startedAt: 1_001 })), true);
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
  });

  it('ignores reports of an earlier process and reports with an older number', () => {
    const { announcement, upstream } = createFixture();
    announcement.apply(report({ sequence: 7 }));
    assert.equal(announcement.apply(report({ sequence: 6, state: 'leaving' })), false);
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    announcement.apply(report({ instance: 'e-2', startedAt: 2_000, service: 't' }));
    assert.equal(announcement.apply(report({ sequence: 9 })), false);
    assert.equal(upstream.queries.hasFreeSlot('s'), false);
    assert.equal(upstream.queries.hasFreeSlot('t'), true);
  });

  it('accepts a new process with the same id, whose report numbers start again', () => {
    const { announcement, upstream, withdrawn } = createFixture();
    announcement.apply(report({ sequence: 90 }));
    announcement.apply(report({ sequence: 91, state: 'leaving' }));
    assert.equal(announcement.apply(report({ startedAt: 3_000, sequence: 1 })), true);
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    assert.deepEqual(withdrawn, ['e-1']);
  });

  it('waits for a second report of an upstream that started before this process', () => {
    const { announcement, upstream } = createFixture(50_000);
    announcement.apply(report({ sequence: 7 }));
    assert.equal(upstream.queries.hasFreeSlot('s'), false, 'it may have ended meanwhile');
    announcement.apply(report({ sequence: 6 }));
    assert.equal(upstream.queries.hasFreeSlot('s'), false, 'another delayed report');
    announcement.apply(report({ sequence: 8 }));
    assert.equal(upstream.queries.hasFreeSlot('s'), true);
    const other = createFixture(50_000);
    other.announcement.apply(report({ sequence: 7 }));
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
