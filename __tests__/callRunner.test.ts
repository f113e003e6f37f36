import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createOverloadThrottle } from '../src/core/calls/overloadThrottle.js';
import { createEndpointTracker } from '../src/core/calls/endpointTracker.js';
import { createRetryBudget } from '../src/core/calls/retry.js';
import { createCallRunner } from '../src/plugins/calls/callRunner.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { createLocalUpstream } from '../src/plugins/calls/localUpstream.js';
import type { RemoteSender } from '../src/plugins/calls/remoteSender.js';
import type { ResponseHead, AttemptFailureReport } from '../src/types/calls.js';
import { createManualTimer } from '../src/utils/timer.js';
import {
  createCluster,
  createEndpoint,
  createPolicy,
  createRandom,
} from './support/routingFixtures.js';

interface ScriptedResponse {
  readonly status: number;
  readonly headers?: string[];
  /** Set if the endpoint, or the node beside it, did not run the call. */
  readonly failure?: AttemptFailureReport;
}

/** Creates a runner whose endpoints respond after `responseMs` with the result of `respond`. */
const createRunner = (
  endpointIds: string[],
  respond: (endpointId: string) => ScriptedResponse,
  responseMs = 1,
  { isNested = false, countsNestedCalls = true } = {},
) => {
  const timer = createManualTimer();
  const random = createRandom(3);
  const endpointTracker = createEndpointTracker({ random });
  const budget = createRetryBudget({ share: 0.1 });
  const sent: string[] = [];
  const maxWaits: number[] = [];
  const remote: RemoteSender = {
    send: ({ id }, { maxWaitMs }, listener) => {
      sent.push(id);
      maxWaits.push(maxWaitMs);
      timer.after(responseMs, () => {
        const { status, headers = [], failure } = respond(id);
        if (failure) {
          listener.onFailure(failure);
          return;
        }
        listener.onHead({ status, headers: [...headers] });
        listener.onEnd();
      });
      return { abort: () => undefined, resume: () => undefined, mayHaveRun: () => true };
    },
  };
  const runner = createCallRunner({
    localNode: { name: 'home', dataCentre: 'a', region: 'r' },
    timer,
    random,
    upstream: createLocalUpstream(timer, nativeCallInterface.upstreams, () => 0.5),
    startScheduler: { add: (start) => start() },
    remote,
    endpointTracker,
    retryBudgetFor: () => budget,
    countsNestedCalls,
    throttle: createOverloadThrottle(),
    metrics: { recordChoice: () => undefined, recordRetry: () => undefined },
  });
  const cluster = createCluster(endpointIds.map((id) => createEndpoint(id)));
  const policy = createPolicy();
  const call = (): ResponseHead | undefined => {
    let response: ResponseHead | undefined;
    runner.run(
      {
        requestId: 'r',
        activeConfiguration: {
          version: { term: 1, index: 1 },
          digest: new Uint8Array(),
          configuration: { services: {}, classes: {} },
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
        onHead: (head) => {
          response = head;
        },
        onData: () => true,
        onEnd: () => undefined,
        onRefusal: () => undefined,
      },
    );
    timer.advance(100);
    return response;
  };
  return { call, endpointTracker, budget, sent, maxWaits, timer };
};

describe('call runner', () => {
  // Guards against calls that fail because the node that they were sent to has just been killed:
  // nothing was run, and the retry budget is empty when a fifth of all nodes are gone.
  it('reroutes calls whose node accepts no connection, without a retry', () => {
    const dead = new Set(['a', 'b']);
    const unreachable = { reason: 'upstream_unreachable', run: 'not_run', retried: false } as const;
    const { call, budget, sent, timer } = createRunner(['a', 'b', 'c', 'd', 'e', 'f'], (id) =>
      dead.has(id) ? { status: 0, failure: unreachable } : { status: 200 },
    );
    while (budget.commands.spend(timer.now())) {
      // Uses up the budget.
    }
    const calls = 30;
    for (let count = 0; count < calls; count += 1) {
      assert.equal(call()?.status, 200);
    }
    const wasted = sent.filter((id) => dead.has(id)).length;
    assert.ok(wasted > 0 && wasted <= calls / 3, `${wasted} attempts at dead nodes`);
  });

  // Guards against nested calls that raise the number of retries where the limit of the deployment
  // counts the calls of callers only.
  [
    { isNested: false, countsNestedCalls: false, permitted: 11 },
    { isNested: true, countsNestedCalls: true, permitted: 11 },
    { isNested: true, countsNestedCalls: false, permitted: 10 },
  ].forEach(({ permitted, ...options }) =>
    it(`permits ${permitted} retries after 10 calls with ${JSON.stringify(options)}`, () => {
      const { call, budget, timer } = createRunner(['a'], () => ({ status: 200 }), 1, options);
      for (let count = 0; count < 10; count += 1) {
        call();
      }
      assert.equal(budget.queries.balance(timer.now()), permitted);
    }),
  );

  it('ejects an endpoint that answers 500, however fast it is', () => {
    const { call, endpointTracker, sent, timer } = createRunner(['bad', 'b', 'c', 'd'], (id) => ({
      status: id === 'bad' ? 500 : 200,
    }));
    for (
      let calls = 0;
      calls < 1_000 && !endpointTracker.queries.isEjected('bad', timer.now());
      calls += 1
    ) {
      call();
    }
    assert.equal(endpointTracker.queries.isEjected('bad', timer.now()), true);
    assert.ok(sent.filter((id) => id === 'bad').length <= 5);
  });

  it('does not retry what a node further on has already retried', () => {
    const { call, sent } = createRunner(['a', 'b'], () => ({
      status: 503,
      headers: ['x-retried', 'true'],
    }));
    assert.deepEqual(call()?.headers, ['x-retried', 'true']);
    assert.equal(sent.length, 1);
  });

  it('marks a failed response that was retried or found the retry budget empty', () => {
    const { call, sent, budget } = createRunner(['a', 'b', 'c'], () => ({ status: 503 }));
    assert.deepEqual(call()?.headers, ['x-retried', 'true']);
    assert.equal(new Set(sent).size, 3, 'each attempt goes to another endpoint');
    while (budget.commands.spend(0));
    assert.deepEqual(call()?.headers, ['x-retried', 'true']);
    assert.equal(sent.length, 4);
  });

  const overloadRefusal = (byUpstream: boolean): ScriptedResponse => ({
    status: 0,
    failure: { reason: 'overloaded', run: 'not_run', retried: false, byUpstream },
  });

  // Guards against calls that are refused although another endpoint has capacity, once the retry
  // budget that protects the upstreams is empty.
  it('reroutes a call refused by a node beside an upstream, without using the retry budget', () => {
    const { call, sent, budget, timer } = createRunner(['a', 'b', 'c'], (id) =>
      id === 'c' ? { status: 200 } : overloadRefusal(false),
    );
    while (budget.commands.spend(timer.now()));
    for (let calls = 0; calls < 20; calls += 1) {
      sent.length = 0;
      assert.equal(call()?.status, 200, `call ${calls}`);
      assert.equal(new Set(sent).size, sent.length, 'no node is tried twice');
    }
  });

  it('does not reroute a call that the upstream itself refused', () => {
    const { call, sent, budget, timer } = createRunner(['a', 'b', 'c'], () =>
      overloadRefusal(true),
    );
    while (budget.commands.spend(timer.now()));
    assert.equal(call(), undefined);
    assert.equal(sent.length, 1);
  });

  it('tries three nodes at most', () => {
    const { call, sent, budget, timer } = createRunner(['a', 'b', 'c', 'd', 'e'], () =>
      overloadRefusal(false),
    );
    const balance = budget.queries.balance(timer.now());
    assert.equal(call(), undefined);
    assert.equal(sent.length, 3);
    assert.equal(budget.queries.balance(timer.now()), balance);
  });

  // Guards against calls that take three hops each while their service has no capacity for most of
  // them.
  it('tries two nodes while calls of the class are refused on entry, and three again later', () => {
    const { call, sent, timer } = createRunner(['a', 'b', 'c', 'd', 'e'], () =>
      overloadRefusal(false),
    );
    const countTries = () => {
      const before = sent.length;
      call();
      return sent.length - before;
    };
    const first = Array.from({ length: 20 }, countTries);
    assert.deepEqual(first.slice(-4), [2, 2, 2, 2]);
    timer.advance(10_000);
    assert.equal(countTries(), 3);
  });

  // Guards against a call that waits for its full limit at each endpoint in turn.
  it('limits the total wait of a call at all endpoints to the maximum wait of its policy', () => {
    const { call, maxWaits } = createRunner(['a', 'b', 'c', 'd'], () => overloadRefusal(false), 30);
    call();
    const { maxWaitMs } = createPolicy();
    assert.deepEqual(maxWaits, [maxWaitMs, maxWaitMs - 30, maxWaitMs - 60]);
  });
});
