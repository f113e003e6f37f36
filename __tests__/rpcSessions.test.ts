import assert from 'node:assert/strict';
import { once } from 'node:events';
import http2, { type ClientHttp2Session, type ServerHttp2Session } from 'node:http2';
import { syncBuiltinESMExports } from 'node:module';
import { connect as openSocket, createServer, type AddressInfo } from 'node:net';
import { it, type TestContext } from 'node:test';
import { createClient } from '@connectrpc/connect';
import { connectNodeAdapter } from '@connectrpc/connect-node';
import { Consensus } from '../src/gen/auburnsill/v1/consensus_pb.js';
import { createRpcServer, createRpcTransport } from '../src/plugins/rpc.js';

/** Records the client sessions that are opened, by replacing `http2.connect`. */
const recordSessions = () => {
  const sessions: ClientHttp2Session[] = [];
  const { connect } = http2;
  http2.connect = ((...args: Parameters<typeof connect>) => {
    const session = connect(...args);
    sessions.push(session);
    return session;
  }) as typeof connect;
  syncBuiltinESMExports();
  const restore = () => {
    http2.connect = connect;
    syncBuiltinESMExports();
  };
  return { sessions, restore };
};

/** Starts a peer that registers the service without implementing any of its methods. */
const startPeer = async (t: TestContext) => {
  const sessions: ServerHttp2Session[] = [];
  const server = http2.createServer(
    connectNodeAdapter({ routes: (router) => router.service(Consensus, {}) }),
  );
  server.on('session', (session) => sessions.push(session));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  t.after(() => server.close());
  return { sessions, address: `127.0.0.1:${(server.address() as AddressInfo).port}` };
};

// Guards against an uncaught error that ends the process when its peer stops at the same moment.
it('survives a transport that is closed while its peer sends GOAWAY', async (t) => {
  const { sessions: peers, address } = await startPeer(t);
  const { sessions, restore } = recordSessions();

  const { transport, close } = createRpcTransport(address, []);
  await assert.rejects(createClient(Consensus, transport).join({}), /unimplemented/);
  restore();
  const session = sessions[0]!;
  session.once('goaway', close);
  const closed = new Promise((resolve) => {
    session.once('close', resolve);
  });
  peers[0]!.goaway();
  await closed;
});

// Guards against RPCs that hang on a connection to which the peer sends nothing.
it('fails a call within its timeout when the peer sends nothing', async (t) => {
  const server = createServer(() => undefined);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const { port } = server.address() as AddressInfo;
  const { transport, close } = createRpcTransport(`127.0.0.1:${port}`, [], 200);
  t.after(() => {
    close();
    server.close();
  });
  await assert.rejects(createClient(Consensus, transport).join({}), /deadline/);
});

it('opens a new connection after the peer has closed the old one', async (t) => {
  const { sessions: peers, address } = await startPeer(t);
  const { sessions, restore } = recordSessions();
  t.after(restore);
  const { transport, close } = createRpcTransport(address, []);
  t.after(close);
  const client = createClient(Consensus, transport);
  for (let turn = 1; turn <= 3; turn += 1) {
    await assert.rejects(client.join({}), /unimplemented/);
    assert.equal(peers.length, turn);
    const closed = new Promise((resolve) => {
      sessions.at(-1)!.once('close', resolve);
    });
    peers.at(-1)!.destroy();
    await closed;
  }
});

// Guards against a process that never ends because a peer keeps its side of a connection open.
it('closes a server within its grace period although a peer does not close its side', async (t) => {
  const server = createRpcServer({
    address: { host: '127.0.0.1', port: 0 },
    routes: (router) => router.service(Consensus, {}),
    interceptors: [],
  });
  const { port } = await server.listen();
  const socket = openSocket({ host: '127.0.0.1', port, allowHalfOpen: true });
  t.after(() => socket.destroy());
  socket.on('error', () => undefined);
  // The client's preface and an empty SETTINGS frame.
  const settingsFrame = Buffer.from([0, 0, 0, 4, 0, 0, 0, 0, 0]);
  socket.write(Buffer.concat([Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n'), settingsFrame]));
  await once(socket, 'data');
  const limit = AbortSignal.timeout(3_000);
  const late = once(limit, 'abort').then(() => 'late');
  assert.equal(await Promise.race([server.close(100).then(() => 'closed'), late]), 'closed');
});

// Guards against a child that waits for a parent whose machine is off as it waits for a slow one.
it('is connected only while a session to the peer is established', async (t) => {
  const { address } = await startPeer(t);
  const { transport, isConnected, close } = createRpcTransport(address, []);
  assert.equal(isConnected(), false);
  await assert.rejects(createClient(Consensus, transport).join({}), /unimplemented/);
  assert.equal(isConnected(), true);
  close();
  assert.equal(isConnected(), false);
});
