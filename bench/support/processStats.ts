/**
 * CPU time and memory of processes from /proc, and statistics helpers.
 */
import { readdirSync, readFileSync } from 'node:fs';

const clockTicksPerSecond = 100;

/** CPU time of a process since its start, in ms. */
export const cpuTimeMs = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const ticks = Number(fields[11]) + Number(fields[12]);
  return (ticks / clockTicksPerSecond) * 1_000;
};

/** CPU time of all threads of a process since its start, in microseconds. */
export const cpuTimeUs = (pid: number): number =>
  readdirSync(`/proc/${pid}/task`)
    .map((task) => readFileSync(`/proc/${pid}/task/${task}/schedstat`, 'utf8'))
    .reduce((sum, text) => sum + Number(text.split(' ')[0]) / 1_000, 0);

/** Number of voluntary context switches of the main thread of a process. */
export const countContextSwitches = (pid: number): number => {
  const text = readFileSync(`/proc/${pid}/status`, 'utf8');
  return Number(/^voluntary_ctxt_switches:\s+(\d+)/m.exec(text)?.[1] ?? 0);
};

/** Resident memory of a process, in MB. */
export const residentMb = (pid: number): number => {
  const line = /VmRSS:\s+(\d+) kB/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'));
  return Number(line?.[1] ?? 0) / 1_024;
};

export const quantile = (values: readonly number[], share: number): number => {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.min(sorted.length - 1, Math.ceil(share * sorted.length) - 1)] ?? Number.NaN;
};

export const round = (value: number, digits = 1): number => Number(value.toFixed(digits));

/** Slope of the least-squares line through the points. */
export const slope = (points: readonly { x: number; y: number }[]): number => {
  const mean = (pick: (point: { x: number; y: number }) => number) =>
    points.reduce((sum, point) => sum + pick(point), 0) / points.length;
  const meanX = mean(({ x }) => x);
  const meanY = mean(({ y }) => y);
  const covariance = points.reduce((sum, { x, y }) => sum + (x - meanX) * (y - meanY), 0);
  const variance = points.reduce((sum, { x }) => sum + (x - meanX) ** 2, 0);
  return covariance / variance;
};

/** Sum of the samples of a metric in the Prometheus text format. */
export const sumMetric = (text: string, name: string): number =>
  text
    .split('\n')
    .filter((line) => line.startsWith(`${name}{`) || line.startsWith(`${name} `))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);
