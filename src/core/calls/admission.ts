/**
 * Admission of calls to the slots of one endpoint, decided by the node beside it. A call is
 * admitted, waits, or is refused before it runs. Free slots go to the classes in proportion to
 * their importance, measured in slot time. Every command returns the effects that its user has to
 * carry out; `admitted` and `refused` may concern other calls, which waited.
 */
import { createAdaptiveLimit } from './adaptiveLimit.js';
import { createClassQueue, type ClassQueue } from './classQueue.js';
import type { EndpointLoad } from './endpointTracker.js';
import { headroomFor, type ClassUsage } from './headroom.js';

export interface AdmissionCall {
  /** Unique among the calls that run or wait. */
  readonly id: string;
  readonly className: string;
  /** Who sent the call, for turns within a class. */
  readonly caller: string;
  /** Importance from 1 to 100. */
  readonly priority: number;
  /**
   * Place among the waiting calls of its class and caller: the highest goes first. A call and those
   * that an upstream makes for it share their rank, so that under overload all gates serve the same
   * ones instead of starting more than can be finished.
   */
  readonly rank?: number;
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

/**
 * How an admitted call ended. `overloaded` means that the upstream itself had no slot, `refused`
 * that it did not run the call for another reason.
 */
export interface FinishOutcome {
  readonly outcome: 'ok' | 'failed' | 'overloaded' | 'refused' | 'cancelled';
  /** Time that the call occupied its slot, in ms. */
  readonly latencyMs: number;
}

export interface AdmissionOptions {
  /** Slots that the upstream reported. */
  readonly slots: number;
  /** Most calls that wait at a time. */
  readonly maxWaiting?: number;
  /** Whether the limit shrinks below the slots when they turn out to be wrong. Default: true. */
  readonly isAdaptive?: boolean;
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
    setSlots(slots: number, now: number): AdmissionEffect[];
    /** Refuses all waiting and all later calls with `leaving`; admitted calls finish. */
    leave(now: number): AdmissionEffect[];
  };
  readonly queries: {
    limit(): number;
    inFlight(): number;
    waiting(): number;
    load(): EndpointLoad;
    /** Time in which the waiting calls of a class are expected to be started, in ms. */
    backlogMs(className: string): number;
    classes(): readonly ClassCounts[];
    /** Time at which `tick` has something to do next. */
    nextTickAt(): number | undefined;
  };
}

type MutableUse = { -readonly [Key in keyof ClassUsage]: ClassUsage[Key] };

interface ClassState extends MutableUse {
  readonly className: string;
  readonly line: ClassQueue;
  /** Slot time used per weight while calls wait: the class with the lowest is next. */
  usedShare: number;
}

interface RunningCall {
  readonly state: ClassState;
  readonly startedAt: number;
  /** Slot time charged in advance; 0 if no call waited when this one was admitted. */
  readonly chargedMs: number;
}

const defaultMaxWaiting = 1_000;
const usualWeight = 0.1;
/** Weight of the calls in flight or waiting at one arrival in their average. */
const wantedWeight = 0.02;
/** Slot time charged to a class before its first call has ended, in ms. */
const unknownSlotMs = 10;
/** Least slot time charged, so that classes with very short calls still take turns. */
const minSlotMs = 1;
/** Each refusal for the deadline lowers the estimate, so that a wrong one does not persist. */
const refusalDecay = 0.95;
/** Classes without calls are forgotten after this time, in ms. */
const idleClassMs = 60_000;
/** Slots that were kept free for a class which no longer calls are given out after this, in ms. */
const recheckMs = 1_000;

/** Creates the admission of one endpoint. */
export const createAdmission = ({
  slots,
  maxWaiting = defaultMaxWaiting,
  isAdaptive = true,
}: AdmissionOptions): Admission => {
  const adaptive = createAdaptiveLimit(slots);
  const states = new Map<string, ClassState>();
  const running = new Map<string, RunningCall>();
  const waitingClass = new Map<string, ClassState>();
  /** Average time that a call occupies its slot, over all classes. */
  let workMs: number | undefined;
  let isLeaving = false;
  let earliestEnd = Infinity;
  /** When calls that leave free slots to other classes are looked at again. */
  let recheckAt = Infinity;
  /** `usedShare` of the class that was served last: where a class that starts to wait joins. */
  let servedShare = 0;

  const limit = (): number => adaptive.queries.limit();

  const backlogged = (): ClassState[] =>
    [...states.values()].filter(({ line }) => line.queries.size() > 0);

  const forgetIdle = (now: number): void =>
    states.forEach(({ className, inFlight, line, usedAt }) => {
      if (inFlight === 0 && line.queries.size() === 0 && now - usedAt > idleClassMs) {
        states.delete(className);
      }
    });

  const createState = (className: string, now: number): ClassState => {
    forgetIdle(now);
    return {
      className,
      line: createClassQueue(),
      weight: 1,
      inFlight: 0,
      usedShare: servedShare,
      usualInFlight: 0,
      usualMs: undefined,
      maxWaitMs: 0,
      usedAt: now,
    };
  };

  const stateOf = (call: AdmissionCall, now: number): ClassState => {
    const state = states.get(call.className) ?? createState(call.className, now);
    states.set(call.className, state);
    const wanted = state.inFlight + state.line.queries.size();
    return Object.assign(state, {
      weight: Math.max(1, call.priority),
      maxWaitMs: call.maxWaitMs,
      usualInFlight: state.usualInFlight + wantedWeight * (wanted - state.usualInFlight),
      usedAt: now,
    });
  };

  const refuse = (id: string, reason: AdmissionRefusal): AdmissionEffect => {
    waitingClass.delete(id);
    return { type: 'refused', id, reason };
  };

  const admit = (
    state: ClassState,
    id: string,
    chargedMs: number,
    startedAt: number,
  ): AdmissionEffect => {
    waitingClass.delete(id);
    state.inFlight += 1;
    state.usedShare += chargedMs / state.weight;
    running.set(id, { state, startedAt, chargedMs });
    return { type: 'admitted', id };
  };

  const cannotMeet = (state: ClassState, { deadlineAt }: AdmissionCall, now: number): boolean =>
    now >= deadlineAt || (running.size > 0 && now + (state.usualMs ?? 0) > deadlineAt);

  const refuseForDeadline = (state: ClassState, id: string): AdmissionEffect => {
    state.usualMs = state.usualMs === undefined ? undefined : state.usualMs * refusalDecay;
    return refuse(id, 'deadline_past');
  };

  const expire = (now: number): AdmissionEffect[] => {
    if (now < earliestEnd) {
      return [];
    }
    const effects = backlogged().flatMap(({ line }) =>
      line.commands
        .takeExpired(now)
        .map(({ call }) =>
          refuse(call.id, call.deadlineAt <= now ? 'deadline_past' : 'overloaded'),
        ),
    );
    earliestEnd = Math.min(
      Infinity,
      ...backlogged().map(({ line }) => line.queries.earliestExpiry()),
    );
    return effects;
  };

  const canStart = (state: ClassState, now: number): boolean => {
    const free = limit() - running.size;
    return free > 0 && free > headroomFor(state, [...states.values()], limit(), now);
  };

  const nextClass = (now: number): ClassState | undefined =>
    waitingClass.size === 0 || running.size >= limit()
      ? undefined
      : backlogged()
          .sort((a, b) => a.usedShare - b.usedShare || b.weight - a.weight)
          .find((state) => canStart(state, now));

  const fill = (now: number): AdmissionEffect[] => {
    const effects = expire(now);
    let state = nextClass(now);
    while (state) {
      const waiting = state.line.commands.shift();
      if (waiting) {
        const { call } = waiting;
        servedShare = Math.max(servedShare, state.usedShare);
        effects.push(
          cannotMeet(state, call, now)
            ? refuseForDeadline(state, call.id)
            : admit(state, call.id, Math.max(minSlotMs, state.usualMs ?? unknownSlotMs), now),
        );
      }
      state = nextClass(now);
    }
    recheckAt = waitingClass.size > 0 && running.size < limit() ? now + recheckMs : Infinity;
    return effects;
  };

  /** Slots that a class with waiting calls gets in the long run, for the estimate of its wait. */
  const expectedSlots = (state: ClassState): number => {
    const others = [...states.values()].filter((other) => other !== state);
    const isWaiting = ({ line }: ClassState) => line.queries.size() > 0;
    const busyElsewhere = others
      .filter((other) => !isWaiting(other))
      .reduce((sum, { inFlight }) => sum + inFlight, 0);
    const otherWeights = others.filter(isWaiting).reduce((sum, { weight }) => sum + weight, 0);
    const shared = Math.max(1, limit() - busyElsewhere);
    return (shared * state.weight) / (state.weight + otherWeights);
  };

  const expectedWaitMs = (state: ClassState, call: AdmissionCall): number =>
    ((state.line.queries.callsAhead(call) + 1) * (state.usualMs ?? 0)) / expectedSlots(state);

  const backlogMs = (className: string): number => {
    const state = states.get(className);
    return state ? (state.line.queries.size() * (state.usualMs ?? 0)) / expectedSlots(state) : 0;
  };

  /** The first call of a class may always wait: the estimate must not keep a class out for good. */
  const isWaitTooLong = (state: ClassState, call: AdmissionCall): boolean =>
    state.line.queries.size() > 0 && expectedWaitMs(state, call) > call.maxWaitMs;

  /** Part of the waiting calls that each class keeps when the line is full, by its importance. */
  const keptWaiting = (requester: ClassState): ((state: ClassState) => number) => {
    const sharing = new Set([...backlogged(), requester]);
    const total = [...sharing].reduce((sum, { weight }) => sum + weight, 0);
    return ({ weight }) => Math.max(1, Math.floor((maxWaiting * weight) / total));
  };

  /**
   * Makes room in a full line: the least important class that has more than its part gives way.
   * Without that part, calls of the least important class were dropped before their turn came.
   */
  const shedFor = (state: ClassState, call: AdmissionCall): AdmissionEffect | undefined => {
    const { size, callerQueue: sizeOf, longestCallerQueue: longestOfCallers } = state.line.queries;
    const keptBy = keptWaiting(state);
    const isWithinPart = size() < keptBy(state);
    const least = backlogged()
      .filter((other) => other.line.queries.size() > keptBy(other))
      .sort((a, b) => a.weight - b.weight)[0];
    if (!least || (least.weight > state.weight && !isWithinPart)) {
      return undefined;
    }
    if (least === state && sizeOf(call.caller) + 1 >= longestOfCallers()) {
      return undefined;
    }
    const dropped = least.line.commands.dropLast();
    return dropped && refuse(dropped.call.id, 'overloaded');
  };

  /** Refuses the calls at the end of a line at once that others have pushed back too far. */
  const dropHopeless = (state: ClassState, now: number): AdmissionEffect[] => {
    const { size, last } = state.line.queries;
    const effects: AdmissionEffect[] = [];
    const slotMs = (state.usualMs ?? 0) / expectedSlots(state);
    while (size() > 1 && now + size() * slotMs > (last()?.expiresAt ?? Infinity)) {
      const dropped = state.line.commands.dropLast()!;
      effects.push(refuse(dropped.call.id, 'overloaded'));
    }
    return effects;
  };

  const wait = (state: ClassState, call: AdmissionCall, now: number): AdmissionEffect[] => {
    const effects: AdmissionEffect[] = [];
    if (waitingClass.size >= maxWaiting) {
      const shed = shedFor(state, call);
      if (!shed) {
        return [refuse(call.id, 'overloaded')];
      }
      effects.push(shed);
    }
    if (state.line.queries.size() === 0) {
      // A class that did not wait gathers no credit for the time in which it asked for nothing.
      state.usedShare = Math.max(state.usedShare, servedShare);
    }
    const waitsUntil = Math.min(now + call.maxWaitMs, call.deadlineAt);
    state.line.commands.push({ call, expiresAt: waitsUntil });
    waitingClass.set(call.id, state);
    earliestEnd = Math.min(earliestEnd, waitsUntil);
    return [
      ...effects,
      { type: 'waiting', id: call.id },
      ...dropHopeless(state, now),
      ...fill(now),
    ];
  };

  const request = (call: AdmissionCall, now: number): AdmissionEffect[] => {
    const freed = expire(now);
    const state = stateOf(call, now);
    if (isLeaving) {
      return [...freed, refuse(call.id, 'leaving')];
    }
    if (cannotMeet(state, call, now)) {
      return [...freed, refuseForDeadline(state, call.id)];
    }
    // Whatever waits now cannot start, since it leaves the free slots to more important classes.
    if (state.line.queries.size() === 0 && canStart(state, now)) {
      return [...freed, admit(state, call.id, 0, now)];
    }
    if (call.maxWaitMs <= 0 || isWaitTooLong(state, call)) {
      return [...freed, refuse(call.id, 'overloaded')];
    }
    return [...freed, ...wait(state, call, now)];
  };

  /** Frees the slot of a call and corrects what its class was charged for it. */
  const release = (id: string, now: number): RunningCall | undefined => {
    const call = running.get(id);
    if (call) {
      const { state, startedAt, chargedMs } = call;
      running.delete(id);
      state.inFlight -= 1;
      const usedMs = Math.max(minSlotMs, now - startedAt);
      state.usedShare += chargedMs > 0 ? (usedMs - chargedMs) / state.weight : 0;
    }
    return call;
  };

  const learn = ({ state }: RunningCall, latencyMs: number, now: number): void => {
    const { className, usualMs } = state;
    workMs = workMs === undefined ? latencyMs : workMs + usualWeight * (latencyMs - workMs);
    state.usualMs =
      usualMs === undefined ? latencyMs : usualMs + usualWeight * (latencyMs - usualMs);
    if (isAdaptive) {
      adaptive.commands.record({ className, latencyMs, inFlight: running.size + 1 }, now);
    }
  };

  const finish = (id: string, now: number, end: FinishOutcome): AdmissionEffect[] => {
    const call = release(id, now);
    if (call && end.outcome === 'ok') {
      learn(call, end.latencyMs, now);
    }
    if (isAdaptive && call && end.outcome === 'overloaded') {
      adaptive.commands.recordOverload(running.size + 1, now);
    }
    return fill(now);
  };

  const cancel = (id: string, now: number): AdmissionEffect[] => {
    waitingClass.get(id)?.line.commands.remove(id);
    waitingClass.delete(id);
    release(id, now);
    return fill(now);
  };

  const setLimit = (reported: number, now: number): AdmissionEffect[] => {
    adaptive.commands.setSlots(reported);
    return fill(now);
  };

  const leave = (): AdmissionEffect[] => {
    isLeaving = true;
    const ids = [...waitingClass.keys()];
    ids.forEach((id) => waitingClass.get(id)?.line.commands.remove(id));
    return ids.map((id) => refuse(id, 'leaving'));
  };

  return {
    commands: { request, finish, cancel, tick: fill, setSlots: setLimit, leave },
    queries: {
      limit,
      inFlight: () => running.size,
      waiting: () => waitingClass.size,
      load: () => ({ inFlight: running.size, limit: limit(), waiting: waitingClass.size, workMs }),
      backlogMs,
      classes: () =>
        [...states.values()].map(({ className, inFlight, line }) => ({
          className,
          inFlight,
          waiting: line.queries.size(),
        })),
      nextTickAt: () => (waitingClass.size === 0 ? undefined : Math.min(earliestEnd, recheckAt)),
    },
  };
};
