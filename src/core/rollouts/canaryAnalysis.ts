/**
 * Canary analysis: compares the answers of the target version with those of the other versions of
 * its service, class by class. Recent windows show a version that turned bad, the whole time shows
 * a low rate of failures. After the shift the other versions get no calls, so their numbers from
 * before serve as the reference.
 */
import type { VersionOutcomes } from '../../types/rollouts.js';

/** Outcomes of the calls of a service since an arbitrary start; counts only grow. */
export interface OutcomeSample {
  /** Time since the start of the rollout, in ms. */
  readonly atMs: number;
  readonly outcomes: readonly VersionOutcomes[];
}

export type Verdict =
  | { readonly verdict: 'good' }
  | { readonly verdict: 'unknown' }
  | { readonly verdict: 'bad'; readonly className: string; readonly cause: 'failures' | 'slow' };

interface Tally {
  readonly calls: number;
  readonly failures: number;
  readonly totalMs: number;
}

interface ClassTallies {
  readonly target: Tally;
  readonly others: Tally;
}

/** Lengths of the windows, in ms. The last one covers the whole time. */
const windowsMs = [1_000, 2_500, 5_000, Infinity] as const;

/** Longer than the longest finite window by the largest distance of two samples, in ms. */
const sampleRetentionMs = 6_000;

/** New endpoints are slow for 3 s; calls that started then end later. */
export const slowStartMs = 4_000;

const minFailures = 3;
const minCalls = 4;
/** What a good version may differ by from the reference. */
interface Tolerance {
  /** A failure rate up to this factor and offset above that of the reference is no sign. */
  readonly rateFactor: number;
  readonly rateOffset: number;
  /** Factor on the limits on response times. */
  readonly slowFactor: number;
}

/** For answers of the same time. */
const toleranceNow: Tolerance = { rateFactor: 1.15, rateOffset: 0.03, slowFactor: 1 };
/** For answers of earlier times: the load may have changed, and the shift itself moves it. */
const toleranceEarlier: Tolerance = { rateFactor: 1.2, rateOffset: 0.06, slowFactor: 1.25 };

const maxTolerated = 0.97;
/** Probability of so many failures at the tolerated rate, below which a version is bad. */
const significance = 1e-4;
/** Calls in a window from which its own numbers of the other versions are the reference. */
const minReferenceCalls = 20;

/**
 * Response times that are this many times those of the others are bad, given the number of answers.
 * The fewer the answers, the more one slow machine weighs: 15% of the endpoints of a deployment are
 * 2.5 times slower for some hundred ms at a time.
 */
const slowLimits: readonly { readonly answers: number; readonly ratio: number }[] = [
  { answers: 50, ratio: 1.8 },
  { answers: 25, ratio: 2.2 },
  { answers: 10, ratio: 3 },
  { answers: 5, ratio: 4.5 },
];
/** Smaller differences come from the distance between machines, in ms. */
const minSlowerMs = 20;

/** Evidence that an advance needs, over the whole time. */
const minTargetCalls = 8;
/** Of these, calls after the slow start of new endpoints. */
const minWarmCalls = 5;
const minOtherCalls = 40;
/** A class with this part of the calls has to be represented by calls of its own. */
const largeClassPart = 0.2;
const minLargeClassCalls = 3;

const isWarm = ({ atMs }: OutcomeSample): boolean => atMs >= slowStartMs;

const noCalls: Tally = { calls: 0, failures: 0, totalMs: 0 };

const add = (a: Tally, b: Tally): Tally => ({
  calls: a.calls + b.calls,
  failures: a.failures + b.failures,
  totalMs: a.totalMs + b.totalMs,
});

/** A node that restarts can lower a sum of the tree; such a difference counts as nothing. */
const subtract = (a: Tally, b: Tally): Tally => ({
  calls: Math.max(0, a.calls - b.calls),
  failures: Math.max(0, a.failures - b.failures),
  totalMs: Math.max(0, a.totalMs - b.totalMs),
});

const answersOf = ({ calls, failures }: Tally): number => Math.max(0, calls - failures);

const meanMs = (tally: Tally): number => tally.totalMs / Math.max(1, answersOf(tally));

const tallyByClass = (
  { outcomes }: OutcomeSample,
  targetVersion: string,
): Map<string, ClassTallies> => {
  const tallies = new Map<string, ClassTallies>();
  outcomes.forEach((outcome) => {
    const { target, others } = tallies.get(outcome.className) ?? {
      target: noCalls,
      others: noCalls,
    };
    tallies.set(
      outcome.className,
      outcome.version === targetVersion
        ? { target: add(target, outcome), others }
        : { target, others: add(others, outcome) },
    );
  });
  return tallies;
};

const difference = (
  from: OutcomeSample,
  to: OutcomeSample,
  targetVersion: string,
): Map<string, ClassTallies> => {
  const base = tallyByClass(from, targetVersion);
  return new Map(
    [...tallyByClass(to, targetVersion)].map(([className, { target, others }]) => {
      const before = base.get(className);
      const since = {
        target: subtract(target, before?.target ?? noCalls),
        others: subtract(others, before?.others ?? noCalls),
      };
      return [className, since];
    }),
  );
};

/** Probability of at least `failures` among `calls` that fail independently with `rate`. */
export const binomialTail = (failures: number, calls: number, rate: number): number => {
  if (failures <= 0) {
    return 1;
  }
  // Sums the shorter side of the distribution from logarithms, which do not underflow.
  const odds = Math.log(rate) - Math.log1p(-rate);
  let logTerm = calls * Math.log1p(-rate);
  let below = 0;
  for (let count = 0; count < failures; count += 1) {
    below += Math.exp(logTerm);
    logTerm += Math.log((calls - count) / (count + 1)) + odds;
  }
  return Math.max(0, 1 - below);
};

/** True if the target's answers differ from those of the reference by more than is tolerated. */
type Test = (target: Tally, reference: Tally, tolerance: Tolerance) => boolean;

const failsMore: Test = (target, reference, { rateFactor, rateOffset }) => {
  if (target.failures < minFailures || target.calls < minCalls) {
    return false;
  }
  const rate = reference.failures / Math.max(1, reference.calls);
  const tolerated = Math.min(maxTolerated, rateFactor * rate + rateOffset);
  return (
    target.failures > tolerated * target.calls &&
    binomialTail(target.failures, target.calls, tolerated) < significance
  );
};

const isSlower: Test = (target, reference, { slowFactor }) => {
  const answers = answersOf(target);
  const limit = slowLimits.find((each) => answers >= each.answers);
  if (!limit || answersOf(reference) < minReferenceCalls) {
    return false;
  }
  const usualMs = meanMs(reference);
  return meanMs(target) > Math.max(slowFactor * limit.ratio * usualMs, usualMs + minSlowerMs);
};

/** Appends a sample. Of the older ones, keeps those that the analysis compares with. */
export const appendSample = (
  samples: readonly OutcomeSample[],
  sample: OutcomeSample,
): readonly OutcomeSample[] => {
  const firstWarm = samples.find(isWarm);
  const kept = samples.filter(
    (each, index) =>
      index === 0 || each === firstWarm || sample.atMs - each.atMs <= sampleRetentionMs,
  );
  return [...kept, sample];
};

/** The latest sample that is at least as old as the window, or the first one. */
const windowStart = (samples: readonly OutcomeSample[], windowMs: number): OutcomeSample => {
  const endMs = samples.at(-1)!.atMs;
  return samples.findLast(({ atMs }) => endMs - atMs >= windowMs) ?? samples[0]!;
};

interface Comparison {
  readonly samples: readonly OutcomeSample[];
  readonly targetVersion: string;
  /** Numbers of the whole time, by class. */
  readonly whole: ReadonlyMap<string, ClassTallies>;
}

/** Returns the first class that fails the test in some window. */
const findClass = (
  { samples, targetVersion, whole }: Comparison,
  test: Test,
): string | undefined => {
  const last = samples.at(-1);
  const starts = new Set(last ? windowsMs.map((windowMs) => windowStart(samples, windowMs)) : []);
  for (const start of starts) {
    for (const [className, { target, others }] of difference(start, last!, targetVersion)) {
      const earlier = whole.get(className)?.others ?? noCalls;
      const isBad =
        others.calls >= minReferenceCalls
          ? test(target, others, toleranceNow)
          : test(target, earlier, toleranceEarlier);
      if (isBad) {
        return className;
      }
    }
  }
  return undefined;
};

const hasEvidence = ({ samples, targetVersion, whole }: Comparison): boolean => {
  const tallies = [...whole.values()];
  const warm = samples.find(isWarm);
  const warmTallies = warm ? [...difference(warm, samples.at(-1)!, targetVersion).values()] : [];
  const warmCalls = warmTallies.reduce((sum, { target }) => sum + target.calls, 0);
  const targetCalls = tallies.reduce((sum, { target }) => sum + target.calls, 0);
  const otherCalls = tallies.reduce((sum, { others }) => sum + others.calls, 0);
  const isRepresented = ({ target, others }: ClassTallies) =>
    others.calls < largeClassPart * otherCalls || target.calls >= minLargeClassCalls;
  return (
    targetCalls >= minTargetCalls &&
    warmCalls >= minWarmCalls &&
    otherCalls >= minOtherCalls &&
    tallies.every(isRepresented)
  );
};

/**
 * Judges the target version from the samples of its service, in the order of time. The first sample
 * is the base of all differences.
 */
export const analyseCanary = (
  samples: readonly OutcomeSample[],
  targetVersion: string,
): Verdict => {
  const [first] = samples;
  if (!first || samples.length < 2) {
    return { verdict: 'unknown' };
  }
  const whole = difference(first, samples.at(-1)!, targetVersion);
  const failing = findClass({ samples, targetVersion, whole }, failsMore);
  if (failing !== undefined) {
    return { verdict: 'bad', className: failing, cause: 'failures' };
  }
  const warm = samples.filter(isWarm);
  const slow = findClass({ samples: warm, targetVersion, whole }, isSlower);
  if (slow !== undefined) {
    return { verdict: 'bad', className: slow, cause: 'slow' };
  }
  return { verdict: hasEvidence({ samples, targetVersion, whole }) ? 'good' : 'unknown' };
};

/**
 * Mean response time of the slowest class at the other versions, in ms. Undefined if too few calls
 * were reported.
 */
export const slowestClassMs = (
  samples: readonly OutcomeSample[],
  targetVersion: string,
): number | undefined => {
  const [first] = samples;
  const last = samples.at(-1);
  if (!first || !last) {
    return undefined;
  }
  const means = [...difference(first, last, targetVersion).values()]
    .filter(({ others }) => answersOf(others) >= minReferenceCalls)
    .map(({ others }) => meanMs(others));
  return means.length === 0 ? undefined : Math.max(...means);
};
