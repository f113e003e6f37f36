/**
 * HTTP protocol (headers and status codes) between a node and its callers and upstreams. An adapter
 * can replace the native protocol. Calls between two nodes always use the native one.
 */
import type { IncomingMessage } from 'node:http';
import type { AttemptFailureReport, AttemptRequest } from './calls.js';
import type { Version } from './public.js';

/** Call metadata from the headers of a request. */
export interface CallHeaders {
  readonly requestId: string | undefined;
  /** Id of the call on whose behalf an upstream makes this one, if the request names it. */
  readonly parentId: string | undefined;
  /** Time that the caller waits for the response, in ms. */
  readonly deadlineMs: number | undefined;
  /** Class named by the caller. */
  readonly className: string | undefined;
  /** Idempotency key. */
  readonly key: string | undefined;
  /** API key of a tenant; empty if its header is malformed or repeated. */
  readonly apiKey: string | undefined;
}

/** What an upstream learns of the tenant of a call. */
export interface ForwardedIdentity {
  /** Name of the tenant; undefined if the call has none. */
  readonly tenant: string | undefined;
}

export interface ResponseContext {
  readonly requestId: string;
  readonly version: Version;
  /** The node's configuration was not confirmed by its source within the lease. */
  readonly isStale: boolean;
}

/** A refusal as an HTTP response; `headers` alternates names and values. */
export interface RefusalResponse {
  readonly status: number;
  readonly headers: readonly string[];
  readonly body: Buffer;
}

export interface CallerInterface {
  /** Creates the headers of a well-formed call. */
  callHeaders(requestId: string, deadlineMs: number): Readonly<Record<string, string>>;
  /** Parses the headers of a call. Throws `bad_request` or `deadline_past`. */
  readCall(request: IncomingMessage): CallHeaders;
  /** Returns the caller's identity. Waiting calls are served round-robin by caller. */
  readCaller(request: IncomingMessage): string;
  /** Reads the request id of a possibly malformed request, for its refusal. */
  readRequestId(request: IncomingMessage): string | undefined;
  /**
   * Selects the headers to forward to the upstream from the caller's raw headers. With an identity,
   * the API key is removed and the header of the tenant is set.
   */
  forwardedHeaders(raw: readonly string[], identity?: ForwardedIdentity): string[];
  /** Headers that the node adds to a response of an upstream. */
  responseHeaders(context: ResponseContext): string[];
  refusal(failure: AttemptFailureReport, requestId: string): RefusalResponse;
}

/**
 * Classification of a response by its head. `refused`: the upstream states that it did not run the
 * request; `other_instance`: the process at the address is not the one that the request named, and
 * did not run it; `mismatch`: the response belongs to another request.
 */
export type ResponseVerdict = 'answer' | 'refused' | 'other_instance' | 'mismatch';

/** Load reported by an upstream. */
export interface UpstreamLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** How long work takes at the moment, in percent of the usual time; undefined if not reported. */
  readonly pace?: number;
}

export interface UpstreamInterface {
  /** Creates the headers of a request; `instance` is the id that the upstream announced, if any. */
  requestHeaders(
    request: AttemptRequest,
    instance: string | undefined,
    remainingMs: number,
  ): string[];
  /** `headers` alternates names in lower case and values. */
  classifyResponse(
    status: number,
    headers: readonly string[],
    request: Pick<AttemptRequest, 'requestId' | 'attemptId'>,
  ): ResponseVerdict;
  /** Reads the load that the upstream reports with a response, if any. */
  readLoad?(headers: readonly string[]): UpstreamLoad | undefined;
  /** Whether closing the connection may mark the end of a response body. */
  readonly acceptsCloseDelimited: boolean;
}

export interface CallInterface {
  readonly callers: CallerInterface;
  readonly upstreams: UpstreamInterface;
}
