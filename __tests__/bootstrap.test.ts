import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { decodeMembers } from '../src/core/agreement/consensusLog.js';
import {
  bootstrapGroup,
  isEmptyLog,
  type BootstrapOptions,
} from '../src/plugins/agreement/bootstrap.js';
import { openGroupLog } from '../src/plugins/agreement/groupLog.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { createMemoryFiles } from './support/memoryFiles.js';

const member = (name: string) => ({ name, address: name, dataCentre: 'dc', region: 'r' });

const createOptions = async (terms: Record<string, number | undefined>) => {
  const storage = await openGroupLog({ files: createMemoryFiles(), folder: 'f', mustExist: false });
  const timer = createManualTimer();
  const probed: string[] = [];
  const options: BootstrapOptions = {
    self: { ...member('a'), incarnation: 'a-0', kind: 'voter' },
    others: [member('b'), member('c')],
    storage,
    probe: async (address) => {
      probed.push(address);
      const term = terms[address];
      if (term === undefined) {
        throw new Error('unreachable');
      }
      const from = { name: address, incarnation: `${address}-0` };
      return { from, message: { type: 'voteAnswer', term, granted: false, preVote: true } };
    },
    timer,
    log: createSilentLog(),
    isStopped: () => false,
  };
  return { options, timer, probed };
};

const nextTurn = () =>
  new Promise((resolve) => {
    setImmediate(resolve);
  });

describe('bootstrap of a cluster', () => {
  it('writes the first membership with itself as the only voter', async () => {
    const { options } = await createOptions({ b: 0, c: 0 });
    const { entries, hardState } = await bootstrapGroup(options);
    const members = decodeMembers(entries[0]!.payload);
    assert.deepEqual(
      members.map(({ name, incarnation, kind }) => [name, incarnation, kind]),
      [
        ['a', 'a-0', 'voter'],
        ['b', 'b-0', 'learner'],
        ['c', 'c-0', 'learner'],
      ],
    );
    assert.equal(hardState.term, 1);
  });

  it('writes nothing if another member belongs to a cluster, as after a disk loss', async () => {
    const { options } = await createOptions({ b: 0, c: 7 });
    assert.ok(isEmptyLog(await bootstrapGroup(options)));
  });

  // Guards against a first start that never ends since one seed is gone for good.
  it('founds with a majority of the seeds on a first start, after it has waited for all', async () => {
    const { options, timer } = await createOptions({ b: 0 });
    const startedAt = timer.now();
    let foundedAt: number | undefined;
    const bootstrapping = bootstrapGroup({ ...options, othersJoin: true }).then((loaded) => {
      foundedAt = timer.now();
      return loaded;
    });
    for (let attempt = 0; attempt < 50 && foundedAt === undefined; attempt += 1) {
      await nextTurn();
      timer.advance(100);
    }
    const { entries } = await bootstrapping;
    assert.deepEqual(
      decodeMembers(entries[0]!.payload).map(({ name }) => name),
      ['a'],
    );
    assert.ok(foundedAt! - startedAt >= 2_000, `after ${foundedAt! - startedAt} ms`);
  });

  it('does not found without a majority of the seeds, or beside a cluster', async () => {
    for (const terms of [{}, { b: 3 }] as Record<string, number>[]) {
      const { options, timer } = await createOptions(terms);
      let isStopped = false;
      let isDone = false;
      const bootstrapping = bootstrapGroup({
        ...options,
        othersJoin: true,
        isStopped: () => isStopped,
      }).finally(() => {
        isDone = true;
      });
      for (let attempt = 0; attempt < 100; attempt += 1) {
        await nextTurn();
        timer.advance(100);
      }
      assert.equal(isDone, terms.b !== undefined);
      isStopped = true;
      while (!isDone) {
        await nextTurn();
        timer.advance(1_000);
      }
      assert.ok(isEmptyLog(await bootstrapping));
    }
  });

  // Guards against a founder that waits although a majority has answered, or that founds without one
  // or beside a cluster, whenever seeds start, are killed or are replaced.
  it('founds exactly if a majority of the seeds is empty, for any order of starts and kills', async () => {
    const limitMs = 12_000;
    const failed: string[] = [];
    for (let seed = 1; seed <= 200; seed += 1) {
      const generator = xoroshiro128plus(seed);
      const random = (most: number) => unsafeUniformIntDistribution(0, most, generator);
      const { options, timer } = await createOptions({});
      const names = ['b', 'c', 'd', 'e'].slice(0, 1 + random(3));
      const startedAt = timer.now();
      const seeds = new Map(
        names.map((name) => {
          const from = random(2) === 0 ? Infinity : random(5_000);
          return [name, { from, to: from + random(9_000), term: random(6) === 0 ? 3 : 0 }];
        }),
      );
      const heard = new Map<string, number>();
      let isStopped = false;
      let founded: boolean | undefined;
      const bootstrapping = bootstrapGroup({
        ...options,
        others: names.map(member),
        othersJoin: true,
        isStopped: () => isStopped,
        probe: async (address) => {
          const { from, to, term } = seeds.get(address)!;
          const now = timer.now() - startedAt;
          if (now < from || now > to) {
            throw new Error('unreachable');
          }
          heard.set(address, term);
          // A seed that was replaced answers under another name and incarnation.
          const name = random(3) === 0 ? `${address}-successor` : address;
          return {
            from: { name, incarnation: `${name}-0` },
            message: { type: 'voteAnswer', term, granted: false, preVote: true },
          };
        },
      }).then((loaded) => {
        founded ??= isStopped ? undefined : !isEmptyLog(loaded);
      });
      while (founded === undefined && timer.now() - startedAt < limitMs) {
        await nextTurn();
        timer.advance(100);
      }
      isStopped = true;
      while (!(await Promise.race([bootstrapping.then(() => true), nextTurn()]))) {
        timer.advance(1_000);
      }
      const hasMajority = heard.size + 1 > (names.length + 1) / 2;
      const isClusterHeard = [...heard.values()].some((term) => term > 0);
      const expected = hasMajority ? !isClusterHeard : undefined;
      if (founded !== expected) {
        failed.push(`seed ${seed}: founded ${founded}, expected ${expected}`);
      }
    }
    assert.deepEqual(failed, []);
  });

  it('waits for a member that does not answer, which may belong to a cluster', async () => {
    const terms: Record<string, number | undefined> = { b: 0 };
    const { options, timer, probed } = await createOptions(terms);
    let isDone = false;
    const bootstrapping = bootstrapGroup(options).then((loaded) => {
      isDone = true;
      return loaded;
    });
    for (let attempt = 0; attempt < 20; attempt += 1) {
      await nextTurn();
      timer.advance(1_000);
    }
    assert.equal(isDone, false);
    assert.ok(probed.filter((name) => name === 'c').length > 5);
    terms.c = 3;
    while (!isDone) {
      await nextTurn();
      timer.advance(1_000);
    }
    assert.ok(isEmptyLog(await bootstrapping));
  });
});
