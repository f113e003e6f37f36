/**
 * Prometheus metrics of the feed. Messages and bytes are counted by kind and direction; bytes are
 * those of the encoded messages, without HTTP/2 headers.
 */
import { toBinary } from '@bufbuild/protobuf';
import { Counter, Gauge, Histogram, type Registry } from 'prom-client';
import {
  FeedMessageSchema,
  ReportRequestSchema,
  type FeedMessage,
  type ReportRequest,
} from '../../gen/auburnsill/v1/feed_pb.js';
import type { GapCause } from '../../core/distribution/confirmationGap.js';
import type { Traffic } from '../rpc.js';

/** Bucket bounds in seconds. A change has to be in force within 2 s. */
const delayBuckets = [0.05, 0.1, 0.25, 0.5, 1, 1.5, 2, 3, 5, 10, 30];
const msPerSecond = 1_000;

export interface FeedMetrics {
  sent(message: FeedMessage | ReportRequest): void;
  received(message: FeedMessage | ReportRequest): void;
  redirected(): void;
  /** A parent was lost or left, by reason. */
  parentLost(reason: string): void;
  /** The node attached to a parent, after a time without any. */
  parentFound(withoutParentMs: number): void;
  /** An update was refused, by reason. */
  refused(reason: string): void;
  /** A version came into force, at this time after its arrival. */
  activated(stagedMs: number): void;
  /** The version in force was not confirmed in time, by the step that took too long. */
  unconfirmed(cause: GapCause): void;
  /** Outcome reports of a rollout: those held now, and those dropped since the last call. */
  outcomes(held: number, dropped: number): void;
}

/** Reasons used as labels. Error texts would create an unbounded number of time series. */
const knownReasons = new Set([
  'silent',
  'the parent ended the stream',
  'cycle in the path',
  'the parent lags',
  'its updates fail their checks',
  'found a better parent',
  'stopping',
]);

const isReport = (message: FeedMessage | ReportRequest): message is ReportRequest =>
  message.$typeName === 'auburnsill.v1.ReportRequest';

const kindOf = (message: FeedMessage | ReportRequest): string =>
  isReport(message) ? 'report' : (message.message.case ?? 'unknown');

const sizeOf = (message: FeedMessage | ReportRequest): number =>
  isReport(message)
    ? toBinary(ReportRequestSchema, message).length
    : toBinary(FeedMessageSchema, message).length;

/** Exports the bytes of the connections to a process's peer address, as transferred over TCP. */
export const observePeerTraffic = (registry: Registry, traffic: () => Traffic): void => {
  const gauge = new Gauge({
    name: 'auburnsill_peer_bytes',
    help: 'Bytes of the connections to the peer address since the start.',
    labelNames: ['direction'],
    registers: [registry],
    collect: () => {
      const { receivedBytes, sentBytes } = traffic();
      gauge.set({ direction: 'received' }, receivedBytes);
      gauge.set({ direction: 'sent' }, sentBytes);
    },
  });
};

/** Exports the time since the version in force on a node was last confirmed. */
export const observeConfirmation = (registry: Registry, confirmedAgeMs: () => number): void => {
  const gauge = new Gauge({
    name: 'auburnsill_feed_confirmed_age_seconds',
    help: 'Time since the version in force was last confirmed as the newest one.',
    registers: [registry],
    collect: () => {
      gauge.set(confirmedAgeMs() / msPerSecond);
    },
  });
};

/** Creates the metrics of the feed in a registry. */
export const createFeedMetrics = (registry: Registry): FeedMetrics => {
  const registers = [registry];
  const messages = new Counter({
    name: 'auburnsill_feed_messages_total',
    help: 'Messages of the feed.',
    labelNames: ['direction', 'kind'],
    registers,
  });
  const bytes = new Counter({
    name: 'auburnsill_feed_bytes_total',
    help: 'Encoded bytes of the messages of the feed.',
    labelNames: ['direction', 'kind'],
    registers,
  });
  const redirects = new Counter({
    name: 'auburnsill_feed_redirects_total',
    help: 'Children that were sent on to another parent.',
    registers,
  });
  const losses = new Counter({
    name: 'auburnsill_feed_parent_losses_total',
    help: 'Parents that were lost or left.',
    labelNames: ['reason'],
    registers,
  });
  const refusals = new Counter({
    name: 'auburnsill_feed_refused_updates_total',
    help: 'Updates that failed their check.',
    labelNames: ['reason'],
    registers,
  });

  const withoutParent = new Histogram({
    name: 'auburnsill_feed_without_parent_seconds',
    help: 'Time without a parent, at each attachment.',
    buckets: delayBuckets,
    registers,
  });
  const staged = new Histogram({
    name: 'auburnsill_feed_staged_seconds',
    help: 'Time from the arrival of a version until it was in force.',
    buckets: delayBuckets,
    registers,
  });
  const unconfirmed = new Counter({
    name: 'auburnsill_feed_unconfirmed_total',
    help: 'Times at which the version in force was not confirmed in time.',
    labelNames: ['cause'],
    registers,
  });

  const outcomeReports = new Gauge({
    name: 'auburnsill_rollout_outcome_reports',
    help: 'Outcome reports held here, one for each process and service under a rollout.',
    registers,
  });
  const droppedOutcomes = new Counter({
    name: 'auburnsill_rollout_dropped_reports_total',
    help: 'Outcome reports that were dropped, since too many processes sent some.',
    registers,
  });

  const record = (direction: string, message: FeedMessage | ReportRequest) => {
    const labels = { direction, kind: kindOf(message) };
    messages.inc(labels);
    bytes.inc(labels, sizeOf(message));
  };

  return {
    sent: (message) => record('sent', message),
    received: (message) => record('received', message),
    redirected: () => redirects.inc(),
    parentLost: (reason) => losses.inc({ reason: knownReasons.has(reason) ? reason : 'other' }),
    parentFound: (withoutParentMs) => withoutParent.observe(withoutParentMs / msPerSecond),
    refused: (reason) => refusals.inc({ reason }),
    activated: (stagedMs) => staged.observe(stagedMs / msPerSecond),
    unconfirmed: (cause) => unconfirmed.inc({ cause }),
    outcomes: (held, dropped) => {
      outcomeReports.set(held);
      droppedOutcomes.inc(dropped);
    },
  };
};
