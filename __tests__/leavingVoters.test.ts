import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createReplicaSimulation, type ReplicaSimulation } from './support/replicaSimulation.js';

/** By hand: LEAVING_SEED plays one seed, LEAVING_RUNS more of them. */
const firstSeed = Number(process.env.LEAVING_SEED ?? 1);
const runs = process.env.LEAVING_SEED ? 1 : Number(process.env.LEAVING_RUNS ?? 400);

const createRandom = (seed: number) => {
  const generator = xoroshiro128plus(seed);
  return () => unsafeUniformIntDistribution(0, 999_999, generator) / 1_000_000;
};

const pickFrom = <Item>(items: readonly Item[], random: () => number): Item =>
  items[Math.floor(random() * items.length)]!;

const leaderOf = (world: ReplicaSimulation): number => world.roles().indexOf('leader');

/**
 * One voter is gone for good, or its disk is, which an even number of voters can do without. Another one asks to
 * leave, and all stop before its removal has reached everyone. They start again with their disks.
 */
const playStops = (seed: number) => {
  const random = createRandom(seed);
  const size = pickFrom([4, 4, 4, 5, 6], random);
  const all = Array.from({ length: size }, (_, at) => at);
  const world = createReplicaSimulation(size, 0, random);
  world.runRounds(40);
  const leader = leaderOf(world);
  assert.ok(leader >= 0, `seed ${seed}: no leader at the start`);
  const lost = pickFrom(
    all.filter((at) => at !== leader),
    random,
  );
  const leaving = pickFrom(
    all.filter((at) => at !== lost && at !== leader),
    random,
  );
  world.runRounds(Math.floor(random() * 5), { isolated: [lost] });
  world.changeMembers(leader, leaving, 'remove');
  const unreached = all.filter((at) => at !== leader && random() < 0.5);
  world.runRounds(1, { isolated: [lost, ...unreached], stalled: random() < 0.3 ? unreached : [] });
  // The leader may be the one that is gone; the one that left silently before is then back.
  const isLeaderGone = random() < 0.4;
  const gone = isLeaderGone ? leader : lost;
  all.forEach((at) => world.crash(at, Math.floor(random() * 8)));
  // It may also come back with an empty disk, while the others go on or later.
  const isReplaced = random() < 0.4;
  if (isReplaced) {
    world.runRounds(Math.floor(random() * 20), { isolated: [gone] });
    world.loseDisk(gone, true);
  }
  world.runRounds(100, { isolated: isReplaced ? [] : [gone] });
  return { world, gone };
};

describe('stops of voters beside one that is gone for good', () => {
  // Guards against a voter that refuses its vote since its log has its removal, while elections still
  // need the voters before the removal: no leader is elected any more.
  it('end the group for no seed', () => {
    const failed: number[] = [];
    for (let seed = firstSeed; seed < firstSeed + runs; seed += 1) {
      const { world, gone } = playStops(seed);
      const commitsBefore = world.counters.commits;
      const leader = leaderOf(world);
      if (leader >= 0 && leader !== gone) {
        world.propose(leader);
        world.runRounds(5, { isolated: [gone] });
      }
      if (world.counters.commits === commitsBefore) {
        failed.push(seed);
      }
    }
    assert.deepEqual(failed, [], `of ${runs} seeds from ${firstSeed}`);
  });
});
