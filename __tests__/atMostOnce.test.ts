import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { answerText, startMesh, type Mesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

describe('at most once', () => {
  let mesh: Mesh;

  beforeEach(async () => {
    mesh = await startMesh();
  });

  afterEach(() => mesh.stop());

  const order = (address: string, key: string, body = 'order', signal?: AbortSignal) =>
    mesh.call(address, '/orders', {
      method: 'POST',
      headers: { 'idempotency-key': key },
      body,
      signal,
    });

  const outcomeIsRecorded = (key: string) =>
    waitFor(
      async () => (await order(mesh.caller, key)).headers['idempotency-replayed'] === 'true',
      { what: 'the outcome is recorded' },
    );

  it('answers a resend through another node from the record', async () => {
    const first = await order(mesh.caller, 'k1');
    assert.equal(first.status, 200);
    await outcomeIsRecorded('k1');
    const second = await order(mesh.beside, 'k1');
    assert.equal(second.body, first.body);
    assert.equal(second.headers['idempotency-replayed'], 'true');
    assert.equal(mesh.upstream.started(), 1);
  });

  it('refuses the key for another request without running it', async () => {
    await order(mesh.caller, 'k2');
    const other = await order(mesh.caller, 'k2', 'another order');
    assert.equal(other.status, 422);
    assert.equal(JSON.parse(other.body).run, 'not_run');
    assert.equal(mesh.upstream.started(), 1);
  });

  it('never sends a call again that may have run', async () => {
    mesh.upstream.onRequest(({ socket }) => socket.destroy());
    const lost = await order(mesh.caller, 'k3');
    assert.equal(JSON.parse(lost.body).run, 'may_have_run');
    mesh.upstream.onRequest((request) => request.socket.write(answerText(request)));
    const resent = await order(mesh.beside, 'k3');
    assert.equal(resent.status, 409);
    assert.equal(JSON.parse(resent.body).run, 'may_have_run');
    assert.equal(mesh.upstream.started(), 1);
  });

  it('frees the key when the call did not reach the upstream', async () => {
    mesh.stopRenewal();
    await mesh.announce('leaving');
    const refused = await order(mesh.caller, 'k4');
    assert.equal(JSON.parse(refused.body).run, 'not_run');
    await mesh.announce('ready');
    await waitFor(async () => (await order(mesh.caller, 'k4')).status === 200);
    assert.equal(mesh.upstream.started(), 1);
  });

  // Guards against a caller that is told to try again and then meets its own claim.
  it('has freed the key before it says that a call was not run', async () => {
    mesh.ledger.setReleaseMs(200);
    mesh.ledger.loseClaimAnswer();
    const unclaimed = await order(mesh.caller, 'k6');
    assert.equal(JSON.parse(unclaimed.body).run, 'not_run');
    assert.equal((await order(mesh.caller, 'k6')).status, 200);

    mesh.stopRenewal();
    await mesh.announce('leaving');
    const refused = await order(mesh.caller, 'k7');
    assert.equal(JSON.parse(refused.body).run, 'not_run');
    await mesh.announce('ready');
    assert.equal((await order(mesh.caller, 'k7')).status, 200);
  });

  it('records the outcome although the caller went away', async () => {
    let answerNow: (() => void) | undefined;
    mesh.upstream.onRequest((request) => {
      answerNow = () => request.socket.write(answerText(request));
    });
    const controller = new AbortController();
    const gone = order(mesh.caller, 'k5', 'order', controller.signal);
    await waitFor(() => mesh.upstream.started() === 1, { what: 'the call arrives' });
    controller.abort();
    await assert.rejects(gone);
    answerNow?.();
    await outcomeIsRecorded('k5');
    assert.equal(mesh.upstream.started(), 1);
  });
});
