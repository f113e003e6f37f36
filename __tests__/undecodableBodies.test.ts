import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, request } from 'node:http';
import { connect } from 'node:http2';
import type { AddressInfo } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { createConfigurationHistory } from '../src/core/agreement/configurationHistory.js';
import { createDocumentReader, sanitizeName } from '../src/platform/documents.js';
import { createHeartbeatServer, readHeartbeat } from '../src/platform/heartbeats.js';
import { createOperatorServer } from '../src/platform/operatorServer.js';
import { createDocumentChanges } from '../src/plugins/operators/documentChanges.js';
import type { UpstreamAnnouncement } from '../src/plugins/calls/upstreamAnnouncement.js';
import { createRpcServer } from '../src/plugins/rpc.js';
import { OperatorCommands } from '../src/gen/auburnsill/v1/operator_pb.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer } from '../src/utils/timer.js';
import { createDocument } from './support/platform.js';

const mark = '@';
const log = createSilentLog();

/** Bytes that are not UTF-8, by what is wrong with them. */
const invalidSequences: Readonly<Record<string, readonly number[]>> = {
  'a letter of Latin-1': [0xe9],
  'another letter of Latin-1': [0xe8],
  'a sequence cut at the end of the name': [0xe2, 0x82],
  'an overlong form': [0xc0, 0xaf],
  'a surrogate': [0xed, 0xa0, 0x80],
  'a continuation byte alone': [0x80],
  'a code point beyond the last one': [0xf4, 0x90, 0x80, 0x80],
};

/** Sends a body in parts that reach the server one after the other. */
const post = (port: number, path: string, parts: readonly Buffer[], method = 'POST') =>
  new Promise<{ readonly status: number; readonly body: Buffer }>((resolve, reject) => {
    const sent = request({ host: '127.0.0.1', port, path, method }, (response) => {
      const received: Buffer[] = [];
      response.on('data', (part: Buffer) => received.push(part));
      response.on('end', () =>
        resolve({ status: response.statusCode ?? 0, body: Buffer.concat(received) }),
      );
    });
    sent.on('error', reject);
    sent.setNoDelay(true);
    const writeNext = (index: number) => {
      if (index === parts.length) {
        sent.end();
        return;
      }
      sent.write(parts[index], () => setTimeout(writeNext, 20, index + 1));
    };
    writeNext(0);
  });

const freePort = () =>
  new Promise<number>((resolve) => {
    const server = createServer().listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(port));
    });
  });

const withBytes = (text: string, bytes: readonly number[] | Buffer): Buffer => {
  const [head = '', tail = ''] = text.split(mark);
  return Buffer.concat([Buffer.from(head), Buffer.from(bytes), Buffer.from(tail)]);
};

const route = { name: 'r-orders', prefix: '/orders/', service: 'beta' };

/** A document with one more route, in whose name `bytes` stand. */
const documentWith = (bytes: readonly number[] | Buffer): Buffer => {
  const routes = [route, { ...route, name: `r-caf${mark}`, prefix: '/cafe/' }];
  return withBytes(JSON.stringify(createDocument(2, 1, routes)), bytes);
};

/** Operator API of a leader whose proposals are committed at once. */
const startOperatorApi = async () => {
  const port = await freePort();
  const history = createConfigurationHistory({ readDocument: createDocumentReader() });
  let index = 0;
  const documents = createDocumentChanges({
    group: {
      commands: {
        propose: async (payload) => {
          index += 1;
          const version = { term: 1, index };
          return { version, result: history.machine.apply({ ...version, payload }) };
        },
        changeMembers: async () => undefined,
        stop: async () => undefined,
      },
      queries: {
        role: () => 'leader',
        leader: () => undefined,
        members: () => [],
        settledMembers: () => [],
        intactVoters: () => 1,
        confirmedVoters: () => 1,
        commitIndex: () => index,
        confirmRead: async () => undefined,
        confirmedAgeMs: () => 0,
        contactAgeMs: () => 0,
        matchIndex: () => index,
      },
    },
    history,
    readDocument: createDocumentReader(),
    minVoters: 0,
    timer: createTimer(),
    log,
  });
  const server = createOperatorServer({
    address: { host: '127.0.0.1', port },
    documents,
    rollouts: {
      commands: { start: async () => ({ outcome: 'accepted' }) },
      queries: { read: async () => ({ outcome: 'none' }) },
    },
    log,
  });
  await server.listen();
  const put = async (...parts: Buffer[]) => (await post(port, '/Config.Put', parts)).status;
  const read = async () => (await post(port, '/Config.Get', [], 'GET')).body;
  return { port, put, read, close: server.close };
};

describe('a configuration document', () => {
  let api: Awaited<ReturnType<typeof startOperatorApi>>;

  before(async () => {
    api = await startOperatorApi();
    const first = JSON.stringify(createDocument(1, 0, [route]));
    assert.equal(await api.put(Buffer.from(first)), 200);
  });

  after(() => api.close());

  // Guards against a change that is acknowledged and read back with other bytes, and against one that
  // is lost because it counts as another change that was sent again.
  it('with bytes that are not UTF-8 is refused, and no valid one is taken for it', async () => {
    const replacement = documentWith([0xef, 0xbf, 0xbd]);
    const refusedBefore = await Promise.all(
      Object.values(invalidSequences).map((bytes) => api.put(documentWith(bytes))),
    );
    assert.deepEqual([...new Set(refusedBefore)], [400]);
    assert.equal(await api.put(replacement), 200, 'a name with U+FFFD is proper');
    assert.deepEqual(await api.read(), replacement);
    const refusedAfter = await Promise.all(
      Object.values(invalidSequences).map((bytes) => api.put(documentWith(bytes))),
    );
    assert.deepEqual([...new Set(refusedAfter)], [400]);
    assert.equal(await api.put(replacement), 200, 'the accepted change, sent again');
    assert.equal(await api.put(documentWith(Buffer.from('é'))), 412);
    assert.deepEqual(await api.read(), replacement);
  });

  // Guards against a byte order mark that is dropped, so that two bodies become one text.
  it('with a byte order mark is refused, or read back with it', async () => {
    const current = await api.read();
    const marked = Buffer.concat([Buffer.from([0xef, 0xbb, 0xbf]), current]);
    assert.equal(await api.put(marked), 400);
    assert.deepEqual(await api.read(), current);
  });

  it('that arrives in parts which divide a character is accepted as it was sent', async () => {
    const text = JSON.stringify(
      createDocument(3, 2, [route, { ...route, name: 'r-€𝄞', prefix: '/euro/' }]),
    );
    const body = Buffer.from(text);
    const start = body.indexOf(0xe2);
    const parts = [body.subarray(0, start + 1), body.subarray(start + 1, start + 5)];
    assert.equal(await api.put(...parts, body.subarray(start + 5)), 200);
    assert.deepEqual(await api.read(), body);
  });

  // Guards against a route that replaces another one: lone surrogates have no encoding in UTF-8.
  it('keeps routes apart whose names differ in lone surrogates only', () => {
    const names = ['\ud800', '\ud801', '\udc00', '\ufffd', 'r-\ud800', 'r-\ufffd'];
    assert.equal(new Set(names.map(sanitizeName)).size, names.length);
    const routes = names.map((name, index) => ({ ...route, name, prefix: `/p${index}/` }));
    const text = JSON.stringify(createDocument(1, 0, routes));
    const { configuration } = createDocumentReader()(text);
    assert.equal(Object.keys(configuration.classes).length, names.length);
  });
});

describe('other bodies that are not UTF-8', () => {
  it('are refused when a rollout is ordered', async () => {
    const api = await startOperatorApi();
    const order = JSON.stringify({ service: 'beta', target_version: `v${mark}`, period_s: 1 });
    const bodies = Object.values(invalidSequences).map((bytes) => withBytes(order, bytes));
    const statuses = await Promise.all(
      bodies.map(async (body) => (await post(api.port, '/Rollouts.Start', [body])).status),
    );
    const proper = await post(api.port, '/Rollouts.Start', [withBytes(order, Buffer.from('é'))]);
    await api.close();
    assert.deepEqual([...new Set(statuses)], [400]);
    assert.equal(proper.status, 200);
  });

  it('are refused by the RPC interface, in JSON as in the binary format', async () => {
    const received: string[] = [];
    const server = createRpcServer({
      address: { host: '127.0.0.1', port: 0 },
      routes: (router) =>
        router.service(OperatorCommands, {
          apply: ({ targets }) => {
            received.push(targets);
            return {};
          },
        }),
      interceptors: [],
    });
    const { port } = await server.listen();
    const session = connect(`http://127.0.0.1:${port}`);
    const apply = async (bytes: readonly number[] | Buffer) => {
      const stream = session.request({
        ':method': 'POST',
        ':path': `/${OperatorCommands.typeName}/Apply`,
        'content-type': 'application/json',
      });
      stream.end(withBytes(JSON.stringify({ targets: mark }), bytes));
      const [headers] = await once(stream, 'response');
      stream.resume();
      return headers[':status'];
    };
    const statuses = await Promise.all(Object.values(invalidSequences).map(apply));
    const proper = await apply(Buffer.from('é'));
    session.close();
    await server.close(1_000);
    assert.deepEqual([...new Set(statuses)], [400]);
    assert.deepEqual([proper, received], [200, ['é']]);
  });

  it('change nothing when an upstream checks in or deregisters', async () => {
    const [controlPort, readyPort] = [await freePort(), await freePort()];
    const applied: string[] = [];
    const announcement: Partial<UpstreamAnnouncement> = {
      apply: () => {
        applied.push('check-in');
        return 'applied';
      },
      deregister: () => applied.push('deregistration'),
      endsStored: async () => undefined,
    };
    const server = createHeartbeatServer({
      control: { host: '127.0.0.1', port: controlPort },
      ready: { host: '127.0.0.1', port: readyPort },
      announcement: announcement as UpstreamAnnouncement,
      isReady: () => ({ ok: true, reasons: [] }),
      timer: createTimer(),
      log,
    });
    await server.listen();
    const checkIn = JSON.stringify({
      service: 'beta',
      address: '127.0.0.1:8145',
      zone: 'a',
      version: `v${mark}`,
      slots: 9,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: 1_000,
    });
    const departure = JSON.stringify({ born: 1_000, reason: mark });
    const send = async (path: string, text: string, bytes: readonly number[] | Buffer) =>
      (await post(controlPort, path, [withBytes(text, bytes)])).status;
    const statuses: number[] = [];
    for (const bytes of Object.values(invalidSequences)) {
      statuses.push(await send('/Instances.Heartbeat/i-1', checkIn, bytes));
      statuses.push(await send('/Instances.Deregister/i-1', departure, bytes));
    }
    const proper = await send('/Instances.Heartbeat/i-1', checkIn, Buffer.from('é'));
    await server.close();
    assert.deepEqual([...new Set(statuses)], [400]);
    assert.deepEqual([proper, applied], [200, ['check-in']]);
    // Such a version would have another value at the nodes that it is announced to.
    const surrogate = { ...JSON.parse(checkIn), version: 'v\ud800' };
    assert.throws(() => readHeartbeat('i-1', surrogate), { reason: 'malformed_message' });
  });
});
