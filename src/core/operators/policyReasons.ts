/**
 * Explains the policy of a class to operators: each value with the calculation behind it.
 */
import type { Cluster, Policy, TrafficClass } from '../../types/public.js';
import { slotsInUse, totalSlots } from './capacity.js';
import { formatDuration } from './durations.js';
import {
  defaultAnswerWithinMs,
  derivePolicy,
  deadlineFactor,
  maxAttemptsOfIdempotent,
  maxAttemptsOfNonIdempotent,
  minAtMostOnceDeadlineMs,
} from './policyDerivation.js';

/** One value of a policy and how it was derived. */
export interface PolicyReason {
  readonly name: string;
  readonly value: string;
  readonly reason: string;
}

const percent = (share: number): string => `${Number((share * 100).toFixed(2))}%`;

const deadlineReason = (trafficClass: TrafficClass): string => {
  const { answerWithinMs, atMostOnce, mayWaitMs, timeoutMs } = trafficClass;
  if (timeoutMs !== undefined) {
    return 'timeout as declared; a response that has not ended by then is broken off';
  }
  const base =
    answerWithinMs === undefined
      ? `no answer_within: ${formatDuration(defaultAnswerWithinMs)} + may_wait ${formatDuration(mayWaitMs)}`
      : `${deadlineFactor} * answer_within ${formatDuration(answerWithinMs)}; later responses are of no use`;
  return atMostOnce
    ? `${base}; at least ${formatDuration(minAtMostOnceDeadlineMs)}, since an aborted call may have run`
    : base;
};

const attemptReason = ({ idempotent, answerWithinMs }: TrafficClass): string =>
  idempotent && answerWithinMs !== undefined
    ? 'answer_within: the rest of the deadline is left for a retry'
    : 'the deadline: an attempt that may have run or has no answer_within is not aborted';

const waitReason = ({ mayWaitMs, answerWithinMs, workMs }: TrafficClass): string => {
  if (mayWaitMs > 0) {
    return 'may_wait as declared';
  }
  if (answerWithinMs === undefined) {
    return 'neither may_wait nor answer_within is declared';
  }
  const work = workMs === undefined ? 'half of it for undeclared work' : formatDuration(workMs);
  return `(answer_within ${formatDuration(answerWithinMs)} - ${work}) / 2`;
};

const shareReason = (trafficClass: TrafficClass, policy: Policy, cluster?: Cluster): string => {
  const total = trafficClass.importance / policy.slotShare;
  const share = `importance ${trafficClass.importance} of ${Math.round(total)} in this service`;
  if (!cluster) {
    return share;
  }
  const slots = totalSlots(cluster.endpoints);
  const inUse = slotsInUse(trafficClass);
  const demand =
    inUse === undefined ? '' : `; rate * work needs ${Number(inUse.toFixed(2))} on average`;
  const classSlots = Number((policy.slotShare * slots).toFixed(1));
  return `${share}: ${classSlots} of ${slots} slots on ${cluster.endpoints.length} endpoint(s)${demand}`;
};

const hedgeReason = (policy: Policy): string =>
  policy.hedgeAfterMs === undefined
    ? 'only for idempotent classes with answer_within and without may_wait'
    : 'answer_within / 2; taken out of the retry budget';

/**
 * Explains each value of the policy of a class. `serviceClasses` are all classes of its service,
 * including the class itself; with `cluster`, the explanation includes the slots of its endpoints.
 */
export const explainPolicy = (
  trafficClass: TrafficClass,
  cluster?: Cluster,
  serviceClasses: readonly TrafficClass[] = [trafficClass],
): PolicyReason[] => {
  const policy = derivePolicy(trafficClass, serviceClasses);
  const { idempotent } = trafficClass;
  const line = (name: string, value: string, reason: string) => ({ name, value, reason });
  return [
    line('deadline', formatDuration(policy.deadlineMs), deadlineReason(trafficClass)),
    line('attempt timeout', formatDuration(policy.attemptTimeoutMs), attemptReason(trafficClass)),
    line(
      'attempts',
      String(policy.maxAttempts),
      idempotent
        ? `idempotent: ${maxAttemptsOfIdempotent} on different endpoints`
        : `not idempotent: ${maxAttemptsOfNonIdempotent}, the second only if the first was not run`,
    ),
    line('retry share', percent(policy.retryShare), 'retries and hedges per first attempt'),
    line('priority', String(policy.priority), 'importance as declared'),
    line('longest wait', formatDuration(policy.maxWaitMs), waitReason(trafficClass)),
    line('slot share', percent(policy.slotShare), shareReason(trafficClass, policy, cluster)),
    line(
      'hedge after',
      policy.hedgeAfterMs === undefined ? 'never' : formatDuration(policy.hedgeAfterMs),
      hedgeReason(policy),
    ),
  ];
};
