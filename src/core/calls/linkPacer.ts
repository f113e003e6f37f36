/**
 * Pacing of large responses on the network link of a machine. A link transmits in FIFO order, so a
 * few large responses at a time would delay small ones and new connections. Small responses are
 * sent immediately and only counted. Large ones are sent in chunks at the rate that the small ones
 * leave: first those that can still meet their target, the earliest target first. With equal shares
 * for all, a link that is asked for more than it carries makes every response late. The others get
 * the time that is left, and one chunk in ten at least: first those that can still meet their
 * deadline, the earliest deadline first, then the rest round-robin.
 */

/**
 * Responses up to this size in bytes are sent without pacing, and so is the start of a response of
 * unknown size.
 */
export const smallResponseBytes = 16 * 1_024;

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
/** Number of chunks of which one is for responses that cannot meet their target. */
const chunksPerOverdueChunk = 10;

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

/** Place of a response in the order of the link. */
export interface LinkPlace {
  /** Whether the response can still meet its target, or only its deadline. */
  readonly group: 'on_target' | 'late';
  /** That target or deadline; the earliest of a group is sent first. */
  readonly endsAt: number;
}

/** Returns undefined for a response that can meet neither its target nor its deadline. */
export type LinkPlaceLookup = (id: number, now: number) => LinkPlace | undefined;

/** Rate of responses on a link, in bytes per ms. */
export const responseBytesPerMs = (linkMbps: number): number =>
  responseShare * linkMbps * bytesPerMsOfMbps;

/** Creates the pacer of a link with a rate in Mbit/s. */
export const createLinkPacer = (
  linkMbps: number,
  placeOf: LinkPlaceLookup = () => undefined,
): LinkPacer => {
  const bytesPerMs = responseBytesPerMs(linkMbps);
  const chunkBytes = Math.max(1, Math.floor(chunkMs * linkMbps * bytesPerMsOfMbps));
  /** Pending bytes by response, in the order of their turns. */
  const pending = new Map<number, number>();
  /** Link time owed for the bytes sent, in ms; negative if there is a credit for idle time. */
  let debtMs = 0;
  let debtUpdatedAt = 0;
  /** Time of the last chunk, or time since which responses have been pending. */
  let waitingSince = 0;
  /** Chunks sent since the last one of a response that cannot meet its target. */
  let chunksSinceOverdue = 0;

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

  /** Pending response of the group that ends first; undefined if the group has none. */
  const findEarliest = (group: LinkPlace['group'], now: number): number | undefined => {
    let earliestAt = Infinity;
    let earliest: number | undefined;
    pending.forEach((_bytes, id) => {
      const place = placeOf(id, now);
      if (place?.group === group && (earliest === undefined || place.endsAt < earliestAt)) {
        earliest = id;
        earliestAt = place.endsAt;
      }
    });
    return earliest;
  };

  /** A late response with the earliest deadline, or one that misses its deadline as well. */
  const findOverdue = (now: number): number | undefined =>
    findEarliest('late', now) ?? [...pending.keys()].find((id) => placeOf(id, now) === undefined);

  const findNext = (now: number): number | undefined => {
    const isOverdueTurn = chunksSinceOverdue + 1 >= chunksPerOverdueChunk;
    const overdue = isOverdueTurn ? findOverdue(now) : undefined;
    const onTarget = overdue === undefined ? findEarliest('on_target', now) : undefined;
    chunksSinceOverdue = onTarget === undefined ? 0 : chunksSinceOverdue + 1;
    return overdue ?? onTarget ?? findOverdue(now);
  };

  const takeNext = (now: number): Chunk | undefined => {
    const id = untilNextMs(now) === 0 ? findNext(now) : undefined;
    if (id === undefined) {
      return undefined;
    }
    const pendingBytes = pending.get(id)!;
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
