import assert from 'node:assert/strict';
import { after, before, describe, it } from 'node:test';
import {
  createDocument,
  sendRequest,
  startPlatform,
  type NodeMachine,
  type Platform,
} from './support/platform.js';
import { waitFor } from './support/waitFor.js';

const routes = [{ name: 'r-look', prefix: '/look/', service: 'alpha' }];
const host = 'mesh.example';

describe('a node that is killed and starts again', () => {
  let platform: Platform;
  let ids = 0;

  const call = (machine: NodeMachine) => {
    ids += 1;
    return platform.call(machine, { path: '/look/1', host, id: `q-${ids}` });
  };

  const restart = async (machine: NodeMachine) => {
    await machine.process.end('SIGKILL');
    machine.process.start();
    await waitFor(
      async () => {
        const answer = await sendRequest(machine.ready, { path: '/ready', host, id: 'ready' });
        return answer.status === 200;
      },
      { limitMs: 10_000, what: 'the start of the node' },
    );
  };

  /** Sends calls from all nodes and resolves with the number that the endpoint executed. */
  const executedAt = async (machine: NodeMachine): Promise<number> => {
    const endpoint = machine.endpoint!;
    const beforeCalls = endpoint.executedRequests().length;
    for (let round = 0; round < 10; round += 1) {
      await Promise.all(platform.nodes.map(call));
    }
    return endpoint.executedRequests().length - beforeCalls;
  };

  before(async () => {
    platform = await startPlatform({
      dataCentres: ['a', 'b', 'c'].map((name) => ({ name, services: ['alpha'] })),
    });
    await platform.putUntilAccepted(createDocument(1, 0, routes));
    await platform.waitUntilReady();
    await waitFor(async () => (await executedAt(platform.nodes[0]!)) > 0);
  });
  after(() => platform.stop());

  it('uses an endpoint again that has run on', async () => {
    const [machine] = platform.nodes;
    // The endpoint counts as older than the node only if the difference is above one second.
    await waitFor(() => Date.now() - machine!.endpoint!.born > 1_500, { limitMs: 5_000 });
    await restart(machine!);
    await waitFor(async () => (await executedAt(machine!)) > 0, { limitMs: 10_000 });
  });

  // Guards against an acknowledged end that is lost with the memory of the node: two late check-ins
  // brought the endpoint back, and it exited with calls in flight.
  it('does not use an endpoint that has deregistered, after two late check-ins', async () => {
    const machine = platform.nodes[1]!;
    const endpoint = machine.endpoint!;
    endpoint.stopHeartbeats();
    assert.equal(await endpoint.deregister(), 200);
    await restart(machine);
    for (let late = 0; late < 4; late += 1) {
      await endpoint.checkIn({ state: 'ready' });
      assert.equal(await executedAt(machine), 0, `after ${late + 1} late check-ins`);
    }
  });

  it('does not use an endpoint that drains, after two late check-ins from before', async () => {
    const machine = platform.nodes[2]!;
    const endpoint = machine.endpoint!;
    endpoint.stopHeartbeats();
    assert.equal(await endpoint.checkIn({ state: 'draining', sequence: 10_000 }), 200);
    await restart(machine);
    for (const sequence of [9_996, 9_997, 9_998, 9_999]) {
      await endpoint.checkIn({ state: 'ready', sequence });
      assert.equal(await executedAt(machine), 0, `after the check-in ${sequence}`);
    }
  });
});
