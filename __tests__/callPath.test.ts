import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

describe('call path', () => {
  it('forwards a call to the node beside the upstream and returns its response', async () => {
    const mesh = await startMesh();
    const response = await mesh.call(mesh.caller, '/lookup/1', {
      headers: { 'x-request-id': 'r1' },
    });
    assert.equal(response.status, 200);
    assert.equal(response.headers['x-request-id'], 'r1');
    assert.equal(response.headers['x-config-version'], '1.1');
    assert.equal(JSON.parse(response.body).requestId, 'r1');
    await mesh.stop();
  });

  it('refuses a call of an unknown class without running it', async () => {
    const mesh = await startMesh();
    const response = await mesh.call(mesh.caller, '/other');
    assert.equal(response.status, 404);
    assert.equal(JSON.parse(response.body).run, 'not_run');
    assert.equal(mesh.upstream.started(), 0);
    await mesh.stop();
  });

  it('admits no more calls than there are connections to the upstream', async () => {
    const mesh = await startMesh({ slots: 10, connections: 1 });
    mesh.upstream.onRequest(() => undefined);
    const post = () => mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    const heldCall = post();
    await waitFor(() => mesh.upstream.started() === 1);
    const response = await post();
    assert.equal(JSON.parse(response.body).reason, 'overloaded', response.body);
    assert.equal(mesh.upstream.started(), 1);
    await heldCall;
    await mesh.stop();
  });

  it('rejects a malformed announcement and continues to serve calls', async () => {
    const mesh = await startMesh();
    const put = (body: string) =>
      mesh.call(mesh.upstreamNode.admin, '/upstream', { method: 'PUT', body });
    for (const body of ['', '{', '[]', '{"service":"s"}', 'x'.repeat(10_000)]) {
      const response = await put(body).catch(() => undefined);
      assert.ok(!response || response.status === 400, response?.body);
    }
    assert.equal((await mesh.call(mesh.caller, '/lookup/1')).status, 200);
    await mesh.stop();
  });
});
