/**
 * Plays the load of a deployment in virtual time over the decisions that it passes through: the
 * throttle of the node that accepts a call, the admission beside each endpoint, and the figures about
 * nested calls that return with responses. Links, processor time and configuration play no part.
 */
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import {
  createAdmission,
  type Admission,
  type AdmissionEffect,
} from '../../src/core/calls/admission.js';
import {
  isNestedCallDelayed,
  nestedMaxWaitMs,
  nestedWaitShare,
  wholeCallMaxWaitMs,
} from '../../src/core/calls/nestedCalls.js';
import { createNestedShortages } from '../../src/core/calls/nestedShortage.js';
import { createOverloadThrottle } from '../../src/core/calls/overloadThrottle.js';

export interface LoadClass {
  readonly name: string;
  readonly service: string;
  readonly perSecond: number;
  readonly workMs: number;
  readonly targetMs: number;
  readonly deadlineMs: number;
  readonly importance: number;
  readonly nested?: {
    readonly name: string;
    readonly service: string;
    readonly count: number;
    readonly isParallel: boolean;
    /** Importance of the class of the nested call, which counts without `wholeCall`. */
    readonly importance: number;
  };
}

export interface WholeCallLoad {
  readonly seed: number;
  readonly seconds: number;
  /** Calls that start before are not counted. */
  readonly countedFromMs: number;
  readonly wholeCall: boolean;
  readonly slots: number;
  /** Endpoints by service; a node runs beside each. */
  readonly endpoints: Readonly<Record<string, number>>;
  readonly classes: readonly LoadClass[];
  /** Share of the endpoints that is 2.5 times slower for some hundred ms at a time. */
  readonly slowShare?: number;
  /** Share of a service's endpoints in use, at a time in ms. */
  readonly availableShare?: (service: string, now: number) => number;
  /** A share of the nodes loses what it has learned, as by a restart, at a time in ms. */
  readonly restart?: { readonly at: number; readonly share: number };
  /** Called every 100 ms with the average forwarded share of each class. */
  readonly onProbe?: (now: number, forwarded: Readonly<Record<string, number>>) => void;
}

export interface ClassResult {
  offered: number;
  served: number;
  inTarget: number;
  /** Refused at arrival, in any of the tries of its caller. */
  refusedAtArrival: number;
  /** Runs, and those that failed because a nested call was refused. */
  runs: number;
  starvedRuns: number;
}

export interface LoadResult {
  readonly classes: Readonly<Record<string, ClassResult>>;
  /** Share of the slot time in use, by service. */
  readonly utilization: Readonly<Record<string, number>>;
  /** Runs of all classes that failed for a refused nested call, as a share of all runs. */
  readonly starvedShare: number;
}

const nestedProbability = 0.7;
const nestedWorkMs = 54;
const nestedTargetMs = 211;
const nestedDeadlineMs = 634;
const hopMs = 1;
/** Longest work, as a multiple of the mean: without a limit, some exceeds the deadline alone. */
const maxWorkFactor = 4;
const slowFactor = 2.5;
const slowMs = 400;
const loadReportMs = 50;
const probeMs = 100;
/** Calls that start later may not have ended at the end of the run. */
const uncountedTailMs = 3_000;
const maxTries = 2;
const maxReroutes = 2;
const failureRetryMs = 50;
const refusalRetryMs = 500;

/** As derived by the policy of a class without `may_wait`. */
const maxWaitOf = ({ targetMs, workMs }: { targetMs: number; workMs: number }) =>
  Math.floor((targetMs - workMs) / 2);

interface Event {
  readonly dueAt: number;
  readonly run: () => void;
}

const createEventQueue = () => {
  const heap: Event[] = [];
  const swap = (a: number, b: number) => {
    const kept = heap[a]!;
    heap[a] = heap[b]!;
    heap[b] = kept;
  };
  const parentOf = (index: number) => Math.floor((index - 1) / 2);
  const isBefore = (a: number, b: number) => (heap[a]?.dueAt ?? Infinity) < heap[b]!.dueAt;
  const push = (event: Event) => {
    heap.push(event);
    let index = heap.length - 1;
    while (index > 0 && isBefore(index, parentOf(index))) {
      swap(index, parentOf(index));
      index = parentOf(index);
    }
  };
  const earliestChild = (index: number) =>
    isBefore(2 * index + 2, Math.min(2 * index + 1, heap.length - 1))
      ? 2 * index + 2
      : 2 * index + 1;
  const pop = (): Event => {
    const first = heap[0]!;
    const last = heap.pop()!;
    if (heap.length === 0) {
      return first;
    }
    heap[0] = last;
    let index = 0;
    while (isBefore(earliestChild(index), index)) {
      const child = earliestChild(index);
      swap(index, child);
      index = child;
    }
    return first;
  };
  return { push, pop };
};

type AdmissionParameters = Parameters<Admission['commands']['request']>[0];

interface SimulatedEndpoint {
  readonly service: string;
  readonly index: number;
  readonly admission: Admission;
  readonly shortages: ReturnType<typeof createNestedShortages>;
  knownLoad: number;
  slowUntil: number;
  /** Slots in use, summed over the load reports that are counted. */
  busySlots: number;
  request(call: AdmissionParameters, decide: (isAdmitted: boolean) => void): void;
  finish(id: string, latencyMs: number): void;
}

/** Runs the load to its end and returns the counts. */
export const playWholeCallLoad = (load: WholeCallLoad): LoadResult => {
  const { wholeCall, slots } = load;
  const generator = xoroshiro128plus(load.seed);
  const random = () => unsafeUniformIntDistribution(0, 2 ** 30 - 1, generator) / 2 ** 30;
  const exponential = (mean: number) => -Math.log(1 - random()) * mean;
  const events = createEventQueue();
  let now = 0;
  let lastId = 0;
  const schedule = (delayMs: number, run: () => void) => events.push({ dueAt: now + delayMs, run });
  const endAt = load.seconds * 1_000;
  const isCounted = (at: number) => at >= load.countedFromMs && at < endAt - uncountedTailMs;

  const createEndpoint = (service: string, index: number): SimulatedEndpoint => {
    const admission = createAdmission({ slots, isAdaptive: false, wholeCall });
    const decisions = new Map<string, (isAdmitted: boolean) => void>();
    const apply = (effects: readonly AdmissionEffect[]) =>
      effects.forEach((effect) => {
        if (effect.type === 'waiting') {
          return;
        }
        const decide = decisions.get(effect.id);
        decisions.delete(effect.id);
        decide?.(effect.type === 'admitted');
      });
    const tick = () => {
      apply(admission.commands.tick(now));
      schedule(5, tick);
    };
    schedule(5 * random(), tick);
    const endpoint: SimulatedEndpoint = {
      service,
      index,
      admission,
      shortages: createNestedShortages(),
      knownLoad: 0,
      slowUntil: 0,
      busySlots: 0,
      request: (call, decide) => {
        decisions.set(call.id, decide);
        apply(admission.commands.request(call, now));
      },
      finish: (id, latencyMs) => {
        apply(admission.commands.finish(id, now, { outcome: 'ok', latencyMs }));
      },
    };
    return endpoint;
  };

  const services = Object.fromEntries(
    Object.entries(load.endpoints).map(([service, count]) => [
      service,
      Array.from({ length: count }, (_, index) => createEndpoint(service, index)),
    ]),
  );
  const endpoints = Object.values(services).flat();
  const throttles = endpoints.map(() => createOverloadThrottle({ wholeCall }));

  const { restart } = load;
  if (restart) {
    schedule(restart.at, () =>
      throttles.forEach((_throttle, index) => {
        if (index < restart.share * throttles.length) {
          throttles[index] = createOverloadThrottle({ wholeCall });
        }
      }),
    );
  }

  const loadOf = ({ admission }: SimulatedEndpoint) =>
    admission.queries.inFlight() + admission.queries.waiting();

  const updateKnownLoads = () => {
    endpoints.forEach((endpoint) => {
      endpoint.knownLoad = loadOf(endpoint);
      endpoint.busySlots += isCounted(now) ? endpoint.admission.queries.inFlight() : 0;
      const slowPerStep = ((load.slowShare ?? 0) * loadReportMs) / slowMs;
      if (endpoint.slowUntil <= now && random() < slowPerStep) {
        endpoint.slowUntil = now + slowMs;
      }
    });
    schedule(loadReportMs, updateKnownLoads);
  };
  updateKnownLoads();
  const countedReports = (endAt - uncountedTailMs - load.countedFromMs) / loadReportMs;

  /** The less loaded of two endpoints, as far as their loads are known. */
  const chooseEndpoint = (service: string, excluded?: SimulatedEndpoint): SimulatedEndpoint => {
    const all = services[service]!;
    const count = Math.max(1, Math.round(all.length * (load.availableShare?.(service, now) ?? 1)));
    const choose = () => {
      const index = Math.floor(random() * count);
      return all[index] === excluded && count > 1 ? all[(index + 1) % count]! : all[index]!;
    };
    const [a, b] = [choose(), choose()];
    const chosen = a.knownLoad <= b.knownLoad ? a : b;
    chosen.knownLoad += 0.5;
    return chosen;
  };

  const durationOf = (workMs: number, endpoint: SimulatedEndpoint) =>
    Math.min(maxWorkFactor * workMs, (exponential(workMs) + exponential(workMs)) / 2) *
    (endpoint.slowUntil > now ? slowFactor : 1);

  const results: Record<string, ClassResult> = Object.fromEntries(
    load.classes.map(({ name }) => [
      name,
      { offered: 0, served: 0, inTarget: 0, refusedAtArrival: 0, runs: 0, starvedRuns: 0 },
    ]),
  );

  interface Attempt {
    readonly call: Omit<AdmissionParameters, 'id' | 'maxWaitMs'>;
    readonly service: string;
    readonly maxWaitMs: number;
    readonly sentAt: number;
  }

  /** Sends a call, and to other endpoints if it is refused. */
  const send = (
    { call, service, maxWaitMs, sentAt }: Attempt,
    onDecision: (endpoint: SimulatedEndpoint | undefined, id: string) => void,
    reroutes = 0,
    excluded?: SimulatedEndpoint,
  ) => {
    const endpoint = chooseEndpoint(service, excluded);
    schedule(hopMs, () => {
      lastId += 1;
      const id = `${lastId}`;
      const leftMs = Math.max(0, maxWaitMs - (now - sentAt));
      endpoint.request({ ...call, id, maxWaitMs: leftMs }, (isAdmitted) => {
        if (isAdmitted) {
          onDecision(endpoint, id);
        } else if (reroutes < maxReroutes && leftMs > 0) {
          send({ call, service, maxWaitMs, sentAt }, onDecision, reroutes + 1, endpoint);
        } else {
          schedule(hopMs, () => onDecision(undefined, id));
        }
      });
    });
  };

  const startNested = (
    parentClass: LoadClass,
    parent: SimulatedEndpoint,
    { rank, deadlineAt: parentDeadlineAt }: { rank: number; deadlineAt: number },
    done: (isServed: boolean, isDelayed: boolean) => void,
  ) => {
    const nested = parentClass.nested!;
    const sentAt = now;
    const deadlineAt = Math.min(parentDeadlineAt, now + nestedDeadlineMs);
    const classWaitMs = maxWaitOf({ targetMs: nestedTargetMs, workMs: nestedWorkMs });
    const waitLimit = wholeCall ? wholeCallMaxWaitMs : nestedMaxWaitMs;
    const maxWaitMs = waitLimit(classWaitMs, deadlineAt - now);
    const call = {
      className: nested.name,
      caller: '',
      priority: wholeCall ? parentClass.importance : nested.importance,
      isNested: true,
      rank,
      deadlineAt,
    };
    const record = (waitShare: number, isRefused: boolean) =>
      parent.shortages.commands.recordNested(
        { parentClass: parentClass.name, service: nested.service, waitShare, isRefused },
        now,
      );
    send({ call, service: nested.service, maxWaitMs, sentAt }, (endpoint, id) => {
      if (!endpoint) {
        record(1, true);
        done(false, false);
        return;
      }
      const workMs = durationOf(nestedWorkMs, endpoint);
      schedule(workMs, () => {
        endpoint.finish(id, workMs);
        schedule(hopMs, () => {
          record(nestedWaitShare(now - sentAt - workMs, classWaitMs, deadlineAt - sentAt), false);
          done(true, isNestedCallDelayed(now - sentAt, workMs, classWaitMs));
        });
      });
    });
  };

  /** Runs the nested calls of a call; ends at the first that is refused. */
  const runNested = (
    parentClass: LoadClass,
    parent: SimulatedEndpoint,
    call: { rank: number; deadlineAt: number },
    done: (isServed: boolean, isDelayed: boolean) => void,
  ) => {
    const { count, isParallel } = parentClass.nested!;
    let left = count;
    let isOver = false;
    let hasDelay = false;
    const startNext = () =>
      startNested(parentClass, parent, call, (isServed, isDelayed) => {
        left -= 1;
        hasDelay ||= isDelayed;
        if (isOver) {
          return;
        }
        isOver = !isServed || left === 0;
        if (isOver) {
          done(isServed, hasDelay);
        } else if (!isParallel) {
          startNext();
        }
      });
    Array.from({ length: isParallel ? count : 1 }).forEach(startNext);
  };

  const startCall = (
    loadClass: LoadClass,
    rank: number,
    firstSentAt: number,
    triesLeft: number,
  ) => {
    const { name, service, importance, deadlineMs, targetMs, workMs } = loadClass;
    const result = results[name]!;
    const counted = Number(isCounted(firstSentAt));
    const nodeIndex = Math.floor(random() * endpoints.length);
    const throttle = throttles[nodeIndex]!;
    const own = endpoints[nodeIndex]!;
    const sentAt = now;
    const deadlineAt = now + deadlineMs;
    const retry = (delayMs: number) => {
      if (triesLeft > 1) {
        schedule(delayMs, () => startCall(loadClass, rank, firstSentAt, triesLeft - 1));
      }
    };
    const throttled = { className: name, service, caller: '', rank, priority: importance };
    const hasFreeSlot =
      own.service === service &&
      own.admission.queries.waiting() === 0 &&
      own.admission.queries.inFlight() < slots;
    result.offered += triesLeft === maxTries ? counted : 0;
    if (!throttle.commands.admit(throttled, now, hasFreeSlot)) {
      result.refusedAtArrival += counted;
      const delayMs = throttle.queries.shortageOf(throttled, now)?.retryAfterMs ?? 0;
      retry(Math.max(refusalRetryMs, delayMs) * (0.5 + random()));
      return;
    }
    const call = {
      className: name,
      caller: '',
      priority: importance,
      rank,
      deadlineAt,
      targetAt: now + targetMs,
    };
    send({ call, service, maxWaitMs: maxWaitOf(loadClass), sentAt }, (endpoint, id) => {
      if (!endpoint) {
        throttle.commands.recordSent(throttled, 'refused', now);
        retry(refusalRetryMs * (0.5 + random()));
        return;
      }
      const admittedAt = now;
      result.runs += counted;
      endpoint.shortages.commands.recordRun(name, now);
      const end = (isServed: boolean, isDelayed: boolean) => {
        endpoint.finish(id, now - admittedAt);
        const shortage = endpoint.shortages.queries.scarcest(name, now);
        result.starvedRuns += isServed ? 0 : counted;
        schedule(hopMs, () => {
          const isStarved = !isServed || isDelayed;
          throttle.commands.recordSent(throttled, isStarved ? 'starved' : 'admitted', now);
          throttle.commands.recordShortage(throttled, shortage, now);
          if (!isServed) {
            retry(failureRetryMs);
          }
          const isInTime = isServed && now - firstSentAt <= deadlineMs;
          result.served += isInTime ? counted : 0;
          result.inTarget += isServed && now - firstSentAt <= targetMs ? counted : 0;
        });
      };
      const halfMs = durationOf(workMs, endpoint) / 2;
      const finishWork = (isServed: boolean, isDelayed: boolean) =>
        isServed ? schedule(halfMs, () => end(true, isDelayed)) : end(false, isDelayed);
      schedule(halfMs, () =>
        loadClass.nested && random() < nestedProbability
          ? runNested(loadClass, endpoint, { rank, deadlineAt }, finishWork)
          : finishWork(true, false),
      );
    });
  };

  const scheduleArrivals = (loadClass: LoadClass) => {
    startCall(loadClass, random(), now, maxTries);
    schedule(exponential(1_000 / loadClass.perSecond), () => scheduleArrivals(loadClass));
  };
  load.classes.forEach((loadClass) =>
    schedule(exponential(1_000 / loadClass.perSecond), () => scheduleArrivals(loadClass)),
  );

  const probe = () => {
    load.onProbe?.(
      now,
      Object.fromEntries(
        load.classes.map(({ name, service, importance }) => {
          const group = { className: name, service, priority: importance };
          const shares = throttles.map(({ queries }) => queries.forwardedShare(group, now));
          return [name, shares.reduce((sum, share) => sum + share, 0) / shares.length];
        }),
      ),
    );
    schedule(probeMs, probe);
  };
  probe();

  while (now < endAt) {
    const event = events.pop();
    now = event.dueAt;
    event.run();
  }
  const sum = (of: (result: ClassResult) => number) =>
    Object.values(results).reduce((total, result) => total + of(result), 0);
  return {
    classes: results,
    utilization: Object.fromEntries(
      Object.entries(services).map(([service, all]) => [
        service,
        all.reduce((total, { busySlots }) => total + busySlots, 0) /
          (all.length * slots * countedReports),
      ]),
    ),
    starvedShare: sum(({ starvedRuns }) => starvedRuns) / sum(({ runs }) => runs),
  };
};
