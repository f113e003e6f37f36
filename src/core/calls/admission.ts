/**
 * Admission control for the slots of one endpoint, run by the node beside it. A call is admitted,
 * queued, or refused before it runs. Free slots are shared between the classes by weighted fair
 * queueing: each class gets slot time in proportion to its importance. Every command returns the
 * effects that the user of this module has to carry out; `admitted` and `refused` may concern other
 * calls, which were queued.
 */
import { createAdaptiveLimit } from './adaptiveLimit.js';
import { createClassQueue, type ClassQueue } from './classQueue.js';
import type { EndpointLoad } from './endpointTracker.js';
import { headroomFor, type ClassUsage } from './headroom.js';

export interface AdmissionCall {
  /** Unique among the running and queued calls. */
  readonly id: string;
  readonly className: string;
  /** Sender of the call; the callers of a class are served round-robin. */
  readonly caller: string;
  /** Importance from 1 to 100. */
  readonly priority: number;
  /**
   * Position among the queued calls of its class and caller: the highest rank is served first. A
   * call and the nested calls that an upstream makes for it have the same rank. So under overload
   * the admission controls of all services favour the same calls, instead of starting more of them
   * than can be finished.
   */
  readonly rank?: number;
  /** An upstream made the call for a call that holds a slot elsewhere; see `wholeCall`. */
  readonly isNested?: boolean;
  /** Maximum time in queue, in ms. */
  readonly maxWaitMs: number;
  /** Time after which a response is of no use, on the same clock as `now`. */
  readonly deadlineAt: number;
  /** Time until which a response is on target, on the same clock. Default: no such limit. */
  readonly targetAt?: number;
}

export type AdmissionRefusal = 'overloaded' | 'deadline_past' | 'leaving';

export type AdmissionEffect =
  | { readonly type: 'admitted'; readonly id: string }
  | { readonly type: 'waiting'; readonly id: string }
  | { readonly type: 'refused'; readonly id: string; readonly reason: AdmissionRefusal };

/**
 * How an admitted call ended. `overloaded`: the upstream itself had no free slot. `refused`: the
 * upstream did not run the call for another reason.
 */
export interface FinishOutcome {
  readonly outcome: 'ok' | 'failed' | 'overloaded' | 'refused' | 'cancelled';
  /** Time for which the call occupied its slot, in ms. */
  readonly latencyMs: number;
}

export interface AdmissionOptions {
  /** Slots that the upstream reported. */
  readonly slots: number;
  /** Maximum number of queued calls. */
  readonly maxWaiting?: number;
  /** Whether the limit shrinks when the reported number of slots is too high. Default: true. */
  readonly isAdaptive?: boolean;
  /**
   * Whether nested calls are queued by the importance of their whole call and before first-level
   * calls of the same or lower importance. Default: false, all calls are queued by their class.
   */
  readonly wholeCall?: boolean;
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
    /** Removes a queued call, or frees the slot of an admitted one. */
    cancel(id: string, now: number): AdmissionEffect[];
    /** Refuses expired calls from the queue and admits others to free slots. */
    tick(now: number): AdmissionEffect[];
    /** Sets the number of slots that the upstream reports. */
    setSlots(slots: number, now: number): AdmissionEffect[];
    /** Refuses all queued and all later calls with `leaving`; admitted calls finish. */
    leave(now: number): AdmissionEffect[];
  };
  readonly queries: {
    limit(): number;
    inFlight(): number;
    waiting(): number;
    load(): EndpointLoad;
    /** Expected time until all queued calls of a class have started, in ms. */
    backlogMs(className: string, call?: Pick<AdmissionCall, 'isNested' | 'priority'>): number;
    classes(): readonly ClassCounts[];
    /** Time at which `tick` is due next. */
    nextTickAt(): number | undefined;
  };
}

type MutableUsage = { -readonly [Key in keyof ClassUsage]: ClassUsage[Key] };

interface ClassState extends MutableUsage {
  readonly className: string;
  /** The state of all nested calls of one importance, which come before first-level calls. */
  readonly isNested: boolean;
  /** Turns of the class that nested calls have taken since its last own one. */
  lentTurns: number;
  readonly waitQueue: ClassQueue;
  /**
   * Slot time used per unit of weight while calls are queued. The class with the lowest value is
   * served next.
   */
  virtualTime: number;
}

interface RunningCall {
  readonly state: ClassState;
  /** Class in whose turn the call was served, and which is charged for it. */
  readonly chargedTo: ClassState;
  readonly className: string;
  readonly startedAt: number;
  /** Slot time charged in advance; 0 if the call did not wait in the queue. */
  readonly chargedMs: number;
}

const defaultMaxWaiting = 1_000;
const averageWeight = 0.1;
/**
 * Average slot times that a call leaves between its start and its target. With one, half of the
 * calls that waited to the limit were late, and took the slots of calls that were still on time.
 */
const slotTimesBeforeTarget = 2;
/** Share of its maximum wait that a call may use in any case, since slot times vary. */
const minWaitShare = 0.3;
/** Weight of one sample in the average demand, which is sampled at each arrival. */
const demandWeight = 0.02;
/** Slot time charged to a class until its first call has ended, in ms. */
const defaultSlotMs = 10;
/** Minimum slot time charged, in ms, so that classes with very short calls take turns too. */
const minSlotMs = 1;
/**
 * Factor for the estimated slot time after each refusal for the deadline. Without this decay, an
 * estimate that is too high would have calls refused for ever.
 */
const refusalDecay = 0.95;
/** Classes without calls are removed after this time, in ms. */
const idleClassMs = 60_000;
/**
 * Interval at which free slots are offered again while calls are queued, in ms. A slot reserved for
 * a class that has stopped sending calls becomes available this way.
 */
const recheckMs = 1_000;
/**
 * One in this number of the turns of a class is not taken by nested calls, so that they cannot
 * starve it if they alone exceed the slots.
 */
const turnsPerOwnTurn = 4;
const lentShare = 1 - 1 / turnsPerOwnTurn;

/** Key of the state that a call belongs to. Names of classes contain no spaces. */
const nestedKey = (priority: number): string => `nested ${Math.max(1, priority)}`;

/** Creates the admission control of one endpoint. */
export const createAdmission = ({
  slots,
  maxWaiting = defaultMaxWaiting,
  isAdaptive = true,
  wholeCall = false,
}: AdmissionOptions): Admission => {
  const adaptive = createAdaptiveLimit(slots);
  const states = new Map<string, ClassState>();
  const running = new Map<string, RunningCall>();
  const waitingClass = new Map<string, ClassState>();
  /** Average time for which a call occupies its slot, over all classes, in ms. */
  let workMs: number | undefined;
  let isLeaving = false;
  let earliestExpiry = Infinity;
  /** Next time at which queued calls are checked against slots reserved for other classes. */
  let recheckAt = Infinity;
  /** Highest `virtualTime` of a class when it was served; a class that starts to queue gets it. */
  let servedVirtualTime = 0;

  const limit = (): number => adaptive.queries.limit();

  const backloggedClasses = (): ClassState[] =>
    [...states.values()].filter(({ waitQueue }) => waitQueue.queries.size() > 0);

  const removeIdle = (now: number): void =>
    states.forEach(({ className, inFlight, waitQueue, lastCallAt }) => {
      if (inFlight === 0 && waitQueue.queries.size() === 0 && now - lastCallAt > idleClassMs) {
        states.delete(className);
      }
    });

  const keyOf = ({
    className,
    isNested = false,
    priority,
  }: Pick<AdmissionCall, 'className' | 'isNested' | 'priority'>): string =>
    wholeCall && isNested ? nestedKey(priority) : className;

  const createState = (className: string, isNested: boolean, now: number): ClassState => {
    removeIdle(now);
    return {
      className,
      isNested,
      lentTurns: 0,
      // Rank decides at arrival already which whole calls run. In order of arrival, a nested call of
      // low rank does not wait until it expires while its parent holds a slot.
      waitQueue: createClassQueue({ isByArrival: isNested }),
      weight: 1,
      inFlight: 0,
      virtualTime: servedVirtualTime,
      averageDemand: 0,
      averageSlotMs: undefined,
      maxWaitMs: 0,
      lastCallAt: now,
    };
  };

  const stateOf = (call: AdmissionCall, now: number): ClassState => {
    const key = keyOf(call);
    const state = states.get(key) ?? createState(key, wholeCall && call.isNested === true, now);
    states.set(key, state);
    const demand = state.inFlight + state.waitQueue.queries.size();
    return Object.assign(state, {
      weight: Math.max(1, call.priority),
      maxWaitMs: call.maxWaitMs,
      averageDemand: state.averageDemand + demandWeight * (demand - state.averageDemand),
      lastCallAt: now,
    });
  };

  const refuse = (id: string, reason: AdmissionRefusal): AdmissionEffect => {
    waitingClass.delete(id);
    return { type: 'refused', id, reason };
  };

  const admit = (
    state: ClassState,
    { id, className }: AdmissionCall,
    chargedMs: number,
    startedAt: number,
    chargedTo = state,
  ): AdmissionEffect => {
    waitingClass.delete(id);
    state.inFlight += 1;
    chargedTo.virtualTime += chargedMs / chargedTo.weight;
    running.set(id, { state, chargedTo, className, startedAt, chargedMs });
    return { type: 'admitted', id };
  };

  const missesDeadline = (state: ClassState, { deadlineAt }: AdmissionCall, now: number): boolean =>
    now >= deadlineAt || (running.size > 0 && now + (state.averageSlotMs ?? 0) > deadlineAt);

  const refuseForDeadline = (state: ClassState, id: string): AdmissionEffect => {
    state.averageSlotMs =
      state.averageSlotMs === undefined ? undefined : state.averageSlotMs * refusalDecay;
    return refuse(id, 'deadline_past');
  };

  const expire = (now: number): AdmissionEffect[] => {
    if (now < earliestExpiry) {
      return [];
    }
    const effects = backloggedClasses().flatMap(({ waitQueue }) =>
      waitQueue.commands
        .takeExpired(now)
        .map(({ call }) =>
          refuse(call.id, call.deadlineAt <= now ? 'deadline_past' : 'overloaded'),
        ),
    );
    earliestExpiry = Math.min(
      Infinity,
      ...backloggedClasses().map(({ waitQueue }) => waitQueue.queries.earliestExpiry()),
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
      : backloggedClasses()
          .sort((a, b) => a.virtualTime - b.virtualTime || b.weight - a.weight)
          .find((state) => canStart(state, now));

  /** The nested calls that a turn of a class is lent to, if any. */
  const borrowerOf = (owner: ClassState, now: number): ClassState | undefined =>
    !wholeCall || owner.isNested || owner.lentTurns >= turnsPerOwnTurn - 1
      ? undefined
      : backloggedClasses()
          .filter(({ isNested, weight }) => isNested && weight >= owner.weight)
          .sort((a, b) => b.weight - a.weight || a.virtualTime - b.virtualTime)
          .find((state) => canStart(state, now));

  const dispatch = (now: number): AdmissionEffect[] => {
    const effects = expire(now);
    let owner = nextClass(now);
    while (owner) {
      const borrower = borrowerOf(owner, now);
      const state = borrower ?? owner;
      owner.lentTurns = borrower ? owner.lentTurns + 1 : 0;
      const waiting = state.waitQueue.commands.shift();
      if (waiting) {
        const { call } = waiting;
        servedVirtualTime = Math.max(servedVirtualTime, owner.virtualTime);
        const chargedMs = Math.max(minSlotMs, state.averageSlotMs ?? defaultSlotMs);
        effects.push(
          missesDeadline(state, call, now)
            ? refuseForDeadline(state, call.id)
            : admit(state, call, chargedMs, now, owner),
        );
      }
      owner = nextClass(now);
    }
    recheckAt = waitingClass.size > 0 && running.size < limit() ? now + recheckMs : Infinity;
    return effects;
  };

  /** Weight of the turns that a class gets, with those that it lends or borrows. */
  const turnWeight = (state: ClassState): number => {
    if (!wholeCall) {
      return state.weight;
    }
    const queued = backloggedClasses();
    if (!state.isNested) {
      const lends = queued.some(({ isNested, weight }) => isNested && weight >= state.weight);
      return lends ? state.weight * (1 - lentShare) : state.weight;
    }
    const lenders = queued.filter(({ isNested, weight }) => !isNested && weight <= state.weight);
    return lenders.reduce((sum, { weight }) => sum + lentShare * weight, state.weight);
  };

  /** Long-term share of slots of a class with queued calls, for the estimate of its wait. */
  const expectedSlots = (state: ClassState): number => {
    const others = [...states.values()].filter((other) => other !== state);
    const isWaiting = ({ waitQueue }: ClassState) => waitQueue.queries.size() > 0;
    const busyElsewhere = others
      .filter((other) => !isWaiting(other))
      .reduce((sum, { inFlight }) => sum + inFlight, 0);
    const otherWeights = others
      .filter(isWaiting)
      .reduce((sum, other) => sum + turnWeight(other), 0);
    const shared = Math.max(1, limit() - busyElsewhere);
    const weight = turnWeight(state);
    const expected = (shared * weight) / (weight + otherWeights);
    // More important classes often leave a part of their share, and an estimate that is too low
    // costs the slot time of a parent.
    return state.isNested ? Math.max(expected, state.inFlight) : expected;
  };

  const expectedWaitMs = (state: ClassState, call: AdmissionCall): number =>
    ((state.waitQueue.queries.callsAhead(call) + 1) * (state.averageSlotMs ?? 0)) /
    expectedSlots(state);

  const backlogMs: Admission['queries']['backlogMs'] = (className, call) => {
    const state = states.get(call ? keyOf({ className, ...call }) : className);
    return state
      ? (state.waitQueue.queries.size() * (state.averageSlotMs ?? 0)) / expectedSlots(state)
      : 0;
  };

  /** Longest wait after which the call is expected to end on target. */
  const waitLimitMs = (
    { averageSlotMs = 0 }: ClassState,
    { maxWaitMs, targetAt = Infinity }: AdmissionCall,
    now: number,
  ): number => {
    const onTargetMs = targetAt - now - slotTimesBeforeTarget * averageSlotMs;
    return Math.min(maxWaitMs, Math.max(onTargetMs, minWaitShare * maxWaitMs));
  };

  /** A call may always join an empty queue, or a wrong estimate could starve its class. */
  const isWaitTooLong = (state: ClassState, call: AdmissionCall, now: number): boolean =>
    state.waitQueue.queries.size() > 0 &&
    expectedWaitMs(state, call) > waitLimitMs(state, call, now);

  /** Number of queued calls that each class may keep in a full queue, by its importance. */
  const queueQuotas = (requester: ClassState): ((state: ClassState) => number) => {
    const competing = new Set([...backloggedClasses(), requester]);
    const total = [...competing].reduce((sum, { weight }) => sum + weight, 0);
    return ({ weight }) => Math.max(1, Math.floor((maxWaiting * weight) / total));
  };

  /** Nested calls are not shed for first-level calls of the same or lower importance. */
  const mayShed = (requester: ClassState, victim: ClassState): boolean =>
    !victim.isNested || requester.isNested || requester.weight > victim.weight;

  /**
   * Makes room in a full queue by shedding a call of the least important class that exceeds its
   * quota. Without quotas, calls of the least important class were shed before their turn came.
   */
  const shedFor = (state: ClassState, call: AdmissionCall): AdmissionEffect | undefined => {
    const { size, callerQueue, longestCallerQueue } = state.waitQueue.queries;
    const quotaOf = queueQuotas(state);
    const isWithinQuota = size() < quotaOf(state);
    const victim = backloggedClasses()
      .filter((other) => other.waitQueue.queries.size() > quotaOf(other) && mayShed(state, other))
      .sort((a, b) => a.weight - b.weight || Number(a.isNested) - Number(b.isNested))[0];
    if (!victim || (victim.weight > state.weight && !isWithinQuota)) {
      return undefined;
    }
    if (victim === state && callerQueue(call.caller) + 1 >= longestCallerQueue()) {
      return undefined;
    }
    const shed = victim.waitQueue.commands.dropLast();
    return shed && refuse(shed.call.id, 'overloaded');
  };

  /** Refuses calls at the end of a queue that are not expected to start before they expire. */
  const refuseExpectedTimeouts = (state: ClassState, now: number): AdmissionEffect[] => {
    const { size, last } = state.waitQueue.queries;
    const effects: AdmissionEffect[] = [];
    const slotMs = (state.averageSlotMs ?? 0) / expectedSlots(state);
    while (size() > 1 && now + size() * slotMs > (last()?.expiresAt ?? Infinity)) {
      const shed = state.waitQueue.commands.dropLast()!;
      effects.push(refuse(shed.call.id, 'overloaded'));
    }
    return effects;
  };

  const enqueue = (state: ClassState, call: AdmissionCall, now: number): AdmissionEffect[] => {
    const effects: AdmissionEffect[] = [];
    if (waitingClass.size >= maxWaiting) {
      const shed = shedFor(state, call);
      if (!shed) {
        return [refuse(call.id, 'overloaded')];
      }
      effects.push(shed);
    }
    if (state.waitQueue.queries.size() === 0) {
      // A class accumulates no credit for the time in which it had no queued calls.
      state.virtualTime = Math.max(state.virtualTime, servedVirtualTime);
    }
    const expiresAt = Math.min(now + waitLimitMs(state, call, now), call.deadlineAt);
    state.waitQueue.commands.push({ call, expiresAt });
    waitingClass.set(call.id, state);
    earliestExpiry = Math.min(earliestExpiry, expiresAt);
    return [
      ...effects,
      { type: 'waiting', id: call.id },
      ...refuseExpectedTimeouts(state, now),
      ...dispatch(now),
    ];
  };

  const request = (requested: AdmissionCall, now: number): AdmissionEffect[] => {
    const expired = expire(now);
    const state = stateOf(requested, now);
    // The parents of nested calls hold slots already, so their callers take no turns.
    const call = state.isNested ? { ...requested, caller: '' } : requested;
    if (isLeaving) {
      return [...expired, refuse(call.id, 'leaving')];
    }
    if (missesDeadline(state, call, now)) {
      return [...expired, refuseForDeadline(state, call.id)];
    }
    // If slots are free, the calls in the queue of another class cannot use them: they are reserved
    // for more important classes.
    if (state.waitQueue.queries.size() === 0 && canStart(state, now)) {
      return [...expired, admit(state, call, 0, now)];
    }
    if (call.maxWaitMs <= 0 || isWaitTooLong(state, call, now)) {
      return [...expired, refuse(call.id, 'overloaded')];
    }
    return [...expired, ...enqueue(state, call, now)];
  };

  /** Frees the slot of a call and corrects the slot time that was charged for it. */
  const release = (id: string, now: number): RunningCall | undefined => {
    const call = running.get(id);
    if (call) {
      const { state, chargedTo, startedAt, chargedMs } = call;
      running.delete(id);
      state.inFlight -= 1;
      const usedMs = Math.max(minSlotMs, now - startedAt);
      chargedTo.virtualTime += chargedMs > 0 ? (usedMs - chargedMs) / chargedTo.weight : 0;
    }
    return call;
  };

  const recordLatency = (
    { state, className }: RunningCall,
    latencyMs: number,
    now: number,
  ): void => {
    const { averageSlotMs } = state;
    workMs = workMs === undefined ? latencyMs : workMs + averageWeight * (latencyMs - workMs);
    state.averageSlotMs =
      averageSlotMs === undefined
        ? latencyMs
        : averageSlotMs + averageWeight * (latencyMs - averageSlotMs);
    if (isAdaptive) {
      adaptive.commands.record({ className, latencyMs, inFlight: running.size + 1 }, now);
    }
  };

  const finish = (id: string, now: number, end: FinishOutcome): AdmissionEffect[] => {
    const call = release(id, now);
    if (call && end.outcome === 'ok') {
      recordLatency(call, end.latencyMs, now);
    }
    if (isAdaptive && call && end.outcome === 'overloaded') {
      adaptive.commands.recordOverload(running.size + 1, now);
    }
    return dispatch(now);
  };

  const cancel = (id: string, now: number): AdmissionEffect[] => {
    waitingClass.get(id)?.waitQueue.commands.remove(id);
    waitingClass.delete(id);
    release(id, now);
    return dispatch(now);
  };

  const setSlots = (reported: number, now: number): AdmissionEffect[] => {
    adaptive.commands.setSlots(reported);
    return dispatch(now);
  };

  const leave = (): AdmissionEffect[] => {
    isLeaving = true;
    const ids = [...waitingClass.keys()];
    ids.forEach((id) => waitingClass.get(id)?.waitQueue.commands.remove(id));
    return ids.map((id) => refuse(id, 'leaving'));
  };

  return {
    commands: { request, finish, cancel, tick: dispatch, setSlots, leave },
    queries: {
      limit,
      inFlight: () => running.size,
      waiting: () => waitingClass.size,
      load: () => ({ inFlight: running.size, limit: limit(), waiting: waitingClass.size, workMs }),
      backlogMs,
      classes: () =>
        [...states.values()].map(({ className, inFlight, waitQueue }) => ({
          className,
          inFlight,
          waiting: waitQueue.queries.size(),
        })),
      nextTickAt: () => (waitingClass.size === 0 ? undefined : Math.min(earliestExpiry, recheckAt)),
    },
  };
};
