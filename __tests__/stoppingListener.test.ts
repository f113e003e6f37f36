import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { it } from 'node:test';
import { createCallListener } from '../src/plugins/calls/callListener.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import type { StopTimes } from '../src/types/internal.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer, type Timer } from '../src/utils/timer.js';
import { startThreadCaller } from './support/threadCaller.js';
import { waitFor } from './support/waitFor.js';

// Guards against a stop that resets connections which the kernel has accepted and the process has
// not.
it('answers a call whose connection was opened just before the listener closes', async () => {
  const timer = createTimer();
  let finishAccepting = () => {};
  const accepting = new Promise<void>((resolve) => {
    finishAccepting = resolve;
  });
  const sleeps = [() => accepting];
  const heldTimer: Timer = {
    ...timer,
    sleep: (delayMs, signal) => sleeps.pop()?.() ?? timer.sleep(delayMs, signal),
  };
  const listener = createCallListener({
    address: { host: '127.0.0.1', port: 0 },
    timer: heldTimer,
    log: createSilentLog(),
    maxHeaderBytes: 1_024,
    callers: nativeCallInterface.callers,
    stopTimes: { acceptMs: 500, idleMs: 0 },
    onCall: (_request, response) => response.end('done'),
  });
  const { port } = await listener.listen();
  const caller = await startThreadCaller(`127.0.0.1:${port}`, '/');
  const stopped = listener.stop(5_000);

  // This thread does not see the new connection until the listener is told to close.
  const outcomes = caller.callWhileBlocked({ count: 1, disconnects: false });
  finishAccepting();

  assert.deepEqual(await outcomes, ['HTTP/1.1 200 OK']);
  await stopped;
  await caller.stop();
  timer.stop();
});

/** Collects what a connection receives until it is closed. */
const readUntilClosed = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    let text = '';
    socket.on('error', () => undefined);
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    socket.once('close', () => resolve(text));
  });

const openConnection = async (port: number): Promise<Socket> => {
  const socket = connect(port, '127.0.0.1');
  await once(socket, 'connect');
  return socket;
};

const request = 'GET / HTTP/1.1\r\nhost: h\r\n\r\n';

/** Starts a listener with slow calls, and records the calls that it has read. */
const startSlowListener = async (stopTimes: StopTimes, callMs: (call: number) => number) => {
  const timer = createTimer();
  const read: string[] = [];
  const listener = createCallListener({
    address: { host: '127.0.0.1', port: 0 },
    timer,
    log: createSilentLog(),
    maxHeaderBytes: 1_024,
    callers: nativeCallInterface.callers,
    stopTimes,
    onCall: ({ url = '' }, response) => {
      read.push(url);
      timer.after(callMs(read.length), () => response.end('done'));
    },
  });
  const { port } = await listener.listen();
  return { listener, port, read, timer };
};

// Guards against a stop that accepts calls on idle connections until its limit and then cuts them.
it('closes idle connections in time, so that the last calls end before the limit', async () => {
  const { listener, port, read, timer } = await startSlowListener(
    { acceptMs: 50, idleMs: 100 },
    () => 300,
  );
  const sockets = await Promise.all(Array.from({ length: 40 }, () => openConnection(port)));
  const responses = sockets.map(readUntilClosed);
  const stopped = listener.stop(1_000);
  for (const socket of sockets) {
    socket.write(request);
    await timer.sleep(40);
  }
  await stopped;

  const complete = (await Promise.all(responses)).filter((text) => text.endsWith('done'));
  assert.ok(read.length > 0);
  assert.equal(complete.length, read.length);
  timer.stop();
});

// Guards against a stop that closes a connection between its opening and its first request.
it('waits for the first call on a connection that was opened late in the stop', async () => {
  const { listener, port, timer } = await startSlowListener(
    { acceptMs: 300, idleMs: 200 },
    () => 10,
  );
  const stopped = listener.stop(5_000);
  await timer.sleep(250);
  const socket = await openConnection(port);
  const response = readUntilClosed(socket);
  await timer.sleep(100);
  socket.write(request);

  assert.match(await response, /^HTTP\/1\.1 200 OK/);
  await stopped;
  timer.stop();
});

// Guards against a stop that treats a connection as idle once the first of two calls has ended.
it('answers all calls that a caller has pipelined', async () => {
  const { listener, port, read, timer } = await startSlowListener(
    { acceptMs: 10, idleMs: 20 },
    (call) => (call === 1 ? 10 : 400),
  );
  const socket = await openConnection(port);
  const responses = readUntilClosed(socket);
  socket.write(request + request);
  await waitFor(() => read.length === 2);
  await listener.stop(2_000);

  assert.equal((await responses).match(/HTTP\/1\.1 200 OK/g)?.length, 2);
  timer.stop();
});
