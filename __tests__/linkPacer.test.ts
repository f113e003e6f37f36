import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import { createLinkPacer, type LinkPacer } from '../src/core/calls/linkPacer.js';

const linkMbps = 8;
/** Bytes of the link in a ms. */
const linkRate = 1_000;
/** Part of the link that answers get. */
const answerShare = 0.9;
/** Longest time of the link for one piece, and what a late timer may make up for, in ms. */
const burstMs = 20 + 10;

interface Sent {
  readonly id: number;
  readonly bytes: number;
  readonly at: number;
}

/** Takes pieces whenever one is due, until nothing waits or the time is over. */
const run = (pacing: LinkPacer, fromMs: number, toMs: number): Sent[] => {
  const sent: Sent[] = [];
  let now = fromMs;
  let waitMs = pacing.queries.untilNextMs(now);
  while (waitMs !== undefined && now + waitMs <= toMs) {
    // The step makes up for the rounding of numbers.
    now += waitMs + 1e-9;
    for (let piece = pacing.commands.takeNext(now); piece; piece = pacing.commands.takeNext(now)) {
      sent.push({ ...piece, at: now });
    }
    waitMs = pacing.queries.untilNextMs(now);
  }
  return sent;
};

const bytesOf = (sent: readonly Sent[], id?: number): number =>
  sent
    .filter((piece) => id === undefined || piece.id === id)
    .reduce((sum, { bytes }) => sum + bytes, 0);

/** Fails if the pieces of any window need more time of the link than it has and a burst. */
const assertRate = (sent: readonly Sent[], rate: number) =>
  sent.forEach((first, index) => {
    let bytes = 0;
    sent.slice(index).forEach((piece) => {
      bytes += piece.bytes;
      const most = rate * (piece.at - first.at + burstMs) + 1;
      assert.ok(bytes <= most, `${bytes} bytes in ${piece.at - first.at} ms`);
    });
  });

describe('pacing of large answers on a link', () => {
  it('keeps the rate of large answers when timers are late, as without processor time', () => {
    const pacing = createLinkPacer(linkMbps);
    const lateMs = 50;
    const lengthMs = 10_000;
    pacing.commands.setPending(1, 100_000_000, 0);
    let bytes = 0;
    for (let now = 0; now <= lengthMs; now += lateMs) {
      for (
        let piece = pacing.commands.takeNext(now);
        piece;
        piece = pacing.commands.takeNext(now)
      ) {
        bytes += piece.bytes;
      }
    }
    const possible = answerShare * linkRate * lengthMs;
    assert.ok(bytes >= 0.95 * possible, `${bytes} of ${possible} bytes`);
    assert.ok(bytes <= 1.01 * possible, `${bytes} of ${possible} bytes`);
  });

  it('keeps the rate in every window, so that the queue of the link stays short', () => {
    fc.assert(
      fc.property(
        fc.array(fc.integer({ min: 1, max: 300_000 }), { minLength: 1, maxLength: 12 }),
        (sizes) => {
          const pacing = createLinkPacer(linkMbps);
          sizes.forEach((bytes, id) => pacing.commands.setPending(id, bytes, 0));
          const sent = run(pacing, 0, 60_000);
          sizes.forEach((bytes, id) => assert.equal(bytesOf(sent, id), bytes));
          assertRate(sent, linkRate);
        },
      ),
      { seed: 15 },
    );
  });

  it('uses most of the link while large answers wait', () => {
    const pacing = createLinkPacer(linkMbps);
    pacing.commands.setPending(1, 1_000_000, 0);
    const sent = run(pacing, 0, 1_000);
    assert.ok(bytesOf(sent) > 0.85 * linkRate * 1_000, `${bytesOf(sent)} bytes`);
  });

  it('lets a timer that is late make up for it, without a burst after idle time', () => {
    const pacing = createLinkPacer(linkMbps);
    pacing.commands.setPending(1, 10_000_000, 0);
    let bytes = 0;
    for (let now = 10_000; now < 11_000; now += 5) {
      for (
        let piece = pacing.commands.takeNext(now);
        piece;
        piece = pacing.commands.takeNext(now)
      ) {
        bytes += piece.bytes;
      }
    }
    assert.ok(bytes > 0.85 * linkRate * 1_000, `${bytes} bytes`);
    assert.ok(bytes < linkRate * (1_000 + burstMs), `${bytes} bytes`);
  });

  it('sends large answers in turn, so that one of them does not hold up the others', () => {
    const pacing = createLinkPacer(linkMbps);
    [1, 2, 3].forEach((id) => pacing.commands.setPending(id, 1_000_000, 0));
    const turns = run(pacing, 0, 500).map(({ id }) => id);
    assert.ok(turns.length > 9);
    turns.forEach((id, index) => assert.equal(id, (index % 3) + 1));
  });

  it('keeps the turn of an answer whose upstream sends more', () => {
    const pacing = createLinkPacer(linkMbps);
    [1, 2].forEach((id) => pacing.commands.setPending(id, 100_000, 0));
    assert.equal(pacing.commands.takeNext(0)?.id, 1);
    pacing.commands.setPending(1, 200_000, 0);
    pacing.commands.setPending(2, 200_000, 0);
    assert.equal(run(pacing, 0, 100)[0]?.id, 2);
  });

  it('never holds up a small answer: it is counted, and large ones make room for it', () => {
    const pacing = createLinkPacer(linkMbps);
    pacing.commands.setPending(1, 10_000_000, 0);
    let large = 0;
    let small = 0;
    for (let now = 0; now < 2_000; now += 10) {
      pacing.commands.recordUnpaced(4_000, now);
      small += 4_000;
      large += bytesOf(run(pacing, now, now + 10));
    }
    assert.ok(large + small <= linkRate * (2_000 + burstMs), `${large} and ${small} bytes`);
    assert.ok(large > 0.4 * linkRate * 2_000, `${large} bytes`);
  });

  it('lets no large answer stand still while small ones fill the link', () => {
    const pacing = createLinkPacer(linkMbps);
    pacing.commands.setPending(1, 10_000_000, 0);
    let large = 0;
    for (let now = 0; now < 5_000; now += 100) {
      pacing.commands.recordUnpaced(50 * linkRate, now);
      pacing.commands.recordUnpaced(70 * linkRate, now);
      large += bytesOf(run(pacing, now, now + 100));
    }
    // A piece of 20 ms in each 200 ms.
    assert.ok(large > 0.08 * linkRate * 5_000, `${large} bytes`);
  });

  it('gives the part of an answer that is taken out to the others', () => {
    const pacing = createLinkPacer(linkMbps);
    [1, 2].forEach((id) => pacing.commands.setPending(id, 1_000_000, 0));
    const before = run(pacing, 0, 500);
    pacing.commands.setPending(1, 0, 500);
    const after = run(pacing, 500, 1_000);
    assert.equal(bytesOf(after, 1), 0);
    assert.ok(bytesOf(after, 2) > 1.7 * bytesOf(before, 2));
  });
});
