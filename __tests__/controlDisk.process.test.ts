import assert from 'node:assert/strict';
import { readFileSync, rmSync, truncateSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { describe, it } from 'node:test';
import type { ApplyResponse } from '../src/gen/auburnsill/v1/operator_pb.js';
import {
  createControlClient,
  findLeader,
  formatTargets,
  waitForReplication,
  type ControlClient,
} from './support/controlClient.js';
import { withDeployment, type ControlInstance, type Deployment } from './support/deployment.js';
import { createManagedProcess, type ManagedProcess } from './support/managedProcess.js';
import { waitFor } from './support/waitFor.js';

const dataCentreNames = ['dc-a', 'dc-b', 'dc-c'];
const options = { dataCentres: dataCentreNames.map((name) => ({ name })) };

interface Cluster {
  readonly deployment: Deployment;
  readonly clients: readonly ControlClient[];
  /** Resolves with a control instance that is not the leader. */
  follower(): Promise<ControlInstance>;
}

const withCluster = (body: (cluster: Cluster) => Promise<void>): Promise<void> =>
  withDeployment(options, async (deployment) => {
    const clients = deployment.controls.map((control) => createControlClient(deployment, control));
    const follower = async () => {
      const { name } = await findLeader(clients);
      return deployment.controls.find((control) => control.name !== name)!;
    };
    try {
      await body({ deployment, clients, follower });
    } finally {
      clients.forEach(({ close }) => close());
    }
  });

const apply = async (
  clients: readonly ControlClient[],
  changeId: string,
  rate: number,
  base?: ApplyResponse,
): Promise<ApplyResponse> => {
  const leader = await findLeader(clients);
  return leader.commands.apply({
    changeId,
    targets: formatTargets(rate),
    allowDetached: dataCentreNames,
    baseVersion: base?.version,
  });
};

const journalOf = ({ dataFolder }: ControlInstance): string =>
  join(dataFolder, 'configuration', 'journal');

const incarnationOf = ({ dataFolder }: ControlInstance): string =>
  JSON.parse(readFileSync(join(dataFolder, 'identity.json'), 'utf8')).incarnation;

const loseDisk = async (control: ControlInstance) => {
  await control.process.end('SIGKILL');
  rmSync(control.dataFolder, { recursive: true });
};

/** Waits until the membership lists the instance's current incarnation as a voter. */
const waitUntilRepaired = (clients: readonly ControlClient[], control: ControlInstance) =>
  waitFor(
    async () => {
      const leader = await findLeader(clients);
      const { members } = await leader.queries.status({});
      return members.some(
        ({ name, role, incarnation }) =>
          name === control.name && role === 'follower' && incarnation === incarnationOf(control),
      );
    },
    { what: `repair of ${control.name}`, limitMs: 40_000 },
  );

describe('a control instance that loses its disk', () => {
  it('votes again once it has caught up, and the cluster then tolerates a second loss', async () => {
    await withCluster(async ({ deployment, clients, follower }) => {
      const first = await follower();
      const base = await apply(clients, 'c1', 1);
      const lostIncarnation = incarnationOf(first);
      await loseDisk(first);
      const second = await apply(clients, 'c2', 2, base);
      assert.equal(second.outcome, 'accepted');
      // A member that starts again with --bootstrap must not bootstrap a second cluster.
      first.process.start(first === deployment.controls[0] ? ['--bootstrap'] : []);
      await waitUntilRepaired(clients, first);
      assert.notEqual(incarnationOf(first), lostIncarnation);

      const leader = await findLeader(clients);
      const next = deployment.control(leader.name);
      await loseDisk(next);
      const third = await apply(clients, 'c3', 3, second);
      assert.equal(third.outcome, 'accepted', JSON.stringify(third.findings));
      next.process.start(next === deployment.controls[0] ? ['--bootstrap'] : []);
      await waitUntilRepaired(clients, next);
      await waitForReplication(deployment.controls);
      const { items } = await (await findLeader(clients)).queries.history({});
      assert.deepEqual(
        items.map(({ changeId }) => changeId),
        ['c3', 'c2', 'c1'],
      );
    });
  });
});

describe('a damaged log', () => {
  it('is truncated at a torn tail, and the instance continues', async () => {
    await withCluster(async ({ deployment, clients, follower }) => {
      await apply(clients, 'c1', 1);
      const control = await follower();
      await control.process.end('SIGKILL');
      const { length } = readFileSync(journalOf(control));
      truncateSync(journalOf(control), length - 7);
      control.process.start();
      await waitForReplication(deployment.controls);
      assert.equal(control.process.isRunning(), true);
    });
  });

  it('is refused after a flipped bit, and the instance joins again with an empty folder', async () => {
    await withCluster(async ({ deployment, clients, follower }) => {
      await apply(clients, 'c1', 1);
      const control = await follower();
      await control.process.end('SIGKILL');
      const bytes = readFileSync(journalOf(control));
      const at = Math.floor(bytes.length / 2);
      bytes.writeUInt8((bytes.readUInt8(at) + 1) % 256, at);
      writeFileSync(journalOf(control), bytes);
      control.process.start();
      assert.equal(await control.process.waitForExit(), 1);
      assert.match(control.process.stderr(), /E105 data folder is damaged: .*journal/);
      rmSync(control.dataFolder, { recursive: true });
      control.process.start();
      await waitUntilRepaired(clients, control);
      await waitForReplication(deployment.controls);
    });
  });
});

describe('a disk that fails', () => {
  interface FaultyDisk {
    readonly failing: ManagedProcess;
    /** Makes an operation fail with an error code from now on, for example "sync EIO". */
    setFault(fault: string): void;
    clearFault(): void;
  }

  /** Runs one control instance of a cluster on a disk into which faults can be injected. */
  const withFailingDisk = (
    body: (cluster: Cluster, control: ControlInstance, disk: FaultyDisk) => Promise<void>,
  ): Promise<void> =>
    withCluster(async (cluster) => {
      const { deployment, follower } = cluster;
      const control = await follower();
      await control.process.end('SIGTERM');
      const faultFile = join(deployment.folder, 'disk-fault');
      const failing = createManagedProcess({
        name: `${control.name}-failing`,
        args: [
          join(import.meta.dirname, '../dist/auburnsill-control.js'),
          '--settings',
          control.settingsFile,
        ],
        cwd: deployment.folder,
        env: {
          NODE_OPTIONS: `--import ${join(import.meta.dirname, 'support/diskFaults.js')}`,
          DISK_FAULT_FILE: faultFile,
        },
      });
      try {
        await body(cluster, control, {
          failing,
          setFault: (fault) => writeFileSync(faultFile, fault),
          clearFault: () => rmSync(faultFile),
        });
      } finally {
        await failing.end('SIGKILL');
      }
    });

  it('ends the process at a failed sync; the others lose no accepted change', async () => {
    await withFailingDisk(async ({ deployment, clients }, control, disk) => {
      disk.failing.start();
      await waitForReplication(deployment.controls);
      disk.setFault('sync EIO');
      const base = await apply(clients, 'c1', 1);
      assert.equal(base.outcome, 'accepted');
      assert.equal(await disk.failing.waitForExit(), 1);
      assert.match(disk.failing.stderr(), /E106 storage failed/);
      disk.clearFault();
      control.process.start();
      await waitForReplication(deployment.controls);
      assert.equal((await apply(clients, 'c2', 2, base)).outcome, 'accepted');
    });
  });

  it('delays writes while it is full; the others continue, and it then catches up', async () => {
    await withFailingDisk(async ({ deployment, clients }, _control, disk) => {
      disk.failing.start();
      await waitForReplication(deployment.controls);
      let base: ApplyResponse | undefined;
      for (const round of [1, 2, 3]) {
        disk.setFault('append ENOSPC');
        base = await apply(clients, `full-${round}`, 2 * round, base);
        assert.equal(base.outcome, 'accepted');
        await waitFor(() => {
          const reports = disk.failing.stderr().match(/the disk is full/g) ?? [];
          return reports.length >= round;
        });
        disk.clearFault();
        await waitForReplication(deployment.controls);
        base = await apply(clients, `room-${round}`, 2 * round + 1, base);
        assert.equal(base.outcome, 'accepted');
      }
      assert.equal(disk.failing.isRunning(), true);
    });
  });

  it('delays the start of the process while it is full', async () => {
    await withFailingDisk(async ({ deployment, clients }, _control, disk) => {
      disk.setFault('open ENOSPC');
      disk.failing.start();
      const base = await apply(clients, 'c1', 1);
      assert.equal(base.outcome, 'accepted');
      await waitFor(() => /the disk is full/.test(disk.failing.stderr()));
      disk.clearFault();
      await waitForReplication(deployment.controls);
      assert.equal(disk.failing.isRunning(), true);
    });
  });
});

describe('a control instance that cannot start', () => {
  it('reports why: invalid settings, locked folder, foreign folder, address in use', async () => {
    await withCluster(async ({ deployment }) => {
      const [first, second] = deployment.controls;
      const settings = readFileSync(first!.settingsFile, 'utf8');
      const startWith = async (text: string): Promise<[number | null, string]> => {
        const file = join(deployment.folder, 'other.toml');
        writeFileSync(file, text);
        const other = createManagedProcess({
          name: 'other',
          args: [join(import.meta.dirname, '../dist/auburnsill-control.js'), '--settings', file],
          cwd: deployment.folder,
        });
        other.start();
        const code = await other.waitForExit();
        return [code, other.stderr()];
      };
      const [badCode, badText] = await startWith(
        settings.replace(/peer = .*/, 'peer = "nowhere"\nport = 1'),
      );
      assert.equal(badCode, 2);
      assert.match(badText, /listen\.peer.*\n?.*/);
      assert.match(badText, /listen\.port: unknown key/);

      const [lockedCode, lockedText] = await startWith(settings);
      assert.equal(lockedCode, 1);
      assert.match(lockedText, /E103 data folder is in use/);

      await second!.process.end('SIGTERM');
      const foreign = settings.replace(/folder = .*/, `folder = "${second!.dataFolder}"`);
      const [foreignCode, foreignText] = await startWith(foreign);
      assert.equal(foreignCode, 1);
      assert.match(foreignText, /E104 .*belongs to control-dc-b/);

      const [inUseCode, inUseText] = await startWith(
        settings.replace(/folder = .*/, 'folder = "new.data"'),
      );
      assert.equal(inUseCode, 1);
      assert.match(inUseText, /E107 address is in use/);
    });
  });
});
