/**
 * Feed of a control instance: root of the fan-out tree of its data centre. It takes configurations
 * from its source, keeps the registry of its data centre's endpoints and exchanges these with the
 * other control instances.
 */
import { randomUUID } from 'node:crypto';
import type { ConnectRouter } from '@connectrpc/connect';
import type { ReportRequest, Subscriber } from '../../gen/auburnsill/v1/feed_pb.js';
import type { Endpoint } from '../../types/public.js';
import type { ConfigurationSource, FleetStatus } from '../../types/internal.js';
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
import { readBranchReport, readNodeVersions } from './feedMessages.js';

const tickMs = 500;
/** Endpoint changes that arrive within this time get one revision. */
const batchMs = 100;
/**
 * Shortest time between two configurations that are passed on, so that the fleet's work does not
 * grow with the rate of changes. A change is to be in force within 2 s; this is a tenth of it.
 */
const publishPeriodMs = 200;

/**
 * A status that was not renewed for this time, three reports, is left out: the nodes of a lost
 * control instance attach to others, which then count them.
 */
const remoteStatusKeepMs = 10_000;
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
  routes(router: ConnectRouter): void;
  start(): void;
  stop(): Promise<void>;
}

const emptyStatus: SubtreeStatus = { counts: [], laggards: [] };

const mergeNewest = (sets: readonly Iterable<Endpoint>[]): Map<string, Endpoint> => {
  const merged = new Map<string, Endpoint>();
  for (const set of sets) {
    for (const endpoint of set) {
      const held = merged.get(endpoint.id);
      if (!held || compareRecords(endpoint, held) > 0) {
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
  // Endpoints that nodes get, of all data centres, and those whose leases are held here.
  const registry = createRegistry(incarnation.slice(0, 8), timer.now());
  const leased = createRegistry(incarnation.slice(0, 8), timer.now());
  const remoteStatuses = new Map<string, { status: SubtreeStatus; readonly atMs: number }>();
  const listeners = new Set<() => void>();
  const cancels: Cancel[] = [];
  let reconcileDue: Cancel | undefined;
  let notifyDue: Cancel | undefined;
  let publishDue: Cancel | undefined;
  let publishedAt = -Infinity;
  /** Counts that the other control instances were told last. */
  let sharedCounts = '';

  const notifySoon = () => {
    notifyDue ??= timer.after(batchMs, () => {
      notifyDue = undefined;
      listeners.forEach((listener) => listener());
    });
  };

  const reconcile = () => {
    reconcileDue?.();
    reconcileDue = undefined;
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
      notifySoon();
    }
  };

  const reconcileSoon = () => {
    reconcileDue ??= timer.after(batchMs, reconcile);
  };

  const ownStatus = (): SubtreeStatus =>
    subtree.queries.status(emptyStatus, options.source.head()?.version ?? noVersion);

  const exchange = createControlExchange({
    ...options,
    log,
    incarnation,
    status: ownStatus,
    withdrawals: () => subtree.queries.recentWithdrawals(timer.now()),
    endpointsChanged: reconcileSoon,
  });

  const shareStatus = () => {
    const counts = JSON.stringify(ownStatus().counts);
    if (counts !== sharedCounts) {
      sharedCounts = counts;
      exchange.scheduleReport();
    }
    notifySoon();
  };

  const reportFromControl = (child: Subscriber, report: ReportRequest): boolean => {
    const branchReport = readBranchReport(report);
    if (subtree.commands.addWithdrawals(branchReport.withdrawals, timer.now())) {
      log.info('withdrawals heard', { from: child.name, count: branchReport.withdrawals.length });
    }
    if (remoteStatuses.has(child.name) || remoteStatuses.size < maxRemoteStatuses) {
      remoteStatuses.set(child.name, {
        status: branchReport.status,
        atMs: timer.now(),
      });
    }
    exchange.learnDelays(report.delays);
    notifySoon();
    return true;
  };

  const reportFromNode = (child: Subscriber, report: ReportRequest): boolean => {
    const known = subtree.commands.applyReport(
      child.name,
      readBranchReport(report),
      readNodeVersions(report.nodeVersions),
      timer.now(),
    );
    if (report.withdrawals.length > 0) {
      exchange.scheduleReport();
    }
    shareStatus();
    return known;
  };

  const publication: Publication = {
    store,
    floors: subtree.floors,
    path: () => [control.name],
    // An instance that is behind is no root: its children would be behind with it.
    rootDataCentre: () => (source.isCurrent() ? control.dataCentre : ''),
    controls: () => cluster.members(),
    confirmedAgeMs: () => source.confirmedAgeMs(),
    log: registry.queries.log,
    leasedLogs: () => leased.queries.services().map(leased.queries.log),
    countNodes: subtree.queries.countNodes,
    report: (child, report) =>
      child.role === 'control' ? reportFromControl(child, report) : reportFromNode(child, report),
    detached: (child) => {
      subtree.commands.detach(child.name);
      remoteStatuses.delete(child.name);
      shareStatus();
    },
    subscribedServicesChanged: () => undefined,
  };

  const server = createFeedServer({ cluster: cluster.name, publication, timer, log, metrics });

  subtree.onChange(reconcileSoon);

  const publishHead = () => {
    publishDue = undefined;
    const head = source.head();
    if (head && store.commands.put(head)) {
      publishedAt = timer.now();
      server.publish();
    }
  };

  /** Passes on the newest configuration, at once unless another one was passed on a moment ago. */
  const takeHead = () => {
    const waitMs = publishedAt + publishPeriodMs - timer.now();
    if (waitMs <= 0) {
      publishHead();
    } else {
      publishDue ??= timer.after(waitMs, publishHead);
    }
  };

  const tick = () => {
    subtree.commands.tick(timer.now());
    exchange.tick();
    takeHead();
    reconcile();
  };

  const statusOf = (name: string): SubtreeStatus => {
    const remote = remoteStatuses.get(name);
    const isFresh = remote !== undefined && timer.now() - remote.atMs <= remoteStatusKeepMs;
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
      fedDataCentres: (name) => {
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
    routes: server.routes,
    start: () => {
      takeHead();
      cancels.push(source.onChange(takeHead), timer.every(tickMs, tick));
      exchange.start();
    },
    stop: async () => {
      cancels.forEach((cancel) => cancel());
      publishDue?.();
      await exchange.stop();
      server.stop();
    },
  };
};
