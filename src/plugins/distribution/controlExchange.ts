/**
 * Exchange between control instances. Each one subscribes to the endpoints that the others lease,
 * and reports to them the versions in force in its own tree and the withdrawn endpoints. A node
 * that moves to another control instance leaves a lease behind at the previous one, which only a
 * withdrawal ends. The round-trip times of the reports give the delays between data centres.
 */
import type { DataCentreDelay } from '../../gen/auburnsill/v1/feed_pb.js';
import type { Endpoint } from '../../types/public.js';
import {
  applyChange,
  createClusterLog,
  digestEndpoints,
  type ClusterLog,
} from '../../core/distribution/clusterLog.js';
import type { SubtreeStatus, Withdrawal } from '../../core/distribution/feed.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import type { OutcomeReport } from '../../core/rollouts/versionOutcomes.js';
import { createFeedLink, type FeedLink } from './feedClient.js';
import type { FeedMetrics } from './feedMetrics.js';
import type { OutcomeReceiver, OutcomeRelay } from './outcomeRelay.js';
import { readCluster, writeCursor, writeVersion, writeWithdrawal } from './feedMessages.js';

/** Endpoints of an unreachable control instance are kept for this time. */
export const remoteRetentionMs = 600_000;
const minBackoffMs = 100;
const maxBackoffMs = 5_000;
/** The minimum of this many round trips is used, so that a short load peak has no effect. */
const maxRoundTrips = 20;
const maxServices = 1_024;
/** Endpoints of a replaced member are kept for this time, which exceeds a node's lease. */
const replacedRetentionMs = 15_000;
const maxLearnedDelays = 64;

export interface ControlMember {
  readonly name: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
}

export interface ControlExchangeOptions {
  readonly control: {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
    readonly peerAddress: string;
  };
  readonly cluster: { readonly name: string; members(): readonly ControlMember[] };
  readonly incarnation: string;
  readonly access: Access;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  readonly metrics?: FeedMetrics;
  /** Versions in force in this control instance's own tree. */
  status(): SubtreeStatus;
  /** Endpoints that were withdrawn recently, wherever their nodes were attached. */
  withdrawals(): readonly Withdrawal[];
  /** Outcome reports of the nodes, wherever they are attached. */
  readonly outcomes: Pick<OutcomeRelay, 'createReceiver'>;
  /** Called after the endpoints of another control instance changed. */
  endpointsChanged(): void;
}

export interface ControlExchange {
  start(): void;
  stop(): Promise<void>;
  /** Follows the membership and drops expired endpoints. Called twice a second. */
  tick(): void;
  /** Schedules a report of the own tree's versions in force to the other control instances. */
  scheduleReport(): void;
  /** Schedules reports to the control instances that lack outcome reports. */
  relayOutcomes(): void;
  /** Records that a control instance sent these outcome reports, and thus holds them. */
  markOutcomesSent(control: string, reports: readonly OutcomeReport[]): void;
  endpoints(): Endpoint[];
  /** One-way delay in ms; 0 if it was not measured. */
  delayMs(fromDataCentre: string, toDataCentre: string): number;
  /** Records delays that another control instance measured. */
  learnDelays(delays: readonly DataCentreDelay[]): void;
}

interface Remote {
  readonly member: ControlMember;
  readonly logs: Map<string, ClusterLog>;
  readonly roundTrips: number[];
  /** Aborted when the control instance leaves the membership or changes its address. */
  readonly ended: AbortController;
  lostAt: number | undefined;
  link: FeedLink | undefined;
  /** Renewed with each link, since the control instance may have restarted. */
  outcomes: OutcomeReceiver;
}

interface MeasuredDelay {
  readonly fromDataCentre: string;
  readonly toDataCentre: string;
  readonly delayUs: number;
}

const delayKey = (from: string, to: string): string => JSON.stringify([from, to]);

export const createControlExchange = (options: ControlExchangeOptions): ControlExchange => {
  const { control, cluster, access, timer, log, random, metrics } = options;
  const learnedDelays = new Map<string, number>();
  const tasks = new Set<Promise<void>>();
  let isStarted = false;
  let remotes: Remote[] = [];

  const logOf = (remote: Remote, service: string): ClusterLog => {
    const found = remote.logs.get(service) ?? {
      ...createClusterLog(service, '', true),
      revision: 0,
    };
    if (remote.logs.size < maxServices) {
      remote.logs.set(service, found);
    }
    return found;
  };

  const measuredDelays = (): MeasuredDelay[] =>
    remotes
      .filter(({ roundTrips }) => roundTrips.length > 0)
      .map(({ member, roundTrips }) => ({
        fromDataCentre: control.dataCentre,
        toDataCentre: member.dataCentre,
        delayUs: Math.round((Math.min(...roundTrips) / 2) * 1_000),
      }));

  const buildReport = (outcomes: OutcomeReceiver) => {
    const status = options.status();
    const nextOutcomes = outcomes.next();
    return {
      report: {
        name: control.name,
        subtree: status.counts.map((count) => ({ ...count, version: writeVersion(count.version) })),
        laggards: status.laggards.map((each) => ({ ...each, version: writeVersion(each.version) })),
        endpointsDigest: digestEndpoints([]),
        withdrawals: options.withdrawals().map(writeWithdrawal),
        full: false,
        delays: measuredDelays(),
        outcomes: nextOutcomes.outcomes,
      },
      acknowledge: nextOutcomes.acknowledge,
    };
  };

  const recordRoundTrip = (remote: Remote, ms: number) => {
    remote.roundTrips.push(ms);
    remote.roundTrips.splice(0, Math.max(0, remote.roundTrips.length - maxRoundTrips));
  };

  const cursorOf = ({ service, registry, revision, settling }: ClusterLog) =>
    writeCursor({ service, registry, revision: settling ? 0 : revision });

  const createLink = (remote: Remote): FeedLink => {
    const outcomes = options.outcomes.createReceiver();
    remote.outcomes = outcomes;
    const link: FeedLink = createFeedLink({
      address: remote.member.address,
      access,
      timer,
      log,
      random,
      metrics,
      request: {
        subscriber: {
          ...control,
          cluster: cluster.name,
          role: 'control',
          incarnation: options.incarnation,
        },
        allClustersOfDataCentre: true,
        clusters: [...remote.logs.values()].map(cursorOf),
      },
      handlers: {
        welcome: () => {
          remote.lostAt = undefined;
          link.scheduleReport();
        },
        configuration: () => undefined,
        heartbeat: () => undefined,
        cluster: (message) => {
          const result = applyChange(logOf(remote, message.service), readCluster(message));
          if (result === 'applied') {
            options.endpointsChanged();
          } else if (result === 'gap') {
            const { service } = message;
            link.change({ add: [{ service, registry: '', revision: 0n }] });
          }
        },
      },
      reporter: {
        build: () => buildReport(outcomes),
        recordRoundTrip: (ms) => recordRoundTrip(remote, ms),
      },
    });
    return link;
  };

  const maintainLink = async (remote: Remote) => {
    let attempt = 0;
    while (!remote.ended.signal.aborted) {
      remote.link = createLink(remote);
      const outcome = await remote.link.run();
      remote.link = undefined;
      const wasAttached = outcome.outcome === 'lost' && outcome.attached;
      if (wasAttached) {
        remote.lostAt ??= timer.now();
        log.info('control instance lost', { name: remote.member.name, reason: outcome.reason });
      }
      attempt = wasAttached ? 0 : Math.min(10, attempt + 1);
      const limit = Math.min(maxBackoffMs, minBackoffMs * 2 ** attempt);
      await timer.sleep(random() * limit, remote.ended.signal);
    }
  };

  const endRemote = (remote: Remote) => {
    remote.ended.abort();
    remote.lostAt ??= timer.now();
    remote.link?.end('no longer a member');
  };

  const addRemote = (member: ControlMember) => {
    const remote: Remote = {
      member,
      logs: new Map(),
      roundTrips: [],
      ended: new AbortController(),
      lostAt: undefined,
      link: undefined,
      outcomes: options.outcomes.createReceiver(),
    };
    remotes.push(remote);
    const task = maintainLink(remote).finally(() => tasks.delete(task));
    tasks.add(task);
  };

  /**
   * Brings the links in line with the membership. Endpoints of a removed member are kept until its
   * nodes have attached to other control instances, which then report them.
   */
  const syncMembers = () => {
    const members = cluster.members().filter(({ name }) => name !== control.name);
    const isCurrent = ({ member }: Remote) =>
      members.some(({ name, address }) => name === member.name && address === member.address);
    remotes.filter((remote) => !isCurrent(remote)).forEach(endRemote);
    remotes = remotes.filter(
      (remote) =>
        isCurrent(remote) ||
        (remote.lostAt !== undefined && timer.now() - remote.lostAt < replacedRetentionMs),
    );
    members
      .filter(
        ({ name, address }) =>
          !remotes.some(({ member }) => member.name === name && member.address === address),
      )
      .forEach(addRemote);
  };

  return {
    start: () => {
      isStarted = true;
      syncMembers();
    },
    stop: async () => {
      isStarted = false;
      remotes.forEach(endRemote);
      await Promise.all(tasks);
    },
    tick: () => {
      if (isStarted) {
        syncMembers();
      }
      remotes
        .filter(({ lostAt }) => lostAt !== undefined && timer.now() - lostAt >= remoteRetentionMs)
        .forEach(({ logs }) => logs.clear());
    },
    scheduleReport: () => remotes.forEach(({ link }) => link?.scheduleReport()),
    relayOutcomes: () =>
      remotes
        .filter(({ outcomes }) => outcomes.hasNext())
        .forEach(({ link }) => link?.scheduleReport()),
    markOutcomesSent: (name, reports) =>
      remotes
        .filter(({ member }) => member.name === name)
        .forEach(({ outcomes }) => outcomes.markSent(reports)),
    endpoints: () =>
      remotes.flatMap(({ logs }) =>
        [...logs.values()].flatMap(({ endpoints }) => [...endpoints.values()]),
      ),
    delayMs: (from, to) => {
      const own = measuredDelays().find(
        ({ fromDataCentre, toDataCentre }) =>
          (fromDataCentre === from && toDataCentre === to) ||
          (fromDataCentre === to && toDataCentre === from),
      );
      const us =
        own?.delayUs ??
        learnedDelays.get(delayKey(from, to)) ??
        learnedDelays.get(delayKey(to, from));
      return from === to ? 0 : (us ?? 0) / 1_000;
    },
    learnDelays: (delays) => {
      delays.slice(0, maxLearnedDelays).forEach(({ fromDataCentre, toDataCentre, delayUs }) => {
        learnedDelays.set(delayKey(fromDataCentre, toDataCentre), delayUs);
      });
    },
  };
};
