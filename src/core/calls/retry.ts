/**
 * Retries: whether a failed attempt is tried again, within a budget shared by all calls of a node.
 * A call that may have run is tried again only if it is idempotent, and a call that was already
 * retried at a level below is not tried again above it.
 */
import type { Policy, RunState } from '../../types/public.js';
import type { FailureReason } from '../../utils/failure.js';

/** Response header that says that a retry was already made below. */
export const retriedHeader = 'x-retried';

export interface AttemptFailure {
  readonly reason: FailureReason;
  readonly run: RunState;
  /** The answer carried `x-retried: true`. */
  readonly retried: boolean;
}

export interface RetryBudget {
  readonly commands: {
    /** Counts a first attempt. */
    recordCall(now: number): void;
    /** Takes one retry or hedge out of the budget. Returns false if none is left. */
    spend(now: number): boolean;
  };
  readonly queries: {
    available(now: number): boolean;
    /** Retries that could be made now. */
    balance(now: number): number;
  };
}

export interface RetryQuestion {
  /** Number of the attempt that failed, from 1. */
  readonly attempt: number;
  readonly failure: AttemptFailure;
  readonly policy: Policy;
  readonly budget: RetryBudget;
  /** Time left until the call's deadline, in ms. */
  readonly remainingMs: number;
  /** This node took the call from its caller, and the call is not itself a retry (`x-retried`). */
  readonly isFirstNode: boolean;
  readonly random: () => number;
  readonly now: number;
}

export type NoRetryReason =
  | 'attempts_used'
  | 'budget_empty'
  | 'deadline'
  | 'may_have_run'
  | 'not_first_node'
  | 'not_retryable'
  | 'retried_below';

export type RetryDecision =
  | { readonly retry: true; readonly delayMs: number }
  | { readonly retry: false; readonly reason: NoRetryReason };

export interface HedgeQuestion {
  readonly policy: Policy;
  readonly budget: RetryBudget;
  readonly attempt: number;
  readonly remainingMs: number;
  readonly isFirstNode: boolean;
  readonly now: number;
}

/** Retries that a node may make before it has seen any calls, and after quiet times. */
const initialTokens = 10;
/** Unused retries are kept up to this number: 3 s worth at 300 calls a second. */
const maxTokens = 100;
/** Longest delay before the first retry in ms; it doubles with each attempt. */
const baseDelayMs = 5;
const maxDelayMs = 250;
/** Time left below which no answer can be expected from another attempt, in ms. */
const minUsefulMs = 1;

/** Failures that another attempt would meet again, or that leave nobody to answer. */
const finalReasons: ReadonlySet<FailureReason> = new Set<FailureReason>([
  'bad_request',
  'body_too_large',
  'cancelled',
  'deadline_past',
  'key_in_progress',
  'key_mismatch',
  'key_required',
  'ledger_unavailable',
  'malformed_message',
  'no_configuration',
  'unauthorized',
  'unknown_class',
]);

/** Creates a retry budget: a token for each `1 / share` first attempts. */
export const createRetryBudget = ({ share }: { share: number }): RetryBudget => {
  let tokens = initialTokens;
  const balance = (): number => Math.floor(tokens + 1e-9);
  return {
    commands: {
      recordCall: () => {
        tokens = Math.min(maxTokens, tokens + share);
      },
      spend: () => {
        const isLeft = balance() >= 1;
        tokens -= isLeft ? 1 : 0;
        return isLeft;
      },
    },
    queries: { available: () => balance() >= 1, balance },
  };
};

/**
 * Creates the retry budgets of one node, one for each class: a class whose calls are shed must not
 * use up the retries of the others. Their sum stays within the share of all calls.
 */
export const createRetryBudgets = (options: {
  share: number;
}): ((className: string) => RetryBudget) => {
  const budgets = new Map<string, RetryBudget>();
  return (className) => {
    const budget = budgets.get(className) ?? createRetryBudget(options);
    budgets.set(className, budget);
    return budget;
  };
};

type RetryRule = (question: RetryQuestion) => boolean;

/** Reasons against a retry, in the order in which they are reported. */
const rules: readonly (readonly [NoRetryReason, RetryRule])[] = [
  ['not_first_node', ({ isFirstNode }) => !isFirstNode],
  ['retried_below', ({ failure }) => failure.retried],
  ['not_retryable', ({ failure }) => finalReasons.has(failure.reason)],
  [
    'may_have_run',
    ({ failure, policy }) =>
      failure.run === 'may_have_run' && (!policy.idempotent || policy.atMostOnce),
  ],
  ['attempts_used', ({ attempt, policy }) => attempt >= policy.maxAttempts],
  ['budget_empty', ({ budget, now }) => !budget.queries.available(now)],
];

/** Delay before the next attempt in ms: exponential with full jitter. */
const delayBefore = ({ attempt, random }: RetryQuestion): number =>
  random() * Math.min(maxDelayMs, baseDelayMs * 2 ** (attempt - 1));

/** Decides about a retry. Does not take it out of the budget: call `spend` when it is sent. */
export const decideRetry = (question: RetryQuestion): RetryDecision => {
  const against = rules.find(([, isAgainst]) => isAgainst(question));
  if (against) {
    return { retry: false, reason: against[0] };
  }
  const delayMs = delayBefore(question);
  return question.remainingMs - delayMs < minUsefulMs
    ? { retry: false, reason: 'deadline' }
    : { retry: true, delayMs };
};

/**
 * Whether a failure goes up with `x-retried: true`. An empty budget counts too: otherwise each
 * level above would spend its own budget on the same failure, 1.1 ^ 9 = 2.4 times the calls.
 */
export const isRetriedBelow = (attempts: number, decision: RetryDecision): boolean =>
  attempts > 1 ||
  (!decision.retry && (decision.reason === 'retried_below' || decision.reason === 'budget_empty'));

/** Delay in ms after which a second copy of the call is sent, or undefined for none. */
export const decideHedge = (question: HedgeQuestion): number | undefined => {
  const { policy, budget, attempt, remainingMs, isFirstNode, now } = question;
  const { hedgeAfterMs, idempotent, atMostOnce, maxAttempts } = policy;
  const isAllowed = isFirstNode && idempotent && !atMostOnce && attempt === 1 && maxAttempts > 1;
  const isInTime = hedgeAfterMs !== undefined && hedgeAfterMs < remainingMs;
  return isAllowed && isInTime && budget.queries.available(now) ? hedgeAfterMs : undefined;
};
