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

const failureResponse = 'HTTP/1.1 500 Internal Server Error\r\ncontent-length: 0\r\n\r\n';

/** Sum of the samples whose line contains all of the texts. */
const sumSamples = (metrics: string, ...texts: string[]): number =>
  metrics
    .split('\n')
    .filter((line) => !line.startsWith('#') && texts.every((text) => line.includes(text)))
    .reduce((sum, line) => sum + Number(line.split(' ').at(-1)), 0);

describe('call metrics', () => {
  let mesh: Mesh;
  /** The upstream responds once this promise is resolved. */
  let responsesAllowed = Promise.resolve();
  const readMetrics = async (admin: string) => (await makeCall(admin, '/metrics')).body;

  before(async () => {
    mesh = await startMesh({ targets, slots: 1 });
    mesh.upstream.onRequest(({ headers, socket }) => {
      makeCall(mesh.beside, '/child', {
        headers: { 'x-parent-request-id': headers['x-request-id']! },
      }).then(
        () => responsesAllowed.then(() => socket.write(failureResponse)),
        () => socket.destroy(),
      );
    });
  });
  after(() => mesh.stop());

  it('count refused calls of an upstream and the upstream failures that follow', async () => {
    const { status } = await makeCall(mesh.caller, '/parent');
    assert.equal(status, 500);
    const beside = await readMetrics(mesh.upstreamNode.admin);
    const nested = ['auburnsill_nested_refusals_total', 'class="child"', 'parent_class="parent"'];
    assert.equal(sumSamples(beside, ...nested), 1);
    const failures = ['auburnsill_upstream_failures_total', 'own_call_refused="yes"'];
    assert.equal(sumSamples(beside, ...failures), 1);
  });

  it('count endpoint choices and record the time left to the deadline at a refusal', async () => {
    let allowResponses = () => {};
    responsesAllowed = new Promise((resolve) => {
      allowResponses = resolve;
    });
    const startedBefore = mesh.upstream.started();
    const running = makeCall(mesh.caller, '/parent');
    await waitFor(async () => mesh.upstream.started() > startedBefore);
    const { status } = await makeCall(mesh.caller, '/short');
    allowResponses();
    await running;
    assert.equal(status, 503);
    const caller = await readMetrics(mesh.callerNode.admin);
    const firstChoice = [
      'auburnsill_choices_total',
      'class="short"',
      'attempt="first"',
      'place="here"',
    ];
    assert.equal(sumSamples(caller, ...firstChoice), 1);
    const beside = await readMetrics(mesh.upstreamNode.admin);
    assert.equal(sumSamples(beside, 'auburnsill_gate_refusals_total', 'class="short"'), 1);
    const remaining = ['auburnsill_gate_refusal_remaining_seconds_count', 'class="short"'];
    assert.equal(sumSamples(beside, ...remaining), 1);
  });
});
