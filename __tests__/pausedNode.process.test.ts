import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { connect } from 'node:net';
import { it } from 'node:test';
import { createDocument, startPlatform } from './support/platform.js';
import { waitFor } from './support/waitFor.js';

const host = 'mesh.example';
const rounds = 5;
const callsPerRound = 10;

const sleep = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

// Guards against a process that was paused and, once it goes on, runs requests that it reads only
// then for callers that left meanwhile: the permission of their deadline has run out.
it('a node that was paused sends no request on for a caller that left meanwhile', async () => {
  const platform = await startPlatform({
    dataCentres: [{ name: 'a', services: ['alpha'] }],
    endpoint: { workMs: 5, slots: 50 },
  });
  try {
    await platform.putUntilAccepted(
      createDocument(1, 0, [{ name: 'r', host, prefix: '/look/', service: 'alpha' }]),
    );
    await platform.waitUntilReady();
    const [machine] = platform.nodes;
    const [address = '', port = ''] = machine!.outbound.split(':');
    const agent = new Agent({ keepAlive: true });
    const call = (id: string) => platform.call(machine!, { path: '/look/1', host, id, agent });
    assert.equal((await call('before')).status, 200);

    for (let round = 0; round < rounds; round += 1) {
      const sockets = Array.from({ length: callsPerRound }, () => connect(Number(port), address));
      await Promise.all(
        sockets.map(
          (socket) =>
            new Promise<void>((resolve, reject) => {
              socket.once('connect', resolve);
              socket.on('error', reject);
            }),
        ),
      );
      await sleep(100);
      machine!.process.pause();
      sockets.forEach((socket, index) => {
        socket.write(
          `GET /look/2 HTTP/1.1\r\nHost: ${host}\r\nRequest-Id: left-${round}-${index}\r\n` +
            'Deadline-Ms: 300\r\n\r\n',
        );
      });
      await sleep(400);
      sockets.forEach((socket) => socket.destroy());
      await sleep(600);
      machine!.process.resume();
      await waitFor(async () => (await call(`after-${round}`)).status === 200);
    }
    agent.destroy();
    const ids = machine!.endpoint!.arrived.map(({ id }) => id);
    assert.deepEqual(
      ids.filter((id) => id.startsWith('left')),
      [],
    );
  } finally {
    await platform.stop();
  }
});
