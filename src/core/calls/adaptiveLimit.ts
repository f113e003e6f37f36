/**
 * Limit of calls in flight at one upstream. It starts at the reported slots, never exceeds them,
 * and shrinks when they turn out to be wrong: the upstream refuses calls below the limit, or calls
 * take several times as long when all slots are used. A shrink that does not shorten the calls is
 * taken back, since then the work itself has become longer.
 */

export interface AdaptiveLimit {
  readonly commands: {
    /** Counts an answered call. `inFlight` includes the call itself. */
    record(call: { className: string; latencyMs: number; inFlight: number }, now: number): void;
    /** Notes that the upstream refused an admitted call as if for lack of a slot. */
    recordOverload(inFlight: number, now: number): void;
    /** Takes over the reported slots. */
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
/** Latency over its base at which the limit shrinks. Windows at constant load stay below 1.5. */
const shrinkAbove = 2;
const growBelow = 1.5;
const growShare = 0.1;
const shrinkTarget = 1.3;
const maxShrink = 0.5;
/** A shrink has to bring latency below this part of the one before, or it is taken back. */
const shrinkHelped = 0.9;
const overloadShrink = 0.9;
const overloadPauseMs = 100;
const minGrowthHoldMs = 2_000;
const maxGrowthHoldMs = 5_000;
/** An upstream that answers nothing at all is failing: fewer calls at a time would not help. */
const answeringMs = 1_000;

interface Trial {
  readonly limitBefore: number;
  readonly ratioBefore: number;
  /** Windows to pass over, since calls from before the shrink end in them. */
  settling: number;
}

/** Creates the limit of one upstream. */
export const createAdaptiveLimit = (reportedSlots: number): AdaptiveLimit => {
  const baseMs = new Map<string, number>();
  let sums = new Map<string, ClassSums>();
  let slots = reportedSlots;
  let limit = reportedSlots;
  let windowStart: number | undefined;
  let windowCalls = 0;
  let isLimitReached = false;
  let trial: Trial | undefined;
  let growthHoldUntil = 0;
  let growthHoldMs = minGrowthHoldMs;
  let overloadedAt = Number.NEGATIVE_INFINITY;
  let answeredAt = Number.NEGATIVE_INFINITY;

  const means = (): { className: string; count: number; meanMs: number }[] =>
    [...sums]
      .filter(([, { count }]) => count >= minClassCalls)
      .map(([className, { count, sumMs }]) => ({ className, count, meanMs: sumMs / count }));

  /** Mean latency over the lowest mean so far, over all classes; 1 if nothing is known. */
  const latencyRatio = (): number => {
    let calls = 0;
    let total = 0;
    means().forEach(({ className, count, meanMs }) => {
      const base = Math.min(baseMs.get(className) ?? meanMs, meanMs);
      baseMs.set(className, base);
      calls += count;
      total += (count * meanMs) / Math.max(base, 0.001);
    });
    return calls === 0 ? 1 : total / calls;
  };

  const acceptLatencies = (): void =>
    means().forEach(({ className, meanMs }) => baseMs.set(className, meanMs));

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

  const judgeTrial = (current: Trial, ratio: number): void => {
    trial = undefined;
    if (ratio > shrinkHelped * current.ratioBefore) {
      limit = Math.min(slots, current.limitBefore);
      acceptLatencies();
    }
  };

  const closeWindow = (now: number): void => {
    const ratio = latencyRatio();
    if (trial && trial.settling > 0) {
      trial.settling -= 1;
    } else if (trial) {
      judgeTrial(trial, ratio);
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
    answeredAt = now;
    const known = sums.get(className) ?? { count: 0, sumMs: 0 };
    sums.set(className, { count: known.count + 1, sumMs: known.sumMs + latencyMs });
    windowCalls += 1;
    isLimitReached ||= inFlight >= limit;
    if (windowCalls >= minWindowCalls && now - windowStart >= minWindowMs) {
      closeWindow(now);
    }
  };

  const recordOverload = (inFlight: number, now: number): void => {
    const isAnswering = now - answeredAt < answeringMs;
    const isNearLimit = inFlight > limit / 2;
    if (!isAnswering || !isNearLimit || now - overloadedAt < overloadPauseMs) {
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
