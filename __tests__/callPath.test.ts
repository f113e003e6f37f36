import assert from 'node:assert/strict';
import { afterEach, describe, it } from 'node:test';
import { startMesh, type Mesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

describe('call path', () => {
  const meshes: Mesh[] = [];

  const start = async (...options: Parameters<typeof startMesh>): Promise<Mesh> => {
    const mesh = await startMesh(...options);
    meshes.push(mesh);
    return mesh;
  };

  // Guards against a failed test whose mesh keeps the file running to its time limit.
  afterEach(async () => {
    await Promise.all(meshes.splice(0).map((mesh) => mesh.stop()));
  });

  it('forwards a call to the node beside the upstream and returns its response', async () => {
    const mesh = await start();
    const response = await mesh.call(mesh.caller, '/lookup/1', {
      headers: { 'x-request-id': 'r1' },
    });
    assert.equal(response.status, 200, response.body);
    assert.equal(response.headers['x-request-id'], 'r1');
    assert.equal(response.headers['x-config-version'], '1.1');
    assert.equal(JSON.parse(response.body).requestId, 'r1');
  });

  it('refuses a call of an unknown class without running it', async () => {
    const mesh = await start();
    const response = await mesh.call(mesh.caller, '/other');
    assert.equal(response.status, 404, response.body);
    assert.equal(JSON.parse(response.body).run, 'not_run');
    assert.equal(mesh.upstream.started(), 0);
  });

  it('admits no more calls than there are connections to the upstream', async () => {
    const mesh = await start({ slots: 10, connections: 1 });
    mesh.upstream.onRequest(() => undefined);
    const post = () => mesh.call(mesh.caller, '/plain', { method: 'POST', body: 'x' });
    const heldCall = post();
    await waitFor(() => mesh.upstream.started() === 1);
    const response = await post();
    assert.equal(JSON.parse(response.body).reason, 'overloaded', response.body);
    assert.equal(mesh.upstream.started(), 1);
    await heldCall;
  });

  it('rejects a malformed announcement and continues to serve calls', async () => {
    const mesh = await start();
    const put = (body: string) =>
      mesh.call(mesh.upstreamNode.admin, '/upstream', { method: 'PUT', body });
    for (const body of ['', '{', '[]', '{"service":"s"}', 'x'.repeat(10_000)]) {
      const response = await put(body).catch(() => undefined);
      assert.ok(!response || response.status === 400, response?.body);
    }
    const served = await mesh.call(mesh.caller, '/lookup/1');
    assert.equal(served.status, 200, served.body);
  });
});
