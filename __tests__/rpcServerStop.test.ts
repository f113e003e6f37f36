import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, constants } from 'node:http2';
import { it } from 'node:test';
import { createRpcServer } from '../src/plugins/rpc.js';

it('refuses no stream of a peer when the server stops', async () => {
  // Guards against a GOAWAY that refuses a stream while its request is being sent. nghttp2 in
  // Node.js 20 then writes an empty frame of that stream endlessly: the event loop of the peer is
  // blocked permanently and its memory grows.
  const server = createRpcServer({
    address: { host: '127.0.0.1', port: 0 },
    routes: () => undefined,
    interceptors: [],
  });
  const { port } = await server.listen();
  const session = connect(`http://127.0.0.1:${port}`);
  await once(session, 'connect');
  const goneAway = once(session, 'goaway');
  const ended = once(session, 'close');
  const closed = server.close(5_000);
  const [code, lastStreamId] = (await goneAway) as [number, number];
  assert.equal(code, constants.NGHTTP2_NO_ERROR);
  assert.equal(lastStreamId, 2 ** 31 - 1);
  await Promise.all([ended, closed]);
});
