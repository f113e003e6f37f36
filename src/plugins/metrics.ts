/**
 * Metrics of a process in the Prometheus text format. Names follow its conventions: a common
 * prefix, base units, `_total` for counters. The number of values of a label is limited; further
 * values are counted as `other`, so that input from callers cannot create series without limit.
 */
import { performance } from 'node:perf_hooks';
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Maximum distinct values of one label; a deployment has tens of classes and services. */
const maxLabelValues = 256;

/** Bucket bounds in seconds, from below the target for added latency to the longest wait limit. */
const latencyBucketsSeconds = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];

/**
 * Period of prom-client's event loop lag sampler, in ms. The sampler can't be turned off, and at
 * its default of 10 ms it woke an idle process 100 times a second.
 */
const lagSamplePeriodMs = 3_600_000;
/** Series of that sampler, which are meaningless at such a period. */
const lagSeries = ['min', 'max', 'mean', 'stddev', 'p50', 'p90', 'p99'].map(
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
  /** Creates a histogram of durations in seconds. */
  latency<Label extends string>(
    name: string,
    help: string,
    labels?: readonly Label[],
  ): Histogram<Label>;
  render(): Promise<{ contentType: string; body: string }>;
}

/** Returns a function that maps all but the first `limit` distinct values to `other`. */
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

/** Adds a gauge of the event loop's load. It is computed on collection and needs no timer. */
const addEventLoopUtilization = (registry: Registry) => {
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

/** Creates the metrics registry of a process; `labels` are added to every series. */
export const createMetrics = (labels: Readonly<Record<string, string>> = {}): Metrics => {
  const registry = new Registry();
  registry.setDefaultLabels({ ...labels });
  collectDefaultMetrics({ register: registry, eventLoopMonitoringPrecision: lagSamplePeriodMs });
  lagSeries.forEach((name) => registry.removeSingleMetric(name));
  const registers = [registry];
  addEventLoopUtilization(registry);
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
