import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  burnReport,
  createBurnCounters,
  maxBurnRows,
  mergeBurn,
  classifyRefusal,
  type CallOutcome,
  type RecordedCall,
} from '../src/core/operators/burn.js';
import { parseTargets } from '../src/core/operators/configuration.js';
import { checkProperty } from './support/arbitraries.js';

const minute = 60_000;

const record = (calls: readonly RecordedCall[], now = 0) => {
  const burn = createBurnCounters();
  calls.forEach((call) => burn.commands.recordOutcome(call, now));
  return burn;
};

const call = (outcome: CallOutcome, className = 'c', dataCentre = 'a'): RecordedCall => ({
  className,
  dataCentre,
  outcome,
});

const callArbitrary = fc.record(
  {
    className: fc.constantFrom('c', 'd'),
    dataCentre: fc.constantFrom('a', 'b'),
    outcome: fc.constantFrom<CallOutcome>('good', 'late', 'shed', 'failed', 'waiting'),
  },
  { noNullPrototype: true },
);

const { configuration } = parseTargets(
  '[class.c]\nservice = "s"\nshare = 0.9\nanswer_within = "1s"\navailability = 0.9',
  't',
);

describe('burn', () => {
  it('merges snapshots in JSON to the same result as one node that recorded all calls', () => {
    const calls = fc.array(callArbitrary, { maxLength: 40 });
    checkProperty(
      fc.property(calls, calls, (left, right) => {
        const snapshots = [left, right].map((part) => record(part).queries.snapshot(0));
        const expected = mergeBurn([record([...left, ...right]).queries.snapshot(0)]);
        assert.deepEqual(mergeBurn(JSON.parse(JSON.stringify(snapshots))), expected);
        assert.deepEqual(mergeBurn(snapshots.reverse()), expected);
      }),
    );
  });

  it('drops outcomes after 5 minutes (short window) and after an hour (long window)', () => {
    const burn = record([call('failed')]);
    const at = (now: number) => burn.queries.snapshot(now).entries[0];
    assert.equal(at(4 * minute)?.short.failed, 1);
    assert.equal(at(5 * minute)?.short.failed, 0);
    assert.equal(at(59 * minute)?.long.failed, 1);
    assert.equal(at(60 * minute), undefined);
    burn.commands.recordOutcome(call('good'), 60 * minute);
    assert.equal(at(60 * minute)?.long.failed, 0, 'the slot of the previous hour is reused');
  });

  it('reports the remaining budget and the main cause of its use', () => {
    const calls = [...Array(90).fill(call('good')), ...Array(6).fill(call('late'))];
    const burn = record([...calls, ...Array(4).fill(call('shed')), call('good', 'gone')]);
    const [line, ...others] = burnReport(burn.queries.snapshot(0), configuration!);
    assert.deepEqual(others, [], 'a class without a target is not reported');
    assert.ok(Math.abs(line!.allowedShare - 0.2) < 1e-9);
    assert.ok(Math.abs(line!.longBurn - 0.5) < 1e-9);
    assert.ok(Math.abs(line!.budgetLeft - 0.5) < 1e-9);
    assert.equal(line!.mainCause, 'late');
  });

  it('distinguishes calls refused at once from calls refused after a wait', () => {
    assert.equal(classifyRefusal('overloaded', 1, 100), 'shed');
    assert.equal(classifyRefusal('overloaded', 100, 100), 'waiting');
    assert.equal(classifyRefusal('overloaded', 100, 0), 'shed');
    assert.equal(classifyRefusal('upstream_failed', 100, 100), 'failed');
  });

  it('limits the number of rows and counts further calls in one row', () => {
    const burn = createBurnCounters();
    const calls = Array.from({ length: 3_000 }, (_, index) => call('good', `c${index}`));
    calls.forEach((item) => burn.commands.recordOutcome(item, 0));
    const { entries } = burn.queries.snapshot(0);
    assert.equal(entries.length, maxBurnRows + 1);
    assert.equal(
      entries.reduce((sum, { long }) => sum + long.good, 0),
      calls.length,
    );
  });
});
