import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import { makeCall, startMesh, type Mesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const targets = `
[class.parent]
service = "s"
match = [{ method = "GET", path = "/parent" }]
answer_within = "2s"
idempotent = true

[class.child]
service = "missing"
match = [{ method = "GET", path = "/child" }]
answer_within = "2s"
idempotent = true

[class.short]
service = "s"
match = [{ method = "GET", path = "/short" }]
answer_within = "10s"
may_wait = "10ms"
idempotent = true
`;

const failureText = 'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n';

/** Values of the series of a metric whose line contains all of the texts, summed up. */
const sumOf = (metrics: string, ...texts: string[]): number =>
  metrics
    .split('\n')
    .filter((line) => !line.startsWith('#') && texts.every((text) => line.includes(text)))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);

describe('metrics of calls tell why work is lost', () => {
  let mesh: Mesh;
  /** The upstream answers once this is settled. */
  let release = Promise.resolve();
  const metricsOf = async (admin: string) => (await makeCall(admin, '/metrics')).body;

  before(async () => {
    mesh = await startMesh({ targets, slots: 1 });
    mesh.upstream.onRequest(({ headers, socket }) => {
      makeCall(mesh.beside, '/child', {
        headers: { 'x-parent-request-id': headers['x-request-id']! },
      }).then(
        () => release.then(() => socket.write(failureText)),
        () => socket.destroy(),
      );
    });
  });
  after(() => mesh.stop());

  it('by calls that an upstream makes and the failures that follow their refusal', async () => {
    const { status } = await makeCall(mesh.caller, '/parent');
    assert.equal(status, 500);
    const beside = await metricsOf(mesh.besideNode.admin);
    const nested = ['auburnsill_nested_refusals_total', 'class="child"', 'parent_class="parent"'];
    assert.equal(sumOf(beside, ...nested), 1);
    const failures = ['auburnsill_upstream_failures_total', 'own_call_refused="yes"'];
    assert.equal(sumOf(beside, ...failures), 1);
  });

  it('by choices and by what is left of the deadline at a refusal', async () => {
    let letGo = () => {};
    release = new Promise((resolve) => {
      letGo = resolve;
    });
    const startedBefore = mesh.upstream.started();
    const running = makeCall(mesh.caller, '/parent');
    await waitFor(async () => mesh.upstream.started() > startedBefore);
    const { status } = await makeCall(mesh.caller, '/short');
    letGo();
    await running;
    assert.equal(status, 503);
    const caller = await metricsOf(mesh.callerNode.admin);
    const first = ['auburnsill_choices_total', 'class="short"', 'attempt="first"', 'place="here"'];
    assert.equal(sumOf(caller, ...first), 1);
    const beside = await metricsOf(mesh.besideNode.admin);
    assert.equal(sumOf(beside, 'auburnsill_gate_refusals_total', 'class="short"'), 1);
    const remaining = ['auburnsill_gate_refusal_remaining_seconds_count', 'class="short"'];
    assert.equal(sumOf(beside, ...remaining), 1);
  });
});
