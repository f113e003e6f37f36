import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createParentChoice } from '../src/core/distribution/parentChoice.js';
import type { ParentHeartbeat } from '../src/core/distribution/parentHealth.js';
import type { FeedLink, LinkOutcome, ProbeResult } from '../src/plugins/distribution/feedClient.js';
import { createParentLoop } from '../src/plugins/distribution/parentLoop.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { createRandom } from './support/routingFixtures.js';

const controls = ['10.0.0.1:1', '10.0.0.2:1', '10.0.0.3:1'].map((address, index) => ({
  address,
  dataCentre: `dc-${index}`,
}));
const peers = ['10.0.1.1:1', '10.0.1.2:1'];
/** Behaviour of the other nodes: they feed what they have, redirect children or are not known. */
type PeerKind = 'feed' | 'redirect' | 'none';
const version = { term: 1, index: 5 };
/** The requirement is 3 s after the machines are back, of which 1 s is for starting processes. */
const attachLimitMs = 2_000;
/** A parent that does not answer is given up after this time, as in the real feed client. */
const welcomeTimeoutMs = 1_000;

/** A node has to apply a change within this time, also if its parent was cut off meanwhile. */
const applyLimitMs = 2_000;
const staleAgeMs = 60_000;

/**
 * A control instance answers nothing, is connected to the source (`slow`: and answers late), or is
 * cut off from it.
 */
type ControlState = 'off' | 'fresh' | 'slow' | 'stale';
const slowAnswerMs = 700;

const heartbeatOf = (address: string, state: ControlState): ParentHeartbeat => ({
  headVersion: version,
  confirmedAgeMs: state === 'stale' ? staleAgeMs : 0,
  path: [address],
  rootDataCentre:
    state === 'fresh' || state === 'slow'
      ? (controls.find((control) => control.address === address)?.dataCentre ?? '')
      : '',
});

const lost = (reason: string, isSilent: boolean): LinkOutcome => ({
  outcome: 'lost',
  reason,
  attached: false,
  isRefused: false,
  isSilent,
});

/** Resolves after the callbacks of all promises that are settled so far have run. */
const flushPromises = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

/** Simulates a node. All control instances are off until their state is set. */
const createSimulation = (seed: number, peerKind: PeerKind, known = controls) => {
  const timer = createManualTimer();
  const random = createRandom(seed);
  const states = new Map<string, ControlState>();
  const attempts: string[] = [];
  /** A peer that feeds others is not connected to a control instance. */
  const stateOf = (address: string): ControlState =>
    isControl(address) ? (states.get(address) ?? 'off') : 'stale';
  const isControl = (address: string) => controls.some((control) => control.address === address);
  const choice = createParentChoice({
    dataCentre: 'dc-0',
    ownAddress: '10.0.1.9:1',
    controls: known,
    peers: peerKind === 'none' ? [] : peers,
    random,
  });

  const createLink = (address: string): FeedLink => {
    let finish: (outcome: LinkOutcome) => void = () => undefined;
    const run = () =>
      new Promise<LinkOutcome>((resolve) => {
        attempts.push(address);
        if (stateOf(address) === 'off') {
          finish = resolve;
          timer.after(welcomeTimeoutMs, () => resolve(lost('silent', true)));
          return;
        }
        if (!isControl(address) && peerKind === 'redirect') {
          timer.after(1, () =>
            resolve({ outcome: 'redirected', addresses: [], retryAfterMs: 500 }),
          );
          return;
        }
        const sendHeartbeat = () => {
          const heartbeat = heartbeatOf(address, stateOf(address));
          if (loop.offer(link, heartbeat)) {
            loop.receiveHeartbeat(heartbeat);
          }
        };
        const answerMs = stateOf(address) === 'slow' ? slowAnswerMs : 1;
        let cancelHeartbeats: () => void = () => undefined;
        const cancelAnswer = timer.after(answerMs, () => {
          cancelHeartbeats = timer.every(500, sendHeartbeat);
          sendHeartbeat();
        });
        finish = (outcome) => {
          cancelAnswer();
          cancelHeartbeats();
          resolve(outcome);
        };
      });
    const link: FeedLink = {
      address,
      run,
      scheduleReport: () => undefined,
      change: () => undefined,
      end: (reason) => finish(lost(reason, false)),
    };
    return link;
  };

  const probe = async (address: string): Promise<ProbeResult | undefined> => {
    if (stateOf(address) === 'off') {
      await timer.sleep(welcomeTimeoutMs);
      return undefined;
    }
    const { headVersion, confirmedAgeMs, path, rootDataCentre } = heartbeatOf(
      address,
      stateOf(address),
    );
    const heartbeat = {
      headVersion: { term: BigInt(headVersion.term), index: BigInt(headVersion.index) },
      confirmedAgeMs: BigInt(confirmedAgeMs),
      path,
      rootDataCentre,
    };
    return { address, heartbeat } as unknown as ProbeResult;
  };

  const loop = createParentLoop({
    name: 'node',
    dataCentre: 'dc-0',
    choice,
    timer,
    log: createSilentLog(),
    random,
    newest: () => version,
    createLink,
    probe,
    pathChanged: () => undefined,
  });

  const advance = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 25) {
      timer.advance(25);
      await flushPromises();
    }
  };
  const setStates = (...next: ControlState[]) =>
    next.forEach((state, index) => states.set(controls[index]!.address, state));
  const attachedToControl = () => {
    const address = loop.link()?.address;
    return address !== undefined && isControl(address) && loop.rootDataCentre() !== '';
  };
  const waitUntil = async (isReached: () => boolean) => {
    let waitedMs = 0;
    while (!isReached() && waitedMs < 30_000) {
      await advance(25);
      waitedMs += 25;
    }
    return waitedMs;
  };
  return { loop, advance, attachedToControl, setStates, waitUntil, attempts };
};

/** Longest time to attach after an outage, over 20 seeds. */
const longestWaitMs = async (outageMs: number, peerKind: PeerKind) => {
  let longest = 0;
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = createSimulation(seed, peerKind);
    simulation.loop.start();
    await simulation.advance(outageMs);
    simulation.setStates('fresh', 'fresh', 'fresh');
    longest = Math.max(longest, await simulation.waitUntil(simulation.attachedToControl));
  }
  return longest;
};

// Guards against backoff delays that grew during an outage of all control instances and outlast it.
(['feed', 'redirect', 'none'] as const).forEach((peerKind) =>
  [1_500, 6_000, 40_000].forEach((outageMs) =>
    it(`attaches within 2 s after an outage of ${outageMs / 1_000} s, peers: ${peerKind}`, async () => {
      const waitedMs = await longestWaitMs(outageMs, peerKind);
      assert.ok(waitedMs <= attachLimitMs, `${waitedMs} ms`);
    }),
  ),
);

// Guards against a second subscription to a slow parent, which ends the first one there.
it('subscribes once to a parent that answers late if it knows no other', async () => {
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = createSimulation(seed, 'none', controls.slice(0, 1));
    simulation.setStates('slow');
    simulation.loop.start();
    const waitedMs = await simulation.waitUntil(simulation.attachedToControl);
    assert.deepEqual(simulation.attempts, [controls[0]!.address]);
    assert.ok(waitedMs < attachLimitMs, `seed ${seed}: ${waitedMs} ms`);
    await simulation.loop.stop();
  }
});

// Guards against a backoff that goes on growing while parents end one after the other.
it('attaches again within 2 s each time while its parents end after a short while', async () => {
  let longestMs = 0;
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = createSimulation(seed, 'none');
    simulation.setStates('fresh', 'fresh', 'fresh');
    simulation.loop.start();
    for (let parents = 0; parents < 10; parents += 1) {
      longestMs = Math.max(longestMs, await simulation.waitUntil(simulation.attachedToControl));
      await simulation.advance(1_500);
      simulation.loop.link()?.end('the parent ended the stream');
      await simulation.advance(25);
    }
    await simulation.loop.stop();
  }
  assert.ok(longestMs <= attachLimitMs, `${longestMs} ms`);
});

describe('a node whose parent is cut off from the source', () => {
  const seeds = Array.from({ length: 20 }, (_, index) => index + 1);
  const [own, second, third] = controls.map(({ address }) => address);

  /** Attaches to a control instance and stays there for 6 s, long enough to reset the backoff. */
  const attach = async (seed: number, states: readonly ControlState[]) => {
    const simulation = createSimulation(seed, 'none');
    simulation.setStates(...states);
    simulation.loop.start();
    await simulation.waitUntil(simulation.attachedToControl);
    await simulation.advance(6_000);
    return simulation;
  };

  // Guards against a reset of the backoff that forgets the better parent: the node went back to the
  // one that was cut off, and needed a second search.
  it('moves to a better parent at the first try after a long attachment', async () => {
    for (const seed of seeds) {
      const { setStates, waitUntil, loop, attempts } = await attach(seed, ['fresh', 'off', 'off']);
      setStates('stale', 'fresh', 'fresh');
      const before = attempts.length;
      await waitUntil(() => loop.rootDataCentre() !== '' && loop.link()?.address !== own);
      assert.ok(!attempts.slice(before).includes(own!), `seed ${seed}: ${attempts.join(' ')}`);
    }
  });

  // Guards against a wait of up to 18 s for the next search for a parent in the own data centre,
  // after a parent in another one was cut off.
  it('finds another one within 2 s, also if it was in another data centre', async () => {
    for (const seed of seeds) {
      const { setStates, waitUntil, loop } = await attach(seed, ['off', 'fresh', 'off']);
      assert.equal(loop.link()?.address, second);
      setStates('off', 'stale', 'fresh');
      const waitedMs = await waitUntil(
        () => loop.link()?.address === third && loop.rootDataCentre() !== '',
      );
      assert.ok(waitedMs <= applyLimitMs, `seed ${seed}: ${waitedMs} ms`);
    }
  });
});
