/**
 * Child side of the feed: one subscription to one parent. The stream is ended when the parent
 * misses three heartbeats, since a connection can go silent for good while new ones work.
 */
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
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import type { FeedMetrics } from './feedMetrics.js';
import { readAddresses } from './feedMessages.js';
import { heartbeatMs } from './feedServer.js';
import { createRpcTransport } from '../rpc.js';

/** Silence after which a parent is given up. */
export const silenceTimeoutMs = 3 * heartbeatMs;
/** Renews leases of 10 s with room for two lost reports. */
const reportPeriodMs = 3_000;
/** Changes that arrive within this time go into one report. */
const reportBatchMs = 100;
const probeTimeoutMs = 1_000;
/** A parent that is there greets a child within this time, also while it is busy. */
const greetingMs = 1_000;

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
      /** Nothing listens at the address. */
      readonly isRefused: boolean;
      /** Nothing was heard from the parent for too long. */
      readonly isSilent: boolean;
    };

export interface LinkHandlers {
  welcome(message: Welcome): void;
  configuration(message: ConfigurationUpdate): void;
  cluster(message: ClusterUpdate): void;
  heartbeat(message: Heartbeat): void;
}

type ReportInit = MessageInitShape<typeof ReportRequestSchema>;

/** Builds the reports of a subscription and takes the answers. */
export interface LinkReporter {
  /** The next report, and what to do once the parent answered it. */
  build(): { readonly report: ReportInit; acknowledge(response: ReportResponse): void };
  /** Takes the round trip of a report, in ms. */
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
}

export interface FeedLink {
  readonly address: string;
  /** Resolves when the subscription has ended. Never rejects. */
  run(): Promise<LinkOutcome>;
  /** Reports soon, with other changes of the next moments. */
  scheduleReport(): void;
  /** Changes the subscription; the link ends if the parent does not take it. */
  change(change: MessageInitShape<typeof ChangeSubscriptionRequestSchema>): void;
  /** Ends the subscription. */
  end(reason: string): void;
}

const describe = (error: unknown): string =>
  error instanceof ConnectError
    ? `${Code[error.code]}: ${error.rawMessage}`
    : String(error instanceof Error ? error.message : error);

export const createFeedLink = (options: FeedLinkOptions): FeedLink => {
  const { address, access, timer, log, random, metrics, request, handlers, reporter } = options;
  const { transport, close } = createRpcTransport(address, [access.clientInterceptor]);
  const client: Client<typeof Feed> = createClient(Feed, transport);
  const abort = new AbortController();
  let subscriptionId = '';
  let heardAt = timer.now();
  let endReason = '';
  let redirect: LinkOutcome | undefined;
  let isRefused = false;
  let isSilent = false;
  let reporting = false;
  let reportDue = false;
  let batch: (() => void) | undefined;

  const end = (reason: string) => {
    endReason ||= reason;
    abort.abort();
  };

  const sendReport = async () => {
    const { report, acknowledge: answered } = reporter.build();
    const message = create(ReportRequestSchema, { ...report, subscriptionId });
    metrics?.sent(message);
    const startedAt = timer.now();
    const response = await client.report(message, { signal: abort.signal });
    reporter.recordRoundTrip?.(timer.now() - startedAt);
    answered(response);
    if (response.sendFull) {
      reportDue = true;
    }
  };

  // One report at a time, so that they arrive in the order of their changes.
  const report = async () => {
    if (reporting || subscriptionId === '') {
      reportDue = true;
      return;
    }
    reporting = true;
    reportDue = false;
    try {
      await sendReport();
    } catch (error) {
      if (!abort.signal.aborted) {
        end(`report failed: ${describe(error)}`);
      }
    }
    reporting = false;
    if (reportDue && !abort.signal.aborted) {
      reportSoon();
    }
  };

  const reportSoon = () => {
    batch ??= timer.after(reportBatchMs, () => {
      batch = undefined;
      report().catch(() => undefined);
    });
  };

  const onMessage = (message: FeedMessage['message']) => {
    const { case: kind, value } = message;
    if (kind === 'welcome') {
      subscriptionId = value.subscriptionId;
      handlers.welcome(value);
      reportSoon();
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
      heardAt = timer.now();
      metrics?.received(message);
      onMessage(message.message);
      if (abort.signal.aborted) {
        return;
      }
    }
    endReason ||= 'the parent ended the stream';
  };

  const run = async (): Promise<LinkOutcome> => {
    heardAt = timer.now();
    const cancelSilence = timer.every(heartbeatMs / 2, () => {
      const limitMs = subscriptionId === '' ? greetingMs : silenceTimeoutMs;
      if (timer.now() - heardAt > limitMs) {
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
      endReason ||= describe(error);
      isRefused = describe(error).includes('ECONNREFUSED');
    }
    cancelSilence();
    cancelReports();
    batch?.();
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
    scheduleReport: reportSoon,
    change: (change) => {
      if (subscriptionId === '') {
        return;
      }
      client
        .changeSubscription({ ...change, subscriptionId }, { signal: abort.signal })
        .catch((error: unknown) => {
          log.debug('subscription change failed', { address, reason: describe(error) });
          end('subscription change failed');
        });
    },
    end,
  };
};

/** What a probe of a possible parent found. */
export interface ProbeResult {
  readonly address: string;
  readonly welcome?: Welcome;
  readonly heartbeat: Heartbeat;
}

/** Asks a process for its newest version and freshness. Undefined if it does not answer in time. */
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
