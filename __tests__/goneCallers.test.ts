import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { startMesh } from './support/callMesh.js';
import { startThreadCaller } from './support/threadCaller.js';

// Guards against calls that a node short of processor time sends on after their callers have left.
describe('calls whose callers left while the node was busy', () => {
  const count = 20;

  (['caller', 'beside'] as const).forEach((taker) =>
    it(`reach no upstream from the ${taker === 'caller' ? 'far' : 'near'} node`, async (t) => {
      const mesh = await startMesh({ slots: 100, connections: 100 });
      t.after(() => mesh.stop());
      await mesh.call(mesh.caller, '/lookup/1');
      const startedBefore = mesh.upstream.started();
      const caller = await startThreadCaller(mesh[taker], '/lookup/1');
      t.after(() => caller.stop());

      await caller.callWhileBlocked({ count, leaves: true });
      const answer = await mesh.call(mesh.caller, '/lookup/1');
      assert.equal(answer.status, 200);
      assert.equal(mesh.upstream.started() - startedBefore, 1);
    }),
  );
});
