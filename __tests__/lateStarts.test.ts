import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { it } from 'node:test';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

// Guards against a node that, for lack of processor time, forwards calls so late that their callers
// no longer wait for them.
it('calls that waited too long for their start are refused immediately', async (t) => {
  const { callers } = nativeCallInterface;
  const blockMs = 40;
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
          const until = performance.now() + blockMs;
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
  let received = '';
  socket.on('data', (chunk) => {
    received += chunk.toString();
  });
  // All requests are parsed in one turn of the event loop, so that the first call starts only after
  // the parsing of the others.
  socket.write('GET /lookup/1 HTTP/1.1\r\nhost: h\r\n\r\n'.repeat(count));

  const countResponses = (status: string) => received.split(`HTTP/1.1 ${status} `).length - 1;
  await waitFor(() => countResponses('200') + countResponses('503') === count, {
    what: 'all responses',
  });
  assert.ok(countResponses('503') > 0);
  assert.ok(countResponses('200') > 0);
  assert.equal(received.match(/"reason":"overloaded"/g)?.length, countResponses('503'));
  assert.equal(received.match(/"run":"not_run"/g)?.length, countResponses('503'));
  assert.equal(received.match(/retry-after: \d+\r\n/g)?.length, countResponses('503'));
  assert.equal(mesh.upstream.started(), countResponses('200'));
});
