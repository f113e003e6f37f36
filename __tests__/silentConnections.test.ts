import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import { describe, it } from 'node:test';
import { answerText, startMesh, type ReceivedRequest } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

/** Relays connections, and drops all later bytes of those that are open when `silence` is called. */
const startRelay = async (target: string) => {
  const [host, port] = target.split(':');
  const open = new Map<Socket, Socket>();
  const server = createServer((client) => {
    const onward = connect(Number(port), host);
    open.set(client, onward);
    client.pipe(onward).pipe(client);
    [client, onward].forEach((socket) => socket.on('error', () => undefined));
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    connections: () => open.size,
    silence: () =>
      open.forEach((onward, client) => {
        client.unpipe(onward);
        onward.unpipe(client);
        client.resume();
        onward.resume();
      }),
    stop: () => {
      open.forEach((onward, client) => [onward, client].forEach((socket) => socket.destroy()));
      server.close();
    },
  };
};

const withRelay = async () => {
  let relay: Awaited<ReturnType<typeof startRelay>> | undefined;
  const mesh = await startMesh({
    forwardThrough: async (forward) => {
      relay = await startRelay(forward);
      return relay.address;
    },
  });
  return { mesh, relay: relay! };
};

describe('connections that go silent for good while new ones work', () => {
  it('cost a call that can be repeated one attempt, however many idle ones there are', async () => {
    const { mesh, relay } = await withRelay();
    const held: ReceivedRequest[] = [];
    mesh.upstream.onRequest((request) => held.push(request));
    const first = Array.from({ length: 8 }, () => mesh.call(mesh.caller, '/lookup/first'));
    await waitFor(() => held.length === 8 && relay.connections() === 8);
    const answer = (request: ReceivedRequest) => request.socket.write(answerText(request));
    held.forEach(answer);
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
    // Each attempt on a silent connection costs 1 s: one may, of three calls and eight connections.
    assert.ok(performance.now() - startedAt < 2_000);
    relay.stop();
    await mesh.stop();
  });

  it('end a busy call that must not be repeated with a true refusal, and the next one works', async () => {
    const { mesh, relay } = await withRelay();
    const held: ReceivedRequest[] = [];
    mesh.upstream.onRequest((request) => held.push(request));
    const busy = mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    await waitFor(() => held.length === 1);
    relay.silence();
    held[0]!.socket.write(answerText(held[0]!));
    const refused = await busy;
    assert.equal(refused.status, 504, refused.body);
    assert.equal(JSON.parse(refused.body).run, 'may_have_run');
    mesh.upstream.onRequest((request) => request.socket.write(answerText(request)));
    const next = await mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    assert.equal(next.status, 200, next.body);
    relay.stop();
    await mesh.stop();
  });
});
