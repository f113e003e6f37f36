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
import { answerText, startMesh, type ReceivedRequest } from './support/callMesh.js';
import { startFaultProxy, type FaultProxy } from './support/faultProxy.js';
import { waitFor } from './support/waitFor.js';

const seed = 20261205;

const readAll = (chunks: readonly Buffer[]) => {
  const frames: Frame[] = [];
  const reader = createFrameReader((frame) => frames.push(frame));
  const problems = chunks.map((chunk) => reader.push(chunk)).filter((each) => each !== undefined);
  return { frames, problems };
};

const describeFrame = ({ kind, head, body }: Frame) =>
  JSON.stringify([kind, head, body.toString('hex')]);

describe('frames between nodes', () => {
  // Guards against a frame that is lost or joined with another one where packets split it.
  it('arrive whole and in order, however the bytes are split', () => {
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
          for (let from = 0, turn = 0; from < bytes.length; turn += 1) {
            const to = from + sizes[turn % sizes.length]!;
            chunks.push(bytes.subarray(from, to));
            from = to;
          }
          const { frames, problems } = readAll(chunks);
          assert.deepEqual(frames.map(describeFrame), sent.map(describeFrame));
          assert.deepEqual(problems, []);
        },
      ),
      { seed },
    );
  });

  it('of an unknown kind or beyond the bounds are malformed', () => {
    const [unknown] = encodeFrame('end');
    unknown!.writeUInt8(200, 8);
    const [longHead] = encodeFrame('end');
    longHead!.writeUInt32BE(2 ** 31, 0);
    const [longBody] = encodeFrame('end');
    longBody!.writeUInt32BE(maxFrameBodyBytes + 1, 4);
    [unknown, longHead, longBody].forEach((bytes) =>
      assert.deepEqual(readAll([bytes!]), { frames: [], problems: ['malformed frame'] }),
    );
  });
});

describe('connections between nodes', () => {
  const startWithProxy = async () => {
    let proxy: FaultProxy | undefined;
    const mesh = await startMesh({
      forwardThrough: async (target) => {
        proxy = await startFaultProxy({ target, host: '127.0.0.1' });
        return proxy.address;
      },
    });
    return { mesh, proxy: proxy! };
  };

  // Guards against a new connection for each call that a caller gives up: a busy node accepts few.
  it('outlive cancelled calls, whose answers reach nobody', async (t) => {
    const { mesh, proxy } = await startWithProxy();
    t.after(async () => {
      await mesh.stop();
      await proxy.close();
    });
    const held: ReceivedRequest[] = [];
    for (let round = 0; round < 5; round += 1) {
      mesh.upstream.onRequest((request) => held.push(request));
      const controller = new AbortController();
      const cancelled = mesh.call(mesh.caller, '/lookup/1', {
        headers: { 'x-request-id': `cancelled-${round}` },
        signal: controller.signal,
      });
      await waitFor(() => held.length === round + 1);
      controller.abort();
      await assert.rejects(cancelled);
      await waitFor(() => held[round]!.socket.destroyed, { what: 'the end at the upstream' });
      mesh.upstream.onRequest((request) => request.socket.write(answerText(request)));
      const id = `next-${round}`;
      const next = await mesh.call(mesh.caller, '/lookup/1', { headers: { 'x-request-id': id } });
      assert.equal(JSON.parse(next.body).requestId, id);
    }
    assert.equal(proxy.connections(), 1);
  });

  // Guards against a stop that waits for idle connections until its limit.
  it('end when the other node says that it stops', async () => {
    const { mesh, proxy } = await startWithProxy();
    await mesh.call(mesh.caller, '/lookup/1');
    assert.equal(proxy.connections(), 1);
    const stopped = mesh.besideNode.stop(30_000);
    await waitFor(() => proxy.connections() === 0, { limitMs: 3_000, what: 'the end of the link' });
    await stopped;
    await mesh.stop();
    await proxy.close();
  });

  // Guards against an answer that is cut because its caller reads nothing for a while.
  it('carry a large answer whole to a caller that pauses for longer than silence is borne', async (t) => {
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

  // Guards against a connection that stays unread because its last call left a part of its body.
  it('go on after an answer that came before the body of its request was read', async (t) => {
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

  // Guards against a call that is not tried elsewhere while nodes of two versions run.
  it('to a node that does not speak the protocol say that the call was not run', async (t) => {
    const other = createServer((_request, response) => {
      response.writeHead(400, { 'content-length': 0 });
      response.end();
    });
    const { port } = await listenHttp(other, { host: '127.0.0.1', port: 0 });
    const mesh = await startMesh({ forwardThrough: async () => `127.0.0.1:${port}` });
    t.after(async () => {
      await mesh.stop();
      other.close();
    });
    const answer = await mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'b' });
    assert.equal(answer.status, 503);
    assert.equal(JSON.parse(answer.body).run, 'not_run');
  });

  // Guards against a stranger that ends the process by resetting a connection which was refused.
  it('of strangers that are reset do not end the process', async (t) => {
    const mesh = await startMesh();
    t.after(() => mesh.stop());
    const [host, port] = mesh.besideNode.forward.split(':');
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

  it('are refused without the cluster token, and end after a malformed frame', async (t) => {
    const mesh = await startMesh();
    t.after(() => mesh.stop());
    const [host, port] = mesh.besideNode.forward.split(':');
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
    const unasked = Buffer.concat(encodeFrame('answer', { status: 200, headers: [] }));
    assert.match(await open('wrong', call), /^HTTP\/1\.1 403 /);
    assert.match(await open('token', unasked), /^HTTP\/1\.1 101 [^]*\r\n\r\n$/);
    assert.match(await open('token', Buffer.alloc(64, 0xff)), /^HTTP\/1\.1 101 /);
    assert.equal(mesh.upstream.started(), 0);
  });
});
