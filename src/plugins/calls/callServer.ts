/**
 * Takes calls from callers: reads the request, finds its class and policy, has the call run and
 * writes the answer. A call keeps the configuration that it began with.
 */
import { randomUUID } from 'node:crypto';
import type { ServerResponse } from 'node:http';
import type { PolkaRequest } from 'polka';
import { outcomeOfRefusal, type Burn, type CallOutcome } from '../../core/operators/burn.js';
import { matchClass } from '../../core/calls/classMatching.js';
import { formatVersion } from '../../core/agreement/version.js';
import type { AttemptFailureReport } from '../../types/calls.js';
import type { Held, Holding } from '../../types/internal.js';
import type { Policy } from '../../types/public.js';
import { Failure, type FailureReason } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { AtMostOnce } from './atMostOnce.js';
import { reportOf, writeAnswerHead, writeAnswerPart, writeRefusal } from './callAnswers.js';
import {
  configStaleHeader,
  configVersionHeader,
  hasBody,
  passRequestHeaders,
  readCallHeaders,
  readRequestId,
  requestIdHeader,
  type CallHeaders,
} from './callHeaders.js';
import { createCallListener, type CallListener } from './callListener.js';
import type { CallMetrics } from './callMetrics.js';
import type {
  CallListener as OutcomeListener,
  CallPlan,
  CallRunner,
  RunningCall,
} from './callRun.js';
import type { LocalUpstream } from './localUpstream.js';
import { readBody, type ReadBody } from './requestBody.js';
import type { Address } from '../rpc.js';

const maxHeaderBytes = 16 * 1_024;
/** Time for which idle connections of callers stay open during a stop. */
const idleStopMs = 2_000;
/** Time that a call waits for the endpoints of a service that the node does not hold yet. */
const clusterWaitMs = 1_000;

export interface CallServerOptions {
  readonly address: Address;
  readonly dataCentre: string;
  readonly timer: Timer;
  readonly log: Log;
  readonly holding: Holding;
  readonly upstream: LocalUpstream;
  readonly runner: CallRunner;
  readonly atMostOnce: AtMostOnce;
  readonly burn: Burn;
  readonly metrics: CallMetrics;
}

/** What is known about a call before its first attempt. */
interface Call {
  readonly request: PolkaRequest;
  readonly response: ServerResponse;
  readonly requestId: string;
  readonly headers: CallHeaders;
  readonly held: Held;
  readonly policy: Policy;
  readonly startedAt: number;
  readonly deadlineAt: number;
  running: RunningCall | undefined;
  isOver: boolean;
}

const pathOf = (url: string): string => {
  const end = url.indexOf('?');
  return end < 0 ? url : url.slice(0, end);
};

/** Creates the server of a node's calls address. */
export const createCallServer = (options: CallServerOptions): CallListener => {
  const { timer, holding, upstream, runner, metrics } = options;

  const versionHeaders = ({ held }: Call): string[] => {
    const headers = [configVersionHeader, formatVersion(held.version)];
    return holding.queries.isDetached() ? [...headers, configStaleHeader, 'true'] : headers;
  };

  const finish = (call: Call, outcome: CallOutcome, result: FailureReason | 'ok') => {
    call.isOver = true;
    const now = timer.now();
    const { className } = call.policy;
    const { dataCentre } = options;
    options.burn.commands.recordOutcome({ className, dataCentre, outcome }, now);
    metrics.recordCall(className, result, now - call.startedAt);
  };

  const refuse = (call: Call, failure: AttemptFailureReport) => {
    if (call.isOver) {
      return;
    }
    const elapsedMs = timer.now() - call.startedAt;
    const outcome = outcomeOfRefusal(failure.reason, elapsedMs, call.policy.maxWaitMs);
    finish(call, outcome, failure.reason);
    writeRefusal(call.response, failure, call.requestId, timer, versionHeaders(call));
  };

  const outcomeOf = (call: Call, status: number): CallOutcome => {
    if (status >= 500) {
      return 'failed';
    }
    const target = call.held.configuration.classes[call.policy.className];
    return timer.now() - call.startedAt > (target?.answerWithinMs ?? Infinity) ? 'late' : 'good';
  };

  const listenerOf = (call: Call): OutcomeListener => {
    let outcome: CallOutcome = 'good';
    return {
      onHead: (head) => {
        outcome = outcomeOf(call, head.status);
        writeAnswerHead(call.response, head, [
          requestIdHeader,
          call.requestId,
          ...versionHeaders(call),
        ]);
      },
      onData: (chunk) => writeAnswerPart(call.response, chunk, () => call.running?.resume()),
      onEnd: () => {
        finish(call, outcome, 'ok');
        call.response.end();
      },
      onRefusal: (failure) => refuse(call, failure),
    };
  };

  const begin = (request: PolkaRequest, response: ServerResponse): Call => {
    const headers = readCallHeaders(request);
    const held = holding.queries.current();
    if (!held) {
      throw new Failure('no_configuration');
    }
    if (!request.originalUrl.startsWith('/')) {
      throw new Failure('bad_request', 'the request target is not a path');
    }
    const method = request.method ?? 'GET';
    const path = pathOf(request.originalUrl);
    const { className } = headers;
    const trafficClass = matchClass(held.configuration, { method, path, className });
    const policy = trafficClass && held.policies.get(trafficClass.name);
    if (!policy) {
      throw new Failure('unknown_class', className ?? `${method} ${path}`);
    }
    if (policy.atMostOnce && headers.key === undefined) {
      throw new Failure('key_required', policy.className);
    }
    const startedAt = timer.now();
    const deadlineMs = Math.min(headers.deadlineMs ?? Infinity, policy.deadlineMs);
    return {
      request,
      response,
      requestId: headers.requestId ?? randomUUID(),
      headers,
      held,
      policy,
      startedAt,
      deadlineAt: startedAt + deadlineMs,
      running: undefined,
      isOver: false,
    };
  };

  const planOf = (call: Call, held: Held, { body }: ReadBody): CallPlan => ({
    requestId: call.requestId,
    held,
    policy: call.policy,
    caller: call.request.socket.remoteAddress ?? '',
    method: call.request.method ?? 'GET',
    path: call.request.originalUrl,
    headers: passRequestHeaders(call.request.rawHeaders),
    body,
    deadlineAt: call.deadlineAt,
  });

  /** The call's own state, with the cluster added if it arrived only now. */
  const withCluster = async ({ held, policy, deadlineAt }: Call): Promise<Held> => {
    const { service } = policy;
    holding.commands.use(service);
    if (held.clusters.has(service) || upstream.queries.hasFreeSlot(service)) {
      return held;
    }
    const waitMs = Math.min(clusterWaitMs, deadlineAt - timer.now());
    const cluster = await holding.commands.ensureCluster(service, waitMs);
    return cluster ? { ...held, clusters: new Map([...held.clusters, [service, cluster]]) } : held;
  };

  /** Refuses the call if its body is not there before the deadline. */
  const limitBody = (call: Call): Cancel =>
    hasBody(call.request)
      ? timer.after(call.deadlineAt - timer.now(), () =>
          refuse(call, reportOf(new Failure('deadline_past', 'the body did not arrive in time'))),
        )
      : () => undefined;

  const run = async (call: Call): Promise<void> => {
    const cancelLimit = limitBody(call);
    const body = await readBody(call.request).finally(cancelLimit);
    const held = await withCluster(call);
    if (call.isOver) {
      return;
    }
    const plan = planOf(call, held, body);
    const listener = listenerOf(call);
    const { key } = call.headers;
    call.running =
      call.policy.atMostOnce && key !== undefined
        ? options.atMostOnce.run({ plan, key, prefix: body.prefix }, listener)
        : runner.run(plan, listener);
  };

  const cancel = (call: Call) => {
    if (!call.isOver) {
      call.running?.abort();
      finish(call, 'failed', 'cancelled');
    }
  };

  const handle = (request: PolkaRequest, response: ServerResponse) => {
    let call: Call;
    try {
      call = begin(request, response);
    } catch (error) {
      const failure = reportOf(error);
      metrics.recordCall('unknown', failure.reason, 0);
      writeRefusal(response, failure, readRequestId(request) ?? randomUUID(), timer);
      return;
    }
    listener.guard(request, (reason, detail) => {
      const mayHaveRun = call.running?.mayHaveRun() ?? false;
      call.running?.abort();
      refuse(call, {
        reason,
        detail,
        run: mayHaveRun ? 'may_have_run' : 'not_run',
        retried: false,
      });
    });
    response.once('close', () => cancel(call));
    run(call).catch((error: unknown) => refuse(call, reportOf(error)));
  };

  const listener = createCallListener({
    address: options.address,
    timer,
    log: options.log,
    maxHeaderBytes,
    idleStopMs,
    onCall: handle,
  });
  return listener;
};
