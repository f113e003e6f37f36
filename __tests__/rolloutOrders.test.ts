import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createConfigurationHistory,
  encodeDocument,
  type AppliedChange,
  type DocumentReader,
} from '../src/core/agreement/configurationHistory.js';
import { encodeRolloutOrder } from '../src/core/agreement/rolloutEntries.js';
import { defaultRolloutLimits } from '../src/core/rollouts/rolloutPlan.js';
import { readOrder, readServiceName } from '../src/platform/rolloutHandlers.js';
import { sanitizeName } from '../src/platform/documents.js';
import { parsePlatformSettings, toControlSettings } from '../src/platform/settings.js';
import { createRolloutDriver } from '../src/plugins/operators/rolloutDriver.js';
import { createRolloutOrders } from '../src/plugins/operators/rolloutOrders.js';
import type { ReplicaGroup, ReplicaRole } from '../src/types/internal.js';
import type { VersionOutcomes } from '../src/types/rollouts.js';
import { Failure } from '../src/utils/failure.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { createConfiguration } from './support/feedFleet.js';

const service = Object.keys(createConfiguration(['a']).services)[0]!;
const log = createSilentLog();

const readDocument: DocumentReader = (text) => {
  const [number, baseNumber, name] = text.split(' ');
  const configuration = createConfiguration([name!]);
  return { number: Number(number), baseNumber: Number(baseNumber), configuration };
};

const createReplica = () => {
  const history = createConfigurationHistory({ readDocument });
  let index = 0;
  const commit = (payload: Uint8Array) => {
    index += 1;
    return history.machine.apply({ term: 1, index, payload });
  };
  const put = (text: string) => {
    const [number, baseNumber] = text.split(' ').map(Number);
    const change = { changeId: text, text, number: number!, baseNumber: baseNumber! };
    return commit(encodeDocument({ ...change, proposedAtMs: 0 }));
  };
  return { history, commit, put };
};

/** A leader whose proposals are committed at once, unless `propose` does something else. */
const createLeader = (
  { history, commit }: ReturnType<typeof createReplica>,
  timer = createManualTimer(),
) => {
  const counts = new Map<string, VersionOutcomes>();
  const state = { role: 'leader' as ReplicaRole, confirmedAgeMs: 0 };
  const commitNow = async (payload: Uint8Array) => ({
    version: { term: 1, index: 0 },
    result: commit(payload),
  });
  const fake = { propose: commitNow };
  const group: ReplicaGroup<AppliedChange> = {
    commands: {
      propose: (payload) => fake.propose(payload),
      changeMembers: async () => undefined,
      stop: async () => undefined,
    },
    queries: {
      role: () => state.role,
      leader: () => undefined,
      members: () => [],
      settledMembers: () => [],
      intactVoters: () => 0,
      confirmedVoters: () => 0,
      commitIndex: () => 0,
      confirmRead: async () => undefined,
      confirmedAgeMs: () => state.confirmedAgeMs,
      contactAgeMs: () => 0,
      matchIndex: () => 0,
    },
  };
  const common = { group, history, limits: defaultRolloutLimits, timer, log };
  const observe = () => undefined;
  const driver = createRolloutDriver({
    ...common,
    observe,
    source: { outcomes: () => [...counts.values()] },
  });
  const orders = createRolloutOrders({
    ...common,
    observe,
    callsPerSecond: driver.queries.callsPerSecond,
    minVoters: 0,
  });
  const count = (version: string, calls: number, failures = 0) => {
    const before = counts.get(version);
    counts.set(version, {
      service,
      version,
      className: 'class-a',
      calls: (before?.calls ?? 0) + calls,
      failures: (before?.failures ?? 0) + failures,
      totalMs: (before?.totalMs ?? 0) + 100 * (calls - failures),
    });
  };
  /** Lets time pass while both versions answer calls. */
  const run = async (ms: number, failing = 0) => {
    for (let passed = 0; passed < ms; passed += 100) {
      count('v1', 20);
      count('v2', 2, 2 * failing);
      timer.advance(100);
      await new Promise((resolve) => {
        setImmediate(resolve);
      });
    }
  };
  const order = (targetVersion = 'v2', periodMs = 12_000) =>
    orders.commands.start({ service, targetVersion, periodMs }).then(({ outcome }) => outcome);
  const rollout = () => history.queries.head()?.rollouts?.[service];
  return { driver, orders, fake, state, run, order, rollout, commitNow, timer };
};

const createStarted = async () => {
  const replica = createReplica();
  replica.put('1 0 a');
  const leader = createLeader(replica);
  assert.equal(await leader.order(), 'accepted');
  return { replica, leader };
};

describe('rollouts in the configuration', () => {
  it('are kept across new documents and a restart from a snapshot', async () => {
    const { replica, leader } = await createStarted();
    replica.put('2 1 a');
    assert.equal(leader.rollout()?.state, 'running');
    const restored = createReplica();
    restored.history.machine.restore(replica.history.machine.snapshot());
    const [before, after] = [replica, restored].map(({ history }) => history.queries.head()!);
    assert.deepEqual(after!.configuration, before!.configuration);
    assert.deepEqual(after!.digest, before!.digest);
    assert.equal(after!.configuration.rollouts?.[service]?.targetVersion, 'v2');
  });

  // Guards against a replica whose memory of ended orders is lost with its restart.
  it('are acknowledged again after the end and a restart from a snapshot', async () => {
    const { replica, leader } = await createStarted();
    leader.driver.commands.start();
    await leader.run(2_000, 1);
    assert.equal(leader.rollout()?.state, 'rolled_back');
    const restored = createReplica();
    restored.history.machine.restore(replica.history.machine.snapshot());
    const successor = createLeader(restored, leader.timer);
    const { version } = restored.history.queries.head()!;
    assert.equal(await successor.order(), 'accepted');
    assert.deepEqual(restored.history.queries.head()!.version, version);
  });

  it('restore snapshots of earlier releases, which have none', () => {
    const { history, put } = createReplica();
    put('1 0 a');
    const content = JSON.parse(Buffer.from(history.machine.snapshot()).toString());
    delete content.endedOrders;
    const restored = createReplica();
    restored.history.machine.restore(Buffer.from(JSON.stringify(content)));
    assert.equal(restored.history.queries.head()!.rollouts, undefined);
  });
});

describe('orders of rollouts', () => {
  it('are accepted once and conflict with others', async () => {
    const { leader } = await createStarted();
    assert.equal(await leader.order(), 'accepted');
    assert.equal(await leader.order('v3'), 'conflict');
  });

  it('are applied once if both copies of a resent order are in the log', () => {
    const replica = createReplica();
    replica.put('1 0 a');
    const order = { service, targetVersion: 'v2', periodMs: 1, canaryShare: 0.1 };
    const results = [0, 1].map((proposedAtMs) =>
      replica.commit(encodeRolloutOrder({ ...order, proposedAtMs })),
    );
    assert.deepEqual(
      results.map(({ result, replayed }) => [result.outcome, replayed]),
      [
        ['accepted', false],
        ['unchanged', true],
      ],
    );
  });

  it('give one winner if two arrive at once', async () => {
    const replica = createReplica();
    replica.put('1 0 a');
    const leader = createLeader(replica);
    const outcomes = await Promise.all([leader.order('v2'), leader.order('v3')]);
    assert.deepEqual(outcomes, ['accepted', 'conflict']);
  });

  it('are acknowledged if resent after an answer was lost with the leader', async () => {
    const replica = createReplica();
    replica.put('1 0 a');
    const leader = createLeader(replica);
    leader.fake.propose = async (payload) => {
      await leader.commitNow(payload);
      throw new Failure('outcome_unknown');
    };
    assert.equal(await leader.order(), 'unknown');
    const successor = createLeader(replica);
    assert.equal(await successor.order(), 'accepted');
    assert.equal(await successor.order('v3'), 'conflict');
  });

  it('are unknown if no quorum stores them in time, and not refused', async () => {
    const replica = createReplica();
    replica.put('1 0 a');
    const leader = createLeader(replica);
    leader.fake.propose = () => new Promise<never>(() => {});
    const ordered = leader.order();
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    leader.timer.advance(3_500);
    assert.equal(await ordered, 'unknown');
  });

  it('are not handled by a follower or a leader without a quorum', async () => {
    const { leader } = await createStarted();
    leader.state.confirmedAgeMs = 5_000;
    assert.equal(await leader.order('v3'), 'not_here');
    leader.state.role = 'follower';
    assert.equal(await leader.order('v3'), 'not_here');
    assert.equal((await leader.orders.queries.read(service)).outcome, 'not_here');
  });

  it('need a configuration with the service', async () => {
    const replica = createReplica();
    const leader = createLeader(replica);
    assert.equal(await leader.order(), 'no_configuration');
    replica.put('1 0 a');
    const request = { service: 'other', targetVersion: 'v2', periodMs: 1 };
    assert.equal((await leader.orders.commands.start(request)).outcome, 'invalid');
  });

  it('are rejected with the name of each invalid field', () => {
    const fields = { service: 'alpha', target_version: 'v2', period_s: 12 };
    assert.deepEqual(readOrder(JSON.stringify(fields)), {
      service: 'alpha',
      targetVersion: 'v2',
      periodMs: 12_000,
    });
    const invalid = { service: '', target_version: 7, period_s: 0 };
    Object.entries(invalid).forEach(([field, value]) =>
      assert.throws(() => readOrder(JSON.stringify({ ...fields, [field]: value })), {
        reason: 'malformed_message',
        message: new RegExp(field),
      }),
    );
    assert.throws(() => readOrder('{'), { reason: 'malformed_message' });
    assert.equal(readServiceName('S%202'), sanitizeName('S 2'));
    assert.throws(() => readServiceName('%zz'), { reason: 'malformed_message' });
  });
});

describe('limits of rollouts', () => {
  const limitsOf = (bounds: string) => {
    const text = `node=n\nip=10.0.0.1\nzone=z\ninternal_ports=7380\nlimits.link_mbps=1\nbounds=${bounds}`;
    const settings = parsePlatformSettings(text, 'f');
    return toControlSettings(settings, 9464, () => settings).rollouts;
  };

  it('come from the bounds of the platform, or are those of its sample settings', () => {
    assert.deepEqual(limitsOf('drain_ms=2000'), defaultRolloutLimits);
    assert.deepEqual(limitsOf('exposure_share=0.05,exposure_slack=0,rollback_ms=4000'), {
      exposureShare: 0.05,
      exposureSlack: 0,
      rollbackMs: 4_000,
    });
  });
});

describe('the driver of rollouts', () => {
  it('completes a good version before the end of its period', async () => {
    const { leader } = await createStarted();
    leader.driver.commands.start();
    await leader.run(11_900);
    assert.equal(leader.rollout()?.state, 'completed');
  });

  it('rolls a bad version back, and blocks it in the next rollout', async () => {
    const { leader } = await createStarted();
    leader.driver.commands.start();
    await leader.run(1_500, 1);
    assert.equal(leader.rollout()?.state, 'rolled_back');
    assert.equal(await leader.order('v3'), 'accepted');
    assert.deepEqual(leader.rollout()?.blockedVersions, ['v2']);
  });

  // Guards against counts of the time before the order that are taken for those of the rollout.
  it('judges a version on the calls since it began to watch', async () => {
    const replica = createReplica();
    replica.put('1 0 a');
    const leader = createLeader(replica);
    leader.driver.commands.start();
    await leader.run(2_000, 1);
    await leader.order();
    await leader.run(2_000);
    assert.equal(leader.rollout()?.state, 'running');
  });

  [true, false].forEach((isCommitted) =>
    it(`goes on if the leader is lost in a step that was ${isCommitted ? '' : 'not '}committed`, async () => {
      const { replica, leader } = await createStarted();
      leader.driver.commands.start();
      leader.fake.propose = async (payload) => {
        leader.state.role = 'follower';
        if (isCommitted) {
          await leader.commitNow(payload);
        }
        throw new Failure('outcome_unknown');
      };
      await leader.run(10_600);
      assert.equal(leader.state.role, 'follower', 'the shift was proposed');
      assert.equal(leader.rollout()?.stage, isCommitted ? 'shift' : 'canary');
      const successor = createLeader(replica, leader.timer);
      successor.driver.commands.start();
      await successor.run(1_300);
      assert.equal(successor.rollout()?.state, isCommitted ? 'completed' : 'running');
    }),
  );

  it('takes no step while no quorum confirms the leader', async () => {
    const { leader } = await createStarted();
    leader.driver.commands.start();
    leader.state.confirmedAgeMs = 5_000;
    await leader.run(2_000, 1);
    assert.equal(leader.rollout()?.state, 'running');
  });
});
