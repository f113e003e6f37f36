import assert from 'node:assert/strict';
import { after, describe, it } from 'node:test';
import { digestConfiguration, encodeConfiguration } from '../src/core/operators/configuration.js';
import { diffConfigurations, encodeDelta } from '../src/core/distribution/delta.js';
import type { NodeFeed } from '../src/plugins/distribution/nodeFeed.js';
import type { Configuration, Version } from '../src/types/public.js';
import { startFakeParent } from './support/fakeParent.js';
import {
  createConfiguration,
  createManualSource,
  createEndpoint,
  findFreePort,
  startControl,
  startNode,
  waitUntil,
  type RunningFeed,
} from './support/feedFleet.js';

const versionOf = (index: number) => ({ term: 1n, index: BigInt(index) });

const fullUpdate = (configuration: Configuration, index: number) => ({
  case: 'configuration' as const,
  value: {
    version: versionOf(index),
    resultDigest: digestConfiguration(configuration),
    body: encodeConfiguration(configuration),
  },
});

const deltaUpdate = (base: Configuration, next: Configuration, index: number) => {
  const delta = diffConfigurations(base, next);
  return {
    case: 'configuration' as const,
    value: {
      version: versionOf(index),
      baseVersion: versionOf(index - 1),
      baseDigest: delta.baseDigest,
      resultDigest: delta.resultDigest,
      body: encodeDelta(delta),
    },
  };
};

const activeIndex = ({ feed }: RunningFeed<NodeFeed>): number =>
  feed.view.queries.current()?.version.index ?? 0;

const empty = createConfiguration([]);
const first = createConfiguration(['lookup'], 1);
const second = createConfiguration(['lookup'], 2);
const third = createConfiguration(['lookup'], 3);

describe('a node and its parent', { concurrency: true }, () => {
  const stops: (() => Promise<void>)[] = [];
  after(() => Promise.all(stops.map((stop) => stop())));

  const attach = async (name: string, floor?: Version) => {
    const parent = await startFakeParent(floor);
    parent.sendHeartbeats({ head: { term: 1, index: 1 }, path: ['fake'] });
    const node = await startNode({ name }, [{ address: parent.address, dataCentre: 'dc-a' }]);
    stops.push(node.stop, parent.stop);
    await waitUntil(() => parent.streams() === 1, 'a subscription');
    return { parent, node };
  };

  it('asks for a full update after a delta with another base, and applies nothing of it', async () => {
    const { parent, node } = await attach('wrong-base');
    parent.send(fullUpdate(empty, 1));
    await waitUntil(() => activeIndex(node) === 1, 'the first version');
    parent.send(deltaUpdate(first, second, 3));
    await waitUntil(() => parent.changes.some((change) => change.fullConfiguration), 'the request');
    assert.deepEqual(node.feed.view.queries.current()?.configuration, empty);
    parent.send(fullUpdate(empty, 3));
    await waitUntil(() => activeIndex(node) === 3, 'the full version');
  });

  it('leaves a parent whose updates stay corrupt or cut short', async () => {
    const { parent, node } = await attach('corrupt');
    const good = fullUpdate(first, 1);
    const cut = { ...good, value: { ...good.value, body: good.value.body.slice(0, 40) } };
    const foreign = { ...good, value: { ...good.value, body: encodeConfiguration(second) } };
    [cut, foreign, cut].forEach((message) => parent.send(message));
    await waitUntil(() => parent.subscriptions.length > 1, 'another subscription');
    assert.equal(node.feed.view.queries.current(), undefined);
  });

  it('keeps its version when updates are repeated or arrive crossed', async () => {
    const { parent, node } = await attach('crossed');
    const seen: number[] = [];
    node.feed.view.onChange(({ version }) => seen.push(version.index));
    [
      fullUpdate(empty, 2),
      fullUpdate(empty, 1),
      fullUpdate(empty, 2),
      fullUpdate(empty, 3),
    ].forEach((message) => parent.send(message));
    await waitUntil(() => activeIndex(node) === 3, 'the newest version');
    assert.deepEqual(
      seen,
      [...seen].sort((a, b) => a - b),
    );
    assert.deepEqual(new Set(seen), new Set([2, 3]));
  });

  it('serves nothing below the version that it had in force before its restart', async () => {
    const { parent, node } = await attach('restarted', { term: 1, index: 5 });
    const seen: number[] = [];
    node.feed.view.onChange(({ version }) => seen.push(version.index));
    parent.send(fullUpdate(empty, 4));
    parent.send(fullUpdate(empty, 5));
    await waitUntil(() => activeIndex(node) === 5, 'the version at the floor');
    assert.deepEqual(new Set(seen), new Set([5]));
  });

  it('leaves a parent that goes back to an older version', async () => {
    const { parent, node } = await attach('lagging');
    parent.send(fullUpdate(empty, 5));
    parent.sendHeartbeats({ head: { term: 1, index: 5 }, path: ['fake'] });
    await waitUntil(() => activeIndex(node) === 5, 'the version');
    parent.sendHeartbeats({ head: { term: 1, index: 4 }, path: ['fake'] });
    await waitUntil(() => parent.subscriptions.length > 1, 'another subscription');
    assert.equal(activeIndex(node), 5);
  });

  it('ignores a redirect to something that is not an address', async () => {
    const { parent, node } = await attach('redirected');
    const addresses = ['not an address', 'http://127.0.0.1:1', '', '127.0.0.1:99999'];
    parent.send({ case: 'redirect', value: { addresses, retryAfterMs: 0 } });
    parent.end();
    await waitUntil(() => parent.subscriptions.length > 1, 'another subscription');
    parent.send(fullUpdate(empty, 1));
    await waitUntil(() => activeIndex(node) === 1, 'a version');
  });

  it('leaves a parent whose path is longer than any tree', async () => {
    const { parent } = await attach('far-down');
    const path = Array.from({ length: 100 }, (_, index) => `node-${index}`);
    parent.sendHeartbeats({ head: { term: 1, index: 1 }, path });
    await waitUntil(() => parent.subscriptions.length > 1, 'another subscription');
  });

  it('leaves a parent whose path contains the node itself', async () => {
    const { parent } = await attach('looped');
    parent.sendHeartbeats({ head: { term: 1, index: 1 }, path: ['other', 'looped', 'fake'] });
    await waitUntil(() => parent.subscriptions.length > 1, 'another subscription');
  });

  it('leaves a parent whose stream sends nothing although it answers other requests', async () => {
    const { parent } = await attach('silent');
    parent.stopHeartbeats();
    await waitUntil(() => parent.subscriptions.length > 1, 'another subscription');
  });

  // Guards against a node that counts as unconfirmed after each change until the next heartbeat.
  it('is confirmed by a heartbeat that arrived before the version that it names', async () => {
    const { parent, node } = await attach('confirmed');
    parent.sendHeartbeats({ head: { term: 1, index: 1 }, path: ['fake'] });
    parent.stopHeartbeats();
    parent.send(fullUpdate(empty, 1));
    await waitUntil(() => activeIndex(node) === 1, 'the version');
    assert.ok(node.feed.view.queries.confirmedAgeMs() < 2_000);
  });

  it('is detached when confirmations of its own version are missing', async () => {
    const { parent, node } = await attach('detached');
    parent.send(fullUpdate(empty, 1));
    await waitUntil(() => activeIndex(node) === 1, 'the version');
    await waitUntil(() => !node.feed.view.queries.isDetached(), 'a confirmation');
    // Confirmations of a newer version that was not received do not apply to the active one.
    parent.sendHeartbeats({ head: { term: 1, index: 2 }, path: ['fake'] });
    await waitUntil(() => node.feed.view.queries.isDetached(), 'the detached state');
  });

  it('takes a newer version from another data centre if its own instance is cut off', async () => {
    const cutOff = await startFakeParent();
    cutOff.sendHeartbeats({ head: { term: 1, index: 1 }, path: ['cut-off'], ageMs: 60_000 });
    const source = createManualSource();
    source.commit(first);
    source.commit(third);
    const other = await startControl({ name: 'control-other', dataCentre: 'dc-b' }, source);
    const node = await startNode({ name: 'moving' }, [
      { address: cutOff.address, dataCentre: 'dc-a' },
      { address: other.address, dataCentre: 'dc-b' },
    ]);
    stops.push(node.stop, other.stop, cutOff.stop);
    await waitUntil(() => activeIndex(node) === 2, 'the version of the other instance');
    await waitUntil(() => !node.feed.view.queries.isDetached(), 'a fresh confirmation');
  });

  it('attaches to another control instance if its own one is lost, and returns', async () => {
    const source = createManualSource();
    source.commit(empty);
    const own = await startControl({ name: 'control-own' }, source);
    const other = await startControl({ name: 'control-far', dataCentre: 'dc-b' }, source);
    const node = await startNode({ name: 'roaming' }, [
      { address: own.address, dataCentre: 'dc-a' },
      { address: other.address, dataCentre: 'dc-b' },
    ]);
    stops.push(node.stop, other.stop);
    await waitUntil(() => activeIndex(node) === 1, 'the first version');
    await own.stop();
    source.commit(empty);
    await waitUntil(() => activeIndex(node) === 2, 'the second version');
    const back = await startControl({ name: 'control-own', address: own.address }, source);
    stops.push(back.stop);
    await waitUntil(
      () => back.feed.fleet.counts().some(({ nodes }) => nodes === 1),
      'the report to the own control instance',
      60_000,
    );
  });

  it('finds endpoints of other data centres, and the delay between them', async () => {
    const source = createManualSource();
    source.commit(first);
    const places = ['dc-a', 'dc-b'].map((dataCentre) => ({
      name: `control-${dataCentre}`,
      dataCentre,
    }));
    const members: { name: string; address: string; dataCentre: string }[] = [];
    for (const place of places) {
      members.push({ ...place, address: `127.0.0.1:${await findFreePort()}` });
    }
    const controls = await Promise.all(
      members.map((member) => startControl(member, source, members)),
    );
    const nodes = await Promise.all(
      members.map(({ address, dataCentre }) =>
        startNode({ name: `node-${dataCentre}`, dataCentre }, [{ address, dataCentre }]),
      ),
    );
    stops.push(...nodes.map(({ stop }) => stop), ...controls.map(({ stop }) => stop));
    nodes[0]?.feed.announcer.announce(createEndpoint('far', 'lookup'));
    await waitUntil(
      () => nodes[1]?.feed.view.queries.current()?.clusters.get('lookup')?.endpoints.length === 1,
      'the endpoint of the other data centre',
    );
    const inventory = () => controls[1]?.feed.fleet.inventory();
    await waitUntil(() => (inventory()?.delayMs('dc-a', 'dc-b') ?? 0) > 0, 'a measured delay');
    await waitUntil(
      () =>
        controls[1]?.feed.fleet.counts().reduce((sum, { nodes: count }) => sum + count, 0) === 2,
      'the nodes of both data centres',
    );
  });
});
