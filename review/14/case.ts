/**
 * One check-in of another writer at each machine of a service names a service that nobody knows.
 * The endpoints there are sound and go on checking in, and have to be used.
 */
import { postJson } from '../../__tests__/support/platformEndpoint.js';
import {
  putUntilAccepted,
  runCase,
  send,
  sleep,
  startAll,
  waitUntilServed,
} from '../support-3/case.js';

const first = { name: 'r-orders', prefix: '/orders/', service: 'beta' };
const later = { name: 'r-poles', prefix: '/poles/', service: 'alpha' };
const rounds = 20;

await runCase(1_000, async (each) => {
  const { hasTrouble, note } = each;
  const sidecars = await startAll(each, [
    ['a', 'alpha'],
    ['b', 'alpha'],
    ['b', 'beta'],
    ['c', 'beta'],
  ]);
  await putUntilAccepted(each, 1, 0, [first]);
  await waitUntilServed(each, sidecars, ['/orders/1']);
  await putUntilAccepted(each, 2, 1, [first, later]);
  await waitUntilServed(each, sidecars, ['/poles/1']);
  await sleep(4_000);
  const machines = hasTrouble ? sidecars.filter(({ service }) => service === 'alpha') : [];
  for (const { name, ip, zone } of machines) {
    const checkIn = {
      service: 'nowhere',
      address: `${ip}:8145`,
      zone,
      version: 'v1',
      slots: 9,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: Date.now(),
    };
    const status = await postJson(`${ip}:8144`, '/Instances.Heartbeat/w-1', checkIn);
    note(`check-in of another writer at ${name}: ${JSON.stringify(checkIn)}: ${status}`);
  }
  // Far longer than it takes until a record that is not renewed is forgotten.
  await sleep(15_000);
  for (const { name, endpoint } of sidecars) {
    note(`check-in of ${endpoint!.id} at ${name}: ${await endpoint!.checkIn()}`);
  }
  const served = { later: 0, first: 0 };
  for (let round = 0; round < rounds; round += 1) {
    for (const sidecar of sidecars) {
      served.later += Number((await send(each, sidecar, `/poles/${round}`, 'GET')).status === 200);
      served.first += Number((await send(each, sidecar, `/orders/${round}`, 'GET')).status === 200);
    }
  }
  note(
    `of ${rounds * sidecars.length} each: served ${served.later} on the later route, ${served.first} on the first`,
  );
  return served.later < served.first / 4;
});
