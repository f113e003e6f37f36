import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { after, before, describe, it } from 'node:test';
import {
  createDocument,
  startPlatform,
  type NodeMachine,
  type Platform,
} from './support/platform.js';
import { postJson } from './support/platformEndpoint.js';
import { waitFor } from './support/waitFor.js';

const host = 'mesh.example';
const routes = [
  { name: 'r-look', prefix: '/look/', service: 'alpha' },
  { name: 'r-order', prefix: '/order/', service: 'beta', kind: 'unsafe' as const },
];

describe('a check-in that differs from the settings of its machine', () => {
  let platform: Platform;
  let ids = 0;

  const call = (machine: NodeMachine, path: string, method = 'GET') => {
    ids += 1;
    return platform.call(machine, { path, host, method, id: `q-${ids}` });
  };

  const statusesOf = (path: string, method?: string) =>
    Promise.all(platform.nodes.map(async (node) => (await call(node, path, method)).status));

  const checkIn = (machine: NodeMachine, id: string, fields: Record<string, unknown>) =>
    postJson(machine.control, `/Instances.Heartbeat/${id}`, {
      service: machine.service,
      address: machine.endpoint!.address,
      zone: machine.dataCentre,
      version: 'v1',
      slots: 9,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: Date.now(),
      ...fields,
    });

  before(async () => {
    platform = await startPlatform({
      dataCentres: [
        { name: 'a', services: ['alpha'] },
        { name: 'b', services: ['beta'] },
      ],
    });
    await platform.putUntilAccepted(createDocument(1, 0, routes));
    await platform.waitUntilReady();
    await waitFor(async () => (await statusesOf('/look/1')).every((status) => status === 200));
    await waitFor(async () => (await statusesOf('/order/1', 'POST')).every((each) => each === 200));
  });
  after(() => platform.stop());

  // Guards against a check-in of another writer that ends the use of a sound endpoint, or lends it to
  // another service, whose requests then run at it.
  it('is refused and changes nothing', async () => {
    const [alpha] = platform.nodes;
    const foreign: Record<string, unknown>[] = [
      { service: 'nowhere' },
      { service: 'nowhere', state: 'draining' },
      { service: 'beta' },
      { address: `${alpha!.ip}:9` },
      { zone: 'b' },
    ];
    for (const fields of foreign) {
      for (const id of ['w-1', alpha!.endpoint!.id]) {
        assert.equal(await checkIn(alpha!, id, fields), 409, JSON.stringify(fields));
        assert.deepEqual(await statusesOf('/look/1'), [200, 200]);
      }
    }
    const { endpoint } = alpha!;
    assert.equal(await endpoint!.checkIn(), 200);
    for (let round = 0; round < 10; round += 1) {
      assert.deepEqual(await statusesOf('/order/1', 'POST'), [200, 200]);
    }
    const orders = endpoint!.arrived.filter(({ path }) => path === '/order/1');
    assert.deepEqual(orders, [], 'requests of another service');
  });

  // Guards against an endpoint of the next service at the address that is found late, because the
  // node has not read the new settings yet.
  it('is accepted at once if the settings have changed meanwhile', async () => {
    const [machine] = platform.nodes;
    await machine!.endpoint!.stop();
    const file = join(platform.folder, `${machine!.name}.conf`);
    const settings = readFileSync(file, 'utf8').replace('service=alpha', 'service=beta');
    writeFileSync(file, settings);
    const successor = await platform.startEndpoint(machine!, {
      service: 'beta',
      heartbeatMs: 60_000,
    });
    assert.equal(await successor.checkIn(), 200);
    await platform.nodes[1]!.endpoint!.stop();
    await waitFor(async () => (await call(machine!, '/order/1', 'POST')).status === 200);
  });
});
