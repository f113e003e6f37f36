/**
 * Pacing of large responses on the network link of a machine. A link transmits in FIFO order, so a
 * few large responses at a time would delay small ones and new connections. Small responses are
 * sent immediately and only counted. Large ones are sent in chunks, round-robin, at the rate that
 * the small ones leave.
 */

/** Share of the link rate for responses; the rest is for requests, headers and the feed. */
const responseShare = 0.9;
/**
 * Transmission time of one chunk of a large response, in ms. A small response may have to wait for
 * one.
 */
const chunkMs = 20;
/** Unused link time that may be used later while no response is pending, in ms. */
const idleCreditMs = 10;
/**
 * The same while responses are pending, in ms. Timers of a process short of processor time fire
 * tens of ms late; with a credit of 10 ms, large responses then got only a part of the link rate.
 */
const pendingCreditMs = 100;
/**
 * Maximum time between two chunks, in ms, so that large responses make progress while small ones
 * fill the link.
 */
const maxChunkIntervalMs = 200;
/** Upper bound of the link time owed for sent bytes, in ms. */
const maxDebtMs = 500;
/** Bytes per ms at 1 Mbit/s. */
const bytesPerMsOfMbps = 125;

/** Number of bytes of a response that may be sent now. */
export interface Chunk {
  readonly id: number;
  readonly bytes: number;
}

export interface LinkPacer {
  readonly commands: {
    /** Counts bytes that are sent without pacing. */
    recordUnpaced(bytes: number, now: number): void;
    /** Sets the pending bytes of a response, which keeps its turn; 0 removes it. */
    setPending(id: number, bytes: number, now: number): void;
    /** Removes and returns the next chunk that may be sent now, if any. */
    takeNext(now: number): Chunk | undefined;
  };
  readonly queries: {
    /** Time until the next chunk may be sent, in ms; undefined if no response is pending. */
    untilNextMs(now: number): number | undefined;
  };
}

/** Creates the pacer of a link with a rate in Mbit/s. */
export const createLinkPacer = (linkMbps: number): LinkPacer => {
  const bytesPerMs = responseShare * linkMbps * bytesPerMsOfMbps;
  const chunkBytes = Math.max(1, Math.floor(chunkMs * linkMbps * bytesPerMsOfMbps));
  /** Pending bytes by response, in the order of their turns. */
  const pending = new Map<number, number>();
  /** Link time owed for the bytes sent, in ms; negative if there is a credit for idle time. */
  let debtMs = 0;
  let debtUpdatedAt = 0;
  /** Time of the last chunk, or time since which responses have been pending. */
  let waitingSince = 0;

  const updateDebt = (now: number) => {
    const creditMs = pending.size > 0 ? pendingCreditMs : idleCreditMs;
    debtMs = Math.max(-creditMs, debtMs - Math.max(0, now - debtUpdatedAt));
    debtUpdatedAt = now;
  };

  const recordUnpaced = (bytes: number, now: number) => {
    updateDebt(now);
    debtMs = Math.min(maxDebtMs, debtMs + bytes / bytesPerMs);
  };

  const setPending = (id: number, bytes: number, now: number) => {
    updateDebt(now);
    if (pending.size === 0) {
      waitingSince = now;
    }
    if (bytes > 0) {
      pending.set(id, bytes);
    } else {
      pending.delete(id);
    }
  };

  const untilNextMs = (now: number): number | undefined => {
    updateDebt(now);
    return pending.size === 0
      ? undefined
      : Math.max(0, Math.min(debtMs, waitingSince + maxChunkIntervalMs - now));
  };

  const takeNext = (now: number): Chunk | undefined => {
    const [next] = pending;
    if (!next || untilNextMs(now) !== 0) {
      return undefined;
    }
    const [id, pendingBytes] = next;
    const bytes = Math.min(pendingBytes, chunkBytes);
    pending.delete(id);
    if (pendingBytes > bytes) {
      // Moves the response to the end of the Map, so that the others have their turns first.
      pending.set(id, pendingBytes - bytes);
    }
    debtMs = Math.min(maxDebtMs, debtMs + bytes / bytesPerMs);
    waitingSince = now;
    return { id, bytes };
  };

  return {
    commands: { recordUnpaced, setPending, takeNext },
    queries: { untilNextMs },
  };
};
