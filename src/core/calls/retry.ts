/**
 * Decisions on retries, hedges and reroutes. Retries and hedges are limited by a budget over a
 * sliding window. A call that may have run is retried only if it is idempotent, and a call that was
 * already retried at a lower level of the call chain is not retried above it. A call that reached no
 * upstream, because admission control refused it or nothing accepted a connection, is rerouted to
 * another endpoint instead, which puts no load on upstreams.
 */
import type { Policy, RunState } from '../../types/public.js';
import type { FailureReason } from '../../utils/failure.js';

/** Response header of a failure that was already retried at a lower level of the call chain. */
export const retriedHeader = 'x-retried';

export interface AttemptFailure {
  readonly reason: FailureReason;
  readonly run: RunState;
  /** The response carried `x-retried: true`. */
  readonly retried: boolean;
  /** The upstream itself refused the call, so another attempt is a retry and not a reroute. */
  readonly byUpstream?: boolean;
}

export interface RetryBudget {
  readonly commands: {
    /** Counts a first attempt. */
    recordCall(now: number): void;
    /** Takes one retry or hedge from the budget. Returns false if the budget is exhausted. */
    spend(now: number): boolean;
  };
  readonly queries: {
    available(now: number): boolean;
    /** Number of retries that the budget permits now. */
    balance(now: number): number;
  };
}

export interface RetryContext {
  /** Number of the failed attempt, from 1. */
  readonly attempt: number;
  readonly failure: AttemptFailure;
  readonly policy: Policy;
  readonly budget: RetryBudget;
  /** Time left until the call's deadline, in ms. */
  readonly remainingMs: number;
  /**
   * This node received the call from its caller, and the call is not itself a retry
   * (`x-retried`).
   */
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

/** Retries that a node may make in a window without any calls. */
const defaultSlack = 10;
const defaultWindowMs = 10_000;
/** Factor for the known size of a fleet, since nodes that join count before all have heard of it. */
const fleetGrowthFactor = 1.25;
/** Number of buckets in which the events of a window are counted. */
const windowBuckets = 20;
/** Maximum number of reroutes of a call. */
const maxReroutes = 2;
/**
 * The same while the overload throttle refuses calls of the class. Without any reroute, endpoints
 * that are full by chance would count as a lack of capacity, and the throttle would go on refusing
 * calls although capacity is free.
 */
const maxReroutesUnderOverload = 1;
/** Refusals that are specific to one endpoint, so another endpoint may accept the call. */
const reroutableReasons: ReadonlySet<FailureReason> = new Set<FailureReason>([
  'leaving',
  'no_upstream',
  'overloaded',
]);
/** Maximum delay before the first retry in ms; it doubles with each attempt. */
const baseDelayMs = 5;
const maxDelayMs = 250;
/** Remaining time below which another attempt cannot get a response, in ms. */
const minRemainingMs = 1;

/** Failures that would recur on another attempt, or after which no caller is left. */
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
  'unconfirmed',
  'unknown_class',
]);

export interface RetryBudgetOptions {
  /** Retries permitted per first attempt. */
  readonly share: number;
  /** Length of the sliding window in ms; the share holds for every position of it. */
  readonly windowMs?: number;
  /** Retries permitted in a window in addition to the share. */
  readonly slack?: number | (() => number);
}

interface Bucket {
  readonly index: number;
  calls: number;
  retries: number;
}

/**
 * Creates a retry budget. Retries are counted over one bucket more than calls, so that the share
 * holds for every position of the window and not only at bucket boundaries.
 */
export const createRetryBudget = ({
  share,
  windowMs = defaultWindowMs,
  slack = defaultSlack,
}: RetryBudgetOptions): RetryBudget => {
  const bucketMs = windowMs / windowBuckets;
  let buckets: Bucket[] = [];

  const bucketAt = (now: number): Bucket => {
    const index = Math.floor(now / bucketMs);
    const last = buckets.at(-1);
    if (last?.index === index) {
      return last;
    }
    const bucket: Bucket = { index, calls: 0, retries: 0 };
    buckets = [...buckets.filter((old) => old.index >= index - windowBuckets), bucket];
    return bucket;
  };

  const balance = (now: number): number => {
    const { index } = bucketAt(now);
    let remaining = typeof slack === 'number' ? slack : slack();
    buckets.forEach((bucket) => {
      remaining +=
        (bucket.index > index - windowBuckets ? share * bucket.calls : 0) - bucket.retries;
    });
    return Math.floor(remaining + 1e-9);
  };

  return {
    commands: {
      recordCall: (now) => {
        bucketAt(now).calls += 1;
      },
      spend: (now) => {
        const isAvailable = balance(now) >= 1;
        bucketAt(now).retries += isAvailable ? 1 : 0;
        return isAvailable;
      },
    },
    queries: { available: (now) => balance(now) >= 1, balance },
  };
};

/** Slack of a service that all nodes of the fleet share equally. */
export interface FleetSlack {
  /** Retries permitted in a window, for all nodes together. */
  readonly retries: number;
  /** Share of a node's slack that one class may use. */
  readonly classPart: number;
  /** Number of nodes that is assumed while the size of the fleet is unknown. */
  readonly assumedNodes: number;
}

export interface RetryBudgetsOptions extends RetryBudgetOptions {
  readonly slack?: number;
  /** The same for all classes of a service together; at least `slack`. Default: twice `slack`. */
  readonly serviceSlack?: number;
  /** Takes the place of `slack` and `serviceSlack`. */
  readonly fleetSlack?: FleetSlack;
  /**
   * Calls that upstreams make permit retries as the calls of callers do. Default: true. If the
   * limit of the deployment counts the calls of callers only, they must not.
   */
  readonly countsNestedCalls?: boolean;
}

/** Returns the retry budget for the calls of a class to a service. */
export type RetryBudgetLookup = (className: string, service: string) => RetryBudget;

/** Maximum number of pairs of class and service whose budgets are kept. */
const maxBudgets = 4_096;

/** Creates a budget that permits a retry only if both budgets do. */
const combineBudgets = (own: RetryBudget, shared: RetryBudget): RetryBudget => {
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

interface NodeSlack {
  readonly ofClass: number | (() => number);
  readonly ofService: number | (() => number);
}

const nodeSlack = (
  { slack = defaultSlack, serviceSlack = 2 * slack, fleetSlack }: RetryBudgetsOptions,
  fleetNodes: () => number,
): NodeSlack => {
  if (!fleetSlack) {
    return { ofClass: slack, ofService: serviceSlack };
  }
  const { retries, classPart, assumedNodes } = fleetSlack;
  const ofService = () => {
    const known = fleetNodes();
    return retries / (known > 0 ? fleetGrowthFactor * known : assumedNodes);
  };
  return { ofClass: () => classPart * ofService(), ofService };
};

/**
 * Creates the retry budgets of one node. A retry has to fit both the budget of the service and that
 * of its class, because a class whose calls are shed must not use up the retries of other classes.
 * `fleetNodes` returns the known number of nodes, which share the slack of the fleet.
 */
export const createRetryBudgets = (
  options: RetryBudgetsOptions,
  fleetNodes: () => number = () => 0,
): RetryBudgetLookup => {
  const slack = nodeSlack(options, fleetNodes);
  const serviceBudgets = new Map<string, RetryBudget>();
  const classBudgets = new Map<string, RetryBudget>();

  const serviceBudget = (service: string): RetryBudget => {
    const budget =
      serviceBudgets.get(service) ?? createRetryBudget({ ...options, slack: slack.ofService });
    serviceBudgets.set(service, budget);
    return budget;
  };

  return (className, service) => {
    // Names contain no spaces, so the key is unambiguous.
    const key = `${className} ${service}`;
    const known = classBudgets.get(key);
    if (known) {
      return known;
    }
    const budget = combineBudgets(
      createRetryBudget({ ...options, slack: slack.ofClass }),
      serviceBudget(service),
    );
    classBudgets.set(key, budget);
    if (classBudgets.size > maxBudgets) {
      classBudgets.delete(classBudgets.keys().next().value!);
    }
    return budget;
  };
};

type RetryRule = (context: RetryContext) => boolean;

/** Conditions that forbid a retry; the first that matches is reported. */
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
const retryDelayMs = ({ attempt, random }: RetryContext): number =>
  random() * Math.min(maxDelayMs, baseDelayMs * 2 ** (attempt - 1));

/** Decides on a retry, without taking it from the budget: call `spend` when it is sent. */
export const decideRetry = (context: RetryContext): RetryDecision => {
  const matched = rules.find(([, forbids]) => forbids(context));
  if (matched) {
    return { retry: false, reason: matched[0] };
  }
  const delayMs = retryDelayMs(context);
  return context.remainingMs - delayMs < minRemainingMs
    ? { retry: false, reason: 'deadline' }
    : { retry: true, delayMs };
};

/** Whether the node beside the upstream refused the call before the upstream received it. */
export const isAdmissionRefusal = ({ run, byUpstream, reason }: AttemptFailure): boolean =>
  run === 'not_run' && !byUpstream && reroutableReasons.has(reason);

/**
 * Whether the call reached no upstream, so that another attempt puts no load on upstreams: it was
 * refused beside the upstream, or nothing accepted a connection.
 */
export const isReroutable = (failure: AttemptFailure): boolean =>
  isAdmissionRefusal(failure) ||
  (failure.run === 'not_run' && failure.reason === 'upstream_unreachable');

export interface RerouteContext {
  /** Number of previous reroutes of the call. */
  readonly reroutes: number;
  readonly remainingMs: number;
  /** The overload throttle currently refuses calls of the class. */
  readonly isOverloaded: boolean;
}

/** Whether a call refused by admission control may be sent to another endpoint. */
export const canReroute = ({ reroutes, remainingMs, isOverloaded }: RerouteContext): boolean =>
  reroutes < (isOverloaded ? maxReroutesUnderOverload : maxReroutes) &&
  remainingMs >= minRemainingMs;

/**
 * Whether a failure is returned with `x-retried: true`. An empty budget counts as a retry too:
 * otherwise each level above would spend its own budget on the same failure, which at 10% for each
 * of 9 levels multiplies the calls by 1.1 ^ 9 = 2.4.
 */
export const isRetriedBelow = (attempts: number, decision: RetryDecision): boolean =>
  attempts > 1 ||
  (!decision.retry && (decision.reason === 'retried_below' || decision.reason === 'budget_empty'));

/** Returns the delay in ms after which a second copy of the call is sent; undefined for none. */
export const decideHedge = (context: HedgeContext): number | undefined => {
  const { policy, budget, attempt, remainingMs, isFirstNode, now } = context;
  const { hedgeAfterMs, idempotent, atMostOnce, maxAttempts } = policy;
  const isAllowed = isFirstNode && idempotent && !atMostOnce && attempt === 1 && maxAttempts > 1;
  const isInTime = hedgeAfterMs !== undefined && hedgeAfterMs < remainingMs;
  return isAllowed && isInTime && budget.queries.available(now) ? hedgeAfterMs : undefined;
};
