import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { withDeployment, type Deployment, type MeshNode } from './support/deployment.js';
import { createPatientCaller, type PatientCaller } from './support/patientCaller.js';
import { waitFor } from './support/waitFor.js';

const targets = `
[class.lookup]
service = "lookups"
match = [{ method = "GET", path = "/poles" }]
answer_within = "5s"
idempotent = true

[class.confirmation]
service = "confirmations"
match = [{ method = "POST", path = "/confirmations" }]
at_most_once = true
answer_within = "5s"
`;

const dataCentres = ['a', 'b', 'c'].map((name) => ({
  name,
  upstreams: [
    { service: 'lookups', count: 1 },
    { service: 'confirmations', count: 1 },
  ],
}));

const isReady = async (admin: string): Promise<boolean> =>
  (await fetch(`http://${admin}/readyz`)).ok;

/** Starts a load that always has short, long and at-most-once calls in flight. */
const startLoad = (caller: PatientCaller) => {
  const inFlight = new Set<Promise<void>>();
  const keys: string[] = [];
  let sequence = 0;
  const sendEvery = (periodMs: number, path: string, method: 'GET' | 'POST') =>
    setInterval(() => {
      sequence += 1;
      const id = `call-${sequence}`;
      if (method === 'POST') {
        keys.push(id);
      }
      const running: Promise<void> = caller
        .send({ id, path, method, withKey: method === 'POST' })
        .finally(() => inFlight.delete(running));
      inFlight.add(running);
    }, periodMs);
  const timers = [
    sendEvery(25, '/poles?work=10', 'GET'),
    sendEvery(250, '/poles?work=1500', 'GET'),
    sendEvery(100, '/confirmations?work=50', 'POST'),
  ];
  return {
    keys,
    stop: async () => {
      timers.forEach((timer) => clearInterval(timer));
      await Promise.all(inFlight);
    },
  };
};

const restartControls = async ({ controls }: Deployment) => {
  for (const { process, admin, name } of controls) {
    assert.equal(await process.end('SIGTERM'), 0, `${name}\n${process.tail()}`);
    process.start();
    await waitFor(() => isReady(admin), { limitMs: 30_000, what: `readiness of ${name}` });
  }
};

const restartNode = async ({ process, admin, name }: MeshNode) => {
  assert.equal(await process.end('SIGTERM'), 0, `${name}\n${process.tail()}`);
  process.start();
  await waitFor(() => isReady(admin), { limitMs: 30_000, what: `readiness of ${name}` });
};

describe('a rolling restart', () => {
  // Guards against planned stops that interrupt calls, run at-most-once calls again, or lose them.
  it('of every process under load cuts no call', async () => {
    await withDeployment({ dataCentres, targets }, async (deployment) => {
      const { nodes } = deployment;
      const runsByKey: Record<string, number> = {};
      const collectRuns = async ({ upstream }: MeshNode) => {
        const { byKey } = await upstream!.counters();
        Object.entries(byKey).forEach(([key, count]) => {
          runsByKey[key] = (runsByKey[key] ?? 0) + count;
        });
      };
      const countEndpoints = async (service: string): Promise<number> => {
        const { stdout } = await deployment.cli(['status', '--json']);
        const services = JSON.parse(stdout).services as { name: string; endpoints: number }[];
        return services.find(({ name }) => name === service)?.endpoints ?? 0;
      };
      const caller = createPatientCaller({ nodes: () => nodes.map(({ calls }) => calls) });
      const load = startLoad(caller);

      try {
        await restartControls(deployment);
        for (const node of nodes) {
          await restartNode(node);
          await waitFor(async () => (await countEndpoints(node.upstream!.service)) === 3, {
            limitMs: 30_000,
            what: `return of the endpoint beside ${node.name}`,
          });
        }
        for (const node of nodes) {
          const upstream = node.upstream!;
          await upstream.drain();
          await collectRuns(node);
          assert.equal(await upstream.process.end('SIGTERM'), 0);
          await upstream.start();
          await waitFor(async () => (await countEndpoints(upstream.service)) === 3, {
            limitMs: 30_000,
            what: `return of ${upstream.name}`,
          });
        }
      } finally {
        await load.stop();
        await caller.close();
      }
      await Promise.all(nodes.map(collectRuns));

      assert.deepEqual(caller.faults(), []);
      const wrongCounts = load.keys.filter((key) => runsByKey[key] !== 1);
      assert.deepEqual(
        wrongCounts.map((key) => [key, runsByKey[key] ?? 0]),
        [],
        'confirmations that did not run exactly once',
      );
      assert.ok(caller.answered() > 500, `${caller.answered()} calls were answered`);
      console.log(`answered ${caller.answered()}, refused as not run:`, caller.refusals());
    });
  });
});
