import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { formatResponse, startMesh, type ReceivedRequest } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

/** Relays connections. `silence` makes it drop all later bytes of the connections that are open. */
const startRelay = async (target: string) => {
  const [host, port] = target.split(':');
  const connections = new Map<Socket, Socket>();
  const server = createServer((client) => {
    const outbound = connect(Number(port), host);
    connections.set(client, outbound);
    client.pipe(outbound).pipe(client);
    [client, outbound].forEach((socket) => socket.on('error', () => undefined));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections: () => connections.size,
    silence: () =>
      connections.forEach((outbound, client) => {
        client.unpipe(outbound);
        outbound.unpipe(client);
        client.resume();
        outbound.resume();
      }),
    stop: () => {
      connections.forEach((outbound, client) =>
        [outbound, client].forEach((socket) => socket.destroy()),
      );
      server.close();
    },
  };
};

const startMeshWithRelay = async () => {
  let relay: Awaited<ReturnType<typeof startRelay>> | undefined;
  const mesh = await startMesh({
    forwardThrough: async (forward) => {
      relay = await startRelay(forward);
      return relay.address;
    },
  });
  return { mesh, relay: relay! };
};

describe('connections that go silent permanently while new ones work', () => {
  it('cost an idempotent call one attempt, however many of them are idle', async () => {
    const { mesh, relay } = await startMeshWithRelay();
    const pending: ReceivedRequest[] = [];
    mesh.upstream.onRequest((request) => pending.push(request));
    const first = Array.from({ length: 8 }, () => mesh.call(mesh.caller, '/lookup/first'));
    await waitFor(() => pending.length === 8 && relay.connections() === 8);
    const answer = (request: ReceivedRequest) => request.socket.write(formatResponse(request));
    pending.forEach(answer);
    await Promise.all(first);
    mesh.upstream.onRequest(answer);
    relay.silence();
    const startedAt = performance.now();
    for (const id of ['a', 'b', 'c']) {
      const headers = { 'x-request-id': id };
      const after = await mesh.call(mesh.caller, '/lookup/second', { headers });
      assert.equal(after.status, 200, after.body);
      assert.equal(JSON.parse(after.body).requestId, id);
    }
    // An attempt on a silent connection costs 1 s: three calls and eight connections may make one.
    assert.ok(performance.now() - startedAt < 2_000);
    relay.stop();
    await mesh.stop();
  });

  it('fail a non-idempotent call in flight as may_have_run, and the next call works', async () => {
    const { mesh, relay } = await startMeshWithRelay();
    const held: ReceivedRequest[] = [];
    mesh.upstream.onRequest((request) => held.push(request));
    const busy = mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    await waitFor(() => held.length === 1);
    relay.silence();
    held[0]!.socket.write(formatResponse(held[0]!));
    const refused = await busy;
    assert.equal(refused.status, 504, refused.body);
    assert.equal(JSON.parse(refused.body).run, 'may_have_run');
    mesh.upstream.onRequest((request) => request.socket.write(formatResponse(request)));
    const next = await mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    assert.equal(next.status, 200, next.body);
    relay.stop();
    await mesh.stop();
  });
});
