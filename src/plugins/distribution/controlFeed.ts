/**
 * Feed of a control instance, which is the root of its data centre's fan-out tree. It publishes the
 * configurations of its source, keeps the registry of its data centre's endpoints and exchanges
 * these with the other control instances.
 */
import { randomUUID } from 'node:crypto';
import type { ConnectRouter } from '@connectrpc/connect';
import type { ReportRequest, Subscriber } from '../../gen/auburnsill/v1/feed_pb.js';
import type { Endpoint } from '../../types/public.js';
import type { ConfigurationSource, FleetStatus } from '../../types/internal.js';
import type { VersionOutcomes } from '../../types/rollouts.js';
import { createConfigurationStore } from '../../core/distribution/configurationStore.js';
import { compareRecords } from '../../core/distribution/clusterLog.js';
import { mergeStatuses, type SubtreeStatus } from '../../core/distribution/feed.js';
import { createRegistry } from '../../core/distribution/registry.js';
import { createSubtree } from '../../core/distribution/subtree.js';
import { noVersion } from '../../core/agreement/version.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import { createControlExchange, type ControlMember } from './controlExchange.js';
import type { FeedMetrics } from './feedMetrics.js';
import { createFeedServer, type Publication } from './feedServer.js';
import { createOutcomeRelay, relayPeriodMs } from './outcomeRelay.js';
import { readBranchReport, readNodeVersions } from './feedMessages.js';

const tickMs = 500;
/** Endpoint changes that arrive within this time are combined into one revision. */
const batchMs = 100;
/**
 * Minimum time between two published configurations, so that the fleet's work does not grow with
 * the rate of changes. A change has to be in force within 2 s; this is a tenth of it.
 */
const publishPeriodMs = 200;

/**
 * A status that was not renewed for this time, three reports, is ignored. The nodes of a lost
 * control instance attach to others, which then count them.
 */
const remoteStatusRetentionMs = 10_000;
const maxRemoteStatuses = 16;

export interface ControlFeedOptions {
  readonly control: {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly peerAddress: string;
  };
  readonly cluster: { readonly name: string; members(): readonly ControlMember[] };
  readonly source: ConfigurationSource;
  readonly access: Access;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  readonly metrics?: FeedMetrics;
}

export interface ControlFeed {
  readonly fleet: FleetStatus;
  /**
   * Outcomes over the fleet since the start of the newest rollout of each service, as far as they
   * are known here. They only rise until the rollout has been over for 60 s or another one starts.
   */
  outcomes(): readonly VersionOutcomes[];
  routes(router: ConnectRouter): void;
  start(): void;
  stop(): Promise<void>;
}

const emptyStatus: SubtreeStatus = { counts: [], laggards: [] };

const mergeNewest = (sets: readonly Iterable<Endpoint>[]): Map<string, Endpoint> => {
  const merged = new Map<string, Endpoint>();
  for (const set of sets) {
    for (const endpoint of set) {
      const existing = merged.get(endpoint.id);
      if (!existing || compareRecords(endpoint, existing) > 0) {
        merged.set(endpoint.id, endpoint);
      }
    }
  }
  return merged;
};

/** Creates the feed of a control instance. */
export const createControlFeed = (options: ControlFeedOptions): ControlFeed => {
  const { control, cluster, source, timer, metrics } = options;
  const log = options.log.part('feed');
  const incarnation = randomUUID();
  const store = createConfigurationStore(source.configurationAt);
  const subtree = createSubtree(timer.now());
  // `registry` has the endpoints of all data centres, as sent to nodes; `leased` has those whose
  // leases this control instance holds.
  const registry = createRegistry(incarnation.slice(0, 8), timer.now());
  const leased = createRegistry(incarnation.slice(0, 8), timer.now());
  const remoteStatuses = new Map<string, { status: SubtreeStatus; readonly atMs: number }>();
  const listeners = new Set<() => void>();
  const cancels: Cancel[] = [];
  let cancelReconcile: Cancel | undefined;
  let cancelNotify: Cancel | undefined;
  let cancelPublish: Cancel | undefined;
  let publishedAt = -Infinity;
  /** Version counts that were last reported to the other control instances, as JSON. */
  let sharedCounts = '';

  const scheduleNotify = () => {
    cancelNotify ??= timer.after(batchMs, () => {
      cancelNotify = undefined;
      listeners.forEach((listener) => listener());
    });
  };

  const reconcile = () => {
    cancelReconcile?.();
    cancelReconcile = undefined;
    const now = timer.now();
    const own = subtree.queries.state().endpoints;
    const isWithdrawn = (endpoint: Endpoint) => subtree.queries.isWithdrawn(endpoint);
    const remote = exchange.endpoints().filter((endpoint) => !isWithdrawn(endpoint));
    const all = mergeNewest([own.values(), remote]);
    const changed = [
      ...leased.commands.reconcile({ endpoints: own, isWithdrawn }, now),
      ...registry.commands.reconcile({ endpoints: all, isWithdrawn }, now),
    ];
    if (changed.length > 0) {
      server.publish();
      scheduleNotify();
    }
  };

  const scheduleReconcile = () => {
    cancelReconcile ??= timer.after(batchMs, reconcile);
  };

  const ownStatus = (): SubtreeStatus =>
    subtree.queries.status(emptyStatus, options.source.head()?.version ?? noVersion);

  const outcomes = createOutcomeRelay({
    configuration: () => source.head()?.configuration,
    timer,
    log: options.log,
    metrics,
  });

  const exchange = createControlExchange({
    ...options,
    log,
    outcomes,
    incarnation,
    status: ownStatus,
    withdrawals: () => subtree.queries.recentWithdrawals(timer.now()),
    endpointsChanged: scheduleReconcile,
  });

  const shareStatus = () => {
    const counts = JSON.stringify(ownStatus().counts);
    if (counts !== sharedCounts) {
      sharedCounts = counts;
      exchange.scheduleReport();
    }
    scheduleNotify();
  };

  const applyControlReport = (child: Subscriber, report: ReportRequest): boolean => {
    const branchReport = readBranchReport(report);
    if (subtree.commands.addWithdrawals(branchReport.withdrawals, timer.now())) {
      log.info('withdrawals received', {
        from: child.name,
        count: branchReport.withdrawals.length,
      });
    }
    if (remoteStatuses.has(child.name) || remoteStatuses.size < maxRemoteStatuses) {
      remoteStatuses.set(child.name, {
        status: branchReport.status,
        atMs: timer.now(),
      });
    }
    exchange.learnDelays(report.delays);
    exchange.markOutcomesSent(child.name, outcomes.receive(report.outcomes));
    scheduleNotify();
    return true;
  };

  const applyNodeReport = (child: Subscriber, report: ReportRequest): boolean => {
    const isInSync = subtree.commands.applyReport(
      child.name,
      readBranchReport(report),
      readNodeVersions(report.nodeVersions),
      timer.now(),
    );
    outcomes.receive(report.outcomes);
    if (report.withdrawals.length > 0) {
      exchange.scheduleReport();
    }
    shareStatus();
    return isInSync;
  };

  const publication: Publication = {
    store,
    floors: subtree.floors,
    path: () => [control.name],
    // An instance that is behind is not announced as a root: its children would lag as well.
    rootDataCentre: () => (source.isCurrent() ? control.dataCentre : ''),
    controls: () => cluster.members(),
    confirmedAgeMs: () => source.confirmedAgeMs(),
    fleetNodes: () => status().counts.reduce((sum, { nodes }) => sum + nodes, 0),
    log: registry.queries.log,
    leasedLogs: () => leased.queries.services().map(leased.queries.log),
    countNodes: subtree.queries.countNodes,
    report: (child, report) =>
      child.role === 'control' ? applyControlReport(child, report) : applyNodeReport(child, report),
    detached: (child) => {
      subtree.commands.detach(child.name);
      remoteStatuses.delete(child.name);
      shareStatus();
    },
    subscribedServicesChanged: () => undefined,
  };

  const server = createFeedServer({ cluster: cluster.name, publication, timer, log, metrics });

  subtree.onChange(scheduleReconcile);

  const publishHead = () => {
    cancelPublish = undefined;
    const head = source.head();
    if (head && store.commands.put(head)) {
      publishedAt = timer.now();
      server.publish();
    }
  };

  /** Publishes the newest configuration, at most one per `publishPeriodMs`. */
  const schedulePublish = () => {
    const waitMs = publishedAt + publishPeriodMs - timer.now();
    if (waitMs <= 0) {
      publishHead();
    } else {
      cancelPublish ??= timer.after(waitMs, publishHead);
    }
  };

  const tick = () => {
    subtree.commands.tick(timer.now());
    exchange.tick();
    schedulePublish();
    reconcile();
  };

  const relayOutcomes = () => {
    outcomes.update();
    exchange.relayOutcomes();
  };

  const statusOf = (name: string): SubtreeStatus => {
    const remote = remoteStatuses.get(name);
    const isFresh = remote !== undefined && timer.now() - remote.atMs <= remoteStatusRetentionMs;
    return isFresh ? remote.status : emptyStatus;
  };

  const status = (): SubtreeStatus =>
    mergeStatuses([ownStatus(), ...[...remoteStatuses.keys()].map(statusOf)]);

  const dataCentres = (): string[] => {
    const named = [control.dataCentre, ...cluster.members().map(({ dataCentre }) => dataCentre)];
    return [...new Set(named)];
  };

  return {
    fleet: {
      counts: () => status().counts,
      laggards: () => status().laggards,
      servedDataCentres: (name) => {
        const { counts } = name === control.name ? ownStatus() : statusOf(name);
        return [...new Set(counts.map(({ dataCentre }) => dataCentre))];
      },
      inventory: () => ({
        clusters: registry.queries.clusters(),
        delayMs: exchange.delayMs,
        dataCentres: dataCentres(),
      }),
      onChange: (listener) => {
        listeners.add(listener);
        return () => {
          listeners.delete(listener);
        };
      },
    },
    outcomes: outcomes.sums,
    routes: server.routes,
    start: () => {
      schedulePublish();
      cancels.push(
        source.onChange(schedulePublish),
        timer.every(tickMs, tick),
        timer.every(relayPeriodMs, relayOutcomes),
      );
      exchange.start();
    },
    stop: async () => {
      cancels.forEach((cancel) => cancel());
      cancelPublish?.();
      await exchange.stop();
      server.stop();
    },
  };
};
