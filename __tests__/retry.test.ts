import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  createRetryBudget,
  createRetryBudgets,
  decideHedge,
  decideRetry,
  isRetriedBelow,
  type RetryContext,
} from '../src/core/calls/retry.js';
import { failureTable, type FailureReason } from '../src/utils/failure.js';
import { checkProperty } from './support/arbitraries.js';
import { createPolicy } from './support/routingFixtures.js';

const share = 0.1;

const decide = (fields: Partial<RetryContext> = {}) =>
  decideRetry({
    attempt: 1,
    failure: { reason: 'overloaded', run: 'not_run', retried: false },
    policy: createPolicy(),
    budget: createRetryBudget({ share }),
    remainingMs: 1_000,
    isFirstNode: true,
    random: () => 0.5,
    now: 0,
    ...fields,
  });

const failureOf = (run: 'not_run' | 'may_have_run', reason: FailureReason = 'upstream_failed') => ({
  reason,
  run,
  retried: false,
});

const atMostOncePolicy = createPolicy({ idempotent: false, atMostOnce: true });

describe('retry', () => {
  it('never exceeds the budget, for any order of calls and failures', () => {
    checkProperty(
      fc.property(fc.array(fc.boolean(), { maxLength: 2_000 }), (steps) => {
        const budget = createRetryBudget({ share });
        let calls = 0;
        let retries = 0;
        steps.forEach((isCall, now) => {
          if (isCall) {
            calls += 1;
            budget.commands.recordCall(now);
          } else if (decide({ budget, now }).retry && budget.commands.spend(now)) {
            retries += 1;
          }
          assert.ok(retries <= 10 + share * calls + 1e-6, `${retries} for ${calls} calls`);
        });
      }),
    );
  });

  it('reaches its share of retries when every call fails', () => {
    const budget = createRetryBudget({ share });
    let retries = 0;
    for (let call = 0; call < 10_000; call += 1) {
      budget.commands.recordCall(call);
      retries += Number(budget.commands.spend(call));
    }
    assert.ok(retries >= 1_000 && retries <= 1_010, `${retries}`);
  });

  it('does not let one class use up the retries of another', () => {
    const budgetOf = createRetryBudgets({ share });
    while (budgetOf('bulk', 's').commands.spend(0));
    assert.equal(budgetOf('bulk', 's').queries.available(0), false);
    assert.equal(budgetOf('fast', 's').queries.available(0), true);
  });

  it('never retries a call that may have run unless it is idempotent', () => {
    const reasons = Object.keys(failureTable) as FailureReason[];
    checkProperty(
      fc.property(fc.constantFrom(...reasons), fc.nat(3), fc.boolean(), (reason, attempt, key) => {
        const policy = createPolicy({ idempotent: key, atMostOnce: key });
        assert.equal(
          decide({ policy, attempt, failure: failureOf('may_have_run', reason) }).retry,
          false,
        );
      }),
    );
    assert.equal(decide({ failure: failureOf('may_have_run') }).retry, true);
    assert.equal(decide({ policy: atMostOncePolicy, failure: failureOf('not_run') }).retry, true);
  });

  it('returns the reason why a call is not retried', () => {
    const reasonOf = (fields: Partial<RetryContext>) => {
      const decision = decide(fields);
      return decision.retry ? 'retry' : decision.reason;
    };
    const budget = createRetryBudget({ share });
    while (budget.commands.spend(0));
    assert.equal(reasonOf({ budget }), 'budget_empty');
    assert.equal(reasonOf({ isFirstNode: false }), 'not_first_node');
    assert.equal(
      reasonOf({ failure: { ...failureOf('not_run'), retried: true } }),
      'retried_below',
    );
    assert.equal(reasonOf({ failure: failureOf('not_run', 'key_mismatch') }), 'not_retryable');
    assert.equal(
      reasonOf({ policy: atMostOncePolicy, failure: failureOf('may_have_run') }),
      'may_have_run',
    );
    assert.equal(reasonOf({ attempt: 3 }), 'attempts_used');
    assert.equal(reasonOf({ remainingMs: 2 }), 'deadline');
  });

  it('marks failures that were retried or denied a retry, for the levels above', () => {
    const budget = createRetryBudget({ share });
    assert.equal(
      isRetriedBelow(1, decide({ failure: failureOf('not_run', 'bad_request') })),
      false,
    );
    assert.equal(isRetriedBelow(2, decide()), true);
    while (budget.commands.spend(0));
    assert.equal(isRetriedBelow(1, decide({ budget })), true);
  });

  it('hedges only the first attempt of idempotent calls, in time and within the budget', () => {
    const budget = createRetryBudget({ share });
    const hedge = { budget, attempt: 1, remainingMs: 500, isFirstNode: true, now: 0 };
    const policy = createPolicy({ hedgeAfterMs: 100 });
    assert.equal(decideHedge({ ...hedge, policy }), 100);
    assert.equal(decideHedge({ ...hedge, policy: createPolicy() }), undefined);
    assert.equal(
      decideHedge({ ...hedge, policy: { ...atMostOncePolicy, hedgeAfterMs: 100 } }),
      undefined,
    );
    assert.equal(decideHedge({ ...hedge, policy, attempt: 2 }), undefined);
    assert.equal(decideHedge({ ...hedge, policy, remainingMs: 100 }), undefined);
    assert.equal(decideHedge({ ...hedge, policy, isFirstNode: false }), undefined);
    while (budget.commands.spend(0));
    assert.equal(decideHedge({ ...hedge, policy }), undefined);
  });
});
