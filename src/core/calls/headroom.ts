/**
 * Slots that a class leaves free for more important ones. Calls that run for long do not give their
 * slots back in time for a call that must be answered fast, so they must not take all of them.
 */

/** What is known about a class at one upstream. */
export interface ClassUsage {
  readonly weight: number;
  readonly inFlight: number;
  /** Calls in flight or waiting on average, as seen by its own calls. */
  readonly usualInFlight: number;
  /** Usual slot time of a call in ms. */
  readonly usualMs: number | undefined;
  /** Longest wait of its last call in ms. */
  readonly maxWaitMs: number;
  /** Time of its last call. */
  readonly usedAt: number;
}

/** A class without calls for this time leaves its slots to the others, in ms. */
const activeMs = 5_000;
/** A slot has to come free within this part of the wait limit of the more important class. */
const waitShare = 0.25;
/** Calls arrive independently, so that two standard deviations above the mean are rare. */
const peakDeviations = 2;

const isActive = ({ usedAt }: ClassUsage, now: number): boolean => now - usedAt < activeMs;

/** Slots that the class needs free beyond those that it uses, up to its share. */
const missingSlots = (use: ClassUsage, totalWeight: number, limit: number): number => {
  const shareSlots = Math.floor((limit * use.weight) / totalWeight);
  const { usualInFlight } = use;
  const peak = usualInFlight + peakDeviations * Math.sqrt(usualInFlight);
  const needed = Math.min(shareSlots, Math.ceil(peak));
  return Math.max(0, needed - use.inFlight);
};

/** Slots that a call of `use` must leave free. A class without a call in flight leaves none. */
export const headroomFor = (
  use: ClassUsage,
  classes: readonly ClassUsage[],
  limit: number,
  now: number,
): number => {
  const { inFlight, usualMs = 0, weight } = use;
  if (inFlight === 0) {
    return 0;
  }
  const untilFreeMs = usualMs / Math.max(1, limit);
  const served = classes.filter(
    (other) =>
      other.weight > weight && isActive(other, now) && untilFreeMs > waitShare * other.maxWaitMs,
  );
  if (served.length === 0) {
    return 0;
  }
  const active = classes.filter((other) => other === use || isActive(other, now));
  const totalWeight = active.reduce((sum, other) => sum + other.weight, 0);
  return served.reduce((sum, other) => sum + missingSlots(other, totalWeight, limit), 0);
};
