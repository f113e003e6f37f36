/**
 * Metrics of a process in the text format of Prometheus. Names follow its conventions: a common
 * prefix, base units, `_total` for counters. Label values come from bounded sets only; a value
 * beyond the bound is counted as `other`, so that no input of a caller can add series without limit.
 */
import { performance } from 'node:perf_hooks';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Distinct values that one label may take; a deployment has tens of classes and services. */
const maxLabelValues = 256;

/** Upper bounds in seconds, from below the added latency target up to the longest wait limit. */
const latencyBucketsSeconds = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];

/**
 * Period of the library's own timer that samples the delay of the event loop, in ms. It can't be
 * turned off; at the default of 10 ms an idle process woke 100 times a second.
 */
const delaySampleMs = 3_600_000;
/** Series of that timer, which mean nothing at such a period. */
const delaySeries = ['min', 'max', 'mean', 'stddev', 'p50', 'p90', 'p99'].map(
  (name) => `nodejs_eventloop_lag_${name}_seconds`,
);

export interface Metrics {
  readonly registry: Registry;
  counter<Label extends string>(
    name: string,
    help: string,
    labels?: readonly Label[],
  ): Counter<Label>;
  gauge<Label extends string>(name: string, help: string, labels?: readonly Label[]): Gauge<Label>;
  /** Histogram of durations in seconds. */
  latency<Label extends string>(
    name: string,
    help: string,
    labels?: readonly Label[],
  ): Histogram<Label>;
  render(): Promise<{ contentType: string; body: string }>;
}

/** Returns a function that maps values beyond the first `limit` distinct ones to `other`. */
export const createLabelLimiter = (limit: number = maxLabelValues): ((value: string) => string) => {
  const known = new Set<string>();
  return (value) => {
    if (known.has(value)) {
      return value;
    }
    if (known.size >= limit) {
      return 'other';
    }
    known.add(value);
    return value;
  };
};

/** Tells whether a process is short of processor time, without a timer of its own. */
const addEventLoopBusy = (registry: Registry) => {
  let last = performance.eventLoopUtilization();
  const gauge: Gauge = new Gauge({
    name: 'auburnsill_event_loop_busy_ratio',
    help: 'Part of the time since the last collection in which the event loop was busy.',
    registers: [registry],
    collect: () => {
      const current = performance.eventLoopUtilization();
      gauge.set(performance.eventLoopUtilization(current, last).utilization);
      last = current;
    },
  });
};

/** Creates the metrics of a process; `labels` are added to every series. */
export const createMetrics = (labels: Readonly<Record<string, string>> = {}): Metrics => {
  const registry = new Registry();
  registry.setDefaultLabels({ ...labels });
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: delaySampleMs });
  delaySeries.forEach((name) => registry.removeSingleMetric(name));
  const registers = [registry];
  addEventLoopBusy(registry);
  return {
    registry,
    counter: (name, help, labelNames = []) =>
      new Counter({ name, help, labelNames: [...labelNames], registers }),
    gauge: (name, help, labelNames = []) =>
      new Gauge({ name, help, labelNames: [...labelNames], registers }),
    latency: (name, help, labelNames = []) =>
      new Histogram({
        name,
        help,
        labelNames: [...labelNames],
        buckets: latencyBucketsSeconds,
        registers,
      }),
    render: async () => ({ contentType: registry.contentType, body: await registry.metrics() }),
  };
};
