import assert from 'node:assert/strict';
import { it } from 'node:test';
import { watchEventLoop } from '../src/plugins/eventLoopWatch.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer } from '../src/utils/timer.js';
import { waitFor } from './support/waitFor.js';

// Guards against a blocked process whose log does not tell it apart from a slow peer.
it('a blocked event loop is logged with its processor time', async (context) => {
  const timer = createTimer();
  const lines: Record<string, unknown>[] = [];
  const stop = watchEventLoop(timer, {
    ...createSilentLog(),
    warn: (message, fields) => lines.push({ message, ...fields }),
  });
  context.after(() => {
    stop();
    timer.stop();
  });
  const blockedUntil = performance.now() + 1_500;
  while (performance.now() < blockedUntil) {
    // Keeps the event loop from turning.
  }
  await waitFor(() => lines.length > 0);
  const [{ message, ms, user_ms: userMs } = {}] = lines;
  assert.equal(message, 'event loop blocked');
  assert.ok(Number(ms) >= 1_000, `${ms} ms`);
  assert.ok(Number(userMs) > 0);
});
