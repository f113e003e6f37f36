/**
 * Caller on a separate thread, for calls that arrive while the thread under test is blocked.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

const threadCode = `
  const { connect } = require('node:net');
  const { parentPort, workerData: { host, port, shared, path } } = require('node:worker_threads');
  const done = new Int32Array(shared);
  const open = new Set();
  // The thread under test is blocked when it makes the callers disconnect, so it cannot send a
  // message and sets a flag in shared memory.
  setInterval(() => {
    if (Atomics.exchange(done, 1, 0) === 1) {
      open.forEach((socket) => socket.once('close', countDone).destroy());
    }
  }, 1);
  const countDone = () => {
    Atomics.add(done, 0, 1);
    Atomics.notify(done, 0);
  };
  parentPort.on('message', ({ count, disconnects }) => {
    const outcomes = [];
    for (let index = 0; index < count; index += 1) {
      const socket = connect(port, host);
      open.add(socket);
      let text = '';
      let code;
      socket.on('error', (error) => { code = error.code; });
      socket.on('data', (part) => { text += part; });
      socket.on('close', () => {
        outcomes.push(code ?? text.split('\\r\\n')[0]);
        open.delete(socket);
        if (disconnects) countDone();
        if (outcomes.length === count) parentPort.postMessage(outcomes);
      });
      const request = 'GET ' + path + ' HTTP/1.1\\r\\nhost: a\\r\\nconnection: close\\r\\n\\r\\n';
      socket.write(request, () => {
        if (disconnects) socket.destroy();
        else countDone();
      });
    }
  });
  parentPort.postMessage('ready');
`;

const blockLimitMs = 10_000;

export interface ThreadCaller {
  /**
   * Sends calls on new connections while this thread is blocked. With `disconnects`, the caller
   * closes each connection as soon as the request is sent. Resolves with the status lines or error
   * codes.
   */
  callWhileBlocked(options: { count: number; disconnects: boolean }): Promise<readonly string[]>;
  /** Closes the connections of all calls without a response while this thread is blocked. */
  disconnectWhileBlocked(count: number): void;
  stop(): Promise<unknown>;
}

export const startThreadCaller = async (address: string, path: string): Promise<ThreadCaller> => {
  const [host, port] = address.split(':');
  const shared = new SharedArrayBuffer(8);
  const counters = new Int32Array(shared);
  const thread = new Worker(threadCode, {
    eval: true,
    workerData: { host, port: Number(port), shared, path },
  });
  await once(thread, 'message');

  const blockUntilDone = (count: number, trigger: () => void, what: string) => {
    const before = Atomics.load(counters, 0);
    trigger();
    for (let now = before; now < before + count; now = Atomics.load(counters, 0)) {
      if (Atomics.wait(counters, 0, now, blockLimitMs) === 'timed-out') {
        throw new Error(`the thread did not ${what}`);
      }
    }
  };

  return {
    callWhileBlocked: ({ count, disconnects }) => {
      const outcomes = once(thread, 'message');
      blockUntilDone(count, () => thread.postMessage({ count, disconnects }), 'send the calls');
      return outcomes.then(([texts]) => texts as readonly string[]);
    },
    disconnectWhileBlocked: (count) =>
      blockUntilDone(count, () => Atomics.store(counters, 1, 1), 'close'),
    stop: () => thread.terminate(),
  };
};
