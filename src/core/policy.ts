/**
 * Derives what a proxy does with the calls of a class from the target of the class. The same rules
 * run on every proxy and in the checks of a change, so that nothing has to be sent but targets.
 */
import type { Cluster, Configuration, Policy, TrafficClass } from '../types/public.js';

/** Deadline of a class without a target time, in ms. */
export const defaultDeadlineMs = 30_000;
/** Retries for each first attempt: a failing service sees at most 10% more calls. */
export const retryShare = 0.1;

const maxAttemptsOfIdempotent = 3;
const maxAttemptsOfOthers = 2;

/** One output of `explainPolicy`. */
export interface PolicyReason {
  readonly name: string;
  readonly value: string;
  readonly reason: string;
}

const deadlineOf = ({ answerWithinMs, mayWaitMs }: TrafficClass): number =>
  (answerWithinMs ?? defaultDeadlineMs) + mayWaitMs;

/** Derives the policy of one class. */
export const derivePolicy = (trafficClass: TrafficClass): Policy => {
  const deadlineMs = deadlineOf(trafficClass);
  const { idempotent, atMostOnce, answerWithinMs, mayWaitMs } = trafficClass;
  return {
    className: trafficClass.name,
    service: trafficClass.service,
    deadlineMs,
    attemptTimeoutMs: idempotent ? Math.ceil(deadlineMs / 2) : deadlineMs,
    maxAttempts: idempotent ? maxAttemptsOfIdempotent : maxAttemptsOfOthers,
    retryShare,
    priority: trafficClass.importance,
    maxWaitMs: mayWaitMs,
    slotShare: trafficClass.importance / 100,
    ...(idempotent &&
      answerWithinMs !== undefined &&
      mayWaitMs === 0 && { hedgeAfterMs: Math.ceil(answerWithinMs / 2) }),
    atMostOnce,
    idempotent,
  };
};

/** Derives the policies of all classes, by class name. */
export const derivePolicies = (configuration: Configuration): Map<string, Policy> =>
  new Map(
    Object.values(configuration.classes).map((trafficClass) => [
      trafficClass.name,
      derivePolicy(trafficClass),
    ]),
  );

/** Explains each value of a class's policy with its arithmetic. */
export const explainPolicy = (trafficClass: TrafficClass, cluster?: Cluster): PolicyReason[] => {
  const policy = derivePolicy(trafficClass);
  const endpoints = cluster?.endpoints.length ?? 0;
  return Object.entries(policy).map(([name, value]) => ({
    name,
    value: String(value),
    reason: `derived from the target, ${endpoints} endpoints`,
  }));
};
