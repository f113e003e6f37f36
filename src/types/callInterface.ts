/**
 * What callers and upstreams speak with a node. The product has an interface of its own; an adapter
 * can put another one in its place. The hop between two nodes always uses the product's own.
 */
import type { IncomingMessage } from 'node:http';
import type { AttemptFailureReport, AttemptRequest } from './calls.js';
import type { Version } from './public.js';

/** What a request says of itself besides method, path and body. */
export interface CallHeaders {
  readonly requestId: string | undefined;
  /** Id of the call for which an upstream makes this one, as far as the request says. */
  readonly parentId: string | undefined;
  /** Time that the caller waits for the answer, in ms. */
  readonly deadlineMs: number | undefined;
  /** Class that the caller named. */
  readonly className: string | undefined;
  readonly key: string | undefined;
}

export interface ResponseContext {
  readonly requestId: string;
  readonly version: Version;
  /** The node has not heard from the source within its lease. */
  readonly isStale: boolean;
}

/** A refusal as it is written; headers are names and values in turn. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

export interface CallerInterface {
  /** Headers of a well-formed call. */
  callHeaders(requestId: string, deadlineMs: number): Readonly<Record<string, string>>;
  /** Reads the headers of a call. Throws `bad_request` or `deadline_past`. */
  readCall(request: IncomingMessage): CallHeaders;
  /** Whom the call is from: waiting calls of different callers take turns. */
  readCaller(request: IncomingMessage): string;
  /** Request id of a request that may be malformed, for its refusal. */
  readRequestId(request: IncomingMessage): string | undefined;
  /** Headers that go on to the upstream, from the raw ones of the caller. */
  forwardedHeaders(raw: readonly string[]): string[];
  /** Headers that the node adds to an answer of an upstream. */
  responseHeaders(context: ResponseContext): string[];
  refusal(failure: AttemptFailureReport, requestId: string): RefusalResponse;
}

/**
 * What the head of an answer means. `refused`: the upstream says that it did not run the request;
 * `other_instance`: the process at the address is not the one that the request named, and did not
 * run it; `mismatch`: the answer belongs to another request.
 */
export type ResponseVerdict = 'answer' | 'refused' | 'other_instance' | 'mismatch';

/** What an upstream says of its load. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

export interface UpstreamInterface {
  /** Headers of a request; `instance` is the id that the upstream announced, if any. */
  requestHeaders(
    request: AttemptRequest,
    instance: string | undefined,
    remainingMs: number,
  ): string[];
  /** Headers are names in lower case and values in turn. */
  classifyResponse(
    status: number,
    headers: readonly string[],
    request: Pick<AttemptRequest, 'requestId' | 'attemptId'>,
  ): ResponseVerdict;
  /** Load that the upstream reports with an answer, if it does. */
  readLoad?(headers: readonly string[]): UpstreamLoad | undefined;
  /** An answer may be ended by the end of its connection. */
  readonly acceptsCloseDelimited: boolean;
}

export interface CallInterface {
  readonly callers: CallerInterface;
  readonly upstreams: UpstreamInterface;
}
