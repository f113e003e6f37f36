/**
 * Pacing of large answers on the link of a machine. A link sends what it gets in order, so a few
 * large answers at once keep small ones and new connections waiting behind them. Small answers go
 * at once and are only counted; large ones go in pieces, in turn, at what they leave of the link.
 */

/** Part of the link that answers may use; the rest is for requests, heads and the feed. */
const answerShare = 0.9;
/** Time that one piece of a large answer takes on the link, in ms: a small answer waits for it. */
const pieceMs = 20;
/** Time of the link that is made up for after it was idle, in ms. */
const idleCreditMs = 10;
/**
 * The same while answers wait, in ms: timers of a process that is short of processor time are late
 * by tens of ms, and with 10 ms large answers got a part of the link's rate only.
 */
const lateCreditMs = 100;
/** Longest time between two pieces while small answers fill the link, in ms: none stands still. */
const maxHoldMs = 200;
/** Most time of the link that is kept in mind for what was sent, in ms. */
const maxDebtMs = 500;
/** Bytes in a ms at 1 Mbit/s. */
const bytesPerMsOfMbps = 125;

/** Bytes of an answer that may be sent. */
export interface Chunk {
  readonly id: number;
  readonly bytes: number;
}

export interface LinkPacer {
  readonly commands: {
    /** Counts bytes that are sent without a turn. */
    recordUnpaced(bytes: number, now: number): void;
    /** Sets how many bytes of an answer wait. It keeps its turn; with 0 it has none. */
    setPending(id: number, bytes: number, now: number): void;
    /** Takes the next piece that may be sent now. */
    takeNext(now: number): Chunk | undefined;
  };
  readonly queries: {
    /** Time until the next piece may be sent, in ms; undefined if no answer waits. */
    untilNextMs(now: number): number | undefined;
  };
}

/** Creates the pacing of a link with a rate in Mbit/s. */
export const createLinkPacer = (linkMbps: number): LinkPacer => {
  const bytesPerMs = answerShare * linkMbps * bytesPerMsOfMbps;
  const pieceBytes = Math.max(1, Math.floor(pieceMs * linkMbps * bytesPerMsOfMbps));
  /** Waiting bytes by answer, in the order of their turns. */
  const waiting = new Map<number, number>();
  /** Time that the link needs for what was sent, in ms; below 0 if it was idle. */
  let debtMs = 0;
  let settledAt = 0;
  /** Time of the last piece, or since when answers wait for one. */
  let heldSince = 0;

  const settle = (now: number) => {
    const creditMs = waiting.size > 0 ? lateCreditMs : idleCreditMs;
    debtMs = Math.max(-creditMs, debtMs - Math.max(0, now - settledAt));
    settledAt = now;
  };

  const pass = (bytes: number, now: number) => {
    settle(now);
    debtMs = Math.min(maxDebtMs, debtMs + bytes / bytesPerMs);
  };

  const offer = (id: number, bytes: number, now: number) => {
    settle(now);
    if (waiting.size === 0) {
      heldSince = now;
    }
    if (bytes > 0) {
      waiting.set(id, bytes);
    } else {
      waiting.delete(id);
    }
  };

  const nextInMs = (now: number): number | undefined => {
    settle(now);
    return waiting.size === 0
      ? undefined
      : Math.max(0, Math.min(debtMs, heldSince + maxHoldMs - now));
  };

  const take = (now: number): Chunk | undefined => {
    const [next] = waiting;
    if (!next || nextInMs(now) !== 0) {
      return undefined;
    }
    const [id, offered] = next;
    const bytes = Math.min(offered, pieceBytes);
    waiting.delete(id);
    if (offered > bytes) {
      // Back to the end of the turns.
      waiting.set(id, offered - bytes);
    }
    debtMs = Math.min(maxDebtMs, debtMs + bytes / bytesPerMs);
    heldSince = now;
    return { id, bytes };
  };

  return {
    commands: { recordUnpaced: pass, setPending: offer, takeNext: take },
    queries: { untilNextMs: nextInMs },
  };
};
