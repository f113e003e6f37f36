import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { IncomingMessage } from 'node:http';
import { createCallInterface } from '../src/platform/callInterface.js';
import { answerText, makeCall, startMesh, type Mesh } from './support/callMesh.js';

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
`;

describe('calls that an upstream makes', () => {
  let mesh: Mesh;
  before(async () => {
    mesh = await startMesh({ targets });
  });
  after(() => mesh.stop());

  const refusalsOf = async (origin: string): Promise<number> => {
    const { body } = await makeCall(mesh.besideNode.admin, '/metrics');
    return [...body.matchAll(/^auburnsill_refusals_total\{(.*)\} (\d+)$/gm)]
      .filter(([, labels]) => labels!.includes('class="child"'))
      .filter(([, labels]) => labels!.includes(`origin="${origin}"`))
      .reduce((sum, [, , count]) => sum + Number(count), 0);
  };

  const callChild = (parentId: string) =>
    makeCall(mesh.beside, '/child', { headers: { 'x-parent-request-id': parentId } });

  it('are told from calls of callers, so that their refusals can be counted apart', async () => {
    mesh.upstream.onRequest((request) => {
      callChild(request.headers['x-request-id']!).then(
        () => request.socket.write(answerText(request)),
        () => request.socket.destroy(),
      );
    });
    const { status } = await makeCall(mesh.beside, '/parent');
    assert.equal(status, 200);
    assert.equal(await refusalsOf('upstream'), 1);
    assert.equal(await refusalsOf('caller'), 0);
  });

  it('are not believed if the call they name does not run there, so that no caller can pose as one', async () => {
    const known = await refusalsOf('upstream');
    assert.equal((await callChild('not-running')).status, 503);
    assert.equal(await refusalsOf('upstream'), known);
    assert.equal(await refusalsOf('caller'), 1);
  });
});

describe('ids of requests on the platform', () => {
  const { callers } = createCallInterface(() => 's');
  const parentOf = (id: string) =>
    callers.readCall({ headers: { 'request-id': id } } as unknown as IncomingMessage).parentId;

  it('name the request for which an endpoint makes a call', () => {
    assert.equal(parentOf('6809d7234cedfc5c.92efa7c30b482e34'), '6809d7234cedfc5c');
    assert.equal(parentOf('a.b.c'), 'a.b');
    assert.equal(parentOf('6809d7234cedfc5c'), undefined);
    assert.equal(parentOf('.x'), undefined);
  });
});
