import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
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
