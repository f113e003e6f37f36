import assert from 'node:assert/strict';
import perfHooks from 'node:perf_hooks';
import { describe, it, mock } from 'node:test';
import { createMetrics } from '../src/plugins/metrics.js';

/** An idle process has tens of wake-ups a second from its feed and its check-ins. */
const minSamplePeriodMs = 1_000;

describe('metrics of a process', () => {
  // A sampler of the event loop woke each idle process 100 times a second, which is charged.
  it('do not sample the event loop by a timer that wakes an idle process', () => {
    const monitor = mock.method(perfHooks, 'monitorEventLoopDelay');
    createMetrics();
    const periods = monitor.mock.calls.map(({ arguments: [options] }) => options?.resolution ?? 10);
    assert.ok(
      periods.every((period) => period >= minSamplePeriodMs),
      `sampled every ${periods.join(', ')} ms`,
    );
    mock.restoreAll();
  });

  // Guards against the loss of the lag and of the load of the event loop with the sampler.
  it('tell the lag and the load of the event loop', async () => {
    const { render } = createMetrics();
    const busyUntil = performance.now() + 20;
    while (performance.now() < busyUntil);
    const { body } = await render();
    assert.match(body, /^nodejs_eventloop_lag_seconds \d/m);
    const [, ratio] = /^auburnsill_event_loop_busy_ratio (\S+)$/m.exec(body) ?? [];
    assert.ok(Number(ratio) > 0 && Number(ratio) <= 1, body.slice(0, 200));
  });
});
