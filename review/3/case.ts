/**
 * A check-in of another writer, which lacks fields, reaches a node. Checks that no request reaches
 * the machine's endpoint later than allowed after the node has acknowledged that it is draining.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { startPlatformEndpoint } from '../../__tests__/support/platformEndpoint.js';
import {
  callHost,
  createDocument,
  exitCodes,
  putUntilClear,
  runCase,
  send,
  waitUntilReady,
  type Machine,
} from '../support/deployment.js';

const zones = ['a', 'b', 'c'];
const heartbeatMs = 1_500;
/** Time after the acknowledgement within which requests may still arrive (`drain_ms`). */
const drainMs = 2_000;
/** Time for which the endpoint goes on serving after the acknowledgement. */
const servesOnMs = 6_000;
const requestPeriodMs = 50;

await runCase(async (deployment, hasTrouble) => {
  const { addMachine, writeSettings, start, record, ports } = deployment;
  const controls = zones.map((zone) => addMachine('control', zone));
  const nodes = zones.map((zone) => addMachine('node', zone, 'alpha'));
  for (const machine of [...controls, ...nodes]) {
    await writeSettings(machine, true);
  }
  await Promise.all([...controls, ...nodes].map(start));
  const controlOf = ({ ip }: Machine) => `${ip}:${ports.control}`;
  const endpoints = await Promise.all(
    nodes.map((machine, index) =>
      startPlatformEndpoint({
        host: machine.ip,
        port: ports.app,
        control: controlOf(machine),
        service: machine.service,
        dataCentre: machine.zone,
        id: `i-${index}`,
        heartbeatMs,
      }),
    ),
  );
  const document = createDocument(1, 0, [{ name: 'look', prefix: '/look/', service: 'alpha' }]);
  if ((await putUntilClear(deployment, controls, document, 20_000))?.status !== 200) {
    throw new Error('the configuration was not accepted');
  }
  await waitUntilReady(deployment, nodes, 20_000);
  await sleep(4_000);

  const [machine] = nodes as [Machine];
  const endpoint = endpoints[0]!;
  if (hasTrouble) {
    // `zone`, `version` and `cold_remaining_ms` are missing.
    const body = JSON.stringify({
      service: machine.service,
      address: endpoint.address,
      slots: 9,
      state: 'ready',
      sequence: 1,
      born: Date.now(),
    });
    const answer = await send(controlOf(machine), {
      method: 'POST',
      path: `/Instances.Heartbeat/${endpoint.id}`,
      headers: { 'content-type': 'application/json' },
      body,
    });
    record(`check-in of another writer at ${machine.name}: ${answer?.status} to ${body}`);
    await sleep(2 * heartbeatMs);
  }

  let ids = 0;
  const pending: Promise<void>[] = [];
  const sendRequest = async () => {
    ids += 1;
    const id = `q-${ids}`;
    const answer = await send(`${machine.ip}:${ports.outbound}`, {
      path: '/look/1',
      headers: { host: callHost, 'request-id': id, 'deadline-ms': '2000' },
      timeoutMs: 2_500,
    });
    record(`request ${id} from ${machine.name}: ${answer?.status ?? 'no answer'}`);
  };
  const sendFor = async (ms: number) => {
    const until = performance.now() + ms;
    while (performance.now() < until) {
      pending.push(sendRequest());
      await sleep(requestPeriodMs);
    }
  };
  await sendFor(2_000);
  const status = await endpoint.drain();
  const acknowledgedAtMs = Date.now();
  record(`${machine.name} answers ${status} to the check-in that says draining`);
  await sendFor(servesOnMs);
  await Promise.all(pending);
  const late = endpoint
    .executedRequests()
    .filter(({ atMs }) => status === 200 && atMs > acknowledgedAtMs + drainMs);
  late.forEach(({ id, atMs }) =>
    record(`${endpoint.id} runs ${id} ${atMs - acknowledgedAtMs} ms after the acknowledgement`),
  );
  record(`${late.length} requests ran later than ${drainMs} ms after the acknowledgement`);
  await Promise.all(endpoints.map((each) => each.stop()));
  return late.length > 0 ? exitCodes.broken : exitCodes.held;
});
