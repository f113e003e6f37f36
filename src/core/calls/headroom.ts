/**
 * Slots that a class has to leave free for more important classes. Long-running calls do not free
 * their slots in time for calls with a short wait limit, so they must not occupy all of them.
 */

/** Statistics of a class at one upstream. */
export interface ClassUsage {
  readonly weight: number;
  readonly inFlight: number;
  /** Average number of calls in flight or queued, sampled at the arrival of each call. */
  readonly averageDemand: number;
  /** Average slot time of a call in ms; undefined before the first call has ended. */
  readonly averageSlotMs: number | undefined;
  /** Wait limit of its last call in ms. */
  readonly maxWaitMs: number;
  /** Arrival time of its last call. */
  readonly lastCallAt: number;
}

/** No slots are reserved for a class without calls for this time, in ms. */
const activeMs = 5_000;
/**
 * Slots are reserved if a slot is expected to become free later than after this fraction of the
 * wait limit of the more important class.
 */
const maxWaitShare = 0.25;
/**
 * Standard deviations above the average demand that are provided for. Calls arrive independently,
 * so higher peaks are rare.
 */
const peakDeviations = 2;

const isActive = ({ lastCallAt }: ClassUsage, now: number): boolean => now - lastCallAt < activeMs;

/** Free slots that the class needs in addition to those in use, up to its share. */
const missingSlots = (usage: ClassUsage, totalWeight: number, limit: number): number => {
  const shareSlots = Math.floor((limit * usage.weight) / totalWeight);
  const { averageDemand } = usage;
  const peak = averageDemand + peakDeviations * Math.sqrt(averageDemand);
  const needed = Math.min(shareSlots, Math.ceil(peak));
  return Math.max(0, needed - usage.inFlight);
};

/** Slots that a call of `usage` has to leave free; 0 if its class has no call in flight. */
export const headroomFor = (
  usage: ClassUsage,
  classes: readonly ClassUsage[],
  limit: number,
  now: number,
): number => {
  const { inFlight, averageSlotMs = 0, weight } = usage;
  if (inFlight === 0) {
    return 0;
  }
  const slotIntervalMs = averageSlotMs / Math.max(1, limit);
  const protectedClasses = classes.filter(
    (other) =>
      other.weight > weight &&
      isActive(other, now) &&
      slotIntervalMs > maxWaitShare * other.maxWaitMs,
  );
  if (protectedClasses.length === 0) {
    return 0;
  }
  const active = classes.filter((other) => other === usage || isActive(other, now));
  const totalWeight = active.reduce((sum, other) => sum + other.weight, 0);
  return protectedClasses.reduce((sum, other) => sum + missingSlots(other, totalWeight, limit), 0);
};
