import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { derivePolicies, derivePolicy, explainPolicy } from '../src/core/operators/policy.js';
import type { TrafficClass } from '../src/types/public.js';
import { checkProperty, configurationArbitrary } from './support/arbitraries.js';

const lookup: TrafficClass = {
  name: 'field-lookup',
  service: 'routedienst',
  match: [],
  answerWithinMs: 250,
  share: 0.99,
  atMostOnce: false,
  idempotent: true,
  mayWaitMs: 0,
  availability: 0.999,
  importance: 80,
  workMs: 15,
};
const { answerWithinMs, ...untimed } = lookup;
const count: TrafficClass = { ...untimed, name: 'pole-count', mayWaitMs: 30_000, importance: 20 };
const confirmation: TrafficClass = {
  ...lookup,
  name: 'confirmation',
  answerWithinMs: 2_000,
  idempotent: false,
  atMostOnce: true,
};

describe('policy', () => {
  it('derives timeouts, attempts and the longest wait from the target', () => {
    const policy = derivePolicy(lookup);
    assert.equal(policy.deadlineMs, 500);
    assert.equal(policy.attemptTimeoutMs, 250);
    assert.equal(policy.maxAttempts, 3);
    assert.equal(policy.maxWaitMs, 117);
    assert.equal(policy.hedgeAfterMs, 125);
    assert.equal(derivePolicy(count).maxWaitMs, 30_000);
    assert.equal(derivePolicy(count).deadlineMs, 60_000);
    assert.equal(derivePolicy(count).hedgeAfterMs, undefined);
  });

  it('never hedges or aborts early a call that must not run twice', () => {
    const policy = derivePolicy(confirmation);
    assert.equal(policy.hedgeAfterMs, undefined);
    assert.equal(policy.attemptTimeoutMs, policy.deadlineMs);
    assert.equal(policy.deadlineMs, 10_000);
  });

  it('keeps attempts within the deadline, and the slot shares of a service add up to 1', () => {
    checkProperty(
      fc.property(configurationArbitrary, (configuration) => {
        const policies = [...derivePolicies(configuration).values()];
        policies.forEach((policy) => {
          assert.ok(policy.attemptTimeoutMs <= policy.deadlineMs);
          assert.ok(policy.atMostOnce || policy.maxAttempts >= 2);
          assert.ok(!policy.hedgeAfterMs || (policy.idempotent && policy.hedgeAfterMs > 0));
        });
        new Set(policies.map(({ service }) => service)).forEach((service) => {
          const shares = policies.filter((policy) => policy.service === service);
          const sum = shares.reduce((total, { slotShare }) => total + slotShare, 0);
          assert.ok(Math.abs(sum - 1) < 1e-9);
        });
      }),
    );
  });

  it('explains every value with its calculation', () => {
    const reasons = explainPolicy(lookup, undefined, [lookup, count]);
    const reasonOf = (name: string) => reasons.find((reason) => reason.name === name);
    assert.equal(reasonOf('longest wait')?.reason, '(answer_within 250ms - 15ms) / 2');
    assert.equal(reasonOf('slot share')?.value, '80%');
    assert.equal(reasonOf('deadline')?.value, '500ms');
    assert.ok(reasons.every(({ reason }) => reason.length > 0));
  });
});
