/**
 * Retries: whether a failed attempt is tried again, within a budget over a sliding window. A call
 * that may have run is tried again only if it is idempotent, and a call that was already retried at
 * a level below is not tried again above it. A call that the node beside an upstream refused before
 * the upstream saw it is rerouted instead, which costs upstreams nothing.
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
  /** The upstream itself refused the call: it counts as sent there. */
  readonly byUpstream?: boolean;
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

export interface RetryContext {
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

export interface HedgeContext {
  readonly policy: Policy;
  readonly budget: RetryBudget;
  readonly attempt: number;
  readonly remainingMs: number;
  readonly isFirstNode: boolean;
  readonly now: number;
}

/** Retries that a node may make in a window in which it has seen no calls. */
const defaultSpare = 10;
const defaultWindowMs = 10_000;
/** Parts of a window that are counted together. */
const windowSlots = 20;
/** Further endpoints that a call may be rerouted to. */
const maxReroutes = 2;
/**
 * The same while calls of its class are refused where they arrive. Without any, gates that are full by
 * chance would count as a lack of capacity, and the refusals would go on below it.
 */
const maxReroutesUnderOverload = 1;
/** Refusals of a node that the one beside another upstream need not share. */
const reroutableReasons: ReadonlySet<FailureReason> = new Set<FailureReason>([
  'leaving',
  'no_upstream',
  'overloaded',
]);
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

export interface RetryBudgetOptions {
  /** Retries for each first attempt. */
  readonly share: number;
  /** Any span of this length keeps to the share, in ms. */
  readonly windowMs?: number;
  /** Retries in a window on top of the share. */
  readonly slack?: number;
}

interface Slot {
  readonly index: number;
  calls: number;
  retries: number;
}

/**
 * Creates a retry budget. The retries of a window are counted over one slot more than its calls, so
 * that the share holds for every position of the window.
 */
export const createRetryBudget = ({
  share,
  windowMs = defaultWindowMs,
  slack: spare = defaultSpare,
}: RetryBudgetOptions): RetryBudget => {
  const slotMs = windowMs / windowSlots;
  let slots: Slot[] = [];

  const slotAt = (now: number): Slot => {
    const index = Math.floor(now / slotMs);
    const last = slots.at(-1);
    if (last?.index === index) {
      return last;
    }
    const slot: Slot = { index, calls: 0, retries: 0 };
    slots = [...slots.filter((old) => old.index >= index - windowSlots), slot];
    return slot;
  };

  const balance = (now: number): number => {
    const { index } = slotAt(now);
    let left = spare;
    slots.forEach((slot) => {
      left += (slot.index > index - windowSlots ? share * slot.calls : 0) - slot.retries;
    });
    return Math.floor(left + 1e-9);
  };

  return {
    commands: {
      recordCall: (now) => {
        slotAt(now).calls += 1;
      },
      spend: (now) => {
        const isLeft = balance(now) >= 1;
        slotAt(now).retries += isLeft ? 1 : 0;
        return isLeft;
      },
    },
    queries: { available: (now) => balance(now) >= 1, balance },
  };
};

export interface RetryBudgetsOptions extends RetryBudgetOptions {
  /** Retries in a window on top of the share for a whole service; at least those of a class. */
  readonly serviceSlack?: number;
}

/** Retry budget of the calls of a class to a service. */
export type RetryBudgetLookup = (className: string, service: string) => RetryBudget;

/** Pairs of class and service whose budgets are remembered. */
const maxBudgets = 4_096;

/** A budget that has room only if both have. */
const createSharedBudget = (own: RetryBudget, shared: RetryBudget): RetryBudget => {
  const available = (now: number) => own.queries.available(now) && shared.queries.available(now);
  return {
    commands: {
      recordCall: (now) => {
        own.commands.recordCall(now);
        shared.commands.recordCall(now);
      },
      spend: (now) => available(now) && own.commands.spend(now) && shared.commands.spend(now),
    },
    queries: {
      available,
      balance: (now) => Math.min(own.queries.balance(now), shared.queries.balance(now)),
    },
  };
};

/**
 * Creates the retry budgets of one node. A retry has to fit the budget of its class, since a class
 * whose calls are shed must not use up the retries of the others, and the budget of the service.
 */
export const createRetryBudgets = (options: RetryBudgetsOptions): RetryBudgetLookup => {
  const { slack: spare = defaultSpare, serviceSlack: serviceSpare = 2 * spare } = options;
  const ofServices = new Map<string, RetryBudget>();
  const ofClasses = new Map<string, RetryBudget>();

  const serviceBudget = (service: string): RetryBudget => {
    const budget =
      ofServices.get(service) ?? createRetryBudget({ ...options, slack: serviceSpare });
    ofServices.set(service, budget);
    return budget;
  };

  return (className, service) => {
    // Names have no spaces.
    const key = `${className} ${service}`;
    const known = ofClasses.get(key);
    if (known) {
      return known;
    }
    const budget = createSharedBudget(
      createRetryBudget({ ...options, slack: spare }),
      serviceBudget(service),
    );
    ofClasses.set(key, budget);
    if (ofClasses.size > maxBudgets) {
      ofClasses.delete(ofClasses.keys().next().value!);
    }
    return budget;
  };
};

type RetryRule = (question: RetryContext) => boolean;

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
const delayBefore = ({ attempt, random }: RetryContext): number =>
  random() * Math.min(maxDelayMs, baseDelayMs * 2 ** (attempt - 1));

/** Decides about a retry. Does not take it out of the budget: call `spend` when it is sent. */
export const decideRetry = (question: RetryContext): RetryDecision => {
  const against = rules.find(([, isAgainst]) => isAgainst(question));
  if (against) {
    return { retry: false, reason: against[0] };
  }
  const delayMs = delayBefore(question);
  return question.remainingMs - delayMs < minUsefulMs
    ? { retry: false, reason: 'deadline' }
    : { retry: true, delayMs };
};

/** The node beside the upstream refused the call before the upstream saw it. */
export const isAdmissionRefusal = ({ run, byUpstream, reason }: AttemptFailure): boolean =>
  run === 'not_run' && !byUpstream && reroutableReasons.has(reason);

export interface RerouteContext {
  /** How often the call went to another endpoint before. */
  readonly reroutes: number;
  readonly remainingMs: number;
  /** Calls of its class are refused where they arrive at the moment. */
  readonly isOverloaded: boolean;
}

/** Whether such a call goes to another endpoint. */
export const canReroute = ({ reroutes, remainingMs, isOverloaded }: RerouteContext): boolean =>
  reroutes < (isOverloaded ? maxReroutesUnderOverload : maxReroutes) && remainingMs >= minUsefulMs;

/**
 * Whether a failure goes up with `x-retried: true`. An empty budget counts too: otherwise each
 * level above would spend its own budget on the same failure, 1.1 ^ 9 = 2.4 times the calls.
 */
export const isRetriedBelow = (attempts: number, decision: RetryDecision): boolean =>
  attempts > 1 ||
  (!decision.retry && (decision.reason === 'retried_below' || decision.reason === 'budget_empty'));

/** Delay in ms after which a second copy of the call is sent, or undefined for none. */
export const decideHedge = (question: HedgeContext): number | undefined => {
  const { policy, budget, attempt, remainingMs, isFirstNode, now } = question;
  const { hedgeAfterMs, idempotent, atMostOnce, maxAttempts } = policy;
  const isAllowed = isFirstNode && idempotent && !atMostOnce && attempt === 1 && maxAttempts > 1;
  const isInTime = hedgeAfterMs !== undefined && hedgeAfterMs < remainingMs;
  return isAllowed && isInTime && budget.queries.available(now) ? hedgeAfterMs : undefined;
};
