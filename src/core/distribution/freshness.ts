/**
 * Freshness of the state that a process holds: the time since a quorum last confirmed the leader,
 * added up along the path from the control instance.
 */

/** A proxy is detached if its last confirmation is older than this. */
export const confirmationLeaseMs = 10_000;

/**
 * A class that a node does not know is only known to be missing if the last confirmation is not
 * older. A change has to be in force within 2 s; the rest is for the heartbeat's way.
 */
export const maxKnownAgeMs = 1_500;

/** Age reported by a process that has never received a confirmation. */
export const neverConfirmedMs = Number.MAX_SAFE_INTEGER;

export interface Freshness {
  readonly commands: {
    /** Records a confirmation that was `ageMs` old when it arrived at `now`. */
    confirm(ageMs: number, now: number): void;
  };
  readonly queries: {
    ageMs(now: number): number;
    isDetached(now: number): boolean;
  };
}

export const createFreshness = (): Freshness => {
  let confirmedAt = Number.NEGATIVE_INFINITY;

  const ageMs = (now: number): number =>
    Math.min(neverConfirmedMs, Math.max(0, Math.round(now - confirmedAt)));

  return {
    commands: {
      // Confirmations can arrive out of order over several paths; the most recent one counts.
      confirm: (age, now) => {
        confirmedAt = Math.max(confirmedAt, now - age);
      },
    },
    queries: {
      ageMs,
      isDetached: (now) => ageMs(now) > confirmationLeaseMs,
    },
  };
};
