import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createReportOrder, isSameProcess } from '../src/core/calls/reportOrder.js';
import type { EndMark } from '../src/types/internal.js';

const maxDelayMs = 10_000;
const renewWithinMs = 4_500;
const periodMs = 1_500;
const runs = 2_000;
const seed = 62;

interface Arrival {
  readonly at: number;
  readonly mark: EndMark;
  /** Life of the sender; undefined for a report of another writer. */
  readonly life?: number;
}

const createOrder = () => createReportOrder({ maxDelayMs, renewWithinMs });

const play = (order: ReturnType<typeof createOrder>, { mark, at }: Arrival): boolean => {
  if (order.commands.judge(mark, at) === 'superseded') {
    return false;
  }
  order.commands.accept(mark, at);
  return true;
};

const markOf = (endpoint: string, startedAt: number, sequence: number): EndMark => ({
  endpoint,
  startedAt,
  sequence,
});

/** Reports of one process, each `periodMs` after the one before. */
const reportsOf = (endpoint: string, startedAt: number, fromMs: number, count: number): Arrival[] =>
  Array.from({ length: count }, (_, index) => ({
    at: fromMs + index * periodMs,
    mark: markOf(endpoint, startedAt, index + 1),
  }));

/** Plays arrivals by time; returns the times at which a report of `endpoint` counted. */
const countedAt = (endpoint: string, arrivals: readonly Arrival[]): number[] => {
  const order = createOrder();
  return [...arrivals]
    .sort((a, b) => a.at - b.at)
    .filter((arrival) => play(order, arrival) && arrival.mark.endpoint === endpoint)
    .map(({ at }) => at);
};

interface Life {
  readonly hasNewId: boolean;
  readonly reports: number;
  readonly gapMs: number;
  readonly clockOffsetMs: number;
  readonly delaysMs: readonly number[];
}

const life = fc.record({
  hasNewId: fc.boolean(),
  reports: fc.integer({ min: 1, max: 20 }),
  gapMs: fc.integer({ min: 0, max: 8_000 }),
  clockOffsetMs: fc.oneof(fc.constant(0), fc.integer({ min: -20_000, max: 20_000 })),
  delaysMs: fc.array(fc.oneof(fc.constant(0), fc.integer({ min: 0, max: maxDelayMs - periodMs })), {
    minLength: 20,
    maxLength: 20,
  }),
});

/** Processes that live one after the other at one address. */
const arrivalsOf = (lives: readonly Life[]): { arrivals: Arrival[]; endedAt: number[] } => {
  const arrivals: Arrival[] = [];
  const endedAt: number[] = [];
  let now = 100_000;
  lives.forEach(({ hasNewId, reports, gapMs, clockOffsetMs, delaysMs }, index) => {
    now += gapMs + 1;
    const endpoint = hasNewId ? `e-${index}` : 'e';
    // The index keeps starts apart that fall together by an offset of the clock.
    const startedAt = (now + clockOffsetMs) * 10 + index;
    for (let sequence = 1; sequence <= reports; sequence += 1) {
      const at = now + (delaysMs[sequence - 1] ?? 0);
      arrivals.push({ at, mark: markOf(endpoint, startedAt, sequence), life: index });
      now += periodMs;
    }
    endedAt.push(now);
  });
  return { arrivals: arrivals.sort((a, b) => a.at - b.at), endedAt };
};

describe('the order of reports about an upstream', () => {
  const sound = reportsOf('sound', 1_000, 100_000, 40);

  const wrongReports: Readonly<Record<string, EndMark>> = {
    'a later start': markOf('other', 90_000, 1),
    'a start far in the future': markOf('other', 86_400_000, 1),
    'a later start under the same id': markOf('sound', 90_000, 1),
    'a number far ahead': markOf('sound', 1_000, 50_000),
  };
  Object.entries(wrongReports).forEach(([what, mark]) => {
    // Guards against a sound upstream that is ignored for good after one wrong report.
    it(`lets an upstream count again after a report with ${what}`, () => {
      const wrongAt = 110_000;
      const counted = countedAt('sound', [...sound, { at: wrongAt, mark }]);
      const after = counted.filter((at) => at > wrongAt);
      assert.ok(after.length > 0, 'it counts again');
      assert.ok(after[0]! - wrongAt > maxDelayMs, 'not before a delayed report could arrive');
      assert.ok(after[0]! - wrongAt <= maxDelayMs + 2 * periodMs, 'and soon after that');
      assert.equal(after.at(-1), sound.at(-1)!.at);
    });
  });

  // Guards against a wrong number of a process that is followed, which its own reports never reach.
  it('lets an upstream count again after two wrong reports, one of them under its name', () => {
    const wrong = [
      { at: 110_000, mark: markOf('other', 90_000, 1) },
      { at: 112_000, mark: markOf('sound', 1_000, 50_000) },
    ];
    const after = countedAt('sound', [...sound, ...wrong]).filter((at) => at > 112_000);
    assert.ok(after.length > 0, 'it counts again');
    assert.ok(after[0]! - 112_000 <= maxDelayMs + renewWithinMs + 2 * periodMs);
  });

  it('does not let a process count while a later one is heard of', () => {
    const later = reportsOf('later', 2_000, 104_000, 40);
    const counted = countedAt('sound', [...sound, ...later]);
    assert.ok(counted.every((at) => at < 104_000));
  });

  // Guards against reports that queued while the node was frozen and are read in one moment.
  it('takes no reports for proof that arrive together after a pause', () => {
    const last = { at: 100_000, mark: markOf('later', 2_000, 1) };
    const early = reportsOf('crashed', 1_000, 100_100, 2);
    const queued = Array.from({ length: 10 }, (_, index) => ({
      at: 118_000 + index,
      mark: markOf('crashed', 1_000, index + 3),
    }));
    assert.deepEqual(countedAt('crashed', [last, ...early, ...queued]), []);
  });

  it('follows one process although others are superseded as well', () => {
    const strays = Array.from({ length: 200 }, (_, index) => ({
      at: 110_050 + index * 100,
      mark: markOf(`stray-${index % 5}`, 500, index),
    }));
    const wrong = { at: 110_000, mark: markOf('other', 90_000, 1) };
    const counted = countedAt('sound', [...sound, ...strays, wrong]);
    assert.ok(counted.at(-1)! > 130_000);
  });

  const lives = fc.array(life, { minLength: 2, maxLength: 6 });

  /** Plays the lives and calls `check` with each life that counts and those that counted before. */
  const followLives = (
    played: readonly Life[],
    check: (counted: number, before: readonly number[]) => void,
  ) => {
    const order = createOrder();
    const before: number[] = [];
    arrivalsOf(played).arrivals.forEach((arrival) => {
      if (play(order, arrival)) {
        check(arrival.life!, before);
        before.push(arrival.life!);
      }
    });
  };

  // Guards against late reports of a crashed process.
  it('never lets a process count after a later one has counted', () => {
    fc.assert(
      fc.property(lives, (played) =>
        followLives(
          played.map((each) => ({ ...each, clockOffsetMs: 0 })),
          (counted, before) => assert.ok(before.every((other) => other <= counted)),
        ),
      ),
      { seed, numRuns: runs },
    );
  });

  // A first report that claims a later start may be late as well if the clock was set back; nothing
  // tells it from that of a successor. Guards against a process that counted and comes back.
  it('never returns to a process that has ended, also if the clock jumps', () => {
    fc.assert(
      fc.property(lives, (played) =>
        followLives(played, (counted, before) => {
          const isReturn = before.includes(counted) && (before.at(-1) ?? 0) > counted;
          assert.ok(!isReturn, `life ${counted} after ${before.join(' ')}`);
        }),
      ),
      { seed, numRuns: runs },
    );
  });

  it('comes to the process that goes on reporting, whatever others have reported', () => {
    const foreign = fc.record({
      at: fc.integer({ min: 100_000, max: 200_000 }),
      endpoint: fc.constantFrom('e', 'other'),
      startedAt: fc.integer({ min: 0, max: 2 ** 42 }),
      sequence: fc.integer({ min: 0, max: 2 ** 40 }),
    });
    fc.assert(
      fc.property(
        fc.array(life, { minLength: 1, maxLength: 5 }),
        fc.array(foreign, { maxLength: 8 }),
        (played, others) => {
          const { arrivals, endedAt } = arrivalsOf(played);
          const from = Math.max(200_000, endedAt.at(-1)! + maxDelayMs);
          const last = reportsOf('last', 50, from, 20);
          const strays = others.map(({ at, ...mark }) => ({ at, mark }));
          const order = createOrder();
          [...arrivals, ...strays, ...last]
            .sort((a, b) => a.at - b.at)
            .forEach((arrival) => play(order, arrival));
          assert.ok(isSameProcess(order.queries.newest(), last[0]!.mark));
        },
      ),
      { seed, numRuns: runs },
    );
  });
});
