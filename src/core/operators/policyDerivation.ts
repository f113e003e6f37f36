/**
 * Derives the policy of a traffic class from its target. Every proxy and the checks of a change
 * apply the same rules, so only the targets have to be distributed.
 */
import type { Configuration, Policy, TrafficClass } from '../../types/public.js';

/** Response time of a class without `answer_within`, in ms. */
export const defaultAnswerWithinMs = 30_000;
/** Retries per first attempt: retries add at most 10% to the calls of a failing service. */
export const retryShare = 0.1;
/** Minimum deadline of at-most-once calls, in ms: a call that is aborted may have run. */
export const minAtMostOnceDeadlineMs = 10_000;
/**
 * Deadline as a multiple of `answer_within`: a response that is late, but not by more than this
 * factor, is still delivered.
 */
export const deadlineFactor = 2;
export const maxAttemptsOfIdempotent = 3;
/** A call that is not idempotent is retried once, and only if the first attempt did not run. */
export const maxAttemptsOfNonIdempotent = 2;

/** Target response time without the wait for capacity, in ms. */
export const answerMs = ({ answerWithinMs }: TrafficClass): number =>
  answerWithinMs ?? defaultAnswerWithinMs;

export const deadlineMs = (trafficClass: TrafficClass): number => {
  const { answerWithinMs, atMostOnce, mayWaitMs, timeoutMs } = trafficClass;
  if (timeoutMs !== undefined) {
    return timeoutMs;
  }
  const targetDeadlineMs =
    answerWithinMs === undefined
      ? defaultAnswerWithinMs + mayWaitMs
      : deadlineFactor * answerWithinMs;
  return atMostOnce ? Math.max(targetDeadlineMs, minAtMostOnceDeadlineMs) : targetDeadlineMs;
};

/**
 * Longest wait for a slot, in ms. Without `may_wait` it is half of the difference between
 * `answer_within` and `work`; undeclared work counts as half of `answer_within`.
 */
export const maxWaitMs = ({ mayWaitMs, answerWithinMs, workMs }: TrafficClass): number => {
  if (mayWaitMs > 0 || answerWithinMs === undefined) {
    return mayWaitMs;
  }
  return Math.max(0, Math.floor((answerWithinMs - (workMs ?? answerWithinMs / 2)) / 2));
};

/** Whether the wait limit is shorter than the target; a longer one makes late responses useful. */
const waitsWithinTarget = (trafficClass: TrafficClass): boolean =>
  trafficClass.answerWithinMs !== undefined &&
  maxWaitMs(trafficClass) < trafficClass.answerWithinMs;

/**
 * Timeout of one attempt, in ms. For idempotent calls it is `answer_within`, which leaves time for
 * a retry before the deadline.
 */
export const attemptTimeoutMs = (trafficClass: TrafficClass): number => {
  const { idempotent, answerWithinMs, timeoutMs } = trafficClass;
  // A declared timeout applies to each attempt: the caller also waits that long for one endpoint.
  return idempotent && answerWithinMs !== undefined && timeoutMs === undefined
    ? answerWithinMs
    : deadlineMs(trafficClass);
};

/**
 * Delay before a hedged attempt, in ms. Hedging halves the effect of one slow endpoint on calls
 * that need a fast response.
 */
export const hedgeAfterMs = ({
  idempotent,
  answerWithinMs,
  mayWaitMs,
}: TrafficClass): number | undefined =>
  idempotent && answerWithinMs !== undefined && mayWaitMs === 0
    ? Math.ceil(answerWithinMs / 2)
    : undefined;

const sumImportance = (classes: readonly TrafficClass[]): number =>
  classes.reduce((sum, { importance }) => sum + importance, 0);

/**
 * Derives the policy of a class. `serviceClasses` are all classes of its service, including the
 * class itself.
 */
export const derivePolicy = (
  trafficClass: TrafficClass,
  serviceClasses: readonly TrafficClass[] = [trafficClass],
  totalImportance = sumImportance(serviceClasses),
): Policy => {
  const { name, service, split, importance, atMostOnce, idempotent, maxAttempts } = trafficClass;
  const hedgeMs = hedgeAfterMs(trafficClass);
  return {
    className: name,
    service,
    ...(split !== undefined && { split }),
    deadlineMs: deadlineMs(trafficClass),
    ...(trafficClass.timeoutMs !== undefined && { callTimeoutMs: trafficClass.timeoutMs }),
    attemptTimeoutMs: attemptTimeoutMs(trafficClass),
    maxAttempts: maxAttempts ?? (idempotent ? maxAttemptsOfIdempotent : maxAttemptsOfNonIdempotent),
    retryShare,
    priority: importance,
    maxWaitMs: maxWaitMs(trafficClass),
    ...(waitsWithinTarget(trafficClass) && { targetMs: trafficClass.answerWithinMs }),
    slotShare: importance / totalImportance,
    ...(hedgeMs !== undefined && { hedgeAfterMs: hedgeMs }),
    atMostOnce,
    idempotent,
  };
};

/** All classes of the service of a class, including the class itself. */
export const classesOfService = (
  configuration: Configuration,
  { service }: TrafficClass,
): readonly TrafficClass[] =>
  Object.values(configuration.classes).filter((trafficClass) => trafficClass.service === service);

interface CachedPolicy {
  readonly totalImportance: number;
  readonly policy: Policy;
}

/** Cached by class object: classes are immutable, and successive configurations share them. */
const policyCache = new WeakMap<TrafficClass, CachedPolicy>();

const lookUpPolicy = (trafficClass: TrafficClass, totalImportance: number): Policy => {
  const cached = policyCache.get(trafficClass);
  if (cached?.totalImportance === totalImportance) {
    return cached.policy;
  }
  const policy = derivePolicy(trafficClass, [], totalImportance);
  policyCache.set(trafficClass, { totalImportance, policy });
  return policy;
};

/** Derives the policies of all classes, by class name. */
export const derivePolicies = ({ classes }: Configuration): Map<string, Policy> => {
  const all = Object.values(classes);
  // One pass over all classes: with hundreds of them, summing over the classes of the service for
  // each class would take quadratic time.
  const totals = new Map<string, number>();
  all.forEach(({ service, importance }) => {
    totals.set(service, (totals.get(service) ?? 0) + importance);
  });
  return new Map(
    all.map((trafficClass) => [
      trafficClass.name,
      lookUpPolicy(trafficClass, totals.get(trafficClass.service)!),
    ]),
  );
};
