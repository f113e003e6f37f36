import assert from 'node:assert/strict';
import { Agent } from 'node:http';
import { after, before, describe, it } from 'node:test';
import {
  createDocument,
  sendRequest,
  startPlatform,
  type NodeMachine,
  type Platform,
} from './support/platform.js';
import { waitFor } from './support/waitFor.js';

const routes = [
  { name: 'r-look', prefix: '/look/', service: 'alpha' },
  { name: 'r-place', prefix: '/place/', service: 'alpha', kind: 'unsafe' as const },
  { name: 'r-tile', prefix: '/tile/', service: 'beta', kind: 'download' as const },
];
const host = 'mesh.example';

describe('a deployment on the platform', () => {
  let platform: Platform;
  let version = 1;
  let ids = 0;
  const nextId = () => {
    ids += 1;
    return `q-${ids}`;
  };
  const callAt = (machine: NodeMachine, path: string) =>
    platform.call(machine, { path, host, id: nextId() });

  before(async () => {
    platform = await startPlatform({
      dataCentres: [
        { name: 'a', services: ['alpha', 'beta'] },
        { name: 'b', services: ['alpha'] },
        { name: 'c', services: ['beta'] },
      ],
    });
    await platform.putUntilAccepted(createDocument(1, 0, routes));
    await platform.waitUntilReady();
  });
  after(() => platform.stop());

  it('serves requests in every data centre, even without a local endpoint', async () => {
    for (const machine of platform.nodes) {
      for (const path of ['/look/1?q=%20x', '/tile/2']) {
        const answer = await waitFor(async () => {
          const got = await callAt(machine, path);
          return got.status === 200 ? got : undefined;
        });
        assert.equal(answer.headers['request-id'], `q-${ids}`);
        assert.match(String(answer.headers['response-stamp']), /^stamp-of-/);
        assert.match(answer.body, new RegExp(`GET ${path.replace('?', '\\?')} $`));
      }
    }
  });

  it('sets the service of the originating machine, ignoring what the caller sent', async () => {
    const [first] = platform.nodes;
    const id = nextId();
    const headers = { 'caller-service': 'forged', 'expect-instance': 'i-0', 'x-plain': 'kept' };
    const body = 'order';
    const call = { method: 'POST', path: '/place/1', host, id, headers, body };
    assert.equal((await platform.call(platform.nodes[2]!, call)).status, 200);
    const arrived = platform.nodes.flatMap(({ endpoint }) => endpoint!.arrived);
    const [found] = arrived.filter((request) => request.id === id);
    assert.equal(found?.headers['caller-service'], platform.nodes[2]!.service);
    assert.notEqual(found?.headers['expect-instance'], 'i-0');
    assert.equal(found?.headers['x-plain'], 'kept');
    assert.equal(found?.body, body);
    assert.ok(Number(found?.headers['deadline-ms']) <= 2_000);
    assert.ok(first);
  });

  it('responds 404 if no route matches, and 400 to an invalid document', async () => {
    const [machine] = platform.nodes;
    const missing = await platform.call(machine!, { path: '/none/', host, id: nextId() });
    assert.equal(missing.status, 404);
    const other = await platform.call(machine!, { path: '/look/', host: 'x.y', id: nextId() });
    assert.equal(other.status, 404);
    const bad = createDocument(2, 1, [{ name: 'r', prefix: '/x/', weights: { alpha: 0 } }]);
    assert.equal((await platform.put(bad)).status, 400);
  });

  it('activates a burst of changes within 2 s of each response, never reverting one', async () => {
    for (let step = 0; step < 8; step += 1) {
      const next = createDocument(version + 2, version, [
        ...routes,
        { name: 'r-new', prefix: `/new${version + 2}/`, service: 'alpha' },
      ]);
      assert.equal((await platform.put(next)).status, 200);
      const ackedAt = performance.now();
      version += 2;
      const path = `/new${version}/`;
      const older = `/new${version - 2}/`;
      for (const machine of platform.nodes) {
        await waitFor(async () => (await callAt(machine, path)).status === 200, {
          limitMs: 2_000 - (performance.now() - ackedAt),
          what: `${path} on ${machine.name}`,
        });
        const old = await callAt(machine, older);
        assert.equal(old.status, 404);
      }
    }
  });

  it('accepts the same document again, and refuses another one on the same base', async () => {
    const next = createDocument(version + 3, version, routes);
    assert.equal((await platform.put(next)).status, 200);
    for (const { ip } of platform.controls) {
      assert.equal((await platform.put(next, ip)).status, 200);
    }
    const conflicting = createDocument(version + 3, version, routes.slice(1));
    assert.equal((await platform.put(conflicting)).status, 412);
    version += 3;
    const read = await platform.get();
    assert.deepEqual(JSON.parse(read.body), next);
  });

  it('splits requests between weighted services by their weights', async () => {
    const split = { name: 'r-split', prefix: '/split/', weights: { alpha: 80, beta: 20 } };
    const next = createDocument(version + 1, version, [...routes, split]);
    assert.equal((await platform.put(next)).status, 200);
    version += 1;
    const [machine] = platform.nodes;
    await waitFor(
      async () =>
        (await platform.call(machine!, { path: '/split/', host, id: nextId() })).status === 200,
    );
    const services: string[] = [];
    const agent = new Agent({ keepAlive: true, maxSockets: 4 });
    const send = async () => {
      const got = await platform.call(machine!, { path: '/split/', host, id: nextId(), agent });
      const [endpoint] = got.body.split(' ');
      services.push(platform.nodes.find((node) => node.endpoint!.id === endpoint)!.service);
    };
    for (let round = 0; round < 50; round += 1) {
      await Promise.all([send(), send(), send(), send()]);
    }
    agent.destroy();
    const share = services.filter((service) => service === 'beta').length / services.length;
    assert.ok(Math.abs(share - 0.2) < 0.05, `${share}`);
  });

  it('cancels a request at the endpoint, across both hops, when the caller closes', async () => {
    const remote = platform.nodes.find(
      ({ service, dataCentre }) => service === 'beta' && dataCentre === 'c',
    )!;
    const id = nextId();
    const abort = new AbortController();
    platform.nodes.forEach(({ endpoint }) => endpoint!.setResponder(() => undefined));
    const call = platform.call(remote, { path: '/look/slow', host, id, signal: abort.signal });
    const find = () =>
      platform.nodes.flatMap(({ endpoint }) => endpoint!.arrived).find((each) => each.id === id);
    await waitFor(find);
    abort.abort();
    await assert.rejects(call);
    await waitFor(() => find()?.wasAborted, { limitMs: 500, what: 'the close at the endpoint' });
    platform.nodes.forEach(({ endpoint }) => endpoint!.setResponder(undefined));
  });

  it('sends no requests to a deregistered endpoint, even after a late heartbeat', async () => {
    const machine = platform.nodes.find(({ service }) => service === 'alpha')!;
    const endpoint = machine.endpoint!;
    endpoint.stopHeartbeats();
    assert.equal(await endpoint.drain(), 200);
    const ranBefore = endpoint.executedRequests().length;
    assert.equal(await endpoint.deregister(), 200);
    await endpoint.checkIn({ state: 'ready' });
    for (const caller of platform.nodes) {
      const answers = await Promise.all(
        Array.from({ length: 10 }, () => callAt(caller, '/look/d')),
      );
      answers.forEach(({ status }) => assert.equal(status, 200));
    }
    assert.equal(endpoint.executedRequests().length, ranBefore);
    await endpoint.stop();
  });

  it('sends requests to a new endpoint beside the same node, under its own id', async () => {
    const machine = platform.nodes.find(({ service }) => service === 'alpha')!;
    const endpoint = await platform.startEndpoint(machine);
    await waitFor(async () => {
      await platform.call(machine, { path: '/look/n', host, id: nextId() });
      return endpoint.executedRequests().length > 0;
    });
    assert.equal(endpoint.executedRequests()[0]!.headers['expect-instance'], endpoint.id);
  });

  it('cuts no request when a node is stopped, and reports it not ready immediately', async () => {
    const machine = platform.nodes[1]!;
    machine.endpoint!.setResponder((message, response) => {
      setTimeout(() => {
        response.writeHead(200, {
          'request-id': String(message.headers['request-id']),
          'response-stamp': 's',
          'content-length': '2',
        });
        response.end('ok');
      }, 700);
    });
    const calls = Array.from({ length: 5 }, () =>
      sendRequest(machine.outbound, { path: '/tile/slow', host, id: nextId(), deadlineMs: 3_000 }),
    );
    await waitFor(() => machine.endpoint!.running() > 0);
    machine.process.signal('SIGTERM');
    await waitFor(async () => !(await platform.isReady(machine)), { limitMs: 500 });
    const late = sendRequest(machine.outbound, { path: '/look/late', host, id: nextId() });
    assert.equal((await late).status, 200);
    (await Promise.all(calls)).forEach(({ status }) => assert.equal(status, 200));
    assert.equal(await machine.process.waitForExit(6_000), 0);
  });

  // Guards against a stop that cuts calls long before the end of its grace period, 6 s here.
  it('completes a call that ends before the last sixth of the grace period', async () => {
    const machine = platform.nodes[3]!;
    const route = { ...routes[2]!, name: 'r-long', prefix: '/long/', timeoutMs: 9_000 };
    await platform.putUntilAccepted(createDocument(version + 1, version, [...routes, route]));
    const path = '/long/1';
    await waitFor(async () => (await callAt(machine, path)).status === 200);
    machine.endpoint!.setResponder((message, response) => {
      setTimeout(() => {
        response.writeHead(200, {
          'request-id': String(message.headers['request-id']),
          'response-stamp': 's',
          'content-length': '2',
        });
        response.end('ok');
      }, 4_800);
    });
    const call = { path, host, id: nextId(), deadlineMs: 9_000 };
    const answer = sendRequest(machine.outbound, call);
    await waitFor(() => machine.endpoint!.running() > 0);
    machine.process.signal('SIGTERM');
    assert.equal((await answer).status, 200);
    assert.equal(await machine.process.waitForExit(6_000), 0);
  });
});
