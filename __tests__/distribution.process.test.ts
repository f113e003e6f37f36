import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { describe, it } from 'node:test';
import { withDeployment, type Deployment, type MeshNode } from './support/deployment.js';
import {
  createChangeClient,
  fetchReport,
  formatTargets,
  waitUntilAttached,
  waitForVersion,
  watchForRollbacks,
} from './support/deploymentClient.js';
import { waitFor } from './support/waitFor.js';

const addPeers = ({ settingsFile }: MeshNode, peers: readonly string[]) => {
  const text = readFileSync(settingsFile, 'utf8');
  const line = `peers = [${peers.map((peer) => JSON.stringify(peer)).join(', ')}]`;
  writeFileSync(settingsFile, text.replace('[cluster]', `[cluster]\n${line}`));
};

const readMetric = async ({ admin }: MeshNode, name: string): Promise<number> => {
  const text = await (await fetch(`http://${admin}/metrics`)).text();
  const line = text.split('\n').find((each) => each.startsWith(name));
  return Number(line?.split(' ').at(-1) ?? 0);
};

const lookup = { service: 'lookup', count: 2 };

const waitForEndpoints = (deployment: Deployment) =>
  waitFor(
    async () =>
      (await Promise.all(deployment.nodes.map(fetchReport))).every(
        ({ endpoints }) => endpoints.lookup?.ready === 2,
      ),
    { limitMs: 30_000, what: 'both endpoints on all nodes' },
  );

const applyTargets = async (deployment: Deployment) => {
  const changes = createChangeClient(deployment);
  const version = await changes.apply(formatTargets(['lookup']));
  await waitForVersion(deployment.nodes, version);
  return changes;
};

describe('distribution over real processes', () => {
  it('recovers when half of all processes die at once, the source among them', async () => {
    const dataCentres = [{ name: 'a', upstreams: [lookup], callerNodes: 18 }];
    await withDeployment({ dataCentres }, async (deployment) => {
      const changes = await applyTargets(deployment);
      const watch = watchForRollbacks(deployment.nodes);
      const killed = [
        ...deployment.controls,
        ...deployment.nodes.filter((_, index) => index % 2 === 0),
      ];
      await Promise.all(killed.map(({ process }) => process.end('SIGKILL')));
      killed.forEach(({ process }) => process.start());
      await waitFor(
        async () => (await fetch(`http://${deployment.controls[0]?.admin}/readyz`)).ok,
        { what: 'readiness of the control instance' },
      );
      const version = await changes.apply(formatTargets(['lookup'], 60));
      await waitForVersion(deployment.nodes, version);
      await waitUntilAttached(deployment.nodes);
      await waitForEndpoints(deployment);
      await watch.stop();
      changes.close();
    });
  });

  it('starts nodes from peers alone while the source is out', async () => {
    const dataCentres = [{ name: 'a', upstreams: [lookup], callerNodes: 4 }];
    await withDeployment({ dataCentres }, async (deployment) => {
      const changes = await applyTargets(deployment);
      const [first, second, ...others] = deployment.nodes;
      assert.ok(first && second, 'no nodes');
      // Peers can pass on only what they received from the source before its outage.
      await waitForEndpoints(deployment);
      const restarted = others.slice(-2);
      await Promise.all(restarted.map(({ process }) => process.end('SIGKILL')));
      const version = await changes.apply(formatTargets(['lookup'], 60));
      await waitForVersion([first, second], version);
      await deployment.controls[0]?.process.end('SIGKILL');
      restarted.forEach((node) => {
        addPeers(node, [first.peer, second.peer]);
        node.process.start();
      });
      await waitForVersion(restarted, version);
      const reports = await Promise.all(restarted.map(fetchReport));
      reports.forEach(({ endpoints }) => assert.equal(endpoints.lookup?.ready, 2));
      await waitFor(
        async () =>
          (await Promise.all(restarted.map(fetchReport))).every(({ detached }) => detached),
        { what: 'the detached state of the restarted nodes' },
      );
      deployment.controls[0]?.process.start();
      await waitUntilAttached(deployment.nodes);
      changes.close();
    });
  });

  it('lets a cut-off data centre serve its last version and get the newest one later', async () => {
    const dataCentres = ['a', 'b', 'c'].map((name) => ({
      name,
      upstreams: [{ service: 'lookup', count: 1 }],
      callerNodes: 1,
    }));
    await withDeployment({ dataCentres, faultProxies: true }, async (deployment) => {
      const changes = await applyTargets(deployment);
      const watch = watchForRollbacks(deployment.nodes);
      const inside = deployment.processNamesIn('c');
      const outside = [...deployment.processNamesIn('a'), ...deployment.processNamesIn('b')];
      const cutOff = deployment.nodes.filter(({ dataCentre }) => dataCentre === 'c');
      const connected = deployment.nodes.filter(({ dataCentre }) => dataCentre !== 'c');
      const before = await Promise.all(cutOff.map(fetchReport));
      deployment.partition(inside, outside);
      await waitFor(
        async () => (await Promise.all(cutOff.map(fetchReport))).every(({ detached }) => detached),
        { limitMs: 40_000, what: 'detached nodes in the cut-off data centre' },
      );
      const version = await changes.apply(formatTargets(['lookup'], 60), ['c']);
      await waitForVersion(connected, version);
      const during = await Promise.all(cutOff.map(fetchReport));
      during.forEach((report, index) => {
        assert.equal(report.version, before[index]?.version);
        assert.ok(
          (report.endpoints.lookup?.ready ?? 0) >= 1,
          'the data centre lost its own endpoints',
        );
      });
      deployment.heal();
      await waitForVersion(deployment.nodes, version, 40_000);
      await waitUntilAttached(deployment.nodes);
      await watch.stop();
      changes.close();
    });
  });

  it('replaces a feed connection that stopped transferring data for good', async () => {
    const dataCentres = [{ name: 'a', upstreams: [lookup], callerNodes: 2 }];
    await withDeployment({ dataCentres, faultProxies: true }, async (deployment) => {
      const changes = await applyTargets(deployment);
      const [control] = deployment.controls;
      assert.ok(control, 'no control instance');
      deployment.proxy(control.name, 'peer').blackholeOpenConnections();
      // The fault also affects the connection of the test's own client.
      changes.close();
      const next = createChangeClient(deployment);
      const startedAt = performance.now();
      const version = await next.apply(formatTargets(['lookup'], 60));
      await waitForVersion(deployment.nodes, version, 7_000);
      assert.ok(
        performance.now() - startedAt < 7_000,
        'the change took 7 s or longer to reach all nodes',
      );
      next.close();
    });
  });

  it('brings a process that missed 500 changes up to date with one update', async () => {
    const dataCentres = [{ name: 'a', upstreams: [lookup], callerNodes: 2 }];
    await withDeployment({ dataCentres }, async (deployment) => {
      const changes = await applyTargets(deployment);
      const [restarted, suspended] = deployment.nodes.slice(-2);
      assert.ok(restarted && suspended, 'no nodes');
      const running = deployment.nodes.slice(0, -2);
      const counter = 'auburnsill_feed_messages_total{direction="received",kind="configuration"}';
      const countBefore = await readMetric(suspended, counter);
      await restarted.process.end('SIGKILL');
      suspended.process.pause();
      let version = '';
      for (let change = 0; change < 500; change += 1) {
        version = await changes.apply(formatTargets(['lookup'], 1 + (change % 100)));
      }
      // A control instance publishes every 200 ms: a node that starts faster than that would miss
      // one change less, and receive it by itself.
      await waitForVersion(running, version);
      restarted.process.start();
      suspended.process.resume();
      await waitForVersion(deployment.nodes, version);
      assert.equal(await readMetric(restarted, counter), 1);
      const received = (await readMetric(suspended, counter)) - countBefore;
      // Changes sent before the suspension was detected can still be in the process's buffers.
      assert.ok(received <= 250, `${received} updates`);
      changes.close();
    });
  });

  it('sends no work to an upstream that left where its withdrawal did not arrive', async () => {
    const dataCentres = [
      { name: 'a', upstreams: [{ service: 'lookup', count: 2 }], callerNodes: 1 },
    ];
    await withDeployment({ dataCentres, faultProxies: true }, async (deployment) => {
      const changes = await applyTargets(deployment);
      const [leaving, , caller] = deployment.nodes;
      assert.ok(leaving?.upstream && caller, 'no nodes');
      const callOnce = async () => (await fetch(`http://${caller.calls}/lookup`)).status;
      await waitFor(async () => (await callOnce()) === 200, { what: 'an answered call' });
      deployment.injectFaults(
        [caller.name],
        deployment.controls.map(({ name }) => name),
        {
          toClient: { silent: true },
          toServer: { silent: true },
        },
      );
      await leaving.upstream.drain();
      const startedBefore = (await leaving.upstream.counters()).started;
      for (let call = 0; call < 50; call += 1) {
        assert.equal(await callOnce(), 200);
      }
      assert.equal((await leaving.upstream.counters()).started, startedBefore);
      assert.equal(
        (await fetchReport(caller)).endpoints.lookup?.ready,
        2,
        'the withdrawal arrived',
      );
      deployment.heal();
      await waitFor(async () => (await fetchReport(caller)).endpoints.lookup?.ready === 1, {
        limitMs: 30_000,
        what: 'the withdrawal after the fault',
      });
      changes.close();
    });
  });
});
