/**
 * A caller on a thread of its own, for calls that arrive while the thread under test is busy.
 */
import { once } from 'node:events';
import { Worker } from 'node:worker_threads';

const threadCode = `
  const { connect } = require('node:net');
  const { parentPort, workerData: { host, port, shared, path } } = require('node:worker_threads');
  const done = new Int32Array(shared);
  const open = new Set();
  // The thread under test is blocked while it asks the callers to leave, so it sends no message.
  setInterval(() => {
    if (Atomics.exchange(done, 1, 0) === 1) {
      open.forEach((socket) => socket.once('close', note).destroy());
    }
  }, 1);
  const note = () => {
    Atomics.add(done, 0, 1);
    Atomics.notify(done, 0);
  };
  parentPort.on('message', ({ count, leaves }) => {
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
        if (leaves) note();
        if (outcomes.length === count) parentPort.postMessage(outcomes);
      });
      const request = 'GET ' + path + ' HTTP/1.1\\r\\nhost: a\\r\\nconnection: close\\r\\n\\r\\n';
      socket.write(request, () => {
        if (leaves) socket.destroy();
        else note();
      });
    }
  });
  parentPort.postMessage('ready');
`;

const blockLimitMs = 10_000;

export interface ThreadCaller {
  /**
   * Sends calls on new connections while this thread is blocked; with `leaves` the caller closes
   * each connection at once. Resolves with the status lines or error codes.
   */
  callWhileBlocked(options: { count: number; disconnects: boolean }): Promise<readonly string[]>;
  /** Closes all connections of calls that have no answer yet while this thread is blocked. */
  disconnectWhileBlocked(count: number): void;
  stop(): Promise<unknown>;
}

export const startThreadCaller = async (address: string, path: string): Promise<ThreadCaller> => {
  const [host, port] = address.split(':');
  const shared = new SharedArrayBuffer(8);
  const state = new Int32Array(shared);
  const thread = new Worker(threadCode, {
    eval: true,
    workerData: { host, port: Number(port), shared, path },
  });
  await once(thread, 'message');

  const block = (count: number, trigger: () => void, what: string) => {
    const before = Atomics.load(state, 0);
    trigger();
    for (let now = before; now < before + count; now = Atomics.load(state, 0)) {
      if (Atomics.wait(state, 0, now, blockLimitMs) === 'timed-out') {
        throw new Error(`the thread did not ${what}`);
      }
    }
  };

  return {
    callWhileBlocked: ({ count, disconnects: leaves }) => {
      const outcomes = once(thread, 'message');
      block(count, () => thread.postMessage({ count, leaves }), 'send the calls');
      return outcomes.then(([texts]) => texts as readonly string[]);
    },
    disconnectWhileBlocked: (count) => block(count, () => Atomics.store(state, 1, 1), 'close'),
    stop: () => thread.terminate(),
  };
};
