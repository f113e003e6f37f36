import assert from 'node:assert/strict';
import { connect, type Socket } from 'node:net';
import { it } from 'node:test';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const mebibyte = 1024 * 1024;
const bodyBytes = 48 * mebibyte;
/** Limit for the kernel buffers of three connections and the stream buffers between them. */
const maxBufferedBytes = 24 * mebibyte;

const targets = `
[class.upload]
service = "s"
match = [{ method = "POST", path = "/plain" }]
answer_within = "30s"
`;

it('stops reading a large body while the upstream does not take it, then passes on all', async (context) => {
  const mesh = await startMesh({ targets });
  let stalled: Socket | undefined;
  let received = 0;
  mesh.upstream.onBytes((socket, total) => {
    received = total;
    if (!stalled) {
      stalled = socket;
      socket.pause();
    }
  });
  const [host, port] = mesh.caller.split(':');
  const caller = connect(Number(port), host);
  // A failing test must not keep the process of its test file running.
  context.after(async () => {
    caller.destroy();
    await mesh.stop();
  });
  let response = '';
  caller.on('data', (part) => {
    response += part.toString('latin1');
  });
  const head = `POST /plain HTTP/1.1\r\nhost: a\r\ncontent-length: ${bodyBytes}\r\n\r\n`;
  caller.write(head);
  const chunk = Buffer.alloc(64 * 1024, 'u');
  let sent = 0;
  const sendMore = () => {
    while (sent < bodyBytes) {
      sent += chunk.length;
      if (!caller.write(chunk)) {
        caller.once('drain', sendMore);
        return;
      }
    }
  };
  sendMore();
  await waitFor(() => stalled, { what: 'the upload reaches the upstream' });
  let unchanged = 0;
  let last = 0;
  await waitFor(() => {
    unchanged = sent === last ? unchanged + 1 : 0;
    last = sent;
    return unchanged >= 10;
  });
  const acceptedBytes = sent;
  stalled?.resume();
  await waitFor(() => response !== '', {
    limitMs: 30_000,
    what: `response (got ${received}, sent ${acceptedBytes} bytes; paused ${stalled?.isPaused()})`,
  });
  assert.match(response, /^HTTP\/1\.1 200 OK/);
  assert.ok(received > bodyBytes, `${received} bytes`);
  console.log(
    `${Math.round(acceptedBytes / mebibyte)} MiB accepted while the upstream was stalled`,
  );
  assert.ok(acceptedBytes < maxBufferedBytes, String(acceptedBytes));
});
