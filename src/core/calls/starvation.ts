/**
 * Throttle of the calls that starve: the upstream works on them until a call that they make is
 * refused for want of capacity, and then fails them. Their slots are wasted, and so is what the
 * service that is short of capacity did for them before. Admitting only as many as that service can
 * feed serves more of them. Calls that the upstream fails for another reason do not count, since
 * admitting fewer of those would not make more of them succeed.
 *
 * The share of calls that is admitted is cut by the share that starved, and grows again while few do.
 */

export interface StarvationThrottle {
  readonly commands: {
    /** Takes a call in. Returns false if it should be refused, since it is likely to starve. */
    admit(className: string, now: number): boolean;
    /** Counts a call that ended at the upstream. */
    recordEnd(
      className: string,
      call: { startedAt: number; isStarved: boolean },
      now: number,
    ): void;
  };
  readonly queries: {
    /** Share of the calls of a class that is admitted, from 0 to 1. */
    admittedShare(className: string): number;
  };
}

interface ClassThrottle {
  share: number;
  /** Calls that were admitted before the last change of the share say nothing about it. */
  changedAt: number;
  ended: number;
  starved: number;
  /** Growth of the share at the next window without a cut. */
  growth: number;
  /** Part of a call that the share has saved up for the next admission. */
  credit: number;
  usedAt: number;
}

/**
 * Calls that a cut is judged by. With 10 of them, a class of which three in four starve was cut
 * every few seconds, by chance.
 */
const cutCalls = 30;
/** Time in ms after which the share grows, if a call that did not starve was seen. */
const growMs = 500;
/**
 * Share of starved calls from which the calls of the class are refused. Below it some succeed, and
 * which of them do is decided where their calls wait.
 */
const toleratedShare = 0.9;
/** A single window is a sample, so it cuts the share to this part at most. */
const deepestCut = 0.05;
/** Calls that are still admitted to notice that capacity is back. */
const minShare = 0.02;
/** First growth after a cut; it doubles with each window without starvation. */
const minGrowth = 0.05;
const maxGrowth = 1;
/** Classes without calls are forgotten after this time, in ms. */
const idleClassMs = 10_000;
const maxClasses = 4_096;

/** Creates the throttle of one upstream. */
export const createStarvationThrottle = (): StarvationThrottle => {
  const classes = new Map<string, ClassThrottle>();

  const forgetIdle = (now: number): void =>
    classes.forEach(({ usedAt }, className) => {
      if (now - usedAt > idleClassMs) {
        classes.delete(className);
      }
    });

  const create = (className: string, now: number): ClassThrottle => {
    forgetIdle(now);
    const throttle: ClassThrottle = {
      share: 1,
      changedAt: now,
      ended: 0,
      starved: 0,
      growth: minGrowth,
      credit: 0,
      usedAt: now,
    };
    if (classes.size < maxClasses) {
      classes.set(className, throttle);
    }
    return throttle;
  };

  const setShare = (throttle: ClassThrottle, share: number, now: number): void => {
    Object.assign(throttle, {
      share: Math.min(1, Math.max(minShare, share)),
      changedAt: now,
      ended: 0,
      starved: 0,
    });
  };

  const judge = (throttle: ClassThrottle, now: number): void => {
    const { ended, starved, share, growth, changedAt } = throttle;
    const starvedShare = starved / ended;
    if (starvedShare > toleratedShare) {
      if (ended >= cutCalls) {
        throttle.growth = minGrowth;
        setShare(throttle, share * Math.max(deepestCut, 1 - starvedShare), now);
      }
    } else if (now - changedAt >= growMs) {
      throttle.growth = Math.min(maxGrowth, growth * 2);
      setShare(throttle, share * (1 + growth), now);
    }
  };

  const admit = (className: string, now: number): boolean => {
    const throttle = classes.get(className);
    if (!throttle) {
      return true;
    }
    throttle.usedAt = now;
    throttle.credit = Math.min(1, throttle.credit + throttle.share);
    if (throttle.credit < 1) {
      return false;
    }
    throttle.credit -= 1;
    return true;
  };

  const recordEnd: StarvationThrottle['commands']['recordEnd'] = (
    className,
    { startedAt, isStarved },
    now,
  ) => {
    // Classes whose calls never starve need no state.
    const known = classes.get(className);
    const throttle = known ?? (isStarved ? create(className, startedAt) : undefined);
    if (!throttle || startedAt < throttle.changedAt) {
      return;
    }
    throttle.usedAt = now;
    throttle.ended += 1;
    throttle.starved += Number(isStarved);
    judge(throttle, now);
    if (throttle.share === 1 && throttle.starved === 0 && throttle.ended === 0) {
      classes.delete(className);
    }
  };

  return {
    commands: { admit, recordEnd },
    queries: { admittedShare: (className) => classes.get(className)?.share ?? 1 },
  };
};
