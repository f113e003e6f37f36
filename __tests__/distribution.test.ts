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
import { checkProperty, configurationArbitrary } from './support/arbitraries.js';
import { createConfiguration, createEndpoint } from './support/feedFleet.js';

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

const corrupt = (body: Uint8Array, fault: Fault): Uint8Array => {
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

interface NodeModel {
  readonly store: ReturnType<typeof createConfigurationStore>;
  readonly clusters: ReturnType<typeof createClusterSubscriptions>;
  readonly serving: ServingState;
  /** Services whose cluster the node received since its start. */
  readonly receivedServices: Set<string>;
  readonly revisions: Map<string, number>;
}

/** One control instance and four nodes, which exchange messages in the order of the actions. */
const createFleet = () => {
  const accepted = new Map<string, Configuration>();
  const source = createConfigurationStore((version) => accepted.get(formatVersion(version)));
  const logs = new Map(services.map((name) => [name, createClusterLog(name, 'registry', false)]));
  const floors = createVersionFloors();
  const sentConfigurations: ConfigurationChange[] = [];
  const sentClusters: ClusterChange[] = [];
  const nodes = new Map<number, NodeModel>();
  // Digests of all states that a cluster ever had at the source, with the service name.
  const clusterStates = new Set(services.map((name) => `${name} ${digestText([])}`));
  let now = 0;
  let sequence = 0;
  let index = 0;

  const restart = (node: number) => {
    const serving = createServingState(derivePolicies);
    const floor = floors.queries.floorOf(String(node));
    if (floor) {
      serving.commands.raiseFloor(floor);
    }
    nodes.set(node, {
      store: createConfigurationStore(),
      clusters: createClusterSubscriptions(),
      serving,
      receivedServices: new Set(),
      revisions: new Map(),
    });
  };

  const modelOf = (node: number): NodeModel => {
    if (!nodes.has(node)) {
      restart(node);
    }
    return nodes.get(node) as NodeModel;
  };

  const verify = (node: number) => {
    const { serving, receivedServices } = modelOf(node);
    const active = serving.queries.current();
    if (!active) {
      return;
    }
    const floor = floors.queries.floorOf(String(node)) ?? noVersion;
    assert.ok(!isNewer(floor, active.version), 'a node went back to an older version');
    const expected = accepted.get(formatVersion(active.version));
    assert.ok(expected, 'a node has a version that was never accepted');
    assert.deepEqual(active.configuration, expected, 'a version was applied in part');
    assert.deepEqual([...active.policies.keys()].sort(), Object.keys(expected.classes).sort());
    const routed = Object.values(expected.classes).map(({ service }) => service);
    for (const [service, { endpoints }] of active.clusters) {
      assert.ok(
        clusterStates.has(`${service} ${digestText(endpoints)}`),
        'a cluster is incomplete',
      );
      assert.ok(receivedServices.has(service), 'a route has a cluster that was never received');
      assert.ok(routed.includes(service), 'a cluster is kept without a route to it');
    }
    floors.commands.record({ name: String(node), version: active.version }, now);
  };

  const activate = (node: number) => {
    modelOf(node).serving.commands.activate(now);
    verify(node);
  };

  const receiveConfiguration = (node: number, change: ConfigurationChange) => {
    const { store, serving, clusters } = modelOf(node);
    try {
      store.commands.receive(change);
    } catch {
      return;
    }
    const stored = store.queries.newest();
    if (stored) {
      serving.commands.stageConfiguration(stored, now);
    }
    const dropped = clusters.commands.setServices(serving.queries.neededServices())?.remove ?? [];
    dropped.forEach((service) => modelOf(node).revisions.delete(service));
    activate(node);
  };

  const receiveCluster = (node: number, change: ClusterChange) => {
    const { clusters, serving, receivedServices } = modelOf(node);
    const log =
      clusters.commands.receive(change) === 'applied'
        ? clusters.queries.log(change.service)
        : undefined;
    if (log) {
      const before = modelOf(node).revisions.get(change.service) ?? 0;
      assert.ok(log.revision > before, 'a cluster went back to an older revision');
      modelOf(node).revisions.set(change.service, log.revision);
      receivedServices.add(change.service);
      const endpoints = [...log.endpoints.values()];
      serving.commands.stageCluster({ service: change.service, endpoints });
    }
    activate(node);
  };

  const deliver = (from: number, to: number, fault: Fault) => {
    const target = modelOf(to);
    const sender = from < 0 ? source : modelOf(from).store;
    const current = target.store.queries.newest();
    const cursor = fault === 'stale cursor' ? undefined : current;
    const change = sender.queries.changeSince(cursor);
    if (change) {
      sentConfigurations.push(change);
      if (fault !== 'lost') {
        receiveConfiguration(to, { ...change, body: corrupt(change.body, fault) });
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
          receiveCluster(to, { ...update, upserts });
        }
      }
    });
  };

  const replay = (message: number, to: number) => {
    const configuration = sentConfigurations[message];
    const cluster = sentClusters[message];
    if (configuration) {
      receiveConfiguration(to, configuration);
    }
    if (cluster) {
      receiveCluster(to, cluster);
    }
  };

  const accept = (chosen: string[], importance: number) => {
    index += 1;
    const configuration = createConfiguration(chosen, importance);
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
        known.set(id, createEndpoint(id, name, sequence));
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
        const active = modelOf(node).serving.queries.current();
        assert.equal(
          active && formatVersion(active.version),
          newest && formatVersion(newest.version),
          'a node did not converge',
        );
        active?.clusters.forEach((cluster, service) => {
          const ids = cluster.endpoints.map(({ id }) => id).sort();
          assert.deepEqual(ids, [...(logs.get(service)?.endpoints.keys() ?? [])].sort());
        });
        const routed = new Set(
          Object.values(newest?.configuration.classes ?? {}).map(({ service }) => service),
        );
        assert.equal(active?.clusters.size ?? 0, routed.size, 'a route is still withheld');
      }
    },
  };
};

describe('distribution under any order of messages, faults and restarts', () => {
  it('never goes back, never applies in part, has no route without its cluster, converges', () => {
    checkProperty(
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
  it('convert any base into any result, and are rejected for another base', () => {
    checkProperty(
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

  it('are rejected if their result has another digest', () => {
    const base = createConfiguration(['alpha']);
    const delta = diffConfigurations(base, createConfiguration(['alpha', 'beta']));
    const damaged = { ...delta, classes: { ...delta.classes, set: {} } };
    assert.throws(() => applyDelta(base, damaged), /another digest/);
  });

  it('update a store that is hundreds of versions behind with one message', () => {
    const kept = new Map<string, Configuration>();
    const store = createConfigurationStore((version) => kept.get(formatVersion(version)));
    for (let index = 1; index <= 501; index += 1) {
      const configuration = createConfiguration(services, 1 + (index % 100));
      const version = { term: 1, index };
      kept.set(formatVersion(version), configuration);
      store.commands.put({ version, configuration, digest: digestConfiguration(configuration) });
    }
    const outdated = createConfigurationStore();
    const configuration = createConfiguration(services, 2);
    const digest = digestConfiguration(configuration);
    outdated.commands.put({ version: { term: 1, index: 1 }, configuration, digest });
    const change = store.queries.changeSince(outdated.queries.newest());
    assert.ok(change, 'the store offers no change');
    assert.equal(outdated.commands.receive(change), 'stored');
    assert.equal(
      compareVersions(outdated.queries.newest()?.version ?? noVersion, { term: 1, index: 501 }),
      0,
    );
  });
});

describe('serving state', () => {
  const stored = (index: number, names: readonly string[]) => {
    const configuration = createConfiguration(names);
    const version = { term: 1, index };
    return { version, configuration, digest: digestConfiguration(configuration) };
  };

  it('rejects an older version that arrives on a second path after a newer one', () => {
    const serving = createServingState(derivePolicies);
    assert.equal(serving.commands.stageConfiguration(stored(2, ['alpha']), 0), 'staged');
    assert.equal(serving.commands.stageConfiguration(stored(1, ['alpha']), 0), 'not_newer');
    serving.commands.activate(clusterWaitMs);
    assert.equal(serving.commands.stageConfiguration(stored(1, ['alpha']), 0), 'not_newer');
    assert.equal(serving.queries.current()?.version.index, 2);
  });

  it('waits for the cluster of a new route, and withholds the route after the wait', () => {
    const serving = createServingState(derivePolicies);
    serving.commands.stageConfiguration(stored(1, ['alpha', 'beta']), 0);
    serving.commands.stageCluster({ service: 'alpha', endpoints: [] });
    assert.equal(serving.commands.activate(clusterWaitMs - 1), undefined);
    const active = serving.commands.activate(clusterWaitMs);
    assert.deepEqual([...(active?.clusters.keys() ?? [])], ['alpha']);
    serving.commands.stageCluster({ service: 'beta', endpoints: [] });
    assert.equal(serving.commands.activate(clusterWaitMs)?.clusters.has('beta'), true);
    assert.equal(active?.clusters.has('beta'), false, 'a reference in use has changed');
  });

  // Guards against a wait for endpoints that is longer than the time for a change to be in force.
  it('is in force within 2 s of its arrival although the endpoints of a new service are missing', () => {
    const serving = createServingState(derivePolicies);
    serving.commands.stageConfiguration(stored(1, ['alpha']), 0);
    serving.commands.stageCluster({ service: 'alpha', endpoints: [] });
    serving.commands.activate(0);
    serving.commands.stageConfiguration(stored(2, ['alpha', 'beta']), 10_000);
    assert.equal(serving.commands.activate(12_000)?.version.index, 2);
  });

  // Routing caches state by cluster object. Replacing the object of an unchanged cluster would
  // discard that state, so that each change of any cluster would cause work for the next calls.
  it('keeps a cluster object when another one changes, unless an endpoint is drained', () => {
    const serving = createServingState(derivePolicies);
    const first = stored(1, ['alpha', 'beta']);
    const endpoints = [createEndpoint('a1', 'alpha'), createEndpoint('a2', 'alpha')];
    serving.commands.stageConfiguration(first, 0);
    serving.commands.stageCluster({ service: 'alpha', endpoints });
    serving.commands.stageCluster({ service: 'beta', endpoints: [] });
    const alpha = serving.commands.activate(0)?.clusters.get('alpha');
    serving.commands.stageCluster({ service: 'beta', endpoints: [createEndpoint('b1', 'beta')] });
    const active = serving.commands.activate(1);
    assert.equal(active?.clusters.get('beta')?.endpoints.length, 1);
    assert.equal(active?.clusters.get('alpha'), alpha);
    const drains = { [endpoints[1]!.id]: { name: endpoints[1]!.id } };
    const drained = stored(2, ['alpha', 'beta']);
    serving.commands.stageConfiguration(
      { ...drained, configuration: { ...drained.configuration, drains } },
      2,
    );
    const states = serving.commands
      .activate(2)
      ?.clusters.get('alpha')
      ?.endpoints.map(({ state }) => state);
    assert.deepEqual(states, ['ready', 'leaving']);
    assert.deepEqual(
      endpoints.map(({ state }) => state),
      ['ready', 'ready'],
    );
  });

  it('is not delayed by a stream of changes that each add a route', () => {
    const serving = createServingState(derivePolicies);
    for (let second = 0; second <= 3; second += 1) {
      const names = Array.from({ length: second + 1 }, (_, index) => `service-${index}`);
      serving.commands.stageConfiguration(stored(second + 1, names), second * 1_000);
    }
    assert.equal(serving.commands.activate(3_000)?.version.index, 4);
  });

  it('drops a cluster only after its last route', () => {
    const serving = createServingState(derivePolicies);
    serving.commands.stageConfiguration(stored(1, ['alpha']), 0);
    serving.commands.stageCluster({ service: 'alpha', endpoints: [] });
    serving.commands.activate(0);
    serving.commands.stageConfiguration(stored(2, ['beta']), 0);
    serving.commands.dropUnused(0);
    assert.equal(serving.queries.current()?.clusters.has('alpha'), true);
    serving.commands.stageCluster({ service: 'beta', endpoints: [] });
    assert.deepEqual([...(serving.commands.activate(0)?.clusters.keys() ?? [])], ['beta']);
  });
});
