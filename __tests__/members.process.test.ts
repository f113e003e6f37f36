import assert from 'node:assert/strict';
import { readFileSync, rmSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import { parse, stringify } from 'smol-toml';
import { createManagedProcess } from './support/managedProcess.js';
import { reserveAddresses, withDeployment, type Deployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

interface MemberLine {
  readonly name: string;
  readonly role: string;
  readonly incarnation: string;
  readonly address: string;
}

const membersOf = async ({ cli }: Deployment): Promise<MemberLine[]> => {
  const { stdout, exitCode } = await cli(['members', '--json']);
  assert.equal(exitCode, 0, stdout);
  return JSON.parse(stdout).members;
};

const dataCentres = ['a', 'b', 'c'].map((name) => ({ name }));

describe('cluster members', () => {
  // Guards against instances that can only be added by editing the settings of all others.
  it('are added and removed by the command line', async () => {
    await withDeployment({ dataCentres }, async (deployment) => {
      const { folder, cli, controls } = deployment;
      const [first] = controls;
      const settings = parse(readFileSync(first!.settingsFile, 'utf8')) as never as {
        control: { name: string; data_centre: string };
        listen: { peer: string; admin: string };
        storage: { folder: string };
        cluster: { members: { name: string; address: string; data_centre: string }[] };
      };
      const own = { ...settings.cluster.members[0]!, name: 'control-d', data_centre: 'a' };
      settings.control = { ...settings.control, name: 'control-d', data_centre: 'a' };
      const [peer, admin] = await reserveAddresses(2);
      settings.listen = { peer: peer!, admin: admin! };
      settings.storage = { folder: 'control-d.data' };
      settings.cluster.members.push({ ...own, address: settings.listen.peer });
      const file = join(folder, 'control-d.toml');
      writeFileSync(file, stringify(settings));
      const added = createManagedProcess({
        name: 'control-d',
        args: [join(import.meta.dirname, '../dist/auburnsill-control.js'), '--settings', file],
        cwd: folder,
      });
      added.start();
      try {
        await waitFor(() => added.output().some((line) => line.includes('control: started')));
        const add = ['members', 'add', 'control-d', '--address', settings.listen.peer];
        const result = await cli([...add, '--data-centre', 'a', '--region', 'region']);
        assert.equal(result.exitCode, 0, `${result.stdout}${result.stderr}`);
        await waitFor(async () => (await membersOf(deployment)).length === 4);
        const ready = await waitFor(
          async () => (await fetch(`http://${settings.listen.admin}/readyz`)).ok,
        );
        assert.ok(ready);
        const removed = await cli(['members', 'remove', 'control-d']);
        assert.equal(removed.exitCode, 0, `${removed.stdout}${removed.stderr}`);
        const names = (await membersOf(deployment)).map(({ name }) => name);
        assert.deepEqual(names.sort(), ['control-a', 'control-b', 'control-c']);
      } finally {
        await added.end();
      }
    });
  });

  // Guards against a member that counts towards the quorum after the loss of its disk, and against
  // the need for a manual repair.
  it('are added again with a new incarnation after the loss of a disk', async () => {
    await withDeployment({ dataCentres }, async (deployment) => {
      const { process, dataFolder, name, admin } = deployment.control('control-b');
      const incarnationOf = (members: readonly MemberLine[]) =>
        members.find((member) => member.name === name)?.incarnation;
      const before = incarnationOf(await membersOf(deployment));
      await process.end('SIGKILL');
      rmSync(dataFolder, { recursive: true });
      process.start();
      await waitFor(async () => (await fetch(`http://${admin}/readyz`)).ok, { limitMs: 30_000 });
      const after = await membersOf(deployment);
      assert.notEqual(incarnationOf(after), before);
      assert.equal(after.length, 3);
    });
  });
});
