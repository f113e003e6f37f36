/**
 * Metrics of the link of a node, whose rate can be what limits large responses. They are read on
 * collection.
 */
import { Counter, Gauge } from 'prom-client';
import type { Metrics } from '../metrics.js';
import type { LinkUse } from './responseWriters.js';

/** Registers the metrics; they have no values while `linkUse` returns undefined. */
export const addLinkMetrics = (metrics: Metrics, linkUse: () => LinkUse | undefined) => {
  const registers = [metrics.registry];
  let sent = { pacedBytes: 0, unpacedBytes: 0 };
  const sentBytes: Counter<'paced'> = new Counter({
    name: 'auburnsill_link_sent_bytes_total',
    help: 'Bytes of response bodies sent on the link, by whether they were paced.',
    labelNames: ['paced'],
    registers,
    collect: () => {
      const use = linkUse();
      if (use) {
        sentBytes.inc({ paced: 'yes' }, use.pacedBytes - sent.pacedBytes);
        sentBytes.inc({ paced: 'no' }, use.unpacedBytes - sent.unpacedBytes);
        sent = use;
      }
    },
  });
  const pendingBytes: Gauge = new Gauge({
    name: 'auburnsill_link_pending_bytes',
    help: 'Bytes of response bodies that wait for the link.',
    registers,
    collect: () => pendingBytes.set(linkUse()?.pendingBytes ?? 0),
  });
  const pendingResponses: Gauge = new Gauge({
    name: 'auburnsill_link_pending_responses',
    help: 'Responses that wait for the link.',
    registers,
    collect: () => pendingResponses.set(linkUse()?.pendingResponses ?? 0),
  });
  const backlog: Gauge = new Gauge({
    name: 'auburnsill_link_backlog_seconds',
    help: 'Time for which the link is reserved for responses that can meet their targets.',
    registers,
    collect: () => backlog.set((linkUse()?.backlogMs ?? 0) / 1_000),
  });
};
