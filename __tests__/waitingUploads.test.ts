import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createBodyBudget, createBodyBuffer } from '../src/plugins/calls/bodyBuffer.js';
import { formatResponse, startMesh, type ReceivedRequest } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const bodyBytes = 150_000;
const count = 3;
const targets = `
[class.upload]
service = "s"
match = [{ method = "POST", path = "/plain" }]
answer_within = "30s"
may_wait = "30s"
`;
const part = Buffer.alloc(32 * 1_024, 'p');

describe('uploads that wait for a slot', () => {
  // Guards against uploads that run after their callers have left: a node that stops reading a body
  // does not see the end of the connection behind it.
  (['beside', 'caller'] as const).forEach((hop) =>
    it(`are not started once their callers have left, ${hop} node`, async (context) => {
      const mesh = await startMesh({ targets, slots: 1 });
      const sockets: Socket[] = [];
      context.after(async () => {
        sockets.forEach((socket) => socket.destroy());
        await mesh.stop();
      });
      const held: ReceivedRequest[] = [];
      mesh.upstream.onRequest((request) => held.push(request));
      const running = mesh.call(mesh.beside, '/plain', { method: 'POST', body: 'first' });
      await waitFor(() => held.length === 1);
      const [host, port] = mesh[hop].split(':');
      for (let index = 0; index < count; index += 1) {
        const socket = connect(Number(port), host);
        sockets.push(socket);
        socket.write(`POST /plain HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n`);
        socket.write(Buffer.alloc(bodyBytes, 'u'));
      }
      const waiting = async () => (await mesh.report(mesh.upstreamNode)).upstream.waiting;
      await waitFor(async () => (await waiting()) === count, { what: 'the wait of all uploads' });
      sockets.forEach((socket) => socket.end());
      await waitFor(async () => (await waiting()) === 0, { what: 'the end of the wait' });
      mesh.upstream.onRequest((request) => request.socket.write(formatResponse(request)));
      held.forEach((request) => request.socket.write(formatResponse(request)));
      await running;
      assert.equal(mesh.upstream.started(), 1);
    }),
  );
});

describe('buffered bodies', () => {
  // Guards against uploads that fill the memory of a node while they wait.
  it('hold the budget of all bodies and a small part of each', () => {
    const budget = createBodyBudget(10 * part.length);
    const fill = () => {
      const buffer = createBodyBuffer(budget, () => undefined);
      let parts = 1;
      while (buffer.push(part)) {
        parts += 1;
      }
      return parts;
    };
    assert.equal(fill(), 10);
    assert.equal(fill(), 2);
  });

  it('return their bytes to the budget when they are dropped, also unread', async () => {
    const budget = createBodyBudget(part.length);
    let isResumed = false;
    const unread = createBodyBuffer(budget, () => {
      isResumed = true;
    });
    unread.push(part);
    assert.equal(unread.push(part), false);
    assert.equal(budget.hasRoom(), false);
    unread.destroy(new Error('over'));
    assert.equal(budget.hasRoom(), true);
    assert.ok(isResumed, 'the rest of the body is read and dropped');
    await assert.rejects(async () => {
      for await (const bytes of unread.parts) {
        assert.fail(`${bytes.length} bytes`);
      }
    }, /over/);
  });

  it('are read in the order of their parts', async () => {
    const buffer = createBodyBuffer(createBodyBudget(), () => undefined);
    buffer.push(Buffer.from('a'));
    setImmediate(() => {
      buffer.push(Buffer.from('b'));
      buffer.end();
    });
    const read: string[] = [];
    for await (const bytes of buffer.parts) {
      read.push(bytes.toString());
    }
    assert.deepEqual(read, ['a', 'b']);
  });
});
