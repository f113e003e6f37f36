/**
 * Interfaces of the call path. A sender sends one attempt to an endpoint and reports its progress
 * to a listener. The calls server and the forward server differ only in how they choose a sender.
 */
import type { RunState } from './public.js';
import type { FailureReason } from '../utils/failure.js';

/** Body of a request: none, buffered so that it can be resent, or a stream that is read once. */
export type RequestBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'kept'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly parts: AsyncIterable<Buffer> };

/** One attempt of a call, as passed to a sender. */
export interface AttemptRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly className: string;
  /**
   * Service that has to run the call. The chosen endpoint's address may since have been taken over
   * by another service.
   */
  readonly service: string;
  readonly caller: string;
  readonly priority: number;
  /** Rank among the waiting calls of its class and caller, from 0 to 1; the highest runs first. */
  readonly rank: number;
  /** An upstream made the call for a call that it works on; only with `admission.whole_call`. */
  readonly isNested?: boolean;
  readonly maxWaitMs: number;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers of the caller, alternating names and values. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  /** Deadline, in the monotonic time of the timer. */
  readonly deadlineAt: number;
  /** Time until which a response is on target, on the same clock; unset without such a limit. */
  readonly targetAt?: number;
  /** Time within which the response head has to arrive, in ms. */
  readonly headTimeoutMs: number;
  /** An earlier attempt got no response, possibly because its connection was dead. */
  readonly needsFreshConnection?: boolean;
}

/** Capacity that the nested calls of a class find at the scarcest service they go to. */
export interface NestedShortage {
  readonly service: string;
  /** Average number of nested calls to the service in each run. */
  readonly callsPerRun: number;
  /** Share of these calls that were refused for lack of capacity. */
  readonly refusedShare: number;
  /** Average part of their maximum wait that they waited; 1 for a refused one. */
  readonly waitShare: number;
}

export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers of the response, alternating names and values. */
  readonly headers: string[];
  /** The response was recorded for an earlier call with the same idempotency key. */
  readonly isReplayed?: boolean;
  /** A nested call of this call was refused or delayed for lack of capacity. */
  readonly isStarved?: boolean;
  /** Time from the start of the call at the upstream to this head, in ms. */
  readonly processedMs?: number;
  /** Measured beside the upstream for all calls of the class; only with `admission.whole_call`. */
  readonly shortage?: NestedShortage;
}

/**
 * Where a call was refused for lack of capacity: on arrival from its caller, by a node that could
 * not start it in time, by a node whose link could not send its response in time, in the queue in
 * front of another node, by the admission control beside the upstream, or by the upstream itself.
 */
export const refusalStages = [
  'arrival',
  'late_start',
  'link',
  'link_queue',
  'admission',
  'upstream',
] as const;

export type RefusalStage = (typeof refusalStages)[number];

export interface AttemptFailureReport {
  readonly reason: FailureReason;
  readonly run: RunState;
  readonly stage?: RefusalStage;
  readonly detail?: string;
  /** A node closer to the upstream has already retried. */
  readonly retried: boolean;
  /** The upstream itself refused the call and did not run it. */
  readonly byUpstream?: boolean;
  /** Time after which a retry makes sense, as reported by the refusing node, in ms. */
  readonly retryAfterMs?: number;
}

/** Receives the events of an attempt. The last one is either `onEnd` or `onFailure`. */
export interface AttemptListener {
  onHead(head: ResponseHead): void;
  /** Returns false to pause the response until `resume` is called. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailure(failure: AttemptFailureReport): void;
}

export interface RunningAttempt {
  /** Ends the attempt without further events and destroys its connection. */
  abort(): void;
  /** Resumes a response that `onData` paused. */
  resume(): void;
  /** True once the first byte of the request may have been sent to the upstream. */
  mayHaveRun(): boolean;
}
