/**
 * Runs a call: chooses an endpoint for each attempt, retries within the budget, sends a second copy
 * if the policy asks for it, and hands exactly one answer or refusal to the call. A call may have
 * run once any of its attempts may have.
 */
import { randomUUID } from 'node:crypto';
import { formatVersion } from '../../core/agreement/version.js';
import type { AttemptOutcome, EndpointTracker } from '../../core/calls/endpointTracker.js';
import type {
  OverloadThrottle,
  AdmissionOutcome,
  ThrottledCall,
} from '../../core/calls/overloadThrottle.js';
import {
  canReroute,
  decideHedge,
  decideRetry,
  isAdmissionRefusal,
  isRetriedBelow,
  retriedHeader,
  type RetryBudgetLookup,
  type RetryDecision,
} from '../../core/calls/retry.js';
import { createResponseSizes } from '../../core/calls/responseSizes.js';
import { chooseEndpoint } from '../../core/calls/routing.js';
import { distanceOf } from '../../core/calls/routingTiers.js';
import type {
  ResponseHead,
  AttemptFailureReport,
  AttemptListener,
  AttemptRequest,
  RequestBody,
  RunningAttempt,
} from '../../types/calls.js';
import type { ActiveConfiguration } from '../../types/internal.js';
import type { Cluster, Endpoint, Policy } from '../../types/public.js';
import type { BoundedLog } from '../../utils/boundedLog.js';
import type { FailureReason } from '../../utils/failure.js';
import { Failure } from '../../utils/failure.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { toFailureReport } from './callResponses.js';
import { findHeader } from './callHeaders.js';
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
  /** Start attempts after the first, once connections were looked at for callers that left. */
  readonly startScheduler: CallStartScheduler;
  readonly remote: RemoteSender;
  readonly endpointTracker: EndpointTracker;
  readonly retryBudgetFor: RetryBudgetLookup;
  readonly throttle: OverloadThrottle;
  readonly metrics: Pick<CallMetrics, 'recordChoice' | 'recordRetry'>;
  readonly logDecision?: BoundedLog;
}

/** A call that is ready for its first attempt. */
export interface CallPlan {
  readonly requestId: string;
  readonly held: ActiveConfiguration;
  readonly policy: Policy;
  /** Service that does the work: one of those of the policy. */
  readonly service: string;
  readonly caller: string;
  /** Place among the calls of its class that wait, from 0 to 1. */
  readonly rank: number;
  readonly method: string;
  readonly path: string;
  readonly headers: readonly string[];
  readonly body: RequestBody;
  /** When the call was read: its longest wait counts from then. */
  readonly receivedAt: number;
  readonly deadlineAt: number;
}

/** Receives the outcome of a call: an answer in parts, or one refusal. */
export interface CallOutcomeListener {
  onHead(head: ResponseHead): void;
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onRefusal(failure: AttemptFailureReport): void;
}

export interface RunningCall {
  /** Ends the call without a further report; its connections are destroyed. */
  abort(): void;
  resume(): void;
  mayHaveRun(): boolean;
}

export interface CallRunner {
  /** `firstAttemptId` names the first attempt, for a claim made before. */
  run(plan: CallPlan, listener: CallOutcomeListener, firstAttemptId?: string): RunningCall;
  nextAttemptId(): string;
}

interface Attempt {
  readonly endpointId: string;
  readonly startedAt: number;
  running: RunningAttempt | undefined;
  /** Status of the answer; 0 before its head. */
  status: number;
}

const outcomeByReason: Partial<Record<FailureReason, AttemptOutcome>> = {
  overloaded: 'refused',
  leaving: 'refused',
  deadline_past: 'refused',
  no_upstream: 'refused',
  deadline_exceeded: 'timed_out',
};

const failedStatus = 500;
const refusedStatus = 503;

/** What an answer says about the endpoint: 503 is a refusal, other statuses from 500 a failure. */
const outcomeOfStatus = (status: number): AttemptOutcome => {
  if (status === refusedStatus) {
    return 'refused';
  }
  return status >= failedStatus ? 'failed' : 'ok';
};

/** Statuses of an upstream after which an idempotent call is tried again. */
const retryableStatuses = new Set([502, 503, 504]);

const noExclusion: ReadonlySet<string> = new Set();

/** Creates the runner of a node's calls. */
export const createCallRunner = (options: CallRunnerOptions): CallRunner => {
  const {
    localNode: home,
    timer,
    random,
    upstream,
    startScheduler: starts,
    remote,
    endpointTracker: evidence,
  } = options;
  const attemptPrefix = randomUUID();
  const sizes = createResponseSizes();
  let attemptCount = 0;

  const nextAttemptId = (): string => {
    attemptCount += 1;
    return `${attemptPrefix}-${attemptCount}`;
  };

  const run: CallRunner['run'] = (plan, listener, firstAttemptId) => {
    const { policy } = plan;
    const budget = options.retryBudgetFor(policy.className, plan.service);
    const { service, caller, rank } = plan;
    const throttled: ThrottledCall = { className: policy.className, service, caller, rank };
    const active = new Set<Attempt>();
    const excluded = new Set<string>();
    let winner: Attempt | undefined;
    /** Attempts that an upstream has seen, or may still see. */
    let attempts = 0;
    let reroutes = 0;
    let isFirst = true;
    let mayHaveRun = false;
    let isOver = false;
    let answeredBytes = 0;
    let cancelHedge: Cancel | undefined;

    const recordEnd = ({ endpointId, startedAt }: Attempt, outcome: AttemptOutcome) => {
      const now = timer.now();
      evidence.commands.recordEnd(endpointId, { latencyMs: now - startedAt, outcome }, now);
    };

    const abortAttempt = (attempt: Attempt) => {
      active.delete(attempt);
      mayHaveRun ||= attempt.running?.mayHaveRun() ?? false;
      attempt.running?.abort();
      recordEnd(attempt, 'cancelled');
    };

    const end = (): boolean => {
      if (isOver) {
        return false;
      }
      isOver = true;
      cancelHedge?.();
      [...active].forEach(abortAttempt);
      return true;
    };

    const recordSent = (outcome: AdmissionOutcome, retryAfterMs?: number) => {
      options.throttle.commands.recordSent(throttled, outcome, timer.now(), retryAfterMs);
    };

    const refuse = (failure: AttemptFailureReport, decision?: RetryDecision) => {
      const retried = decision ? isRetriedBelow(attempts, decision) : attempts > 1;
      if (end()) {
        if (failure.reason === 'overloaded' && isAdmissionRefusal(failure)) {
          recordSent('refused', failure.retryAfterMs);
        }
        listener.onRefusal({
          ...failure,
          run: mayHaveRun ? 'may_have_run' : failure.run,
          retried: failure.retried || retried,
        });
      }
    };

    const decide = (failure: AttemptFailureReport): RetryDecision => {
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

    const hasReroute = (): boolean => {
      const now = timer.now();
      const share = options.throttle.queries.refusalShare(throttled, now);
      return canReroute({
        reroutes,
        remainingMs: plan.deadlineAt - now,
        isOverloaded: share > 0,
      });
    };

    const retryOrRefuse = (failure: AttemptFailureReport) => {
      if (isAdmissionRefusal(failure)) {
        attempts -= 1;
        if (plan.body.kind === 'stream' || !hasReroute()) {
          refuse(failure);
          return;
        }
        reroutes += 1;
        startAnother('reroute', failure);
        return;
      }
      const decision = decide(failure);
      // A body that is read once cannot be sent again.
      const isStream = plan.body.kind === 'stream';
      if (!decision.retry || isStream || !budget.commands.spend(timer.now())) {
        refuse(failure, decision);
        return;
      }
      options.metrics.recordRetry(policy.className);
      timer.after(decision.delayMs, () => startAnother('retry', failure));
    };

    const logFailure = ({ endpointId, startedAt }: Attempt, failure: AttemptFailureReport) => {
      const { load, loadAt = 0 } = evidence.queries.get(endpointId) ?? {};
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
        version: formatVersion(plan.held.version),
        known_in_flight: load?.inFlight,
        known_limit: load?.limit,
        known_waiting: load?.waiting,
        known_age_ms: load && Math.round(now - loadAt),
      });
    };

    const onFailure = (attempt: Attempt, failure: AttemptFailureReport) => {
      active.delete(attempt);
      logFailure(attempt, failure);
      const byStatus = attempt.status >= failedStatus && outcomeOfStatus(attempt.status);
      recordEnd(attempt, byStatus || (outcomeByReason[failure.reason] ?? 'failed'));
      mayHaveRun ||= failure.run === 'may_have_run';
      if (isOver) {
        return;
      }
      if (winner) {
        refuse(failure);
        return;
      }
      excluded.add(attempt.endpointId);
      if (active.size === 0) {
        retryOrRefuse(failure);
      }
    };

    /** Tries again after an answer that says that the upstream failed, or marks it as retried. */
    const tryAgain = (attempt: Attempt, head: ResponseHead): boolean => {
      if (!policy.idempotent || !retryableStatuses.has(head.status)) {
        return false;
      }
      const isMarked = findHeader(head.headers, retriedHeader) === 'true';
      const failure: AttemptFailureReport = {
        reason: 'upstream_failed',
        run: 'may_have_run',
        detail: `status ${head.status}`,
        retried: isMarked,
      };
      const decision = decide(failure);
      if (decision.retry && plan.body.kind !== 'stream') {
        active.delete(attempt);
        attempt.running?.abort();
        onFailure(attempt, failure);
        return true;
      }
      if (!isMarked && isRetriedBelow(attempts, decision)) {
        head.headers.push(retriedHeader, 'true');
      }
      return false;
    };

    const listenTo = (attempt: Attempt): AttemptListener => ({
      onHead: (head) => {
        attempt.status = head.status;
        if (tryAgain(attempt, head)) {
          return;
        }
        winner = attempt;
        recordSent(head.isStarved ? 'refused' : 'admitted');
        cancelHedge?.();
        [...active].filter((other) => other !== attempt).forEach(abortAttempt);
        listener.onHead(head);
      },
      onData: (chunk) => {
        answeredBytes += chunk.length;
        return winner === attempt ? listener.onData(chunk) : true;
      },
      onEnd: () => {
        active.delete(attempt);
        sizes.commands.record(policy.className, answeredBytes);
        recordEnd(attempt, outcomeOfStatus(attempt.status));
        if (winner === attempt && end()) {
          listener.onEnd();
        }
      },
      onFailure: (failure) => onFailure(attempt, failure),
    });

    const requestOf = (attemptId: string, isHedge: boolean): AttemptRequest => ({
      attemptId,
      requestId: plan.requestId,
      className: policy.className,
      service: plan.service,
      caller: plan.caller,
      priority: policy.priority,
      rank: plan.rank,
      // A call that is rerouted must not wait its whole limit at each endpoint.
      maxWaitMs: Math.max(0, policy.maxWaitMs - (timer.now() - plan.receivedAt)),
      method: plan.method,
      path: plan.path,
      headers: plan.headers,
      body: plan.body,
      deadlineAt: plan.deadlineAt,
      headTimeoutMs: policy.attemptTimeoutMs,
      needsFreshConnection: isHedge,
    });

    const chooseRemote = (cluster: Cluster, isReroute: boolean): Endpoint | undefined => {
      const answerBytes = sizes.queries.averageBytes(policy.className);
      const choice = { cluster, evidence, policy, home, answerBytes, random, now: timer.now() };
      return (
        chooseEndpoint({ ...choice, exclude: excluded }) ??
        (isReroute ? undefined : chooseEndpoint({ ...choice, exclude: noExclusion }))
      );
    };

    /** A reroute goes to an endpoint whose node did not refuse the call yet. */
    const startAttempt = (kind: AttemptKind, earlier?: AttemptFailureReport) => {
      const now = timer.now();
      if (now >= plan.deadlineAt) {
        refuse(earlier ?? toFailureReport(new Failure('deadline_past')));
        return;
      }
      const ownId = upstream.queries.description()?.instance ?? home.name;
      const isLocal =
        upstream.queries.isLightlyLoaded(plan.service) &&
        !excluded.has(ownId) &&
        !evidence.queries.isEjected(ownId, now);
      if (upstream.queries.description()) {
        evidence.commands.recordLoad(ownId, upstream.queries.load(), now);
      }
      const cluster = isLocal ? undefined : plan.held.clusters.get(plan.service);
      const endpoint = cluster && chooseRemote(cluster, kind === 'reroute');
      const isHedge = kind === 'hedge';
      if (!isLocal && !endpoint && isHedge) {
        return;
      }
      if (!isLocal && !endpoint) {
        refuse(earlier ?? toFailureReport(new Failure('no_upstream', plan.service)));
        return;
      }
      attempts += 1;
      const id = isFirst && firstAttemptId ? firstAttemptId : nextAttemptId();
      isFirst = false;
      const attempt: Attempt = {
        endpointId: endpoint?.id ?? ownId,
        startedAt: now,
        running: undefined,
        status: 0,
      };
      active.add(attempt);
      evidence.commands.recordStart(attempt.endpointId, now);
      const isOwn = !endpoint || endpoint.node === home.name;
      const request = requestOf(id, isHedge);
      options.metrics.recordChoice(
        policy.className,
        kind,
        isOwn ? 'own' : distanceOf(endpoint, home),
      );
      attempt.running = isOwn
        ? upstream.commands.send(request, listenTo(attempt))
        : remote.send(endpoint, request, listenTo(attempt));
    };

    const startAnother = (kind: AttemptKind, earlier: AttemptFailureReport) =>
      starts.add(() => {
        if (!isOver) {
          startAttempt(kind, earlier);
        }
      });

    const startHedge = () => {
      const canHedge = !isOver && !winner && active.size === 1 && plan.body.kind !== 'stream';
      if (canHedge && budget.commands.spend(timer.now())) {
        active.forEach(({ endpointId }) => excluded.add(endpointId));
        startAttempt('hedge');
      }
    };

    budget.commands.recordCall(timer.now());
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
      cancelHedge = timer.after(hedgeAfterMs, () => starts.add(startHedge));
    }

    return {
      abort: () => {
        end();
      },
      resume: () => winner?.running?.resume(),
      mayHaveRun: () =>
        mayHaveRun || [...active].some(({ running }) => running?.mayHaveRun() ?? false),
    };
  };

  return { run, nextAttemptId };
};
