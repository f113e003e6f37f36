import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createSilence } from '../src/core/distribution/silence.js';
import {
  createFeedLink,
  silenceTimeoutMs,
  type LinkOutcome,
} from '../src/plugins/distribution/feedClient.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer } from '../src/utils/timer.js';
import { access } from './support/feedFleet.js';
import { startFakeParent } from './support/fakeParent.js';
import { startFaultProxy } from './support/faultProxy.js';
import { waitFor } from './support/waitFor.js';

const limitMs = 1_000;

const createClock = () => {
  let now = 0;
  let idle = 0;
  return {
    now: () => now,
    idleMs: () => idle,
    /** Passes time, a share of which the process waits for events. */
    pass: (ms: number, idleShare: number) => {
      now += ms;
      idle += ms * idleShare;
    },
  };
};

describe('silence of a peer', () => {
  it('counts all time of a process that is idle', () => {
    const clock = createClock();
    const silence = createSilence(clock);
    clock.pass(limitMs, 1);
    assert.equal(silence.queries.exceeds(limitMs), false);
    clock.pass(1, 1);
    assert.equal(silence.queries.exceeds(limitMs), true);
    silence.commands.reset();
    assert.equal(silence.queries.exceeds(limitMs), false);
  });

  it('counts no time of a process that is busy, up to a limit', () => {
    const clock = createClock();
    const silence = createSilence(clock);
    clock.pass(1.4 * limitMs, 0.2);
    assert.equal(silence.queries.exceeds(limitMs), false);
    clock.pass(0.2 * limitMs, 0.2);
    assert.equal(silence.queries.exceeds(limitMs), true);
  });

  it('lasts for all time, however busy the process is', () => {
    const clock = createClock();
    const silence = createSilence(clock);
    clock.pass(limitMs, 0);
    assert.equal(silence.queries.lasts(limitMs), false);
    clock.pass(1, 0);
    assert.equal(silence.queries.lasts(limitMs), true);
  });
});

describe('a subscription whose first message is late', () => {
  // Guards against a busy node that stays with a frozen parent while changes are accepted elsewhere.
  it('is given up by a busy process if the parent falls silent afterwards', async () => {
    const timer = createTimer();
    const parent = await startFakeParent();
    let welcomeAt = 0;
    const link = createFeedLink({
      address: parent.address,
      access,
      timer,
      log: createSilentLog(),
      random: () => 0.5,
      request: { subscriber: { cluster: 'test', name: 'child', role: 'node' } },
      handlers: {
        welcome: () => {
          welcomeAt = performance.now();
        },
        configuration: () => undefined,
        cluster: () => undefined,
        heartbeat: () => undefined,
      },
      reporter: { build: () => ({ report: {}, acknowledge: () => undefined }) },
      idleMs: () => 0,
    });
    const outcome = await link.run();
    const silentMs = performance.now() - welcomeAt;
    await parent.stop();
    timer.stop();
    assert.equal(outcome.outcome === 'lost' && outcome.isSilent, true);
    assert.ok(silentMs < 2 * silenceTimeoutMs, `${silentMs} ms`);
  });

  const subscribe = async (idleMs: () => number) => {
    const timer = createTimer();
    const parent = await startFakeParent();
    const proxy = await startFaultProxy({ target: parent.address, host: '127.0.0.1' });
    const delayMs = 1.3 * limitMs;
    proxy.set({ toClient: { delayMs } });
    let isWelcome = false;
    let outcome: LinkOutcome | undefined;
    const link = createFeedLink({
      address: proxy.address,
      access,
      timer,
      log: createSilentLog(),
      random: () => 0.5,
      request: { subscriber: { cluster: 'test', name: 'child', role: 'node' } },
      handlers: {
        welcome: () => {
          isWelcome = true;
        },
        configuration: () => undefined,
        cluster: () => undefined,
        heartbeat: () => undefined,
      },
      reporter: { build: () => ({ report: {}, acknowledge: () => undefined }) },
      idleMs,
    });
    const running = link.run().then((result) => {
      outcome = result;
    });
    await waitFor(() => isWelcome || outcome);
    link.end('end of the test');
    await running;
    await proxy.close();
    await parent.stop();
    timer.stop();
    return { isWelcome, outcome };
  };

  // Guards against nodes that start all at once and leave one parent after the other, because each
  // of them is too slow to read the first message within the limit.
  it('is kept by a process that had no time to wait for it', async () => {
    const { isWelcome } = await subscribe(() => 0);
    assert.equal(isWelcome, true);
  });

  it('is given up by a process that waited for it', async () => {
    const { isWelcome, outcome } = await subscribe(() => performance.now());
    assert.equal(isWelcome, false);
    assert.equal(outcome?.outcome === 'lost' && outcome.isSilent, true);
  });
});
