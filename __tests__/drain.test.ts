import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createConfigurationHistory,
  encodeChange,
  encodeDrain,
} from '../src/core/agreement/configurationHistory.js';
import { parseTargets } from '../src/core/operators/configuration.js';
import {
  decodeConfiguration,
  encodeConfiguration,
} from '../src/core/operators/configurationCodec.js';
import { applyDelta, diffConfigurations } from '../src/core/distribution/delta.js';
import type { Version } from '../src/types/public.js';

const targets = '[class.lookup]\nservice = "s"\nmatch = [{ path = "/" }]\n';

const parse = (text: string) => {
  const { configuration } = parseTargets(text, 'targets.toml');
  assert.ok(configuration);
  return configuration;
};

const createMachine = () => {
  const { machine, queries } = createConfigurationHistory();
  let index = 0;
  const commit = (payload: Uint8Array) => {
    index += 1;
    return machine.apply({ term: 1, index, payload });
  };
  const apply = (text: string, baseVersion: Version) =>
    commit(
      encodeChange(
        {
          changeId: `apply-${index}`,
          baseVersion,
          targets: text,
          fileName: '',
          operator: 'o',
          note: '',
          proposedAtMs: 1,
        },
        parse(text),
      ),
    );
  const drain = (changeId: string, endpointId: string, undo = false) =>
    commit(encodeDrain({ changeId, endpointId, undo, operator: 'o', proposedAtMs: 1 }));
  const drains = () => Object.keys(queries.head()?.configuration.drains ?? {});
  return { apply, drain, drains, queries, machine };
};

const start = { term: 0, index: 0 };

describe('drain', () => {
  it('persists through a change of the targets and a restart from a snapshot', () => {
    const { apply, drain, drains, queries, machine } = createMachine();
    apply(targets, start);
    assert.equal(drain('d1', 'node-1').result.outcome, 'accepted');
    apply(`${targets}importance = 10\n`, queries.head()!.version);
    assert.deepEqual(drains(), ['node-1']);
    const restored = createConfigurationHistory();
    restored.machine.restore(machine.snapshot());
    assert.deepEqual(
      restored.queries.head()?.configuration.drains,
      queries.head()?.configuration.drains,
    );
  });

  it('takes effect once for a change id, however often it is sent', () => {
    const { apply, drain, drains } = createMachine();
    apply(targets, start);
    drain('d1', 'node-1');
    drain('d2', 'node-1', true);
    const replayed = drain('d1', 'node-1');
    assert.equal(replayed.replayed, true);
    assert.deepEqual(drains(), []);
  });

  it('is part of the digest and of deltas', () => {
    const base = parse(targets);
    const next = { ...base, drains: { 'node-1': { name: 'node-1' } } };
    const applied = applyDelta(base, diffConfigurations(base, next));
    assert.deepEqual(applied.drains, next.drains);
    const undone = applyDelta(next, diffConfigurations(next, base));
    assert.deepEqual(undone, decodeConfiguration(encodeConfiguration(base)));
  });
});
