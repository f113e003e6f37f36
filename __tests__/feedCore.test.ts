import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createBranches, leaseMs, type BranchReport } from '../src/core/distribution/branches.js';
import { createChildAdmission, maxChildren } from '../src/core/distribution/childAdmission.js';
import { applyChange, changeSince, digestEndpoints } from '../src/core/distribution/clusterLog.js';
import { createVersionFloors, floorTtlMs } from '../src/core/distribution/versionFloors.js';
import { createFreshness } from '../src/core/distribution/freshness.js';
import { createClusterSubscriptions } from '../src/core/distribution/clusterSubscriptions.js';
import { createParentChoice, maxBackoffMs } from '../src/core/distribution/parentChoice.js';
import { createParentHealth, staleParentMs } from '../src/core/distribution/parentHealth.js';
import { createRegistry, massRemovalHoldMs, settleMs } from '../src/core/distribution/registry.js';
import { maxLaggards, mergeStatuses } from '../src/core/distribution/subtreeStatus.js';
import { createSubtree } from '../src/core/distribution/subtree.js';
import { createUpwardReport } from '../src/core/distribution/upwardReport.js';
import { remoteRetentionMs } from '../src/plugins/distribution/controlExchange.js';
import type { Endpoint } from '../src/types/public.js';
import { checkProperty } from './support/arbitraries.js';
import { createEndpoint } from './support/feedFleet.js';

const emptyStatus = { counts: [], laggards: [] };

const setOf = (...endpoints: Endpoint[]): Map<string, Endpoint> =>
  new Map(endpoints.map((endpoint) => [endpoint.id, endpoint]));

const fullReport = (...endpoints: Endpoint[]): BranchReport => ({
  status: emptyStatus,
  announcements: endpoints,
  withdrawals: [],
  dropped: [],
  digest: digestEndpoints(endpoints),
  full: true,
});

const renewal = (...endpoints: Endpoint[]): BranchReport => ({
  ...fullReport(...endpoints),
  announcements: [],
  full: false,
});

const one = createEndpoint('one', 'lookup');
const two = createEndpoint('two', 'lookup');
const three = createEndpoint('three', 'lookup');
const four = createEndpoint('four', 'lookup');

describe('admission of children', () => {
  const parent = {
    path: ['control'],
    canFeed: true,
    countNodes: () => 0,
    isBehind: () => false,
  };
  const request = (name: string) => ({ name, address: `${name}:1`, role: 'node' as const });

  it('admits 16 children and redirects the others to them evenly', () => {
    const admission = createChildAdmission(0);
    const redirects = new Map<string, number>();
    for (let index = 0; index < maxChildren + 160; index += 1) {
      const decision = admission.commands.admitChild(request(`node-${index}`), parent, 0);
      assert.equal(decision.outcome, index < maxChildren ? 'admitted' : 'redirected');
      if (decision.outcome === 'redirected') {
        const first = decision.addresses[0] ?? '';
        redirects.set(first, (redirects.get(first) ?? 0) + 1);
      }
    }
    assert.equal(redirects.size, maxChildren);
    assert.deepEqual(new Set(redirects.values()), new Set([10]));
  });

  // Guards against redirects to a child that is frozen or slow, whose own children would be behind.
  it('redirects to children that are not behind, as long as there are any', () => {
    const admission = createChildAdmission(0);
    for (let index = 0; index < maxChildren; index += 1) {
      admission.commands.admitChild(request(`node-${index}`), parent, 0);
    }
    const redirectsWhile = (isBehind: (child: string) => boolean) => {
      const decision = admission.commands.admitChild(request('new'), { ...parent, isBehind }, 0);
      return decision.outcome === 'redirected' ? decision.addresses : [];
    };
    assert.deepEqual(
      redirectsWhile((child) => child !== 'node-7'),
      ['node-7:1'],
    );
    assert.equal(redirectsWhile(() => true).length, 3);
  });

  it('bounds the rate of admissions when children come and go', () => {
    const admission = createChildAdmission(0);
    let admitted = 0;
    for (let tick = 0; tick < 1_000; tick += 1) {
      const name = `node-${tick}`;
      if (admission.commands.admitChild(request(name), parent, tick * 10).outcome === 'admitted') {
        admitted += 1;
        admission.commands.release(name);
      }
    }
    assert.ok(admitted <= maxChildren + 80, `${admitted} children were admitted in 10 s`);
  });

  it('refuses a child that is on its own path, and all children while it cannot feed them', () => {
    const admission = createChildAdmission(0);
    const below = { ...parent, path: ['control', 'node-a', 'node-b'] };
    const idle = { ...parent, canFeed: false };
    assert.equal(admission.commands.admitChild(request('node-a'), below, 0).outcome, 'redirected');
    assert.equal(admission.commands.admitChild(request('node-c'), idle, 0).outcome, 'redirected');
  });

  it('admits a restarted child again although the parent is full', () => {
    const admission = createChildAdmission(0);
    for (let index = 0; index < maxChildren; index += 1) {
      admission.commands.admitChild(request(`node-${index}`), parent, 0);
    }
    const decision = admission.commands.admitChild(request('node-3'), parent, 0);
    assert.equal(decision.outcome, 'admitted');
  });
});

describe('choice of a parent', () => {
  const options = {
    dataCentre: 'dc-a',
    ownAddress: 'self:1',
    controls: [
      { address: 'control-a:1', dataCentre: 'dc-a' },
      { address: 'control-b:1', dataCentre: 'dc-b' },
    ],
    peers: ['peer-1:1', 'self:1'],
    random: () => 0.99,
  };

  it('starts with the own control instance and tries peers and others within six attempts', () => {
    const choice = createParentChoice(options);
    const tried = Array.from({ length: 6 }, () => choice.commands.chooseParent(0)?.address);
    assert.equal(tried[0], 'control-a:1');
    assert.deepEqual(new Set(tried), new Set(['control-a:1', 'peer-1:1', 'control-b:1']));
  });

  it('backs off exponentially with jitter, up to the limit', () => {
    const delays = (random: () => number) => {
      const choice = createParentChoice({ ...options, random });
      return Array.from({ length: 10 }, () => choice.commands.chooseParent(0)?.delayMs ?? 0);
    };
    const longest = delays(() => 1);
    assert.deepEqual(longest.slice(0, 4), [100, 200, 400, 800]);
    assert.equal(longest.at(-1), maxBackoffMs);
    assert.deepEqual(new Set(delays(() => 0)), new Set([0]));
  });

  it('follows redirects at once, limits their number and honours the retry delay', () => {
    const choice = createParentChoice(options);
    choice.commands.redirected(['peer-2:1'], 0, 0);
    assert.deepEqual(choice.commands.chooseParent(0), { address: 'peer-2:1', delayMs: 0 });
    for (let hop = 0; hop < 20; hop += 1) {
      choice.commands.redirected(['peer-2:1'], 1_000, 0);
    }
    const next = choice.commands.chooseParent(0);
    assert.equal((next?.delayMs ?? 0) >= 1_000, true);
  });

  it('skips a faulty parent while there is another one', () => {
    const choice = createParentChoice({ ...options, peers: [] });
    choice.commands.avoid('control-a:1', 0);
    assert.equal(choice.commands.chooseParent(0)?.address, 'control-b:1');
    choice.commands.avoid('control-b:1', 0);
    assert.notEqual(choice.commands.chooseParent(0), undefined);
  });
});

describe('health of a parent', () => {
  const heartbeat = { confirmedAgeMs: 0, path: ['control'], rootDataCentre: 'dc-a' };
  const at = (index: number) => ({ term: 1, index });

  it('leaves a parent whose path contains the node', () => {
    const health = createParentHealth('self', 'dc-a');
    const looped = { ...heartbeat, headVersion: at(1), path: ['other', 'self', 'parent'] };
    assert.equal(health.commands.evaluate(looped, at(1), 0), 'cycle');
  });

  it('leaves a parent that lags or went back to an older version, less often if all do', () => {
    const health = createParentHealth('self', 'dc-a');
    const behind = { ...heartbeat, headVersion: at(1) };
    assert.equal(health.commands.evaluate(behind, at(2), 0), 'keep');
    assert.equal(health.commands.evaluate(behind, at(2), 3_000), 'lags');
    health.commands.attached();
    assert.equal(health.commands.evaluate(behind, at(2), 4_000), 'keep');
    assert.equal(health.commands.evaluate(behind, at(2), 7_000), 'keep');
    assert.equal(health.commands.evaluate(behind, at(2), 10_000), 'lags');
  });

  it('searches for another parent when the current one is cut off or remote', () => {
    const health = createParentHealth('self', 'dc-a');
    health.commands.evaluate({ ...heartbeat, headVersion: at(1) }, at(1), 0);
    assert.equal(health.queries.searchReason(0), undefined);
    const old = { ...heartbeat, headVersion: at(1), confirmedAgeMs: staleParentMs + 1 };
    health.commands.evaluate(old, at(1), 0);
    assert.equal(health.queries.searchReason(0), 'detached');
    health.commands.evaluate(
      { ...heartbeat, headVersion: at(1), rootDataCentre: 'dc-b' },
      at(1),
      0,
    );
    assert.equal(health.queries.searchReason(0), 'foreign');
    const unrooted = { ...heartbeat, headVersion: at(1), rootDataCentre: '' };
    [0, 500, 999].forEach((now) => health.commands.evaluate(unrooted, at(1), now));
    assert.equal(health.queries.searchReason(999), undefined);
    assert.equal(health.queries.searchReason(1_000), 'detached');
  });

  // Guards against a search that starts only when the silent parent is given up.
  it('searches for another parent as soon as a heartbeat is overdue', () => {
    const health = createParentHealth('self', 'dc-a');
    health.commands.evaluate({ ...heartbeat, headVersion: at(1) }, at(1), 1_000);
    assert.equal(health.queries.searchReason(1_750), undefined);
    assert.equal(health.queries.searchReason(1_751), 'quiet');
    health.commands.evaluate({ ...heartbeat, headVersion: at(1) }, at(1), 1_800);
    assert.equal(health.queries.searchReason(1_800), undefined);
  });
});

describe('freshness', () => {
  it('adds the elapsed time to the age at the parent, in any order of confirmations', () => {
    const freshness = createFreshness();
    assert.equal(freshness.queries.isDetached(0), true);
    freshness.commands.confirm(2_000, 10_000);
    freshness.commands.confirm(9_000, 11_000);
    assert.equal(freshness.queries.ageMs(12_000), 4_000);
    assert.equal(freshness.queries.isDetached(18_000), false);
    assert.equal(freshness.queries.isDetached(18_001), true);
  });
});

describe('floors', () => {
  it('keep the highest version of a node for an hour, longer while it reports', () => {
    const floors = createVersionFloors();
    floors.commands.record({ name: 'node', version: { term: 2, index: 9 } }, 0);
    floors.commands.record({ name: 'node', version: { term: 1, index: 99 } }, 0);
    floors.commands.renew('node', 1_000);
    floors.commands.expire(floorTtlMs);
    assert.deepEqual(floors.queries.floorOf('node'), { term: 2, index: 9 });
    floors.commands.expire(floorTtlMs + 1_000);
    assert.equal(floors.queries.floorOf('node'), undefined);
  });
});

describe('leases of branches', () => {
  it('are renewed only by a report with the digest of the endpoints', () => {
    const branches = createBranches();
    assert.equal(branches.commands.applyReport('child', fullReport(one), 0), true);
    assert.equal(branches.commands.applyReport('child', renewal(one), leaseMs - 1), true);
    assert.deepEqual(branches.commands.expire(leaseMs), []);
    assert.equal(branches.commands.applyReport('child', renewal(two), leaseMs), false);
    assert.deepEqual(branches.commands.expire(2 * leaseMs - 1), ['child']);
    assert.equal(branches.queries.endpoints().size, 0);
  });

  it('survive a suspension of the parent itself', () => {
    const subtree = createSubtree(0);
    subtree.commands.applyReport('child', fullReport(one), [], 0);
    subtree.commands.tick(500);
    subtree.commands.tick(60_000);
    assert.equal(subtree.queries.state().endpoints.size, 1);
  });

  it('keep an endpoint whose node moves to another parent', () => {
    const branches = createBranches();
    branches.commands.applyReport('old parent', fullReport(one), 0);
    branches.commands.applyReport('new parent', fullReport(one), 5_000);
    branches.commands.expire(leaseMs);
    assert.equal(branches.queries.endpoints().has('one'), true);
  });
});

describe('withdrawals', () => {
  it('are not undone by an older record that arrives late through another branch', () => {
    const subtree = createSubtree(0);
    subtree.commands.applyReport('a', fullReport(one), [], 0);
    const withdrawn = { id: 'one', incarnation: 1, sequence: 2 };
    subtree.commands.applyReport('a', { ...renewal(), withdrawals: [withdrawn] }, [], 1);
    subtree.commands.applyReport('b', fullReport(one), [], 2);
    assert.equal(subtree.queries.state().endpoints.size, 0);
    subtree.commands.applyReport('b', fullReport(createEndpoint('one', 'lookup', 3)), [], 3);
    assert.equal(subtree.queries.state().endpoints.size, 1);
  });
});

describe('announcements', () => {
  it('bring back an endpoint that the same process withdrew before', () => {
    const subtree = createSubtree(0);
    subtree.commands.announce(one, 0);
    subtree.commands.withdraw('one', 1);
    subtree.commands.announce(one, 2);
    assert.equal(subtree.queries.state().endpoints.size, 0);
    subtree.commands.announce(createEndpoint('one', 'lookup', 2), 3);
    assert.equal(subtree.queries.state().endpoints.size, 1);
  });
});

describe('an endpoint that comes back after it was withdrawn', () => {
  const withdrawn = { id: 'one', incarnation: 2_000, sequence: 1 };

  it('is accepted again when the clock of its machine was set back meanwhile', () => {
    const subtree = createSubtree(0);
    subtree.commands.applyReport('a', fullReport({ ...one, incarnation: 2_000 }), [], 0);
    subtree.commands.applyReport('a', { ...fullReport(), withdrawals: [withdrawn] }, [], 1);
    subtree.commands.applyReport('a', fullReport({ ...one, incarnation: 1_000 }), [], 5_000);
    // By this time, every record of the earlier process has expired on all processes.
    subtree.commands.tick(5_000 + 2 * leaseMs);
    subtree.commands.applyReport('a', fullReport({ ...one, incarnation: 1_000 }), [], 25_001);
    assert.equal(subtree.queries.state().endpoints.size, 1);
  });

  it('is accepted again beside another node that started earlier', () => {
    const subtree = createSubtree(0);
    subtree.commands.applyReport('a', fullReport({ ...one, incarnation: 2_000 }), [], 0);
    subtree.commands.applyReport('a', { ...fullReport(), withdrawals: [withdrawn] }, [], 1);
    const elsewhere = { ...one, node: 'b', incarnation: 1_000 };
    subtree.commands.applyReport('b', fullReport(elsewhere), [], 25_000);
    assert.equal(subtree.queries.state().endpoints.size, 1);
  });

  it('stays withdrawn while records of a control instance that was lost are kept', () => {
    const subtree = createSubtree(0);
    subtree.commands.applyReport('a', { ...fullReport(), withdrawals: [withdrawn] }, [], 0);
    subtree.commands.tick(remoteRetentionMs - 1);
    assert.equal(subtree.queries.isWithdrawn({ ...one, incarnation: 2_000 }), true);
  });
});

describe('reports to the parent', () => {
  it('contain each change once, and the full state for a new parent', () => {
    const upward = createUpwardReport();
    const nodeVersions = [{ name: 'node', version: { term: 1, index: 1 } }];
    const state = { endpoints: setOf(one, two), withdrawals: [], nodeVersions };
    assert.equal(upward.queries.difference(state).announcements.length, 2);
    upward.commands.acknowledge(state);
    const quiet = upward.queries.difference(state);
    assert.equal(quiet.announcements.length + quiet.dropped.length + quiet.nodeVersions.length, 0);
    const next = { ...state, endpoints: setOf(two) };
    assert.deepEqual(upward.queries.difference(next).dropped, ['one']);
    upward.commands.reset();
    assert.equal(upward.queries.difference(next).full, true);
    assert.equal(upward.queries.difference(next).announcements.length, 1);
  });

  it('are bounded and keep the number of nodes exact when merged', () => {
    checkProperty(
      fc.property(
        fc.array(fc.nat({ max: 500 }), { minLength: 1, maxLength: 300, size: 'max' }),
        (indexes) => {
          const statuses = indexes.map((index, position) => {
            const version = { term: 1, index };
            const name = `node-${position}`;
            return {
              counts: [{ version, dataCentre: 'dc-a', nodes: 1 }],
              laggards: [{ name, dataCentre: 'dc-a', version, reason: 'test' }],
            };
          });
          const merged = mergeStatuses([mergeStatuses(statuses.slice(1)), ...statuses.slice(0, 1)]);
          assert.equal(
            merged.counts.reduce((sum, { nodes }) => sum + nodes, 0),
            indexes.length,
          );
          assert.equal(merged.laggards.length <= maxLaggards, true);
          assert.equal(merged.laggards[0]?.version.index, Math.min(...indexes));
        },
      ),
    );
  });
});

describe('registry', () => {
  const isWithdrawn = () => false;
  const settled = (...endpoints: Endpoint[]) => {
    const registry = createRegistry('registry', -settleMs);
    registry.commands.reconcile({ endpoints: setOf(...endpoints), isWithdrawn }, 0);
    return registry;
  };
  const idsOf = (registry: ReturnType<typeof createRegistry>) =>
    [...registry.queries.log('lookup').endpoints.keys()].sort();

  it('removes a single endpoint at once, and most of them only after the delay', () => {
    const registry = settled(one, two, three, four);
    registry.commands.reconcile({ endpoints: setOf(one, two, three), isWithdrawn }, 0);
    assert.deepEqual(idsOf(registry), ['one', 'three', 'two']);
    registry.commands.reconcile({ endpoints: setOf(), isWithdrawn }, 1_000);
    assert.equal(idsOf(registry).length, 3);
    registry.commands.reconcile({ endpoints: setOf(), isWithdrawn }, massRemovalHoldMs + 999);
    assert.equal(idsOf(registry).length, 3);
    registry.commands.reconcile({ endpoints: setOf(), isWithdrawn }, massRemovalHoldMs + 1_000);
    assert.equal(idsOf(registry).length, 0);
  });

  it('removes withdrawn endpoints at once, however many there are', () => {
    const registry = settled(one, two, three, four);
    registry.commands.reconcile({ endpoints: setOf(), isWithdrawn: () => true }, 0);
    assert.equal(idsOf(registry).length, 0);
  });

  it('does not remove endpoints from nodes just after its start', () => {
    const before = settled(one, two);
    const clusters = createClusterSubscriptions();
    clusters.commands.setServices(new Set(['lookup']));
    const fetch = (registry: ReturnType<typeof createRegistry>) => {
      const log = clusters.queries.log('lookup');
      const cursor = {
        service: 'lookup',
        registry: log?.registry ?? '',
        revision: log?.settling === false ? log.revision : 0,
      };
      const change = changeSince(registry.queries.log('lookup'), cursor);
      return change && clusters.commands.receive(change);
    };
    fetch(before);
    const restarted = createRegistry('another registry', 0);
    restarted.commands.reconcile({ endpoints: setOf(one), isWithdrawn }, 1);
    assert.equal(fetch(restarted), 'applied');
    assert.deepEqual([...(clusters.queries.log('lookup')?.endpoints.keys() ?? [])], ['one', 'two']);
    restarted.commands.reconcile({ endpoints: setOf(one), isWithdrawn }, settleMs);
    assert.equal(fetch(restarted), 'applied');
    assert.deepEqual([...(clusters.queries.log('lookup')?.endpoints.keys() ?? [])], ['one']);
  });

  it('assigns revisions so that any subscriber reaches the newest set by deltas', () => {
    const steps = fc.array(fc.subarray([one, two, three, four]), { maxLength: 12, size: 'max' });
    checkProperty(
      fc.property(steps, fc.nat({ max: 12 }), (sets, stale) => {
        const registry = createRegistry('registry', -settleMs);
        const clusters = createClusterSubscriptions();
        clusters.commands.setServices(new Set(['lookup']));
        sets.forEach((set, step) => {
          const endpoints = setOf(...set);
          registry.commands.reconcile({ endpoints, isWithdrawn: () => true }, step);
          const [cursor] = clusters.queries.cursors();
          const log = registry.queries.log('lookup');
          const change = cursor && step >= stale ? changeSince(log, cursor) : undefined;
          if (change) {
            assert.equal(clusters.commands.receive(change), 'applied');
            const held = clusters.queries.log('lookup')?.endpoints.values() ?? [];
            assert.deepEqual(digestEndpoints(held), digestEndpoints(set));
            assert.equal(applyChange(structuredClone(log), change), 'already_held');
          }
        });
      }),
    );
  });
});
