/**
 * Ends of upstreams in the state machine of the configuration group. A node beside an upstream has no
 * disk, so the end that it acknowledged is kept here for its next process.
 */

import type { EndMark } from '../../types/internal.js';

export interface UpstreamEnd extends EndMark {
  /** Node beside the upstream. */
  readonly node: string;
}

/** Number of ends that are kept: two for each endpoint of the design size of 1,000. */
export const maxUpstreamEnds = 2_048;

export const compareMarks = (a: Omit<EndMark, 'endpoint'>, b: Omit<EndMark, 'endpoint'>): number =>
  a.startedAt - b.startedAt || a.sequence - b.sequence;

/** Payload of an entry, beside the other kinds of entries of the group. */
export interface UpstreamEndEntry {
  readonly upstreamEnd: UpstreamEnd;
}

export const encodeUpstreamEnd = (upstreamEnd: UpstreamEnd): Uint8Array =>
  new TextEncoder().encode(JSON.stringify({ upstreamEnd } satisfies UpstreamEndEntry));

export interface UpstreamEnds {
  readonly commands: {
    add(end: UpstreamEnd): void;
    /** Replaces the ends by those of a snapshot; snapshots of earlier releases have none. */
    restore(ends: readonly UpstreamEnd[] | undefined): void;
  };
  readonly queries: {
    /** Ends of the upstreams beside the node, oldest first. */
    at(node: string): readonly UpstreamEnd[];
    all(): readonly UpstreamEnd[];
  };
}

const keyOf = ({ node, endpoint }: UpstreamEnd): string => JSON.stringify([node, endpoint]);

export const createUpstreamEnds = (): UpstreamEnds => {
  const ends = new Map<string, UpstreamEnd>();

  const add = (end: UpstreamEnd) => {
    const key = keyOf(end);
    const known = ends.get(key);
    // Deleted first, so that the key moves to the end of the order in which ends are dropped.
    ends.delete(key);
    ends.set(key, known && compareMarks(known, end) > 0 ? known : end);
    if (ends.size > maxUpstreamEnds) {
      ends.delete(ends.keys().next().value!);
    }
  };

  return {
    commands: {
      add,
      restore: (restored = []) => {
        ends.clear();
        restored.forEach(add);
      },
    },
    queries: {
      at: (node) => [...ends.values()].filter((end) => end.node === node),
      all: () => [...ends.values()],
    },
  };
};
