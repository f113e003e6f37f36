import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import type { Version } from '../src/types/public.js';
import type { NodeFeed } from '../src/plugins/distribution/nodeFeed.js';
import { probeFeed } from '../src/plugins/distribution/feedClient.js';
import {
  access,
  clusterName,
  createConfiguration,
  createManualSource,
  createEndpoint,
  startControl,
  startNode,
  waitUntil,
  type RunningFeed,
} from './support/feedFleet.js';
import { waitFor } from './support/waitFor.js';

const inForce = (node: RunningFeed<NodeFeed>): Version | undefined =>
  node.feed.view.queries.current()?.version;

const allAt = (nodes: readonly RunningFeed<NodeFeed>[], version: Version): boolean =>
  nodes.every((node) => inForce(node)?.index === version.index);

describe('feed over network connections', () => {
  const stops: (() => Promise<void>)[] = [];
  after(() => Promise.all(stops.map((stop) => stop())));

  it('sends configuration and endpoints to nodes, which report their versions', async () => {
    const source = createManualSource();
    const control = await startControl({ name: 'control-a' }, source);
    stops.push(control.stop);
    const parents = [{ address: control.address, dataCentre: 'dc-a' }];
    const nodes = await Promise.all(
      ['node-1', 'node-2', 'node-3'].map((name) => startNode({ name }, parents)),
    );
    stops.push(...nodes.map(({ stop }) => stop));
    nodes[0]?.feed.announcer.announce(createEndpoint('endpoint-1', 'lookup'));
    const version = source.commit(createConfiguration(['lookup']));
    await waitUntil(() => allAt(nodes, version), 'the first version on all nodes');
    await waitUntil(
      () =>
        nodes.every(
          ({ feed }) => feed.view.queries.current()?.clusters.get('lookup')?.endpoints.length === 1,
        ),
      'the endpoint on all nodes',
    );
    await waitUntil(
      () =>
        control.feed.fleet.counts().some(({ nodes: n, version: v }) => n === 3 && v.index === 1),
      'the report of 3 nodes at the first version',
    );
    assert.equal(control.feed.fleet.inventory().clusters.get('lookup')?.endpoints.length, 1);
    // Nodes divide the retries of the fleet by this number.
    await waitUntil(
      () => nodes.every(({ feed }) => feed.view.queries.fleetNodes() === 3),
      'the number of nodes on all nodes',
    );
    const next = source.commit(createConfiguration(['lookup'], 60));
    await waitUntil(() => allAt(nodes, next), 'the second version on all nodes');
    const floorAtSibling = async () => {
      const subscriber = { cluster: clusterName, name: 'node-1', role: 'node' };
      const address = nodes[1]?.address ?? '';
      const found = await probeFeed({ address, access, request: { subscriber } });
      return Number(found?.welcome?.floor?.index ?? 0);
    };
    await waitFor(async () => (await floorAtSibling()) === next.index, {
      what: 'the floor of a node at its sibling',
    });
    nodes[0]?.feed.announcer.withdraw('endpoint-1');
    await waitUntil(
      () =>
        nodes.every(
          ({ feed }) => feed.view.queries.current()?.clusters.get('lookup')?.endpoints.length === 0,
        ),
      'the withdrawal on all nodes',
    );
  });

  it('builds a tree when a parent is full, and reattaches children of a lost one', async () => {
    const source = createManualSource();
    const control = await startControl({ name: 'control-b' }, source);
    stops.push(control.stop);
    const first = source.commit(createConfiguration(['lookup']));
    const parents = [{ address: control.address, dataCentre: 'dc-a' }];
    const names = Array.from({ length: 24 }, (_, index) => `node-${index}`);
    const nodes = await Promise.all(names.map((name) => startNode({ name }, parents)));
    await waitUntil(() => allAt(nodes, first), 'the first version on 24 nodes');
    const [lost, ...rest] = nodes;
    stops.push(...rest.map(({ stop }) => stop));
    await lost?.stop();
    const next = source.commit(createConfiguration(['lookup'], 60));
    await waitUntil(() => allAt(rest, next), 'the second version on 23 nodes');
    await waitUntil(
      () =>
        control.feed.fleet.counts().some(({ nodes: n, version: v }) => n === 23 && v.index === 2),
      'the report of 23 nodes at the second version',
    );
  });
});
