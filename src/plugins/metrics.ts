/**
 * Metrics of a process in the text format of Prometheus. Names follow its conventions: a common
 * prefix, base units, `_total` for counters. Label values come from bounded sets only; a value
 * beyond the bound is counted as `other`, so that no input of a caller can add series without limit.
 */
import { collectDefaultMetrics, Counter, Gauge, Histogram, Registry } from 'prom-client';

/** Distinct values that one label may take; a deployment has tens of classes and services. */
const maxLabelValues = 256;

/** Upper bounds in seconds, from below the added latency target up to the longest wait limit. */
const latencyBucketsSeconds = [
  0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5, 10, 30,
];

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
export const createLabelBound = (limit: number = maxLabelValues): ((value: string) => string) => {
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

/** Creates the metrics of a process; `labels` are added to every series. */
export const createMetrics = (labels: Readonly<Record<string, string>> = {}): Metrics => {
  const registry = new Registry();
  registry.setDefaultLabels({ ...labels });
  collectDefaultMetrics({ register: registry });
  const registers = [registry];
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
