/**
 * Child side of the feed: one subscription to one parent. The stream is closed when the parent
 * misses three heartbeats, since a connection can stop transferring data for good while new
 * connections work.
 */
import { performance } from 'node:perf_hooks';
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect';
import type { MessageInitShape } from '@bufbuild/protobuf';
import { create } from '@bufbuild/protobuf';
import {
  Feed,
  ReportRequestSchema,
  SubscribeRequestSchema,
  type ChangeSubscriptionRequestSchema,
  type ClusterUpdate,
  type ConfigurationUpdate,
  type FeedMessage,
  type Heartbeat,
  type ReportResponse,
  type Welcome,
} from '../../gen/auburnsill/v1/feed_pb.js';
import { createSilence } from '../../core/distribution/silence.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import type { FeedMetrics } from './feedMetrics.js';
import { readAddresses } from './feedMessages.js';
import { heartbeatMs } from './feedServer.js';
import { createRpcTransport } from '../rpc.js';

/** A parent that sends nothing for this time is given up. */
export const silenceTimeoutMs = 3 * heartbeatMs;
/** Allows for two lost reports within a lease of 10 s. */
const reportPeriodMs = 3_000;
/** Changes within this time are combined into one report. */
const reportBatchMs = 100;
const probeTimeoutMs = 1_000;
/** Maximum wait for the first message. */
const welcomeTimeoutMs = 1_000;

/** How a subscription ended. */
export type LinkOutcome =
  | {
      readonly outcome: 'redirected';
      readonly addresses: readonly string[];
      readonly retryAfterMs: number;
    }
  | {
      readonly outcome: 'lost';
      readonly reason: string;
      readonly attached: boolean;
      /** The connection was refused: nothing listens at the address. */
      readonly isRefused: boolean;
      /** The parent sent nothing within the time limit. */
      readonly isSilent: boolean;
    };

export interface LinkHandlers {
  welcome(message: Welcome): void;
  configuration(message: ConfigurationUpdate): void;
  cluster(message: ClusterUpdate): void;
  heartbeat(message: Heartbeat): void;
}

type ReportInit = MessageInitShape<typeof ReportRequestSchema>;

/** Builds the reports of a subscription and handles the responses. */
export interface LinkReporter {
  /** Builds the next report. `acknowledge` is called with the parent's response to it. */
  build(): { readonly report: ReportInit; acknowledge(response: ReportResponse): void };
  /** Records the round-trip time of a report, in ms. */
  recordRoundTrip?(ms: number): void;
}

export interface FeedLinkOptions {
  readonly address: string;
  readonly access: Access;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  readonly metrics?: FeedMetrics;
  readonly request: MessageInitShape<typeof SubscribeRequestSchema>;
  readonly handlers: LinkHandlers;
  readonly reporter: LinkReporter;
  /** See `SilenceOptions`. Default: that of this process. */
  readonly idleMs?: () => number;
}

export interface FeedLink {
  readonly address: string;
  /** Resolves when the subscription has ended. Never rejects. */
  run(): Promise<LinkOutcome>;
  /**
   * Schedules a report after `reportBatchMs`, combined with other changes until then. The first one
   * after the welcome is scheduled by the caller.
   */
  scheduleReport(): void;
  /** Changes the subscription. The link ends if the request fails. */
  change(change: MessageInitShape<typeof ChangeSubscriptionRequestSchema>): void;
  /** Ends the subscription. */
  end(reason: string): void;
}

const describeError = (error: unknown): string =>
  error instanceof ConnectError
    ? `${Code[error.code]}: ${error.rawMessage}`
    : String(error instanceof Error ? error.message : error);

export const createFeedLink = (options: FeedLinkOptions): FeedLink => {
  const { address, access, timer, log, random, metrics, request, handlers, reporter } = options;
  const { transport, isConnected, close } = createRpcTransport(address, [access.clientInterceptor]);
  const client: Client<typeof Feed> = createClient(Feed, transport);
  const abort = new AbortController();
  let subscriptionId = '';
  const silence = createSilence({
    now: timer.now,
    idleMs: options.idleMs ?? (() => performance.eventLoopUtilization().idle),
  });
  let endReason = '';
  let redirect: LinkOutcome | undefined;
  let isRefused = false;
  let isSilent = false;
  let isReporting = false;
  let isReportDue = false;
  let cancelBatch: (() => void) | undefined;

  const end = (reason: string) => {
    endReason ||= reason;
    abort.abort();
  };

  const sendReport = async () => {
    const { report, acknowledge } = reporter.build();
    const message = create(ReportRequestSchema, { ...report, subscriptionId });
    metrics?.sent(message);
    const startedAt = timer.now();
    const response = await client.report(message, { signal: abort.signal });
    reporter.recordRoundTrip?.(timer.now() - startedAt);
    acknowledge(response);
    if (response.sendFull) {
      isReportDue = true;
    }
  };

  // Sends one report at a time, so that they arrive in the order of their changes.
  const report = async () => {
    if (isReporting || subscriptionId === '') {
      isReportDue = true;
      return;
    }
    isReporting = true;
    isReportDue = false;
    try {
      await sendReport();
    } catch (error) {
      if (!abort.signal.aborted) {
        end(`report failed: ${describeError(error)}`);
      }
    }
    isReporting = false;
    if (isReportDue && !abort.signal.aborted) {
      scheduleReport();
    }
  };

  const scheduleReport = () => {
    cancelBatch ??= timer.after(reportBatchMs, () => {
      cancelBatch = undefined;
      report().catch(() => undefined);
    });
  };

  const onMessage = (message: FeedMessage['message']) => {
    const { case: kind, value } = message;
    if (kind === 'welcome') {
      subscriptionId = value.subscriptionId;
      handlers.welcome(value);
    } else if (kind === 'redirect') {
      const { retryAfterMs } = value;
      const addresses = readAddresses(value.addresses);
      redirect = { outcome: 'redirected', addresses, retryAfterMs };
    } else if (kind === 'configuration') {
      handlers.configuration(value);
    } else if (kind === 'cluster') {
      handlers.cluster(value);
    } else if (kind === 'heartbeat') {
      handlers.heartbeat(value);
    }
  };

  const readStream = async () => {
    const stream = client.subscribe(create(SubscribeRequestSchema, request), {
      signal: abort.signal,
      timeoutMs: 0,
    });
    for await (const message of stream) {
      silence.commands.reset();
      metrics?.received(message);
      onMessage(message.message);
      if (abort.signal.aborted) {
        return;
      }
    }
    endReason ||= 'the parent ended the stream';
  };

  const run = async (): Promise<LinkOutcome> => {
    silence.commands.reset();
    const cancelSilence = timer.every(heartbeatMs / 2, () => {
      const limitMs = subscriptionId === '' ? welcomeTimeoutMs : silenceTimeoutMs;
      const isOver =
        subscriptionId === '' && isConnected()
          ? silence.queries.exceeds(limitMs)
          : silence.queries.lasts(limitMs);
      if (isOver) {
        isSilent = true;
        end('silent');
      }
    });
    const cancelReports = timer.every(reportPeriodMs * (0.9 + 0.2 * random()), () => {
      report().catch(() => undefined);
    });
    try {
      await readStream();
    } catch (error) {
      endReason ||= describeError(error);
      isRefused = describeError(error).includes('ECONNREFUSED');
    }
    cancelSilence();
    cancelReports();
    cancelBatch?.();
    abort.abort();
    close();
    return (
      redirect ?? {
        outcome: 'lost',
        reason: endReason,
        attached: subscriptionId !== '',
        isRefused,
        isSilent,
      }
    );
  };

  return {
    address,
    run,
    scheduleReport,
    change: (change) => {
      if (subscriptionId === '') {
        return;
      }
      client
        .changeSubscription({ ...change, subscriptionId }, { signal: abort.signal })
        .catch((error: unknown) => {
          log.debug('subscription change failed', { address, reason: describeError(error) });
          end('subscription change failed');
        });
    },
    end,
  };
};

/** Result of probing a possible parent. */
export interface ProbeResult {
  readonly address: string;
  readonly welcome?: Welcome;
  readonly heartbeat: Heartbeat;
}

/** Asks a process for its version and freshness. Undefined if it does not answer in time. */
export const probeFeed = async (
  options: Pick<FeedLinkOptions, 'address' | 'access' | 'request'>,
): Promise<ProbeResult | undefined> => {
  const { address, access, request } = options;
  const { transport, close } = createRpcTransport(address, [access.clientInterceptor]);
  const client = createClient(Feed, transport);
  let welcome: Welcome | undefined;
  try {
    const stream = client.subscribe(create(SubscribeRequestSchema, { ...request, probe: true }), {
      timeoutMs: probeTimeoutMs,
    });
    for await (const { message } of stream) {
      if (message.case === 'welcome') {
        welcome = message.value;
      }
      if (message.case === 'heartbeat') {
        return { address, welcome, heartbeat: message.value };
      }
    }
    return undefined;
  } catch {
    return undefined;
  } finally {
    close();
  }
};
