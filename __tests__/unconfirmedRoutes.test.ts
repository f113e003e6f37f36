import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { startMesh, type Mesh } from './support/callMesh.js';

/** A change has to be in force on every proxy within this time. */
const applyLimitMs = 2_000;

describe('a node whose configuration was not confirmed in time', () => {
  let mesh: Mesh;
  before(async () => {
    mesh = await startMesh();
    mesh.setConfirmedAge(applyLimitMs);
  });
  after(() => mesh.stop());

  // Guards against a final answer for a route that was added since the last confirmation.
  it('refuses a call that matches no class with 503 and a time to come back', async () => {
    const response = await mesh.call(mesh.caller, '/other');
    assert.equal(response.status, 503, response.body);
    assert.equal(JSON.parse(response.body).run, 'not_run');
    assert.ok(Number(response.headers['retry-after']) > 0);
  });

  it('goes on with calls of the classes that it knows', async () => {
    const response = await mesh.call(mesh.caller, '/lookup/1');
    assert.equal(response.status, 200, response.body);
  });

  it('answers 404 again once it is confirmed', async () => {
    mesh.setConfirmedAge(0);
    const response = await mesh.call(mesh.caller, '/other');
    assert.equal(response.status, 404, response.body);
  });
});
