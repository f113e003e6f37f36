import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCallStartScheduler } from '../src/plugins/calls/callStartScheduler.js';
import { startPauseDetection } from '../src/plugins/calls/pauseDetection.js';
import { createManualTimer, createTimer } from '../src/utils/timer.js';

const nextLoopIteration = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

const createScheduler = () => {
  const times = { idle: 0, active: 0 };
  const scheduler = createCallStartScheduler({
    timer: createTimer(),
    eventLoopTimes: () => ({ ...times }),
  });
  const started: string[] = [];
  return { times, started, add: (name: string) => scheduler.add(() => started.push(name)) };
};

// Guards against starting calls of callers whose disconnect has not been read yet, and against
// event loop iterations that only cost time.
describe('call start scheduler', () => {
  it('starts a call at once if the event loop has just waited for events', () => {
    const { times, started, add } = createScheduler();
    times.idle = 500;
    times.active = 9;
    add('a');
    assert.deepEqual(started, ['a']);
  });

  it('defers a call until connections are polled if the loop has run code all along', async () => {
    const { times, started, add } = createScheduler();
    times.active = 11;
    add('a');
    await nextLoopIteration();
    assert.deepEqual(started, []);
    await nextLoopIteration();
    assert.deepEqual(started, ['a']);
  });

  it('adds up the busy time since the loop last waited, however close the calls are', async () => {
    const { times, started, add } = createScheduler();
    times.idle = 500;
    for (const name of ['a', 'b', 'c']) {
      times.active += 4;
      add(name);
    }
    assert.deepEqual(started, ['a', 'b']);
    await nextLoopIteration();
    await nextLoopIteration();
    assert.deepEqual(started, ['a', 'b', 'c']);
  });

  it('keeps the order of the calls', async () => {
    const { times, started, add } = createScheduler();
    times.active = 100;
    add('a');
    times.idle = 1;
    add('b');
    await nextLoopIteration();
    await nextLoopIteration();
    await nextLoopIteration();
    assert.deepEqual(started, ['a', 'b']);
  });
});

// Guards against a pause that is not noticed, or that slows down every later call.
describe('pause detection', () => {
  it('is false while its timer runs, also if it is somewhat late', () => {
    const timer = createManualTimer();
    const pauses = startPauseDetection(timer);
    for (let step = 0; step < 20; step += 1) {
      timer.advance(100);
      assert.equal(pauses.hasPaused(), false);
    }
  });

  it('is true right after a pause, whether its timer or a call comes first, and not later', () => {
    ['timer', 'call'].forEach((first) => {
      let now = 0;
      let mark = () => undefined as void;
      const timer = {
        ...createManualTimer(),
        now: () => now,
        every: (_periodMs: number, listener: () => void) => {
          mark = listener;
          return () => undefined;
        },
      };
      const pauses = startPauseDetection(timer);
      now = 1_000;
      if (first === 'timer') {
        mark();
      }
      assert.equal(pauses.hasPaused(), true, first);
      now = 1_050;
      mark();
      assert.equal(pauses.hasPaused(), true, first);
      now = 1_101;
      assert.equal(pauses.hasPaused(), false, first);
    });
  });
});
