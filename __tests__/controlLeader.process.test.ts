import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { ApplyResponse } from '../src/gen/auburnsill/v1/operator_pb.js';
import {
  createControlClient,
  findLeader,
  readGauge,
  formatTargets,
  waitForReplication,
  type ControlClient,
} from './support/controlClient.js';
import { withDeployment, type ControlInstance, type Deployment } from './support/deployment.js';
import { waitFor } from './support/waitFor.js';

const dataCentreNames = ['dc-a', 'dc-b', 'dc-c'];
const options = { dataCentres: dataCentreNames.map((name) => ({ name })), faultProxies: true };

interface Cluster {
  readonly deployment: Deployment;
  readonly clients: readonly ControlClient[];
  readonly leader: ControlClient;
  readonly others: readonly string[];
  control(name: string): ControlInstance;
}

const withCluster = (body: (cluster: Cluster) => Promise<void>): Promise<void> =>
  withDeployment(options, async (deployment) => {
    const clients = deployment.controls.map((control) => createControlClient(deployment, control));
    try {
      const leader = await findLeader(clients);
      const others = clients.map(({ name }) => name).filter((name) => name !== leader.name);
      await body({ deployment, clients, leader, others, control: deployment.control });
    } finally {
      clients.forEach(({ close }) => close());
    }
  });

/** Data centres may be detached in these tests, because only the quorum matters for them. */
const allowDetached = dataCentreNames;

const apply = (client: ControlClient, changeId: string, rate: number, base?: ApplyResponse) =>
  client.commands.apply({
    changeId,
    targets: formatTargets(rate),
    allowDetached,
    baseVersion: base?.version,
  });

/** Resends a change until an instance reports its outcome, as the command line does. */
const applyAnywhere = (
  clients: readonly ControlClient[],
  changeId: string,
  rate: number,
  base?: ApplyResponse,
): Promise<ApplyResponse> =>
  waitFor(
    async () => {
      const answers = await Promise.all(
        clients.map((client) => apply(client, changeId, rate, base).catch(() => undefined)),
      );
      return answers.find(
        (answer) => answer && !['not_leader', 'unknown'].includes(answer.outcome),
      );
    },
    { what: `the outcome of ${changeId}`, limitMs: 30_000 },
  );

/** Brings the leader into the state in which it is killed, with the change `c2` in progress. */
type Setup = (cluster: Cluster, base: ApplyResponse) => Promise<void>;

const startChange = ({ leader }: Cluster, base: ApplyResponse) => {
  apply(leader, 'c2', 2, base).catch(() => undefined);
};

const waitForIndex = async (control: ControlInstance, above: number) => {
  await waitFor(async () => (await readGauge(control, 'last_index')) > above, {
    what: `an entry above ${above} at ${control.name}`,
  });
};

const setups: Record<string, Setup> = {
  'before the change arrives': async ({ leader, others, deployment }, base) => {
    const proxy = deployment.proxy(leader.name, 'peer');
    others.forEach((name) => proxy.set({}, name));
    proxy.set({ toServer: { discard: true } });
    startChange({ leader } as Cluster, base);
  },
  'after the append, before any other instance has the entry': async (cluster, base) => {
    const { leader, others, deployment, control } = cluster;
    const before = await readGauge(control(leader.name), 'last_index');
    deployment.injectFaults([leader.name], others, { toServer: { delayMs: 300 } });
    startChange(cluster, base);
    await waitForIndex(control(leader.name), before);
    deployment.injectFaults([leader.name], others, { toServer: { discard: true } });
    const indexes = await Promise.all(others.map((name) => readGauge(control(name), 'last_index')));
    assert.deepEqual(indexes, [before, before]);
  },
  'after the others have the entry, before the leader knows': async (cluster, base) => {
    const { leader, others, deployment, control } = cluster;
    const before = await readGauge(control(others[0]!), 'last_index');
    deployment.injectFaults([leader.name], others, { toClient: { delayMs: 300 } });
    startChange(cluster, base);
    await waitForIndex(control(others[0]!), before);
  },
  'after the commit, before the answer': async (cluster, base) => {
    const { leader, others, deployment, control } = cluster;
    const before = await readGauge(control(leader.name), 'commit_index');
    const proxy = deployment.proxy(leader.name, 'peer');
    others.forEach((name) => proxy.set({}, name));
    proxy.set({ toClient: { discard: true } });
    startChange(cluster, base);
    await waitFor(async () => (await readGauge(control(leader.name), 'commit_index')) > before, {
      what: 'the commit',
    });
  },
};

describe('a leader killed while it accepts a change', () => {
  Object.entries(setups).forEach(([step, setUp]) => {
    it(`${step}: the change takes effect once`, async () => {
      await withCluster(async (cluster) => {
        const { clients, leader, deployment, control } = cluster;
        const base = await apply(leader, 'c1', 1);
        assert.equal(base.outcome, 'accepted', JSON.stringify(base.findings));
        await setUp(cluster, base);
        await control(leader.name).process.end('SIGKILL');
        deployment.heal();
        const rest = clients.filter(({ name }) => name !== leader.name);
        const resent = await applyAnywhere(rest, 'c2', 2, base);
        assert.equal(resent.outcome, 'accepted', JSON.stringify(resent.findings));
        if (step.startsWith('after the commit')) {
          assert.equal(resent.replayed, true);
        }
        control(leader.name).process.start();
        await waitForReplication(deployment.controls);
        const next = await findLeader(clients);
        const { items } = await next.queries.history({});
        assert.deepEqual(
          items.map(({ changeId, outcome }) => [changeId, outcome]),
          [
            ['c2', 'accepted'],
            ['c1', 'accepted'],
          ],
        );
        const { version, targets } = await next.queries.get({});
        assert.deepEqual([version, targets], [resent.version, formatTargets(2)]);
      });
    });
  });
});

describe('a leader that is partitioned or paused', () => {
  it('confirms neither reads nor changes to an operator that still reaches it', async () => {
    await withCluster(async ({ deployment, clients, leader, others }) => {
      const base = await apply(leader, 'c1', 1);
      deployment.partition([leader.name], others);
      const [isolated, read] = await Promise.all([
        apply(leader, 'c2', 2, base),
        leader.queries.get({}),
      ]);
      assert.notEqual(isolated.outcome, 'accepted');
      assert.equal(read.outcome, 'not_leader');
      const rest = clients.filter(({ name }) => name !== leader.name);
      const accepted = await applyAnywhere(rest, 'c3', 3, base);
      assert.equal(accepted.outcome, 'accepted');
      assert.equal((await leader.queries.get({})).outcome, 'not_leader');
      deployment.heal();
      await waitForReplication(deployment.controls);
      const next = await findLeader(clients);
      assert.equal((await next.queries.get({})).targets, formatTargets(3));
      // A change that was refused as not run must not be applied later.
      const { outcome } = await next.queries.history({ changeId: 'c2' });
      assert.equal(outcome, isolated.run === 'not_run' ? 'not_found' : outcome);
    });
  });

  it('returns no stale state after a pause longer than the election timeout', async () => {
    await withCluster(async ({ deployment, clients, leader, control }) => {
      const base = await apply(leader, 'c1', 1);
      control(leader.name).process.pause();
      const rest = clients.filter(({ name }) => name !== leader.name);
      const accepted = await applyAnywhere(rest, 'c2', 2, base);
      assert.equal(accepted.outcome, 'accepted');
      // The requests are queued at the paused process, which handles them first when it resumes.
      const reads = Array.from({ length: 5 }, () => leader.queries.get({}));
      const change = apply(leader, 'c3', 3, base);
      control(leader.name).process.resume();
      const answers = await Promise.all(reads);
      answers
        .filter(({ outcome }) => outcome === 'ok')
        .forEach(({ targets }) => assert.equal(targets, formatTargets(2)));
      assert.notEqual((await change).outcome, 'accepted');
      await waitForReplication(deployment.controls);
      const next = await findLeader(clients);
      assert.equal((await next.queries.get({})).targets, formatTargets(2));
    });
  });
});

describe('operators', () => {
  it('race with changes of the same base: one is accepted in each round', async () => {
    await withCluster(async ({ deployment, clients, leader }) => {
      let base: ApplyResponse | undefined;
      for (let round = 0; round < 10; round += 1) {
        const started = base;
        const answers = await Promise.all(
          [0, 1, 2, 3].map((rival) =>
            apply(leader, `c${round}.${rival}`, 1 + round * 10 + rival, started),
          ),
        );
        const accepted = answers.filter(({ outcome }) => outcome === 'accepted');
        const refused = answers.filter(({ outcome }) => outcome === 'refused');
        assert.deepEqual([accepted.length, refused.length], [1, 3]);
        refused.forEach(({ run, findings }) =>
          assert.deepEqual([run, findings[0]?.place], ['not_run', 'version_conflict']),
        );
        [base] = accepted;
      }
      await waitForReplication(deployment.controls);
      assert.equal((await findLeader(clients)).name, leader.name);
    });
  });

  it('get the first outcome if they resend a change, but not for another change', async () => {
    await withCluster(async ({ leader }) => {
      const first = await apply(leader, 'c1', 1);
      await apply(leader, 'c2', 2, first);
      const again = await apply(leader, 'c1', 1);
      assert.deepEqual([again.outcome, again.replayed], ['accepted', true]);
      assert.deepEqual(again.version, first.version);
      const other = await apply(leader, 'c1', 9);
      assert.deepEqual([other.outcome, other.run], ['refused', 'not_run']);
      assert.equal(other.findings[0]?.place, 'change_id_reused');
      assert.equal((await leader.queries.get({})).targets, formatTargets(2));
    });
  });
});
