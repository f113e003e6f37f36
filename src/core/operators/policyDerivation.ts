/**
 * Derives what a proxy does with the calls of a class from the target of the class. The same rules
 * run on every proxy and in the checks of a change, so that only targets have to be distributed.
 */
import type { Configuration, Policy, TrafficClass } from '../../types/public.js';

/** Time to answer of a class that declares none, in ms. */
export const defaultAnswerWithinMs = 30_000;
/** Retries for each first attempt: a failing service sees at most 10% more calls. */
export const retryShare = 0.1;
/** An at-most-once call that is cut may have run, so it gets at least this long, in ms. */
export const minAtMostOnceDeadlineMs = 10_000;
/** An answer that is late, but not by more than this factor, is still delivered. */
export const deadlineFactor = 2;
export const maxAttemptsOfIdempotent = 3;
/** A call that is not idempotent is repeated once, and only if it was not run. */
export const maxAttemptsOfNonIdempotent = 2;

/** Time to answer without waiting for capacity, in ms. */
export const answerMs = ({ answerWithinMs }: TrafficClass): number =>
  answerWithinMs ?? defaultAnswerWithinMs;

export const deadlineMs = (trafficClass: TrafficClass): number => {
  const { answerWithinMs, atMostOnce, mayWaitMs, timeoutMs } = trafficClass;
  if (timeoutMs !== undefined) {
    return timeoutMs;
  }
  const lateMs =
    answerWithinMs === undefined
      ? defaultAnswerWithinMs + mayWaitMs
      : deadlineFactor * answerWithinMs;
  return atMostOnce ? Math.max(lateMs, minAtMostOnceDeadlineMs) : lateMs;
};

/**
 * Longest wait for a slot in ms. A class that declares none may use half of the time that its
 * target leaves beside the work; undeclared work counts as half of the target.
 */
export const maxWaitMs = ({ mayWaitMs, answerWithinMs, workMs }: TrafficClass): number => {
  if (mayWaitMs > 0 || answerWithinMs === undefined) {
    return mayWaitMs;
  }
  return Math.max(0, Math.floor((answerWithinMs - (workMs ?? answerWithinMs / 2)) / 2));
};

/** Time after which an attempt is given up, in ms: late for its target, early enough to retry. */
export const attemptTimeoutMs = (trafficClass: TrafficClass): number => {
  const { idempotent, answerWithinMs, timeoutMs } = trafficClass;
  // A declared timeout says how long an answer is worth waiting for, also by the same endpoint.
  return idempotent && answerWithinMs !== undefined && timeoutMs === undefined
    ? answerWithinMs
    : deadlineMs(trafficClass);
};

/** Hedging halves the effect of one slow endpoint on calls that have to be answered fast. */
export const hedgeAfterMs = ({
  idempotent,
  answerWithinMs,
  mayWaitMs,
}: TrafficClass): number | undefined =>
  idempotent && answerWithinMs !== undefined && mayWaitMs === 0
    ? Math.ceil(answerWithinMs / 2)
    : undefined;

const totalImportance = (classes: readonly TrafficClass[]): number =>
  classes.reduce((sum, { importance }) => sum + importance, 0);

/** Derives the policy of one class. `siblings` are all classes of its service, itself included. */
export const derivePolicy = (
  trafficClass: TrafficClass,
  siblings: readonly TrafficClass[] = [trafficClass],
  importanceOfAll = totalImportance(siblings),
): Policy => {
  const { name, service, split, importance, atMostOnce, idempotent, maxAttempts } = trafficClass;
  const hedgeMs = hedgeAfterMs(trafficClass);
  return {
    className: name,
    service,
    ...(split !== undefined && { split }),
    deadlineMs: deadlineMs(trafficClass),
    attemptTimeoutMs: attemptTimeoutMs(trafficClass),
    maxAttempts: maxAttempts ?? (idempotent ? maxAttemptsOfIdempotent : maxAttemptsOfNonIdempotent),
    retryShare,
    priority: importance,
    maxWaitMs: maxWaitMs(trafficClass),
    slotShare: importance / importanceOfAll,
    ...(hedgeMs !== undefined && { hedgeAfterMs: hedgeMs }),
    atMostOnce,
    idempotent,
  };
};

/** All classes of the service of a class, itself included. */
export const classesOfService = (
  configuration: Configuration,
  { service }: TrafficClass,
): readonly TrafficClass[] =>
  Object.values(configuration.classes).filter((trafficClass) => trafficClass.service === service);

interface KnownPolicy {
  readonly importanceOfAll: number;
  readonly policy: Policy;
}

/** Policies by class: classes are shared by successive configurations and never change. */
const knownPolicies = new WeakMap<TrafficClass, KnownPolicy>();

const policyOf = (trafficClass: TrafficClass, importanceOfAll: number): Policy => {
  const known = knownPolicies.get(trafficClass);
  if (known?.importanceOfAll === importanceOfAll) {
    return known.policy;
  }
  const policy = derivePolicy(trafficClass, [], importanceOfAll);
  knownPolicies.set(trafficClass, { importanceOfAll, policy });
  return policy;
};

/** Derives the policies of all classes, by class name. */
export const derivePolicies = ({ classes }: Configuration): Map<string, Policy> => {
  const all = Object.values(classes);
  // Summed up once: with hundreds of classes a sum over each class's siblings is quadratic.
  const totals = new Map<string, number>();
  all.forEach(({ service, importance }) => {
    totals.set(service, (totals.get(service) ?? 0) + importance);
  });
  return new Map(
    all.map((trafficClass) => [
      trafficClass.name,
      policyOf(trafficClass, totals.get(trafficClass.service)!),
    ]),
  );
};
