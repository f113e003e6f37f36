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
import { createConfiguration } from './support/feedFleet.js';

/** Creates a reader of test documents, which have the form `number baseNumber class`. */
const createReader = () => {
  let reads = 0;
  const readDocument: DocumentReader = (text) => {
    reads += 1;
    const [number, baseNumber, name] = text.split(' ');
    if (name === undefined) {
      throw new Failure('malformed_message', text);
    }
    const configuration = createConfiguration([name]);
    return { number: Number(number), baseNumber: Number(baseNumber), configuration };
  };
  return { readDocument, reads: () => reads };
};

const createApplier = (history: ConfigurationHistory, startIndex = 0) => {
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
    return history.machine.apply({ term: 1, index, payload });
  };
};

const outcomes = (put: (text: string) => { result: { outcome: string } }, texts: string[]) =>
  texts.map((text) => put(text).result.outcome);

/** Creates the service of an instance whose proposals have the result of `propose`. */
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
        settledMembers: () => [],
        intactVoters: () => 0,
        confirmedVoters: () => 0,
        commitIndex: () => 0,
        confirmRead: async () => undefined,
        confirmedAgeMs: () => 0,
        contactAgeMs: () => 0,
        matchIndex: () => 0,
      },
    },
    history: createConfigurationHistory(createReader()),
    readDocument,
    minVoters: 0,
    timer: createManualTimer(),
    log: createSilentLog(),
  });

describe('documents with numbers chosen by operators', () => {
  it('are refused as invalid if they are too large, as any other instance would do', async () => {
    const service = createService(() => Promise.reject(new Failure('change_too_large', '2 MiB')));
    const { outcome } = await service.commands.submit('1 0 a');
    assert.equal(outcome, 'invalid');
  });

  // Guards against followers that parse large documents only to redirect to the leader, and delay
  // the entries of the log meanwhile.
  it('are parsed by the leader only', async () => {
    const reader = createReader();
    const service = createService(() => Promise.reject(new Error()), 'follower', reader);
    const { outcome } = await service.commands.submit('1 0 a');
    assert.equal(outcome, 'not_here');
    assert.equal(reader.reads(), 0);
  });

  it('have an unknown outcome and no refusal if the leader is lost after the append', async () => {
    const service = createService(() => Promise.reject(new Failure('outcome_unknown')));
    assert.deepEqual(await service.commands.submit('1 0 a'), { outcome: 'unknown' });
  });

  it('are accepted on the current number only, so that one of two with the same base wins', () => {
    const put = createApplier(createConfigurationHistory(createReader()));
    assert.deepEqual(outcomes(put, ['3 0 a', '7 3 b', '7 3 c', '8 3 d', '9 7 e', '9 9 f']), [
      'accepted',
      'accepted',
      'refused',
      'refused',
      'accepted',
      'refused',
    ]);
  });

  it('are acknowledged again if resent after other documents and after a snapshot', () => {
    const reader = createReader();
    const history = createConfigurationHistory(reader);
    const put = createApplier(history);
    outcomes(put, ['1 0 a', '2 1 b', '5 2 c']);
    assert.deepEqual(put('2 1 b'), { ...put('2 1 b'), replayed: true });
    const restored = createConfigurationHistory(reader);
    restored.machine.restore(history.machine.snapshot());
    const putAgain = createApplier(restored, 100);
    assert.deepEqual(outcomes(putAgain, ['1 0 a', '5 2 c', '4 2 x', '6 5 d']), [
      'accepted',
      'accepted',
      'refused',
      'accepted',
    ]);
    assert.equal(restored.queries.head()?.targets, '6 5 d');
  });

  it('are refused before their base document has arrived, and accepted afterwards', () => {
    const put = createApplier(createConfigurationHistory(createReader()));
    assert.deepEqual(outcomes(put, ['4 2 b', '2 0 a', '4 2 b']), [
      'refused',
      'accepted',
      'accepted',
    ]);
  });

  it('are parsed only when they are used, so that a replica catches up with a day quickly', () => {
    const reader = createReader();
    const history = createConfigurationHistory(reader);
    const put = createApplier(history);
    for (let number = 1; number <= 200; number += 1) {
      put(`${number} ${number - 1} c${number}`);
    }
    assert.equal(reader.reads(), 0);
    assert.deepEqual(Object.keys(history.queries.head()!.configuration.classes), ['class-c200']);
    assert.equal(reader.reads(), 1);
  });
});
