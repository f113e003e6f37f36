import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { encodeMembers } from '../src/core/agreement/consensusLog.js';
import { openGroupLog } from '../src/plugins/agreement/groupLog.js';
import {
  createReplicaGroup,
  type RunningReplicaGroup,
} from '../src/plugins/agreement/replicaGroup.js';
import type { Member } from '../src/types/internal.js';
import { Failure, type FailureReason } from '../src/utils/failure.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer } from '../src/utils/timer.js';
import { createMemoryFiles, type MemoryFiles } from './support/memoryFiles.js';
import { waitFor } from './support/waitFor.js';

const names = ['a', 'b', 'c'];
const members: Member[] = names.map((name) => ({
  name,
  address: name,
  dataCentre: 'dc',
  region: 'r',
  incarnation: `${name}-0`,
  kind: 'voter',
}));
const times = { tickMs: 5, heartbeatMs: 20, electionTimeoutMs: 150 };

interface Instance {
  readonly name: string;
  readonly group: RunningReplicaGroup<number>;
  readonly files: MemoryFiles;
  readonly applied: string[];
  fatal: unknown;
}

interface Cluster {
  readonly instances: readonly Instance[];
  /** Partitioned instances, which neither send nor receive messages. */
  readonly isolated: Set<string>;
  leader(): Promise<Instance>;
}

const withGroups = async (
  body: (cluster: Cluster) => Promise<void>,
  electionTimeoutMs = times.electionTimeoutMs,
): Promise<void> => {
  const timer = createTimer();
  const isolated = new Set<string>();
  const instances: Instance[] = [];

  const createInstance = async (name: string): Promise<Instance> => {
    const files = createMemoryFiles();
    const storage = await openGroupLog({ files, folder: name, mustExist: false });
    const hardState = { term: 1, votedFor: '' };
    const payload = encodeMembers(members);
    const entries = [{ term: 1, index: 1, kind: 'membership', payload } as const];
    await storage.write([{ type: 'persist', sequence: 0, hardState, entries }]);
    const applied: string[] = [];
    const instance: Instance = {
      name,
      files,
      applied,
      fatal: undefined,
      group: createReplicaGroup<number>({
        group: 'test',
        self: { name, incarnation: `${name}-0` },
        storage,
        loaded: { ...storage.loaded, hardState, entries },
        machine: {
          apply: (entry) => applied.push(Buffer.from(entry.payload).toString()),
          snapshot: () => Buffer.from(JSON.stringify(applied)),
          restore: (data) => {
            const restored = data.length === 0 ? [] : JSON.parse(Buffer.from(data).toString());
            applied.splice(0, applied.length, ...restored);
          },
        },
        request: async (address, message) => {
          const target = instances.find((other) => other.name === address)!;
          if (isolated.has(name) || isolated.has(address)) {
            throw new Error('unreachable');
          }
          const from = { name, incarnation: `${name}-0` };
          const answer = await target.group.receive(from, message);
          return { from: { name: address, incarnation: `${address}-0` }, message: answer };
        },
        timer,
        log: createSilentLog(),
        random: Math.random,
        times: { ...times, electionTimeoutMs },
        compactAfterEntries: 50,
        onFatal: (error) => {
          instance.fatal = error;
        },
      }),
    };
    return instance;
  };

  for (const name of names) {
    instances.push(await createInstance(name));
  }
  instances.forEach(({ group }) => group.start());
  const leader = () =>
    waitFor(async () => {
      const found = instances.find(
        ({ name, group }) => group.queries.role() === 'leader' && !isolated.has(name),
      );
      await found?.group.queries.confirmRead();
      return found;
    });
  try {
    await body({ instances, isolated, leader });
  } finally {
    await Promise.all(instances.map(({ group }) => group.commands.stop()));
    timer.stop();
  }
};

const propose = ({ group }: Instance, text: string) =>
  group.commands.propose(new Uint8Array(Buffer.from(text)));

const failsWith = (reason: FailureReason) => (error: unknown) =>
  error instanceof Failure && error.reason === reason;

describe('replica group', () => {
  it('shares syncs between changes that arrive together', async () => {
    await withGroups(async ({ leader }) => {
      const first = await leader();
      const before = first.files.syncs();
      const count = 1_000;
      await Promise.all(Array.from({ length: count }, (_, at) => propose(first, `p${at}`)));
      const syncs = first.files.syncs() - before;
      console.log(`${count} changes, ${syncs} syncs at the leader`);
      assert.ok(syncs < count / 10, `${syncs} syncs`);
      // On a busy machine one turn of the event loop with all changes takes longer than the usual
      // election timeout.
    }, 5_000);
  });

  it('sends a snapshot to a member that lacks compacted entries', async () => {
    await withGroups(async ({ instances, isolated, leader }) => {
      const first = await leader();
      const away = instances.find((instance) => instance !== first)!;
      isolated.add(away.name);
      for (let at = 0; at < 130; at += 1) {
        await propose(first, `p${at}`);
      }
      await waitFor(() => first.group.status().snapshotIndex > 50, { what: 'compaction' });
      isolated.clear();
      await waitFor(() => away.applied.length === 130, { what: 'all entries' });
      assert.deepEqual(away.applied, first.applied);
      assert.ok(away.group.status().snapshotIndex > 50);
    });
  });

  it('refuses what is not appended; unknown if the leader is lost after the append', async () => {
    await withGroups(async ({ instances, isolated, leader }) => {
      const first = await leader();
      const follower = instances.find((instance) => instance !== first)!;
      await assert.rejects(propose(follower, 'x'), failsWith('not_leader'));
      isolated.add(first.name);
      const lost = propose(first, 'lost');
      const refusal = assert.rejects(
        lost,
        (error) => failsWith('outcome_unknown')(error) || failsWith('not_leader')(error),
      );
      const next = await leader();
      assert.notEqual(next, first);
      await propose(next, 'kept');
      await refusal;
      isolated.clear();
      await waitFor(() => first.applied.includes('kept'), { what: 'the newer entry' });
      assert.deepEqual(first.applied, ['kept']);
    });
  });

  it('refuses a change whose entry was overwritten by a later leader', async () => {
    await withGroups(async ({ isolated, leader }) => {
      const first = await leader();
      isolated.add(first.name);
      const refusal = assert.rejects(
        propose(first, 'lost'),
        (error) => failsWith('not_leader')(error) || failsWith('outcome_unknown')(error),
      );
      await propose(await leader(), 'kept');
      isolated.clear();
      await refusal;
      await waitFor(() => first.applied.includes('kept'), { what: 'the newer entry' });
      assert.deepEqual(first.applied, ['kept']);
    });
  });

  it('transfers its leadership when it stops, before the election timeout', async () => {
    await withGroups(async ({ instances, leader }) => {
      const first = await leader();
      const { term } = first.group.status();
      await first.group.commands.stop();
      const roles = instances.filter(({ group }) => group.status().term === term + 1);
      assert.ok(roles.length > 0, 'no member started an election while the leader stopped');
      const next = await leader();
      assert.notEqual(next, first);
    });
  });

  it('reports a fatal error at a failed sync and acknowledges no unsynced entry', async () => {
    await withGroups(async ({ instances, isolated, leader }) => {
      const first = await leader();
      const others = instances.filter((instance) => instance !== first);
      isolated.add(others[0]!.name);
      others[1]!.files.failFrom('sync', 1, 'EIO');
      propose(first, 'p').catch(() => undefined);
      await waitFor(() => others[1]!.fatal, { what: 'the end of the instance' });
      assert.ok(failsWith('storage_failed')(others[1]!.fatal));
      assert.deepEqual(first.applied, []);
    });
  });
});
