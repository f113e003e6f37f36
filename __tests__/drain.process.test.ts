import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { withDeployment, type Deployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const targets = `
[class.lookup]
service = "lookups"
match = [{ path = "/poles" }]
answer_within = "1s"
idempotent = true
`;

const callAll = async (deployment: Deployment): Promise<void> => {
  const statuses = await Promise.all(
    Array.from({ length: 30 }, async (_, index) => {
      const node = deployment.nodes[index % deployment.nodes.length]!;
      const response = await fetch(`http://${node.calls}/poles`);
      await response.arrayBuffer();
      return response.status;
    }),
  );
  assert.deepEqual([...new Set(statuses)], [200]);
};

describe('drain by an operator', () => {
  it('sends no more calls to the endpoint, and resumes when the drain is undone', async () => {
    const options = {
      dataCentres: [{ name: 'a', upstreams: [{ service: 'lookups', count: 3 }], callerNodes: 1 }],
    };
    await withDeployment(options, async (deployment) => {
      await waitFor(async () => (await deployment.apply(targets)).exitCode === 0);
      const [drained, second, third] = deployment.nodes;
      assert.ok(drained?.upstream && second && third, 'three upstreams');
      const startedAt = (node = drained) =>
        node.upstream!.counters().then(({ started }) => started);
      // Callers of the drained node prefer the upstream beside it.
      await waitFor(async () => {
        await callAll(deployment);
        return (await startedAt()) > 0;
      });

      const result = await deployment.cli(['drain', drained.name, '--json']);
      assert.equal(result.exitCode, 0, result.stdout + result.stderr);
      const { version } = JSON.parse(result.stdout);
      await waitFor(async () => {
        const status = JSON.parse((await deployment.cli(['status', '--json'])).stdout);
        return status.version === version && status.ok;
      });
      const before = await startedAt();
      await callAll(deployment);
      assert.equal(await startedAt(), before, 'calls reached the drained endpoint');

      assert.equal((await deployment.cli(['drain', second.name])).exitCode, 0);
      const last = await deployment.cli(['drain', third.name]);
      assert.equal(last.exitCode, 4, 'draining the last endpoint in use was not refused');

      assert.equal((await deployment.cli(['drain', drained.name, '--undo'])).exitCode, 0);
      await waitFor(
        async () => {
          await callAll(deployment);
          return (await startedAt()) > before;
        },
        { what: 'calls at the endpoint that is back in use' },
      );
    });
  });
});
