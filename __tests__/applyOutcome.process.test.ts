import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { withDeployment, type Deployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const targetsWith = (answerWithin: string): string => `
[class.lookup]
service = "lookups"
match = [{ path = "/" }]
answer_within = "${answerWithin}"
idempotent = true
`;

const dataCentres = ['a', 'b', 'c'].map((name) => ({
  name,
  upstreams: [{ service: 'lookups', count: 1 }],
}));

const options = { dataCentres, faultProxies: true, targets: targetsWith('250ms') };

const statusOf = async ({ cli }: Deployment) => {
  const result = await cli(['status', '--json']);
  return { ...JSON.parse(result.stdout), exitCode: result.exitCode };
};

const leaderOf = async (deployment: Deployment) => {
  const { members } = await statusOf(deployment);
  const { name } = members.find(({ role }: { role: string }) => role === 'leader');
  return deployment.control(name);
};

describe('the outcome of apply', () => {
  // Guards against reporting success although a partitioned data centre does not have the change.
  it('names a partitioned data centre, and proceeds only if it is allowed by name', async () => {
    await withDeployment(options, async (deployment) => {
      const leader = await leaderOf(deployment);
      const partitioned = deployment.controls.find((control) => control !== leader)!;
      const others = ['a', 'b', 'c'].filter((name) => name !== partitioned.dataCentre);
      deployment.partition(
        deployment.processNamesIn(partitioned.dataCentre),
        others.flatMap((name) => deployment.processNamesIn(name)),
      );
      const isDetached = async () => {
        const { data_centres: listed } = await statusOf(deployment);
        return listed.some(
          (item: { name: string; attached: boolean }) =>
            item.name === partitioned.dataCentre && !item.attached,
        );
      };
      await waitFor(isDetached, { limitMs: 30_000, what: 'detachment' });
      const refused = await deployment.apply(targetsWith('300ms'));
      assert.equal(refused.exitCode, 4, refused.stdout);
      assert.match(refused.stderr, new RegExp(`data_centre_detached: .*${partitioned.dataCentre}`));
      assert.match(refused.stderr, /refused, nothing was changed/);

      const allowed = ['--allow-detached', partitioned.dataCentre, '--json'];
      const accepted = await deployment.apply(targetsWith('300ms'), allowed);
      assert.equal(accepted.exitCode, 0, accepted.stderr);
      const answer = JSON.parse(accepted.stdout);
      assert.equal(answer.outcome, 'accepted');
      assert.ok(answer.not_in_force.includes(partitioned.dataCentre), accepted.stdout);
      assert.equal((await statusOf(deployment)).exitCode, 8);

      deployment.heal();
      await waitFor(async () => (await statusOf(deployment)).exitCode === 0, { limitMs: 30_000 });
    });
  });

  // Guards against a wait that succeeds while a node still serves the older version.
  it('is incomplete while a node does not answer, and names it', async () => {
    await withDeployment(options, async (deployment) => {
      const [node] = deployment.nodes;
      node!.process.pause();
      const wait = ['--wait', '--wait-limit', '1'];
      const incomplete = await deployment.apply(targetsWith('300ms'), wait);
      assert.equal(incomplete.exitCode, 8, `${incomplete.stdout}${incomplete.stderr}`);
      assert.match(incomplete.stdout, /accepted as version/);
      assert.match(incomplete.stdout, /not confirmed in force yet in: a/);
      assert.match(incomplete.stdout, new RegExp(`${node!.name} serves .*:`));
      node!.process.resume();
      await waitFor(async () => (await statusOf(deployment)).exitCode === 0, { limitMs: 30_000 });
    });
  });

  // Guards against a change that is made twice, or reported wrongly, when the leader fails.
  it('is available by change id when the leader stops responding', async () => {
    await withDeployment(options, async (deployment) => {
      const leader = await leaderOf(deployment);
      leader.process.pause();
      const args = ['--change-id', 'while-paused', '--allow-detached', leader.dataCentre, '--json'];
      const applied = await waitFor(
        async () => {
          const result = await deployment.apply(targetsWith('300ms'), args);
          return result.exitCode === 0 ? JSON.parse(result.stdout) : undefined;
        },
        { limitMs: 60_000, what: 'acceptance by another leader' },
      );
      assert.equal(applied.outcome, 'accepted');
      leader.process.resume();
      const { stdout } = await deployment.cli(['history', '--json']);
      const made = JSON.parse(stdout).items.filter(
        (item: { change_id: string }) => item.change_id === 'while-paused',
      );
      assert.equal(made.length, 1);
      assert.equal(made[0].version, applied.version);
    });
  });
});
