import assert from 'node:assert/strict';
import { join } from 'node:path';
import { writeFileSync } from 'node:fs';
import { afterEach, describe, it } from 'node:test';
import { withDeployment, type Deployment } from './support/deployment.js';
import {
  createChangeClient,
  formatTargets,
  waitUntilAttached,
  waitForVersion,
  watchForRollbacks,
} from './support/deploymentClient.js';

const dataCentres = ['a', 'b', 'c'].map((name) => ({
  name,
  upstreams: [{ service: 'lookup', count: 1 }],
  callerNodes: 2,
}));

const exitRefused = 4;
const exitUnknown = 5;
const exitUnreachable = 6;

/** Ends what a test has opened, also if the test has failed. */
const closers: (() => unknown)[] = [];

const openChanges = (deployment: Deployment) => {
  const changes = createChangeClient(deployment);
  closers.push(changes.close);
  return changes;
};

const startWatch = (deployment: Deployment) => {
  const watch = watchForRollbacks(deployment.nodes);
  closers.push(() => watch.stop().catch(() => undefined));
  return watch;
};

const setUp = async (deployment: Deployment) => {
  const changes = openChanges(deployment);
  await waitForVersion(deployment.nodes, await changes.apply(formatTargets(['lookup'])));
  return changes;
};

const leaderName = async (deployment: Deployment): Promise<string> => {
  const { members } = JSON.parse((await deployment.cli(['status', '--json'])).stdout);
  return members.find(({ role }: { role: string }) => role === 'leader').name;
};

const others = (deployment: Deployment, inside: readonly string[]): string[] =>
  deployment
    .processes()
    .map(({ name }) => name)
    .filter((name) => !inside.includes(name));

/** Applies a change by the command line, so that the exit code is the one that an operator gets. */
const tryChange = async (deployment: Deployment, changeId: string, importance: number) => {
  const file = join(deployment.folder, `${changeId}.toml`);
  writeFileSync(file, formatTargets(['lookup'], importance));
  return deployment.cli(['apply', file, '--change-id', changeId, '--allow-detached', 'c']);
};

describe('two faults at once', () => {
  // Guards against a failed test whose polling keeps the file running to its time limit.
  afterEach(async () => {
    await Promise.all(closers.splice(0).map((close) => close()));
  });

  it('a lost leader during a cut: what is told not run is not in force after the repair', async () => {
    await withDeployment({ dataCentres, faultProxies: true }, async (deployment) => {
      const changes = await setUp(deployment);
      const watch = startWatch(deployment);
      const inside = deployment.processNamesIn('c');
      deployment.partition(inside, others(deployment, inside));
      await changes.apply(formatTargets(['lookup'], 60), ['c']);
      const lost = deployment.control(await leaderName(deployment));
      await lost.process.end('SIGKILL');

      const { exitCode, stdout, stderr } = await tryChange(deployment, 'no-quorum', 70);
      const report = `${exitCode} ${stdout}${stderr}`;
      assert.ok([exitRefused, exitUnknown, exitUnreachable].includes(exitCode ?? 0), report);

      lost.process.start();
      deployment.heal();
      const version = await changes.apply(formatTargets(['lookup'], 80));
      await waitForVersion(deployment.nodes, version);
      await waitUntilAttached(deployment.nodes);
      const history = JSON.parse((await deployment.cli(['history', '--json'])).stdout);
      const outcomes = new Map<string, string>(
        history.items.map((item: { change_id: string; outcome: string }) => [
          item.change_id,
          item.outcome,
        ]),
      );
      if (exitCode !== exitUnknown) {
        assert.notEqual(outcomes.get('no-quorum'), 'accepted', report);
      }
      await watch.stop();
    });
  });

  it('half of all nodes lost during a partition: no proxy reverts and all recover', async () => {
    await withDeployment({ dataCentres, faultProxies: true }, async (deployment) => {
      const changes = await setUp(deployment);
      const watch = startWatch(deployment);
      const inside = deployment.processNamesIn('c');
      deployment.partition(inside, others(deployment, inside));
      const during = await changes.apply(formatTargets(['lookup'], 60), ['c']);
      const killed = deployment.nodes.filter((_, index) => index % 2 === 0);
      await Promise.all(killed.map(({ process }) => process.end('SIGKILL')));
      killed.forEach(({ process }) => process.start());
      const connected = deployment.nodes.filter(({ dataCentre }) => dataCentre !== 'c');
      await waitForVersion(connected, during);

      deployment.heal();
      const version = await changes.apply(formatTargets(['lookup'], 70));
      await waitForVersion(deployment.nodes, version);
      await waitUntilAttached(deployment.nodes);
      await watch.stop();
    });
  });

  it('connections dead while the leader is lost: the next change reaches all nodes', async () => {
    await withDeployment({ dataCentres, faultProxies: true }, async (deployment) => {
      const changes = await setUp(deployment);
      const watch = startWatch(deployment);
      const lost = deployment.control(await leaderName(deployment));
      deployment.controls.forEach(({ name }) =>
        deployment.proxy(name, 'peer').blackholeOpenConnections(),
      );
      await lost.process.end('SIGKILL');
      changes.close();

      const next = openChanges(deployment);
      const version = await next.apply(formatTargets(['lookup'], 60));
      await waitForVersion(deployment.nodes, version);
      lost.process.start();
      const last = await next.apply(formatTargets(['lookup'], 70));
      await waitForVersion(deployment.nodes, last);
      await waitUntilAttached(deployment.nodes);
      await watch.stop();
    });
  });
});
