/**
 * Interfaces inside the path of a call. A sender carries one attempt to an endpoint and reports to a
 * listener; the calls server and the forward server only differ in how they choose a sender.
 */
import type { RunState } from './public.js';
import type { FailureReason } from '../utils/failure.js';

/** Body of a request: none, kept whole so that it can be sent again, or a stream read once. */
export type RequestBody =
  | { readonly kind: 'none' }
  | { readonly kind: 'kept'; readonly bytes: Buffer }
  | { readonly kind: 'stream'; readonly parts: AsyncIterable<Buffer> };

/** One attempt of a call, as a sender needs it. */
export interface AttemptRequest {
  readonly attemptId: string;
  readonly requestId: string;
  readonly className: string;
  /** Service that has to do the work; the endpoint may have changed hands since it was chosen. */
  readonly service: string;
  readonly caller: string;
  readonly priority: number;
  /** Place among the waiting calls of its class and caller, from 0 to 1; the highest goes first. */
  readonly rank: number;
  readonly maxWaitMs: number;
  readonly method: string;
  readonly path: string;
  /** End-to-end headers of the caller, as name and value in turn. */
  readonly headers: readonly string[];
  readonly body: RequestBody;
  /** Time on the scale of the timer after which the answer is of no use. */
  readonly deadlineAt: number;
  /** Time until the head of the answer has to be there, in ms. */
  readonly headTimeoutMs: number;
  /** An earlier attempt met silence, maybe that of its connection. */
  readonly needsFreshConnection?: boolean;
}

export interface ResponseHead {
  readonly status: number;
  /** End-to-end headers of the answer, as name and value in turn. */
  readonly headers: string[];
  /** The answer was recorded for an earlier call with the same key. */
  readonly isReplayed?: boolean;
  /** A failure of the upstream after one of its own calls was refused for lack of capacity. */
  readonly isStarved?: boolean;
}

export interface AttemptFailureReport {
  readonly reason: FailureReason;
  readonly run: RunState;
  readonly detail?: string;
  /** A retry was already made by a node further on. */
  readonly retried: boolean;
  /** The upstream itself refused the call, without running it. */
  readonly byUpstream?: boolean;
  /** Time after which another try makes sense, as the refusing node says, in ms. */
  readonly retryAfterMs?: number;
}

/** Receives what becomes of an attempt. Exactly one of `onEnd` and `onFailure` ends it. */
export interface AttemptListener {
  onHead(head: ResponseHead): void;
  /** Returns false to pause the answer until `resume`. */
  onData(chunk: Buffer): boolean;
  onEnd(): void;
  onFailure(failure: AttemptFailureReport): void;
}

export interface RunningAttempt {
  /** Ends the attempt without a further report and destroys its connection. */
  abort(): void;
  /** Continues an answer that `onData` paused. */
  resume(): void;
  /** True once the first byte may have been written towards the upstream. */
  mayHaveRun(): boolean;
}
