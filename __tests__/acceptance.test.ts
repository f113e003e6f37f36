import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  createConfigurationHistory,
  encodeChange,
  maxChangesKept,
  maxConfigurationsKept,
  type ConfigurationHistory,
} from '../src/core/agreement/configurationHistory.js';
import { parseTargets } from '../src/core/operators/configuration.js';
import {
  createLedger,
  encodeLedgerCommand,
  type LedgerResult,
} from '../src/core/agreement/ledger.js';
import { noVersion } from '../src/core/agreement/version.js';
import type { Version } from '../src/types/public.js';
import { formatTargets } from './support/controlClient.js';

const seed = 20_261_204;

const change = (changeId: string, baseVersion: Version, rate: number) => ({
  changeId,
  baseVersion,
  targets: formatTargets(rate),
  fileName: 'targets.toml',
  operator: 'ann',
  note: '',
  proposedAtMs: 1,
});

const applyAt = (
  history: ConfigurationHistory,
  index: number,
  entry: ReturnType<typeof change>,
) => {
  const { configuration } = parseTargets(entry.targets, entry.fileName);
  const payload = encodeChange(entry, configuration!);
  return history.machine.apply({ term: 1, index, payload });
};

/** Returns a copy restored from a snapshot. It has to behave like the original. */
const restoreCopy = (history: ConfigurationHistory): ConfigurationHistory => {
  const copy = createConfigurationHistory();
  copy.machine.restore(history.machine.snapshot());
  return copy;
};

describe('configuration history', () => {
  it('applies each change id at most once and accepts only changes to the current version', () => {
    const entry = fc.record({
      id: fc.nat({ max: 6 }),
      rate: fc.integer({ min: 1, max: 4 }),
      isCurrent: fc.boolean(),
      restart: fc.boolean(),
    });
    fc.assert(
      fc.property(fc.array(entry, { maxLength: 30 }), (entries) => {
        let history = createConfigurationHistory();
        const effects = new Map<string, number>();
        entries.forEach(({ id, rate, isCurrent, restart }, at) => {
          const before = history.queries.head()?.version ?? noVersion;
          const base = isCurrent ? before : { term: 1, index: 1_000 + at };
          const { result, replayed } = applyAt(history, at + 1, change(`c${id}`, base, rate));
          const after = history.queries.head()?.version ?? noVersion;
          if (after.index !== before.index) {
            assert.deepEqual([result.outcome, replayed, isCurrent], ['accepted', false, true]);
            effects.set(`c${id}`, (effects.get(`c${id}`) ?? 0) + 1);
          }
          history = restart ? restoreCopy(history) : history;
        });
        effects.forEach((count, id) => assert.equal(count, 1, `${id} took effect ${count} times`));
      }),
      { seed, numRuns: 1_000 },
    );
    console.log(`seed ${seed}`);
  });

  it('keeps only the newest changes and configurations', () => {
    const history = createConfigurationHistory();
    const { configuration } = parseTargets(formatTargets(1), 'f');
    for (let index = 1; index <= maxChangesKept + 5; index += 1) {
      const entry = change(`c${index}`, { term: 9, index: 9 }, 1);
      history.machine.apply({ term: 1, index, payload: encodeChange(entry, configuration!) });
    }
    assert.equal(history.queries.record('c5'), undefined);
    assert.equal(history.queries.record('c6')?.result.outcome, 'refused');
    let version = noVersion;
    for (let index = 20_001; index <= 20_000 + maxConfigurationsKept + 1; index += 1) {
      const { result } = applyAt(history, index, change(`d${index}`, version, index));
      version = result.version;
    }
    assert.equal(history.queries.at({ term: 1, index: 20_001 }), undefined);
    assert.ok(history.queries.at({ term: 1, index: 20_002 }));
  });
});

const answer = (size: number) => ({
  status: 200,
  headers: {},
  body: new Uint8Array(size),
  bodyOmitted: false,
});

describe('at-most-once ledger', () => {
  const command = fc.record({
    type: fc.constantFrom('claim', 'claim', 'complete', 'release', 'restart'),
    key: fc.nat({ max: 2 }),
    attempt: fc.nat({ max: 3 }),
  });

  it('grants a key to one attempt until that attempt releases it', () => {
    fc.assert(
      fc.property(fc.array(command, { maxLength: 40 }), (commands) => {
        let ledger = createLedger();
        const holders = new Map<string, { attempt: number; isDone: boolean }>();
        commands.forEach(({ type, key: number, attempt }, index) => {
          const key = `k${number}`;
          const base = { service: 's', key, attemptId: `a${attempt}` };
          const send = (payload: Uint8Array): LedgerResult =>
            ledger.machine.apply({ term: 1, index: index + 1, payload });
          const holder = holders.get(key);
          const isHolder = holder?.attempt === attempt;
          const handlers: Record<string, () => void> = {
            claim: () => {
              const { outcome } = send(
                encodeLedgerCommand({ type: 'claim', ...base, fingerprint: 'f', atMs: index }),
              );
              const expected = holder?.isDone ? 'completed' : 'in_progress';
              assert.equal(outcome, !holder || (isHolder && !holder.isDone) ? 'granted' : expected);
              holders.set(key, holder ?? { attempt, isDone: false });
            },
            complete: () => {
              const { outcome } = send(
                encodeLedgerCommand({ type: 'complete', ...base, answer: answer(1) }),
              );
              assert.equal(outcome, isHolder ? 'recorded' : 'unknown_claim');
              if (isHolder) {
                holders.set(key, { attempt, isDone: true });
              }
            },
            release: () => {
              const { outcome } = send(encodeLedgerCommand({ type: 'release', ...base }));
              const isReleased = isHolder && !holder.isDone;
              assert.equal(outcome, isReleased ? 'released' : 'unknown_claim');
              if (isReleased) {
                holders.delete(key);
              }
            },
            restart: () => {
              const copy = createLedger();
              copy.machine.restore(ledger.machine.snapshot());
              assert.equal(copy.queries.bodyBytes(), ledger.queries.bodyBytes());
              ledger = copy;
            },
          };
          handlers[type]!();
        });
      }),
      { seed, numRuns: 1_000 },
    );
    console.log(`seed ${seed}`);
  });

  it('drops the same bodies on a replica that restored a snapshot', () => {
    const ledger = createLedger({ maxKeys: 9, maxBodyBytes: 12 });
    const copy = createLedger({ maxKeys: 9, maxBodyBytes: 12 });
    const base = (key: string) => ({ service: 's', key, attemptId: 'a' });
    const claim = (key: string) =>
      encodeLedgerCommand({ type: 'claim', ...base(key), fingerprint: 'f', atMs: 1 });
    const complete = (key: string) =>
      encodeLedgerCommand({ type: 'complete', ...base(key), answer: answer(6) });
    const commands = [claim('k1'), claim('k2'), claim('k3'), complete('k2'), complete('k1')];
    commands.forEach((payload) => ledger.machine.apply({ term: 1, index: 1, payload }));
    copy.machine.restore(ledger.machine.snapshot());
    [ledger, copy].forEach(({ machine }) =>
      machine.apply({ term: 1, index: 2, payload: complete('k3') }),
    );
    assert.deepEqual(copy.machine.snapshot(), ledger.machine.snapshot());
  });

  it('refuses new keys when it is full, drops the oldest bodies first and expires old keys', () => {
    const ledger = createLedger({ maxKeys: 3, maxBodyBytes: 10 });
    const send = (payload: Uint8Array) => ledger.machine.apply({ term: 1, index: 1, payload });
    const base = (key: string) => ({ service: 's', key, attemptId: 'a' });
    const claim = (key: string, atMs: number) =>
      send(encodeLedgerCommand({ type: 'claim', ...base(key), fingerprint: 'f', atMs }));
    ['k1', 'k2', 'k3'].forEach((key, at) => assert.equal(claim(key, at).outcome, 'granted'));
    assert.equal(claim('k4', 3).outcome, 'full');
    ['k1', 'k2'].forEach((key) =>
      send(encodeLedgerCommand({ type: 'complete', ...base(key), answer: answer(6) })),
    );
    assert.equal(ledger.queries.bodyBytes(), 6);
    const first = claim('k1', 4);
    assert.ok(first.outcome === 'completed' && first.answer.bodyOmitted);
    send(encodeLedgerCommand({ type: 'expire', beforeMs: 1 }));
    assert.equal(ledger.queries.size(), 2);
    assert.equal(claim('k4', 5).outcome, 'granted');
  });
});
