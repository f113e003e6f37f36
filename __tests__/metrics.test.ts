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
});
