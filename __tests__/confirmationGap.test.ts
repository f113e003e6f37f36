import assert from 'node:assert/strict';
import { it } from 'node:test';
import { findGapCause, type GapState } from '../src/core/distribution/confirmationGap.js';

const versionOf = (index: number) => ({ term: 1, index });
const heartbeat = {
  headVersion: versionOf(5),
  confirmedAgeMs: 300,
  path: ['control'],
  rootDataCentre: 'dc',
};
const state: GapState = {
  heartbeat,
  heardAgoMs: 400,
  received: versionOf(5),
  inForce: versionOf(5),
};

// Guards against a log that blames the parent for a delay on the node, or the reverse.
it('names the first step that was not taken in time', () => {
  const cases: readonly [Partial<GapState>, string][] = [
    [{ heartbeat: undefined, heardAgoMs: Infinity }, 'no parent'],
    [{ heardAgoMs: 1_600 }, 'parent silent'],
    [{ heartbeat: { ...heartbeat, confirmedAgeMs: 1_600 } }, 'parent not confirmed'],
    [{ received: versionOf(4), inForce: versionOf(4) }, 'version not received'],
    [{ inForce: versionOf(4) }, 'version staged'],
    [{}, 'heartbeat late'],
  ];
  cases.forEach(([change, cause]) => assert.equal(findGapCause({ ...state, ...change }), cause));
});
