/**
 * Wires up a control instance: storage, replica groups, feed, RPC services and admin server. Starts
 * and stops them in dependency order.
 */
import type { ConnectRouter } from '@connectrpc/connect';
import {
  createConfigurationHistory,
  type AppliedChange,
  type Document,
  type DocumentReader,
} from '../core/agreement/configurationHistory.js';
import { staleParentMs } from '../core/distribution/parentHealth.js';
import { createLedger, type LedgerResult } from '../core/agreement/ledger.js';
import { createAccess } from '../plugins/operators/access.js';
import { createAdminServer, type CheckState } from '../plugins/operators/adminServer.js';
import {
  createConsensusTransport,
  type JoinHandler,
  type LeaveHandler,
  type RequestHandler,
} from '../plugins/agreement/consensusTransport.js';
import { createControlFeed } from '../plugins/distribution/controlFeed.js';
import { createFeedMetrics, observePeerTraffic } from '../plugins/distribution/feedMetrics.js';
import { createControlMetrics, type ObservedGroup } from '../plugins/agreement/controlMetrics.js';
import type { ControlSettings } from '../plugins/operators/controlSettings.js';
import { createConvergence } from '../plugins/distribution/convergence.js';
import { retryWhileDiskFull } from '../plugins/agreement/diskSpace.js';
import { bootstrapGroup, identityProbe, isEmptyLog } from '../plugins/agreement/bootstrap.js';
import type { GroupLog, LoadedLog } from '../plugins/agreement/groupLog.js';
import { handleJoin, startJoining } from '../plugins/agreement/joining.js';
import { handleLeave, leaveGroup } from '../plugins/agreement/leaving.js';
import { mirrorMembership } from '../plugins/agreement/ledgerMembership.js';
import { createLedgerService } from '../plugins/agreement/ledgerService.js';
import { createUpstreamEndService } from '../plugins/agreement/upstreamEndService.js';
import { createQuotaService, type QuotaService } from '../plugins/quota/quotaService.js';
import { createMetrics, type Metrics } from '../plugins/metrics.js';
import {
  createDocumentChanges,
  type DocumentChanges,
} from '../plugins/operators/documentChanges.js';
import { createRolloutService, type RolloutService } from '../plugins/operators/rolloutService.js';
import { createRolloutRpc } from '../plugins/operators/rolloutRpc.js';
import type { RolloutOrders } from '../plugins/operators/rolloutOrders.js';
import { createOperatorCommands } from '../plugins/operators/operatorCommands.js';
import { createOperatorQueries } from '../plugins/operators/operatorQueries.js';
import {
  createReplicaGroup,
  defaultReplicaTimes,
  type RunningReplicaGroup,
} from '../plugins/agreement/replicaGroup.js';
import { createRpcServer, type RpcServer } from '../plugins/rpc.js';
import { openStorage } from '../plugins/agreement/storage.js';
import type { ConfigurationSource, StateMachine } from '../types/internal.js';
import { Failure } from '../utils/failure.js';
import type { Log } from '../utils/log.js';
import type { Cancel, Timer } from '../utils/timer.js';

/**
 * A member that has been silent for this long, in ms, is treated as replaced and removed: three
 * election timeouts.
 */
const removeSilentAfterMs = 3 * defaultReplicaTimes.electionTimeoutMs;
/** Bytes of entries after which a group's log is compacted, since it is also held in memory. */
const compactAfterBytes = 4 * 1024 * 1024;
/** Number of entries after which a group's log is compacted. */
const compactAfterEntries = { configuration: 1_000, ledger: 10_000 } as const;
const closeGraceMs = 2_000;
/** With two voters the loss of either one loses the quorum. */
const leastVoters = 3;
/** The instance is ready if a quorum confirmed the leader within this time, in ms. */
const readyWithinMs = 3_000;

export interface ControlInstanceOptions {
  readonly settings: ControlSettings;
  readonly bootstrap: boolean;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  /** Adapter with its own server for operators; that server is started last and closed first. */
  readonly adapter?: ControlAdapter;
  /** The disk failed or an invariant is violated: the process must exit immediately. */
  readonly onFatal: (error: unknown) => void;
}

export interface ControlInstance {
  stop(): Promise<void>;
}

/** Parts of a control instance that are passed to an adapter. */
export interface ControlContext {
  readonly documents: DocumentChanges;
  readonly rollouts: RolloutOrders;
  readonly metrics: Metrics;
}

export interface ControlAdapter {
  /** Parses the documents that operators submit. */
  readonly readDocument: DocumentReader;
  start(context: ControlContext): AdapterServer;
}

export interface AdapterServer {
  listen(): Promise<unknown>;
  close(): Promise<void>;
}

interface Groups {
  readonly configuration: RunningReplicaGroup<AppliedChange>;
  /** Unset if this instance does not run the ledger. */
  readonly ledger?: RunningReplicaGroup<LedgerResult>;
}

type GroupName = keyof Groups;

/** Caches the last parse, since the leader parses a document on submission and on activation. */
const cacheLatestDocument = (readDocument: DocumentReader): DocumentReader => {
  let latest: { readonly text: string; readonly document: Document } | undefined;
  return (text) => {
    if (latest?.text !== text) {
      latest = { text, document: readDocument(text) };
    }
    return latest.document;
  };
};

/** Starts a control instance. Resolves once it is listening. */
export const startControlInstance = async ({
  settings,
  bootstrap,
  timer,
  log,
  random,
  onFatal,
  adapter,
}: ControlInstanceOptions): Promise<ControlInstance> => {
  const { control, cluster, discovery, hasLedger } = settings;
  const localMember = cluster.members.find(({ name }) => name === control.name)!;
  const isBootstrapping = discovery
    ? discovery.isFirstStart && discovery.seeds()[0] === localMember.address
    : bootstrap && cluster.members[0] === localMember;
  // With fewer voters, as many lost disks as have to be tolerated could be a majority of them.
  const minVoters = Math.max(leastVoters, 2 * (discovery?.toleratedLosses ?? 1) + 1);
  const metrics = createMetrics();
  const controlMetrics = createControlMetrics(metrics);
  const access = createAccess({ clusterToken: cluster.token, operators: cluster.operators });
  const readDocument = adapter && cacheLatestDocument(adapter.readDocument);
  const history = createConfigurationHistory({ readDocument });
  const ledger = createLedger();

  const owner = { cluster: cluster.name, member: control.name };
  const storage = await retryWhileDiskFull(() => openStorage(settings.folder, owner), {
    timer,
    log,
  });
  const openLog = (group: GroupName): Promise<GroupLog> =>
    retryWhileDiskFull(
      () => storage.openLog(group, (ms) => controlMetrics.observeSyncMs(group, ms)),
      { timer, log: log.part(group) },
    );
  const logs: { configuration: GroupLog; ledger?: GroupLog } = {
    configuration: await openLog('configuration'),
    ledger: hasLedger ? await openLog('ledger') : undefined,
  };
  const self = { name: control.name, incarnation: storage.incarnation };
  const transport = createConsensusTransport({
    cluster: cluster.name,
    self,
    interceptors: [access.clientInterceptor],
    callTimeoutMs: defaultReplicaTimes.electionTimeoutMs,
  });
  const groups: { -readonly [Name in GroupName]?: Groups[Name] } = {};
  let isStopping = false;

  const leave = async (group: GroupName): Promise<void> => {
    const replicaGroup = groups[group];
    if (replicaGroup) {
      await leaveGroup({
        self,
        group: replicaGroup,
        minVoters,
        ask: (address) => transport.leave(address, group),
        timer,
        log: log.part(group),
      });
    }
  };

  const createGroup = <Result>(
    group: GroupName,
    machine: StateMachine<Result>,
    groupLog: GroupLog,
    loaded: LoadedLog,
  ): RunningReplicaGroup<Result> =>
    createReplicaGroup({
      group,
      self,
      storage: groupLog,
      loaded,
      machine,
      request: (address, message) => transport.request(address, group, message),
      timer,
      log: log.part(group),
      random,
      compactAfterEntries: compactAfterEntries[group],
      compactAfterBytes,
      removeSilentAfterMs: discovery ? removeSilentAfterMs : undefined,
      minVoters,
      leave: discovery ? () => leave(group) : undefined,
      onFatal,
    });

  const handleRequest: RequestHandler = (group, from, message) => {
    const replicaGroup = groups[group as GroupName];
    return replicaGroup
      ? replicaGroup.receive(from, message)
      : Promise.reject(new Failure('no_quorum', `group "${group}" does not run here`));
  };

  const seedMembers = () =>
    (discovery?.seeds() ?? [])
      .filter((address) => address !== localMember.address)
      .map((address) => ({ ...localMember, name: address, address }));

  const loadGroup = (group: GroupName, groupLog: GroupLog): Promise<LoadedLog> => {
    const { loaded } = groupLog;
    if (!isBootstrapping || !isEmptyLog(loaded)) {
      return Promise.resolve(loaded);
    }
    return bootstrapGroup({
      self: { ...localMember, incarnation: self.incarnation, kind: 'voter' },
      others: discovery
        ? seedMembers()
        : cluster.members.filter((member) => member !== localMember),
      othersJoin: discovery !== undefined,
      storage: groupLog,
      probe: (address) => transport.request(address, group, identityProbe),
      timer,
      log: log.part(group),
      isStopped: () => isStopping,
    });
  };

  const headListeners = new Set<() => void>();
  const source: ConfigurationSource = {
    head: () => history.queries.head(),
    configurationAt: (version) => history.queries.at(version)?.configuration,
    confirmedAgeMs: () => {
      const ageMs = groups.configuration?.queries.confirmedAgeMs() ?? Infinity;
      return Math.min(Math.round(ageMs), Number.MAX_SAFE_INTEGER);
    },
    isCurrent: () => {
      const { queries } = groups.configuration ?? {};
      const isVoter = queries?.role() === 'leader' || queries?.role() === 'follower';
      return isVoter && (queries?.confirmedAgeMs() ?? Infinity) <= staleParentMs;
    },
    onChange: (listener) => {
      headListeners.add(listener);
      return () => headListeners.delete(listener);
    },
  };

  const controlMembers = () => {
    const members = groups.configuration?.queries.members() ?? [];
    return members.length === 0 ? cluster.members : members;
  };

  const feed = createControlFeed({
    control: { ...control, peerAddress: localMember.address },
    cluster: { name: cluster.name, members: controlMembers },
    source,
    access,
    timer,
    log,
    random,
    metrics: createFeedMetrics(metrics.registry),
  });
  const convergence = createConvergence(
    source,
    feed.fleet,
    timer,
    controlMetrics.observeConvergenceMs,
  );

  const groupNames: readonly GroupName[] = hasLedger
    ? ['configuration', 'ledger']
    : ['configuration'];

  const observedGroups = (): ObservedGroup[] =>
    groupNames.flatMap((name) => {
      const group = groups[name];
      return group
        ? [{ name, status: group.status, confirmedAgeMs: group.queries.confirmedAgeMs }]
        : [];
    });

  const reasonsNotReady = (): string[] => {
    const reasons = groupNames.flatMap((name) => {
      const group = groups[name];
      if (!group) {
        return [`group ${name} is not started`];
      }
      const isConfirmed = group.queries.confirmedAgeMs() <= readyWithinMs;
      const isVoter = group.queries.role() !== 'learner';
      return [
        ...(isConfirmed ? [] : [`no quorum confirmed a leader of group ${name}`]),
        ...(isVoter ? [] : [`this instance is not a voter of group ${name} yet`]),
      ];
    });
    return isStopping ? ['stopping', ...reasons] : reasons;
  };

  const checkReadiness = (): CheckState => {
    const reasons = reasonsNotReady();
    return { ok: reasons.length === 0, reasons };
  };

  const admin = createAdminServer({
    address: settings.listen.admin,
    health: () => ({ ok: true, reasons: [] }),
    ready: checkReadiness,
    metrics: () => {
      controlMetrics.update(observedGroups());
      return metrics.render();
    },
  });

  let notifiedHead = source.head();
  const notifyHead = () => {
    const head = source.head();
    if (head !== notifiedHead) {
      notifiedHead = head;
      headListeners.forEach((listener) => listener());
    }
  };

  let loggedMembers = '';
  const logMembership = () => {
    const status = groups.configuration?.status();
    if (!status?.isMembershipSettled) {
      return;
    }
    const { members } = status;
    const text = members.map(({ name, kind }) => `${name} ${kind}`).join(', ');
    if (text !== loggedMembers) {
      loggedMembers = text;
      log.info('membership', { members: text });
    }
  };

  const startGroups = async (): Promise<Groups> => {
    const storages = logs;
    const [configurationLog, ledgerLog] = await Promise.all([
      loadGroup('configuration', storages.configuration),
      storages.ledger && loadGroup('ledger', storages.ledger),
    ]);
    const configuration = createGroup(
      'configuration',
      history.machine,
      storages.configuration,
      configurationLog,
    );
    groups.configuration = configuration;
    configuration.onChange(notifyHead);
    configuration.onChange(logMembership);
    configuration.start();
    if (storages.ledger && ledgerLog) {
      groups.ledger = createGroup('ledger', ledger.machine, storages.ledger, ledgerLog);
      groups.ledger.start();
    }
    return { configuration, ledger: groups.ledger };
  };

  const handleJoinRequest: JoinHandler = (group, member) => {
    const replicaGroup = groups[group as GroupName];
    return replicaGroup
      ? handleJoin(replicaGroup, member)
      : Promise.resolve({ outcome: 'not_leader', addresses: [] });
  };

  const handleLeaveRequest: LeaveHandler = (group, member) => {
    const replicaGroup = groups[group as GroupName];
    // The next leader decides: it knows which voters go on.
    return replicaGroup && !isStopping
      ? handleLeave(replicaGroup, member, minVoters)
      : Promise.resolve('not_leader');
  };

  const joinings: Cancel[] = [];

  const joinGroup = (group: GroupName) => {
    const replicaGroup = groups[group];
    if (discovery && replicaGroup) {
      const joining = { group, ...control, address: localMember.address };
      joinings.push(
        startJoining({
          self: joining,
          incarnation: self.incarnation,
          group: replicaGroup,
          seeds: discovery.seeds,
          ask: (address) => transport.join(address, joining),
          timer,
          log: log.part(group),
        }),
      );
    }
  };

  const createRoutes = (
    { configuration, ledger: ledgerGroup }: Groups,
    rolloutService: RolloutService,
  ) => {
    const ledgerService = ledgerGroup && createLedgerService({ group: ledgerGroup, ledger, timer });
    const addCommands = createOperatorCommands({
      group: configuration,
      history,
      fleet: feed.fleet,
      timer,
      log: log.part('operators'),
      fetchIncarnation: async (address) => {
        const { from } = await transport.request(address, 'configuration', identityProbe);
        return from.incarnation;
      },
    });
    const addUpstreamEnds = createUpstreamEndService({ group: configuration, history });
    const addRollouts = createRolloutRpc({
      group: configuration,
      orders: rolloutService.orders,
    });
    const addQueries = createOperatorQueries({
      group: configuration,
      history,
      fleet: feed.fleet,
      convergedMs: convergence.convergedMs,
    });
    quotaService = createQuotaService({
      ...settings.quota,
      ...self,
      dataCentre: control.dataCentre,
      isFirstStart: storage.isNew && (discovery ? discovery.isFirstStart : bootstrap),
      group: configuration,
      timer,
      log,
      metrics,
    });
    ledgerService?.start();
    return (router: ConnectRouter) => {
      transport.routes(router, {
        receive: handleRequest,
        join: handleJoinRequest,
        leave: handleLeaveRequest,
      });
      feed.routes(router);
      ledgerService?.routes(router);
      quotaService?.routes(router);
      addCommands(router);
      addQueries(router);
      addRollouts(router);
      addUpstreamEnds(router);
    };
  };

  const closeStorage = async () => {
    transport.close();
    await storage.close();
  };

  let server: RpcServer | undefined;
  let adapterServer: AdapterServer | undefined;
  let quotaService: QuotaService | undefined;

  let rollouts: RolloutService | undefined;

  const stop = async () => {
    isStopping = true;
    // A leaving instance learns of its removal, and would ask to be added again.
    joinings.forEach((cancel) => cancel());
    rollouts?.stop();
    await adapterServer?.close();
    await Promise.all(Object.values(groups).map((group) => group.commands.stop()));
    quotaService?.stop();
    await feed.stop();
    await server?.close(closeGraceMs);
    await admin.close();
    await closeStorage();
  };

  try {
    await admin.listen();
    const started = await startGroups();
    // A change that is stored on a single disk would be lost with that disk.
    const minVotersOfChanges = Math.floor((discovery?.seeds().length ?? 1) / 2) + 1;
    rollouts = createRolloutService({
      group: started.configuration,
      history,
      source: feed,
      limits: settings.rollouts,
      minVoters: minVotersOfChanges,
      metrics,
      timer,
      log: log.part('rollouts'),
    });
    server = createRpcServer({
      address: settings.listen.peer,
      routes: createRoutes(started, rollouts),
      interceptors: [access.serverInterceptor],
    });
    observePeerTraffic(metrics.registry, server.traffic);
    await server.listen();
    groupNames.forEach(joinGroup);
    if (started.ledger && !discovery) {
      mirrorMembership(started.configuration, started.ledger, timer, log.part('ledger'));
    }
    convergence.start();
    feed.start();
    rollouts.start();
    adapterServer = adapter?.start({
      documents: createDocumentChanges({
        readDocument: readDocument!,
        group: started.configuration,
        history,
        minVoters: minVotersOfChanges,
        timer,
        log: log.part('operators'),
      }),
      rollouts: rollouts.orders,
      metrics,
    });
    await adapterServer?.listen();
    log.info('started', { incarnation: self.incarnation, newFolder: storage.isNew });
  } catch (error) {
    await stop();
    throw error;
  }
  return { stop };
};
