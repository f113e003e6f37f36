/**
 * Endpoints send some answers whose body does not end. Checks that the requests end soon after the
 * timeout of their route, although their consumers would wait longer.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { Agent, request } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
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
const slots = 18;
const workMs = 40;
const heartbeatMs = 1_500;
const timeoutMs = 1_000;
/** A request has to end this much later than its route's timeout. */
const endSlackMs = 500;
/** Time that a consumer waits. */
const timeLimitMs = 5_000;
/** Share of the answers of an endpoint that do not end, and share of the endpoints that send some. */
const endlessShare = 0.05;
const endlessEndpointShare = 0.5;
const endpointCount = 6;
const endlessPartBytes = 2_000;
const endlessPeriodMs = 50;
const consumerCount = 24;
const requestsPerConsumer = 30;
/** The rule is broken by this number of requests and by more than this share of the long ones. */
const minLong = 8;
const longShare = 0.25;

interface EndpointOptions {
  readonly machine: Machine;
  readonly id: string;
  readonly port: number;
  readonly control: string;
  readonly isEndless: () => boolean;
  readonly record: (line: string) => void;
}

/** Stand-in for an endpoint; an endless body goes on until its connection is closed. */
const startEndpoint = async (options: EndpointOptions) => {
  const { machine, id, port, control, isEndless, record } = options;
  const born = Date.now();
  let running = 0;
  let sequence = 0;

  const answer = (message: IncomingMessage, response: ServerResponse, requestId: string) => {
    const headers = {
      'request-id': requestId,
      'response-stamp': `stamp-of-${id}`,
      'load-report': `${running},0,${slots}`,
    };
    if (!isEndless()) {
      response.writeHead(200, { ...headers, 'content-length': 2 });
      response.end('ok');
      return;
    }
    record(`${id} begins an endless answer to ${requestId}`);
    const startedAt = performance.now();
    response.writeHead(200, headers);
    const parts = setInterval(() => response.write('x'.repeat(endlessPartBytes)), endlessPeriodMs);
    response.once('close', () => {
      clearInterval(parts);
      const tookMs = Math.round(performance.now() - startedAt);
      record(`${id}: the connection of ${requestId} is closed after ${tookMs} ms`);
    });
  };

  const server = createServer((message, response) => {
    const requestId = String(message.headers['request-id']);
    const expected = message.headers['expect-instance'];
    message.resume();
    if (expected !== undefined && expected !== id) {
      response.writeHead(421, { 'request-id': requestId, 'content-length': 0 });
      response.end();
      return;
    }
    running += 1;
    response.once('close', () => {
      running -= 1;
    });
    setTimeout(() => answer(message, response, requestId), workMs);
  });
  server.keepAliveTimeout = 10_000;
  await new Promise<void>((done) => {
    server.listen(port, machine.ip, done);
  });
  const checkIn = () => {
    sequence += 1;
    return send(control, {
      method: 'POST',
      path: `/Instances.Heartbeat/${id}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        service: machine.service,
        address: `${machine.ip}:${port}`,
        zone: machine.zone,
        version: 'v1',
        slots,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence,
        born,
      }),
    });
  };
  const heartbeat = setInterval(checkIn, heartbeatMs);
  await checkIn();
  return {
    stop: () => {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  };
};

await runCase(async (deployment, hasTrouble) => {
  const { addMachine, writeSettings, start, record, ports } = deployment;
  const controls = zones.map((zone) => addMachine('control', zone));
  const nodes = Array.from({ length: endpointCount }, (_, index) =>
    addMachine('node', zones[index % zones.length]!, 'alpha'),
  );
  for (const machine of [...controls, ...nodes]) {
    await writeSettings(machine, true);
  }
  await Promise.all([...controls, ...nodes].map(start));
  await sleep(3_000);
  const endpoints = await Promise.all(
    nodes.map((machine, index) =>
      startEndpoint({
        machine,
        id: `i-${index}`,
        port: ports.app,
        control: `${machine.ip}:${ports.control}`,
        isEndless: () =>
          hasTrouble &&
          index < endlessEndpointShare * endpointCount &&
          Math.random() < endlessShare,
        record,
      }),
    ),
  );
  const document = createDocument(1, 0, [
    { name: 'look', prefix: '/look/', service: 'alpha', kind: 'safe', timeoutMs },
  ]);
  if ((await putUntilClear(deployment, controls, document, 20_000))?.status !== 200) {
    throw new Error('the configuration was not accepted');
  }
  await waitUntilReady(deployment, nodes, 20_000);
  await sleep(4_000);

  let ids = 0;
  let longCount = 0;
  let unendedCount = 0;

  /** Sends one request; its consumer leaves at its time limit. */
  const call = (host: string, agent: Agent): Promise<void> =>
    new Promise((done) => {
      ids += 1;
      const id = `q-${ids}`;
      const sentAt = performance.now();
      let ending = 'ends without an answer';
      const headers = { host: callHost, 'request-id': id, 'deadline-ms': String(timeLimitMs) };
      const sent = request(
        { host, port: ports.outbound, path: '/look/1', headers, agent },
        (response) => {
          response.resume();
          response.once('end', () => {
            ending = `ends with ${response.statusCode}`;
          });
          response.on('error', () => undefined);
        },
      );
      const leave = setTimeout(() => {
        ending = 'has not ended when its consumer leaves';
        sent.destroy();
      }, timeLimitMs);
      sent.once('error', () => undefined);
      sent.once('close', () => {
        clearTimeout(leave);
        const tookMs = Math.round(performance.now() - sentAt);
        longCount += tookMs > timeoutMs ? 1 : 0;
        unendedCount += tookMs > timeoutMs + endSlackMs ? 1 : 0;
        record(`${id} ${ending}, after ${tookMs} ms`);
        done();
      });
      sent.end();
    });

  const consume = async (index: number) => {
    const { ip } = nodes[index % nodes.length]!;
    const agent = new Agent({ keepAlive: true, maxSockets: 1 });
    for (let count = 0; count < requestsPerConsumer; count += 1) {
      await call(ip, agent);
      await sleep(100);
    }
    agent.destroy();
  };
  await Promise.all(Array.from({ length: consumerCount }, (_, index) => consume(index)));
  record(
    `of ${ids} requests ${longCount} lasted longer than ${timeoutMs} ms, ` +
      `${unendedCount} had not ended ${endSlackMs} ms later`,
  );
  endpoints.forEach((endpoint) => endpoint.stop());
  const isBroken = unendedCount >= minLong && unendedCount > longShare * longCount;
  return isBroken ? exitCodes.broken : exitCodes.held;
});
