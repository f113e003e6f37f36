import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { xoroshiro128plus, unsafeUniformIntDistribution } from 'pure-rand';
import { createAdmission, type AdmissionEffect } from '../src/core/calls/admission.js';

/**
 * Plays a shop in virtual time: lookups hold a slot of the front service while they make two calls
 * to the back service one after the other; price requests go to the back service directly. The back
 * service has lost two of its three endpoints and cannot feed all lookups.
 */
const seed = 15;
const lengthMs = 20_000;
/** The throttle has settled by then. */
const judgedFromMs = 5_000;
const frontSlots = 126;
const backSlots = 18;
const lookup = {
  perSecond: 430,
  workMs: 160,
  aimMs: 500,
  deadlineMs: 1_200,
  waitMs: 250,
  priority: 20,
};
const inner = { workMs: 40, deadlineMs: 500, waitMs: 75, priority: 40 };
const price = { perSecond: 127, workMs: 64, deadlineMs: 500, waitMs: 100, priority: 40 };
const innerShare = 0.7;

interface Outcome {
  lookups: number;
  lookupsServed: number;
  /** Answered within the aim from the first try on. */
  lookupsInAim: number;
  prices: number;
  pricesServed: number;
}

/** With `isRanked` a lookup and its calls share a rank, as `callRank` gives it to them. */
const play = (isRanked: boolean): Outcome => {
  const generator = xoroshiro128plus(seed);
  const random = () => unsafeUniformIntDistribution(0, 2 ** 30 - 1, generator) / 2 ** 30;
  const outcome: Outcome = {
    lookups: 0,
    lookupsServed: 0,
    lookupsInAim: 0,
    prices: 0,
    pricesServed: 0,
  };
  const queue: { at: number; run: () => void }[] = [];
  let now = 0;
  let ids = 0;

  const at = (delayMs: number, run: () => void) => {
    const due = now + delayMs;
    const index = queue.findIndex((event) => event.at > due);
    queue.splice(index < 0 ? queue.length : index, 0, { at: due, run });
  };

  const createService = (slots: number) => {
    const admission = createAdmission({ slots, isAdaptive: false });
    const decisions = new Map<string, (isAdmitted: boolean) => void>();
    const carryOut = (effects: readonly AdmissionEffect[]) =>
      effects.forEach((effect) => {
        if (effect.type !== 'waiting') {
          decisions.get(effect.id)?.(effect.type === 'admitted');
          decisions.delete(effect.id);
        }
      });
    const tick = () => {
      carryOut(admission.commands.tick(now));
      at(5, tick);
    };
    tick();
    return {
      ask: (
        className: string,
        terms: { priority: number; maxWaitMs: number; deadlineAt: number; rank?: number },
        decide: (id: string, isAdmitted: boolean) => void,
      ) => {
        ids += 1;
        const id = String(ids);
        decisions.set(id, (isAdmitted) => decide(id, isAdmitted));
        carryOut(admission.commands.request({ id, className, caller: '', ...terms }, now));
      },
      finish: (id: string, latencyMs: number) =>
        carryOut(admission.commands.finish(id, now, { outcome: 'ok', latencyMs })),
    };
  };
  const front = createService(frontSlots);
  const back = createService(backSlots);

  const callInner = (
    lookupDeadlineAt: number,
    rank: number | undefined,
    done: (isServed: boolean) => void,
  ) => {
    const deadlineAt = Math.min(lookupDeadlineAt, now + inner.deadlineMs);
    const terms = { priority: inner.priority, maxWaitMs: inner.waitMs, rank };
    back.ask('inner', { ...terms, deadlineAt }, (id, isAdmitted) => {
      if (!isAdmitted) {
        done(false);
        return;
      }
      at(inner.workMs, () => {
        back.finish(id, inner.workMs);
        done(true);
      });
    });
  };

  const startLookup = (tries = 2, askedAt = now) => {
    const startedAt = now;
    const rank = isRanked ? random() : undefined;
    const retry = (delayMs: number) => {
      if (tries > 1) {
        at(delayMs, () => startLookup(tries - 1, askedAt));
      }
    };
    const isJudged = askedAt >= judgedFromMs;
    const innerCalls = Number(random() < innerShare) + Number(random() < innerShare);
    outcome.lookups += Number(isJudged && tries === 2);
    const { priority, waitMs, deadlineMs, workMs, aimMs } = lookup;
    const terms = {
      priority,
      maxWaitMs: waitMs,
      deadlineAt: now + deadlineMs,
      rank,
    };
    front.ask('lookup', terms, (id, isAdmitted) => {
      if (!isAdmitted) {
        retry(400);
        return;
      }
      const admittedAt = now;
      const end = (isServed: boolean) => {
        front.finish(id, now - admittedAt);
        if (!isServed) {
          retry(5);
        }
        const isInTime = now - askedAt <= deadlineMs;
        outcome.lookupsInAim += Number(isJudged && isServed && now - askedAt <= aimMs);
        outcome.lookupsServed += Number(isJudged && isServed && isInTime);
      };
      const callNext = (left: number) => {
        if (left === 0) {
          end(true);
          return;
        }
        callInner(startedAt + deadlineMs, rank, (isServed) =>
          isServed ? callNext(left - 1) : end(false),
        );
      };
      at(workMs, () => callNext(innerCalls));
    });
  };

  const startPrice = () => {
    const isJudged = now >= judgedFromMs;
    outcome.prices += Number(isJudged);
    const { priority, waitMs, deadlineMs, workMs } = price;
    const terms = { priority, maxWaitMs: waitMs, deadlineAt: now + deadlineMs };
    back.ask('price', terms, (id, isAdmitted) => {
      if (isAdmitted) {
        at(workMs, () => {
          back.finish(id, workMs);
          outcome.pricesServed += Number(isJudged);
        });
      }
    });
  };

  const arrive = (perSecond: number, start: () => void) => {
    start();
    at((-Math.log(1 - random()) * 1_000) / perSecond, () => arrive(perSecond, start));
  };
  arrive(lookup.perSecond, () => startLookup());
  arrive(price.perSecond, startPrice);

  while (now < lengthMs) {
    const event = queue.shift()!;
    now = event.at;
    event.run();
  }
  return outcome;
};

describe('lookups whose own calls go to a service that is short of capacity', () => {
  const unranked = play(false);
  const ranked = play(true);

  it('are served in time if they are served at all, since all gates prefer the same ones', () => {
    const shareOf = ({ lookupsInAim, lookupsServed }: Outcome) => lookupsInAim / lookupsServed;
    const detail = `${shareOf(ranked)} with ranks, ${shareOf(unranked)} without`;
    assert.ok(shareOf(ranked) >= 0.8, detail);
  });

  it('are served as often as the short service has slots for them', () => {
    const slotsLeft = backSlots - (price.perSecond * price.workMs) / 1_000;
    const slotsOfLookup = (2 * innerShare * inner.workMs) / 1_000;
    const possible = slotsLeft / slotsOfLookup / lookup.perSecond;
    const served = ranked.lookupsServed / ranked.lookups;
    assert.ok(served >= 0.85 * possible, `${served} of ${possible}`);
  });

  it('do not take the slots of requests that are more important', () => {
    const { prices, pricesServed } = ranked;
    assert.ok(pricesServed >= 0.95 * prices, `${pricesServed} of ${prices}`);
  });
});
