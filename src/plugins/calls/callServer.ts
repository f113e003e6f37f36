/**
 * Takes calls from callers: reads the request, finds its class and policy, has the call run and
 * writes the answer. A call keeps the configuration that it began with.
 */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { formatVersion } from '../../core/agreement/version.js';
import { outcomeOfRefusal, type Burn, type CallOutcome } from '../../core/operators/burn.js';
import type { OverloadThrottle, ThrottledCall } from '../../core/calls/overloadThrottle.js';
import { isAdmissionRefusal } from '../../core/calls/retry.js';
import { jitterAround, defaultRetryAfterMs } from '../../core/calls/retryAfter.js';
import { callRank } from '../../core/calls/callRank.js';
import { isStartTooLate, refuseLateStart } from '../../core/calls/lateStart.js';
import { matchClass } from '../../core/calls/classMatching.js';
import type { AttemptFailureReport } from '../../types/calls.js';
import type { CallerInterface, CallHeaders } from '../../types/callInterface.js';
import type { ActiveConfiguration, ConfigurationView, StopTimes } from '../../types/internal.js';
import type { Policy } from '../../types/public.js';
import { Failure, type FailureReason } from '../../utils/failure.js';
import type { BoundedLog } from '../../utils/boundedLog.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { AtMostOnceRunner } from './atMostOnceRunner.js';
import type { ResponseWriters } from './responseWriters.js';
import { toFailureReport, writeRefusal } from './callResponses.js';
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
import type { LocalUpstream } from './localUpstream.js';
import { readBody, type RequestBodyWithPrefix } from './requestBody.js';
import type { Address } from '../rpc.js';
import { pickService } from '../../core/operators/services.js';

const maxHeaderBytes = 16 * 1_024;
/** Time that a call waits for the endpoints of a service that the node does not hold yet. */
const clusterWaitMs = 1_000;

/** A call that an upstream makes ranks as its parent does. */
const rankOf = (origin: CallOrigin, requestId: string, { parentId }: CallHeaders): number =>
  callRank(origin === 'upstream' ? (parentId ?? requestId) : requestId);

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
  readonly atMostOnce: AtMostOnceRunner;
  readonly burn: Burn;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** Returns a number in [0, 1) that spreads the calls of a class evenly. */
  readonly quasiRandom: (className: string) => number;
  readonly metrics: CallMetrics;
  readonly logDecision?: BoundedLog;
}

/** What is known about a call before its first attempt. */
interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly headers: CallHeaders;
  readonly held: ActiveConfiguration;
  readonly policy: Policy;
  /** Service that does the work of this call. */
  readonly service: string;
  readonly origin: CallOrigin;
  /** Whom the call is from, see `CallerInterface`. */
  readonly caller: string;
  /** See `callRank`. */
  readonly rank: number;
  readonly startedAt: number;
  readonly deadlineAt: number;
  running: RunningCall | undefined;
  isOver: boolean;
}

const pathOf = (url: string): string => {
  const end = url.indexOf('?');
  return end < 0 ? url : url.slice(0, end);
};

/** Host that the caller named, in lower case and without the port. */
const hostOf = ({ headers: { host } }: IncomingMessage): string | undefined =>
  host?.replace(/:\d+$/, '').toLowerCase();

/** Creates the server of a node's calls address. */
export const createCallServer = (options: CallServerOptions): CallListener => {
  const {
    timer,
    holding,
    upstream,
    runner,
    metrics,
    callers,
    startScheduler: starts,
    throttle,
  } = options;

  const answerHeaders = ({ held, requestId }: Call): string[] =>
    callers.responseHeaders({
      requestId,
      version: held.version,
      isStale: holding.queries.isDetached(),
    });

  const finish = (call: Call, outcome: CallOutcome, result: FailureReason | 'ok') => {
    call.isOver = true;
    const now = timer.now();
    const { className } = call.policy;
    const { dataCentre } = options;
    options.burn.commands.recordOutcome({ className, dataCentre, outcome }, now);
    metrics.recordCall(className, result, now - call.startedAt);
  };

  const throttledOf = ({ policy, service, caller, rank }: Call): ThrottledCall => ({
    className: policy.className,
    service,
    caller,
    rank,
  });

  const throttledRefusal = (call: Call): AttemptFailureReport => {
    const usualMs = throttle.queries.retryAfterMs(throttledOf(call));
    return {
      reason: 'overloaded',
      run: 'not_run',
      detail: 'most calls of the class are refused at the moment',
      retried: false,
      ...(usualMs !== undefined && { retryAfterMs: jitterAround(usualMs, options.random) }),
    };
  };

  /** A refusal without a time to come back gets the usual one of its reason. */
  const withRetryAfter = (failure: AttemptFailureReport): AttemptFailureReport => {
    const usual = defaultRetryAfterMs(failure.reason, options.random);
    const isKnown = failure.retryAfterMs !== undefined || failure.run !== 'not_run';
    return isKnown || usual === undefined ? failure : { ...failure, retryAfterMs: usual };
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
      detail: failure.detail,
      took_ms: Math.round(elapsedMs),
      remaining_ms: Math.round(call.deadlineAt - timer.now()),
      version: formatVersion(call.held.version),
    });

  const logFailedAnswer = (call: Call, status: number) =>
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
    const outcome = outcomeOfRefusal(failure.reason, elapsedMs, call.policy.maxWaitMs);
    finish(call, outcome, failure.reason);
    metrics.recordRefusal(call.policy.className, failure.reason, call.origin);
    if (call.origin === 'upstream' && call.headers.parentId !== undefined) {
      upstream.commands.recordNestedRefusal({
        className: call.policy.className,
        parentId: call.headers.parentId,
        isCapacityRefusal: isAdmissionRefusal(failure),
      });
    }
    logRefusal(call, failure, elapsedMs);
    writeRefusal(call.response, callers.refusal(withRetryAfter(failure), call.requestId), timer);
  };

  const outcomeOf = (call: Call, status: number): CallOutcome => {
    if (status >= 500) {
      return 'failed';
    }
    const target = call.held.configuration.classes[call.policy.className];
    return timer.now() - call.startedAt > (target?.answerWithinMs ?? Infinity) ? 'late' : 'good';
  };

  const listenerOf = (call: Call): OutcomeListener => {
    const writer = options.writers.toPeer(call.response);
    let outcome: CallOutcome = 'good';
    return {
      onHead: (head) => {
        outcome = outcomeOf(call, head.status);
        if (outcome === 'failed') {
          logFailedAnswer(call, head.status);
        }
        writer.head(head, answerHeaders(call));
      },
      onData: (chunk) => writer.part(chunk, () => call.running?.resume()),
      onEnd: () => {
        finish(call, outcome, 'ok');
        writer.end();
      },
      onRefusal: (failure) => refuse(call, failure),
    };
  };

  /** A call counts as made by the upstream beside this node if that works on the call it names. */
  const originOf = ({ parentId }: CallHeaders): CallOrigin =>
    parentId !== undefined && upstream.queries.classOfInFlight(parentId) !== undefined
      ? 'upstream'
      : 'caller';

  const begin = (request: IncomingMessage, response: ServerResponse): Call => {
    const headers = callers.readCall(request);
    const held = holding.queries.current();
    if (!held) {
      throw new Failure('no_configuration');
    }
    const { url = '' } = request;
    if (!url.startsWith('/')) {
      throw new Failure('bad_request', 'the request target is not a path');
    }
    const method = request.method ?? 'GET';
    const path = pathOf(url);
    const { className } = headers;
    const host = hostOf(request);
    const trafficClass = matchClass(held.configuration, { method, path, host, className });
    const policy = trafficClass && held.policies.get(trafficClass.name);
    if (!policy) {
      throw new Failure('unknown_class', className ?? `${method} ${path}`);
    }
    if (policy.atMostOnce && headers.key === undefined) {
      throw new Failure('key_required', policy.className);
    }
    const maxBodyBytes = held.configuration.callerLimits?.maxBodyBytes ?? Infinity;
    if (Number(request.headers['content-length'] ?? 0) > maxBodyBytes) {
      throw new Failure('body_too_large', `${maxBodyBytes} bytes at most`);
    }
    const startedAt = timer.now();
    const deadlineMs = Math.min(headers.deadlineMs ?? Infinity, policy.deadlineMs);
    const requestId = headers.requestId ?? randomUUID();
    const origin = originOf(headers);
    return {
      request,
      response,
      requestId,
      headers,
      held,
      policy,
      service: pickService(policy, options.quasiRandom(policy.className)),
      origin,
      caller: callers.readCaller(request),
      rank: rankOf(origin, requestId, headers),
      startedAt,
      deadlineAt: startedAt + deadlineMs,
      running: undefined,
      isOver: false,
    };
  };

  const planOf = (
    call: Call,
    held: ActiveConfiguration,
    { body }: RequestBodyWithPrefix,
  ): CallPlan => ({
    requestId: call.requestId,
    held,
    policy: call.policy,
    service: call.service,
    caller: call.caller,
    rank: call.rank,
    method: call.request.method ?? 'GET',
    path: call.request.url ?? '',
    headers: callers.forwardedHeaders(call.request.rawHeaders),
    body,
    receivedAt: call.startedAt,
    deadlineAt: call.deadlineAt,
  });

  /** The call's own state, with the cluster added if it arrived only now. */
  const withCluster = async ({ held, service, deadlineAt }: Call): Promise<ActiveConfiguration> => {
    holding.commands.recordUse(service);
    if (held.clusters.has(service) || upstream.queries.hasFreeSlot(service)) {
      return held;
    }
    const waitMs = Math.min(clusterWaitMs, deadlineAt - timer.now());
    const cluster = await holding.commands.ensureCluster(service, waitMs);
    return cluster ? { ...held, clusters: new Map([...held.clusters, [service, cluster]]) } : held;
  };

  /** Refuses the call if its body is not there before the deadline. */
  const limitBody = (call: Call): Cancel =>
    hasBody(call.request)
      ? timer.after(call.deadlineAt - timer.now(), () =>
          refuse(
            call,
            toFailureReport(new Failure('deadline_past', 'the body did not arrive in time')),
          ),
        )
      : () => undefined;

  /** True if the call goes on; a free slot beside this node is better knowledge than the throttle's. */
  const passesThrottle = (call: Call): boolean =>
    call.origin === 'upstream' ||
    upstream.queries.hasFreeSlot(call.service) ||
    throttle.commands.admit(throttledOf(call), timer.now());

  const run = async (call: Call): Promise<void> => {
    if (!passesThrottle(call)) {
      refuse(call, throttledRefusal(call));
      return;
    }
    const cancelLimit = limitBody(call);
    const body = await readBody(call.request).finally(cancelLimit);
    const held = await withCluster(call);
    if (call.isOver) {
      return;
    }
    const plan = planOf(call, held, body);
    const listener = listenerOf(call);
    const { key } = call.headers;
    call.running =
      call.policy.atMostOnce && key !== undefined
        ? options.atMostOnce.run({ plan, key, bodyPrefix: body.prefix }, listener)
        : runner.run(plan, listener);
  };

  const cancel = (call: Call) => {
    if (!call.isOver) {
      metrics.recordCallerDisconnect(call.running !== undefined);
      call.running?.abort();
      finish(call, 'failed', 'cancelled');
    }
  };

  const handle = (request: IncomingMessage, response: ServerResponse) => {
    let call: Call;
    try {
      call = begin(request, response);
    } catch (error) {
      const failure = toFailureReport(error);
      metrics.recordCall('unknown', failure.reason, 0);
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
    starts.add(() => {
      const waitedMs = timer.now() - call.startedAt;
      if (!call.isOver && isStartTooLate(waitedMs, call.policy.maxWaitMs)) {
        refuse(call, refuseLateStart(waitedMs, options.random));
      }
      if (!call.isOver && mayOutlastStop(call)) {
        refuse(
          call,
          toFailureReport(new Failure('leaving', 'the node stops before the call has to end')),
        );
      }
      if (!call.isOver) {
        run(call).catch((error: unknown) => refuse(call, toFailureReport(error)));
      }
    });
  };

  /** A call of the upstream belongs to one that was taken before, and is refused with it if at all. */
  const mayOutlastStop = ({ origin, deadlineAt }: Call): boolean =>
    origin === 'caller' && deadlineAt > listener.stopDeadline();

  const listener = createCallListener({
    address: options.address,
    timer,
    log: options.log,
    callers,
    limits: () => holding.queries.current()?.configuration.callerLimits,
    maxHeaderBytes,
    stopTimes: options.stopTimes,
    onCall: handle,
  });
  return listener;
};
