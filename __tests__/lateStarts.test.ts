import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { it } from 'node:test';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

// Guards against a node without processor time that sends calls on so late that nobody waits for them.
it('calls that waited too long for their start are refused at once', async (t) => {
  const { callers } = nativeCallInterface;
  const readMs = 40;
  const count = 20;
  const mesh = await startMesh({
    targets: `
[class.lookup]
service = "s"
match = [{ method = "GET", path = "/lookup" }]
answer_within = "400ms"
timeout = "5s"
idempotent = true
`,
    slots: 100,
    callInterface: {
      ...nativeCallInterface,
      callers: {
        ...callers,
        readCall: (request) => {
          const until = performance.now() + readMs;
          while (performance.now() < until);
          return callers.readCall(request);
        },
      },
    },
  });
  t.after(() => mesh.stop());
  const [host, port] = mesh.beside.split(':');
  const socket = connect(Number(port), host);
  t.after(() => socket.destroy());
  let text = '';
  socket.on('data', (chunk) => {
    text += chunk.toString();
  });
  // All are read in one turn of the event loop, so that the first waits for the reading of the others.
  socket.write('GET /lookup/1 HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(count));

  const answered = (status: string) => text.split(`HTTP/1.1 ${status} `).length - 1;
  await waitFor(() => answered('200') + answered('503') === count, { what: 'all answers' });
  assert.ok(answered('503') > 0);
  assert.ok(answered('200') > 0);
  assert.equal(text.match(/"reason":"overloaded"/g)?.length, answered('503'));
  assert.equal(text.match(/"run":"not_run"/g)?.length, answered('503'));
  assert.equal(text.match(/retry-after: \d+\r\n/g)?.length, answered('503'));
  assert.equal(mesh.upstream.started(), answered('200'));
});
