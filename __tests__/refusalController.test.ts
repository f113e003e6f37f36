import assert from 'node:assert/strict';
import { it } from 'node:test';
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import { createRefusalController } from '../src/core/calls/refusalController.js';

const seed = 33;
const callsPerSecond = 43;
const outcomeAfterMs = 250;
const capacityShare = 0.3;

// Guards against a forwarded share that jumps to all calls whenever none has failed for a moment.
it('few forwarded calls of a node fail while capacity for three in ten is left', () => {
  const generator = xoroshiro128plus(seed);
  const random = () => unsafeUniformIntDistribution(0, 2 ** 30 - 1, generator) / 2 ** 30;
  const controller = createRefusalController(0);
  const pending: { at: number; hasCapacity: boolean }[] = [];
  let forwarded = 0;
  let failed = 0;
  for (let now = 0; now < 60_000; now += 1_000 / callsPerSecond) {
    while (pending[0] && pending[0].at <= now) {
      controller.commands.recordOutcome(pending.shift()!.hasCapacity, now);
    }
    const rank = random();
    if (rank < controller.queries.refusedShare(now, 1.07)) {
      controller.commands.recordRefused(now);
    } else {
      // Of the calls with the highest ranks, a twentieth fails by chance.
      const hasCapacity = rank > 1 - capacityShare && random() > 1 / 20;
      pending.push({ at: now + outcomeAfterMs, hasCapacity });
      forwarded += 1;
      failed += hasCapacity ? 0 : 1;
    }
  }
  const detail = `${failed} of ${forwarded} failed`;
  assert.ok(failed < 0.2 * forwarded, detail);
  assert.ok(forwarded - failed > 0.7 * capacityShare * 60 * callsPerSecond, detail);
});
