/**
 * A node without its feed: the call path, the announcement of the local upstream and the admin
 * server. Configuration, clusters and the ledger are injected, so that tests can replace them.
 */
import { createBurnCounters, burnReport } from '../../core/operators/burn.js';
import { createEndpointTracker } from '../../core/calls/endpointTracker.js';
import { explainPolicy, retryShare, classesOfService } from '../../core/operators/policy.js';
import { createLoadTotals } from '../../core/calls/loadTotals.js';
import { createOverloadThrottle } from '../../core/calls/overloadThrottle.js';
import { createRetryBudgets, type RetryBudgetsOptions } from '../../core/calls/retry.js';
import { findRollout, isVersionBarred } from '../../core/rollouts/versionRouting.js';
import type { VersionOutcomeCounter } from '../../core/rollouts/versionOutcomes.js';
import { formatVersion } from '../../core/agreement/version.js';
import type { Cluster } from '../../types/public.js';
import type { CallInterface } from '../../types/callInterface.js';
import type {
  Announcer,
  ActiveConfiguration,
  ConfigurationView,
  LedgerClient,
  UpstreamEndStore,
  StopTimes,
} from '../../types/internal.js';
import { createQuasiRandom } from '../../core/calls/quasiRandom.js';
import { createRateLimitedLog } from '../../utils/rateLimitedLog.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import {
  createAdminServer,
  sendError,
  sendJson,
  type CheckState,
} from '../operators/adminServer.js';
import { createResponseWriters } from './responseWriters.js';
import { createAtMostOnceRunner } from './atMostOnceRunner.js';
import { createAttemptRecorder } from './attemptRecorder.js';
import { createCallMetrics } from './callMetrics.js';
import { createWholeCallMetrics } from './wholeCallMetrics.js';
import { addLinkMetrics } from './linkMetrics.js';
import { createCallRunner } from './callRunner.js';
import { createCallStartScheduler } from './callStartScheduler.js';
import { createCallServer } from './callServer.js';
import { createForwardServer } from './forwardServer.js';
import { createLocalUpstream } from './localUpstream.js';
import type { QuotaGate } from '../../types/quota.js';
import type { Metrics } from '../metrics.js';
import { startLoadSummary } from './loadSummary.js';
import { createNodeQueues } from './nodeQueues.js';
import { startPauseDetection } from './pauseDetection.js';
import { createRemoteSender } from './remoteSender.js';
import { createRolloutLog } from './rolloutLog.js';
import { formatAddress, type Address } from '../rpc.js';
import {
  createUpstreamAnnouncement,
  type UpstreamAnnouncement,
  type UpstreamReport,
} from './upstreamAnnouncement.js';
import { nativeCallInterface } from './nativeCallInterface.js';
import { createNodeLinks } from './nodeLinks.js';
import { createCallExplanation, readExplainedCall } from './callExplanation.js';
import { addPaceMetrics, createRampLog } from './paceReports.js';
import { createTenantMetrics } from './tenantMetrics.js';

const housekeepingIntervalMs = 1_000;

export interface NodeRuntimeOptions {
  readonly node: { readonly name: string; readonly dataCentre: string; readonly region: string };
  readonly listen: { readonly calls: Address; readonly forward: Address; readonly admin: Address };
  /** Address to which other nodes forward calls. Default: the bound forward address. */
  readonly advertisedForwardAddress?: string;
  /** Interface to callers and upstreams. Default: the product's native one. */
  readonly callInterface?: CallInterface;
  /** Retry limits. Default: a tenth of the calls of each class and service. */
  readonly retryBudgets?: RetryBudgetsOptions;
  /** Throws a Failure if a report is not about the upstream that belongs beside this node. */
  readonly checkReport?: (report: UpstreamReport) => void;
  /** Time within which the upstream renews its announcement, in ms. Default: 3 s. */
  readonly renewWithinMs?: number;
  readonly stopTimes?: StopTimes;
  /** Admission by the whole call, see docs/design/whole-call.md. Default: false. */
  readonly wholeCall?: boolean;
  /** Rate of the instance's link in Mbit/s. Default: not limited. */
  readonly linkMbps?: number;
  /** The share of a new or recovered endpoint follows its answers. Default: it follows time. */
  readonly adaptivePace?: boolean;
  readonly access: Access;
  readonly configurationView: ConfigurationView;
  readonly announcer: Announcer;
  readonly ledger: LedgerClient;
  /** Where the ends of the upstream beside the node are stored. */
  readonly upstreamEnds: UpstreamEndStore;
  /** Limit on the rate of each tenant. Default: no limit. */
  readonly quota?: QuotaGate;
  readonly metrics: Metrics;
  /** Counts outcomes by version during rollouts. Default: they are not counted. */
  readonly outcomes?: VersionOutcomeCounter;
  readonly timer: Timer;
  readonly log: Log;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
}

export interface BoundAddresses {
  readonly calls: Address;
  readonly forward: Address;
  readonly admin: Address;
}

export interface NodeRuntime {
  start(): Promise<BoundAddresses>;
  ready(): CheckState;
  readonly announcement: UpstreamAnnouncement;
  /** Refuses new work, finishes calls in flight within the limit, then closes. */
  stop(limitMs: number): Promise<void>;
}

/** Callers usually notice in this time that the node is not ready; they keep idle connections. */
const defaultStopTimes: StopTimes = { acceptMs: 500, idleMs: 2_000 };
/**
 * Idle time of the forward address during a stop, in ms. Other nodes close their idle connections
 * once they learn that this one is stopping; one that is short of CPU time or briefly cut off may
 * have sent a call before that.
 */
const forwardIdleMs = 4_500;
/** Longest wait during a stop for pending ledger writes of at-most-once calls, in ms. */
const maxRecordingWaitMs = 2_000;

const countEndpointsByState = ({ endpoints }: Cluster) => ({
  ready: endpoints.filter(({ state }) => state === 'ready').length,
  leaving: endpoints.filter(({ state }) => state === 'leaving').length,
});

export const createNodeRuntime = (options: NodeRuntimeOptions): NodeRuntime => {
  const { node, access, configurationView, metrics, timer, log, random } = options;
  const { callInterface = nativeCallInterface, stopTimes = defaultStopTimes } = options;
  const { wholeCall = false } = options;
  const wholeCallMetrics = wholeCall ? createWholeCallMetrics(metrics) : undefined;
  const endpointTracker = createEndpointTracker({
    random,
    ...(options.adaptivePace && {
      adaptivePace: { onRamp: createRampLog(log.part('pace'), timer) },
    }),
  });
  if (options.adaptivePace) {
    addPaceMetrics(metrics, () => endpointTracker.queries.ramps(timer.now()));
  }
  const retryBudgetFor = createRetryBudgets(
    options.retryBudgets ?? { share: retryShare },
    configurationView.queries.fleetNodes,
  );
  const burn = createBurnCounters();
  const loadTotals = createLoadTotals();
  const callMetrics = createCallMetrics(metrics, loadTotals);
  const tenantMetrics = createTenantMetrics(metrics);
  const logDecision = createRateLimitedLog(log.part('calls'), timer);
  const newestConfiguration = () => configurationView.queries.current()?.configuration;
  const startScheduler = createCallStartScheduler({
    timer,
    onDelay: callMetrics.recordStartDelay,
    hasPaused: startPauseDetection(timer).hasPaused,
  });
  const upstream = createLocalUpstream(timer, callInterface.upstreams, random, {
    logDecision,
    starts: startScheduler,
    isBarred: ({ service, version }) =>
      isVersionBarred(findRollout(newestConfiguration(), service), version),
    metrics: callMetrics,
    wholeCall,
    wholeCallMetrics,
  });
  const writers = createResponseWriters(timer, options.linkMbps);
  addLinkMetrics(metrics, writers.linkUse);
  const links = createNodeLinks({ timer, authorization: access.authorization });
  const remote = createRemoteSender({
    links,
    timer,
    onLoad: (endpointId, load) =>
      endpointTracker.commands.recordLoad(endpointId, load, timer.now()),
  });
  const throttle = createOverloadThrottle({ wholeCall });
  const runner = createCallRunner({
    localNode: node,
    timer,
    random,
    upstream,
    startScheduler,
    remote: createNodeQueues(remote, timer, wholeCall),
    endpointTracker,
    retryBudgetFor,
    countsNestedCalls: options.retryBudgets?.countsNestedCalls ?? true,
    throttle,
    wholeCall,
    metrics: callMetrics,
    logDecision,
    newestConfiguration,
    recordResult:
      options.outcomes &&
      createAttemptRecorder({
        counter: options.outcomes,
        configuration: newestConfiguration,
        metrics,
        timer,
      }),
  });
  const atMostOnce = createAtMostOnceRunner({
    runner,
    ledger: options.ledger,
    timer,
    log: log.part('ledger'),
  });
  const calls = createCallServer({
    address: options.listen.calls,
    dataCentre: node.dataCentre,
    callers: callInterface.callers,
    stopTimes,
    random,
    quasiRandom: createQuasiRandom(random),
    timer,
    log: log.part('calls'),
    holding: configurationView,
    upstream,
    writers,
    startScheduler,
    runner,
    throttle,
    wholeCall,
    wholeCallMetrics,
    atMostOnce,
    quota: options.quota,
    burn,
    metrics: callMetrics,
    tenantMetrics,
    logDecision,
  });
  const forward = createForwardServer({
    address: options.listen.forward,
    access,
    stopTimes: { ...stopTimes, idleMs: forwardIdleMs },
    timer,
    log: log.part('forward'),
    upstream,
    writers,
    starts: startScheduler,
    random,
  });
  let forwardAddress = options.advertisedForwardAddress ?? '';
  let isStarted = false;
  let isStopping = false;
  const announcement = createUpstreamAnnouncement({
    node,
    forwardAddress: () => forwardAddress,
    announcer: options.announcer,
    renewWithinMs: options.renewWithinMs,
    checkReport: options.checkReport,
    ends: options.upstreamEnds,
    upstream,
    timer,
    log: log.part('upstream'),
  });

  const health = (): CheckState => ({
    ok: isStarted,
    reasons: isStarted ? [] : ['the node is starting'],
  });

  const ready = (): CheckState => {
    const reasons = [
      ...(isStarted ? [] : ['the node is starting']),
      ...(isStopping ? ['the node is stopping'] : []),
      ...(configurationView.queries.current() ? [] : ['no configuration is held']),
    ];
    return { ok: reasons.length === 0, reasons };
  };

  const report = () => {
    const active = configurationView.queries.current();
    const snapshot = burn.queries.snapshot(timer.now());
    return {
      node: node.name,
      data_centre: node.dataCentre,
      version: active ? formatVersion(active.version) : undefined,
      detached: configurationView.queries.isDetached(),
      confirmed_age_ms: Math.round(configurationView.queries.confirmedAgeMs()),
      snapshot,
      burn: active ? burnReport(snapshot, active.configuration) : [],
      upstream: upstream.queries.load(),
      services: active ? [...active.clusters.keys()] : [],
      endpoints: Object.fromEntries(
        [...(active?.clusters ?? [])].map(([service, cluster]) => [
          service,
          countEndpointsByState(cluster),
        ]),
      ),
    };
  };

  const explain = (className: string | string[] | undefined) => {
    const active = configurationView.queries.current();
    const classes = Object.values(active?.configuration.classes ?? {});
    return classes
      .filter(({ name }) => className === undefined || name === className)
      .map((trafficClass) => ({
        class: trafficClass.name,
        lines: explainPolicy(
          trafficClass,
          active?.clusters.get(trafficClass.service),
          active && classesOfService(active.configuration, trafficClass),
        ),
      }));
  };

  const explainCall = createCallExplanation({
    node,
    configurationView,
    endpointTracker,
    upstream,
    throttle,
    averageResponseBytes: runner.averageResponseBytes,
    now: timer.now,
  });

  const admin = createAdminServer({
    address: options.listen.admin,
    health,
    ready,
    metrics: metrics.render,
    routes: (router) => {
      announcement.routes(router);
      router.get('/report', (_request, response) => sendJson(response, 200, report()));
      router.get('/explain', (request, response) =>
        sendJson(response, 200, explain(request.query.class)),
      );
      router.get('/explain-call', (request, response) => {
        try {
          sendJson(response, 200, explainCall(readExplainedCall(request.query)));
        } catch (error) {
          sendError(response, error);
        }
      });
    },
  });

  const runHousekeeping = () => {
    const now = timer.now();
    links.closeIdle();
    configurationView.queries.current()?.clusters.forEach(({ service, endpoints }) => {
      endpointTracker.commands.setEndpoints(
        service,
        endpoints.map(({ id }) => id),
        now,
        endpoints.map(({ incarnation }) => incarnation),
      );
    });
  };

  const applyDrain = (active: ActiveConfiguration) => {
    upstream.commands.setDrained(Object.hasOwn(active.configuration.drains ?? {}, node.name));
  };

  const start = async (): Promise<BoundAddresses> => {
    configurationView.onChange(applyDrain);
    configurationView.onChange(({ configuration }) =>
      tenantMetrics.recordConfiguration(configuration),
    );
    configurationView.onChange(createRolloutLog(log.part('rollout'), upstream.queries.description));
    const boundAdmin = await admin.listen();
    const boundForward = await forward.listen();
    forwardAddress = forwardAddress || formatAddress(boundForward);
    const boundCalls = await calls.listen();
    announcement.start();
    timer.every(housekeepingIntervalMs, runHousekeeping);
    startLoadSummary({
      totals: loadTotals,
      upstream,
      linkUse: writers.linkUse,
      timer,
      log: log.part('load'),
    });
    isStarted = true;
    return { calls: boundCalls, forward: boundForward, admin: boundAdmin };
  };

  const stop = async (limitMs: number) => {
    isStopping = true;
    announcement.withdraw();
    upstream.commands.leave();
    await Promise.all([calls.stop(limitMs), forward.stop(limitMs)]);
    await Promise.race([atMostOnce.settled(), timer.sleep(Math.min(limitMs, maxRecordingWaitMs))]);
    links.destroy();
    await upstream.commands.stop();
    await admin.close();
  };

  return { start, ready, announcement, stop };
};
