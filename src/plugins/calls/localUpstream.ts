/**
 * The upstream beside this node: its description, the admission control for its slots and the pool
 * of connections to it. Only this module sends calls to the upstream, each in a slot of the
 * admission.
 */
import {
  createAdmission,
  type Admission,
  type AdmissionEffect,
  type AdmissionRefusal,
  type FinishOutcome,
} from '../../core/calls/admission.js';
import type { EndpointLoad } from '../../core/calls/endpointTracker.js';
import { expectedPace } from '../../core/calls/reportedPace.js';
import { retryAfterMs } from '../../core/calls/retryAfter.js';
import { createNestedShortages } from '../../core/calls/nestedShortage.js';
import type {
  NestedShortage,
  ResponseHead,
  AttemptFailureReport,
  AttemptListener,
  AttemptRequest,
  RunningAttempt,
} from '../../types/calls.js';
import type { RateLimitedLog } from '../../utils/rateLimitedLog.js';
import type { FailureReason } from '../../utils/failure.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { ResponseVerdict, UpstreamInterface } from '../../types/callInterface.js';
import type { CallMetrics, SlotResult } from './callMetrics.js';
import { createCallStartScheduler, type CallStartScheduler } from './callStartScheduler.js';
import { startExchange } from './exchange.js';
import type { NestedResult, WholeCallMetrics } from './wholeCallMetrics.js';
import { createUpstreamPool, type UpstreamPool } from './upstreamPool.js';

/** Responses with this status or a higher one count as failures of the upstream. */
const minFailureStatus = 500;
/** Share of the slots in use below which an endpoint still runs at full speed. */
const lightLoadShare = 0.5;
/** Pace, in percent of the usual time, up to which the other endpoints are no better choice. */
const maxLightPace = 150;

export interface UpstreamDescription {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  /** Id under which the upstream reported itself, if any. */
  readonly instance?: string;
  /** Start of the upstream's process in ms of its own clock, if reported. */
  readonly startedAt?: number;
  /** Version of the upstream's software, if reported. */
  readonly version?: string;
}

export interface LocalUpstream {
  readonly commands: {
    configure(description: UpstreamDescription): void;
    /** Refuses waiting and later calls with `leaving`; calls in flight finish. */
    leave(): void;
    /** Accepts calls again after `leave`. */
    resume(): void;
    /** Refuses later calls with `leaving` while the endpoint is drained by an operator. */
    setDrained(drained: boolean): void;
    send(request: AttemptRequest, listener: AttemptListener): RunningAttempt;
    /** Records a refusal of a nested call, which the upstream made for a call that it works on. */
    recordNestedRefusal(refusal: NestedRefusal): void;
    /** Records a nested call that was answered, but waited longer than the limit of its class. */
    recordNestedDelay(call: NestedCall): void;
    /** Records the end of a nested call; without effect unless `wholeCall`. */
    recordNestedOutcome(outcome: NestedCallOutcome): void;
    stop(): Promise<void>;
  };
  readonly queries: {
    description(): UpstreamDescription | undefined;
    isLeaving(): boolean;
    /** The call with this request id, if the upstream works on it. */
    callInFlight(requestId: string): CallInFlight | undefined;
    /** True if a call of the service would be admitted at once. */
    hasFreeSlot(service: string): boolean;
    /** True if so few slots are in use that no other endpoint can be a better choice. */
    isLightlyLoaded(service: string): boolean;
    load(): EndpointLoad;
    inFlight(): number;
    /** True if nothing accepted connections at the last attempt to reach the upstream. */
    isUnreachable(): boolean;
  };
}

/** What nested calls inherit from the call that the upstream works on. */
export interface CallInFlight {
  readonly className: string;
  readonly caller: string;
  readonly priority: number;
  readonly rank: number;
}

/** A call that the upstream works on. */
interface RunningCall extends CallInFlight {
  /** Number of nested calls, made by the upstream for this call, that were refused. */
  refusedCalls: number;
  /** At least one nested call was refused or delayed for lack of capacity. */
  isStarved: boolean;
}

/** A nested call, which the upstream made for a call that it works on. */
export interface NestedCall {
  readonly className: string;
  readonly parentId: string;
}

/** Refusal of a nested call, which the upstream made for a call that it works on. */
export interface NestedRefusal extends NestedCall {
  /** The nested call was refused for lack of capacity, before any upstream received it. */
  readonly isCapacityRefusal: boolean;
}

/** End of a nested call, see `NestedOutcome`. */
export interface NestedCallOutcome extends NestedCall {
  readonly service: string;
  readonly waitShare: number;
  readonly isRefused: boolean;
  /** What the response to the nested call reports about the nested calls made for it. */
  readonly shortage?: NestedShortage;
}

export interface LocalUpstreamOptions {
  /** Whether nested calls are admitted by their whole call, see `AdmissionOptions`. */
  readonly wholeCall?: boolean;
  readonly wholeCallMetrics?: Pick<WholeCallMetrics, 'recordNestedCall'>;
  readonly logDecision?: RateLimitedLog;
  readonly starts?: CallStartScheduler;
  /** Whether the upstream gets no calls because of its version; it is then treated as drained. */
  readonly isBarred?: (description: UpstreamDescription) => boolean;
  readonly metrics?: Pick<
    CallMetrics,
    | 'recordGateRefusal'
    | 'recordNestedDelay'
    | 'recordNestedRefusal'
    | 'recordReportedLoad'
    | 'recordSlotUse'
    | 'recordUpstreamFailure'
  >;
}

const noLoad: EndpointLoad = { inFlight: 0, limit: 0, waiting: 0 };

interface AdmissionEntry {
  /** Called when the admission has admitted or refused the call. */
  onDecision(refusal: AdmissionRefusal | undefined): void;
}

/** Each call needs its own connection: surplus calls would wait for one out of queue order. */
const slotsOf = ({ slots, connections }: UpstreamDescription): number =>
  Math.min(slots, connections);

const slotResults: Readonly<Record<FinishOutcome['outcome'], SlotResult>> = {
  ok: 'answered',
  failed: 'failed',
  overloaded: 'refused',
  refused: 'refused',
  cancelled: 'cancelled',
};

const refusalByVerdict: Partial<Record<ResponseVerdict, FailureReason>> = {
  refused: 'overloaded',
  other_instance: 'no_upstream',
};

/** Share of its maximum wait from which a nested call counts as one that waited. */
const minWaitShare = 0.1;

const resultOf = ({ isRefused, waitShare }: NestedCallOutcome): NestedResult => {
  if (isRefused) {
    return 'refused';
  }
  return waitShare < minWaitShare ? 'placed' : 'waited';
};

/** Creates the client of a node for the upstream beside it. */
export const createLocalUpstream = (
  timer: Timer,
  upstreams: UpstreamInterface,
  random: () => number,
  {
    logDecision,
    starts: startScheduler = createCallStartScheduler({ timer }),
    isBarred = () => false,
    metrics,
    wholeCall = false,
    wholeCallMetrics,
  }: LocalUpstreamOptions = {},
): LocalUpstream => {
  let description: UpstreamDescription | undefined;
  let upstreamPool: UpstreamPool | undefined;
  let admission: Admission | undefined;
  let isLeaving = false;
  let isDrained = false;
  let isUnreachable = false;
  let cancelTick: Cancel | undefined;
  let tickAt = Infinity;
  const entries = new Map<string, AdmissionEntry>();
  /** Calls that the upstream works on, by request id. */
  const runningCalls = new Map<string, RunningCall>();
  const shortages = createNestedShortages();

  /** Newest pace that the upstream reported, with the time of the report. */
  let reportedPace: { readonly pace: number; readonly at: number } | undefined;

  const admissionLoad = (): EndpointLoad => admission?.queries.load() ?? noLoad;

  const load = (): EndpointLoad =>
    reportedPace
      ? {
          ...admissionLoad(),
          pace: expectedPace(reportedPace.pace, timer.now() - reportedPace.at),
        }
      : admissionLoad();
  const takesNoCalls = (): boolean =>
    isDrained || (description !== undefined && isBarred(description));

  const createRefusal = (
    reason: FailureReason,
    call: Pick<AttemptRequest, 'className' | 'isNested' | 'priority'>,
    byUpstream = false,
  ): AttemptFailureReport => ({
    reason,
    run: 'not_run',
    stage: byUpstream ? 'upstream' : 'admission',
    retried: false,
    byUpstream,
    ...(reason === 'overloaded' && {
      retryAfterMs: retryAfterMs(admission?.queries.backlogMs(call.className, call) ?? 0, random),
    }),
  });

  const applyEffects = (effects: readonly AdmissionEffect[]) => {
    effects.forEach((effect) => {
      if (effect.type !== 'waiting') {
        entries.get(effect.id)?.onDecision(effect.type === 'refused' ? effect.reason : undefined);
      }
    });
    scheduleTick();
  };

  const scheduleTick = () => {
    const dueAt = admission?.queries.nextTickAt();
    if (dueAt === undefined || dueAt >= tickAt) {
      return;
    }
    cancelTick?.();
    tickAt = dueAt;
    cancelTick = timer.after(Math.max(1, dueAt - timer.now()), () => {
      tickAt = Infinity;
      applyEffects(admission?.commands.tick(timer.now()) ?? []);
    });
  };

  const send = (request: AttemptRequest, listener: AttemptListener): RunningAttempt => {
    const { attemptId } = request;
    const requestedAt = timer.now();
    let exchange: RunningAttempt | undefined;
    let admittedAt: number | undefined;
    let headAt: number | undefined;
    let status = 0;
    /** The upstream has refused the request without running it. */
    let isRefused = false;
    /** The upstream reported free slots with its refusal, so it is not at capacity. */
    let hasFreeSlots = false;
    let isOver = false;
    /** The admission did not decide at once, so a later decision is about a call that waited. */
    let isWaiting = false;

    const finish = (outcome: FinishOutcome['outcome']) => {
      isOver = true;
      entries.delete(attemptId);
      const now = timer.now();
      const latencyMs = now - (admittedAt ?? now);
      if (admittedAt !== undefined) {
        const bodyMs = now - (headAt ?? now);
        metrics?.recordSlotUse(request.className, slotResult(outcome), latencyMs, bodyMs);
      }
      runningCalls.delete(request.requestId);
      const effects =
        admittedAt === undefined
          ? admission?.commands.cancel(attemptId, now)
          : admission?.commands.finish(attemptId, now, { outcome, latencyMs });
      applyEffects(effects ?? []);
    };

    const slotResult = (outcome: FinishOutcome['outcome']): SlotResult => {
      if (outcome !== 'ok' || status < minFailureStatus) {
        return slotResults[outcome];
      }
      return runningCalls.get(request.requestId)?.isStarved ? 'starved' : 'failed';
    };

    const completionOutcome = (): FinishOutcome['outcome'] => {
      if (hasFreeSlots) {
        return 'refused';
      }
      return isRefused || status === 503 ? 'overloaded' : 'ok';
    };

    const completeHead = (head: ResponseHead): ResponseHead => {
      const runningCall = runningCalls.get(request.requestId);
      if (status >= minFailureStatus) {
        metrics?.recordUpstreamFailure(request.className, runningCall?.refusedCalls ?? 0);
      }
      const now = timer.now();
      const processedMs = Math.round(now - (admittedAt ?? now));
      const shortage = wholeCall ? shortages.queries.scarcest(request.className, now) : undefined;
      return {
        ...head,
        processedMs,
        ...(runningCall?.isStarved && { isStarved: true }),
        ...(shortage && { shortage }),
      };
    };

    const exchangeListener: AttemptListener = {
      onHead: (head) => {
        status = head.status;
        headAt = timer.now();
        isUnreachable = false;
        const reportedLoad = upstreams.readLoad?.(head.headers);
        if (reportedLoad) {
          const { pace } = reportedLoad;
          reportedPace = pace === undefined ? undefined : { pace, at: headAt };
          metrics?.recordReportedLoad(reportedLoad.running, admission?.queries.inFlight() ?? 0);
        }
        const reason = refusalByVerdict[upstreams.classifyResponse(status, head.headers, request)];
        if (reason === undefined) {
          listener.onHead(completeHead(head));
          return;
        }
        isRefused = true;
        hasFreeSlots =
          reportedLoad !== undefined &&
          reportedLoad.running < reportedLoad.slots &&
          reportedLoad.waiting === 0;
        // A duplicate of the refusal could be taken for the response to a second attempt.
        exchange?.abort();
        finish(completionOutcome());
        listener.onFailure(createRefusal(reason, request, true));
      },
      onData: (chunk) => listener.onData(chunk),
      onEnd: () => {
        finish(completionOutcome());
        listener.onEnd();
      },
      onFailure: (failure) => {
        isUnreachable = failure.reason === 'upstream_unreachable';
        finish('failed');
        listener.onFailure(failure);
      },
    };

    const start = () => {
      const now = timer.now();
      admittedAt = now;
      runningCalls.set(request.requestId, {
        className: request.className,
        caller: request.caller,
        priority: request.priority,
        rank: request.rank,
        refusedCalls: 0,
        isStarved: false,
      });
      if (wholeCall) {
        shortages.commands.recordRun(request.className, now);
      }
      const remainingMs = request.deadlineAt - now;
      const headTimeoutMs = Math.min(request.headTimeoutMs, remainingMs);
      exchange = startExchange({
        dispatcher: upstreamPool!.pool,
        isResetting: upstreamPool!.isResetting,
        expectCloseDelimited: upstreamPool!.expectCloseDelimited,
        isHttp11: upstreamPool!.isHttp11,
        lastRead: upstreamPool!.lastRead,
        timer,
        method: request.method,
        path: request.path,
        headers: upstreams.requestHeaders(request, description?.instance, remainingMs),
        body: request.body,
        headTimeoutMs: Math.max(1, headTimeoutMs),
        remainingMs,
        checkHead: (responseStatus, headers) =>
          upstreams.classifyResponse(responseStatus, headers, request) === 'mismatch'
            ? 'the response belongs to another request'
            : undefined,
        acceptsCloseDelimited: upstreams.acceptsCloseDelimited,
        listener: exchangeListener,
      });
    };

    const startIfActive = () => {
      if (isOver) {
        return;
      }
      if (timer.now() < request.deadlineAt) {
        start();
        return;
      }
      finish('cancelled');
      recordRefusal('deadline_past');
      listener.onFailure(createRefusal('deadline_past', request));
    };

    const recordRefusal = (reason: AdmissionRefusal) => {
      const { inFlight, limit, waiting, workMs } = load();
      const remainingMs = request.deadlineAt - timer.now();
      metrics?.recordGateRefusal(request.className, reason, remainingMs);
      logDecision?.('call not admitted', {
        request_id: request.requestId,
        attempt_id: attemptId,
        class: request.className,
        reason,
        nested: request.isNested,
        waited_ms: Math.round(timer.now() - requestedAt),
        max_wait_ms: Math.round(request.maxWaitMs),
        remaining_ms: Math.round(remainingMs),
        in_flight: inFlight,
        limit,
        waiting,
        work_ms: workMs === undefined ? undefined : Math.round(workMs),
      });
    };

    const onDecision: AdmissionEntry['onDecision'] = (refusal) => {
      if (isOver) {
        return;
      }
      if (refusal === undefined && isWaiting) {
        // The caller may have disconnected meanwhile, with the event still unread in the socket.
        startScheduler.add(startIfActive);
        return;
      }
      if (refusal === undefined) {
        start();
        return;
      }
      isOver = true;
      entries.delete(attemptId);
      recordRefusal(refusal);
      listener.onFailure(createRefusal(refusal, request));
    };

    const isForOtherService = request.service !== '' && request.service !== description?.service;
    const isOutOfService = takesNoCalls();
    if (!admission || !upstreamPool || isOutOfService || isForOtherService) {
      isOver = true;
      listener.onFailure(createRefusal(isOutOfService ? 'leaving' : 'no_upstream', request));
    } else {
      entries.set(attemptId, { onDecision });
      applyEffects(
        admission.commands.request(
          {
            id: attemptId,
            className: request.className,
            caller: request.caller,
            priority: request.priority,
            rank: request.rank,
            isNested: request.isNested,
            maxWaitMs: request.maxWaitMs,
            deadlineAt: request.deadlineAt,
            targetAt: request.targetAt,
          },
          timer.now(),
        ),
      );
      isWaiting = true;
    }

    return {
      abort: () => {
        if (!isOver) {
          exchange?.abort();
          finish('cancelled');
        }
      },
      resume: () => exchange?.resume(),
      mayHaveRun: () => exchange?.mayHaveRun() ?? false,
    };
  };

  const recordNestedRefusal = ({ className, parentId, isCapacityRefusal }: NestedRefusal) => {
    const runningCall = runningCalls.get(parentId);
    if (runningCall) {
      runningCall.refusedCalls += 1;
      runningCall.isStarved ||= isCapacityRefusal;
      metrics?.recordNestedRefusal(className, runningCall.className);
    }
  };

  const recordNestedDelay = ({ className, parentId }: NestedCall) => {
    const runningCall = runningCalls.get(parentId);
    if (runningCall) {
      runningCall.isStarved = true;
      metrics?.recordNestedDelay(className, runningCall.className);
    }
  };

  const recordNestedOutcome = (outcome: NestedCallOutcome) => {
    const { className, parentId, service, waitShare, isRefused, shortage } = outcome;
    const parentClass = runningCalls.get(parentId)?.className;
    if (!wholeCall || parentClass === undefined) {
      return;
    }
    const now = timer.now();
    shortages.commands.recordNested({ parentClass, service, waitShare, isRefused }, now);
    if (shortage) {
      shortages.commands.recordDeeper(parentClass, shortage, now);
    }
    wholeCallMetrics?.recordNestedCall(className, parentClass, resultOf(outcome));
  };

  const replacePool = (address: string, connections: number) => {
    upstreamPool?.pool.close().catch(() => undefined);
    upstreamPool = createUpstreamPool(address, connections);
  };

  const isDifferentProcess = (next: UpstreamDescription): boolean =>
    description !== undefined &&
    (next.instance !== description.instance ||
      next.startedAt !== description.startedAt ||
      next.service !== description.service);

  const configure = (next: UpstreamDescription) => {
    const isNewProcess = isDifferentProcess(next);
    const needsNewPool =
      isNewProcess ||
      next.address !== description?.address ||
      next.connections !== description?.connections;
    if (needsNewPool) {
      replacePool(next.address, next.connections);
    }
    description = next;
    isUnreachable = false;
    if (isNewProcess) {
      // Waiting calls were meant for the old process, and calls running there hold no slot here.
      applyEffects(admission?.commands.leave(timer.now()) ?? []);
      isLeaving = false;
      admission = undefined;
      reportedPace = undefined;
    }
    admission ??= createAdmission({ slots: slotsOf(next), wholeCall });
    applyEffects(admission.commands.setSlots(slotsOf(next), timer.now()));
  };

  const leave = () => {
    isLeaving = true;
    applyEffects(admission?.commands.leave(timer.now()) ?? []);
  };

  const resume = () => {
    // `leave` is final for an admission, so a new one is needed. The old one stays in place until
    // the calls in flight are over; `resume` is called after that.
    isLeaving = false;
    admission = description && createAdmission({ slots: slotsOf(description), wholeCall });
  };

  /** Share of the slots in use; infinite if calls of the service cannot start at once. */
  const slotUtilization = (service: string): number => {
    const takesCalls = !isLeaving && !takesNoCalls() && description?.service === service;
    if (!takesCalls || !admission || admission.queries.waiting() > 0) {
      return Infinity;
    }
    return admission.queries.inFlight() / Math.max(1, admission.queries.limit());
  };

  return {
    commands: {
      configure,
      leave,
      resume,
      setDrained: (drained) => {
        isDrained = drained;
      },
      send,
      recordNestedRefusal,
      recordNestedDelay,
      recordNestedOutcome,
      stop: async () => {
        cancelTick?.();
        await upstreamPool?.pool.destroy();
      },
    },
    queries: {
      description: () => description,
      callInFlight: (requestId) => runningCalls.get(requestId),
      isLeaving: () => isLeaving,
      hasFreeSlot: (service) => slotUtilization(service) < 1,
      isLightlyLoaded: (service) =>
        slotUtilization(service) < lightLoadShare && (load().pace ?? 0) <= maxLightPace,
      load,
      inFlight: () => entries.size,
      isUnreachable: () => isUnreachable,
    },
  };
};
