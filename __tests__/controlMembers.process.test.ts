import assert from 'node:assert/strict';
import { readFileSync, writeFileSync } from 'node:fs';
import { createServer, type AddressInfo } from 'node:net';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { parse, stringify } from 'smol-toml';
import { createControlClient, findLeader } from './support/controlClient.js';
import { withDeployment } from './support/deployment.js';
import { createManagedProcess } from './support/managedProcess.js';
import { waitFor } from './support/waitFor.js';

const freeAddress = (): Promise<string> =>
  new Promise((resolve) => {
    const server = createServer();
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      server.close(() => resolve(`127.0.0.1:${port}`));
    });
  });

describe('members of the control group', () => {
  it('are added as learners that become voters, and removed, in both groups', async () => {
    const options = { dataCentres: ['dc-a', 'dc-b', 'dc-c'].map((name) => ({ name })) };
    await withDeployment(options, async (deployment) => {
      const clients = deployment.controls.map((control) =>
        createControlClient(deployment, control),
      );
      const settings = parse(
        readFileSync(deployment.controls[0]!.settingsFile, 'utf8'),
      ) as never as {
        control: object;
        listen: object;
        storage: object;
        cluster: { members: object[] };
      };
      const [peer, admin] = [await freeAddress(), await freeAddress()];
      const member = { name: 'control-dc-d', data_centre: 'dc-d', region: 'region' };
      settings.control = member;
      settings.listen = { peer, admin };
      settings.storage = { folder: 'control-dc-d.data' };
      settings.cluster.members.push({ ...member, address: peer });
      const settingsFile = join(deployment.folder, 'control-dc-d.toml');
      writeFileSync(settingsFile, stringify(settings));
      const added = createManagedProcess({
        name: member.name,
        args: [
          join(import.meta.dirname, '../dist/auburnsill-control.js'),
          '--settings',
          settingsFile,
        ],
        cwd: deployment.folder,
      });
      added.start();
      const isReady = async () => (await fetch(`http://${admin}/readyz`)).ok;
      await waitFor(async () => (await fetch(`http://${admin}/healthz`)).ok);
      assert.equal(await isReady(), false);

      const change = async (action: string) => {
        const leader = await findLeader(clients);
        return leader.commands.changeMembers({
          action,
          member: member.name,
          address: peer,
          dataCentre: 'dc-d',
          region: 'region',
        });
      };
      const answer = await waitFor(async () => {
        const tried = await change('add');
        return tried.outcome === 'accepted' ? tried : undefined;
      });
      assert.equal(answer.outcome, 'accepted');
      // An instance is ready once it is a voter in both groups and hears from their leaders.
      await waitFor(isReady, { what: 'the new member as a voter', limitMs: 30_000 });
      assert.match((await change('add')).outcome, /refused/);
      assert.equal((await change('remove')).outcome, 'accepted');
      const { members } = await (await findLeader(clients)).queries.status({});
      assert.deepEqual(members.map(({ name }) => name).sort(), [
        'control-dc-a',
        'control-dc-b',
        'control-dc-c',
      ]);
      const votersOfLedger = async (control: { admin: string }) => {
        const text = await (await fetch(`http://${control.admin}/metrics`)).text();
        return Number(/control_voters\{group="ledger"\} (\d+)/.exec(text)?.[1]);
      };
      await waitFor(
        async () => {
          const counts = await Promise.all(deployment.controls.map(votersOfLedger));
          return counts.every((count) => count === 3);
        },
        { what: 'the ledger without the removed member', limitMs: 30_000 },
      );
      assert.equal(await added.end('SIGTERM'), 0);
      clients.forEach(({ close }) => close());
    });
  });
});
