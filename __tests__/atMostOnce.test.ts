import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { formatResponse, startMesh, type Mesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

describe('at-most-once calls', () => {
  let mesh: Mesh;

  beforeEach(async () => {
    mesh = await startMesh();
  });

  afterEach(() => mesh.stop());

  const placeOrder = (address: string, key: string, body = 'order', signal?: AbortSignal) =>
    mesh.call(address, '/orders', {
      method: 'POST',
      headers: { 'idempotency-key': key },
      body,
      signal,
    });

  const waitForRecord = (key: string) =>
    waitFor(
      async () => (await placeOrder(mesh.caller, key)).headers['idempotency-replayed'] === 'true',
      { what: 'the outcome is recorded' },
    );

  it('replays the recorded response to a repeated call through another node', async () => {
    const first = await placeOrder(mesh.caller, 'k1');
    assert.equal(first.status, 200);
    await waitForRecord('k1');
    const second = await placeOrder(mesh.beside, 'k1');
    assert.equal(second.body, first.body);
    assert.equal(second.headers['idempotency-replayed'], 'true');
    assert.equal(mesh.upstream.started(), 1);
  });

  it('refuses a key that is used for another request, without running that', async () => {
    await placeOrder(mesh.caller, 'k2');
    const other = await placeOrder(mesh.caller, 'k2', 'another order');
    assert.equal(other.status, 422);
    assert.equal(JSON.parse(other.body).run, 'not_run');
    assert.equal(mesh.upstream.started(), 1);
  });

  it('never resends a call that may have run', async () => {
    mesh.upstream.onRequest(({ socket }) => socket.destroy());
    const lost = await placeOrder(mesh.caller, 'k3');
    assert.equal(JSON.parse(lost.body).run, 'may_have_run');
    mesh.upstream.onRequest((request) => request.socket.write(formatResponse(request)));
    const resent = await placeOrder(mesh.beside, 'k3');
    assert.equal(resent.status, 409);
    assert.equal(JSON.parse(resent.body).run, 'may_have_run');
    assert.equal(mesh.upstream.started(), 1);
  });

  it('releases the key when the call did not reach the upstream', async () => {
    mesh.stopAnnouncing();
    await mesh.announce('leaving');
    const refused = await placeOrder(mesh.caller, 'k4');
    assert.equal(JSON.parse(refused.body).run, 'not_run');
    await mesh.announce('ready');
    await waitFor(async () => (await placeOrder(mesh.caller, 'k4')).status === 200);
    assert.equal(mesh.upstream.started(), 1);
  });

  // Guards against a caller whose retry is refused because its first claim is still held.
  it('releases the key before it reports that a call was not run', async () => {
    mesh.ledger.setReleaseMs(200);
    mesh.ledger.dropClaimResponse();
    const unclaimed = await placeOrder(mesh.caller, 'k6');
    assert.equal(JSON.parse(unclaimed.body).run, 'not_run');
    assert.equal((await placeOrder(mesh.caller, 'k6')).status, 200);

    mesh.stopAnnouncing();
    await mesh.announce('leaving');
    const refused = await placeOrder(mesh.caller, 'k7');
    assert.equal(JSON.parse(refused.body).run, 'not_run');
    await mesh.announce('ready');
    assert.equal((await placeOrder(mesh.caller, 'k7')).status, 200);
  });

  it('records the outcome although the caller disconnected', async () => {
    let sendResponse: (() => void) | undefined;
    mesh.upstream.onRequest((request) => {
      sendResponse = () => request.socket.write(formatResponse(request));
    });
    const controller = new AbortController();
    const abandoned = placeOrder(mesh.caller, 'k5', 'order', controller.signal);
    await waitFor(() => mesh.upstream.started() === 1, { what: 'the call arrives' });
    controller.abort();
    await assert.rejects(abandoned);
    sendResponse?.();
    await waitForRecord('k5');
    assert.equal(mesh.upstream.started(), 1);
  });
});
