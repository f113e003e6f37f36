import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createConfigurationHistory } from '../src/core/agreement/configurationHistory.js';
import {
  encodeUpstreamEnd,
  maxUpstreamEnds,
  type UpstreamEnd,
} from '../src/core/agreement/upstreamEnds.js';

const end = (fields: Partial<UpstreamEnd> = {}): UpstreamEnd => ({
  node: 'n-1',
  endpoint: 'e-1',
  startedAt: 1_000,
  sequence: 5,
  ...fields,
});

const createHistory = (ends: readonly UpstreamEnd[]) => {
  const history = createConfigurationHistory();
  ends.forEach((each, at) =>
    history.machine.apply({ term: 1, index: at + 1, payload: encodeUpstreamEnd(each) }),
  );
  return history;
};

describe('ends of upstreams in the state of the control instances', () => {
  it('are listed by node and survive a snapshot', () => {
    const other = end({ node: 'n-2', endpoint: 'e-2' });
    const { machine } = createHistory([end(), other]);
    const restored = createConfigurationHistory();
    restored.machine.restore(machine.snapshot());
    assert.deepEqual(restored.queries.upstreamEnds('n-1'), [end()]);
    assert.deepEqual(restored.queries.upstreamEnds('n-2'), [other]);
    assert.deepEqual(restored.queries.upstreamEnds('n-3'), []);
  });

  // Guards against an earlier end that arrives late and makes reports before the later one count.
  it('keep the latest mark of an upstream', () => {
    const { queries } = createHistory([
      end({ startedAt: 2_000, sequence: 1 }),
      end({ startedAt: 1_000, sequence: 90 }),
      end({ startedAt: 2_000, sequence: 7 }),
      end({ startedAt: 2_000, sequence: 6 }),
    ]);
    assert.deepEqual(queries.upstreamEnds('n-1'), [end({ startedAt: 2_000, sequence: 7 })]);
  });

  it('are bounded in number, and change no configuration', () => {
    const history = createHistory(
      Array.from({ length: maxUpstreamEnds + 1 }, (_, at) => end({ endpoint: `e-${at}` })),
    );
    const listed = history.queries.upstreamEnds('n-1');
    assert.equal(listed.length, maxUpstreamEnds);
    assert.equal(listed[0]?.endpoint, 'e-1');
    assert.equal(history.queries.head(), undefined);
  });
});
