/**
 * Admission of calls to the slots of one endpoint, decided by the node beside it. A call is
 * admitted, waits, or is refused before it runs. Every command returns the effects that the caller
 * has to carry out; `admitted` and `refused` may concern calls that waited.
 */
import type { EndpointLoad } from './evidence.js';

export interface AdmissionCall {
  readonly id: string;
  readonly className: string;
  /** Who sent the call, for turns within a class. */
  readonly caller: string;
  /** Importance from 1 to 100. */
  readonly priority: number;
  /** Longest time in ms that the call may wait. */
  readonly maxWaitMs: number;
  /** Time on the scale of `now` after which the answer is of no use. */
  readonly deadlineAt: number;
}

export type AdmissionRefusal = 'overloaded' | 'deadline_past' | 'leaving';

export type AdmissionEffect =
  | { readonly type: 'admitted'; readonly id: string }
  | { readonly type: 'waiting'; readonly id: string }
  | { readonly type: 'refused'; readonly id: string; readonly reason: AdmissionRefusal };

/** How an admitted call ended. `overloaded` means that the upstream itself had no slot. */
export interface FinishOutcome {
  readonly outcome: 'ok' | 'failed' | 'overloaded' | 'cancelled';
  /** Time that the call occupied its slot, in ms. */
  readonly latencyMs: number;
}

export interface AdmissionOptions {
  /** Slots that the upstream reported. */
  readonly slots: number;
  /** Most calls that wait at a time. */
  readonly maxWaiting?: number;
}

export interface ClassCounts {
  readonly className: string;
  readonly inFlight: number;
  readonly waiting: number;
}

export interface Admission {
  readonly commands: {
    request(call: AdmissionCall, now: number): AdmissionEffect[];
    finish(id: string, now: number, outcome: FinishOutcome): AdmissionEffect[];
    /** Removes a call that waits, or frees the slot of one that was admitted. */
    cancel(id: string, now: number): AdmissionEffect[];
    /** Refuses waiting calls whose limit or deadline has passed. */
    tick(now: number): AdmissionEffect[];
    /** Takes over a new number of reported slots. */
    setLimit(slots: number, now: number): AdmissionEffect[];
    /** Refuses all waiting and all later calls with `leaving`; admitted calls finish. */
    leave(now: number): AdmissionEffect[];
  };
  readonly queries: {
    limit(): number;
    inFlight(): number;
    waiting(): number;
    load(): EndpointLoad;
    classes(): readonly ClassCounts[];
    /** Time at which `tick` has something to do next. */
    nextTickAt(): number | undefined;
  };
}

const defaultMaxWaiting = 1_000;

/** Creates the admission of one endpoint. */
export const createAdmission = ({
  slots,
  maxWaiting = defaultMaxWaiting,
}: AdmissionOptions): Admission => {
  const running = new Map<string, AdmissionCall>();
  const waiting = new Map<string, { call: AdmissionCall; waitsUntil: number }>();
  let limit = slots;
  let isLeaving = false;

  const refuse = (id: string, reason: AdmissionRefusal): AdmissionEffect => {
    waiting.delete(id);
    return { type: 'refused', id, reason };
  };

  const admit = (call: AdmissionCall): AdmissionEffect => {
    waiting.delete(call.id);
    running.set(call.id, call);
    return { type: 'admitted', id: call.id };
  };

  const expire = (now: number): AdmissionEffect[] =>
    [...waiting.values()]
      .filter(({ waitsUntil }) => waitsUntil <= now)
      .map(({ call }) => refuse(call.id, call.deadlineAt <= now ? 'deadline_past' : 'overloaded'));

  const fill = (now: number): AdmissionEffect[] => {
    const effects = expire(now);
    const order = [...waiting.values()].sort((a, b) => b.call.priority - a.call.priority);
    const free = Math.max(0, limit - running.size);
    return [...effects, ...order.slice(0, free).map(({ call }) => admit(call))];
  };

  const request = (call: AdmissionCall, now: number): AdmissionEffect[] => {
    if (isLeaving || call.deadlineAt <= now) {
      return [refuse(call.id, isLeaving ? 'leaving' : 'deadline_past')];
    }
    if (running.size < limit && waiting.size === 0) {
      return [admit(call)];
    }
    if (call.maxWaitMs <= 0 || waiting.size >= maxWaiting) {
      return [refuse(call.id, 'overloaded')];
    }
    const waitsUntil = Math.min(now + call.maxWaitMs, call.deadlineAt);
    waiting.set(call.id, { call, waitsUntil });
    return [{ type: 'waiting', id: call.id }, ...fill(now)];
  };

  const leave = (): AdmissionEffect[] => {
    isLeaving = true;
    return [...waiting.keys()].map((id) => refuse(id, 'leaving'));
  };

  const release = (id: string, now: number): AdmissionEffect[] => {
    running.delete(id);
    waiting.delete(id);
    return fill(now);
  };

  const setLimit = (reported: number, now: number): AdmissionEffect[] => {
    limit = reported;
    return fill(now);
  };

  const classes = (): readonly ClassCounts[] => {
    const all = [...running.values(), ...[...waiting.values()].map(({ call }) => call)];
    return [...new Set(all.map(({ className }) => className))].map((className) => ({
      className,
      inFlight: [...running.values()].filter((call) => call.className === className).length,
      waiting: [...waiting.values()].filter(({ call }) => call.className === className).length,
    }));
  };

  const nextTickAt = (): number | undefined =>
    waiting.size === 0
      ? undefined
      : Math.min(...[...waiting.values()].map(({ waitsUntil }) => waitsUntil));

  return {
    commands: { request, finish: release, cancel: release, tick: fill, setLimit, leave },
    queries: {
      limit: () => limit,
      inFlight: () => running.size,
      waiting: () => waiting.size,
      load: () => ({ inFlight: running.size, limit, waiting: waiting.size }),
      classes,
      nextTickAt,
    },
  };
};
