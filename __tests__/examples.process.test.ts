import assert from 'node:assert/strict';
import { spawnSync } from 'node:child_process';
import { readdirSync, readFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { isDeepStrictEqual } from 'node:util';
import { withDeployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const root = join(import.meta.dirname, '..');
const limitMs = 120_000;

const quickstartFolders = (): string[] =>
  readdirSync(tmpdir()).filter((name) => name.startsWith('auburnsill-quickstart-'));

describe('the example deployments', () => {
  // Guards against a quick start that passes its own check but leaves processes or files behind.
  it('run the quick start, which checks itself and leaves nothing behind', () => {
    const before = quickstartFolders();
    const startedAt = performance.now();
    const { status, stdout, stderr } = spawnSync(
      process.execPath,
      ['scripts/quickstart.js', '--check', '--no-build'],
      { cwd: root, encoding: 'utf8', timeout: limitMs, env: { PATH: process.env.PATH } },
    );
    assert.equal(status, 0, `${stdout.slice(-5_000)}\n${stderr}`);
    const result = JSON.parse(stdout.trimEnd().split('\n').at(-1) ?? '');
    assert.deepEqual([result.ok, result.failed, result.duplicates], [true, 0, 0]);
    assert.ok(result.calls > 100, `${result.calls} calls`);
    assert.ok(result.converged_ms > 0 && result.converged_ms < 7_000, `${result.converged_ms} ms`);
    assert.ok(performance.now() - startedAt < limitMs);
    const left = quickstartFolders().filter((name) => !before.includes(name));
    assert.deepEqual(left, []);
  });

  // Guards against example targets that a fleet of the documented size cannot meet.
  it('put the targets of adire-loom in force on its ten nodes', async () => {
    const dataCentres = [
      { name: 'lagos-a', shopfronts: 3 },
      { name: 'lagos-b', shopfronts: 2 },
      { name: 'lagos-c', shopfronts: 2 },
    ].map(({ name, shopfronts }) => ({
      name,
      region: 'lagos',
      upstreams: [
        { service: 'shopfront', count: shopfronts, slots: 20, connections: 100 },
        { service: 'catalogue', count: 1, slots: 20, connections: 100 },
      ],
    }));
    const targets = readFileSync(join(root, 'examples/adire-loom/targets.toml'), 'utf8');
    await withDeployment({ name: 'adire-loom', dataCentres, targets }, async ({ cli, nodes }) => {
      // Reports of the nodes reach the root of the tree shortly after the targets are in force.
      await waitFor(
        async () => {
          const { stdout } = await cli(['status', '--json']);
          const { ok, data_centres: found } = JSON.parse(stdout);
          const inForce = found.map(({ nodes_in_force: count }: never) => count);
          return ok && isDeepStrictEqual(inForce, [4, 3, 3]);
        },
        { what: 'the targets in force on 4, 3 and 3 nodes' },
      );
      const order = await fetch(`http://${nodes[0]!.calls}/orders`, {
        method: 'POST',
        headers: { 'idempotency-key': 'order-1' },
        body: '{}',
      });
      assert.equal(order.status, 200);
    });
  });
});
