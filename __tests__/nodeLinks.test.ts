import assert from 'node:assert/strict';
import { once } from 'node:events';
import { createServer, get, type IncomingMessage } from 'node:http';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { setTimeout as sleep } from 'node:timers/promises';
import fc from 'fast-check';
import {
  createFrameReader,
  encodeFrame,
  maxFrameBodyBytes,
  type Frame,
} from '../src/plugins/calls/linkFrames.js';
import { listenHttp } from '../src/plugins/httpListen.js';
import { formatResponse, startMesh, type ReceivedRequest } from './support/callMesh.js';
import { startFaultProxy, type FaultProxy } from './support/faultProxy.js';
import { waitFor } from './support/waitFor.js';

const seed = 20261205;

const decodeAll = (chunks: readonly Buffer[]) => {
  const frames: Frame[] = [];
  const reader = createFrameReader((frame) => frames.push(frame));
  const problems = chunks.map((chunk) => reader.push(chunk)).filter((each) => each !== undefined);
  return { frames, problems };
};

const describeFrame = ({ kind, head, body }: Frame) =>
  JSON.stringify([kind, head, body.toString('hex')]);

describe('frames between nodes', () => {
  // Guards against a frame that is lost or merged with another one when packets split it.
  it('are decoded completely and in order, however the bytes are split', () => {
    const frame = fc.record({
      kind: fc.constantFrom<Frame['kind']>('call', 'part', 'end', 'answer', 'refusal'),
      head: fc.option(fc.array(fc.string(), { maxLength: 5 }), { nil: undefined }),
      body: fc.uint8Array({ maxLength: 20_000 }).map((bytes) => Buffer.from(bytes)),
    });
    fc.assert(
      fc.property(
        fc.array(frame, { minLength: 1, maxLength: 5 }),
        fc.array(fc.integer({ min: 1, max: 30_000 }), { minLength: 1, maxLength: 20 }),
        (sent, sizes) => {
          const bytes = Buffer.concat(
            sent.flatMap(({ kind, head, body }) => encodeFrame(kind, head, body)),
          );
          const chunks: Buffer[] = [];
          for (let from = 0, index = 0; from < bytes.length; index += 1) {
            const to = from + sizes[index % sizes.length]!;
            chunks.push(bytes.subarray(from, to));
            from = to;
          }
          const { frames, problems } = decodeAll(chunks);
          assert.deepEqual(frames.map(describeFrame), sent.map(describeFrame));
          assert.deepEqual(problems, []);
        },
      ),
      { seed },
    );
  });

  it('are malformed if their kind is unknown or a length is above its limit', () => {
    const [unknown] = encodeFrame('end');
    unknown!.writeUInt8(200, 8);
    const [oversizedHead] = encodeFrame('end');
    oversizedHead!.writeUInt32BE(2 ** 31, 0);
    const [oversizedBody] = encodeFrame('end');
    oversizedBody!.writeUInt32BE(maxFrameBodyBytes + 1, 4);
    [unknown, oversizedHead, oversizedBody].forEach((bytes) =>
      assert.deepEqual(decodeAll([bytes!]), { frames: [], problems: ['malformed frame'] }),
    );
  });
});

describe('connections between nodes', () => {
  const startMeshWithProxy = async () => {
    let proxy: FaultProxy | undefined;
    const mesh = await startMesh({
      forwardThrough: async (target) => {
        proxy = await startFaultProxy({ target, host: '127.0.0.1' });
        return proxy.address;
      },
    });
    return { mesh, proxy: proxy! };
  };

  // Guards against a new connection for each call that a caller cancels: a busy node accepts few.
  it('outlive cancelled calls, whose responses are discarded', async (t) => {
    const { mesh, proxy } = await startMeshWithProxy();
    t.after(async () => {
      await mesh.stop();
      await proxy.close();
    });
    const pending: ReceivedRequest[] = [];
    for (let round = 0; round < 5; round += 1) {
      mesh.upstream.onRequest((request) => pending.push(request));
      const controller = new AbortController();
      const cancelled = mesh.call(mesh.caller, '/lookup/1', {
        headers: { 'x-request-id': `cancelled-${round}` },
        signal: controller.signal,
      });
      await waitFor(() => pending.length === round + 1);
      controller.abort();
      await assert.rejects(cancelled);
      await waitFor(() => pending[round]!.socket.destroyed, {
        what: 'the close of the connection to the upstream',
      });
      mesh.upstream.onRequest((request) => request.socket.write(formatResponse(request)));
      const id = `next-${round}`;
      const next = await mesh.call(mesh.caller, '/lookup/1', { headers: { 'x-request-id': id } });
      assert.equal(JSON.parse(next.body).requestId, id);
    }
    assert.equal(proxy.connections(), 1);
  });

  // Guards against a stop that waits for idle connections until its time limit.
  it('close when the other node announces that it is stopping', async () => {
    const { mesh, proxy } = await startMeshWithProxy();
    await mesh.call(mesh.caller, '/lookup/1');
    assert.equal(proxy.connections(), 1);
    const stopped = mesh.upstreamNode.stop(30_000);
    await waitFor(() => proxy.connections() === 0, {
      limitMs: 3_000,
      what: 'the close of the link',
    });
    await stopped;
    await mesh.stop();
    await proxy.close();
  });

  // Guards against a truncated response to a caller that does not read for a while.
  it('deliver a large response to a caller that pauses beyond the idle timeout', async (t) => {
    const mesh = await startMesh();
    t.after(() => mesh.stop());
    const body = Buffer.alloc(16 * 1_024 * 1_024, 'x');
    mesh.upstream.onRequest(({ headers, socket }) => {
      const id = headers['x-request-id'];
      socket.write(
        `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\nx-request-id: ${id}\r\n\r\n`,
      );
      socket.write(body);
    });
    const answer = await new Promise<IncomingMessage>((resolve, reject) => {
      get(`http://${mesh.caller}/lookup/1`, { agent: false }, resolve).on('error', reject);
    });
    await sleep(6_000);
    let bytes = 0;
    for await (const part of answer) {
      bytes += (part as Buffer).length;
    }
    assert.equal(bytes, body.length);
  });

  // Guards against a connection that stays paused because its last call left body bytes unread.
  it('stay usable after a response that came before its request was read', async (t) => {
    const mesh = await startMesh();
    t.after(() => mesh.stop());
    for (let round = 0; round < 3; round += 1) {
      let answered = false;
      mesh.upstream.onBytes((socket) => {
        if (!answered) {
          answered = true;
          socket.end('HTTP/1.1 200 OK\r\ncontent-length: 2\r\nconnection: close\r\n\r\nok');
        }
      });
      const early = mesh.call(mesh.caller, '/plain', {
        method: 'POST',
        body: Buffer.alloc(4 * 1_024 * 1_024),
      });
      await early.catch(() => undefined);
      mesh.upstream.onBytes(() => undefined);
      const next = await mesh.call(mesh.caller, '/lookup/1');
      assert.equal(next.status, 200, next.body);
    }
  });

  // Guards against a call that is not retried elsewhere while nodes of two versions run.
  it('report a call as not run if the other node does not speak the protocol', async (t) => {
    const otherServer = createServer((_request, response) => {
      response.writeHead(400, { 'content-length': 0 });
      response.end();
    });
    const { port } = await listenHttp(otherServer, { host: '127.0.0.1', port: 0 });
    const mesh = await startMesh({ forwardThrough: async () => `127.0.0.1:${port}` });
    t.after(async () => {
      await mesh.stop();
      otherServer.close();
    });
    const answer = await mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'b' });
    assert.equal(answer.status, 503);
    assert.equal(JSON.parse(answer.body).run, 'not_run');
  });

  // Guards against a client that ends the process by resetting a connection that was refused.
  it('that were refused do not end the process when the client resets them', async (t) => {
    const mesh = await startMesh();
    t.after(() => mesh.stop());
    const [host, port] = mesh.upstreamNode.forward.split(':');
    for (let round = 0; round < 20; round += 1) {
      const socket = connect(Number(port), host);
      socket.on('error', () => undefined);
      socket.write('GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: other\r\n\r\n');
      await once(socket, 'readable');
      socket.resetAndDestroy();
      await once(socket, 'close');
    }
    const answer = await mesh.call(mesh.caller, '/lookup/1');
    assert.equal(answer.status, 200);
  });

  it('are refused without the cluster token, and close after a malformed frame', async (t) => {
    const mesh = await startMesh();
    t.after(() => mesh.stop());
    const [host, port] = mesh.upstreamNode.forward.split(':');
    const open = async (token: string, frame: Buffer) => {
      const socket = connect(Number(port), host);
      let text = '';
      socket.on('data', (chunk) => {
        text += chunk.toString('latin1');
      });
      socket.on('error', () => undefined);
      socket.write(
        `GET / HTTP/1.1\r\nhost: h\r\nconnection: upgrade\r\nupgrade: auburnsill-calls-1\r\n` +
          `authorization: Bearer ${token}\r\n\r\n`,
      );
      socket.write(frame);
      await once(socket, 'close');
      return text;
    };
    const call = Buffer.concat(encodeFrame('call', { attemptId: 'a', requestId: 'r' }));
    const unexpected = Buffer.concat(encodeFrame('answer', { status: 200, headers: [] }));
    assert.match(await open('wrong', call), /^HTTP\/1\.1 403 /);
    assert.match(await open('token', unexpected), /^HTTP\/1\.1 101 [^]*\r\n\r\n$/);
    assert.match(await open('token', Buffer.alloc(64, 0xff)), /^HTTP\/1\.1 101 /);
    assert.equal(mesh.upstream.started(), 0);
  });
});
