/**
 * Wires up a node: feed, call path, ledger client and admin server. Starts and stops them in
 * dependency order.
 */
import { randomBytes, randomUUID } from 'node:crypto';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createAccess } from '../plugins/operators/access.js';
import {
  createFeedMetrics,
  observeConfirmation,
  observePeerTraffic,
} from '../plugins/distribution/feedMetrics.js';
import { createLedgerClient } from '../plugins/calls/ledgerClient.js';
import { watchEventLoop } from '../plugins/eventLoopWatch.js';
import { createMetrics } from '../plugins/metrics.js';
import { createNodeFeed } from '../plugins/distribution/nodeFeed.js';
import { createQuotaClient } from '../plugins/quota/quotaClient.js';
import { createNodeRuntime, type NodeRuntime } from '../plugins/calls/nodeRuntime.js';
import { nativeCallInterface } from '../plugins/calls/nativeCallInterface.js';
import type { UpstreamReport } from '../plugins/calls/upstreamAnnouncement.js';
import { createUpstreamEndsClient } from '../plugins/calls/upstreamEndsClient.js';
import { warmUp } from '../plugins/calls/warmUp.js';
import { createRpcServer, parseAddress, type Address } from '../plugins/rpc.js';
import { createVersionOutcomeCounter } from '../core/rollouts/versionOutcomes.js';
import type { RetryBudgetsOptions } from '../core/calls/retry.js';
import type { CallInterface } from '../types/callInterface.js';
import type { StopTimes } from '../types/internal.js';
import type { Log } from '../utils/log.js';
import type { Timer } from '../utils/timer.js';
import type { NodeSettings } from '../plugins/operators/nodeSettings.js';

const peerGraceMs = 500;

/** What an adapter adds to a node. */
export interface NodeAdapter {
  readonly callInterface: CallInterface;
  readonly stopTimes: StopTimes;
  readonly retryBudgets: RetryBudgetsOptions;
  /** An announcement of the upstream expires unless it is renewed within this time, in ms. */
  readonly renewWithinMs: number;
  /** Throws a Failure if a report is not about the upstream that belongs beside the node. */
  readonly checkReport?: (report: UpstreamReport) => void;
  /** Servers of the adapter; they are started after the node's own and closed last. */
  start(runtime: Pick<NodeRuntime, 'ready' | 'announcement'>): {
    listen(): Promise<unknown>;
    close(): Promise<void>;
  };
}

export interface NodeInstanceOptions {
  readonly settings: NodeSettings;
  readonly timer: Timer;
  readonly log: Log;
  readonly adapter?: NodeAdapter;
}

export interface NodeInstance {
  /** Stops gracefully; calls in flight have `limitMs` to complete. */
  stop(limitMs: number): Promise<void>;
}

const toAddress = (text: string): Address => parseAddress(text)!;

/** Creates a random number generator for [0, 1), seeded by the operating system. */
const createRandom = (): (() => number) => {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  const range = 2 ** 30;
  return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
};

/** Addresses of the control instances, those of the node's own data centre first. */
const sortControlAddresses = ({ node, cluster }: NodeSettings): string[] => {
  const local = cluster.control.filter((control) => control.data_centre === node.data_centre);
  const remote = cluster.control.filter((control) => control.data_centre !== node.data_centre);
  return [...local, ...remote].map(({ address }) => address);
};

/** Starts a node. Resolves once it accepts calls. */
export const startNodeInstance = async ({
  settings,
  timer,
  log,
  adapter,
}: NodeInstanceOptions): Promise<NodeInstance> => {
  const random = createRandom();
  const { listen, cluster, advertise } = settings;
  const access = createAccess({ clusterToken: settings.token });
  const metrics = createMetrics();
  const node = {
    name: settings.node.name,
    dataCentre: settings.node.data_centre,
    region: settings.node.region,
  };
  const control = cluster.control.map((entry) => ({
    address: entry.address,
    dataCentre: entry.data_centre,
  }));
  const outcomes = createVersionOutcomeCounter(randomUUID());
  const feed = createNodeFeed({
    node: { ...node, peerAddress: advertise?.peer ?? listen.peer },
    cluster: { name: cluster.name, control, peers: cluster.peers },
    access,
    timer,
    log,
    random,
    metrics: createFeedMetrics(metrics.registry),
    outcomes,
  });
  const peerServer = createRpcServer({
    address: toAddress(listen.peer),
    routes: feed.routes,
    interceptors: [access.serverInterceptor],
  });
  observePeerTraffic(metrics.registry, peerServer.traffic);
  observeConfirmation(metrics.registry, feed.view.queries.confirmedAgeMs);
  const ledger = createLedgerClient({ addresses: sortControlAddresses(settings), access, timer });
  const upstreamEnds = createUpstreamEndsClient({
    node: node.name,
    addresses: () => [
      ...new Set([...control, ...feed.controls()].map((instance) => instance.address)),
    ],
    access,
    timer,
  });
  const quota = createQuotaClient({
    ...settings.quota,
    dataCentre: node.dataCentre,
    controls: feed.controls,
    fleetNodes: feed.view.queries.fleetNodes,
    access,
    timer,
    log,
    metrics,
    random,
  });
  feed.view.onChange(({ configuration }) =>
    quota.prepare(Object.values(configuration.tenants ?? {})),
  );
  const runtime = createNodeRuntime({
    node,
    listen: {
      calls: toAddress(listen.calls),
      forward: toAddress(listen.forward),
      admin: toAddress(listen.admin),
    },
    advertisedForwardAddress: advertise?.forward,
    callInterface: adapter?.callInterface,
    stopTimes: adapter?.stopTimes,
    retryBudgets: adapter?.retryBudgets,
    renewWithinMs: adapter?.renewWithinMs,
    checkReport: adapter?.checkReport,
    wholeCall: settings.admission.whole_call,
    linkMbps: settings.link?.rate_mbps,
    adaptivePace: settings.routing.adaptive_pace,
    access,
    configurationView: feed.view,
    announcer: feed.announcer,
    ledger,
    upstreamEnds,
    quota,
    metrics,
    outcomes,
    timer,
    log,
    random,
  });
  const adapterServer = adapter?.start(runtime);
  const stopWatch = watchEventLoop(timer, log);

  await peerServer.listen();
  // The first configuration arrives while the code of the call path warms up.
  feed.start();
  const warmUpStartedAt = timer.now();
  await warmUp({
    callInterface: adapter?.callInterface ?? nativeCallInterface,
    access,
    timer,
  }).then(
    (calls) => log.info('warmed up', { calls, ms: Math.round(timer.now() - warmUpStartedAt) }),
    // Warm-up only speeds up the first calls, so its failure does not stop the node.
    (error: unknown) => log.warn('warm-up failed', { error: String(error) }),
  );
  await runtime.start();
  await adapterServer?.listen();
  log.info('started', { ...listen });

  return {
    stop: async (limitMs) => {
      stopWatch();
      await runtime.stop(limitMs);
      await feed.stop();
      await peerServer.close(peerGraceMs);
      ledger.close();
      quota.close();
      await adapterServer?.close();
      timer.stop();
    },
  };
};
