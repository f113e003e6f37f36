/**
 * Rank of a call among the others of its class. It follows from the id of the call alone, so that
 * every node gives it the same rank, and a call that an upstream makes has that of its parent. When
 * a service is short of capacity, all of its gates then serve the calls of the same parents, and the
 * gates of the parents serve those parents first. Ranks that were drawn at each gate would leave most
 * parents with a part of their calls, which is of no use to their callers.
 */
import { createHash } from 'node:crypto';

const rankBytes = 4;
const ranks = 256 ** rankBytes;

/** Rank from 0 to 1 of the call with this request id. */
export const callRank = (requestId: string): number =>
  createHash('sha1').update(requestId).digest().readUIntBE(0, rankBytes) / ranks;
