import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ApplyResponse } from '../src/gen/auburnsill/v1/operator_pb.js';
import { createControlClient, findLeader, formatTargets } from './support/controlClient.js';
import { withDeployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const threeDataCentres = [{ name: 'dc-a' }, { name: 'dc-b' }, { name: 'dc-c' }];

describe('control instances', () => {
  it('elect a leader, accept a change and keep their state through a restart', async () => {
    await withDeployment({ dataCentres: threeDataCentres }, async (deployment) => {
      const clients = deployment.controls.map((control) =>
        createControlClient(deployment, control),
      );
      const leader = await findLeader(clients);
      const applied = await leader.commands.apply({ changeId: 'c1', targets: formatTargets(1) });
      assert.equal(applied.outcome, 'accepted', JSON.stringify(applied.findings));
      const key = { service: 's', key: 'k', attemptId: 'a1' };
      // The ledger's replica group elects its own leader.
      const claims = await waitFor(
        async () => {
          const answers = await Promise.all(clients.map(({ ledger }) => ledger.claim(key)));
          return answers.some(({ outcome }) => outcome !== 'not_leader') ? answers : undefined;
        },
        { what: 'a leader of the ledger' },
      );
      assert.deepEqual(claims.map(({ outcome }) => outcome).sort(), [
        'granted',
        'not_leader',
        'not_leader',
      ]);

      await Promise.all(deployment.controls.map(({ process }) => process.end('SIGKILL')));
      deployment.controls.forEach(({ process }) => process.start());
      const next = await findLeader(clients);
      const kept = await next.queries.get({});
      assert.equal(kept.targets, formatTargets(1));
      assert.deepEqual(kept.version, applied.version);
      const history = await next.queries.history({});
      assert.deepEqual(
        history.items.map(({ changeId, outcome }) => [changeId, outcome]),
        [['c1', 'accepted']],
      );
      const replay = await next.commands.apply({ changeId: 'c1', targets: formatTargets(1) });
      assert.deepEqual([replay.outcome, replay.replayed], ['accepted', true]);
      const status = await next.queries.status({});
      assert.equal(status.members.length, 3);
      const reclaimed = await waitFor(async () => {
        const answers = await Promise.all(
          clients.map(({ ledger }) => ledger.claim({ ...key, attemptId: 'a2' })),
        );
        return answers.find(({ outcome }) => outcome !== 'not_leader');
      });
      assert.equal(reclaimed.outcome, 'in_progress');
      const codes = await Promise.all(
        deployment.controls.map(({ process }) => process.end('SIGTERM')),
      );
      const tails = deployment.controls.map(({ process }) => process.tail(5)).join('\n');
      assert.deepEqual(codes, [0, 0, 0], tails);
      clients.forEach(({ close }) => close());
    });
  });

  it('keep hundreds of changes when all instances are killed at once', async () => {
    await withDeployment({ dataCentres: threeDataCentres }, async (deployment) => {
      const clients = deployment.controls.map((control) =>
        createControlClient(deployment, control),
      );
      const leader = await findLeader(clients);
      const count = 300;
      const startedAt = performance.now();
      let baseVersion: ApplyResponse['version'];
      for (let at = 1; at <= count; at += 1) {
        const answer = await leader.commands.apply({
          changeId: `c${at}`,
          targets: formatTargets(at),
          baseVersion,
        });
        assert.equal(answer.outcome, 'accepted', JSON.stringify(answer.findings));
        baseVersion = answer.version;
      }
      const elapsedMs = performance.now() - startedAt;
      console.log(`${count} changes in turn, ${(elapsedMs / count).toFixed(1)} ms each`);
      await Promise.all(deployment.controls.map(({ process }) => process.end('SIGKILL')));
      deployment.controls.forEach(({ process }) => process.start());
      const next = await findLeader(clients);
      const { items } = await next.queries.history({ limit: 1_000 });
      assert.deepEqual(
        items.map(({ changeId }) => changeId),
        Array.from({ length: count }, (_, at) => `c${count - at}`),
      );
      assert.deepEqual((await next.queries.get({})).version, baseVersion);
      clients.forEach(({ close }) => close());
    });
  });
});
