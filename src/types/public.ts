/**
 * Public types of auburnsill: the targets that operators declare, the policies that proxies derive
 * from them, and the types that callers and upstreams see. Durations are in milliseconds unless the
 * name states another unit.
 */

import type { Rollout } from './rollouts.js';
import type { Tenant } from './tenants.js';

/** Version of a configuration: term and index of the log entry that holds the change. */
export interface Version {
  readonly term: number;
  readonly index: number;
}

/** A problem in operator input, with its location. */
export interface Finding {
  /** File and key path or line, for example `targets.toml: class.field-lookup.answer_within`. */
  readonly place: string;
  readonly message: string;
  /** The value that was found, as text. */
  readonly found?: string;
  /** The allowed values, as text. */
  readonly allowed?: string;
}

/** Matches requests to a class if the caller does not name one. */
export interface Match {
  /** Value of the `host` header, in lower case and without a port. */
  readonly host?: string;
  readonly method?: string;
  readonly pathPrefix?: string;
}

/** A service that gets a part of a class's calls, in proportion to its weight. */
export interface WeightedService {
  readonly service: string;
  /** At least 0; a service with weight 0 gets no calls. */
  readonly weight: number;
}

/** Target that an operator declares for one traffic class. */
export interface TrafficClass {
  readonly name: string;
  /** Service that handles the calls; the one with the greatest weight if they are split. */
  readonly service: string;
  /** Services that share the calls by weight. Unset: `service` handles all of them. */
  readonly split?: readonly WeightedService[];
  readonly match: readonly Match[];
  /** Time within which `share` of the responses have to arrive, in ms. */
  readonly answerWithinMs?: number;
  /** Share of responses that have to arrive within `answerWithinMs`, between 0 and 1. */
  readonly share: number;
  /** The call must not run more than once. Requires an idempotency key. */
  readonly atMostOnce: boolean;
  /** The call can safely run more than once. Mutually exclusive with `atMostOnce`. */
  readonly idempotent: boolean;
  /**
   * How long a call may wait for capacity, in ms. If 0, it waits only as long as `answerWithinMs`
   * allows.
   */
  readonly mayWaitMs: number;
  /** Share of calls that have to succeed, between 0 and 1. */
  readonly availability: number;
  /** Relative importance from 1 to 100. */
  readonly importance: number;
  /** Expected calls per second across the mesh, for the capacity check. */
  readonly ratePerSecond?: number;
  /** Expected time that one call occupies a slot, in ms, for the capacity check. */
  readonly workMs?: number;
  /** Maximum time that a caller waits, in ms. Unset: derived from `answerWithinMs`. */
  readonly timeoutMs?: number;
  /** Maximum number of endpoints that one call is sent to. Unset: derived from `idempotent`. */
  readonly maxAttempts?: number;
  /** Callers need no API key of a tenant. */
  readonly authExempt?: boolean;
}

/** A service that traffic classes refer to. */
export interface Service {
  readonly name: string;
  /** No endpoint of the service was announced yet, but one is expected. */
  readonly expected: boolean;
  /** Maximum connections to one endpoint of the service. Unset: what the endpoint announces. */
  readonly connections?: number;
}

/** Limits on the size and duration of callers' requests. */
export interface CallerLimits {
  readonly maxHeaderBytes: number;
  readonly maxBodyBytes: number;
  /** Time to send the head of a request, in ms. */
  readonly headerTimeoutMs: number;
  /** Time that a connection may be idle between requests, in ms. */
  readonly idleTimeoutMs: number;
}

/** An endpoint that an operator has taken out of service. */
export interface Drain {
  /** Id of the endpoint. */
  readonly name: string;
}

/** The complete set of targets, which takes effect as one unit. */
export interface Configuration {
  readonly services: Readonly<Record<string, Service>>;
  readonly classes: Readonly<Record<string, TrafficClass>>;
  /** Endpoints that are out of service, by id. Set by drain commands, not by targets. */
  readonly drains?: Readonly<Record<string, Drain>>;
  /** Unset: the node's default limits. */
  readonly callerLimits?: CallerLimits;
  /** Unset: callers need no API key. */
  readonly tenants?: Readonly<Record<string, Tenant>>;
  /** Newest rollout of each service, by its name. Set by orders, not by targets. */
  readonly rollouts?: Readonly<Record<string, Rollout>>;
}

/** State that an upstream announces for its endpoint. */
export type EndpointState = 'ready' | 'leaving';

/** An endpoint of a service, as announced by the node beside the upstream. */
export interface Endpoint {
  readonly id: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Address of the upstream, `ip:port`. */
  readonly address: string;
  /** Address at which the node beside it accepts calls from other nodes, `ip:port`. */
  readonly forwardAddress: string;
  readonly slots: number;
  readonly connections: number;
  readonly state: EndpointState;
  /** Start of the announcing process. Together with `sequence`, orders records of an endpoint. */
  readonly incarnation: number;
  readonly sequence: number;
  /** Name of the node that announced the endpoint. */
  readonly node: string;
  /** Version of the upstream's software, if it announced one. */
  readonly version?: string;
}

/** All known endpoints of one service. */
export interface Cluster {
  readonly service: string;
  readonly endpoints: readonly Endpoint[];
}

/** How a proxy handles the calls of one class, derived from its target. */
export interface Policy {
  readonly className: string;
  readonly service: string;
  readonly split?: readonly WeightedService[];
  /** Time until the head of a response. */
  readonly deadlineMs: number;
  /** Time until the end of a response, if the target declares a timeout. */
  readonly callTimeoutMs?: number;
  readonly attemptTimeoutMs: number;
  /** Maximum attempts for one call, including the first. */
  readonly maxAttempts: number;
  /** Retries allowed per first attempt, between 0 and 1. */
  readonly retryShare: number;
  readonly priority: number;
  readonly maxWaitMs: number;
  /**
   * Response time within which a call has to start early enough to end. Unset if the target lets
   * calls wait for longer than that.
   */
  readonly targetMs?: number;
  /** Share of an endpoint's slots that this class gets when all classes compete for them. */
  readonly slotShare: number;
  /** Delay before an idempotent call is hedged, that is, sent a second time. Unset: no hedging. */
  readonly hedgeAfterMs?: number;
  readonly atMostOnce: boolean;
  readonly idempotent: boolean;
}

/** Whether a failed call or change can have taken effect. */
export type RunState = 'not_run' | 'may_have_run';

/** Response body of a refusal. */
export interface Refusal {
  readonly code: string;
  readonly reason: string;
  readonly message: string;
  readonly run: RunState;
  readonly requestId: string;
}
