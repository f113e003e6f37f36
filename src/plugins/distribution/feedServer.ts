/**
 * Parent side of the feed: streams to children, and their reports. A stream has no queue. The next
 * message is computed from the child's cursors whenever the child can take one, so that a slow
 * child uses no extra memory and skips versions that were superseded meanwhile.
 */
import { randomUUID } from 'node:crypto';
import { Code, ConnectError, type ConnectRouter, type HandlerContext } from '@connectrpc/connect';
import {
  Feed,
  type ChangeSubscriptionRequest,
  type FeedMessage,
  type ReportRequest,
  type Subscriber,
  type SubscribeRequest,
} from '../../gen/auburnsill/v1/feed_pb.js';
import type { Version } from '../../types/public.js';
import {
  createChildAdmission,
  leaseMs,
  type ChildAdmission,
  type ControlAddress,
  type VersionFloors,
  type NodeVersion,
} from '../../core/distribution/feed.js';
import {
  changeSince,
  type ClusterCursor,
  type ClusterLog,
} from '../../core/distribution/clusterLog.js';
import type {
  ConfigurationCursor,
  ConfigurationStore,
} from '../../core/distribution/configurationStore.js';
import { isNewer, noVersion } from '../../core/agreement/version.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { FeedMetrics } from './feedMetrics.js';
import {
  readAddresses,
  readCursor,
  readVersion,
  writeCluster,
  writeConfiguration,
  writeMessage,
  writeNodeVersion,
  writeVersion,
} from './feedMessages.js';

/**
 * Three missed heartbeats mean an unresponsive parent. The period is short, since a node has to
 * receive a change within 2 s also after losing its parent.
 */
export const heartbeatMs = 500;
const maxServices = 1_024;
/** Maximum number of peers sent to a child, to attach to if it loses this parent. */
const maxSentPeers = 8;
const peersPeriodMs = 60_000;

/** State that a parent publishes to its children, and callbacks for their reports. */
export interface Publication {
  readonly store: ConfigurationStore;
  readonly floors: VersionFloors;
  path(): readonly string[];
  rootDataCentre(): string;
  /** Known control instances. */
  controls(): readonly ControlAddress[];
  confirmedAgeMs(): number;
  /** Number of nodes in the fleet, as far as this process knows. */
  fleetNodes(): number;
  /** Endpoint log of a service, or undefined if nothing is known about it yet. */
  log(service: string): ClusterLog | undefined;
  /** Logs of the endpoints whose leases this process holds, for other control instances. */
  leasedLogs(): readonly ClusterLog[];
  countNodes(child: string): number;
  /** Applies a report. Returns false if the child has to send a full report. */
  report(child: Subscriber, report: ReportRequest): boolean;
  /** Called after a child has disconnected. */
  detached(child: Subscriber): void;
  /** Called after the services that children subscribe to changed. */
  subscribedServicesChanged(): void;
}

export interface FeedServerOptions {
  readonly cluster: string;
  readonly publication: Publication;
  readonly timer: Timer;
  readonly log: Log;
  readonly metrics?: FeedMetrics;
}

export interface FeedServer {
  routes(router: ConnectRouter): void;
  /** Wakes the streams, after a change of the published state. */
  publish(): void;
  /** Sends a heartbeat to all children, after a change of the path. */
  sendHeartbeats(): void;
  /** Services that children subscribe to. */
  subscribedServices(): Set<string>;
  childAddresses(): string[];
  /** Stops admitting children and ends all streams. */
  stop(): void;
}

interface Subscription {
  readonly id: string;
  readonly subscriber: Subscriber;
  readonly allClusters: boolean;
  readonly cursors: Map<string, ClusterCursor>;
  readonly sentVersions: Map<string, Version>;
  configuration: ConfigurationCursor | undefined;
  /** Control instances last sent to the subscriber, as JSON. */
  sentControls: string;
  isHeartbeatDue: boolean;
  isEnded: boolean;
  lastReportAt: number;
  peersSentAt: number;
  wake: () => void;
}

const checkCluster = (cluster: string, subscriber: Subscriber | undefined): Subscriber => {
  if (!subscriber || subscriber.cluster !== cluster) {
    throw new ConnectError(
      `this is cluster ${cluster}, the request names ${subscriber?.cluster ?? 'none'}`,
      Code.FailedPrecondition,
    );
  }
  if (subscriber.name === '' || subscriber.name.length > 256) {
    throw new ConnectError(
      'the subscriber name is empty or longer than 256 characters',
      Code.InvalidArgument,
    );
  }
  return subscriber;
};

const controlRecord = ({ address, dataCentre }: ControlAddress) => ({ address, dataCentre });

/** Calls a function and converts a Failure, as for a malformed message, to an RPC error. */
const convertFailure = <Result>(read: () => Result): Result => {
  try {
    return read();
  } catch (error) {
    if (error instanceof Failure) {
      throw new ConnectError(error.message, Code.InvalidArgument);
    }
    throw error;
  }
};

const initialCursors = (request: SubscribeRequest): Map<string, ClusterCursor> => {
  if (request.clusters.length > maxServices) {
    throw new ConnectError(
      `the subscription has more than ${maxServices} services`,
      Code.InvalidArgument,
    );
  }
  return new Map(request.clusters.map(readCursor).map((cursor) => [cursor.service, cursor]));
};

export const createFeedServer = (options: FeedServerOptions): FeedServer => {
  const { cluster, publication, timer, log, metrics } = options;
  const { store, floors } = publication;
  const subscriptions = new Map<string, Subscription>();
  const admission: ChildAdmission = createChildAdmission(timer.now());
  const cancels: Cancel[] = [];
  let isStopped = false;
  let lastHead = noVersion;
  /** Newest version of at least one heartbeat period ago, which children report by now. */
  let settledHead = noVersion;

  const head = (): Version => store.queries.newest()?.version ?? noVersion;

  const settleHead = () => {
    settledHead = lastHead;
    lastHead = head();
  };

  const isBehind = (child: string): boolean =>
    isNewer(settledHead, floors.queries.floorOf(child) ?? noVersion);

  const wakeAll = () => subscriptions.forEach((subscription) => subscription.wake());

  const sendHeartbeats = () => {
    subscriptions.forEach((subscription) => {
      subscription.isHeartbeatDue = true;
    });
    wakeAll();
  };

  const close = (subscription: Subscription, reason: string) => {
    if (subscription.isEnded) {
      return;
    }
    subscription.isEnded = true;
    subscription.wake();
    subscriptions.delete(subscription.id);
    const { subscriber } = subscription;
    const isReplaced = [...subscriptions.values()].some(
      (other) => other.subscriber.name === subscriber.name,
    );
    if (!isReplaced) {
      admission.commands.release(subscriber.name);
      publication.detached(subscriber);
    }
    publication.subscribedServicesChanged();
    log.info('child left', { child: subscriber.name, reason });
  };

  // Detects children with a dead connection by their missing reports.
  const closeUnresponsive = () => {
    const now = timer.now();
    [...subscriptions.values()]
      .filter(({ lastReportAt }) => now - lastReportAt > leaseMs)
      .forEach((subscription) => close(subscription, 'no report within the lease'));
  };

  const peersFor = (subscriber: Subscriber): string[] =>
    admission.queries
      .children()
      .filter(({ name, role, address }) => name !== subscriber.name && role === 'node' && address)
      .map(({ address }) => address)
      .slice(-maxSentPeers);

  const controlsText = (): string => JSON.stringify(publication.controls().map(controlRecord));

  const writeWelcome = (id: string, subscriber: Subscriber): FeedMessage => {
    const floor = floors.queries.floorOf(subscriber.name);
    return writeMessage({
      case: 'welcome',
      value: {
        subscriptionId: id,
        path: [...publication.path()],
        floor: floor && writeVersion(floor),
        headVersion: writeVersion(head()),
        peers: peersFor(subscriber),
        controls: publication.controls().map(controlRecord),
      },
    });
  };

  const writeHeartbeat = (controls: readonly ControlAddress[] = []): FeedMessage =>
    writeMessage({
      case: 'heartbeat',
      value: {
        confirmedAgeMs: BigInt(publication.confirmedAgeMs()),
        headVersion: writeVersion(head()),
        path: [...publication.path()],
        rootDataCentre: publication.rootDataCentre(),
        controls: controls.map(controlRecord),
        fleetNodes: publication.fleetNodes(),
      },
    });

  const nextConfiguration = (subscription: Subscription): FeedMessage | undefined => {
    if (subscription.allClusters) {
      return undefined;
    }
    const change = store.queries.changeSince(subscription.configuration);
    if (!change) {
      return undefined;
    }
    subscription.configuration = { version: change.version, digest: change.resultDigest };
    return writeMessage({ case: 'configuration', value: writeConfiguration(change) });
  };

  const logsFor = (subscription: Subscription): ClusterLog[] =>
    subscription.allClusters
      ? [...publication.leasedLogs()]
      : [...subscription.cursors.keys()]
          .map((service) => publication.log(service))
          .filter((found) => found !== undefined);

  const nextCluster = (subscription: Subscription): FeedMessage | undefined => {
    for (const clusterLog of logsFor(subscription)) {
      const { service, registry } = clusterLog;
      const cursor = subscription.cursors.get(service) ?? { service, registry: '', revision: 0 };
      const change = changeSince(clusterLog, cursor);
      if (change) {
        subscription.cursors.set(service, { service, registry, revision: change.revision });
        return writeMessage({ case: 'cluster', value: writeCluster(change) });
      }
    }
    return undefined;
  };

  const nextMessage = (subscription: Subscription): FeedMessage | undefined => {
    if (subscription.isHeartbeatDue) {
      subscription.isHeartbeatDue = false;
      const isUnchanged = controlsText() === subscription.sentControls;
      subscription.sentControls = controlsText();
      return writeHeartbeat(isUnchanged ? [] : publication.controls());
    }
    return nextConfiguration(subscription) ?? nextCluster(subscription);
  };

  const open = (request: SubscribeRequest, subscriber: Subscriber): Subscription => {
    [...subscriptions.values()]
      .filter((other) => other.subscriber.name === subscriber.name)
      .forEach((other) => close(other, 'replaced by a newer subscription'));
    const heldVersion = readVersion(request.heldVersion);
    const subscription: Subscription = {
      id: randomUUID(),
      subscriber,
      allClusters: request.allClustersOfDataCentre,
      cursors: initialCursors(request),
      sentVersions: new Map(),
      configuration: request.heldVersion && { version: heldVersion, digest: request.heldDigest },
      sentControls: controlsText(),
      isHeartbeatDue: true,
      isEnded: false,
      lastReportAt: timer.now(),
      peersSentAt: timer.now(),
      wake: () => undefined,
    };
    subscriptions.set(subscription.id, subscription);
    publication.subscribedServicesChanged();
    return subscription;
  };

  const waitForWake = (subscription: Subscription): Promise<void> =>
    new Promise((resolve) => {
      subscription.wake = resolve;
    });

  const admit = (subscriber: Subscriber) =>
    admission.commands.admitChild(
      {
        name: subscriber.name,
        // A child without a valid address is admitted, but never used as a redirect target.
        address: readAddresses([subscriber.peerAddress])[0] ?? '',
        role: subscriber.role === 'control' ? 'control' : 'node',
      },
      {
        path: publication.path(),
        canFeed: publication.rootDataCentre() !== '' || store.queries.newest() !== undefined,
        countNodes: publication.countNodes,
        isBehind,
      },
      timer.now(),
    );

  const recordSent = (message: FeedMessage): FeedMessage => {
    metrics?.sent(message);
    return message;
  };

  async function* stream(subscription: Subscription): AsyncGenerator<FeedMessage> {
    yield recordSent(writeWelcome(subscription.id, subscription.subscriber));
    while (!subscription.isEnded) {
      const message = nextMessage(subscription);
      if (message) {
        yield recordSent(message);
      } else {
        await waitForWake(subscription);
      }
    }
  }

  async function* subscribe(
    request: SubscribeRequest,
    context: HandlerContext,
  ): AsyncGenerator<FeedMessage> {
    const subscriber = checkCluster(cluster, request.subscriber);
    if (isStopped) {
      throw new ConnectError('this process is stopping', Code.Unavailable);
    }
    if (request.probe) {
      yield recordSent(writeWelcome('', subscriber));
      yield recordSent(writeHeartbeat());
      return;
    }
    const decision = admit(subscriber);
    if (decision.outcome === 'redirected') {
      metrics?.redirected();
      const { addresses, retryAfterMs } = decision;
      yield recordSent(
        writeMessage({ case: 'redirect', value: { addresses: [...addresses], retryAfterMs } }),
      );
      return;
    }
    const subscription = convertFailure(() => open(request, subscriber));
    const onAbort = () => close(subscription, 'connection closed');
    context.signal.addEventListener('abort', onAbort, { once: true });
    log.info('child attached', { child: subscriber.name, address: subscriber.peerAddress });
    try {
      yield* stream(subscription);
    } finally {
      context.signal.removeEventListener('abort', onAbort);
      close(subscription, 'stream ended');
    }
  }

  const findSubscription = (subscriptionId: string): Subscription => {
    const found = subscriptions.get(subscriptionId);
    if (!found) {
      throw new ConnectError('unknown subscription', Code.NotFound);
    }
    return found;
  };

  const changeSubscription = (request: ChangeSubscriptionRequest) => {
    const subscription = findSubscription(request.subscriptionId);
    convertFailure(() => request.add.map(readCursor)).forEach((cursor) => {
      if (subscription.cursors.size < maxServices) {
        subscription.cursors.set(cursor.service, cursor);
      }
    });
    request.remove.forEach((service) => subscription.cursors.delete(service));
    if (request.fullConfiguration) {
      subscription.configuration = undefined;
    }
    publication.subscribedServicesChanged();
    subscription.wake();
    return {};
  };

  const siblingVersions = (subscription: Subscription): NodeVersion[] =>
    admission.queries
      .children()
      .filter(({ name, role }) => name !== subscription.subscriber.name && role === 'node')
      .map(({ name }) => ({ name, version: floors.queries.floorOf(name) ?? noVersion }))
      .filter(({ name, version }) => {
        const sent = subscription.sentVersions.get(name);
        return version.index > 0 && (sent?.index !== version.index || sent.term !== version.term);
      });

  const peersIfDue = (subscription: Subscription): string[] => {
    if (timer.now() - subscription.peersSentAt < peersPeriodMs) {
      return [];
    }
    subscription.peersSentAt = timer.now();
    return peersFor(subscription.subscriber);
  };

  const report = (request: ReportRequest) => {
    const subscription = findSubscription(request.subscriptionId);
    subscription.lastReportAt = timer.now();
    metrics?.received(request);
    const isInSync = convertFailure(() => publication.report(subscription.subscriber, request));
    const siblings = subscription.allClusters ? [] : siblingVersions(subscription);
    siblings.forEach(({ name, version }) => subscription.sentVersions.set(name, version));
    return {
      sendFull: !isInSync,
      siblingVersions: siblings.map(writeNodeVersion),
      peers: peersIfDue(subscription),
    };
  };

  cancels.push(
    timer.every(heartbeatMs, sendHeartbeats),
    timer.every(heartbeatMs, closeUnresponsive),
    timer.every(heartbeatMs, settleHead),
  );

  return {
    routes: (router) => {
      router.service(Feed, { subscribe, changeSubscription, report });
    },
    publish: wakeAll,
    sendHeartbeats,
    subscribedServices: () =>
      new Set(
        [...subscriptions.values()]
          .filter(({ allClusters }) => !allClusters)
          .flatMap(({ cursors }) => [...cursors.keys()]),
      ),
    childAddresses: () =>
      admission.queries
        .children()
        .map(({ address }) => address)
        .filter((address) => address !== ''),
    stop: () => {
      isStopped = true;
      cancels.forEach((cancel) => cancel());
      [...subscriptions.values()].forEach((subscription) => close(subscription, 'stopping'));
    },
  };
};
