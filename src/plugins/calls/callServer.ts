/**
 * Accepts calls from callers: reads the request, determines its class and policy, runs the call and
 * writes the response. A call keeps the configuration with which it started.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { formatVersion } from '../../core/agreement/version.js';
import { classifyRefusal, type BurnCounters, type CallOutcome } from '../../core/operators/burn.js';
import type { OverloadThrottle, ThrottledCall } from '../../core/calls/overloadThrottle.js';
import { isAdmissionRefusal } from '../../core/calls/retry.js';
import { jitterAround, defaultRetryAfterMs } from '../../core/calls/retryAfter.js';
import { callRank } from '../../core/calls/callRank.js';
import { refuseForLink } from '../../core/calls/linkRefusal.js';
import type { Transfer } from '../../core/calls/linkSchedule.js';
import { isStartTooLate, refuseLateStart } from '../../core/calls/lateStart.js';
import { isNestedCallDelayed, nestedWaitShare } from '../../core/calls/nestedCalls.js';
import { maxKnownAgeMs } from '../../core/distribution/freshness.js';
import { matchClass } from '../../core/calls/classMatching.js';
import type { AttemptFailureReport, ResponseHead } from '../../types/calls.js';
import type { CallerInterface, CallHeaders } from '../../types/callInterface.js';
import type { ActiveConfiguration, ConfigurationView, StopTimes } from '../../types/internal.js';
import type { Policy } from '../../types/public.js';
import type { QuotaDecision, QuotaGate } from '../../types/quota.js';
import type { Tenant } from '../../types/tenants.js';
import { Failure, type FailureReason } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { AtMostOnceRunner } from './atMostOnceRunner.js';
import type { ResponseWriters } from './responseWriters.js';
import { toFailureReport, writeRefusal } from './callResponses.js';
import { createBodyBudget } from './bodyBuffer.js';
import { hasBody } from './callHeaders.js';
import { createCallListener, type CallListener } from './callListener.js';
import type { CallStartScheduler } from './callStartScheduler.js';
import type { CallMetrics, CallOrigin } from './callMetrics.js';
import type {
  CallOutcomeListener as OutcomeListener,
  CallPlan,
  CallRunner,
  RunningCall,
} from './callRunner.js';
import type { CallInFlight, LocalUpstream } from './localUpstream.js';
import type { WholeCallMetrics } from './wholeCallMetrics.js';
import { readBody, type RequestBodyWithPrefix } from './requestBody.js';
import { hasRate, refuseForQuota, takeCallToken, type CallToken } from '../quota/callToken.js';
import type { Address } from '../rpc.js';
import { pickService } from '../../core/operators/services.js';
import { createRateLimitedLog, type RateLimitedLog } from '../../utils/rateLimitedLog.js';
import { createCallAuthentication, type CallIdentity } from './callAuthentication.js';
import type { TenantMetrics } from './tenantMetrics.js';

const maxHeaderBytes = 16 * 1_024;
/** Longest wait of a call for the endpoints of a service that the node does not hold yet, in ms. */
const clusterWaitMs = 1_000;

/** A call made by an upstream has the rank of its parent call. */
const computeRank = (origin: CallOrigin, requestId: string, { parentId }: CallHeaders): number =>
  callRank(origin === 'upstream' ? (parentId ?? requestId) : requestId);

/** Responses with this status or a higher one count as failed. */
const minFailureStatus = 500;

/** Least time that a caller has for the rest of a body that was answered early, in ms. */
const minDiscardMs = 5_000;

export interface CallServerOptions {
  readonly address: Address;
  readonly dataCentre: string;
  readonly callers: CallerInterface;
  readonly stopTimes: StopTimes;
  readonly timer: Timer;
  readonly log: Log;
  readonly holding: ConfigurationView;
  readonly upstream: LocalUpstream;
  readonly writers: ResponseWriters;
  readonly startScheduler: CallStartScheduler;
  readonly runner: CallRunner;
  readonly throttle: OverloadThrottle;
  /** Whether nested calls inherit importance and rank of the whole call. Default: false. */
  readonly wholeCall?: boolean;
  readonly wholeCallMetrics?: Pick<WholeCallMetrics, 'recordArrivalRefusal'>;
  readonly atMostOnce: AtMostOnceRunner;
  /** Limit on the rate of each tenant. Unset: no limit. */
  readonly quota?: QuotaGate;
  readonly burn: BurnCounters;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Returns a number in [0, 1); the numbers of a class are evenly distributed. */
  readonly quasiRandom: (className: string) => number;
  readonly metrics: CallMetrics;
  readonly tenantMetrics?: TenantMetrics;
  readonly logDecision?: RateLimitedLog;
}

/** State of a call, from the reading of its head until it is over. */
interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly headers: CallHeaders;
  readonly activeConfiguration: ActiveConfiguration;
  readonly policy: Policy;
  /** Service that processes this call. */
  readonly service: string;
  readonly origin: CallOrigin;
  /** Identity of the caller: its tenant, or see `CallerInterface`. */
  readonly caller: string;
  /** Tenant whose rate the call counts towards; undefined for nested calls and without a key. */
  readonly tenant: Tenant | undefined;
  readonly identity: CallIdentity;
  /** See `callRank`. */
  readonly rank: number;
  /** Importance from 1 to 100; that of the whole call if it is inherited. */
  readonly priority: number;
  readonly startedAt: number;
  readonly deadlineAt: number;
  /** See `CallPlan`. */
  readonly endsAt: number;
  running: RunningCall | undefined;
  /** Token of the tenant's rate. Unset if the call needs none. */
  token?: CallToken;
  isOver: boolean;
}

const stripQuery = (url: string): string => {
  const end = url.indexOf('?');
  return end < 0 ? url : url.slice(0, end);
};

/** Value of the `host` header, in lower case and without the port. */
const requestHost = ({ headers: { host } }: IncomingMessage): string | undefined =>
  host?.replace(/:\d+$/, '').toLowerCase();

/** Creates the server of a node's calls address. */
export const createCallServer = (options: CallServerOptions): CallListener => {
  const {
    timer,
    holding: configurationView,
    upstream,
    runner,
    metrics,
    callers,
    startScheduler,
    throttle,
  } = options;

  const bodyBudget = createBodyBudget();
  const authentication = createCallAuthentication({
    upstream: upstream.queries,
    confirmedAgeMs: configurationView.queries.confirmedAgeMs,
    metrics: options.tenantMetrics,
    logRefusal: createRateLimitedLog(options.log.part('tenants'), timer),
  });

  const responseHeaders = ({ activeConfiguration, requestId }: Call): string[] =>
    callers.responseHeaders({
      requestId,
      version: activeConfiguration.version,
      isStale: configurationView.queries.isDetached(),
    });

  const finish = (call: Call, outcome: CallOutcome, result: FailureReason | 'ok') => {
    call.isOver = true;
    const now = timer.now();
    const { className } = call.policy;
    const { dataCentre } = options;
    options.burn.commands.recordOutcome({ className, dataCentre, outcome }, now);
    metrics.recordCall(className, result, now - call.startedAt, outcome);
  };

  const toThrottledCall = ({ policy, service, identity, rank, priority }: Call): ThrottledCall => ({
    className: policy.className,
    service,
    caller: identity.throttledCaller,
    rank,
    priority,
  });

  /** Refusal of a call whose nested calls would find no capacity, if that is the reason. */
  const createShortageRefusal = (call: Call): AttemptFailureReport | undefined => {
    const shortage = throttle.queries.shortageOf(toThrottledCall(call), timer.now());
    if (!shortage) {
      return undefined;
    }
    const { service, retryAfterMs } = shortage;
    options.wholeCallMetrics?.recordArrivalRefusal(call.policy.className, service ?? call.service);
    return {
      reason: 'overloaded',
      run: 'not_run',
      stage: 'arrival',
      detail:
        service === undefined
          ? 'a more important class of the service is refused for its nested calls'
          : `nested calls find no capacity at ${service}`,
      retried: false,
      retryAfterMs: jitterAround(retryAfterMs, options.random),
    };
  };

  const createThrottleRefusal = (call: Call): AttemptFailureReport => {
    const shortageRefusal = createShortageRefusal(call);
    if (shortageRefusal) {
      return shortageRefusal;
    }
    const retryAfterMs = throttle.queries.retryAfterMs(toThrottledCall(call));
    return {
      reason: 'overloaded',
      run: 'not_run',
      stage: 'arrival',
      detail: 'most calls of the class are refused at the moment',
      retried: false,
      ...(retryAfterMs !== undefined && {
        retryAfterMs: jitterAround(retryAfterMs, options.random),
      }),
    };
  };

  /** Adds the default retry delay of its reason to a refusal that has none. */
  const withRetryAfter = (failure: AttemptFailureReport): AttemptFailureReport => {
    const defaultMs = defaultRetryAfterMs(failure.reason, options.random);
    const isKnown = failure.retryAfterMs !== undefined || failure.run !== 'not_run';
    return isKnown || defaultMs === undefined ? failure : { ...failure, retryAfterMs: defaultMs };
  };

  const logRefusal = (call: Call, failure: AttemptFailureReport, elapsedMs: number) =>
    options.logDecision?.('call refused', {
      request_id: call.requestId,
      parent_id: call.headers.parentId,
      origin: call.origin,
      class: call.policy.className,
      service: call.service,
      reason: failure.reason,
      run: failure.run,
      stage: failure.stage,
      detail: failure.detail,
      took_ms: Math.round(elapsedMs),
      remaining_ms: Math.round(call.deadlineAt - timer.now()),
      version: formatVersion(call.activeConfiguration.version),
    });

  const logFailedResponse = (call: Call, status: number) =>
    options.logDecision?.('upstream answered with a failure', {
      request_id: call.requestId,
      origin: call.origin,
      class: call.policy.className,
      service: call.service,
      status,
      took_ms: Math.round(timer.now() - call.startedAt),
    });

  const refuse = (call: Call, failure: AttemptFailureReport) => {
    if (call.isOver) {
      return;
    }
    const elapsedMs = timer.now() - call.startedAt;
    const outcome = classifyRefusal(failure.reason, elapsedMs, call.policy.maxWaitMs);
    finish(call, outcome, failure.reason);
    call.token?.end(failure.run !== 'not_run');
    metrics.recordRefusal(call.policy.className, failure, call.origin);
    if (call.origin === 'upstream' && call.headers.parentId !== undefined) {
      upstream.commands.recordNestedRefusal({
        className: call.policy.className,
        parentId: call.headers.parentId,
        isCapacityRefusal: isAdmissionRefusal(failure),
      });
      if (isAdmissionRefusal(failure)) {
        upstream.commands.recordNestedOutcome({
          className: call.policy.className,
          parentId: call.headers.parentId,
          service: call.service,
          waitShare: 1,
          isRefused: true,
        });
      }
    }
    logRefusal(call, failure, elapsedMs);
    writeRefusal(call.response, callers.refusal(withRetryAfter(failure), call.requestId), timer);
  };

  /** Reports a nested call that waited too long, so that fewer parent calls are accepted. */
  const reportDelay = (
    { origin, headers: { parentId }, policy, service, startedAt, deadlineAt }: Call,
    { processedMs, shortage }: ResponseHead,
  ) => {
    if (origin === 'upstream' && parentId !== undefined && processedMs !== undefined) {
      const waitedMs = timer.now() - startedAt - processedMs;
      upstream.commands.recordNestedOutcome({
        className: policy.className,
        parentId,
        service,
        waitShare: nestedWaitShare(waitedMs, policy.maxWaitMs, deadlineAt - startedAt),
        isRefused: false,
        shortage,
      });
    }
    const isDelayed =
      origin === 'upstream' &&
      processedMs !== undefined &&
      isNestedCallDelayed(timer.now() - startedAt, processedMs, policy.maxWaitMs);
    if (isDelayed && parentId !== undefined) {
      upstream.commands.recordNestedDelay({ className: policy.className, parentId });
    }
  };

  const classifyOutcome = (call: Call, status: number): CallOutcome => {
    if (status >= minFailureStatus) {
      return 'failed';
    }
    const target = call.activeConfiguration.configuration.classes[call.policy.className];
    return timer.now() - call.startedAt > (target?.answerWithinMs ?? Infinity) ? 'late' : 'good';
  };

  /** Breaks off a response whose last bytes the caller has not taken at the timeout of its class. */
  const limitWriting = ({ response, endsAt }: Call) => {
    if (endsAt === Infinity || response.writableFinished) {
      return;
    }
    const cancelLimit = timer.after(Math.max(0, endsAt - timer.now()), () => response.destroy());
    response.once('close', cancelLimit);
  };

  const transferOf = ({ policy, startedAt, deadlineAt }: Call): Transfer => ({
    className: policy.className,
    targetAt: policy.targetMs === undefined ? deadlineAt : startedAt + policy.targetMs,
    deadlineAt,
  });

  const createOutcomeListener = (call: Call): OutcomeListener => {
    const writer = options.writers.toPeer(call.response, transferOf(call));
    let status = 0;
    return {
      onHead: (head) => {
        reportDelay(call, head);
        status = head.status;
        if (status >= minFailureStatus) {
          logFailedResponse(call, status);
        }
        writer.head(head, responseHeaders(call));
      },
      onData: (chunk) => writer.part(chunk, () => call.running?.resume()),
      onEnd: () => {
        // The last bytes may wait for the link or the caller long after the upstream has ended.
        call.response.once('finish', () => finish(call, classifyOutcome(call, status), 'ok'));
        writer.end();
        limitWriting(call);
      },
      onRefusal: (failure) => refuse(call, failure),
    };
  };

  /** The call of the local upstream that the nested call belongs to, if it inherits from it. */
  const inheritedFrom = (
    origin: CallOrigin,
    { parentId }: CallHeaders,
  ): CallInFlight | undefined =>
    options.wholeCall && origin === 'upstream' && parentId !== undefined
      ? upstream.queries.callInFlight(parentId)
      : undefined;

  const parseCall = (request: IncomingMessage, response: ServerResponse): Call => {
    const headers = callers.readCall(request);
    const activeConfiguration = configurationView.queries.current();
    if (!activeConfiguration) {
      throw new Failure('no_configuration');
    }
    const { url = '' } = request;
    if (!url.startsWith('/')) {
      throw new Failure('bad_request', 'the request target is not a path');
    }
    const method = request.method ?? 'GET';
    const path = stripQuery(url);
    const { className } = headers;
    const host = requestHost(request);
    const trafficClass = matchClass(activeConfiguration.configuration, {
      method,
      path,
      host,
      className,
    });
    const classPolicy = trafficClass && activeConfiguration.policies.get(trafficClass.name);
    if (!classPolicy) {
      const isConfirmed = configurationView.queries.confirmedAgeMs() <= maxKnownAgeMs;
      throw new Failure(
        isConfirmed ? 'unknown_class' : 'unconfirmed',
        className ?? `${method} ${path}`,
      );
    }
    const requestId = headers.requestId ?? randomUUID();
    const identity = authentication.identify({
      headers,
      requestId,
      activeConfiguration,
      policy: classPolicy,
      readCaller: () => callers.readCaller(request),
    });
    const { policy, origin, caller, tenant } = identity;
    if (policy.atMostOnce && headers.key === undefined) {
      throw new Failure('key_required', policy.className);
    }
    const maxBodyBytes = activeConfiguration.configuration.callerLimits?.maxBodyBytes ?? Infinity;
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
      throw new Failure('body_too_large', `${maxBodyBytes} bytes at most`);
    }
    const startedAt = timer.now();
    const deadlineMs = Math.min(headers.deadlineMs ?? Infinity, policy.deadlineMs);
    // A call in flight has inherited its own values, so they hold across all levels.
    const parent = inheritedFrom(origin, headers);
    return {
      request,
      response,
      requestId,
      headers,
      activeConfiguration,
      policy,
      service: pickService(policy, options.quasiRandom(policy.className)),
      origin,
      caller,
      tenant,
      identity,
      rank: parent?.rank ?? computeRank(origin, requestId, headers),
      priority: parent?.priority ?? policy.priority,
      startedAt,
      deadlineAt: startedAt + deadlineMs,
      endsAt: startedAt + (policy.callTimeoutMs ?? Infinity),
      running: undefined,
      isOver: false,
    };
  };

  const createPlan = (
    call: Call,
    activeConfiguration: ActiveConfiguration,
    { body }: RequestBodyWithPrefix,
  ): CallPlan => ({
    requestId: call.requestId,
    activeConfiguration,
    policy: call.policy,
    service: call.service,
    caller: call.caller,
    throttledCaller: call.identity.throttledCaller,
    ...(call.tenant && { keyOwner: call.tenant.name }),
    rank: call.rank,
    priority: call.priority,
    isNested: call.origin === 'upstream',
    method: call.request.method ?? 'GET',
    path: call.request.url ?? '',
    headers: callers.forwardedHeaders(call.request.rawHeaders, call.identity.forwarded),
    body,
    receivedAt: call.startedAt,
    deadlineAt: call.deadlineAt,
    // What a nested call has to be on time for is the target of its parent.
    ...(call.origin === 'caller' &&
      call.policy.targetMs !== undefined && { targetAt: call.startedAt + call.policy.targetMs }),
    endsAt: call.endsAt,
  });

  /** The configuration of the call, with the cluster added if it had to be waited for. */
  const withCluster = async ({
    activeConfiguration,
    service,
    deadlineAt,
  }: Call): Promise<ActiveConfiguration> => {
    configurationView.commands.recordUse(service);
    if (activeConfiguration.clusters.has(service) || upstream.queries.hasFreeSlot(service)) {
      return activeConfiguration;
    }
    const waitMs = Math.min(clusterWaitMs, deadlineAt - timer.now());
    const cluster = await configurationView.commands.ensureCluster(service, waitMs);
    return cluster
      ? {
          ...activeConfiguration,
          clusters: new Map([...activeConfiguration.clusters, [service, cluster]]),
        }
      : activeConfiguration;
  };

  /** Refuses the call if its body has not arrived before the deadline. */
  const startBodyTimeout = (call: Call): Cancel =>
    hasBody(call.request)
      ? timer.after(call.deadlineAt - timer.now(), () =>
          refuse(
            call,
            toFailureReport(new Failure('deadline_past', 'the body did not arrive in time')),
          ),
        )
      : () => undefined;

  const passesThrottle = (call: Call): boolean =>
    call.origin === 'upstream' ||
    throttle.commands.admit(
      toThrottledCall(call),
      timer.now(),
      upstream.queries.hasFreeSlot(call.service),
    );

  /**
   * Takes a token of the tenant's rate, and refuses the call if there is none. The result is a
   * promise only if the call has to wait.
   */
  const passesQuota = (call: Call): boolean | Promise<boolean> => {
    const { tenant, origin, activeConfiguration } = call;
    if (!options.quota || origin === 'upstream' || !hasRate(tenant)) {
      return true;
    }
    const settle = (decision: QuotaDecision): boolean => {
      if (!decision.isAllowed) {
        refuse(call, refuseForQuota(decision, tenant));
      }
      return decision.isAllowed;
    };
    call.token = takeCallToken(options.quota, tenant, activeConfiguration.version);
    const { decision } = call.token;
    return decision instanceof Promise ? decision.then(settle) : settle(decision);
  };

  /** An upstream may answer before it has read a large body, whose rest the caller still sends. */
  const discardBodyAfterResponse = (call: Call, { discardRest }: RequestBodyWithPrefix) => {
    const { request, response } = call;
    const discard = () => {
      discardRest();
      if (request.complete || request.destroyed) {
        return;
      }
      const limitMs = Math.max(minDiscardMs, call.deadlineAt - timer.now());
      const cancelLimit = timer.after(limitMs, () => request.destroy());
      request.once('end', cancelLimit);
      request.once('close', cancelLimit);
    };
    if (response.closed) {
      discard();
    } else {
      response.once('close', discard);
    }
  };

  const run = async (call: Call): Promise<void> => {
    if (!passesThrottle(call)) {
      refuse(call, createThrottleRefusal(call));
      return;
    }
    const quota = passesQuota(call);
    if (quota !== true && (!(await quota) || call.isOver)) {
      return;
    }
    const linkDelayMs = options.writers.delayToPeerMs(call.response, transferOf(call));
    if (linkDelayMs > 0) {
      refuse(call, refuseForLink(linkDelayMs, options.random));
      return;
    }
    const cancelBodyTimeout = startBodyTimeout(call);
    const body = await readBody(call.request, bodyBudget).finally(cancelBodyTimeout);
    discardBodyAfterResponse(call, body);
    const activeConfiguration = await withCluster(call);
    if (call.isOver) {
      return;
    }
    const plan = createPlan(call, activeConfiguration, body);
    const listener = createOutcomeListener(call);
    const { key } = call.headers;
    call.running =
      call.policy.atMostOnce && key !== undefined
        ? options.atMostOnce.run({ plan, key, bodyPrefix: body.prefix }, listener)
        : runner.run(plan, listener);
  };

  const cancel = (call: Call) => {
    if (!call.isOver) {
      metrics.recordCallerDisconnect(call.running !== undefined);
      call.token?.end(call.running?.mayHaveRun() ?? false);
      call.running?.abort();
      finish(call, 'failed', 'cancelled');
    }
  };

  const handle = (request: IncomingMessage, response: ServerResponse) => {
    let call: Call;
    try {
      call = parseCall(request, response);
    } catch (error) {
      const failure = toFailureReport(error);
      metrics.recordCall('unknown', failure.reason, 0, 'failed');
      const requestId = callers.readRequestId(request) ?? randomUUID();
      writeRefusal(response, callers.refusal(withRetryAfter(failure), requestId), timer);
      return;
    }
    listener.handlePeerEvents(request, {
      onMalformed: (reason, detail) => {
        const mayHaveRun = call.running?.mayHaveRun() ?? false;
        call.running?.abort();
        refuse(call, {
          reason,
          detail,
          run: mayHaveRun ? 'may_have_run' : 'not_run',
          retried: false,
        });
      },
      onPeerClosed: () => cancel(call),
    });
    response.once('close', () => cancel(call));
    startScheduler.add(() => {
      const waitedMs = timer.now() - call.startedAt;
      if (!call.isOver && isStartTooLate(waitedMs, call.policy.maxWaitMs)) {
        refuse(call, refuseLateStart(waitedMs, options.random));
      }
      if (!call.isOver && mayOutlastStop(call)) {
        refuse(
          call,
          toFailureReport(new Failure('leaving', 'the node stops before the deadline of the call')),
        );
      }
      if (!call.isOver) {
        run(call).catch((error: unknown) => refuse(call, toFailureReport(error)));
      }
    });
  };

  /**
   * True if a new call may run beyond the limit of the stop. A call of the upstream belongs to a
   * call that was accepted before, and is only refused together with that one.
   */
  const mayOutlastStop = ({ origin, deadlineAt }: Call): boolean =>
    origin === 'caller' && deadlineAt > listener.stopDeadline();

  const listener = createCallListener({
    address: options.address,
    timer,
    log: options.log,
    callers,
    limits: () => configurationView.queries.current()?.configuration.callerLimits,
    maxHeaderBytes,
    stopTimes: options.stopTimes,
    onCall: handle,
  });
  return listener;
};
