import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createAdmission } from '../src/core/calls/admission.js';
import { retryAfterMs, defaultRetryAfterMs } from '../src/core/calls/retryAfter.js';
import { createRandom } from './support/fleet.js';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const slots = 4;
const workMs = 100;
const className = 'c';

/** An admission with all slots taken and some calls waiting; each call works for `workMs`. */
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

describe('the time after which a refused caller comes back', () => {
  // Guards against a fixed time: too early behind a long queue, too late behind a short one.
  it('is that in which the calls that wait are worked off', () => {
    [0, 4, 40].forEach((waiting) => {
      const backlogMs = busyAdmission(waiting).queries.backlogMs(className);
      assert.equal(backlogMs, (waiting * workMs) / slots, `${waiting} waiting`);
    });
  });

  // Guards against callers who are refused together and come back together.
  it('is spread over as much time again', () => {
    const random = createRandom(3);
    const times = Array.from({ length: 1_000 }, () => retryAfterMs(400, random));
    assert.ok(Math.min(...times) >= 400 && Math.max(...times) < 800);
    const earlier = times.filter((ms) => ms < 600).length;
    assert.ok(earlier > 400 && earlier < 600, `${earlier} in the first half`);
  });

  it('is said for each refusal after which coming back makes sense', () => {
    const half = () => 0.5;
    assert.ok(defaultRetryAfterMs('no_configuration', half)! >= 1_000);
    assert.ok(defaultRetryAfterMs('no_upstream', half)! >= 1_000);
    assert.equal(defaultRetryAfterMs('unknown_class', half), undefined);
    assert.equal(defaultRetryAfterMs('bad_request', half), undefined);
  });

  it('reaches a caller behind another node', async () => {
    const mesh = await startMesh({ slots: 1, connections: 1 });
    mesh.upstream.onRequest(() => undefined);
    const held = mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    await waitFor(() => mesh.upstream.started() === 1);
    const answer = await mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    assert.equal(answer.status, 503);
    assert.match(String(answer.headers['retry-after']), /^[1-9]\d*$/);
    await held;
    await mesh.stop();
  });
});
