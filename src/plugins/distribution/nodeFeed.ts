/**
 * Feed of a node, which is the child of one parent and the parent of other nodes. It keeps the
 * node's configuration and clusters up to date, announces its endpoint up the tree, and passes
 * verified updates on to its children before they are in force here.
 */
import { randomUUID } from 'node:crypto';
import type { ConnectRouter } from '@connectrpc/connect';
import type {
  ClusterUpdate,
  ConfigurationUpdate,
  Heartbeat,
  ReportRequest,
  ReportResponse,
  Subscriber,
  Welcome,
} from '../../gen/auburnsill/v1/feed_pb.js';
import type { Cluster } from '../../types/public.js';
import type { Announcer, ActiveConfiguration, ConfigurationView } from '../../types/internal.js';
import {
  createConfigurationStore,
  type ConfigurationUpdateResult,
} from '../../core/distribution/configurationStore.js';
import {
  createFreshness,
  createParentChoice,
  createUpwardReport,
  type ControlAddress,
  type SubtreeStatus,
} from '../../core/distribution/feed.js';
import { clusterWaitMs, createServingState } from '../../core/distribution/servingState.js';
import { derivePolicies } from '../../core/operators/policy.js';
import { createSubtree } from '../../core/distribution/subtree.js';
import { formatVersion, isNewer, noVersion } from '../../core/agreement/version.js';
import type { ParentHeartbeat } from '../../core/distribution/parentHealth.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import { createConfirmationWatch } from './confirmationWatch.js';
import { createFeedLink, probeFeed, type FeedLink } from './feedClient.js';
import type { FeedMetrics } from './feedMetrics.js';
import { createFeedServer, type Publication } from './feedServer.js';
import {
  readAddresses,
  readBranchReport,
  readCluster,
  readConfiguration,
  readControls,
  readHeartbeat,
  readNodeVersions,
  readVersion,
  writeCursor,
  writeEndpoint,
  writeNodeVersion,
  writeVersion,
  writeWithdrawal,
} from './feedMessages.js';
import { createClusterSubscriptions } from '../../core/distribution/clusterSubscriptions.js';
import { createCluster } from '../../core/distribution/usableEndpoints.js';
import type { VersionOutcomeCounter } from '../../core/rollouts/versionOutcomes.js';
import { createOutcomeRelay, relayPeriodMs } from './outcomeRelay.js';
import { createParentLoop } from './parentLoop.js';

const tickMs = 500;
/** Number of rejected updates after which the node leaves its parent. */
const maxRefusals = 3;
/** Number of processes that a starting node asks for its floor, and the wait for their answers. */
const maxFloorProbes = 3;
const floorWaitMs = 1_000;
/**
 * Time after the first heartbeat in which the size of the fleet counts as unknown: after a loss of
 * all processes, a control instance hears of the nodes one after the other.
 */
const fleetSettleMs = 10_000;
/** Time that a stopping node allows for its last report. */
const finalReportMs = 500;

export interface NodeFeedOptions {
  readonly node: {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly peerAddress: string;
  };
  readonly cluster: {
    readonly name: string;
    /** Control instances of the settings. The data centre is empty if it is unknown. */
    readonly control: readonly ControlAddress[];
    readonly peers: readonly string[];
  };
  readonly access: Access;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  readonly metrics?: FeedMetrics;
  /** Outcomes of the calls that this node sends during rollouts. Default: none. */
  readonly outcomes?: VersionOutcomeCounter;
}

export interface NodeFeed {
  readonly view: ConfigurationView;
  readonly announcer: Announcer;
  /** Known control instances whose data centre is known. */
  controls(): readonly ControlAddress[];
  routes(router: ConnectRouter): void;
  start(): void;
  stop(): Promise<void>;
}

/** Creates the feed of a node. */
export const createNodeFeed = (options: NodeFeedOptions): NodeFeed => {
  const { node, cluster, access, timer, random, metrics } = options;
  const log = options.log.part('feed');
  const incarnation = randomUUID();
  const store = createConfigurationStore();
  const serving = createServingState(derivePolicies);
  const clusters = createClusterSubscriptions();
  const subtree = createSubtree(timer.now());
  const upwardReport = createUpwardReport();
  const outcomes = createOutcomeRelay({
    configuration: () => serving.queries.current()?.configuration,
    counter: options.outcomes,
    timer,
    log: options.log,
    metrics,
  });
  let outcomesOfParent = outcomes.createReceiver();
  // Freshness of the state that is passed on, and of the state that is in force here.
  const freshness = createFreshness();
  const inForceFreshness = createFreshness();
  const confirmationWatch = createConfirmationWatch(log, metrics);
  const listeners = new Set<(active: ActiveConfiguration) => void>();
  const cancels: Cancel[] = [];
  let refusals = 0;
  /** Head version of the last heartbeat, with the age of its confirmation in ms. */
  let headVersion = noVersion;
  let confirmation: { readonly ageMs: number; readonly heardAt: number } | undefined;
  /** Highest number heard of: in a partition, each side knows only a part of the nodes. */
  let fleetNodes = 0;
  let firstHeartbeatAt = Infinity;
  /** Arrival of the oldest version that is not in force yet. */
  let receivedAt: number | undefined;

  const choice = createParentChoice({
    dataCentre: node.dataCentre,
    ownAddress: node.peerAddress,
    controls: cluster.control,
    peers: cluster.peers,
    random,
  });

  const newest = () => store.queries.newest()?.version ?? noVersion;
  const inForce = () => serving.queries.current()?.version ?? noVersion;

  const notify = (active: ActiveConfiguration | undefined) => {
    if (active) {
      listeners.forEach((listener) => listener(active));
    }
  };

  /**
   * Applies the confirmation of the last heartbeat to the versions held, unless they are older than
   * the confirmed one. That version often arrives after the heartbeat that names it.
   */
  const confirmHeldVersions = () => {
    if (!confirmation) {
      return;
    }
    const { ageMs, heardAt } = confirmation;
    if (!isNewer(headVersion, newest())) {
      freshness.commands.confirm(ageMs, heardAt);
    }
    if (!isNewer(headVersion, inForce())) {
      inForceFreshness.commands.confirm(ageMs, heardAt);
    }
  };

  const activate = () => {
    const before = inForce();
    const active = serving.commands.activate(timer.now());
    notify(active);
    if (active && isNewer(active.version, before)) {
      confirmHeldVersions();
      const stagedMs = timer.now() - (receivedAt ?? timer.now());
      receivedAt = undefined;
      log.info('version in force', {
        version: formatVersion(active.version),
        parent: parents.link()?.address,
        staged_ms: Math.round(stagedMs),
      });
      metrics?.activated(stagedMs);
      subtree.commands.recordOwnVersion({ name: node.name, version: active.version }, timer.now());
      parents.link()?.scheduleReport();
    }
  };

  // Clusters that children subscribe to may have arrived before this node's routes need them.
  const stageKnownClusters = () => {
    serving.queries.neededServices().forEach((service) => {
      const clusterLog = clusters.queries.log(service);
      if (clusterLog && !serving.queries.current()?.clusters.has(service)) {
        serving.commands.stageCluster(createCluster(service, clusterLog.endpoints.values()));
      }
    });
  };

  const syncSubscriptions = () => {
    const wanted = new Set([...serving.queries.neededServices(), ...server.subscribedServices()]);
    const change = clusters.commands.setServices(wanted);
    if (change) {
      parents.link()?.change({ add: change.add.map(writeCursor), remove: [...change.remove] });
    }
  };

  const requestFull = (reason: string) => {
    refusals += 1;
    metrics?.refused(reason);
    log.warn('update rejected, requesting a full update', { reason });
    if (refusals >= maxRefusals) {
      parents.leave('its updates fail their checks');
      return;
    }
    parents.link()?.change({ fullConfiguration: true });
  };

  const stageNewest = () => {
    const stored = store.queries.newest();
    if (stored && serving.commands.stageConfiguration(stored, timer.now()) === 'staged') {
      syncSubscriptions();
      stageKnownClusters();
      // Activates the configuration at the latest when the wait for clusters ends.
      timer.after(clusterWaitMs, activate);
      activate();
    }
  };

  const resultHandlers: Record<ConfigurationUpdateResult, () => void> = {
    stored: () => {
      refusals = 0;
      receivedAt ??= timer.now();
      confirmHeldVersions();
      server.publish();
      stageNewest();
    },
    not_newer: () => undefined,
    wrong_base: () => requestFull('wrong base'),
  };

  const onConfiguration = (message: ConfigurationUpdate) => {
    let result: ConfigurationUpdateResult;
    try {
      result = store.commands.receive(readConfiguration(message));
    } catch (error) {
      log.warn('update failed its checks', { reason: String(error) });
      requestFull('bad update');
      return;
    }
    resultHandlers[result]();
  };

  const onCluster = (message: ClusterUpdate) => {
    const { service } = message;
    const result = clusters.commands.receive(readCluster(message));
    if (result === 'gap') {
      refusals += 1;
      metrics?.refused('cluster gap');
      if (refusals >= maxRefusals) {
        parents.leave('its updates fail their checks');
        return;
      }
      parents.link()?.change({ add: [{ service, registry: '', revision: 0n }] });
      return;
    }
    const clusterLog = clusters.queries.log(service);
    if (result === 'applied' && clusterLog) {
      refusals = 0;
      serving.commands.stageCluster(createCluster(service, clusterLog.endpoints.values()));
      server.publish();
      activate();
    }
  };

  const raiseFloor = (welcome: Welcome | undefined) => {
    if (welcome?.floor) {
      serving.commands.raiseFloor(readVersion(welcome.floor));
    }
  };

  /** Subscribes to services that became needed since the request of the current link. */
  const subscribeToMissing = (requested: readonly { service: string }[]) => {
    const known = new Set(requested.map(({ service }) => service));
    const missing = clusters.queries.cursors().filter(({ service }) => !known.has(service));
    if (missing.length > 0) {
      parents.link()?.change({ add: missing.map(writeCursor) });
    }
  };

  const onWelcome = (message: Welcome, requested: readonly { service: string }[]) => {
    raiseFloor(message);
    choice.commands.learnControls(readControls(message.controls));
    choice.commands.learnPeers(readAddresses(message.peers));
    refusals = 0;
    upwardReport.commands.reset();
    outcomesOfParent = outcomes.createReceiver();
    parents.link()?.scheduleReport();
    subscribeToMissing(requested);
    syncSubscriptions();
  };

  const onHeartbeat = (message: Heartbeat, heartbeat: ParentHeartbeat) => {
    const now = timer.now();
    headVersion = heartbeat.headVersion;
    confirmation = { ageMs: heartbeat.confirmedAgeMs, heardAt: now };
    fleetNodes = Math.max(fleetNodes, message.fleetNodes);
    firstHeartbeatAt = Math.min(firstHeartbeatAt, now);
    confirmHeldVersions();
    choice.commands.learnControls(readControls(message.controls));
    parents.receiveHeartbeat(heartbeat);
  };

  const ownStatus = (): SubtreeStatus => {
    const version = inForce();
    const isBehind = isNewer(headVersion, version) || isNewer(newest(), version);
    const reason = serving.queries.reason() ?? 'an update is under way';
    const { name, dataCentre } = node;
    return {
      counts: [{ version, dataCentre, nodes: 1 }],
      laggards: isBehind ? [{ name, dataCentre, version, reason }] : [],
    };
  };

  const buildReport = () => {
    const reported = subtree.queries.state();
    const difference = upwardReport.queries.difference(reported);
    const status = subtree.queries.status(ownStatus(), headVersion);
    const nextOutcomes = outcomesOfParent.next();
    return {
      report: {
        name: node.name,
        subtree: status.counts.map((count) => ({ ...count, version: writeVersion(count.version) })),
        laggards: status.laggards.map((each) => ({ ...each, version: writeVersion(each.version) })),
        announcements: difference.announcements.map(writeEndpoint),
        withdrawals: difference.withdrawals.map(writeWithdrawal),
        dropped: difference.dropped,
        endpointsDigest: difference.digest,
        nodeVersions: difference.nodeVersions.map(writeNodeVersion),
        full: difference.full,
        outcomes: nextOutcomes.outcomes,
      },
      acknowledge: (response: ReportResponse) => {
        nextOutcomes.acknowledge();
        upwardReport.commands.acknowledge(reported);
        if (response.sendFull) {
          upwardReport.commands.reset();
        }
        readNodeVersions(response.siblingVersions).forEach((each) =>
          subtree.floors.commands.record(each, timer.now()),
        );
        choice.commands.learnPeers(readAddresses(response.peers));
      },
    };
  };

  const subscribeRequest = () => {
    const stored = store.queries.newest();
    return {
      subscriber: {
        cluster: cluster.name,
        name: node.name,
        dataCentre: node.dataCentre,
        region: node.region,
        peerAddress: node.peerAddress,
        role: 'node',
        incarnation,
      },
      heldVersion: stored && writeVersion(stored.version),
      heldDigest: stored?.digest,
      clusters: clusters.queries.cursors().map(writeCursor),
    };
  };

  /**
   * Creates a link whose messages take effect once it is that of the current parent. Those of a
   * candidate are held until its first heartbeat, which a parent sends right after its welcome.
   */
  const createLink = (address: string): FeedLink => {
    const request = subscribeRequest();
    const held: (() => void)[] = [];
    const whenCurrent = (handle: () => void) => {
      if (parents.link() === link) {
        handle();
      } else {
        held.push(handle);
      }
    };
    const link = createFeedLink({
      address,
      access,
      timer,
      log,
      random,
      metrics,
      request,
      handlers: {
        welcome: (message) => whenCurrent(() => onWelcome(message, request.clusters)),
        configuration: (message) => whenCurrent(() => onConfiguration(message)),
        cluster: (message) => whenCurrent(() => onCluster(message)),
        heartbeat: (message) => {
          const heartbeat = readHeartbeat(message);
          if (parents.offer(link, heartbeat)) {
            held.splice(0).forEach((handle) => handle());
            onHeartbeat(message, heartbeat);
          }
        },
      },
      reporter: { build: buildReport },
    });
    return link;
  };

  const probe = (address: string) => probeFeed({ address, access, request: subscribeRequest() });

  const parents = createParentLoop({
    name: node.name,
    dataCentre: node.dataCentre,
    choice,
    timer,
    log,
    random,
    metrics,
    newest,
    createLink,
    probe,
    pathChanged: () => server.sendHeartbeats(),
  });

  const publication: Publication = {
    store,
    floors: subtree.floors,
    path: () => parents.path(),
    rootDataCentre: () => parents.rootDataCentre(),
    controls: () => choice.queries.controls(),
    confirmedAgeMs: () => freshness.queries.ageMs(timer.now()),
    fleetNodes: () => fleetNodes,
    log: clusters.queries.log,
    // Only control instances send their leased endpoints to others.
    leasedLogs: () => [],
    countNodes: subtree.queries.countNodes,
    report: (child: Subscriber, report: ReportRequest) => {
      const isInSync = subtree.commands.applyReport(
        child.name,
        readBranchReport(report),
        readNodeVersions(report.nodeVersions),
        timer.now(),
      );
      outcomes.receive(report.outcomes);
      if (report.nodeVersions.length > 0) {
        parents.link()?.scheduleReport();
      }
      return isInSync;
    },
    detached: (child) => subtree.commands.detach(child.name),
    subscribedServicesChanged: syncSubscriptions,
  };

  const server = createFeedServer({
    cluster: cluster.name,
    publication,
    timer,
    log,
    metrics,
  });

  subtree.onChange(() => parents.link()?.scheduleReport());

  const tick = () => {
    const now = timer.now();
    confirmationWatch.check({
      ...parents.lastHeartbeat(),
      confirmedAgeMs: inForceFreshness.queries.ageMs(now),
      head: headVersion,
      received: newest(),
      inForce: inForce(),
      parent: parents.link()?.address,
    });
    subtree.commands.tick(now);
    const dropped = serving.commands.dropUnused(now);
    notify(dropped);
    activate();
    syncSubscriptions();
  };

  const relayOutcomes = () => {
    outcomes.update();
    if (outcomesOfParent.hasNext()) {
      parents.link()?.scheduleReport();
    }
  };

  const activeCluster = (service: string): Cluster | undefined =>
    serving.queries.current()?.clusters.get(service);

  const onChange = (listener: (active: ActiveConfiguration) => void) => {
    listeners.add(listener);
    return () => {
      listeners.delete(listener);
    };
  };

  const waitForCluster = (service: string, timeoutMs: number): Promise<Cluster | undefined> =>
    new Promise((resolve) => {
      const finish = (found: Cluster | undefined) => {
        cancelTimeout();
        cancelListener();
        resolve(found);
      };
      const cancelTimeout = timer.after(timeoutMs, () => finish(undefined));
      const cancelListener = onChange((active) => {
        const found = active.clusters.get(service);
        if (found) {
          finish(found);
        }
      });
    });

  const ensureCluster: ConfigurationView['commands']['ensureCluster'] = async (
    service,
    timeoutMs,
  ) => {
    serving.commands.recordUse(service, timer.now());
    const found = activeCluster(service);
    if (found) {
      return found;
    }
    syncSubscriptions();
    stageKnownClusters();
    activate();
    return activeCluster(service) ?? waitForCluster(service, timeoutMs);
  };

  // Asks other processes for the version that this node served last, before it serves any.
  const fetchFloor = async () => {
    const { localControls, remoteControls, peers } = choice.queries;
    // If no control instance of the own data centre is known, another one can name them.
    const own = localControls().slice(0, 1);
    const controls = own.length > 0 ? own : remoteControls();
    const probed = [...controls, ...peers()].slice(0, maxFloorProbes);
    const answers = probed.map(async (address) => {
      const welcome = (await probe(address))?.welcome;
      raiseFloor(welcome);
      choice.commands.learnControls(readControls(welcome?.controls ?? []));
    });
    await Promise.race([Promise.all(answers), timer.sleep(floorWaitMs)]);
  };

  return {
    view: {
      commands: {
        ensureCluster,
        recordUse: (service) => serving.commands.recordUse(service, timer.now()),
      },
      queries: {
        current: serving.queries.current,
        isDetached: () => inForceFreshness.queries.isDetached(timer.now()),
        confirmedAgeMs: () => inForceFreshness.queries.ageMs(timer.now()),
        fleetNodes: () => (timer.now() - firstHeartbeatAt >= fleetSettleMs ? fleetNodes : 0),
      },
      onChange,
    },
    announcer: {
      announce: (endpoint) => subtree.commands.announce(endpoint, timer.now()),
      withdraw: (endpointId) => subtree.commands.withdraw(endpointId, timer.now()),
    },
    controls: choice.queries.controls,
    routes: server.routes,
    start: () => {
      cancels.push(timer.every(tickMs, tick), timer.every(relayPeriodMs, relayOutcomes));
      fetchFloor()
        .catch((error: unknown) =>
          log.warn('lookup of the version floor failed', { error: String(error) }),
        )
        .finally(parents.start);
    },
    stop: async () => {
      outcomes.update();
      parents.link()?.scheduleReport();
      await timer.sleep(finalReportMs);
      cancels.forEach((cancel) => cancel());
      await parents.stop();
      server.stop();
    },
  };
};
