/**
 * The upstream beside this node: what it announced, its slots and the pool of connections to it.
 * Only this module sends calls to it, each under a slot of the admission.
 */
import {
  createAdmission,
  type Admission,
  type AdmissionEffect,
  type AdmissionRefusal,
  type FinishOutcome,
} from '../../core/calls/admission.js';
import type { EndpointLoad } from '../../core/calls/endpointTracker.js';
import { retryAfterMs } from '../../core/calls/retryAfter.js';
import type {
  ResponseHead,
  AttemptFailureReport,
  AttemptListener,
  AttemptRequest,
  RunningAttempt,
} from '../../types/calls.js';
import type { BoundedLog } from '../../utils/boundedLog.js';
import type { FailureReason } from '../../utils/failure.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { ResponseVerdict, UpstreamInterface } from '../../types/callInterface.js';
import type { CallMetrics } from './callMetrics.js';
import { createCallStartScheduler, type CallStartScheduler } from './callStartScheduler.js';
import { startExchange } from './exchange.js';
import { createUpstreamPool, type UpstreamPool } from './upstreamPool.js';

/** Statuses from which an answer says that the upstream failed. */
const failedStatus = 500;
/** Part of the slots below which an endpoint works at its full speed. */
const quietBelow = 0.5;

export interface UpstreamDescription {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  /** Id that the upstream gave itself, if it did. */
  readonly instance?: string;
  /** Start of the upstream's process, if it said so, in ms of its own clock. */
  readonly startedAt?: number;
}

export interface LocalUpstream {
  readonly commands: {
    configure(description: UpstreamDescription): void;
    /** Refuses waiting and later calls with `leaving`; calls in flight finish. */
    leave(): void;
    /** Takes calls again after `leave`. */
    resume(): void;
    /** Refuses later calls with `leaving` while an operator has drained the endpoint. */
    setDrained(drained: boolean): void;
    send(request: AttemptRequest, listener: AttemptListener): RunningAttempt;
    /** Notes that a call was refused which the upstream made for a call that it works on. */
    recordNestedRefusal(refusal: NestedRefusal): void;
    stop(): Promise<void>;
  };
  readonly queries: {
    description(): UpstreamDescription | undefined;
    isLeaving(): boolean;
    /** Class of a call that the upstream works on, by its request id. */
    classOfInFlight(requestId: string): string | undefined;
    /** True if a call of the service would be admitted at once. */
    hasFreeSlot(service: string): boolean;
    /** True if so few slots are in use that no other endpoint can be a better choice. */
    isLightlyLoaded(service: string): boolean;
    load(): EndpointLoad;
    inFlight(): number;
    /** True if the last attempt to reach the upstream found nothing that takes connections. */
    isUnreachable(): boolean;
  };
}

/** A call that the upstream works on. */
interface UpstreamWork {
  readonly className: string;
  /** Calls that the upstream made for it and that were refused. */
  refusedCalls: number;
  /** One of them was refused for lack of capacity. */
  isStarved: boolean;
}

/** Refusal of a call that the upstream made for another one. */
export interface NestedRefusal {
  readonly className: string;
  readonly parentId: string;
  /** The call was refused for lack of capacity, before any upstream saw it. */
  readonly isCapacityRefusal: boolean;
}

export interface LocalUpstreamOptions {
  readonly logDecision?: BoundedLog;
  readonly starts?: CallStartScheduler;
  readonly metrics?: Pick<
    CallMetrics,
    'recordGateRefusal' | 'recordNestedRefusal' | 'recordUpstreamFailure'
  >;
}

const noLoad: EndpointLoad = { inFlight: 0, limit: 0, waiting: 0 };

interface Entry {
  /** Called when the admission decided about a call that waited. */
  decide(refusal: AdmissionRefusal | undefined): void;
}

/** A call needs a connection of its own: more calls would wait out of turn for one. */
const slotsOf = ({ slots, connections }: UpstreamDescription): number =>
  Math.min(slots, connections);

const refusalByVerdict: Partial<Record<ResponseVerdict, FailureReason>> = {
  refused: 'overloaded',
  other_instance: 'no_upstream',
};

/** Creates the access of a node to the upstream beside it. */
export const createLocalUpstream = (
  timer: Timer,
  upstreams: UpstreamInterface,
  random: () => number,
  { logDecision, starts = createCallStartScheduler({ timer }), metrics }: LocalUpstreamOptions = {},
): LocalUpstream => {
  let description: UpstreamDescription | undefined;
  let upstreamPool: UpstreamPool | undefined;
  let admission: Admission | undefined;
  let isLeaving = false;
  let isDrained = false;
  let isUnreachable = false;
  let cancelTick: Cancel | undefined;
  let tickAt = Infinity;
  const entries = new Map<string, Entry>();
  /** Calls that the upstream works on, by request id. */
  const works = new Map<string, UpstreamWork>();

  const load = (): EndpointLoad => admission?.queries.load() ?? noLoad;

  const refusedReport = (
    reason: FailureReason,
    className: string,
    byUpstream = false,
  ): AttemptFailureReport => ({
    reason,
    run: 'not_run',
    retried: false,
    byUpstream,
    ...(reason === 'overloaded' && {
      retryAfterMs: retryAfterMs(admission?.queries.backlogMs(className) ?? 0, random),
    }),
  });

  const carryOut = (effects: readonly AdmissionEffect[]) => {
    effects.forEach((effect) => {
      if (effect.type !== 'waiting') {
        entries.get(effect.id)?.decide(effect.type === 'refused' ? effect.reason : undefined);
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
      carryOut(admission?.commands.tick(timer.now()) ?? []);
    });
  };

  const send = (request: AttemptRequest, listener: AttemptListener): RunningAttempt => {
    const { attemptId } = request;
    const requestedAt = timer.now();
    let exchange: RunningAttempt | undefined;
    let admittedAt: number | undefined;
    let status = 0;
    /** Set once the upstream said that it did not run the request. */
    let isTurnedAway = false;
    /** The upstream said that it has free slots, so a refusal is not for lack of them. */
    let hasFreeSlots = false;
    let isOver = false;
    /** The admission has not decided at once. */
    let isWaiting = false;

    const finish = (outcome: FinishOutcome['outcome']) => {
      isOver = true;
      entries.delete(attemptId);
      works.delete(request.requestId);
      const now = timer.now();
      const latencyMs = now - (admittedAt ?? now);
      const effects =
        admittedAt === undefined
          ? admission?.commands.cancel(attemptId, now)
          : admission?.commands.finish(attemptId, now, { outcome, latencyMs });
      carryOut(effects ?? []);
    };

    const endOutcome = (): FinishOutcome['outcome'] => {
      if (hasFreeSlots) {
        return 'refused';
      }
      return isTurnedAway || status === 503 ? 'overloaded' : 'ok';
    };

    const judgeFailure = (head: ResponseHead): ResponseHead => {
      const work = works.get(request.requestId);
      metrics?.recordUpstreamFailure(request.className, work?.refusedCalls ?? 0);
      return work?.isStarved ? { ...head, isStarved: true } : head;
    };

    const ownListener: AttemptListener = {
      onHead: (head) => {
        status = head.status;
        isUnreachable = false;
        const reason = refusalByVerdict[upstreams.classifyResponse(status, head.headers, request)];
        if (reason === undefined) {
          listener.onHead(status >= failedStatus ? judgeFailure(head) : head);
          return;
        }
        isTurnedAway = true;
        const reportedLoad = upstreams.readLoad?.(head.headers);
        hasFreeSlots =
          reportedLoad !== undefined &&
          reportedLoad.running < reportedLoad.slots &&
          reportedLoad.waiting === 0;
        // The refusal could come once more and be taken for the answer to a second attempt.
        exchange?.abort();
        finish(endOutcome());
        listener.onFailure(refusedReport(reason, request.className, true));
      },
      onData: (chunk) => listener.onData(chunk),
      onEnd: () => {
        finish(endOutcome());
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
      works.set(request.requestId, {
        className: request.className,
        refusedCalls: 0,
        isStarved: false,
      });
      const remainingMs = request.deadlineAt - now;
      const headTimeoutMs = Math.min(request.headTimeoutMs, remainingMs);
      exchange = startExchange({
        dispatcher: upstreamPool!.pool,
        isResetting: upstreamPool!.isResetting,
        expectCloseDelimited: upstreamPool!.expectCloseDelimited,
        isHttp11: upstreamPool!.beginsHttp11,
        timer,
        method: request.method,
        path: request.path,
        headers: upstreams.requestHeaders(request, description?.instance, remainingMs),
        body: request.body,
        headTimeoutMs: Math.max(1, headTimeoutMs),
        remainingMs,
        checkHead: (answerStatus, headers) =>
          upstreams.classifyResponse(answerStatus, headers, request) === 'mismatch'
            ? 'the answer belongs to another request'
            : undefined,
        acceptsCloseDelimited: upstreams.acceptsCloseDelimited,
        listener: ownListener,
      });
    };

    const startIfWanted = () => {
      if (isOver) {
        return;
      }
      if (timer.now() < request.deadlineAt) {
        start();
        return;
      }
      finish('cancelled');
      noteRefusal('deadline_past');
      listener.onFailure(refusedReport('deadline_past', request.className));
    };

    const noteRefusal = (reason: AdmissionRefusal) => {
      const { inFlight, limit, waiting, workMs } = load();
      const remainingMs = request.deadlineAt - timer.now();
      metrics?.recordGateRefusal(request.className, reason, remainingMs);
      logDecision?.('call not admitted', {
        request_id: request.requestId,
        attempt_id: attemptId,
        class: request.className,
        reason,
        waited_ms: Math.round(timer.now() - requestedAt),
        max_wait_ms: Math.round(request.maxWaitMs),
        remaining_ms: Math.round(remainingMs),
        in_flight: inFlight,
        limit,
        waiting,
        work_ms: workMs === undefined ? undefined : Math.round(workMs),
      });
    };

    const decide: Entry['decide'] = (refusal) => {
      if (isOver) {
        return;
      }
      if (refusal === undefined && isWaiting) {
        // The caller may have left meanwhile, with the end of its connection still unread.
        starts.add(startIfWanted);
        return;
      }
      if (refusal === undefined) {
        start();
        return;
      }
      isOver = true;
      entries.delete(attemptId);
      noteRefusal(refusal);
      listener.onFailure(refusedReport(refusal, request.className));
    };

    const isForOther = request.service !== '' && request.service !== description?.service;
    if (!admission || !upstreamPool || isDrained || isForOther) {
      isOver = true;
      listener.onFailure(refusedReport(isDrained ? 'leaving' : 'no_upstream', request.className));
    } else {
      entries.set(attemptId, { decide });
      carryOut(
        admission.commands.request(
          {
            id: attemptId,
            className: request.className,
            caller: request.caller,
            priority: request.priority,
            rank: request.rank,
            maxWaitMs: request.maxWaitMs,
            deadlineAt: request.deadlineAt,
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

  const recordNestedRefusal = ({
    className,
    parentId,
    isCapacityRefusal: isForCapacity,
  }: NestedRefusal) => {
    const work = works.get(parentId);
    if (work) {
      work.refusedCalls += 1;
      work.isStarved ||= isForCapacity;
      metrics?.recordNestedRefusal(className, work.className);
    }
  };

  const replacePool = (address: string, connections: number) => {
    upstreamPool?.pool.close().catch(() => undefined);
    upstreamPool = createUpstreamPool(address, connections);
  };

  const isOtherProcess = (next: UpstreamDescription): boolean =>
    description !== undefined &&
    (next.instance !== description.instance ||
      next.startedAt !== description.startedAt ||
      next.service !== description.service);

  const describe = (next: UpstreamDescription) => {
    const isOther = isOtherProcess(next);
    const isOtherPool =
      isOther ||
      next.address !== description?.address ||
      next.connections !== description?.connections;
    if (isOtherPool) {
      replacePool(next.address, next.connections);
    }
    description = next;
    isUnreachable = false;
    if (isOther) {
      // What waits was meant for the process that is gone, and what runs there holds no slot here.
      carryOut(admission?.commands.leave(timer.now()) ?? []);
      isLeaving = false;
      admission = undefined;
    }
    admission ??= createAdmission({ slots: slotsOf(next) });
    carryOut(admission.commands.setSlots(slotsOf(next), timer.now()));
  };

  const leave = () => {
    isLeaving = true;
    carryOut(admission?.commands.leave(timer.now()) ?? []);
  };

  const resume = () => {
    // The admission of calls in flight stays until they are over; `leave` is final for it.
    isLeaving = false;
    admission = description && createAdmission({ slots: slotsOf(description) });
  };

  /** Part of the slots that are in use; infinite if calls of the service cannot start at once. */
  const inFlightShare = (service: string): number => {
    const takesCalls = !isLeaving && !isDrained && description?.service === service;
    if (!takesCalls || !admission || admission.queries.waiting() > 0) {
      return Infinity;
    }
    return admission.queries.inFlight() / Math.max(1, admission.queries.limit());
  };

  return {
    commands: {
      configure: describe,
      leave,
      resume,
      setDrained: (drained) => {
        isDrained = drained;
      },
      send,
      recordNestedRefusal,
      stop: async () => {
        cancelTick?.();
        await upstreamPool?.pool.destroy();
      },
    },
    queries: {
      description: () => description,
      classOfInFlight: (requestId) => works.get(requestId)?.className,
      isLeaving: () => isLeaving,
      hasFreeSlot: (service) => inFlightShare(service) < 1,
      isLightlyLoaded: (service) => inFlightShare(service) < quietBelow,
      load,
      inFlight: () => entries.size,
      isUnreachable: () => isUnreachable,
    },
  };
};
