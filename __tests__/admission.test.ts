import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  createAdmission,
  type Admission,
  type AdmissionCall,
  type AdmissionEffect,
  type FinishOutcome,
} from '../src/core/calls/admission.js';
import { createAdaptiveLimit } from '../src/core/calls/adaptiveLimit.js';
import { checkProperty } from './support/arbitraries.js';

const finishOutcome = (latencyMs: number, outcome: FinishOutcome['outcome'] = 'ok') => ({
  outcome,
  latencyMs,
});

const createCall = (id: string, fields: Partial<AdmissionCall> = {}): AdmissionCall => ({
  id,
  className: 'c',
  caller: 'x',
  priority: 50,
  maxWaitMs: 1_000,
  deadlineAt: 1e9,
  ...fields,
});

const idsOf = (effects: AdmissionEffect[], type: AdmissionEffect['type']) =>
  effects.filter((effect) => effect.type === type).map(({ id }) => id);

/** Keeps calls of every class in the queue and counts the admitted calls of each source. */
const runBacklogged = (
  admission: Admission,
  sources: Partial<AdmissionCall>[],
  rounds: number,
  firstRounds: number[] = [],
) => {
  const counts = sources.map(() => 0);
  let running: string[] = [];
  let sent = 0;
  const collect = (effects: AdmissionEffect[]) =>
    idsOf(effects, 'admitted').forEach((id) => {
      running.push(id);
      counts[Number(id.split('/')[0])]! += 1;
    });
  const send = (fields: Partial<AdmissionCall>, index: number, now: number) => {
    sent += 1;
    collect(admission.commands.request(createCall(`${index}/${sent}`, fields), now));
  };
  for (let now = 0; now < rounds * 10; now += 10) {
    const copies = [...sources, ...sources, ...sources, ...sources];
    copies.forEach((fields, copy) => {
      const index = copy % sources.length;
      if (now >= (firstRounds[index] ?? 0) * 10) {
        send(fields, index, now);
      }
    });
    const finishing = running;
    running = [];
    finishing.forEach((id) => collect(admission.commands.finish(id, now + 10, finishOutcome(10))));
  }
  return counts;
};

const stepArbitrary = fc.oneof(
  { weight: 5, arbitrary: fc.record({ type: fc.constant('request' as const), pick: fc.nat(5) }) },
  { weight: 4, arbitrary: fc.record({ type: fc.constant('finish' as const), pick: fc.nat(50) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('cancel' as const), pick: fc.nat(50) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('tick' as const), pick: fc.nat(500) }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('slots' as const), pick: fc.nat(8) }) },
);

describe('admission', () => {
  it('never exceeds its limit and loses no call in any order of events', () => {
    checkProperty(
      fc.property(fc.nat(6), fc.array(stepArbitrary, { maxLength: 200 }), (slots, steps) => {
        const admission = createAdmission({ slots, maxWaiting: 5 });
        const running = new Set<string>();
        const waiting = new Set<string>();
        const refusedIds = new Set<string>();
        let now = 0;
        let reported = slots;
        const apply = (effects: AdmissionEffect[]) =>
          effects.forEach(({ type, id }) => {
            assert.ok(!refusedIds.has(id) && !running.has(id), `${id} was decided twice`);
            waiting.delete(id);
            const next = { admitted: running, waiting, refused: refusedIds }[type];
            next.add(id);
          });
        const handlers = {
          request: (pick: number, index: number) => {
            const call = createCall(`id${index}`, {
              className: `c${pick % 3}`,
              caller: `x${pick % 2}`,
              priority: 1 + pick * 10,
              maxWaitMs: pick * 20,
              deadlineAt: now + pick * 30,
            });
            apply(admission.commands.request(call, now));
            assert.ok([running, waiting, refusedIds].some((set) => set.has(call.id)));
          },
          finish: (pick: number) => {
            const id = [...running][pick % running.size] ?? 'none';
            running.delete(id);
            apply(
              admission.commands.finish(id, now, finishOutcome(10, pick % 9 ? 'ok' : 'overloaded')),
            );
          },
          cancel: (pick: number) => {
            const known = [...running, ...waiting];
            const id = known[pick % known.length] ?? 'none';
            running.delete(id);
            waiting.delete(id);
            apply(admission.commands.cancel(id, now));
          },
          tick: (pick: number) => {
            now += pick;
            apply(admission.commands.tick(now));
          },
          slots: (pick: number) => {
            reported = pick;
            apply(admission.commands.setSlots(pick, now));
          },
        };
        steps.forEach(({ type, pick }, index) => {
          const before = running.size;
          handlers[type](pick, index);
          assert.ok(admission.queries.limit() <= reported);
          assert.ok(running.size <= Math.max(before, admission.queries.limit()));
          assert.equal(admission.queries.inFlight(), running.size);
          assert.equal(admission.queries.waiting(), waiting.size);
        });
        now += 1e6;
        apply(admission.commands.tick(now));
        assert.equal(waiting.size, 0, 'a waiting call was neither admitted nor refused');
      }),
      500,
    );
  });

  it('gives each class about its share of the slots while all classes are backlogged', () => {
    checkProperty(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 100 }), { minLength: 2, maxLength: 5 }),
        fc.integer({ min: 1, max: 4 }),
        (weights, slots) => {
          // A class with a share of 1% is served about once a second, so the wait limit is longer.
          const sources = weights.map((priority, index) => ({
            className: `c${index}`,
            priority,
            maxWaitMs: 20_000,
          }));
          const rounds = 2_000;
          const counts = runBacklogged(
            createAdmission({ slots, maxWaiting: 400 }),
            sources,
            rounds,
          );
          const total = weights.reduce((sum, weight) => sum + weight, 0);
          weights.forEach((weight, index) => {
            const offered = rounds * 4;
            const share = Math.min(offered, (rounds * slots * weight) / total);
            assert.ok(counts[index]! > 0.7 * share - 2, `${counts[index]} of ${share}`);
          });
        },
      ),
      20,
    );
  });

  it('serves callers of a class round-robin, so a burst of one does not delay others', () => {
    const admission = createAdmission({ slots: 1 });
    const { request, finish } = admission.commands;
    request(createCall('first'), 0);
    for (let index = 0; index < 50; index += 1) {
      request(createCall(`burst${index}`, { caller: 'burst' }), 0);
    }
    request(createCall('other', { caller: 'other' }), 0);
    assert.deepEqual(idsOf(finish('first', 1, finishOutcome(1)), 'admitted'), ['burst0']);
    assert.deepEqual(idsOf(finish('burst0', 2, finishOutcome(1)), 'admitted'), ['other']);
  });

  it('sheds calls of the least important class first when the queue is full', () => {
    const admission = createAdmission({ slots: 1, maxWaiting: 2 });
    const { request } = admission.commands;
    request(createCall('first'), 0);
    ['a', 'b'].forEach((id) => request(createCall(id, { className: 'low', priority: 1 }), 0));
    const effects = request(createCall('high', { className: 'high', priority: 90 }), 0);
    assert.deepEqual(idsOf(effects, 'refused'), ['b']);
    assert.deepEqual(idsOf(effects, 'waiting'), ['high']);
    const refused = request(createCall('c', { className: 'low', priority: 1 }), 0);
    assert.deepEqual(idsOf(refused, 'refused'), ['c']);
  });

  it('refuses a call that cannot meet its deadline', () => {
    const admission = createAdmission({ slots: 2 });
    const { request, finish } = admission.commands;
    request(createCall('a'), 0);
    finish('a', 100, finishOutcome(100));
    request(createCall('b'), 100);
    const effects = request(createCall('late', { deadlineAt: 150 }), 100);
    assert.deepEqual(effects, [{ type: 'refused', id: 'late', reason: 'deadline_past' }]);
    finish('b', 200, finishOutcome(100));
    const alone = request(createCall('alone', { deadlineAt: 250 }), 200);
    assert.deepEqual(idsOf(alone, 'admitted'), ['alone'], 'an idle upstream gets the call');
  });

  it('refuses a call immediately if its expected wait exceeds its limit', () => {
    const admission = createAdmission({ slots: 1 });
    const { request, finish } = admission.commands;
    request(createCall('a'), 0);
    finish('a', 100, finishOutcome(100));
    request(createCall('b'), 100);
    assert.deepEqual(idsOf(request(createCall('c', { maxWaitMs: 150 }), 100), 'waiting'), ['c']);
    assert.deepEqual(idsOf(request(createCall('d', { maxWaitMs: 150 }), 100), 'refused'), ['d']);
    assert.deepEqual(idsOf(request(createCall('e', { maxWaitMs: 250 }), 100), 'waiting'), ['e']);
  });

  it('refuses a queued call when its wait limit expires', () => {
    const admission = createAdmission({ slots: 1 });
    admission.commands.request(createCall('a'), 0);
    admission.commands.request(createCall('b', { maxWaitMs: 50 }), 0);
    assert.equal(admission.queries.nextTickAt(), 50);
    assert.deepEqual(admission.commands.tick(49), []);
    assert.deepEqual(admission.commands.tick(50), [
      { type: 'refused', id: 'b', reason: 'overloaded' },
    ]);
  });

  /** Fills the only slot of an admission whose calls take 100 ms. */
  const createBusyAdmission = (): Admission => {
    const admission = createAdmission({ slots: 1, isAdaptive: false });
    admission.commands.request(createCall('first'), 0);
    admission.commands.finish('first', 100, finishOutcome(100));
    admission.commands.request(createCall('running'), 100);
    return admission;
  };

  // Guards against calls that take a slot under overload when they can only be late.
  it('refuses a queued call as soon as it is not expected to end on target', () => {
    const admission = createBusyAdmission();
    const call = createCall('queued', { maxWaitMs: 250, targetAt: 450 });
    assert.deepEqual(idsOf(admission.commands.request(call, 100), 'waiting'), ['queued']);
    assert.deepEqual(idsOf(admission.commands.tick(249), 'refused'), []);
    assert.deepEqual(idsOf(admission.commands.tick(250), 'refused'), ['queued']);
  });

  it('lets a call that may miss its target wait for a part of its limit', () => {
    const admission = createBusyAdmission();
    admission.commands.request(createCall('queued', { maxWaitMs: 200, targetAt: 150 }), 100);
    assert.deepEqual(idsOf(admission.commands.tick(150), 'refused'), []);
    assert.deepEqual(idsOf(admission.commands.tick(160), 'refused'), ['queued']);
  });

  it('gives a class no credit for the time in which it had no queued calls', () => {
    const sources = [{ className: 'a' }, { className: 'b' }];
    const admission = createAdmission({ slots: 1, maxWaiting: 100 });
    const counts = runBacklogged(admission, sources, 300, [0, 100]);
    assert.ok(Math.abs(counts[1]! - 100) <= 5, `${counts}`);
  });

  it('reserves slots for a class with a short wait limit while long calls are queued', () => {
    const admission = createAdmission({ slots: 4 });
    const { request, finish, tick } = admission.commands;
    const fast = { className: 'fast', priority: 80, maxWaitMs: 100 };
    const bulk = { className: 'bulk', priority: 10, maxWaitMs: 60_000 };
    request(createCall('long', bulk), 0);
    finish('long', 2_000, finishOutcome(2_000));
    for (let now = 2_000; now < 2_010; now += 1) {
      request(createCall(`f${now}`, fast), now);
    }
    for (let now = 2_000; now < 2_010; now += 1) {
      finish(`f${now}`, 2_010, finishOutcome(10));
    }
    const ids = ['b0', 'b1', 'b2', 'b3', 'b4'];
    ids.forEach((id) => request(createCall(id, bulk), 2_010));
    assert.equal(admission.queries.inFlight(), 1, 'the share of the fast class is reserved');
    assert.deepEqual(idsOf(request(createCall('f1', fast), 2_020), 'admitted'), ['f1']);
    finish('f1', 2_030, finishOutcome(10));
    assert.equal(admission.queries.inFlight(), 1);
    assert.ok(admission.queries.nextTickAt()! <= 3_030, 'the reserved slots are checked again');
    const admitted = idsOf(tick(10_000), 'admitted');
    assert.deepEqual(admitted, ['b1', 'b2', 'b3'], 'the fast class sends no more calls');
  });

  it('lets short calls use all slots even while a more important class is active', () => {
    const admission = createAdmission({ slots: 4 });
    const { request, finish } = admission.commands;
    const fast = { className: 'fast', priority: 80, maxWaitMs: 100 };
    const bulk = { className: 'bulk', priority: 10, maxWaitMs: 60_000 };
    request(createCall('short', bulk), 0);
    request(createCall('f0', fast), 0);
    finish('short', 20, finishOutcome(20));
    finish('f0', 20, finishOutcome(20));
    ['b0', 'b1', 'b2', 'b3'].forEach((id) => request(createCall(id, bulk), 20));
    assert.equal(admission.queries.inFlight(), 4);
  });

  it('refuses queued and new calls when the upstream leaves', () => {
    const { commands, queries } = createAdmission({ slots: 1 });
    commands.request(createCall('a'), 0);
    commands.request(createCall('b'), 0);
    assert.deepEqual(commands.leave(1), [{ type: 'refused', id: 'b', reason: 'leaving' }]);
    assert.deepEqual(idsOf(commands.request(createCall('c'), 1), 'refused'), ['c']);
    assert.equal(queries.inFlight(), 1);
  });
});

/** Simulates an upstream that runs `realSlots` calls concurrently and queues the others itself. */
const simulateUpstream = (
  limit: ReturnType<typeof createAdaptiveLimit>,
  realSlots: number,
  workMs: number,
  endMs: number,
  startMs = 0,
) => {
  let now = startMs;
  while (now < endMs) {
    const inFlight = limit.queries.limit();
    const latencyMs = workMs * Math.max(1, inFlight / realSlots);
    now += latencyMs / inFlight;
    limit.commands.record({ className: 'c', latencyMs, inFlight }, now);
  }
};

describe('adaptive limit', () => {
  it('stays at the reported number of slots while that is right', () => {
    const limit = createAdaptiveLimit(20);
    simulateUpstream(limit, 20, 10, 60_000);
    assert.equal(limit.queries.limit(), 20);
  });

  it('shrinks when the upstream has fewer slots than it reported', () => {
    const limit = createAdaptiveLimit(20);
    simulateUpstream(limit, 20, 10, 5_000);
    simulateUpstream(limit, 4, 10, 60_000, 5_000);
    assert.ok(limit.queries.limit() >= 4 && limit.queries.limit() <= 8, `${limit.queries.limit()}`);
  });

  it('undoes a shrink when the calls themselves have become more expensive', () => {
    const limit = createAdaptiveLimit(20);
    simulateUpstream(limit, 20, 10, 5_000);
    simulateUpstream(limit, 20, 40, 60_000, 5_000);
    assert.equal(limit.queries.limit(), 20);
  });

  it('shrinks when the upstream refuses calls, and stays between 1 and the slots', () => {
    const limit = createAdaptiveLimit(10);
    for (let now = 0; now < 5_000; now += 100) {
      limit.commands.record({ className: 'c', latencyMs: 10, inFlight: 1 }, now);
      limit.commands.recordOverload(limit.queries.limit(), now);
    }
    assert.equal(limit.queries.limit(), 1);
    simulateUpstream(limit, 10, 10, 600_000, 70_000);
    assert.equal(limit.queries.limit(), 10);
    limit.commands.setSlots(3);
    assert.equal(limit.queries.limit(), 3);
  });

  it('does not shrink for an upstream that fails, so that it recovers at full capacity', () => {
    const limit = createAdaptiveLimit(10);
    limit.commands.record({ className: 'c', latencyMs: 10, inFlight: 1 }, 0);
    for (let now = 0; now < 60_000; now += 100) {
      limit.commands.recordOverload(2, now);
      limit.commands.recordOverload(10, now + 1_000);
    }
    assert.equal(limit.queries.limit(), 10);
  });
});
