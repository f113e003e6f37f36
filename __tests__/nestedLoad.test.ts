import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import { createAdmission, type AdmissionEffect } from '../src/core/calls/admission.js';

/**
 * Simulates two services in virtual time. A lookup occupies a slot of the front service while it
 * makes up to two calls to the back service, one after the other. Price requests go to the back
 * service directly. The back service has lost two of its three endpoints and lacks the capacity for
 * all lookups.
 */
const seed = 15;
const lengthMs = 20_000;
/** Start of the calls that are counted: by then the simulation has reached a steady state. */
const countedFromMs = 5_000;
const frontSlots = 126;
const backSlots = 18;
const lookup = {
  perSecond: 430,
  workMs: 160,
  targetMs: 500,
  deadlineMs: 1_200,
  waitMs: 250,
  priority: 20,
};
const nested = { workMs: 40, deadlineMs: 500, waitMs: 75, priority: 40 };
const price = { perSecond: 127, workMs: 64, deadlineMs: 500, waitMs: 100, priority: 40 };
const nestedProbability = 0.7;

interface Outcome {
  lookups: number;
  lookupsServed: number;
  /** Served within `targetMs` of the first attempt. */
  lookupsInTarget: number;
  prices: number;
  pricesServed: number;
}

/** With `isRanked`, a lookup and its nested calls have the same rank, as with `callRank`. */
const simulate = (isRanked: boolean): Outcome => {
  const generator = xoroshiro128plus(seed);
  const random = () => unsafeUniformIntDistribution(0, 2 ** 30 - 1, generator) / 2 ** 30;
  const outcome: Outcome = {
    lookups: 0,
    lookupsServed: 0,
    lookupsInTarget: 0,
    prices: 0,
    pricesServed: 0,
  };
  const events: { dueAt: number; run: () => void }[] = [];
  let now = 0;
  let lastId = 0;

  const schedule = (delayMs: number, run: () => void) => {
    const dueAt = now + delayMs;
    const index = events.findIndex((event) => event.dueAt > dueAt);
    events.splice(index < 0 ? events.length : index, 0, { dueAt, run });
  };

  const createService = (slots: number) => {
    const admission = createAdmission({ slots, isAdaptive: false });
    const decisions = new Map<string, (isAdmitted: boolean) => void>();
    const applyEffects = (effects: readonly AdmissionEffect[]) =>
      effects.forEach((effect) => {
        if (effect.type !== 'waiting') {
          decisions.get(effect.id)?.(effect.type === 'admitted');
          decisions.delete(effect.id);
        }
      });
    const tick = () => {
      applyEffects(admission.commands.tick(now));
      schedule(5, tick);
    };
    tick();
    return {
      request: (
        className: string,
        parameters: { priority: number; maxWaitMs: number; deadlineAt: number; rank?: number },
        decide: (id: string, isAdmitted: boolean) => void,
      ) => {
        lastId += 1;
        const id = String(lastId);
        decisions.set(id, (isAdmitted) => decide(id, isAdmitted));
        applyEffects(admission.commands.request({ id, className, caller: '', ...parameters }, now));
      },
      finish: (id: string, latencyMs: number) =>
        applyEffects(admission.commands.finish(id, now, { outcome: 'ok', latencyMs })),
    };
  };
  const front = createService(frontSlots);
  const back = createService(backSlots);

  const callNested = (
    lookupDeadlineAt: number,
    rank: number | undefined,
    done: (isServed: boolean) => void,
  ) => {
    const deadlineAt = Math.min(lookupDeadlineAt, now + nested.deadlineMs);
    const parameters = { priority: nested.priority, maxWaitMs: nested.waitMs, rank };
    back.request('inner', { ...parameters, deadlineAt }, (id, isAdmitted) => {
      if (!isAdmitted) {
        done(false);
        return;
      }
      schedule(nested.workMs, () => {
        back.finish(id, nested.workMs);
        done(true);
      });
    });
  };

  const startLookup = (remainingTries = 2, firstSentAt = now) => {
    const startedAt = now;
    const rank = isRanked ? random() : undefined;
    const retry = (delayMs: number) => {
      if (remainingTries > 1) {
        schedule(delayMs, () => startLookup(remainingTries - 1, firstSentAt));
      }
    };
    const isCounted = firstSentAt >= countedFromMs;
    const nestedCalls = Number(random() < nestedProbability) + Number(random() < nestedProbability);
    outcome.lookups += Number(isCounted && remainingTries === 2);
    const { priority, waitMs, deadlineMs, workMs, targetMs } = lookup;
    const parameters = {
      priority,
      maxWaitMs: waitMs,
      deadlineAt: now + deadlineMs,
      rank,
    };
    front.request('lookup', parameters, (id, isAdmitted) => {
      if (!isAdmitted) {
        retry(400);
        return;
      }
      const admittedAt = now;
      const endLookup = (isServed: boolean) => {
        front.finish(id, now - admittedAt);
        if (!isServed) {
          retry(5);
        }
        const isInTime = now - firstSentAt <= deadlineMs;
        outcome.lookupsInTarget += Number(isCounted && isServed && now - firstSentAt <= targetMs);
        outcome.lookupsServed += Number(isCounted && isServed && isInTime);
      };
      const callNext = (left: number) => {
        if (left === 0) {
          endLookup(true);
          return;
        }
        callNested(startedAt + deadlineMs, rank, (isServed) =>
          isServed ? callNext(left - 1) : endLookup(false),
        );
      };
      schedule(workMs, () => callNext(nestedCalls));
    });
  };

  const startPrice = () => {
    const isCounted = now >= countedFromMs;
    outcome.prices += Number(isCounted);
    const { priority, waitMs, deadlineMs, workMs } = price;
    const parameters = { priority, maxWaitMs: waitMs, deadlineAt: now + deadlineMs };
    back.request('price', parameters, (id, isAdmitted) => {
      if (isAdmitted) {
        schedule(workMs, () => {
          back.finish(id, workMs);
          outcome.pricesServed += Number(isCounted);
        });
      }
    });
  };

  const scheduleArrival = (perSecond: number, start: () => void) => {
    start();
    schedule((-Math.log(1 - random()) * 1_000) / perSecond, () =>
      scheduleArrival(perSecond, start),
    );
  };
  scheduleArrival(lookup.perSecond, () => startLookup());
  scheduleArrival(price.perSecond, startPrice);

  while (now < lengthMs) {
    const event = events.shift()!;
    now = event.dueAt;
    event.run();
  }
  return outcome;
};

describe('lookups with nested calls to a service that is short of capacity', () => {
  const unranked = simulate(false);
  const ranked = simulate(true);

  it('are mostly within the target time if served, as all services favour the same ones', () => {
    const shareOf = ({ lookupsInTarget, lookupsServed }: Outcome) =>
      lookupsInTarget / lookupsServed;
    const detail = `${shareOf(ranked)} with ranks, ${shareOf(unranked)} without`;
    assert.ok(shareOf(ranked) >= 0.8, detail);
  });

  it('use most of the slots that the service has left for them', () => {
    const slotsLeft = backSlots - (price.perSecond * price.workMs) / 1_000;
    const slotsOfLookup = (2 * nestedProbability * nested.workMs) / 1_000;
    const possible = slotsLeft / slotsOfLookup / lookup.perSecond;
    const served = ranked.lookupsServed / ranked.lookups;
    assert.ok(served >= 0.85 * possible, `${served} of ${possible}`);
  });

  it('do not take the slots of more important requests', () => {
    const { prices, pricesServed } = ranked;
    assert.ok(pricesServed >= 0.95 * prices, `${pricesServed} of ${prices}`);
  });
});
