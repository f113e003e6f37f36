import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  changeSince,
  createClusterLog,
  digestEndpoints,
  type ClusterChange,
} from '../src/core/distribution/clusterLog.js';
import { digestConfiguration } from '../src/core/operators/configuration.js';
import {
  createConfigurationStore,
  type ConfigurationChange,
} from '../src/core/distribution/configurationStore.js';
import { applyDelta, diffConfigurations } from '../src/core/distribution/delta.js';
import { createVersionFloors } from '../src/core/distribution/versionFloors.js';
import {
  clusterWaitMs,
  createServingState,
  type ServingState,
} from '../src/core/distribution/servingState.js';
import { createClusterSubscriptions } from '../src/core/distribution/clusterSubscriptions.js';
import { derivePolicies } from '../src/core/operators/policy.js';
import { createRegistry, settleMs } from '../src/core/distribution/registry.js';
import {
  compareVersions,
  formatVersion,
  isNewer,
  noVersion,
} from '../src/core/agreement/version.js';
import type { Configuration, Endpoint, Version } from '../src/types/public.js';
import { check, configurationArbitrary } from './support/arbitraries.js';
import { configurationOf, endpointOf } from './support/feedFleet.js';

const services = ['alpha', 'beta', 'gamma'];
const nodeCount = 4;

type Action =
  | { readonly kind: 'accept'; readonly chosen: string[]; readonly importance: number }
  | { readonly kind: 'endpoints'; readonly service: string; readonly present: number[] }
  | { readonly kind: 'deliver'; readonly from: number; readonly to: number; readonly fault: Fault }
  | { readonly kind: 'replay'; readonly message: number; readonly to: number }
  | { readonly kind: 'restart'; readonly node: number }
  | { readonly kind: 'wait'; readonly ms: number };

type Fault = 'none' | 'flipped' | 'truncated' | 'lost' | 'stale cursor';

const nodeIndex = fc.nat({ max: nodeCount - 1 });

const actionArbitrary: fc.Arbitrary<Action> = fc.oneof(
  fc.record({
    kind: fc.constant('accept' as const),
    chosen: fc.subarray(services, { minLength: 1 }),
    importance: fc.integer({ min: 1, max: 100 }),
  }),
  fc.record({
    kind: fc.constant('endpoints' as const),
    service: fc.constantFrom(...services),
    present: fc.subarray([0, 1, 2]),
  }),
  {
    weight: 6,
    arbitrary: fc.record({
      kind: fc.constant('deliver' as const),
      // -1 is the control instance.
      from: fc.integer({ min: -1, max: nodeCount - 1 }),
      to: nodeIndex,
      fault: fc.constantFrom<Fault>('none', 'none', 'flipped', 'truncated', 'lost', 'stale cursor'),
    }),
  },
  fc.record({ kind: fc.constant('replay' as const), message: fc.nat({ max: 30 }), to: nodeIndex }),
  fc.record({ kind: fc.constant('restart' as const), node: nodeIndex }),
  fc.record({ kind: fc.constant('wait' as const), ms: fc.integer({ min: 1, max: 4_000 }) }),
);

const damage = (body: Uint8Array, fault: Fault): Uint8Array => {
  if (fault === 'truncated') {
    return body.slice(0, Math.floor(body.length / 2));
  }
  const copy = body.slice();
  const at = Math.floor(copy.length / 2);
  copy[at] = 255 - (copy[at] ?? 0);
  return fault === 'flipped' ? copy : body;
};

const digestText = (endpoints: Iterable<Endpoint>): string =>
  Buffer.from(digestEndpoints(endpoints)).toString('hex');

interface Model {
  readonly store: ReturnType<typeof createConfigurationStore>;
  readonly clusters: ReturnType<typeof createClusterSubscriptions>;
  readonly holding: ServingState;
  /** Services whose cluster arrived since the start. */
  readonly arrived: Set<string>;
  readonly revisions: Map<string, number>;
}

/** One control instance and a few nodes that exchange messages in an order given by the actions. */
const createFleet = () => {
  const accepted = new Map<string, Configuration>();
  const source = createConfigurationStore((version) => accepted.get(formatVersion(version)));
  const logs = new Map(services.map((name) => [name, createClusterLog(name, 'registry', false)]));
  const floors = createVersionFloors();
  const sentConfigurations: ConfigurationChange[] = [];
  const sentClusters: ClusterChange[] = [];
  const nodes = new Map<number, Model>();
  // Every state that a cluster had at the source.
  const clusterStates = new Set(services.map((name) => `${name} ${digestText([])}`));
  let now = 0;
  let sequence = 0;
  let index = 0;

  const restart = (node: number) => {
    const holding = createServingState(derivePolicies);
    const floor = floors.queries.floorOf(String(node));
    if (floor) {
      holding.commands.raiseFloor(floor);
    }
    nodes.set(node, {
      store: createConfigurationStore(),
      clusters: createClusterSubscriptions(),
      holding,
      arrived: new Set(),
      revisions: new Map(),
    });
  };

  const modelOf = (node: number): Model => {
    if (!nodes.has(node)) {
      restart(node);
    }
    return nodes.get(node) as Model;
  };

  const verify = (node: number) => {
    const { holding, arrived } = modelOf(node);
    const held = holding.queries.current();
    if (!held) {
      return;
    }
    const floor = floors.queries.floorOf(String(node)) ?? noVersion;
    assert.ok(!isNewer(floor, held.version), 'a holding went back to an older version');
    const expected = accepted.get(formatVersion(held.version));
    assert.ok(expected, 'a version is held that was never accepted');
    assert.deepEqual(held.configuration, expected, 'a version is applied in part');
    assert.deepEqual([...held.policies.keys()].sort(), Object.keys(expected.classes).sort());
    const routed = Object.values(expected.classes).map(({ service }) => service);
    for (const [service, { endpoints }] of held.clusters) {
      assert.ok(clusterStates.has(`${service} ${digestText(endpoints)}`), 'a cluster is partial');
      assert.ok(arrived.has(service), 'a route has a cluster that did not arrive');
      assert.ok(routed.includes(service), 'a cluster is held without a route to it');
    }
    floors.commands.record({ name: String(node), version: held.version }, now);
  };

  const activate = (node: number) => {
    modelOf(node).holding.commands.activate(now);
    verify(node);
  };

  const takeConfiguration = (node: number, change: ConfigurationChange) => {
    const { store, holding, clusters } = modelOf(node);
    try {
      store.commands.receive(change);
    } catch {
      return;
    }
    const stored = store.queries.newest();
    if (stored) {
      holding.commands.stageConfiguration(stored, now);
    }
    const dropped = clusters.commands.setServices(holding.queries.neededServices())?.remove ?? [];
    dropped.forEach((service) => modelOf(node).revisions.delete(service));
    activate(node);
  };

  const takeCluster = (node: number, change: ClusterChange) => {
    const { clusters, holding, arrived } = modelOf(node);
    const log =
      clusters.commands.receive(change) === 'applied'
        ? clusters.queries.log(change.service)
        : undefined;
    if (log) {
      const before = modelOf(node).revisions.get(change.service) ?? 0;
      assert.ok(log.revision > before, 'a cluster went back to an older revision');
      modelOf(node).revisions.set(change.service, log.revision);
      arrived.add(change.service);
      const endpoints = [...log.endpoints.values()];
      holding.commands.stageCluster({ service: change.service, endpoints });
    }
    activate(node);
  };

  const deliver = (from: number, to: number, fault: Fault) => {
    const target = modelOf(to);
    const sender = from < 0 ? source : modelOf(from).store;
    const held = target.store.queries.newest();
    const cursor = fault === 'stale cursor' ? undefined : held;
    const change = sender.queries.changeSince(cursor);
    if (change) {
      sentConfigurations.push(change);
      if (fault !== 'lost') {
        takeConfiguration(to, { ...change, body: damage(change.body, fault) });
      }
    }
    target.clusters.queries.cursors().forEach((each) => {
      const log =
        from < 0 ? logs.get(each.service) : modelOf(from).clusters.queries.log(each.service);
      const revision = fault === 'stale cursor' ? 0 : each.revision;
      const update = log && changeSince(log, { ...each, revision });
      if (update) {
        sentClusters.push(update);
        const upserts = fault === 'truncated' ? update.upserts.slice(1) : update.upserts;
        if (fault !== 'lost') {
          takeCluster(to, { ...update, upserts });
        }
      }
    });
  };

  const replay = (message: number, to: number) => {
    const configuration = sentConfigurations[message];
    const cluster = sentClusters[message];
    if (configuration) {
      takeConfiguration(to, configuration);
    }
    if (cluster) {
      takeCluster(to, cluster);
    }
  };

  const accept = (chosen: string[], importance: number) => {
    index += 1;
    const configuration = configurationOf(chosen, importance);
    const version: Version = { term: 1 + Math.floor(index / 5), index };
    accepted.set(formatVersion(version), configuration);
    source.commands.put({ version, configuration, digest: digestConfiguration(configuration) });
  };

  const registry = createRegistry('registry', -settleMs);
  const known = new Map<string, Endpoint>();
  const setEndpoints = (name: string, present: number[]) => {
    [0, 1, 2].forEach((number) => {
      const id = `${name}-${number}`;
      if (present.includes(number)) {
        sequence += 1;
        known.set(id, endpointOf(id, name, sequence));
      } else {
        known.delete(id);
      }
    });
    registry.commands.reconcile({ endpoints: known, isWithdrawn: () => true }, now);
    services.forEach((each) => {
      logs.set(each, registry.queries.log(each));
      clusterStates.add(`${each} ${digestText(registry.queries.log(each).endpoints.values())}`);
    });
  };

  const handlers: { [Kind in Action['kind']]: (action: Extract<Action, { kind: Kind }>) => void } =
    {
      accept: ({ chosen, importance }) => accept(chosen, importance),
      endpoints: ({ service, present }) => setEndpoints(service, present),
      deliver: ({ from, to, fault }) => from !== to && deliver(from, to, fault),
      replay: ({ message, to }) => replay(message, to),
      restart: ({ node }) => restart(node),
      wait: ({ ms }) => {
        now += ms;
        [...nodes.keys()].forEach(activate);
      },
    };

  return {
    act: (action: Action) => (handlers[action.kind] as (each: Action) => void)(action),
    converge: () => {
      for (let node = 0; node < nodeCount; node += 1) {
        deliver(-1, node, 'none');
        deliver(-1, node, 'none');
      }
      now += clusterWaitMs;
      for (let node = 0; node < nodeCount; node += 1) {
        activate(node);
        const newest = source.queries.newest();
        const held = modelOf(node).holding.queries.current();
        assert.equal(
          held && formatVersion(held.version),
          newest && formatVersion(newest.version),
          'a node did not converge',
        );
        held?.clusters.forEach((cluster, service) => {
          const ids = cluster.endpoints.map(({ id }) => id).sort();
          assert.deepEqual(ids, [...(logs.get(service)?.endpoints.keys() ?? [])].sort());
        });
        const routed = new Set(
          Object.values(newest?.configuration.classes ?? {}).map(({ service }) => service),
        );
        assert.equal(held?.clusters.size ?? 0, routed.size, 'a route is still withheld');
      }
    },
  };
};

describe('distribution under any order of messages, faults and restarts', () => {
  it('never goes back, never applies in part, has no route without its cluster, converges', () => {
    check(
      fc.property(
        fc.array(actionArbitrary, { minLength: 5, maxLength: 60, size: 'max' }),
        (actions) => {
          const fleet = createFleet();
          actions.forEach(fleet.act);
          fleet.converge();
        },
      ),
      3_000,
    );
  });
});

describe('deltas', () => {
  it('turn any base into any result, and refuse another base', () => {
    check(
      fc.property(
        configurationArbitrary,
        configurationArbitrary,
        configurationArbitrary,
        (base, next, other) => {
          const delta = diffConfigurations(base, next);
          assert.deepEqual(digestConfiguration(applyDelta(base, delta)), digestConfiguration(next));
          const isOther =
            Buffer.compare(digestConfiguration(other), digestConfiguration(base)) !== 0;
          if (isOther) {
            assert.throws(() => applyDelta(other, delta), /another base/);
          }
        },
      ),
      200,
    );
  });

  it('are refused if their result has another digest', () => {
    const base = configurationOf(['alpha']);
    const delta = diffConfigurations(base, configurationOf(['alpha', 'beta']));
    const damaged = { ...delta, classes: { ...delta.classes, set: {} } };
    assert.throws(() => applyDelta(base, damaged), /another digest/);
  });

  it('serve a holder that is hundreds of versions behind with one message', () => {
    const kept = new Map<string, Configuration>();
    const store = createConfigurationStore((version) => kept.get(formatVersion(version)));
    for (let index = 1; index <= 501; index += 1) {
      const configuration = configurationOf(services, 1 + (index % 100));
      const version = { term: 1, index };
      kept.set(formatVersion(version), configuration);
      store.commands.put({ version, configuration, digest: digestConfiguration(configuration) });
    }
    const sleeper = createConfigurationStore();
    const configuration = configurationOf(services, 2);
    const digest = digestConfiguration(configuration);
    sleeper.commands.put({ version: { term: 1, index: 1 }, configuration, digest });
    const change = store.queries.changeSince(sleeper.queries.newest());
    assert.ok(change, 'no change is offered');
    assert.equal(sleeper.commands.receive(change), 'stored');
    assert.equal(
      compareVersions(sleeper.queries.newest()?.version ?? noVersion, { term: 1, index: 501 }),
      0,
    );
  });
});

describe('holding', () => {
  const stored = (index: number, names: readonly string[]) => {
    const configuration = configurationOf(names);
    const version = { term: 1, index };
    return { version, configuration, digest: digestConfiguration(configuration) };
  };

  it('refuses an older version that a second path brings after a newer one', () => {
    const holding = createServingState(derivePolicies);
    assert.equal(holding.commands.stageConfiguration(stored(2, ['alpha']), 0), 'staged');
    assert.equal(holding.commands.stageConfiguration(stored(1, ['alpha']), 0), 'not_newer');
    holding.commands.activate(clusterWaitMs);
    assert.equal(holding.commands.stageConfiguration(stored(1, ['alpha']), 0), 'not_newer');
    assert.equal(holding.queries.current()?.version.index, 2);
  });

  it('waits for the cluster of a new route, and withholds the route after the wait', () => {
    const holding = createServingState(derivePolicies);
    holding.commands.stageConfiguration(stored(1, ['alpha', 'beta']), 0);
    holding.commands.stageCluster({ service: 'alpha', endpoints: [] });
    assert.equal(holding.commands.activate(clusterWaitMs - 1), undefined);
    const held = holding.commands.activate(clusterWaitMs);
    assert.deepEqual([...(held?.clusters.keys() ?? [])], ['alpha']);
    holding.commands.stageCluster({ service: 'beta', endpoints: [] });
    assert.equal(holding.commands.activate(clusterWaitMs)?.clusters.has('beta'), true);
    assert.equal(held?.clusters.has('beta'), false, 'a reference in use has changed');
  });

  // Guards against work for each call after each change of any cluster: what routing keeps with a
  // cluster is lost when the object is replaced.
  it('keeps the object of a cluster when another one changes, unless an endpoint is drained', () => {
    const holding = createServingState(derivePolicies);
    const first = stored(1, ['alpha', 'beta']);
    const endpoints = [endpointOf('a1', 'alpha'), endpointOf('a2', 'alpha')];
    holding.commands.stageConfiguration(first, 0);
    holding.commands.stageCluster({ service: 'alpha', endpoints });
    holding.commands.stageCluster({ service: 'beta', endpoints: [] });
    const alpha = holding.commands.activate(0)?.clusters.get('alpha');
    holding.commands.stageCluster({ service: 'beta', endpoints: [endpointOf('b1', 'beta')] });
    const held = holding.commands.activate(1);
    assert.equal(held?.clusters.get('beta')?.endpoints.length, 1);
    assert.equal(held?.clusters.get('alpha'), alpha);
    const drains = { [endpoints[1]!.id]: { name: endpoints[1]!.id } };
    const drained = stored(2, ['alpha', 'beta']);
    holding.commands.stageConfiguration(
      { ...drained, configuration: { ...drained.configuration, drains } },
      2,
    );
    const states = holding.commands
      .activate(2)
      ?.clusters.get('alpha')
      ?.endpoints.map(({ state }) => state);
    assert.deepEqual(states, ['ready', 'leaving']);
    assert.deepEqual(
      endpoints.map(({ state }) => state),
      ['ready', 'ready'],
    );
  });

  it('is not put off by a stream of changes that each add a route', () => {
    const holding = createServingState(derivePolicies);
    for (let second = 0; second <= 3; second += 1) {
      const names = Array.from({ length: second + 1 }, (_, index) => `service-${index}`);
      holding.commands.stageConfiguration(stored(second + 1, names), second * 1_000);
    }
    assert.equal(holding.commands.activate(3_000)?.version.index, 4);
  });

  it('drops a cluster only after its last route', () => {
    const holding = createServingState(derivePolicies);
    holding.commands.stageConfiguration(stored(1, ['alpha']), 0);
    holding.commands.stageCluster({ service: 'alpha', endpoints: [] });
    holding.commands.activate(0);
    holding.commands.stageConfiguration(stored(2, ['beta']), 0);
    holding.commands.dropUnused(0);
    assert.equal(holding.queries.current()?.clusters.has('alpha'), true);
    holding.commands.stageCluster({ service: 'beta', endpoints: [] });
    assert.deepEqual([...(holding.commands.activate(0)?.clusters.keys() ?? [])], ['beta']);
  });
});
