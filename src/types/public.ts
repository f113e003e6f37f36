/**
 * Public types of auburnsill: what operators declare, what proxies derive from it and what callers
 * and upstreams see. All durations are milliseconds unless the name says otherwise.
 */

/** Version of a configuration: term and index of the log entry that holds the change. */
export interface Version {
  readonly term: number;
  readonly index: number;
}

/** A problem found in operator input, with the place it was found at. */
export interface Finding {
  /** File and key path or line, for example `targets.toml: class.field-lookup.answer_within`. */
  readonly place: string;
  readonly message: string;
  /** What was read, as text. */
  readonly found?: string;
  /** What is allowed, as text. */
  readonly allowed?: string;
}

/** How a request is matched to a class when the caller names no class. */
export interface Match {
  /** Value of the `host` header, in lower case and without a port. */
  readonly host?: string;
  readonly method?: string;
  readonly pathPrefix?: string;
}

/** Part of the calls of a class that goes to one service. */
export interface WeightedService {
  readonly service: string;
  /** Weight from 0; a service of weight 0 gets no calls. */
  readonly weight: number;
}

/** Target that an operator declares for one class of work. */
export interface TrafficClass {
  readonly name: string;
  /** Service that does the work; the one with the greatest weight if the work is split. */
  readonly service: string;
  /** Services that share the work by weight. Unset: `service` does all of it. */
  readonly split?: readonly WeightedService[];
  readonly match: readonly Match[];
  /** Time within which `share` of the answers have to arrive, in ms. */
  readonly answerWithinMs?: number;
  /** Share of answers that have to arrive within `answerWithinMs`, between 0 and 1. */
  readonly share: number;
  /** The call must not run twice. Needs an idempotency key. */
  readonly atMostOnce: boolean;
  /** The call can be repeated without harm. Excludes `atMostOnce`. */
  readonly idempotent: boolean;
  /**
   * How long a call may wait for capacity, in ms. With 0 it waits only within the time that
   * `answerWithinMs` leaves.
   */
  readonly mayWaitMs: number;
  /** Share of calls that have to succeed, between 0 and 1. */
  readonly availability: number;
  /** Relative importance from 1 to 100. */
  readonly importance: number;
  /** Expected calls a second over the whole mesh, for the capacity check. */
  readonly ratePerSecond?: number;
  /** Expected time that one call occupies a slot, in ms, for the capacity check. */
  readonly workMs?: number;
  /** Longest time that a caller is kept waiting, in ms. Unset: derived from `answerWithinMs`. */
  readonly timeoutMs?: number;
  /** Most endpoints that one call is sent to. Unset: derived from `idempotent`. */
  readonly maxAttempts?: number;
}

/** A service that classes refer to. */
export interface Service {
  readonly name: string;
  /** The service has not announced an endpoint yet and is expected to. */
  readonly expected: boolean;
  /** Connections that one endpoint of the service takes. Unset: what the endpoint announces. */
  readonly connections?: number;
}

/** Limits on what callers may send, and on how long they may take. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time to send the head of a request, in ms. */
  readonly headerTimeoutMs: number;
  /** Time for which a connection may be idle between requests, in ms. */
  readonly idleTimeoutMs: number;
}

/** An endpoint that an operator has taken out of use. */
export interface Drain {
  /** Id of the endpoint. */
  readonly name: string;
}

/** The complete set of targets, in force as one unit. */
export interface Configuration {
  readonly services: Readonly<Record<string, Service>>;
  readonly classes: Readonly<Record<string, TrafficClass>>;
  /** Endpoints that are out of use, by id. Set by drains, not by targets. */
  readonly drains?: Readonly<Record<string, Drain>>;
  /** Unset: the node's own limits. */
  readonly callerLimits?: CallerLimits;
}

/** State that an upstream announces for its endpoint. */
export type EndpointState = 'ready' | 'leaving';

/** One address of an upstream, as announced by the node beside it. */
export interface Endpoint {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Address of the upstream, `ip:port`. */
  readonly address: string;
  /** Address of the node beside it for calls from other nodes, `ip:port`. */
  readonly forwardAddress: string;
  readonly slots: number;
  readonly connections: number;
  readonly state: EndpointState;
  /** Orders records of one endpoint together with `sequence`: start of the announcing process. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Name of the node that announced the endpoint. */
  readonly node: string;
}

/** All known endpoints of one service. */
export interface Cluster {
  readonly service: string;
  readonly endpoints: readonly Endpoint[];
}

/** What a proxy does with the calls of one class, derived from its target. */
export interface Policy {
  readonly className: string;
  readonly service: string;
  readonly split?: readonly WeightedService[];
  readonly deadlineMs: number;
  readonly attemptTimeoutMs: number;
  /** Attempts for one call, the first one included. */
  readonly maxAttempts: number;
  /** Retries allowed for each first attempt, between 0 and 1. */
  readonly retryShare: number;
  readonly priority: number;
  readonly maxWaitMs: number;
  /** Share of an endpoint's slots that this class gets when all classes are busy. */
  readonly slotShare: number;
  /** Delay before a second copy of an idempotent call is sent. Unset means no hedging. */
  readonly hedgeAfterMs?: number;
  readonly atMostOnce: boolean;
  readonly idempotent: boolean;
}

/** Whether a call or change that failed can have taken effect. */
export type RunState = 'not_run' | 'may_have_run';

/** Body of a refusal towards a caller. */
export interface Refusal {
  readonly code: string;
  readonly reason: string;
  readonly message: string;
  readonly run: RunState;
  readonly requestId: string;
}
