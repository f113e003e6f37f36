/**
 * Two machines freeze for some seconds while the configuration moves a route to another service.
 * Checks that the other machines apply the change in time.
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
const nodesOfFirstZone = 22;
const services = ['alpha', 'beta'];
const endpointsOfService = 2;
const freezeMs = 3_500;
const applyMs = 2_000;
const rounds = 4;
const pollMs = 50;
const watchMs = 4_000;
/** Time between two rounds, in which all machines are in touch again. */
const calmMs = 8_000;

await runCase(async (deployment, hasTrouble) => {
  const { addMachine, writeSettings, start, record, signal, log, ports } = deployment;
  const controls = zones.map((zone) => addMachine('control', zone));
  const nodes = Array.from({ length: nodesOfFirstZone }, (_, index) =>
    addMachine('node', 'a', services[index % services.length]),
  );
  for (const machine of [...controls, ...nodes]) {
    await writeSettings(machine, true);
  }
  await Promise.all(controls.map(start));
  await sleep(2_000);
  for (const node of nodes) {
    await start(node);
    await sleep(100);
  }
  const endpoints = await Promise.all(
    nodes.slice(0, services.length * endpointsOfService).map(({ ip, zone, service }, index) =>
      startPlatformEndpoint({
        host: ip,
        port: ports.app,
        control: `${ip}:${ports.control}`,
        service,
        dataCentre: zone,
        id: `i-${service}-${index}`,
        heartbeatMs: 1_500,
      }),
    ),
  );
  let version = 0;
  /** Service that the route goes to in a version. */
  const serviceOf = (number: number) => services[number % services.length]!;
  const change = async () => {
    version += 1;
    const document = createDocument(version, version - 1, [
      { name: 'look', prefix: '/look/', service: serviceOf(version) },
      ...services.map((service) => ({ name: service, prefix: `/${service}/`, service })),
    ]);
    if ((await putUntilClear(deployment, controls, document, 20_000))?.status !== 200) {
      throw new Error('the configuration was not accepted');
    }
    return performance.now();
  };
  await change();
  await waitUntilReady(deployment, nodes, 30_000);
  await sleep(10_000);

  /** The nodes that are attached to a machine, first the one that has been for the longest time. */
  const childrenOf = async (parent: Machine): Promise<Machine[]> => {
    const names = new Set<string>();
    (await log(parent)).split('\n').forEach((line) => {
      const name = /"child":"([^"]*)"/.exec(line)?.[1];
      if (name !== undefined && line.includes('child attached')) {
        names.add(name);
      }
      if (name !== undefined && line.includes('child left')) {
        names.delete(name);
      }
    });
    return [...names].flatMap((name) => nodes.filter((node) => node.name === name));
  };

  let ids = 0;
  const nextId = () => {
    ids += 1;
    return `q-${ids}`;
  };

  /**
   * Sends requests until `watchMs` after the ack. Returns how many were sent later than allowed and
   * run by the old service.
   */
  const watch = async (node: Machine, acknowledgedAt: number): Promise<number> => {
    let lateCount = 0;
    let appliedMs: number | undefined;
    while (performance.now() - acknowledgedAt < watchMs) {
      const sentMs = Math.round(performance.now() - acknowledgedAt);
      const answer = await send(`${node.ip}:${ports.outbound}`, {
        path: '/look/1',
        headers: { host: callHost, 'request-id': nextId(), 'deadline-ms': '1000' },
        timeoutMs: 1_500,
      });
      const [endpoint = ''] = answer?.status === 200 ? answer.body.split(' ') : [];
      if (endpoint.includes(serviceOf(version))) {
        appliedMs ??= sentMs;
      }
      if (sentMs > applyMs && endpoint.includes(serviceOf(version - 1))) {
        lateCount += 1;
        record(`${node.name}: run by ${endpoint}, sent ${sentMs} ms after the ack of ${version}`);
      }
      await sleep(pollMs);
    }
    record(`${node.name}: applies ${version} ${appliedMs ?? 'more than 4000'} ms after the ack`);
    return lateCount;
  };

  let lateCount = 0;
  for (let round = 0; round < rounds; round += 1) {
    const children = new Map<Machine, readonly Machine[]>();
    for (const machine of [...controls, ...nodes]) {
      children.set(machine, await childrenOf(machine));
    }
    const feedsNodes = (machine: Machine) => (children.get(machine) ?? []).length > 0;
    const hasEndpoint = (machine: Machine) => nodes.indexOf(machine) < endpoints.length;
    const relay = nodes.find((node) => feedsNodes(node) && !hasEndpoint(node));
    // A parent that is full sends a further node to the first of its children that feed no other.
    const leaf = children.get(controls[0]!)?.find((node) => !feedsNodes(node));
    if ((!relay || !leaf) && round === 0) {
      throw new Error('no node feeds another one');
    }
    if (!relay || !leaf) {
      // After a freeze, nodes may have moved to the control instances of other zones.
      record('no node feeds another one any more');
      break;
    }
    const frozen = [relay, leaf];
    const names = children.get(relay)!.map(({ name }) => name);
    record(`${relay.name} feeds ${names.join(', ')}`);
    if (hasTrouble) {
      frozen.forEach((machine) => signal(machine, 'SIGSTOP'));
    }
    const frozenAt = performance.now();
    const acknowledgedAt = await change();
    const thaw = async () => {
      await sleep(freezeMs - (performance.now() - frozenAt));
      if (hasTrouble) {
        frozen.forEach((machine) => signal(machine, 'SIGCONT'));
      }
    };
    const counts = await Promise.all([
      ...nodes.filter((node) => !frozen.includes(node)).map((node) => watch(node, acknowledgedAt)),
      thaw().then(() => 0),
    ]);
    lateCount += counts.reduce((sum, count) => sum + count, 0);
    await sleep(calmMs);
  }
  record(`${lateCount} late requests were run by the old service`);
  await Promise.all(endpoints.map((endpoint) => endpoint.stop()));
  return lateCount > 0 ? exitCodes.broken : exitCodes.held;
});
