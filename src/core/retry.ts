/**
 * Retries: whether a failed attempt is tried again, within a budget shared by all calls of a node.
 * A call that may have run is tried again only if it is idempotent, and a call that was already
 * retried at a level below is not tried again above it.
 */
import type { Policy, RunState } from '../types/public.js';
import type { FailureReason } from '../utils/failure.js';

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
  /** The call came from another node of this system or already carries `x-retried`. */
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

const budgetCap = 100;
const budgetFloor = 3;

/** Creates the retry budget of one node. */
export const createRetryBudget = ({ share }: { share: number }): RetryBudget => {
  let tokens = budgetFloor;
  return {
    commands: {
      recordCall: () => {
        tokens = Math.min(budgetCap, tokens + share);
      },
      spend: () => {
        if (tokens < 1) {
          return false;
        }
        tokens -= 1;
        return true;
      },
    },
    queries: { available: () => tokens >= 1, balance: () => Math.floor(tokens) },
  };
};

/** Decides about a retry. Does not take it out of the budget: call `spend` when it is sent. */
export const decideRetry = (question: RetryQuestion): RetryDecision => {
  const { attempt, failure, policy, budget, remainingMs, isFirstNode, random, now } = question;
  const no = (reason: NoRetryReason): RetryDecision => ({ retry: false, reason });
  if (!isFirstNode) {
    return no('not_first_node');
  }
  if (failure.retried) {
    return no('retried_below');
  }
  if (failure.run === 'may_have_run' && !policy.idempotent) {
    return no('may_have_run');
  }
  if (attempt >= policy.maxAttempts) {
    return no('attempts_used');
  }
  const delayMs = random() * 5 * 2 ** attempt;
  if (remainingMs <= delayMs) {
    return no('deadline');
  }
  return budget.queries.available(now) ? { retry: true, delayMs } : no('budget_empty');
};

/** Delay in ms after which a second copy of the call is sent, or undefined for none. */
export const decideHedge = (question: HedgeQuestion): number | undefined => {
  const { policy, budget, attempt, remainingMs, isFirstNode, now } = question;
  const delayMs = policy.hedgeAfterMs;
  const isAllowed = isFirstNode && policy.idempotent && !policy.atMostOnce && attempt === 1;
  return isAllowed &&
    delayMs !== undefined &&
    delayMs < remainingMs &&
    budget.queries.available(now)
    ? delayMs
    : undefined;
};
