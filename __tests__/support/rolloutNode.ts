/** The call runner of a node beside an upstream, for a service under a rollout, without sockets. */
import { createEndpointTracker } from '../../src/core/calls/endpointTracker.js';
import { createOverloadThrottle } from '../../src/core/calls/overloadThrottle.js';
import { createRetryBudget } from '../../src/core/calls/retry.js';
import { findRollout, isVersionBarred } from '../../src/core/rollouts/versionRouting.js';
import type { AttemptResult } from '../../src/core/rollouts/versionOutcomes.js';
import { createCallRunner } from '../../src/plugins/calls/callRunner.js';
import { createLocalUpstream } from '../../src/plugins/calls/localUpstream.js';
import { nativeCallInterface } from '../../src/plugins/calls/nativeCallInterface.js';
import type { AttemptFailureReport, AttemptListener, ResponseHead } from '../../src/types/calls.js';
import type { Configuration, Endpoint, Policy } from '../../src/types/public.js';
import type { Rollout } from '../../src/types/rollouts.js';
import { createManualTimer } from '../../src/utils/timer.js';
import { createCluster, createEndpoint, createPolicy, createRandom } from './routingFixtures.js';

export const createRollout = (fields: Partial<Rollout> = {}): Rollout => ({
  name: 'routedienst',
  targetVersion: 'v2',
  state: 'running',
  stage: 'canary',
  canaryShare: 0.05,
  periodMs: 12_000,
  startedAtMs: 0,
  changedAtMs: 0,
  blockedVersions: [],
  ...fields,
});

/** How an endpoint answers. Default: status 200 after 1 ms. */
export interface ScriptedAnswer {
  readonly head?: Partial<ResponseHead>;
  readonly afterMs?: number;
  /** Fails the attempt, after its head if that is given as well. */
  readonly failure?: AttemptFailureReport;
}

/** Creates a node beside the endpoint `local`, which has no connection to it. */
export const createNode = (
  localVersion: string,
  endpoints: readonly Endpoint[],
  respond: (id: string) => ScriptedAnswer = () => ({}),
  policyFields: Partial<Policy> = {},
) => {
  const timer = createManualTimer();
  const random = createRandom(5);
  const sent: string[] = [];
  const results: AttemptResult[] = [];
  let rollout: Rollout | undefined = createRollout();
  const configuration = (): Configuration => ({
    services: {},
    classes: {},
    ...(rollout && { rollouts: { routedienst: rollout } }),
  });
  const answer = (id: string, listener: AttemptListener) => {
    sent.push(id);
    const { head, afterMs = 1, failure } = respond(id);
    let isAborted = false;
    const cancel = timer.after(afterMs, () => {
      if (head || !failure) {
        listener.onHead({ status: 200, headers: [], ...head });
      }
      if (failure && !isAborted) {
        listener.onFailure(failure);
      } else if (!isAborted) {
        listener.onEnd();
      }
    });
    const abort = () => {
      isAborted = true;
      cancel();
    };
    return { abort, resume: () => undefined, mayHaveRun: () => true };
  };
  const local = createLocalUpstream(timer, nativeCallInterface.upstreams, random, {
    isBarred: ({ service, version }) =>
      isVersionBarred(findRollout(configuration(), service), version),
  });
  local.commands.configure({
    service: 'routedienst',
    address: '127.0.0.1:1',
    slots: 10,
    connections: 10,
    instance: 'local',
    version: localVersion,
  });
  const own = createEndpoint('local', { node: 'home', version: localVersion });
  const cluster = createCluster([own, ...endpoints]);
  const budget = createRetryBudget({ share: 0.1 });
  const runner = createCallRunner({
    localNode: { name: 'home', dataCentre: 'a', region: 'r' },
    timer,
    random,
    upstream: {
      ...local,
      commands: { ...local.commands, send: (_, listener) => answer('local', listener) },
    },
    startScheduler: { add: (start) => start() },
    remote: { send: ({ id }, _, listener) => answer(id, listener) },
    endpointTracker: createEndpointTracker({ random }),
    retryBudgetFor: () => budget,
    throttle: createOverloadThrottle(),
    metrics: { recordChoice: () => undefined, recordRetry: () => undefined },
    newestConfiguration: configuration,
    recordResult: (result) => results.push(result),
  });
  const policy = createPolicy(policyFields);

  /** Makes a call, and aborts it after `leavesAfterMs`. Returns how it ended. */
  const call = ({ isNested = false, leavesAfterMs = 100 } = {}): string => {
    let outcome = 'none';
    const running = runner.run(
      {
        requestId: 'r',
        activeConfiguration: {
          version: { term: 1, index: 1 },
          digest: new Uint8Array(),
          configuration: configuration(),
          policies: new Map(),
          clusters: new Map([[policy.service, cluster]]),
        },
        policy,
        service: policy.service,
        rank: 0.5,
        isNested,
        caller: 'x',
        method: 'GET',
        path: '/',
        headers: [],
        body: { kind: 'none' },
        receivedAt: timer.now(),
        deadlineAt: timer.now() + 1_000,
        endsAt: Infinity,
      },
      {
        onHead: () => {
          outcome = 'answered';
        },
        onData: () => true,
        onEnd: () => undefined,
        onRefusal: ({ reason }) => {
          outcome = reason;
        },
      },
    );
    timer.advance(leavesAfterMs);
    running.abort();
    timer.advance(100);
    return outcome;
  };
  return {
    call,
    sent,
    results,
    local,
    setRollout: (fields: Partial<Rollout> | undefined) => {
      rollout = fields && createRollout(fields);
    },
  };
};
