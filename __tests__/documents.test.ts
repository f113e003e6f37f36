import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createConfigurationHistory,
  encodeDocument,
  type ConfigurationHistory,
  type DocumentReader,
} from '../src/core/agreement/configurationHistory.js';
import { createDocumentChanges } from '../src/plugins/operators/documentChanges.js';
import { Failure } from '../src/utils/failure.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import type { ReplicaRole } from '../src/types/internal.js';
import { configurationOf } from './support/feedFleet.js';

/** Documents of the tests: `number base class`. */
const createReader = () => {
  let reads = 0;
  const readDocument: DocumentReader = (text) => {
    reads += 1;
    const [number, baseNumber, name] = text.split(' ');
    if (name === undefined) {
      throw new Failure('malformed_message', text);
    }
    const configuration = configurationOf([name]);
    return { number: Number(number), baseNumber: Number(baseNumber), configuration };
  };
  return { readDocument, reads: () => reads };
};

const createLog = (acceptance: ConfigurationHistory, startIndex = 0) => {
  let index = startIndex;
  return (text: string) => {
    index += 1;
    const [number, baseNumber] = text.split(' ').map(Number);
    const change = {
      changeId: text,
      text,
      number: number!,
      baseNumber: baseNumber!,
      proposedAtMs: 0,
    };
    const payload = encodeDocument(change);
    return acceptance.machine.apply({ term: 1, index, payload });
  };
};

const outcomes = (put: (text: string) => { result: { outcome: string } }, texts: string[]) =>
  texts.map((text) => put(text).result.outcome);

/** The service of an instance whose proposals end as `propose` says. */
const createService = (
  propose: () => Promise<never>,
  role: ReplicaRole = 'leader',
  { readDocument }: Pick<ReturnType<typeof createReader>, 'readDocument'> = createReader(),
) =>
  createDocumentChanges({
    group: {
      commands: { propose, changeMembers: async () => undefined, stop: async () => undefined },
      queries: {
        role: () => role,
        leader: () => undefined,
        members: () => [],
        commitIndex: () => 0,
        confirmRead: async () => undefined,
        confirmedAgeMs: () => 0,
        contactAgeMs: () => 0,
        matchIndex: () => 0,
      },
    },
    acceptance: createConfigurationHistory(createReader()),
    readDocument,
    minVoters: 0,
    timer: createManualTimer(),
    log: createSilentLog(),
  });

describe('documents with numbers of the operators', () => {
  it('that are too large are refused as such: another instance would refuse them, too', async () => {
    const service = createService(() => Promise.reject(new Failure('change_too_large', '2 MiB')));
    const { outcome } = await service.commands.submit('1 0 a');
    assert.equal(outcome, 'invalid');
  });

  // Guards against followers that read large documents only to name the leader, and meanwhile
  // leave the entries of the log waiting.
  it('are read by the instance that leads and by no other', async () => {
    const reader = createReader();
    const service = createService(() => Promise.reject(new Error()), 'follower', reader);
    const { outcome } = await service.commands.submit('1 0 a');
    assert.equal(outcome, 'not_here');
    assert.equal(reader.reads(), 0);
  });

  it('whose leader was lost after the append have an unknown outcome, never a refusal', async () => {
    const service = createService(() => Promise.reject(new Failure('outcome_unknown')));
    assert.deepEqual(await service.commands.submit('1 0 a'), { outcome: 'unknown' });
  });

  it('are accepted on the number in force only, so that of two on one base one wins', () => {
    const put = createLog(createConfigurationHistory(createReader()));
    assert.deepEqual(outcomes(put, ['3 0 a', '7 3 b', '7 3 c', '8 3 d', '9 7 e', '9 9 f']), [
      'accepted',
      'accepted',
      'refused',
      'refused',
      'accepted',
      'refused',
    ]);
  });

  it('are acknowledged again after others were accepted, and after a snapshot', () => {
    const reader = createReader();
    const acceptance = createConfigurationHistory(reader);
    const put = createLog(acceptance);
    outcomes(put, ['1 0 a', '2 1 b', '5 2 c']);
    assert.deepEqual(put('2 1 b'), { ...put('2 1 b'), replayed: true });
    const restored = createConfigurationHistory(reader);
    restored.machine.restore(acceptance.machine.snapshot());
    const putAgain = createLog(restored, 100);
    assert.deepEqual(outcomes(putAgain, ['1 0 a', '5 2 c', '4 2 x', '6 5 d']), [
      'accepted',
      'accepted',
      'refused',
      'accepted',
    ]);
    assert.equal(restored.queries.head()?.targets, '6 5 d');
  });

  it('that came too early are accepted once the document that they build on is there', () => {
    const put = createLog(createConfigurationHistory(createReader()));
    assert.deepEqual(outcomes(put, ['4 2 b', '2 0 a', '4 2 b']), [
      'refused',
      'accepted',
      'accepted',
    ]);
  });

  it('are read only where they are used, so that a replica catches up with a day quickly', () => {
    const reader = createReader();
    const acceptance = createConfigurationHistory(reader);
    const put = createLog(acceptance);
    for (let number = 1; number <= 200; number += 1) {
      put(`${number} ${number - 1} c${number}`);
    }
    assert.equal(reader.reads(), 0);
    assert.deepEqual(Object.keys(acceptance.queries.head()!.configuration.classes), ['class-c200']);
    assert.equal(reader.reads(), 1);
  });
});
