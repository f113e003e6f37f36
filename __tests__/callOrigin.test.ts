import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import type { IncomingMessage } from 'node:http';
import { createCallInterface } from '../src/platform/callInterface.js';
import { formatResponse, makeCall, startMesh, type Mesh } from './support/callMesh.js';

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

describe('calls made by an upstream', () => {
  let mesh: Mesh;
  before(async () => {
    mesh = await startMesh({ targets });
  });
  after(() => mesh.stop());

  const countRefusals = async (origin: string): Promise<number> => {
    const { body } = await makeCall(mesh.upstreamNode.admin, '/metrics');
    return [...body.matchAll(/^auburnsill_refusals_total\{(.*)\} (\d+)$/gm)]
      .filter(([, labels]) => labels!.includes('class="child"'))
      .filter(([, labels]) => labels!.includes(`origin="${origin}"`))
      .reduce((sum, [, , count]) => sum + Number(count), 0);
  };

  const callChild = (parentId: string) =>
    makeCall(mesh.beside, '/child', { headers: { 'x-parent-request-id': parentId } });

  it('are told apart from calls of callers, so that refusals are counted separately', async () => {
    mesh.upstream.onRequest((request) => {
      callChild(request.headers['x-request-id']!).then(
        () => request.socket.write(formatResponse(request)),
        () => request.socket.destroy(),
      );
    });
    const { status } = await makeCall(mesh.beside, '/parent');
    assert.equal(status, 200);
    assert.equal(await countRefusals('upstream'), 1);
    assert.equal(await countRefusals('caller'), 0);
  });

  it('count as calls of a caller unless their parent runs there, to prevent spoofing', async () => {
    const refusedBefore = await countRefusals('upstream');
    assert.equal((await callChild('not-running')).status, 503);
    assert.equal(await countRefusals('upstream'), refusedBefore);
    assert.equal(await countRefusals('caller'), 1);
  });
});

describe('request ids on the platform', () => {
  const { callers } = createCallInterface(() => 's');
  const readParentId = (id: string) =>
    callers.readCall({ headers: { 'request-id': id } } as unknown as IncomingMessage).parentId;

  it('contain the id of the parent request if an endpoint makes a call', () => {
    assert.equal(readParentId('6809d7234cedfc5c.92efa7c30b482e34'), '6809d7234cedfc5c');
    assert.equal(readParentId('a.b.c'), 'a.b');
    assert.equal(readParentId('6809d7234cedfc5c'), undefined);
    assert.equal(readParentId('.x'), undefined);
  });
});
