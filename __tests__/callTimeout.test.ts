import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { formatResponse, startMesh, type Mesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const timeoutMs = 600;
const targets = `
[class.lookup]
service = "s"
match = [{ method = "GET", path = "/lookup" }]
answer_within = "300ms"
idempotent = true
timeout = "${timeoutMs}ms"
`;
const partPeriodMs = 50;
/** More than the buffers of all hops hold, so that its last bytes have to wait for their reader. */
const largeBytes = 24 * 1_024 * 1_024;
const largeRequestId = 'large';

const hops = ['beside', 'caller'] as const;

describe('a response that has not ended at the timeout of its class', () => {
  let mesh: Mesh;
  const callers = new Set<Socket>();
  const timers = new Set<NodeJS.Timeout>();
  let isUpstreamClosed = false;

  beforeEach(async () => {
    isUpstreamClosed = false;
    mesh = await startMesh({ targets, slots: 2 });
    mesh.upstream.onRequest(({ socket, headers, path, ...request }) => {
      const id = headers['x-request-id'];
      if (!path.includes('?')) {
        socket.write(formatResponse({ socket, headers, path, ...request }));
        return;
      }
      socket.once('close', () => {
        isUpstreamClosed = true;
      });
      if (id === largeRequestId) {
        socket.write(
          `HTTP/1.1 200 OK\r\ncontent-length: ${largeBytes}\r\nx-request-id: ${id}\r\n\r\n`,
        );
        socket.write(Buffer.alloc(largeBytes, 'l'));
        return;
      }
      socket.write(`HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\nx-request-id: ${id}\r\n\r\n`);
      timers.add(setInterval(() => socket.write('4\r\npart\r\n'), partPeriodMs));
    });
  });

  afterEach(async () => {
    timers.forEach((timer) => clearInterval(timer));
    callers.forEach((socket) => socket.destroy());
    callers.clear();
    await mesh.stop();
  });

  /** Sends a call whose caller never leaves. */
  const open = (address: string, requestId: string): Socket => {
    const [host = '', port] = address.split(':');
    const socket = connect(Number(port), host);
    callers.add(socket);
    socket.on('error', () => undefined);
    socket.write(`GET /lookup?slow HTTP/1.1\r\nhost: a\r\nx-request-id: ${requestId}\r\n\r\n`);
    return socket;
  };

  hops.forEach((hop) => {
    // Guards against bytes without end that hold a call, its slot and two connections until the
    // caller leaves: the timeout bounded only the time to the head.
    it(`is broken off, with its upstream's connection, ${hop} node`, async () => {
      const startedAt = performance.now();
      const socket = open(mesh[hop], 'endless');
      let text = '';
      let closedAt = 0;
      socket.on('data', (part: Buffer) => {
        text += part.toString('latin1');
      });
      socket.once('close', () => {
        closedAt = performance.now();
      });
      await waitFor(() => closedAt > 0, { what: 'the end of the call' });
      assert.match(text, /^HTTP\/1\.1 200 /);
      assert.ok(!text.endsWith('0\r\n\r\n'), 'the response must not look complete');
      assert.ok(closedAt - startedAt >= timeoutMs, 'the call has its whole time');
      await waitFor(() => isUpstreamClosed, { what: 'the end of the connection to the upstream' });
      assert.equal((await mesh.call(mesh[hop], '/lookup')).status, 200);
    });

    // Guards against a response whose last bytes wait for a caller that does not read.
    it(`is broken off if its caller does not read, ${hop} node`, async () => {
      const socket = open(mesh[hop], largeRequestId).pause();
      await waitFor(() => socket.readableLength > 0 || isUpstreamClosed);
      await waitFor(() => isUpstreamClosed, { what: 'the end of the connection to the upstream' });
      let isClosed = false;
      let received = 0;
      socket.once('close', () => {
        isClosed = true;
      });
      socket.on('data', (part: Buffer) => {
        received += part.length;
      });
      socket.resume();
      await waitFor(() => isClosed, { what: 'the end of the call' });
      assert.ok(received < largeBytes);
    });
  });
});
