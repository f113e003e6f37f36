/**
 * Freshness of what a process holds: time since a quorum last confirmed the leader, added up along
 * the path from the control instance.
 */

/** Without a confirmation younger than this a proxy is detached. */
export const confirmationLeaseMs = 10_000;

/** Age of a process that never heard a confirmation. */
export const neverConfirmedMs = Number.MAX_SAFE_INTEGER;

export interface Freshness {
  readonly commands: {
    /** Records that something confirmed `ageMs` ago was heard now. */
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
      // Confirmations of several paths can cross; the youngest counts.
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
