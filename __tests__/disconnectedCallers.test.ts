import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { answerText, startMesh, type ReceivedRequest } from './support/callMesh.js';
import { startThreadCaller } from './support/threadCaller.js';
import { waitFor } from './support/waitFor.js';

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

  it('are not run between the end of their connection and its close', async (t) => {
    const { callers } = nativeCallInterface;
    let leave: (() => void) | undefined;
    let run = 0;
    const mesh = await startMesh({
      callInterface: {
        ...nativeCallInterface,
        callers: {
          ...callers,
          readCall: (request) => {
            // The caller leaves in the turn of the event loop that has read its request.
            setImmediate(() => leave?.());
            return callers.readCall(request);
          },
          forwardedHeaders: (raw) => {
            run += 1;
            return callers.forwardedHeaders(raw);
          },
        },
      },
    });
    t.after(() => mesh.stop());
    const caller = await startThreadCaller(mesh.beside, '/lookup/1');
    t.after(() => caller.stop());
    leave = () => caller.leaveWhileBlocked(1);

    await caller.callWhileBlocked({ count: 1, leaves: false });
    leave = undefined;
    await mesh.call(mesh.beside, '/lookup/1');
    assert.equal(run, 1);
  });

  (['caller', 'beside'] as const).forEach((taker) =>
    it(`that waited for a slot get none at the ${taker === 'caller' ? 'far' : 'near'} node`, async (t) => {
      const mesh = await startMesh({ slots: 1 });
      t.after(() => mesh.stop());
      const held: ReceivedRequest[] = [];
      mesh.upstream.onRequest((request) => held.push(request));
      const running = mesh.call(mesh.beside, '/lookup/1');
      await waitFor(() => held.length === 1);
      const caller = await startThreadCaller(mesh[taker], '/lookup/1');
      t.after(() => caller.stop());
      const outcomes = caller.callWhileBlocked({ count: 3, leaves: false });
      await waitFor(async () => (await mesh.report(mesh.besideNode)).upstream.waiting === 3);

      mesh.upstream.onRequest((request) => request.socket.write(answerText(request)));
      held.forEach((request) => request.socket.write(answerText(request)));
      caller.leaveWhileBlocked(3);
      await Promise.all([running, outcomes]);
      await mesh.call(mesh.caller, '/lookup/1');
      assert.equal(mesh.upstream.started(), 2);
    }),
  );
});
