import assert from 'node:assert/strict';
import { setImmediate as nextTurn } from 'node:timers/promises';
import { describe, it } from 'node:test';
import { gzipSync } from 'node:zlib';
import type { ConnectRouter, HandlerContext } from '@connectrpc/connect';
import type { FeedMessage, SubscribeRequest } from '../src/gen/auburnsill/v1/feed_pb.js';
import {
  createConfigurationHistory,
  encodeDocument,
} from '../src/core/agreement/configurationHistory.js';
import { createConfigurationStore } from '../src/core/distribution/configurationStore.js';
import { digestConfiguration, encodeConfiguration } from '../src/core/operators/configuration.js';
import { derivePolicies } from '../src/core/operators/policy.js';
import { createDocumentReader } from '../src/platform/documents.js';
import { createControlFeed } from '../src/plugins/distribution/controlFeed.js';
import type { Configuration } from '../src/types/public.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import {
  access,
  clusterName,
  createManualSource,
  createTrafficClass,
} from './support/feedFleet.js';

const routeCount = 1_600;

/** A document of 1,600 routes, one of which depends on the number. */
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
    createTrafficClass(
      `route-${index}`,
      index === 7 ? 'stock' : 'shop',
      index === 7 ? importance : 50,
    ),
  );
  return {
    services: Object.fromEntries(['shop', 'stock'].map((name) => [name, { name, expected: true }])),
    classes: Object.fromEntries(classes.map((each) => [each.name, each])),
  };
};

/** The next configuration: one class is replaced, all others are the same objects. */
const changeOne = (base: Configuration, importance: number): Configuration => ({
  ...base,
  classes: { ...base.classes, 'route-7': createTrafficClass('route-7', 'stock', importance) },
});

const storedAt = (index: number, configuration: Configuration) => ({
  version: { term: 1, index },
  configuration,
  digest: digestConfiguration(configuration),
});

/** Counts the bytes that `TextEncoder` produces during a step. */
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

/** Collects the version indexes of the configuration updates sent to one child. */
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

describe('a change of one route in 1,600', () => {
  // Guards against a control instance that reads, encodes and compares all entries for each change,
  // which exceeded its CPU capacity during a stream of changes.
  it('keeps the entry objects of the other routes when the document is read', () => {
    const acceptance = createConfigurationHistory({ readDocument: createDocumentReader() });
    const configurations = [1, 2].map((number) => {
      const text = documentText(number);
      const change = { changeId: `c${number}`, text, number, baseNumber: number - 1 };
      const payload = encodeDocument({ ...change, proposedAtMs: 0 });
      acceptance.machine.apply({ term: 1, index: number, payload });
      return acceptance.queries.head()!.configuration;
    });
    const [base, next] = configurations;
    const replaced = Object.keys(next!.classes).filter(
      (name) => next!.classes[name] !== base!.classes[name],
    );
    assert.deepEqual(replaced, ['route-7']);
    assert.equal(next!.classes['route-7']?.timeoutMs, 1_002);
    assert.equal(next!.services.shop, base!.services.shop);
  });

  // Guards against log entries with the whole document text, 413 KB for 1,600 routes, which was
  // replicated to each control instance and did not fit for about 4,000 routes.
  it('takes less than a tenth of the size of the document in the log', () => {
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

  // Guards against encoding the whole configuration in each process only to compare its length.
  it('does not encode the whole configuration when a delta is sent', () => {
    const store = createConfigurationStore();
    const base = configurationWith(10);
    store.commands.put(storedAt(1, base));
    store.commands.put(storedAt(2, changeOne(base, 20)));
    const cursor = { version: { term: 1, index: 1 }, digest: digestConfiguration(base) };
    const bytes = countEncodedBytes(() => {
      assert.ok(store.queries.changeSince(cursor)?.base);
    });
    assert.ok(bytes < 2_000, `${bytes} bytes were encoded`);
  });

  // Guards against a relay that compares both configurations to compute a delta it just received.
  it('is passed on by a relay as the delta that the relay received', () => {
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

  // Guards against a fleet that starts at once and waits for its slow links: 1,600 routes have to
  // reach a child within 0.2 s over a link of 2 Mbit/s.
  it('takes a tenth of its text when it is sent in full, also by a relay', () => {
    const source = createConfigurationStore();
    const relay = createConfigurationStore();
    const base = configurationWith(10);
    source.commands.put(storedAt(1, base));
    const full = source.queries.changeSince(undefined)!;
    assert.ok(full.body.length < 50_000, `${full.body.length} bytes`);
    assert.equal(relay.commands.receive(full), 'stored');
    assert.deepEqual(relay.queries.newest()?.configuration, base);
    assert.equal(relay.queries.changeSince(undefined)?.body, full.body);
  });

  // Guards against an update of some KB that fills the memory of a node when it is decompressed.
  it('is refused if its text is longer than allowed', () => {
    const relay = createConfigurationStore();
    const body = gzipSync(Buffer.alloc(65 * 1024 * 1024, ' '));
    const change = { version: { term: 1, index: 1 }, resultDigest: new Uint8Array(32), body };
    assert.throws(() => relay.commands.receive(change), /cannot be decoded/);
  });

  // Guards against a process that cannot read an update that was sent without compression.
  it('is read without compression', () => {
    const relay = createConfigurationStore();
    const base = configurationWith(10);
    const resultDigest = digestConfiguration(base);
    const body = encodeConfiguration(base);
    const change = { version: { term: 1, index: 1 }, resultDigest, body };
    assert.equal(relay.commands.receive(change), 'stored');
  });

  // Guards against a node that derives the policies of all routes again for each change.
  it('keeps the policy objects of the other classes', () => {
    const base = configurationWith(10);
    const before = derivePolicies(base);
    const after = derivePolicies(changeOne(base, 20));
    const replaced = [...after.keys()].filter((name) => after.get(name) !== before.get(name));
    assert.deepEqual(replaced, ['route-7']);
    assert.equal(after.get('route-7')?.priority, 20);
  });

  // Guards against nodes that apply each version of a stream, also those superseded at once.
  it('is published at most five times a second, and the last change is not lost', async () => {
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
    const flushPromises = async () => {
      for (let turn = 0; turn < 5; turn += 1) {
        await nextTurn();
      }
    };
    const base = configurationWith(10);
    source.commit(base);
    await flushPromises();
    assert.deepEqual(updates, [1n], 'the first change was not published at once');
    for (let count = 1; count <= 40; count += 1) {
      source.commit(changeOne(base, count));
      timer.advance(25);
      await flushPromises();
    }
    timer.advance(200);
    await flushPromises();
    assert.equal(updates.at(-1), 41n);
    assert.ok(updates.length <= 7, `${updates.length} updates for 41 changes within a second`);
    const stopped = stop();
    timer.advance(10_000);
    await stopped;
    await reading;
  });
});
