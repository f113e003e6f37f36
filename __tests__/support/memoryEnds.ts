/**
 * Store of the ends of upstreams in memory, for nodes that are tested without control instances.
 */
import type { EndMark, UpstreamEndStore } from '../../src/types/internal.js';
import { Failure } from '../../src/utils/failure.js';

export interface MemoryEnds extends UpstreamEndStore {
  readonly marks: EndMark[];
  /** Requests fail while it is false. */
  setReachable(isReachable: boolean): void;
}

export const createMemoryEnds = (): MemoryEnds => {
  const marks: EndMark[] = [];
  let reachable = true;
  const checkReachable = () => {
    if (!reachable) {
      throw new Failure('no_quorum', 'the store is not reachable');
    }
  };
  return {
    marks,
    setReachable: (isReachable) => {
      reachable = isReachable;
    },
    record: async (mark) => {
      checkReachable();
      marks.push(mark);
    },
    list: async () => {
      checkReachable();
      return [...marks];
    },
  };
};
