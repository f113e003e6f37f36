import assert from 'node:assert/strict';
import { connect, createServer, type AddressInfo, type Server, type Socket } from 'node:net';
import { after, afterEach, before, test } from 'node:test';
import { startFaultProxy, type FaultProxy } from './support/faultProxy.js';
import { waitFor } from './support/waitFor.js';

const host = '127.0.0.1';
let echo: Server;
let proxy: FaultProxy;
const clients: Socket[] = [];

const open = (): { socket: Socket; received: () => string; error: () => string } => {
  const [, port] = proxy.address.split(':');
  const socket = connect({ host, port: Number(port) });
  clients.push(socket);
  let received = '';
  let error = '';
  socket.on('data', (chunk) => {
    received += chunk;
  });
  socket.on('error', (cause: NodeJS.ErrnoException) => {
    error = cause.code ?? '';
  });
  return { socket, received: () => received, error: () => error };
};

before(async () => {
  echo = createServer((socket) => {
    socket.on('error', () => undefined);
    socket.pipe(socket);
  });
  await new Promise<void>((resolve) => {
    echo.listen(0, host, resolve);
  });
});

afterEach(async () => {
  clients.splice(0).forEach((socket) => socket.destroy());
  await proxy.close();
});

after(() => echo.close());

const start = async () => {
  const { port } = echo.address() as AddressInfo;
  proxy = await startFaultProxy({ target: `${host}:${port}`, host });
};

// Guards against tests that only pass because the proxy injects no faults.
test('the fault proxy delays bytes', async () => {
  await start();
  proxy.set({ toServer: { delayMs: 120 }, toClient: { delayMs: 120 } });
  const { socket, received } = open();
  const startedAt = performance.now();
  socket.write('hello');
  await waitFor(() => received() === 'hello', { everyMs: 2 });
  assert.ok(performance.now() - startedAt >= 239);
});

test('the fault proxy holds back one direction and delivers its bytes when healed', async () => {
  await start();
  const { socket, received } = open();
  socket.write('a');
  await waitFor(() => received() === 'a');
  proxy.set({ toClient: { silent: true } });
  socket.write('b');
  await waitFor(() => proxy.connections() === 1);
  assert.equal(received(), 'a');
  proxy.heal();
  await waitFor(() => received() === 'ab');
});

test('the fault proxy truncates a stream after a number of bytes and resets it', async () => {
  await start();
  proxy.set({ toClient: { truncateAfterBytes: 3 } });
  const { socket, received, error } = open();
  socket.write('hello');
  await waitFor(() => socket.destroyed);
  assert.equal(received(), 'hel');
  assert.equal(error(), 'ECONNRESET');
});

test('the fault proxy holds connections and releases them in another order', async () => {
  await start();
  proxy.set({ accept: 'hold' });
  const first = open();
  first.socket.write('1');
  await waitFor(() => proxy.connections() === 1);
  const second = open();
  second.socket.write('2');
  await waitFor(() => proxy.connections() === 2);
  proxy.release([1]);
  await waitFor(() => second.received() === '2');
  assert.equal(first.received(), '');
});

test('the fault proxy resets connections and refuses new ones', async () => {
  await start();
  const established = open();
  established.socket.write('x');
  await waitFor(() => established.received() === 'x');
  proxy.set({ accept: 'refuse' });
  proxy.reset();
  await waitFor(() => established.socket.destroyed);
  const refused = open();
  await waitFor(() => refused.socket.destroyed);
  assert.equal(established.error(), 'ECONNRESET');
});
