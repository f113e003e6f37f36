import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { describe, it } from 'node:test';
import { formatResponse, startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const bodyBytes = 800_000;
const firstBytes = 200_000;
const hops = ['beside', 'caller'] as const;

describe('a response that comes before the whole body of its request was read', () => {
  // Guards against a connection on which no further request is read: the rest of the body stayed
  // unread after the response.
  hops.forEach((hop) =>
    it(`leaves the connection of its caller to the next request, ${hop} node`, async (context) => {
      const mesh = await startMesh({ slots: 4 });
      const answered = new Set<unknown>();
      mesh.upstream.onBytes((socket) => {
        if (!answered.has(socket)) {
          answered.add(socket);
          socket.write(
            'HTTP/1.1 413 Content Too Large\r\ncontent-length: 0\r\nx-request-id: early\r\n\r\n',
          );
        }
      });
      const [host, port] = mesh[hop].split(':');
      const caller = connect(Number(port), host);
      context.after(async () => {
        caller.destroy();
        await mesh.stop();
      });
      let received = '';
      caller.on('data', (part: Buffer) => {
        received += part.toString('latin1');
      });
      caller.write(
        `POST /plain HTTP/1.1\r\nhost: a\r\nx-request-id: early\r\ncontent-length: ${bodyBytes}\r\n\r\n`,
      );
      caller.write(Buffer.alloc(firstBytes, 'u'));
      await waitFor(() => received.includes('413'), { what: 'the early response' });
      caller.write(Buffer.alloc(bodyBytes - firstBytes, 'u'));
      mesh.upstream.onBytes(() => undefined);
      mesh.upstream.onRequest((request) => request.socket.write(formatResponse(request)));
      caller.write('GET /lookup HTTP/1.1\r\nhost: a\r\nx-request-id: next\r\n\r\n');
      await waitFor(() => received.includes('HTTP/1.1 200'), {
        limitMs: 10_000,
        what: `the response to the next request, after ${JSON.stringify(received.slice(0, 200))}`,
      });
      assert.match(received, /"requestId":"next"/);
    }),
  );
});
