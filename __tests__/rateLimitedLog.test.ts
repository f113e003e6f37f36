import assert from 'node:assert/strict';
import { it } from 'node:test';
import { createRateLimitedLog } from '../src/utils/rateLimitedLog.js';
import type { Log, LogFields } from '../src/utils/log.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';

it('limits the lines about calls, so that load cannot flood the log, and reports how many it dropped', () => {
  const timer = createManualTimer();
  const lines: LogFields[] = [];
  const log: Log = { ...createSilentLog(), warn: (_message, fields = {}) => lines.push(fields) };
  const write = createRateLimitedLog(log, timer);

  for (let count = 0; count < 1_000; count += 1) {
    write('call refused', { request_id: `r${count}` });
  }
  assert.equal(lines.length, 30);

  timer.advance(1_000);
  write('call refused', { request_id: 'later' });
  assert.deepEqual(lines.at(-1), { request_id: 'later', lines_dropped: 970 });

  timer.advance(60_000);
  lines.length = 0;
  for (let count = 0; count < 1_000; count += 1) {
    write('call refused', { request_id: `r${count}` });
  }
  assert.equal(lines.length, 30);
});
