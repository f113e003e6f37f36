/**
 * Runs a call: chooses an endpoint for each attempt, retries within the budget, sends a hedged
 * request if the policy asks for one, and reports exactly one response or refusal. A call may have
 * run as soon as any of its attempts may have.
 */
import { randomUUID } from 'node:crypto';
import { formatVersion } from '../../core/agreement/version.js';
import type { AttemptOutcome, EndpointTracker } from '../../core/calls/endpointTracker.js';
import type {
  OverloadThrottle,
  AdmissionOutcome,
  ThrottledCall,
} from '../../core/calls/overloadThrottle.js';
import { nestedMaxWaitMs, wholeCallMaxWaitMs } from '../../core/calls/nestedCalls.js';
import {
  canReroute,
  decideHedge,
  decideRetry,
  isAdmissionRefusal,
  isReroutable,
  isRetriedBelow,
  retriedHeader,
  type RetryBudgetLookup,
  type RetryDecision,
} from '../../core/calls/retry.js';
import { createResponseSizes } from '../../core/calls/responseSizes.js';
import { chooseEndpoint } from '../../core/calls/routing.js';
import { distanceOf } from '../../core/calls/routingTiers.js';
import type { AttemptResult } from '../../core/rollouts/versionOutcomes.js';
import {
  chooseVersionRoute,
  findRollout,
  type VersionRoute,
} from '../../core/rollouts/versionRouting.js';
import type {
  ResponseHead,
  AttemptFailureReport,
  AttemptListener,
  AttemptRequest,
  RequestBody,
  RunningAttempt,
} from '../../types/calls.js';
import type { ActiveConfiguration } from '../../types/internal.js';
import type { Cluster, Configuration, Endpoint, Policy } from '../../types/public.js';
import type { RateLimitedLog } from '../../utils/rateLimitedLog.js';
import type { FailureReason } from '../../utils/failure.js';
import { Failure } from '../../utils/failure.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { toFailureReport } from './callResponses.js';
import { findHeader } from './callHeaders.js';
import { localEndpointIdOf, prefersLocalEndpoint } from './localPreference.js';
import type { AttemptKind, CallMetrics } from './callMetrics.js';
import type { CallStartScheduler } from './callStartScheduler.js';
import type { LocalUpstream } from './localUpstream.js';
import type { RemoteSender } from './remoteSender.js';

export interface CallRunnerOptions {
  readonly localNode: {
    readonly name: string;
    readonly dataCentre: string;
    readonly region: string;
  };
  readonly timer: Timer;
  readonly random: () => number;
  readonly upstream: LocalUpstream;
  /** Starts later attempts once connections have been polled for callers that disconnected. */
  readonly startScheduler: CallStartScheduler;
  readonly remote: RemoteSender;
  readonly endpointTracker: EndpointTracker;
  readonly retryBudgetFor: RetryBudgetLookup;
  /** See `RetryBudgetsOptions`. */
  readonly countsNestedCalls?: boolean;
  readonly throttle: OverloadThrottle;
  /** Whether nested calls are marked as such, see `AdmissionOptions`. Default: false. */
  readonly wholeCall?: boolean;
  readonly metrics: Pick<CallMetrics, 'recordChoice' | 'recordRetry'>;
  readonly logDecision?: RateLimitedLog;
  /**
   * Newest configuration, whose rollouts apply also to calls that arrived before it. Default: that
   * of the call.
   */
  readonly newestConfiguration?: () => Configuration | undefined;
  /** Called for each attempt that ended or was superseded, but not after its caller left. */
  readonly recordResult?: (result: AttemptResult) => void;
}

/** A call that is ready for its first attempt. */
export interface CallPlan {
  readonly requestId: string;
  readonly activeConfiguration: ActiveConfiguration;
  readonly policy: Policy;
  /** Service that processes the call: one of those of the policy. */
  readonly service: string;
  readonly caller: string;
  /** Caller under which the overload throttle counts the call. Default: `caller`. */
  readonly throttledCaller?: string;
  /** Tenant to which the idempotency key of the call belongs, if any. */
  readonly keyOwner?: string;
  /** Rank among the waiting calls of its class, from 0 to 1; the highest goes first. */
  readonly rank: number;
  /** An upstream made the call for a call that it works on. */
  readonly isNested?: boolean;
  /** Importance from 1 to 100, if it differs from that of the policy. */
  readonly priority?: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: RequestBody;
  /** Time at which the call was read; its maximum wait counts from then. */
  readonly receivedAt: number;
  readonly deadlineAt: number;
  /** See `AttemptRequest`. */
  readonly targetAt?: number;
  /** Time at which the response is broken off if it has not ended; Infinity without a timeout. */
  readonly endsAt: number;
}

/** Receives the outcome of a call: a response in chunks, or one refusal. */
export interface CallOutcomeListener {
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onRefusal(failure: AttemptFailureReport): void;
}

export interface RunningCall {
  /** Ends the call without notifying its listener and destroys its connections. */
  abort(): void;
  resume(): void;
  mayHaveRun(): boolean;
}

export interface CallRunner {
  /** `firstAttemptId` is the id of the first attempt, if it was already used to claim a key. */
  run(plan: CallPlan, listener: CallOutcomeListener, firstAttemptId?: string): RunningCall;
  nextAttemptId(): string;
  /** Average size of a response of the class, which counts in the choice of an endpoint. */
  averageResponseBytes(className: string): number;
}

interface Attempt {
  readonly endpointId: string;
  readonly startedAt: number;
  running: RunningAttempt | undefined;
  /** Version of the endpoint, if it announced one. */
  readonly version: string | undefined;
  /** Status of the response; 0 before its head. */
  status: number;
  isStarved: boolean;
  /** See `AttemptResult`. */
  responseMs: number;
}

const outcomeByReason: Partial<Record<FailureReason, AttemptOutcome>> = {
  overloaded: 'refused',
  leaving: 'refused',
  deadline_past: 'refused',
  no_upstream: 'refused',
  deadline_exceeded: 'timed_out',
  upstream_unreachable: 'unreachable',
};

const minFailureStatus = 500;
const refusalStatus = 503;

/** Outcome of an attempt by status: 503 is a refusal, any other status from 500 a failure. */
const classifyStatus = (status: number): AttemptOutcome => {
  if (status === refusalStatus) {
    return 'refused';
  }
  return status >= minFailureStatus ? 'failed' : 'ok';
};

/** Statuses of an upstream after which an idempotent call is retried. */
const retryableStatuses = new Set([502, 503, 504]);

const noExclusions: ReadonlySet<string> = new Set();
const noEndpoints: Cluster['endpoints'] = [];

export const createCallRunner = (options: CallRunnerOptions): CallRunner => {
  const { localNode, timer, random, upstream, startScheduler, remote, endpointTracker } = options;
  const { countsNestedCalls = true, wholeCall = false } = options;
  const nestedWaitLimitMs = wholeCall ? wholeCallMaxWaitMs : nestedMaxWaitMs;
  const attemptPrefix = randomUUID();
  const responseSizes = createResponseSizes();
  let attemptCount = 0;

  const nextAttemptId = (): string => {
    attemptCount += 1;
    return `${attemptPrefix}-${attemptCount}`;
  };

  const run: CallRunner['run'] = (plan, listener, firstAttemptId) => {
    const { policy } = plan;
    const budget = options.retryBudgetFor(policy.className, plan.service);
    const { service, rank, throttledCaller = plan.caller } = plan;
    const callMaxWaitMs = plan.isNested
      ? nestedWaitLimitMs(policy.maxWaitMs, plan.deadlineAt - plan.receivedAt)
      : policy.maxWaitMs;
    const priority = plan.priority ?? policy.priority;
    const throttledCall: ThrottledCall = {
      className: policy.className,
      service,
      caller: throttledCaller,
      rank,
      priority,
    };
    const activeAttempts = new Set<Attempt>();
    const excluded = new Set<string>();
    let winner: Attempt | undefined;
    /** Attempts that have reached an upstream, or may still reach one. */
    let attempts = 0;
    let reroutes = 0;
    let isFirstAttempt = true;
    let mayHaveRun = false;
    let isOver = false;
    let receivedBytes = 0;
    let cancelHedge: Cancel | undefined;
    let cancelTimeout: Cancel | undefined;
    /** The caller does not take further data of the response at the moment. */
    let isPaused = false;

    const recordEnd = ({ endpointId, startedAt }: Attempt, outcome: AttemptOutcome) => {
      const now = timer.now();
      endpointTracker.commands.recordEnd(endpointId, { latencyMs: now - startedAt, outcome }, now);
    };

    const recordResult = (attempt: Attempt, failure?: AttemptFailureReport) => {
      const { version, status, isStarved, responseMs } = attempt;
      const { className } = policy;
      const result = { service, className, version, status, isStarved, responseMs, failure };
      options.recordResult?.(result);
    };

    /**
     * Ends an attempt because another one was faster. The time that it has taken so far counts:
     * otherwise the slow answers of a version would be missing from its response times.
     */
    const supersede = (attempt: Attempt) => {
      if (attempt.running?.mayHaveRun()) {
        attempt.responseMs = timer.now() - attempt.startedAt;
        recordResult(attempt);
      }
      abortAttempt(attempt);
    };

    const abortAttempt = (attempt: Attempt) => {
      activeAttempts.delete(attempt);
      mayHaveRun ||= attempt.running?.mayHaveRun() ?? false;
      attempt.running?.abort();
      recordEnd(attempt, 'cancelled');
    };

    const endCall = (): boolean => {
      if (isOver) {
        return false;
      }
      isOver = true;
      cancelHedge?.();
      cancelTimeout?.();
      [...activeAttempts].forEach(abortAttempt);
      return true;
    };

    const recordAdmission = (outcome: AdmissionOutcome, retryAfterMs?: number) => {
      options.throttle.commands.recordSent(throttledCall, outcome, timer.now(), retryAfterMs);
    };

    const refuse = (failure: AttemptFailureReport, decision?: RetryDecision) => {
      const retried = decision ? isRetriedBelow(attempts, decision) : attempts > 1;
      if (endCall()) {
        if (failure.reason === 'overloaded' && isAdmissionRefusal(failure)) {
          recordAdmission('refused', failure.retryAfterMs);
        }
        listener.onRefusal({
          ...failure,
          run: mayHaveRun ? 'may_have_run' : failure.run,
          retried: failure.retried || retried,
        });
      }
    };

    const decideOnRetry = (failure: AttemptFailureReport): RetryDecision => {
      const now = timer.now();
      return decideRetry({
        attempt: attempts,
        failure,
        policy,
        budget,
        remainingMs: plan.deadlineAt - now,
        isFirstNode: true,
        random,
        now,
      });
    };

    const canRerouteNow = (): boolean => {
      const now = timer.now();
      const share = options.throttle.queries.refusalShare(throttledCall, now);
      return canReroute({
        reroutes,
        remainingMs: plan.deadlineAt - now,
        isOverloaded: share > 0,
      });
    };

    const retryOrRefuse = (failure: AttemptFailureReport) => {
      if (isReroutable(failure)) {
        attempts -= 1;
        if (plan.body.kind === 'stream' || !canRerouteNow()) {
          refuse(failure);
          return;
        }
        reroutes += 1;
        scheduleAttempt('reroute', failure);
        return;
      }
      const decision = decideOnRetry(failure);
      // A streamed body cannot be sent again.
      const isStream = plan.body.kind === 'stream';
      if (!decision.retry || isStream || !budget.commands.spend(timer.now())) {
        refuse(failure, decision);
        return;
      }
      options.metrics.recordRetry(policy.className);
      timer.after(decision.delayMs, () => scheduleAttempt('retry', failure));
    };

    const logFailure = ({ endpointId, startedAt }: Attempt, failure: AttemptFailureReport) => {
      const { load, loadAt = 0 } = endpointTracker.queries.get(endpointId) ?? {};
      const now = timer.now();
      options.logDecision?.('attempt failed', {
        request_id: plan.requestId,
        class: policy.className,
        service: plan.service,
        endpoint: endpointId,
        reason: failure.reason,
        run: failure.run,
        by_upstream: failure.byUpstream,
        detail: failure.detail,
        took_ms: Math.round(now - startedAt),
        attempts,
        reroutes,
        version: formatVersion(plan.activeConfiguration.version),
        known_in_flight: load?.inFlight,
        known_limit: load?.limit,
        known_waiting: load?.waiting,
        known_age_ms: load && Math.round(now - loadAt),
      });
    };

    const onFailure = (attempt: Attempt, failure: AttemptFailureReport) => {
      activeAttempts.delete(attempt);
      logFailure(attempt, failure);
      const outcomeOfStatus = attempt.status >= minFailureStatus && classifyStatus(attempt.status);
      recordEnd(attempt, outcomeOfStatus || (outcomeByReason[failure.reason] ?? 'failed'));
      recordResult(attempt, failure);
      mayHaveRun ||= failure.run === 'may_have_run';
      if (isOver) {
        return;
      }
      if (winner) {
        refuse(failure);
        return;
      }
      excluded.add(attempt.endpointId);
      if (activeAttempts.size === 0) {
        retryOrRefuse(failure);
      }
    };

    /**
     * Ends a call whose response goes on after the timeout of its class. Only an upstream that the
     * caller kept waiting for is recorded as too slow.
     */
    const endAtTimeout = (attempt: Attempt) => {
      const failure: AttemptFailureReport = {
        reason: 'deadline_exceeded',
        run: 'may_have_run',
        detail: 'the response did not end within the timeout',
        retried: false,
      };
      if (isPaused) {
        refuse(failure);
        return;
      }
      attempt.running?.abort();
      onFailure(attempt, failure);
    };

    const startTimeout = (attempt: Attempt) => {
      if (plan.endsAt < Infinity) {
        const leftMs = Math.max(0, plan.endsAt - timer.now());
        cancelTimeout = timer.after(leftMs, () => endAtTimeout(attempt));
      }
    };

    /** Retries after a response that reports a failure of the upstream, or marks it as retried. */
    const retryFailedResponse = (attempt: Attempt, head: ResponseHead): boolean => {
      if (!policy.idempotent || !retryableStatuses.has(head.status)) {
        return false;
      }
      const isMarkedRetried = findHeader(head.headers, retriedHeader) === 'true';
      const failure: AttemptFailureReport = {
        reason: 'upstream_failed',
        run: 'may_have_run',
        detail: `status ${head.status}`,
        retried: isMarkedRetried,
      };
      const decision = decideOnRetry(failure);
      if (decision.retry && plan.body.kind !== 'stream') {
        activeAttempts.delete(attempt);
        attempt.running?.abort();
        onFailure(attempt, failure);
        return true;
      }
      if (!isMarkedRetried && isRetriedBelow(attempts, decision)) {
        head.headers.push(retriedHeader, 'true');
      }
      return false;
    };

    const createAttemptListener = (attempt: Attempt): AttemptListener => ({
      onHead: (head) => {
        attempt.status = head.status;
        attempt.isStarved = head.isStarved ?? false;
        attempt.responseMs = head.processedMs ?? timer.now() - attempt.startedAt;
        if (!plan.isNested) {
          options.throttle.commands.recordShortage(throttledCall, head.shortage, timer.now());
        }
        if (retryFailedResponse(attempt, head)) {
          return;
        }
        winner = attempt;
        recordAdmission(head.isStarved ? 'starved' : 'admitted');
        cancelHedge?.();
        startTimeout(attempt);
        [...activeAttempts].filter((other) => other !== attempt).forEach(supersede);
        listener.onHead(head);
      },
      onData: (chunk) => {
        receivedBytes += chunk.length;
        if (winner !== attempt) {
          return true;
        }
        isPaused = !listener.onData(chunk);
        return !isPaused;
      },
      onEnd: () => {
        activeAttempts.delete(attempt);
        responseSizes.commands.record(policy.className, receivedBytes);
        recordEnd(attempt, classifyStatus(attempt.status));
        recordResult(attempt);
        if (winner === attempt && endCall()) {
          listener.onEnd();
        }
      },
      onFailure: (failure) => onFailure(attempt, failure),
    });

    const createRequest = (attemptId: string, isHedge: boolean): AttemptRequest => ({
      attemptId,
      requestId: plan.requestId,
      className: policy.className,
      service: plan.service,
      caller: plan.caller,
      priority,
      rank: plan.rank,
      ...(wholeCall && plan.isNested && { isNested: true }),
      // A rerouted call must not wait for its full limit at each endpoint.
      maxWaitMs: Math.max(0, callMaxWaitMs - (timer.now() - plan.receivedAt)),
      method: plan.method,
      path: plan.path,
      headers: plan.headers,
      body: plan.body,
      deadlineAt: plan.deadlineAt,
      targetAt: plan.targetAt,
      headTimeoutMs: policy.attemptTimeoutMs,
      needsFreshConnection: isHedge,
    });

    const chooseRemote = (
      clusters: readonly Cluster[],
      isReroute: boolean,
    ): Endpoint | undefined => {
      const averageResponseBytes = responseSizes.queries.averageBytes(policy.className);
      const choice = {
        evidence: endpointTracker,
        policy,
        home: localNode,
        answerBytes: averageResponseBytes,
        random,
        now: timer.now(),
      };
      const chooseFrom = (exclude: ReadonlySet<string>): Endpoint | undefined => {
        for (const cluster of clusters) {
          const endpoint = chooseEndpoint({ ...choice, cluster, exclude });
          if (endpoint) {
            return endpoint;
          }
        }
        return undefined;
      };
      return chooseFrom(excluded) ?? (isReroute ? undefined : chooseFrom(noExclusions));
    };

    /** Endpoints by version for one attempt; undefined if the service has no rollout. */
    const chooseRoute = (cluster: Cluster | undefined): VersionRoute | undefined => {
      const configuration =
        options.newestConfiguration?.() ?? plan.activeConfiguration.configuration;
      const rollout = findRollout(configuration, plan.service);
      return (
        rollout &&
        chooseVersionRoute(cluster ?? { service, endpoints: noEndpoints }, rollout, random)
      );
    };

    /** Starts an attempt. A reroute goes to an endpoint whose node has not refused the call yet. */
    const startAttempt = (kind: AttemptKind, previousFailure?: AttemptFailureReport) => {
      const now = timer.now();
      if (now >= plan.deadlineAt) {
        refuse(previousFailure ?? toFailureReport(new Failure('deadline_past')));
        return;
      }
      const cluster = plan.activeConfiguration.clusters.get(plan.service);
      const route = chooseRoute(cluster);
      const description = upstream.queries.description();
      const localEndpointId = localEndpointIdOf(upstream, localNode.name);
      const prefersLocal =
        (route?.allows(localEndpointId, description?.version) ?? true) &&
        !excluded.has(localEndpointId) &&
        prefersLocalEndpoint({ upstream, endpointTracker, localNode, service: plan.service, now });
      if (description) {
        endpointTracker.commands.recordLoad(localEndpointId, upstream.queries.load(), now);
      }
      const clusters = route?.clusters ?? (cluster ? [cluster] : []);
      const endpoint = prefersLocal ? undefined : chooseRemote(clusters, kind === 'reroute');
      const isHedge = kind === 'hedge';
      if (!prefersLocal && !endpoint && isHedge) {
        return;
      }
      if (!prefersLocal && !endpoint) {
        refuse(previousFailure ?? toFailureReport(new Failure('no_upstream', plan.service)));
        return;
      }
      attempts += 1;
      const attemptId = isFirstAttempt && firstAttemptId ? firstAttemptId : nextAttemptId();
      isFirstAttempt = false;
      const attempt: Attempt = {
        endpointId: endpoint?.id ?? localEndpointId,
        startedAt: now,
        running: undefined,
        version: endpoint ? endpoint.version : description?.version,
        status: 0,
        isStarved: false,
        responseMs: 0,
      };
      activeAttempts.add(attempt);
      endpointTracker.commands.recordStart(attempt.endpointId, now);
      const usesLocalUpstream = !endpoint || endpoint.node === localNode.name;
      const request = createRequest(attemptId, isHedge);
      options.metrics.recordChoice(
        policy.className,
        kind,
        usesLocalUpstream ? 'own' : distanceOf(endpoint, localNode),
      );
      attempt.running = usesLocalUpstream
        ? upstream.commands.send(request, createAttemptListener(attempt))
        : remote.send(endpoint, request, createAttemptListener(attempt));
    };

    const scheduleAttempt = (kind: AttemptKind, previousFailure: AttemptFailureReport) =>
      startScheduler.add(() => {
        if (!isOver) {
          startAttempt(kind, previousFailure);
        }
      });

    const startHedge = () => {
      const canHedge =
        !isOver && !winner && activeAttempts.size === 1 && plan.body.kind !== 'stream';
      if (canHedge && budget.commands.spend(timer.now())) {
        activeAttempts.forEach(({ endpointId }) => excluded.add(endpointId));
        startAttempt('hedge');
      }
    };

    if (countsNestedCalls || !plan.isNested) {
      budget.commands.recordCall(timer.now());
    }
    startAttempt('first');
    const hedgeAfterMs = decideHedge({
      policy,
      budget,
      attempt: attempts,
      remainingMs: plan.deadlineAt - timer.now(),
      isFirstNode: true,
      now: timer.now(),
    });
    if (!isOver && hedgeAfterMs !== undefined) {
      cancelHedge = timer.after(hedgeAfterMs, () => startScheduler.add(startHedge));
    }

    return {
      abort: () => {
        endCall();
      },
      resume: () => {
        isPaused = false;
        winner?.running?.resume();
      },
      mayHaveRun: () =>
        mayHaveRun || [...activeAttempts].some(({ running }) => running?.mayHaveRun() ?? false),
    };
  };

  return { run, nextAttemptId, averageResponseBytes: responseSizes.queries.averageBytes };
};
