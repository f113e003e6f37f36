import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAdmission } from '../src/core/calls/admission.js';
import { retryAfterMs, defaultRetryAfterMs } from '../src/core/calls/retryAfter.js';
import { createRandom } from './support/routingFixtures.js';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const slots = 4;
const workMs = 100;
const className = 'c';

/** Creates an admission control with all slots in use; each call takes `workMs`. */
const busyAdmission = (waiting: number) => {
  const admission = createAdmission({ slots });
  const call = (id: string) => ({
    id,
    className,
    caller: 'x',
    priority: 50,
    maxWaitMs: 10_000,
    deadlineAt: 60_000,
  });
  admission.commands.request(call('first'), 0);
  admission.commands.finish('first', workMs, { outcome: 'ok', latencyMs: workMs });
  for (let index = 0; index < slots + waiting; index += 1) {
    admission.commands.request(call(`c-${index}`), workMs);
  }
  return admission;
};

describe('the delay after which a refused caller retries', () => {
  // Guards against a fixed delay, which is too short for a long queue and too long for a short one.
  it('is based on the time in which the queue drains', () => {
    [0, 4, 40].forEach((waiting) => {
      const backlogMs = busyAdmission(waiting).queries.backlogMs(className);
      assert.equal(backlogMs, (waiting * workMs) / slots, `${waiting} waiting`);
    });
  });

  // Guards against callers that are refused together and retry together.
  it('has a jitter of up to its own length', () => {
    const random = createRandom(3);
    const delays = Array.from({ length: 1_000 }, () => retryAfterMs(400, random));
    assert.ok(Math.min(...delays) >= 400 && Math.max(...delays) < 800);
    const shorter = delays.filter((ms) => ms < 600).length;
    assert.ok(shorter > 400 && shorter < 600, `${shorter} in the first half`);
  });

  it('is given for each refusal after which a retry makes sense', () => {
    const half = () => 0.5;
    assert.ok(defaultRetryAfterMs('no_configuration', half)! >= 1_000);
    assert.ok(defaultRetryAfterMs('no_upstream', half)! >= 1_000);
    assert.equal(defaultRetryAfterMs('unknown_class', half), undefined);
    assert.equal(defaultRetryAfterMs('bad_request', half), undefined);
  });

  it('reaches a caller whose call was forwarded to another node', async () => {
    const mesh = await startMesh({ slots: 1, connections: 1 });
    mesh.upstream.onRequest(() => undefined);
    const firstCall = mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    await waitFor(() => mesh.upstream.started() === 1);
    const response = await mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    assert.equal(response.status, 503);
    assert.match(String(response.headers['retry-after']), /^[1-9]\d*$/);
    await firstCall;
    await mesh.stop();
  });
});
