/**
 * Parent side of the feed: streams to children, and their reports. A stream holds no queue. What a
 * child needs is computed from its cursors whenever it can take another message, so that a slow
 * child costs no memory and skips what was overtaken meanwhile.
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
import { noVersion } from '../../core/agreement/version.js';
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

/** Three missed ones count as silence: a node has to hear of a change within 2 s, also after it. */
export const heartbeatMs = 500;
const maxServices = 1_024;
/** Peers that a child is told, to attach to when this parent is lost. */
const toldPeers = 8;
const peersPeriodMs = 60_000;

/** What a parent passes on. */
export interface Publication {
  readonly store: ConfigurationStore;
  readonly floors: VersionFloors;
  path(): readonly string[];
  rootDataCentre(): string;
  /** Control instances, as far as they are known here. */
  controls(): readonly ControlAddress[];
  confirmedAgeMs(): number;
  /** Log of a service, or undefined if nothing is known about it yet. */
  log(service: string): ClusterLog | undefined;
  /** Logs of the endpoints whose leases are held here, for other control instances. */
  leasedLogs(): readonly ClusterLog[];
  countNodes(child: string): number;
  /** Applies a report. Returns false if the child has to report in full. */
  report(child: Subscriber, report: ReportRequest): boolean;
  /** A child has gone. */
  detached(child: Subscriber): void;
  /** The services that children subscribe to have changed. */
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
  /** Wakes the streams after a change of what is published. */
  publish(): void;
  /** Sends a heartbeat to all children, after a change of the path. */
  sendHeartbeats(): void;
  /** Services that children subscribe to. */
  subscribedServices(): Set<string>;
  childAddresses(): string[];
  /** Admits no more children and ends all streams. */
  stop(): void;
}

interface Subscription {
  readonly id: string;
  readonly subscriber: Subscriber;
  readonly allClusters: boolean;
  readonly cursors: Map<string, ClusterCursor>;
  readonly toldVersions: Map<string, Version>;
  configuration: ConfigurationCursor | undefined;
  /** Control instances that the subscriber was told last, as text. */
  toldControls: string;
  beatDue: boolean;
  ended: boolean;
  reportedAt: number;
  peersToldAt: number;
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
    throw new ConnectError('the subscriber has no valid name', Code.InvalidArgument);
  }
  return subscriber;
};

const controlRecord = ({ address, dataCentre }: ControlAddress) => ({ address, dataCentre });

/** Turns a malformed message into an RPC error with its reason. */
const guard = <Result>(read: () => Result): Result => {
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
    throw new ConnectError(`more than ${maxServices} services`, Code.InvalidArgument);
  }
  return new Map(request.clusters.map(readCursor).map((cursor) => [cursor.service, cursor]));
};

export const createFeedServer = (options: FeedServerOptions): FeedServer => {
  const { cluster, publication, timer, log, metrics } = options;
  const { store, floors } = publication;
  const subscriptions = new Map<string, Subscription>();
  const admission: ChildAdmission = createChildAdmission(timer.now());
  const cancels: Cancel[] = [];
  let stopped = false;

  const wakeAll = () => subscriptions.forEach((subscription) => subscription.wake());

  const beat = () => {
    subscriptions.forEach((subscription) => {
      subscription.beatDue = true;
    });
    wakeAll();
  };

  const close = (subscription: Subscription, reason: string) => {
    if (subscription.ended) {
      return;
    }
    subscription.ended = true;
    subscription.wake();
    subscriptions.delete(subscription.id);
    const { subscriber } = subscription;
    const replaced = [...subscriptions.values()].some(
      (other) => other.subscriber.name === subscriber.name,
    );
    if (!replaced) {
      admission.commands.release(subscriber.name);
      publication.detached(subscriber);
    }
    publication.subscribedServicesChanged();
    log.info('child left', { child: subscriber.name, reason });
  };

  // A child whose connection went silent is noticed by its missing reports.
  const closeSilent = () => {
    const now = timer.now();
    [...subscriptions.values()]
      .filter(({ reportedAt }) => now - reportedAt > leaseMs)
      .forEach((subscription) => close(subscription, 'no report within the lease'));
  };

  const peersFor = (subscriber: Subscriber): string[] =>
    admission.queries
      .children()
      .filter(({ name, role, address }) => name !== subscriber.name && role === 'node' && address)
      .map(({ address }) => address)
      .slice(-toldPeers);

  const controlsText = (): string => JSON.stringify(publication.controls().map(controlRecord));

  const writeWelcome = (id: string, subscriber: Subscriber): FeedMessage => {
    const floor = floors.queries.floorOf(subscriber.name);
    return writeMessage({
      case: 'welcome',
      value: {
        subscriptionId: id,
        path: [...publication.path()],
        floor: floor && writeVersion(floor),
        headVersion: writeVersion(store.queries.newest()?.version ?? noVersion),
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
        headVersion: writeVersion(store.queries.newest()?.version ?? noVersion),
        path: [...publication.path()],
        rootDataCentre: publication.rootDataCentre(),
        controls: controls.map(controlRecord),
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
    if (subscription.beatDue) {
      subscription.beatDue = false;
      const isTold = controlsText() === subscription.toldControls;
      subscription.toldControls = controlsText();
      return writeHeartbeat(isTold ? [] : publication.controls());
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
      toldVersions: new Map(),
      configuration: request.heldVersion && { version: heldVersion, digest: request.heldDigest },
      toldControls: controlsText(),
      beatDue: true,
      ended: false,
      reportedAt: timer.now(),
      peersToldAt: timer.now(),
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
        // A child without a valid address is fed, and is no target of redirects.
        address: readAddresses([subscriber.peerAddress])[0] ?? '',
        role: subscriber.role === 'control' ? 'control' : 'node',
      },
      {
        path: publication.path(),
        canFeed: publication.rootDataCentre() !== '' || store.queries.newest() !== undefined,
        countNodes: publication.countNodes,
      },
      timer.now(),
    );

  const count = (message: FeedMessage): FeedMessage => {
    metrics?.sent(message);
    return message;
  };

  async function* stream(subscription: Subscription): AsyncGenerator<FeedMessage> {
    yield count(writeWelcome(subscription.id, subscription.subscriber));
    while (!subscription.ended) {
      const message = nextMessage(subscription);
      if (message) {
        yield count(message);
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
    if (stopped) {
      throw new ConnectError('this process is stopping', Code.Unavailable);
    }
    if (request.probe) {
      yield count(writeWelcome('', subscriber));
      yield count(writeHeartbeat());
      return;
    }
    const decision = admit(subscriber);
    if (decision.outcome === 'redirected') {
      metrics?.redirected();
      const { addresses, retryAfterMs } = decision;
      yield count(
        writeMessage({ case: 'redirect', value: { addresses: [...addresses], retryAfterMs } }),
      );
      return;
    }
    const subscription = guard(() => open(request, subscriber));
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

  const find = (subscriptionId: string): Subscription => {
    const found = subscriptions.get(subscriptionId);
    if (!found) {
      throw new ConnectError('unknown subscription', Code.NotFound);
    }
    return found;
  };

  const changeSubscription = (request: ChangeSubscriptionRequest) => {
    const subscription = find(request.subscriptionId);
    guard(() => request.add.map(readCursor)).forEach((cursor) => {
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
        const told = subscription.toldVersions.get(name);
        return version.index > 0 && (told?.index !== version.index || told.term !== version.term);
      });

  const peersIfDue = (subscription: Subscription): string[] => {
    if (timer.now() - subscription.peersToldAt < peersPeriodMs) {
      return [];
    }
    subscription.peersToldAt = timer.now();
    return peersFor(subscription.subscriber);
  };

  const report = (request: ReportRequest) => {
    const subscription = find(request.subscriptionId);
    subscription.reportedAt = timer.now();
    metrics?.received(request);
    const known = guard(() => publication.report(subscription.subscriber, request));
    const siblings = subscription.allClusters ? [] : siblingVersions(subscription);
    siblings.forEach(({ name, version }) => subscription.toldVersions.set(name, version));
    return {
      sendFull: !known,
      siblingVersions: siblings.map(writeNodeVersion),
      peers: peersIfDue(subscription),
    };
  };

  cancels.push(timer.every(heartbeatMs, beat), timer.every(heartbeatMs, closeSilent));

  return {
    routes: (router) => {
      router.service(Feed, { subscribe, changeSubscription, report });
    },
    publish: wakeAll,
    sendHeartbeats: beat,
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
      stopped = true;
      cancels.forEach((cancel) => cancel());
      [...subscriptions.values()].forEach((subscription) => close(subscription, 'stopping'));
    },
  };
};
