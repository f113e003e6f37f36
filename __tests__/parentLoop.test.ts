import assert from 'node:assert/strict';
import { it } from 'node:test';
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

const heartbeatOf = (path: readonly string[], isRooted: boolean): ParentHeartbeat => ({
  headVersion: version,
  confirmedAgeMs: isRooted ? 0 : 60_000,
  path,
  rootDataCentre: isRooted ? 'dc-0' : '',
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

/** Simulates a node while the control instances have no power until it is restored. */
const createSimulation = (seed: number, peerKind: PeerKind) => {
  const timer = createManualTimer();
  const random = createRandom(seed);
  let isPowered = false;
  const isControl = (address: string) => controls.some((control) => control.address === address);
  const choice = createParentChoice({
    dataCentre: 'dc-0',
    ownAddress: '10.0.1.9:1',
    controls,
    peers: peerKind === 'none' ? [] : peers,
    random,
  });

  const createLink = (address: string): FeedLink => {
    let finish: (outcome: LinkOutcome) => void = () => undefined;
    const run = () =>
      new Promise<LinkOutcome>((resolve) => {
        if (isControl(address) && !isPowered) {
          timer.after(welcomeTimeoutMs, () => resolve(lost('silent', true)));
          return;
        }
        if (!isControl(address) && peerKind === 'redirect') {
          timer.after(1, () =>
            resolve({ outcome: 'redirected', addresses: [], retryAfterMs: 500 }),
          );
          return;
        }
        const sendHeartbeat = () =>
          loop.receiveHeartbeat(heartbeatOf([address], isControl(address)));
        timer.after(1, sendHeartbeat);
        const cancelHeartbeats = timer.every(500, sendHeartbeat);
        finish = (outcome) => {
          cancelHeartbeats();
          resolve(outcome);
        };
      });
    return {
      address,
      run,
      scheduleReport: () => undefined,
      change: () => undefined,
      end: (reason) => finish(lost(reason, false)),
    };
  };

  const probe = async (address: string): Promise<ProbeResult | undefined> => {
    if (isControl(address) && !isPowered) {
      await timer.sleep(welcomeTimeoutMs);
      return undefined;
    }
    const { headVersion, confirmedAgeMs, path, rootDataCentre } = heartbeatOf(
      [address],
      isControl(address),
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
  const restorePower = () => {
    isPowered = true;
  };
  const attachedToControl = () => {
    const address = loop.link()?.address;
    return address !== undefined && isControl(address) && loop.rootDataCentre() !== '';
  };
  return { loop, advance, attachedToControl, restorePower };
};

/** Longest time to attach after an outage, over 20 seeds. */
const longestWaitMs = async (outageMs: number, peerKind: PeerKind) => {
  let longest = 0;
  for (let seed = 1; seed <= 20; seed += 1) {
    const simulation = createSimulation(seed, peerKind);
    simulation.loop.start();
    await simulation.advance(outageMs);
    simulation.restorePower();
    let waitedMs = 0;
    while (!simulation.attachedToControl() && waitedMs < 30_000) {
      await simulation.advance(25);
      waitedMs += 25;
    }
    longest = Math.max(longest, waitedMs);
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
