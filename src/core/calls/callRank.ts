/**
 * Rank of a call among the others of its class. The rank is a hash of the request id, so that every
 * node computes the same one, and a nested call that an upstream makes has the rank of its parent.
 * When a service is short of capacity, the admission controls of all its endpoints then favour the
 * nested calls of the same parents, and those in front of the parents favour the same parents. With
 * independent ranks at each endpoint, most parents would get only some of their nested calls
 * through, which is of no use to their callers.
 */
import { createHash } from 'node:crypto';

const rankBytes = 4;
const ranks = 256 ** rankBytes;

/** Returns the rank, in [0, 1), of the call with this request id. */
export const callRank = (requestId: string): number =>
  createHash('sha1').update(requestId).digest().readUIntBE(0, rankBytes) / ranks;
