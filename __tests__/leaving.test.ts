import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { handleLeave, leaveGroup } from '../src/plugins/agreement/leaving.js';
import type { LeaveOutcome } from '../src/plugins/agreement/consensusTransport.js';
import type { Member, ReplicaGroup, ReplicaRole } from '../src/types/internal.js';
import { createSilentLog } from '../src/utils/log.js';
import { createTimer } from '../src/utils/timer.js';

const minVoters = 3;

const member = (name: string): Member => ({
  name,
  address: name,
  dataCentre: 'dc',
  region: 'r',
  incarnation: `${name}-0`,
  kind: 'voter',
});

const createGroup = (
  names: readonly string[],
  role: ReplicaRole = 'leader',
  silent: readonly string[] = [],
) => {
  let members = names.map(member);
  const { commands, queries } = {
    commands: {
      changeMembers: async ({ member: removed }: { member: Member }) => {
        members = members.filter(({ name }) => name !== removed.name);
      },
    },
    queries: {
      role: () => role,
      members: () => members,
      intactVoters: () => members.length,
      leader: () => members[0],
      contactAgeMs: (name: string) => (silent.includes(name) ? 1_500 : 0),
    },
  } as unknown as ReplicaGroup<unknown>;
  return { commands, queries };
};

const namesOf = ({ queries }: ReturnType<typeof createGroup>) =>
  queries.members().map(({ name }) => name);

describe('a leader that a stopping voter asks for its removal', () => {
  // Guards against a vote that is counted in the size of a majority after its instance has ended.
  it('removes it from four voters', async () => {
    const group = createGroup(['a', 'b', 'c', 'd']);
    assert.equal(await handleLeave(group, member('d'), minVoters), 'removed');
    assert.deepEqual(namesOf(group), ['a', 'b', 'c']);
    assert.equal(await handleLeave(group, member('d'), minVoters), 'removed');
  });

  // Guards against a restart of all instances in turn that ends with a single voter and its disk.
  it('keeps it if only as many voters are left as the losses to tolerate require', async () => {
    const group = createGroup(['a', 'b', 'c']);
    assert.equal(await handleLeave(group, member('c'), minVoters), 'kept');
    assert.deepEqual(namesOf(group), ['a', 'b', 'c']);
  });

  // Guards against a removal beside a voter that is gone for good and not noticed yet: stops of the
  // others then ended the group.
  it('does not remove it while a voter that would stand in is silent', async () => {
    const group = createGroup(['a', 'b', 'c', 'd'], 'leader', ['b']);
    assert.equal(await handleLeave(group, member('d'), minVoters), 'pending');
    assert.deepEqual(namesOf(group), ['a', 'b', 'c', 'd']);
    const larger = createGroup(['a', 'b', 'c', 'd', 'e'], 'leader', ['b']);
    assert.equal(await handleLeave(larger, member('d'), minVoters), 'removed');
  });

  it('does not remove another incarnation of it', async () => {
    const group = createGroup(['a', 'b', 'c', 'd']);
    await handleLeave(group, { name: 'd', incarnation: 'd-1' }, minVoters);
    assert.deepEqual(namesOf(group), ['a', 'b', 'c', 'd']);
  });
});

describe('a stopping voter', () => {
  const leave = async (names: readonly string[], answers: LeaveOutcome[]) => {
    const timer = createTimer();
    let requests = 0;
    try {
      await leaveGroup({
        self: member('d'),
        group: createGroup(names, 'follower'),
        minVoters,
        ask: async () => {
          requests += 1;
          return answers.shift() ?? 'pending';
        },
        timer,
        log: createSilentLog(),
      });
      return requests;
    } finally {
      timer.stop();
    }
  };

  it('asks again while another change is pending', async () => {
    assert.equal(await leave(['a', 'b', 'c', 'd'], ['pending', 'not_leader', 'removed']), 3);
  });

  it('does not ask if its vote is needed', async () => {
    assert.equal(await leave(['a', 'b', 'd'], []), 0);
  });

  // Guards against a stop that waits for a leader that does not exist until it is killed.
  it('stops without an answer after a limited time', async () => {
    const startedAt = performance.now();
    await leave(['a', 'b', 'c', 'd'], []);
    assert.ok(performance.now() - startedAt < 3_000);
  });
});
