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
import { createCluster, createEndpoint, createPolicy, createRandom } from './support/fleet.js';

interface Answer {
  readonly status: number;
  readonly headers?: string[];
  /** Set if the endpoint, or the node beside it, did not run the call. */
  readonly failure?: AttemptFailureReport;
}

/** A runner whose endpoints answer at once with what `answerOf` says. */
const createRunner = (
  endpointIds: string[],
  answerOf: (endpointId: string) => Answer,
  answerMs = 1,
) => {
  const timer = createManualTimer();
  const random = createRandom(3);
  const evidence = createEndpointTracker({ random });
  const budget = createRetryBudget({ share: 0.1 });
  const sent: string[] = [];
  const waits: number[] = [];
  const remote: RemoteSender = {
    send: ({ id }, { maxWaitMs }, listener) => {
      sent.push(id);
      waits.push(maxWaitMs);
      timer.after(answerMs, () => {
        const { status, headers = [], failure } = answerOf(id);
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
    endpointTracker: evidence,
    retryBudgetFor: () => budget,
    throttle: createOverloadThrottle(),
    metrics: { recordChoice: () => undefined, recordRetry: () => undefined },
  });
  const cluster = createCluster(endpointIds.map((id) => createEndpoint(id)));
  const policy = createPolicy();
  const call = (): ResponseHead | undefined => {
    let answer: ResponseHead | undefined;
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
        caller: 'x',
        method: 'GET',
        path: '/',
        headers: [],
        body: { kind: 'none' },
        receivedAt: timer.now(),
        deadlineAt: timer.now() + 1_000,
      },
      {
        onHead: (head) => {
          answer = head;
        },
        onData: () => true,
        onEnd: () => undefined,
        onRefusal: () => undefined,
      },
    );
    timer.advance(100);
    return answer;
  };
  return { call, evidence, budget, sent, waits, timer };
};

describe('call runner', () => {
  it('ejects an endpoint that answers 500, however fast it is', () => {
    const { call, evidence, sent, timer } = createRunner(['bad', 'b', 'c', 'd'], (id) => ({
      status: id === 'bad' ? 500 : 200,
    }));
    for (
      let calls = 0;
      calls < 1_000 && !evidence.queries.isEjected('bad', timer.now());
      calls += 1
    ) {
      call();
    }
    assert.equal(evidence.queries.isEjected('bad', timer.now()), true);
    assert.ok(sent.filter((id) => id === 'bad').length <= 5);
  });

  it('does not try again what was retried below', () => {
    const { call, sent } = createRunner(['a', 'b'], () => ({
      status: 503,
      headers: ['x-retried', 'true'],
    }));
    assert.deepEqual(call()?.headers, ['x-retried', 'true']);
    assert.equal(sent.length, 1);
  });

  it('marks a failed answer that was tried again or found the budget empty', () => {
    const { call, sent, budget } = createRunner(['a', 'b', 'c'], () => ({ status: 503 }));
    assert.deepEqual(call()?.headers, ['x-retried', 'true']);
    assert.equal(new Set(sent).size, 3, 'each attempt goes to another endpoint');
    while (budget.commands.spend(0));
    assert.deepEqual(call()?.headers, ['x-retried', 'true']);
    assert.equal(sent.length, 4);
  });

  const refusedBy = (byUpstream: boolean): Answer => ({
    status: 0,
    failure: { reason: 'overloaded', run: 'not_run', retried: false, byUpstream },
  });

  // Guards against calls that are refused although another endpoint has room, once the budget that
  // protects the upstreams is empty.
  it('reroutes a call that the node beside an upstream refuses, without using the retry budget', () => {
    const { call, sent, budget, timer } = createRunner(['a', 'b', 'c'], (id) =>
      id === 'c' ? { status: 200 } : refusedBy(false),
    );
    while (budget.commands.spend(timer.now()));
    for (let calls = 0; calls < 20; calls += 1) {
      sent.length = 0;
      assert.equal(call()?.status, 200, `call ${calls}`);
      assert.equal(new Set(sent).size, sent.length, 'no node is asked twice');
    }
  });

  it('does not send a call on without a retry when an upstream refused it itself', () => {
    const { call, sent, budget, timer } = createRunner(['a', 'b', 'c'], () => refusedBy(true));
    while (budget.commands.spend(timer.now()));
    assert.equal(call(), undefined);
    assert.equal(sent.length, 1);
  });

  it('asks three nodes at most', () => {
    const { call, sent, budget, timer } = createRunner(['a', 'b', 'c', 'd', 'e'], () =>
      refusedBy(false),
    );
    const balance = budget.queries.balance(timer.now());
    assert.equal(call(), undefined);
    assert.equal(sent.length, 3);
    assert.equal(budget.queries.balance(timer.now()), balance);
  });

  // Guards against calls that cost three hops each while their service has no capacity for most of them.
  it('asks two nodes while calls of the class are refused where they arrive, and three again later', () => {
    const { call, sent, timer } = createRunner(['a', 'b', 'c', 'd', 'e'], () => refusedBy(false));
    const asked = () => {
      const before = sent.length;
      call();
      return sent.length - before;
    };
    const first = Array.from({ length: 20 }, asked);
    assert.deepEqual(first.slice(-4), [2, 2, 2, 2]);
    timer.advance(10_000);
    assert.equal(asked(), 3);
  });

  // Guards against a call that waits its whole limit at each endpoint in turn.
  it('lets a call wait at all endpoints together for as long as its policy says', () => {
    const { call, waits } = createRunner(['a', 'b', 'c', 'd'], () => refusedBy(false), 30);
    call();
    const { maxWaitMs } = createPolicy();
    assert.deepEqual(waits, [maxWaitMs, maxWaitMs - 30, maxWaitMs - 60]);
  });
});
