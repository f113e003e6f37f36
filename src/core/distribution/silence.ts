/**
 * Decides whether a peer is silent. For the first message on a new connection, only time in which
 * this process waited for events counts: one that is short of processor time reads late what its
 * peer sent in time, and a node that leaves its parent for that starts over with the most expensive
 * part, a new connection. Before the connection is established and after the first message, all
 * time counts: a node has to leave a parent that is off or frozen in time for the next change,
 * however busy the node is.
 */

/**
 * A peer is silent after this multiple of the limit even if the process was always busy. With twice
 * the limit, a busy node was back 1 s late after a short loss of all control instances.
 */
const maxFactor = 1.5;

export interface SilenceOptions {
  readonly now: () => number;
  /** Time since the start of the process in which its event loop waited for events, in ms. */
  readonly idleMs: () => number;
}

export interface Silence {
  readonly commands: {
    /** Records that the peer was heard. */
    reset(): void;
  };
  readonly queries: {
    /** True if the peer was not heard for this time, whatever this process did meanwhile. */
    lasts(limitMs: number): boolean;
    /** True if this process waited for the peer for this time. */
    exceeds(limitMs: number): boolean;
  };
}

/** Creates a measurement of silence that starts now. */
export const createSilence = ({ now, idleMs }: SilenceOptions): Silence => {
  let heardAt = now();
  let idleWhenHeardMs = idleMs();

  return {
    commands: {
      reset: () => {
        heardAt = now();
        idleWhenHeardMs = idleMs();
      },
    },
    queries: {
      lasts: (limitMs) => now() - heardAt > limitMs,
      exceeds: (limitMs) => {
        const elapsedMs = now() - heardAt;
        const waitedMs = Math.min(elapsedMs, idleMs() - idleWhenHeardMs);
        return waitedMs > limitMs || elapsedMs > maxFactor * limitMs;
      },
    },
  };
};
