import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createCallListener } from '../src/plugins/calls/callListener.js';
import { ownCallInterface } from '../src/plugins/calls/ownCallInterface.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer, type Timer } from '../src/utils/timer.js';
import { startThreadCaller } from './support/threadCaller.js';

// Guards against a stop that resets connections which the kernel took and the process has not seen.
it('answers a call whose connection was opened just before the listener closes', async () => {
  const timer = createTimer();
  let endAccepting = () => {};
  const accepting = new Promise<void>((resolve) => {
    endAccepting = resolve;
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
    callers: ownCallInterface.callers,
    stopTimes: { acceptMs: 500, idleMs: 0 },
    onCall: (_request, response) => response.end('done'),
  });
  const { port } = await listener.listen();
  const caller = await startThreadCaller(`127.0.0.1:${port}`, '/');
  const stopped = listener.stop(5_000);

  // This thread sees nothing of the new connection until the listener is told to close.
  const outcomes = caller.callWhileBlocked({ count: 1, leaves: false });
  endAccepting();

  assert.deepEqual(await outcomes, ['HTTP/1.1 200 OK']);
  await stopped;
  await caller.stop();
  timer.stop();
});
