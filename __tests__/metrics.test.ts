import assert from 'node:assert/strict';
import perfHooks from 'node:perf_hooks';
import { describe, it, mock } from 'node:test';
import { createMetrics } from '../src/plugins/metrics.js';

/** The feed and the heartbeats wake an idle process tens of times per second. */
const minSamplePeriodMs = 1_000;

describe('metrics of a process', () => {
  // The event loop lag sampler woke each idle process 100 times a second; CPU time is charged.
  it('do not wake an idle process to sample the event loop lag', () => {
    const monitor = mock.method(perfHooks, 'monitorEventLoopDelay');
    createMetrics();
    const periods = monitor.mock.calls.map(({ arguments: [options] }) => options?.resolution ?? 10);
    assert.ok(
      periods.every((period) => period >= minSamplePeriodMs),
      `sampled every ${periods.join(', ')} ms`,
    );
    mock.restoreAll();
  });

  // Guards against losing the metrics of event loop lag and load when the sampler is disabled.
  it('include the lag and the load of the event loop', async () => {
    const { render } = createMetrics();
    const busyUntil = performance.now() + 20;
    while (performance.now() < busyUntil);
    const { body } = await render();
    assert.match(body, /^nodejs_eventloop_lag_seconds \d/m);
    const [, ratio] = /^auburnsill_event_loop_busy_ratio (\S+)$/m.exec(body) ?? [];
    assert.ok(Number(ratio) > 0 && Number(ratio) <= 1, body.slice(0, 200));
  });
});
