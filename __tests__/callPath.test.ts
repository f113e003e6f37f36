import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { startMesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

describe('path of a call', () => {
  it('carries a call from one node to the node beside the upstream and back', async () => {
    const mesh = await startMesh();
    const answer = await mesh.call(mesh.caller, '/lookup/1', { headers: { 'x-request-id': 'r1' } });
    assert.equal(answer.status, 200);
    assert.equal(answer.headers['x-request-id'], 'r1');
    assert.equal(answer.headers['x-config-version'], '1.1');
    assert.equal(JSON.parse(answer.body).requestId, 'r1');
    await mesh.stop();
  });

  it('refuses a call of an unknown class without running it', async () => {
    const mesh = await startMesh();
    const answer = await mesh.call(mesh.caller, '/other');
    assert.equal(answer.status, 404);
    assert.equal(JSON.parse(answer.body).run, 'not_run');
    assert.equal(mesh.upstream.started(), 0);
    await mesh.stop();
  });

  it('admits no more calls than there are connections to the upstream', async () => {
    const mesh = await startMesh({ slots: 10, connections: 1 });
    mesh.upstream.onRequest(() => undefined);
    const post = () => mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    const held = post();
    await waitFor(() => mesh.upstream.started() === 1);
    const answer = await post();
    assert.equal(JSON.parse(answer.body).reason, 'overloaded', answer.body);
    assert.equal(mesh.upstream.started(), 1);
    await held;
    await mesh.stop();
  });

  it('answers a malformed announcement and goes on', async () => {
    const mesh = await startMesh();
    const put = (body: string) =>
      mesh.call(mesh.besideNode.admin, '/upstream', { method: 'PUT', body });
    for (const body of ['', '{', '[]', '{"service":"s"}', 'x'.repeat(10_000)]) {
      const answer = await put(body).catch(() => undefined);
      assert.ok(!answer || answer.status === 400, answer?.body);
    }
    assert.equal((await mesh.call(mesh.caller, '/lookup/1')).status, 200);
    await mesh.stop();
  });
});
