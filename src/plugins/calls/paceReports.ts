/**
 * Metrics and log lines of endpoints that ramp up. The log is limited to 10 lines a second.
 */
import { Gauge } from 'prom-client';
import type { RampEvent, RampStatus } from '../../core/calls/paceTracker.js';
import { createRateLimitedLog } from '../../utils/rateLimitedLog.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import { createLabelLimiter, type Metrics } from '../metrics.js';

/** Maximum number of services that have a label of their own. */
const maxServiceLabels = 50;

/** Registers the metrics, which are read on collection. */
export const addPaceMetrics = (metrics: Metrics, ramps: () => readonly RampStatus[]): void => {
  const registers = [metrics.registry];
  const labelNames = ['service'] as const;
  const limitLabel = createLabelLimiter(maxServiceLabels);

  const sharesByService = (): Map<string, number[]> => {
    const shares = new Map<string, number[]>();
    ramps().forEach(({ service, share }) => {
      const label = limitLabel(service);
      shares.set(label, [...(shares.get(label) ?? []), share]);
    });
    return shares;
  };

  const ramping: Gauge<'service'> = new Gauge({
    name: 'auburnsill_ramping_endpoints',
    help: 'Endpoints that have started or recovered and do not get their usual share of calls yet.',
    labelNames,
    registers,
    collect: () => {
      ramping.reset();
      sharesByService().forEach((shares, service) => ramping.set({ service }, shares.length));
    },
  });
  const lowest: Gauge<'service'> = new Gauge({
    name: 'auburnsill_ramping_share_min_ratio',
    help: 'Lowest share of their usual calls among the endpoints that ramp up.',
    labelNames,
    registers,
    collect: () => {
      lowest.reset();
      sharesByService().forEach((shares, service) => lowest.set({ service }, Math.min(...shares)));
    },
  });
  const average: Gauge<'service'> = new Gauge({
    name: 'auburnsill_ramping_share_mean_ratio',
    help: 'Mean share of their usual calls of the endpoints that ramp up.',
    labelNames,
    registers,
    collect: () => {
      average.reset();
      sharesByService().forEach((shares, service) =>
        average.set({ service }, shares.reduce((sum, share) => sum + share, 0) / shares.length),
      );
    },
  });
};

/** Returns a function that logs the start and the end of ramp-ups. */
export const createRampLog = (log: Log, timer: Timer): ((event: RampEvent) => void) => {
  const write = createRateLimitedLog(log, timer, 'info');
  return ({ kind, endpointId, service, reason, tookMs }) =>
    write(`ramp-up ${kind}`, {
      endpoint: endpointId,
      service,
      reason,
      ...(kind === 'ended' && { took_ms: Math.round(tookMs) }),
    });
};
