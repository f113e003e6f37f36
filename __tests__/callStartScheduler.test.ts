import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createCallStartScheduler } from '../src/plugins/calls/callStartScheduler.js';
import { createTimer } from '../src/utils/timer.js';

const nextTurn = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

const createStarts = () => {
  const times = { idle: 0, active: 0 };
  const starts = createCallStartScheduler({
    timer: createTimer(),
    eventLoopTimes: () => ({ ...times }),
  });
  const started: string[] = [];
  return { times, started, add: (name: string) => starts.add(() => started.push(name)) };
};

// Guards against starts for callers whose close waits unread, and against turns that cost time only.
describe('starts of calls', () => {
  it('are not put off while the loop has waited for events a moment ago', () => {
    const { times, started, add } = createStarts();
    times.idle = 500;
    times.active = 9;
    add('a');
    assert.deepEqual(started, ['a']);
  });

  it('are put off until connections were looked at if the loop ran code all the while', async () => {
    const { times, started, add } = createStarts();
    times.active = 11;
    add('a');
    await nextTurn();
    assert.deepEqual(started, []);
    await nextTurn();
    assert.deepEqual(started, ['a']);
  });

  it('add up the time since the loop waited, however short the time between two of them', async () => {
    const { times, started, add } = createStarts();
    times.idle = 500;
    for (const name of ['a', 'b', 'c']) {
      times.active += 4;
      add(name);
    }
    assert.deepEqual(started, ['a', 'b']);
    await nextTurn();
    await nextTurn();
    assert.deepEqual(started, ['a', 'b', 'c']);
  });

  it('keep their order', async () => {
    const { times, started, add } = createStarts();
    times.active = 100;
    add('a');
    times.idle = 1;
    add('b');
    await nextTurn();
    await nextTurn();
    await nextTurn();
    assert.deepEqual(started, ['a', 'b']);
  });
});
