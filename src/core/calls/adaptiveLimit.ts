/**
 * Concurrency limit for one upstream. It starts at the number of slots that the upstream reported
 * and never exceeds it. It shrinks when that number proves too high: the upstream refuses calls
 * below the limit, or latency rises to a multiple of its baseline while all slots are in use. A
 * shrink that does not lower the latency is undone, because then the calls themselves have become
 * more expensive.
 */

export interface AdaptiveLimit {
  readonly commands: {
    /** Records a call that got a response. `inFlight` includes the call itself. */
    record(call: { className: string; latencyMs: number; inFlight: number }, now: number): void;
    /** Records that the upstream refused an admitted call, apparently for lack of a free slot. */
    recordOverload(inFlight: number, now: number): void;
    /** Sets the number of slots that the upstream reports; a new number resets the limit to it. */
    setSlots(slots: number): void;
  };
  readonly queries: { limit(): number };
}

interface ClassSums {
  count: number;
  sumMs: number;
}

const minWindowMs = 200;
/** The mean of 50 exponentially distributed latencies is within 28% in 95 of 100 windows. */
const minWindowCalls = 50;
const minClassCalls = 10;
/**
 * Ratio of latency to its baseline above which the limit shrinks. Windows at constant load stay
 * below 1.5.
 */
const shrinkAbove = 2;
const growBelow = 1.5;
const growShare = 0.1;
const shrinkTarget = 1.3;
const maxShrink = 0.5;
/** A shrink is undone unless the latency ratio falls to this fraction of its former value. */
const maxRatioAfterShrink = 0.9;
const overloadShrink = 0.9;
const overloadIntervalMs = 100;
const minGrowthHoldMs = 2_000;
const maxGrowthHoldMs = 5_000;
/**
 * Refusals shrink the limit only if the upstream has responded within this time, in ms. One that
 * does not respond at all is failing, and a lower concurrency would not help.
 */
const responsiveMs = 1_000;

interface ShrinkTrial {
  readonly limitBefore: number;
  readonly ratioBefore: number;
  /** Windows to skip, because calls that started before the shrink end in them. */
  settling: number;
}

/** Creates the limit of one upstream. */
export const createAdaptiveLimit = (reportedSlots: number): AdaptiveLimit => {
  const baselineMs = new Map<string, number>();
  let sums = new Map<string, ClassSums>();
  let slots = reportedSlots;
  let limit = reportedSlots;
  let windowStart: number | undefined;
  let windowCalls = 0;
  let isLimitReached = false;
  let trial: ShrinkTrial | undefined;
  let growthHoldUntil = 0;
  let growthHoldMs = minGrowthHoldMs;
  let overloadedAt = Number.NEGATIVE_INFINITY;
  let respondedAt = Number.NEGATIVE_INFINITY;

  const classMeans = (): { className: string; count: number; meanMs: number }[] =>
    [...sums]
      .filter(([, { count }]) => count >= minClassCalls)
      .map(([className, { count, sumMs }]) => ({ className, count, meanMs: sumMs / count }));

  /** Mean latency relative to the lowest mean so far, over all classes; 1 without any samples. */
  const latencyRatio = (): number => {
    let calls = 0;
    let total = 0;
    classMeans().forEach(({ className, count, meanMs }) => {
      const baseline = Math.min(baselineMs.get(className) ?? meanMs, meanMs);
      baselineMs.set(className, baseline);
      calls += count;
      total += (count * meanMs) / Math.max(baseline, 0.001);
    });
    return calls === 0 ? 1 : total / calls;
  };

  const resetBaselines = (): void =>
    classMeans().forEach(({ className, meanMs }) => baselineMs.set(className, meanMs));

  const shrink = (ratio: number): void => {
    const factor = Math.max(maxShrink, shrinkTarget / ratio);
    const next = Math.max(1, Math.floor(limit * factor));
    if (next < limit) {
      trial = { limitBefore: limit, ratioBefore: ratio, settling: 1 };
      limit = next;
    }
  };

  const grow = (): void => {
    limit = Math.min(slots, limit + Math.max(1, Math.floor(limit * growShare)));
    if (limit === slots) {
      growthHoldMs = minGrowthHoldMs;
    }
  };

  const evaluateTrial = (current: ShrinkTrial, ratio: number): void => {
    trial = undefined;
    if (ratio > maxRatioAfterShrink * current.ratioBefore) {
      limit = Math.min(slots, current.limitBefore);
      resetBaselines();
    }
  };

  const closeWindow = (now: number): void => {
    const ratio = latencyRatio();
    if (trial && trial.settling > 0) {
      trial.settling -= 1;
    } else if (trial) {
      evaluateTrial(trial, ratio);
    } else if (isLimitReached && ratio > shrinkAbove) {
      shrink(ratio);
    } else if (isLimitReached && ratio < growBelow && limit < slots && now >= growthHoldUntil) {
      grow();
    }
    sums = new Map();
    windowCalls = 0;
    windowStart = now;
    isLimitReached = false;
  };

  const record: AdaptiveLimit['commands']['record'] = ({ className, latencyMs, inFlight }, now) => {
    windowStart ??= now;
    respondedAt = now;
    const previous = sums.get(className) ?? { count: 0, sumMs: 0 };
    sums.set(className, { count: previous.count + 1, sumMs: previous.sumMs + latencyMs });
    windowCalls += 1;
    isLimitReached ||= inFlight >= limit;
    if (windowCalls >= minWindowCalls && now - windowStart >= minWindowMs) {
      closeWindow(now);
    }
  };

  const recordOverload = (inFlight: number, now: number): void => {
    const isResponsive = now - respondedAt < responsiveMs;
    const isNearLimit = inFlight > limit / 2;
    if (!isResponsive || !isNearLimit || now - overloadedAt < overloadIntervalMs) {
      return;
    }
    overloadedAt = now;
    limit = Math.max(Math.min(1, slots), Math.floor(limit * overloadShrink));
    growthHoldUntil = now + growthHoldMs;
    growthHoldMs = Math.min(maxGrowthHoldMs, growthHoldMs * 2);
  };

  const setSlots = (reported: number): void => {
    if (reported !== slots) {
      slots = reported;
      limit = reported;
      trial = undefined;
    }
  };

  return { commands: { record, recordOverload, setSlots }, queries: { limit: () => limit } };
};
