import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { majorityOf, quorumSize } from '../src/core/agreement/quorum.js';

const subsetsOf = (set: readonly number[]): number[][] =>
  set.reduce<number[][]>(
    (subsets, element) => [...subsets, ...subsets.map((subset) => [...subset, element])],
    [[]],
  );

/** All sets of intact voters that are a quorum if the voters in `lost` have lost their folders. */
const quorumsOf = (all: readonly number[], lost: readonly number[]): number[][] =>
  subsetsOf(all.filter((voter) => !lost.includes(voter))).filter(
    ({ length }) => length >= quorumSize(all.length, lost.length),
  );

/** Pairs of quorums, the first counted with some of the losses and the second with all of them. */
const quorumPairs = (all: readonly number[]) =>
  subsetsOf(all).flatMap((lost) =>
    subsetsOf(lost).flatMap((lostBefore) =>
      quorumsOf(all, lostBefore).flatMap((first) =>
        quorumsOf(all, lost).map((second) => ({ first, second })),
      ),
    ),
  );

describe('quorum without the voters whose folders are lost', () => {
  it('is a majority while no folder is lost', () => {
    [1, 2, 3, 4, 5, 6, 7].forEach((count) =>
      assert.equal(quorumSize(count, 0), majorityOf(count), `${count} voters`),
    );
  });

  it('is smaller than a majority only if the number of voters is even', () => {
    const sizes = [2, 3, 4, 5, 6].map((count) => [quorumSize(count, 0), quorumSize(count, 1)]);
    assert.deepEqual(sizes, [
      [2, 1],
      [2, 2],
      [3, 2],
      [3, 3],
      [4, 3],
    ]);
  });

  // Guards against a candidate that wins without any voter that holds a committed entry and still
  // has its folder.
  it('has an intact voter in common with every quorum that was counted before the last loss', () => {
    const pairs = [1, 2, 3, 4, 5, 6].flatMap((count) =>
      quorumPairs(Array.from({ length: count }, (_, voter) => voter)),
    );
    const disjoint = pairs.filter(
      ({ first, second }) => !first.some((voter) => second.includes(voter)),
    );
    assert.deepEqual(disjoint, []);
    assert.ok(pairs.length > 10_000, `${pairs.length} pairs`);
  });
});
