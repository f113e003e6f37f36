import assert from 'node:assert/strict';
import { Agent, request as httpRequest } from 'node:http';
import { describe, it } from 'node:test';
import { makeCall, type CallResponse } from './support/callMesh.js';
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

const parseRefusal = ({ status, body }: CallResponse): { run?: string; reason?: string } =>
  status >= 400 ? JSON.parse(body) : {};

const isReady = async (node: MeshNode): Promise<boolean> =>
  (await fetch(`http://${node.admin}/readyz`)).ok;

/** Number of runs of a key, over all stand-in upstreams that are running. */
const countRuns = async (deployment: Deployment, key: string): Promise<number> => {
  const counters = await Promise.all(
    deployment.nodes.map(async ({ upstream }) =>
      upstream?.process.isRunning() ? ((await upstream.counters()).byKey[key] ?? 0) : 0,
    ),
  );
  return counters.reduce((sum, runs) => sum + runs, 0);
};

const placeOrder = (node: MeshNode, key: string, work = 0) =>
  makeCall(node.calls, `/orders?work=${work}`, {
    method: 'POST',
    headers: { 'idempotency-key': key },
    body: key,
  });

/** Repeats an order as a caller does, until it gets a response or learns that it may have run. */
const placeOrderUntilSettled = async (
  node: MeshNode,
  key: string,
  work = 0,
): Promise<CallResponse> =>
  waitFor(
    async () => {
      const response = await placeOrder(node, key, work);
      return parseRefusal(response).run === 'not_run' ? undefined : response;
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
      const plain = await placeOrderUntilSettled(a!, 'plain');
      assert.equal(plain.status, 200, plain.body);
      const replayed = await waitFor(async () => {
        const response = await placeOrder(b!, 'plain');
        return response.headers['idempotency-replayed'] === 'true' ? response : undefined;
      });
      assert.equal(replayed.body, plain.body);

      // The caller's node is killed during its order; the caller retries in another data centre.
      const lost = placeOrder(a!, 'node-killed', 1_500).catch(() => undefined);
      await waitFor(async () => (await countRuns(deployment, 'node-killed')) === 1);
      await a!.process.end('SIGKILL');
      await lost;
      const resent = await placeOrderUntilSettled(b!, 'node-killed', 1_500);
      assert.equal(resent.status, 409, resent.body);
      assert.equal(parseRefusal(resent).run, 'may_have_run');
      assert.equal(await countRuns(deployment, 'node-killed'), 1);
      a!.process.start();
      await waitFor(() => isReady(a!));

      // The node beside the upstream is killed while an order runs there.
      const beside = deployment.node('s-2');
      const running = placeOrder(b!, 'beside-killed', 1_500);
      await waitFor(async () => (await countRuns(deployment, 'beside-killed')) === 1);
      const processingNode = (
        await Promise.all(
          deployment.nodes.map(async (node) => ({
            node,
            runs: node.upstream
              ? ((await node.upstream.counters()).byKey['beside-killed'] ?? 0)
              : 0,
          })),
        )
      ).find(({ runs }) => runs > 0)?.node;
      await (processingNode ?? beside).process.end('SIGKILL');
      assert.equal(parseRefusal(await running).run, 'may_have_run');
      assert.equal((await placeOrderUntilSettled(c!, 'beside-killed', 1_500)).status, 409);
      assert.equal(await countRuns(deployment, 'beside-killed'), 1);
      (processingNode ?? beside).process.start();
      await waitFor(() => isReady(processingNode ?? beside));

      // Data centre a is cut off: without a quorum, nothing runs there until the partition heals.
      deployment.partition(deployment.processNamesIn('a'), [
        ...deployment.processNamesIn('b'),
        ...deployment.processNamesIn('c'),
      ]);
      const refusedDuringCut = await waitFor(
        async () => {
          const response = await placeOrder(a!, 'cut-off').catch(() => undefined);
          return response && response.status >= 400 ? response : undefined;
        },
        { limitMs: 40_000 },
      );
      assert.equal(parseRefusal(refusedDuringCut).run, 'not_run', refusedDuringCut.body);
      assert.equal(await countRuns(deployment, 'cut-off'), 0);
      const elsewhere = await placeOrderUntilSettled(b!, 'cut-off');
      assert.equal(elsewhere.status, 200, elsewhere.body);
      deployment.heal();
      await waitFor(async () => (await placeOrder(a!, 'cut-off')).status === 200, {
        limitMs: 40_000,
      });
      assert.equal(await countRuns(deployment, 'cut-off'), 1);

      // The upstream itself is killed while the order runs.
      const upstreams = deployment.nodes.filter(({ upstream }) => upstream);
      const dying = placeOrder(c!, 'upstream-killed', 1_500);
      await waitFor(async () => (await countRuns(deployment, 'upstream-killed')) === 1);
      const counts = await Promise.all(
        upstreams.map(
          async ({ upstream }) => (await upstream!.counters()).byKey['upstream-killed'],
        ),
      );
      const victim = upstreams[counts.findIndex((runs) => runs !== undefined)]?.upstream;
      await victim?.process.end('SIGKILL');
      assert.equal(parseRefusal(await dying).run, 'may_have_run');
      assert.equal((await placeOrderUntilSettled(b!, 'upstream-killed', 1_500)).status, 409);
      assert.equal(await countRuns(deployment, 'upstream-killed'), 0);
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
      const cutCalls: string[] = [];
      let answered = 0;
      let refused = 0;
      const waitForAnswers = (count: number) => {
        const before = answered;
        return waitFor(() => answered > before + count, { what: 'further responses' });
      };
      let isCalling = true;

      /** Makes a call on a pooled connection; a refused connection counts as not sent. */
      const callOnPooledConnection = (node: MeshNode, id: string) =>
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
                const isOwnResponse =
                  response.statusCode === 200 && JSON.parse(text).request_id === id;
                const isNotRun = response.headers['x-run'] === 'not_run';
                const failure = isNotRun ? 'not_run' : `${response.statusCode} ${text}`;
                resolve(isOwnResponse ? 'ok' : failure);
              });
            },
          );
          sent.on('error', (error: NodeJS.ErrnoException) =>
            resolve(error.code === 'ECONNREFUSED' ? 'not_run' : `${error.code} ${node.name}`),
          );
          sent.end('abc');
        });

      const work = async (worker: number) => {
        for (let turn = 0; isCalling; turn += 1) {
          const node = nodes[(worker + turn) % nodes.length]!;
          const result = await callOnPooledConnection(node, `w${worker}-${turn}`);
          answered += result === 'ok' ? 1 : 0;
          refused += result === 'not_run' ? 1 : 0;
          if (result !== 'ok' && result !== 'not_run') {
            cutCalls.push(result);
          }
          await new Promise((resolve) => {
            setTimeout(resolve, 5);
          });
        }
      };
      const workers = Array.from({ length: 8 }, (_, index) => work(index));
      await waitFor(() => answered > 200);

      const stopWorkers = async () => {
        isCalling = false;
        await Promise.all(workers);
        agent.destroy();
      };
      try {
        for (const node of nodes) {
          assert.equal(await node.process.end('SIGTERM'), 0, node.process.tail());
          node.process.start();
          await waitFor(() => isReady(node));
          await waitForAnswers(50);
        }

        const leaving = deployment.node('s-1').upstream!;
        await leaving.drain();
        const afterLeave = (await leaving.counters()).started;
        await waitForAnswers(300);
        assert.equal((await leaving.counters()).started, afterLeave);
        assert.equal((await leaving.counters()).inFlight, 0);
      } finally {
        await stopWorkers();
      }
      console.log(`${answered} answered, ${refused} refused as not run, ${cutCalls.length} cut`);
      assert.deepEqual(cutCalls, []);
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
      const readResidentMemory = async ({ admin }: MeshNode): Promise<number> => {
        const text = await (await fetch(`http://${admin}/metrics`)).text();
        return Number(/^process_resident_memory_bytes\S* (\S+)$/m.exec(text)?.[1]);
      };
      const maxMemory = async () =>
        Math.max(...(await Promise.all(deployment.nodes.map((node) => readResidentMemory(node)))));

      const upload = await makeCall(caller.calls, '/plain', {
        method: 'POST',
        body: Buffer.alloc(1_000_000, 'u'),
      });
      assert.equal(JSON.parse(upload.body).received_bytes, 1_000_000, upload.body);
      const before = await maxMemory();
      await upstream.setBehaviour({ bodyBytes });
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
      // While the caller does not read, the nodes must not buffer the rest of the response.
      let peakMemory = 0;
      let samples = 0;
      await waitFor(async () => {
        peakMemory = Math.max(peakMemory, await maxMemory());
        samples += 1;
        return samples >= 40;
      });
      response.resume();
      await ended;
      assert.equal(received, bodyBytes);
      console.log(`resident memory grew by ${Math.round((peakMemory - before) / 1024 / 1024)} MiB`);
      assert.ok(peakMemory - before < growthLimitBytes, `${before} to ${peakMemory}`);
    });
  });
});
