import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, it } from 'node:test';
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import type { FeedMessage, SubscribeRequest } from '../src/gen/auburnsill/v1/feed_pb.js';
import {
  createConfigurationHistory,
  encodeDocument,
} from '../src/core/agreement/configurationHistory.js';
import { createConfigurationStore } from '../src/core/distribution/configurationStore.js';
import { digestConfiguration } from '../src/core/operators/configuration.js';
import { derivePolicies } from '../src/core/operators/policy.js';
import { createDocumentReader } from '../src/platform/documents.js';
import { createControlFeed } from '../src/plugins/distribution/controlFeed.js';
import type { Configuration } from '../src/types/public.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { access, clusterName, createManualSource, trafficClass } from './support/feedFleet.js';

const routeCount = 1_600;

/** A document of 1,600 routes, of which each number changes one. */
const documentText = (number: number): string => {
  const routes = Array.from({ length: routeCount }, (_, index) => ({
    type: 'routes',
    metadata: { name: `route-${index}` },
    spec: {
      host: 'shop.example',
      path_prefix: `/route-${index}/`,
      route_type: 'safe',
      timeout_ms: index === 7 ? 1_000 + number : 1_000,
      service: 'shop',
    },
  }));
  const service = { type: 'services', metadata: { name: 'shop' }, spec: { max_connections: 10 } };
  const resources = [...routes, service];
  return JSON.stringify({ version: number, base_version: number - 1, resources });
};

const configurationWith = (importance: number): Configuration => {
  const classes = Array.from({ length: routeCount }, (_, index) =>
    trafficClass(`route-${index}`, index === 7 ? 'stock' : 'shop', index === 7 ? importance : 50),
  );
  return {
    services: Object.fromEntries(['shop', 'stock'].map((name) => [name, { name, expected: true }])),
    classes: Object.fromEntries(classes.map((each) => [each.name, each])),
  };
};

/** The next configuration: one class is replaced, all others are the same objects. */
const changeOne = (base: Configuration, importance: number): Configuration => ({
  ...base,
  classes: { ...base.classes, 'route-7': trafficClass('route-7', 'stock', importance) },
});

const storedAt = (index: number, configuration: Configuration) => ({
  version: { term: 1, index },
  configuration,
  digest: digestConfiguration(configuration),
});

/** Bytes that a step turns from text into messages. */
const countEncodedBytes = (step: () => void): number => {
  const { encode } = TextEncoder.prototype;
  let bytes = 0;
  TextEncoder.prototype.encode = function count(text) {
    const encoded = encode.call(this, text);
    bytes += encoded.length;
    return encoded;
  };
  try {
    step();
  } finally {
    TextEncoder.prototype.encode = encode;
  }
  return bytes;
};

/** Configuration updates that one child of a control instance gets. */
const subscribeTo = (options: Parameters<typeof createControlFeed>[0]) => {
  const updates: bigint[] = [];
  const feed = createControlFeed(options);
  let subscribe: (request: SubscribeRequest, context: HandlerContext) => AsyncIterable<FeedMessage>;
  const router = {
    service: (_service: unknown, methods: { subscribe: typeof subscribe }) => {
      ({ subscribe } = methods);
    },
  };
  feed.routes(router as unknown as ConnectRouter);
  feed.start();
  const read = async () => {
    const subscriber = { cluster: clusterName, name: 'node-1', role: 'node', peerAddress: '' };
    const request = { subscriber, clusters: [], probe: false, allClustersOfDataCentre: false };
    const context = { signal: new AbortController().signal };
    const stream = subscribe(
      request as unknown as SubscribeRequest,
      context as unknown as HandlerContext,
    );
    for await (const { message } of stream) {
      if (message.case === 'configuration') {
        updates.push(message.value.version?.index ?? 0n);
      }
    }
  };
  return { updates, reading: read(), stop: feed.stop };
};

describe('the work of a change of one route in 1,600', () => {
  // A control instance read, wrote and compared each entry again for each change, which took more
  // than its processor during a stream of changes.
  it('leaves the entries of the other routes as they are where the document is read', () => {
    const acceptance = createConfigurationHistory({ readDocument: createDocumentReader() });
    const configurations = [1, 2].map((number) => {
      const text = documentText(number);
      const change = { changeId: `c${number}`, text, number, baseNumber: number - 1 };
      const payload = encodeDocument({ ...change, proposedAtMs: 0 });
      acceptance.machine.apply({ term: 1, index: number, payload });
      return acceptance.queries.head()!.configuration;
    });
    const [base, next] = configurations;
    const renewed = Object.keys(next!.classes).filter(
      (name) => next!.classes[name] !== base!.classes[name],
    );
    assert.deepEqual(renewed, ['route-7']);
    assert.equal(next!.classes['route-7']?.timeoutMs, 1_002);
    assert.equal(next!.services.shop, base!.services.shop);
  });

  // The log carried the whole text of each document, 413 KB for 1,600 routes, to each control
  // instance, and had no room for some 4,000 routes.
  it('takes a tenth of the text in the log', () => {
    const text = documentText(1);
    const change = { changeId: 'c1', text, number: 1, baseNumber: 0, proposedAtMs: 0 };
    const payload = encodeDocument(change);
    assert.ok(payload.length * 10 < text.length, `${payload.length} bytes of ${text.length}`);
    const acceptance = createConfigurationHistory({ readDocument: createDocumentReader() });
    acceptance.machine.apply({ term: 1, index: 1, payload });
    assert.equal(acceptance.queries.head()?.targets, text);
  });

  // Guards against an instance that cannot apply its own log after an upgrade.
  it('is applied from an entry that was written without compression', () => {
    const text = documentText(1);
    const document = { changeId: 'c1', text, number: 1, baseNumber: 0, proposedAtMs: 0 };
    const payload = new TextEncoder().encode(JSON.stringify({ document }));
    const acceptance = createConfigurationHistory({ readDocument: createDocumentReader() });
    acceptance.machine.apply({ term: 1, index: 1, payload });
    assert.equal(acceptance.queries.head()?.documentNumber, 1);
  });

  // Each process of the tree wrote the whole configuration to find that the delta is shorter.
  it('does not write the whole configuration where a delta is sent', () => {
    const store = createConfigurationStore();
    const base = configurationWith(10);
    store.commands.put(storedAt(1, base));
    store.commands.put(storedAt(2, changeOne(base, 20)));
    const cursor = { version: { term: 1, index: 1 }, digest: digestConfiguration(base) };
    const bytes = countEncodedBytes(() => {
      assert.ok(store.queries.changeSince(cursor)?.base);
    });
    assert.ok(bytes < 2_000, `${bytes} bytes were written`);
  });

  // Each relay compared both configurations to find the delta that it had just received.
  it('is not done again by a relay, which passes on what it received', () => {
    const source = createConfigurationStore();
    const relay = createConfigurationStore();
    const base = configurationWith(10);
    source.commands.put(storedAt(1, base));
    relay.commands.receive(source.queries.changeSince(undefined)!);
    source.commands.put(storedAt(2, changeOne(base, 20)));
    const cursor = { version: { term: 1, index: 1 }, digest: digestConfiguration(base) };
    const received = source.queries.changeSince(cursor)!;
    relay.commands.receive(received);
    assert.equal(relay.queries.changeSince(cursor)?.body, received.body);
  });

  // Each node derived the policies of all routes for each change.
  it('leaves the policies of the other classes as they are', () => {
    const base = configurationWith(10);
    const before = derivePolicies(base);
    const after = derivePolicies(changeOne(base, 20));
    const renewed = [...after.keys()].filter((name) => after.get(name) !== before.get(name));
    assert.deepEqual(renewed, ['route-7']);
    assert.equal(after.get('route-7')?.priority, 20);
  });

  // Nodes applied each version of a stream of changes, also those that were overtaken at once.
  it('is done five times a second at most, and the last change is not held back', async () => {
    const source = createManualSource();
    const timer = createManualTimer();
    const { updates, reading, stop } = subscribeTo({
      control: { name: 'control-a', dataCentre: 'dc-a', region: 'region', peerAddress: '' },
      cluster: { name: clusterName, members: () => [] },
      source,
      access,
      timer,
      log: createSilentLog(),
      random: () => 0,
    });
    const settle = async () => {
      for (let turn = 0; turn < 5; turn += 1) {
        await nextTurn();
      }
    };
    const base = configurationWith(10);
    source.accept(base);
    await settle();
    assert.deepEqual(updates, [1n], 'the first change waits for nothing');
    for (let count = 1; count <= 40; count += 1) {
      source.accept(changeOne(base, count));
      timer.advance(25);
      await settle();
    }
    timer.advance(200);
    await settle();
    assert.equal(updates.at(-1), 41n);
    assert.ok(updates.length <= 7, `${updates.length} updates for 41 changes within a second`);
    const stopped = stop();
    timer.advance(10_000);
    await stopped;
    await reading;
  });
});
