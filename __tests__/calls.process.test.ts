import assert from 'node:assert/strict';
import { Agent, request as httpRequest } from 'node:http';
import { describe, it } from 'node:test';
import { makeCall, type CallAnswer } from './support/callMesh.js';
import { withDeployment, type Deployment, type MeshNode } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const targets = `
[class.count]
service = "s"
match = [{ method = "GET", path = "/count" }]
answer_within = "5s"
idempotent = true

[class.plain]
service = "s"
match = [{ method = "POST", path = "/plain" }, { method = "GET", path = "/tiles" }]
answer_within = "5s"

[class.order]
service = "s"
match = [{ method = "POST", path = "/orders" }]
answer_within = "5s"
at_most_once = true
`;

const reasonOf = ({ status, body }: CallAnswer): { run?: string; reason?: string } =>
  status >= 400 ? JSON.parse(body) : {};

const isUp = async (node: MeshNode): Promise<boolean> =>
  (await fetch(`http://${node.admin}/readyz`)).ok;

/** Runs of a key over all stand-ins that are up. */
const runsOf = async (deployment: Deployment, key: string): Promise<number> => {
  const counters = await Promise.all(
    deployment.nodes.map(async ({ upstream }) =>
      upstream?.process.isRunning() ? ((await upstream.counters()).byKey[key] ?? 0) : 0,
    ),
  );
  return counters.reduce((sum, runs) => sum + runs, 0);
};

const order = (node: MeshNode, key: string, work = 0) =>
  makeCall(node.calls, `/orders?work=${work}`, {
    method: 'POST',
    headers: { 'idempotency-key': key },
    body: key,
  });

/** Resends an order as a caller does: until it has an answer, or hears that it may have run. */
const orderUntilSettled = async (node: MeshNode, key: string, work = 0): Promise<CallAnswer> =>
  waitFor(
    async () => {
      const answer = await order(node, key, work);
      return reasonOf(answer).run === 'not_run' ? undefined : answer;
    },
    { limitMs: 40_000, everyMs: 200, what: `an outcome of ${key}` },
  );

describe('calls between real processes', () => {
  it('run an order at most once across kills, a cut that heals and resends elsewhere', async () => {
    const dataCentre = (name: string) => ({
      name,
      upstreams: [{ service: 's', count: 1 }],
      callerNodes: 1,
    });
    const options = {
      dataCentres: [dataCentre('a'), dataCentre('b'), dataCentre('c')],
      faultProxies: true,
      targets,
    };
    await withDeployment(options, async (deployment) => {
      const [a, b, c] = ['a', 'b', 'c'].map((name) => deployment.node(`caller-${name}-1`));
      const plain = await orderUntilSettled(a!, 'plain');
      assert.equal(plain.status, 200, plain.body);
      const replayed = await waitFor(async () => {
        const answer = await order(b!, 'plain');
        return answer.headers['idempotency-replayed'] === 'true' ? answer : undefined;
      });
      assert.equal(replayed.body, plain.body);

      // The caller's node dies while its order runs; the caller resends in another data centre.
      const lost = order(a!, 'node-killed', 1_500).catch(() => undefined);
      await waitFor(async () => (await runsOf(deployment, 'node-killed')) === 1);
      await a!.process.end('SIGKILL');
      await lost;
      const resent = await orderUntilSettled(b!, 'node-killed', 1_500);
      assert.equal(resent.status, 409, resent.body);
      assert.equal(reasonOf(resent).run, 'may_have_run');
      assert.equal(await runsOf(deployment, 'node-killed'), 1);
      a!.process.start();
      await waitFor(() => isUp(a!));

      // The node beside the upstream dies while an order runs there.
      const beside = deployment.node('s-2');
      const running = order(b!, 'beside-killed', 1_500);
      await waitFor(async () => (await runsOf(deployment, 'beside-killed')) === 1);
      const holder = (
        await Promise.all(
          deployment.nodes.map(async (node) => ({
            node,
            runs: node.upstream
              ? ((await node.upstream.counters()).byKey['beside-killed'] ?? 0)
              : 0,
          })),
        )
      ).find(({ runs }) => runs > 0)?.node;
      await (holder ?? beside).process.end('SIGKILL');
      assert.equal(reasonOf(await running).run, 'may_have_run');
      assert.equal((await orderUntilSettled(c!, 'beside-killed', 1_500)).status, 409);
      assert.equal(await runsOf(deployment, 'beside-killed'), 1);
      (holder ?? beside).process.start();
      await waitFor(() => isUp(holder ?? beside));

      // The data centre is cut off: no quorum there, so nothing runs, until the cut heals.
      deployment.partition(deployment.namesIn('a'), [
        ...deployment.namesIn('b'),
        ...deployment.namesIn('c'),
      ]);
      const cut = await waitFor(
        async () => {
          const answer = await order(a!, 'cut-off').catch(() => undefined);
          return answer && answer.status >= 400 ? answer : undefined;
        },
        { limitMs: 40_000 },
      );
      assert.equal(reasonOf(cut).run, 'not_run', cut.body);
      assert.equal(await runsOf(deployment, 'cut-off'), 0);
      const elsewhere = await orderUntilSettled(b!, 'cut-off');
      assert.equal(elsewhere.status, 200, elsewhere.body);
      deployment.heal();
      await waitFor(async () => (await order(a!, 'cut-off')).status === 200, { limitMs: 40_000 });
      assert.equal(await runsOf(deployment, 'cut-off'), 1);

      // The upstream itself dies while the order runs.
      const upstreams = deployment.nodes.filter(({ upstream }) => upstream);
      const dying = order(c!, 'upstream-killed', 1_500);
      await waitFor(async () => (await runsOf(deployment, 'upstream-killed')) === 1);
      const counts = await Promise.all(
        upstreams.map(
          async ({ upstream }) => (await upstream!.counters()).byKey['upstream-killed'],
        ),
      );
      const victim = upstreams[counts.findIndex((runs) => runs !== undefined)]?.upstream;
      await victim?.process.end('SIGKILL');
      assert.equal(reasonOf(await dying).run, 'may_have_run');
      assert.equal((await orderUntilSettled(b!, 'upstream-killed', 1_500)).status, 409);
      assert.equal(await runsOf(deployment, 'upstream-killed'), 0);
    });
  });

  it('are not cut by a rolling restart of every node and the leave of an upstream', async () => {
    const options = {
      dataCentres: [{ name: 'a', upstreams: [{ service: 's', count: 3 }], callerNodes: 1 }],
      targets,
    };
    await withDeployment(options, async (deployment) => {
      const { nodes } = deployment;
      const agent = new Agent({ keepAlive: true, maxSockets: 50 });
      const cuts: string[] = [];
      let answered = 0;
      let refused = 0;
      const answersGrowBy = (count: number) => {
        const before = answered;
        return waitFor(() => answered > before + count, { what: 'further answers' });
      };
      let isLoaded = true;

      /** One call on a connection that is kept; a refused connection counts as not sent. */
      const callKept = (node: MeshNode, id: string) =>
        new Promise<string>((resolve) => {
          const [host, port] = node.calls.split(':');
          const sent = httpRequest(
            {
              host,
              port,
              agent,
              path: '/plain?work=20',
              method: 'POST',
              headers: { 'x-request-id': id, 'content-length': 3 },
            },
            (response) => {
              const parts: Buffer[] = [];
              response.on('data', (part: Buffer) => parts.push(part));
              response.on('error', (error) => resolve(`body ${error.message}`));
              response.on('end', () => {
                const text = Buffer.concat(parts).toString();
                const isOwn = response.statusCode === 200 && JSON.parse(text).request_id === id;
                const isNotRun = response.headers['x-run'] === 'not_run';
                const failure = isNotRun ? 'not_run' : `${response.statusCode} ${text}`;
                resolve(isOwn ? 'ok' : failure);
              });
            },
          );
          sent.on('error', (error: NodeJS.ErrnoException) =>
            resolve(error.code === 'ECONNREFUSED' ? 'not_run' : `${error.code} ${node.name}`),
          );
          sent.end('abc');
        });

      const work = async (worker: number) => {
        for (let turn = 0; isLoaded; turn += 1) {
          const node = nodes[(worker + turn) % nodes.length]!;
          const result = await callKept(node, `w${worker}-${turn}`);
          answered += result === 'ok' ? 1 : 0;
          refused += result === 'not_run' ? 1 : 0;
          if (result !== 'ok' && result !== 'not_run') {
            cuts.push(result);
          }
          await new Promise((resolve) => {
            setTimeout(resolve, 5);
          });
        }
      };
      const workers = Array.from({ length: 8 }, (_, index) => work(index));
      await waitFor(() => answered > 200);

      const stopWorkers = async () => {
        isLoaded = false;
        await Promise.all(workers);
        agent.destroy();
      };
      try {
        for (const node of nodes) {
          assert.equal(await node.process.end('SIGTERM'), 0, node.process.tail());
          node.process.start();
          await waitFor(() => isUp(node));
          await answersGrowBy(50);
        }

        const leaving = deployment.node('s-1').upstream!;
        await leaving.drain();
        const afterLeave = (await leaving.counters()).started;
        await answersGrowBy(300);
        assert.equal((await leaving.counters()).started, afterLeave);
        assert.equal((await leaving.counters()).inFlight, 0);
      } finally {
        await stopWorkers();
      }
      console.log(`${answered} answered, ${refused} refused as not run, ${cuts.length} cut`);
      assert.deepEqual(cuts, []);
    });
  });

  it('stream large bodies both ways in bounded memory', async () => {
    const bodyBytes = 160 * 1024 * 1024;
    const growthLimitBytes = 64 * 1024 * 1024;
    const options = {
      dataCentres: [{ name: 'a', upstreams: [{ service: 's', count: 1 }], callerNodes: 1 }],
      targets,
    };
    await withDeployment(options, async (deployment) => {
      const caller = deployment.node('caller-a-1');
      const upstream = deployment.node('s-1').upstream!;
      const memoryOf = async ({ admin }: MeshNode): Promise<number> => {
        const text = await (await fetch(`http://${admin}/metrics`)).text();
        return Number(/^process_resident_memory_bytes\S* (\S+)$/m.exec(text)?.[1]);
      };
      const sum = async () =>
        Math.max(...(await Promise.all(deployment.nodes.map((node) => memoryOf(node)))));

      const up = await makeCall(caller.calls, '/plain', {
        method: 'POST',
        body: Buffer.alloc(1_000_000, 'u'),
      });
      assert.equal(JSON.parse(up.body).received_bytes, 1_000_000, up.body);
      const before = await sum();
      await upstream.behave({ bodyBytes });
      const sent = httpRequest(`http://${caller.calls}/tiles`, { agent: false });
      sent.end();
      let received = 0;
      let isPaused = false;
      const response = await new Promise<NodeJS.ReadableStream>((resolve, reject) => {
        sent.on('response', resolve);
        sent.on('error', reject);
      });
      response.on('data', (part: Buffer) => {
        received += part.length;
        if (!isPaused && received > bodyBytes / 8) {
          isPaused = true;
          response.pause();
        }
      });
      const ended = new Promise((resolve, reject) => {
        response.on('end', resolve);
        response.on('error', reject);
      });
      await waitFor(() => isPaused);
      // While the caller does not read, the nodes must not take in the rest.
      let most = 0;
      let samples = 0;
      await waitFor(async () => {
        most = Math.max(most, await sum());
        samples += 1;
        return samples >= 40;
      });
      response.resume();
      await ended;
      assert.equal(received, bodyBytes);
      console.log(`resident memory grew by ${Math.round((most - before) / 1024 / 1024)} MiB`);
      assert.ok(most - before < growthLimitBytes, `${before} to ${most}`);
    });
  });
});
