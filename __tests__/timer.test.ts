import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createManualTimer } from '../src/utils/timer.js';

describe('manual timer', () => {
  it('calls listeners in the order of their due times', () => {
    const timer = createManualTimer();
    const seen: string[] = [];
    timer.after(20, () => seen.push('late'));
    timer.after(10, () => seen.push('early'));
    timer.every(15, () => seen.push(`tick ${timer.now()}`));
    timer.advance(30);
    assert.deepEqual(seen, ['early', 'tick 15', 'late', 'tick 30']);
  });

  it('does not call a cancelled listener', () => {
    const timer = createManualTimer();
    const cancel = timer.after(5, () => assert.fail('cancelled listener was called'));
    cancel();
    timer.advance(10);
  });
});
