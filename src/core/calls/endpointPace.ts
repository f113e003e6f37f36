/**
 * Ramp-up of an endpoint that has just started or recovered: the share of its usual calls that it
 * gets, as its answers allow. Each function takes a state and returns the next one; there is no
 * clock in here.
 */

/** Why a ramp-up starts. */
export type RampReason = 'first_seen' | 'new_process' | 'ejection_ended';

/** Why a ramp-up ends. `time`: its limit in time passed before the answers were like the peers'. */
export type RampEnd = 'like_peers' | 'time';

export interface Ramp {
  readonly reason: RampReason;
  readonly startedAt: number;
  /** Share of the usual calls at `changedAt`; it rises evenly from then to 1 at `completesAt`. */
  readonly share: number;
  readonly changedAt: number;
  readonly completesAt: number;
  /** Only answers of calls that were sent after this time change the share. */
  readonly decidedAt: number;
  readonly end?: RampEnd;
}

/** What an answer, or the load reported with it, says about an endpoint. */
export type PaceEvidence = 'good' | 'shared_good' | 'slow' | 'slow_idle' | 'bad' | 'none';

/** Work time of a call, and calls per slot, as far as they are known. */
export interface PaceMeasure {
  readonly workMs: number | undefined;
  readonly callsPerSlot: number | undefined;
}

export interface Answer extends PaceMeasure {
  readonly outcome: 'ok' | 'failed' | 'refused';
  /** The reported work time was measured by calls of this ramp-up only, from all nodes. */
  readonly isShared: boolean;
  readonly sentAt: number;
}

/**
 * First share. Twice the usual share of calls arrives for a given share, since an idle endpoint wins
 * most comparisons of two: an endpoint that is twice as slow is used at about 80% with this share.
 */
export const initialShare = 0.2;
/** Lowest share after failures. It keeps some calls coming, without which nothing is learned. */
const minShare = 0.05;
/** Time in which the share rises to 1 without any answer, in ms. */
const riseMs = 10_000;
/** Multiple of the work time of the peers up to which an answer counts as good. */
const slowFactor = 1.4;
/** Calls per slot, compared with those of the peers, above which an endpoint has too many calls. */
const overloadFactor = 1.25;
/** Calls per slot, compared with those of the peers, below which a slow endpoint has room. */
const idleFactor = 0.7;
/** Growth of the share after a slow answer of an endpoint that has room, and its limit. */
const slowGrowth = 1.5;
const maxSlowShare = 0.4;
/** Calls per slot below which an endpoint never has too many. */
const fullCallsPerSlot = 1;
/** Part of a service's calls that the warm endpoints can take over from those that ramp up. */
const peerHeadroom = 0.15;

export const startRamp = (reason: RampReason, now: number): Ramp => ({
  reason,
  startedAt: now,
  share: initialShare,
  changedAt: now,
  completesAt: now + riseMs,
  decidedAt: now,
});

/** Share of an endpoint's usual calls while it ramps up; 1 once that has ended. */
export const rampShare = (ramp: Ramp, now: number): number => {
  const { share, changedAt, completesAt, end } = ramp;
  if (end || now >= completesAt) {
    return 1;
  }
  const progress = Math.max(0, now - changedAt) / (completesAt - changedAt);
  return share + (1 - share) * progress;
};

/**
 * Lowest share of the endpoints of a service that ramp up, so that their peers get no more calls
 * than they have room for. If all endpoints start at once, nobody can take over their calls.
 */
export const sharedFloor = (ramping: number, endpoints: number): number =>
  ramping === 0 ? 0 : Math.max(0, 1 - (peerHeadroom * endpoints) / ramping);

/** Compares an answer with those of the peers of the same service. */
export const judgeAnswer = (answer: Answer, peers: PaceMeasure): PaceEvidence => {
  const { outcome, workMs, callsPerSlot: reported, isShared } = answer;
  const peerCalls = peers.callsPerSlot ?? 0;
  const isOverloaded = (reported ?? 0) > Math.max(fullCallsPerSlot, overloadFactor * peerCalls);
  if (outcome === 'refused' && !isOverloaded && peerCalls >= fullCallsPerSlot) {
    // The whole service is full, so the refusal says nothing about this endpoint.
    return 'none';
  }
  if (outcome !== 'ok' || isOverloaded) {
    return 'bad';
  }
  if (workMs !== undefined && peers.workMs !== undefined && workMs > slowFactor * peers.workMs) {
    const isIdle = reported !== undefined && reported < idleFactor * peerCalls;
    return isIdle ? 'slow_idle' : 'slow';
  }
  return isShared && peers.workMs !== undefined ? 'shared_good' : 'good';
};

const grow = (ramp: Ramp, factor: number, now: number): Ramp => {
  const share = Math.min(1, factor * rampShare(ramp, now));
  return {
    ...ramp,
    share,
    changedAt: now,
    decidedAt: now,
    ...(share === 1 && { end: 'like_peers' }),
  };
};

const evidenceHandlers: Readonly<Record<PaceEvidence, (ramp: Ramp, now: number) => Ramp>> = {
  good: (ramp, now) => grow(ramp, 2, now),
  // The report averages calls of all nodes, so that it stands for more than one answer. A node that
  // sends an endpoint a call in two seconds gets no second answer in time.
  shared_good: (ramp, now) => grow(ramp, 4, now),
  // The limit in time stays: an endpoint that remains slow is left to the cost of a call.
  slow: (ramp, now) => ({ ...ramp, share: rampShare(ramp, now), changedAt: now }),
  slow_idle: (ramp, now) => ({
    ...ramp,
    share: Math.max(
      rampShare(ramp, now),
      Math.min(maxSlowShare, slowGrowth * rampShare(ramp, now)),
    ),
    changedAt: now,
    decidedAt: now,
  }),
  none: (ramp) => ramp,
  bad: (ramp, now) => ({
    ...ramp,
    share: Math.max(minShare, rampShare(ramp, now) / 2),
    changedAt: now,
    completesAt: now + riseMs,
    decidedAt: now,
  }),
};

/** Ends a ramp-up whose limit in time has passed. */
export const expireRamp = (ramp: Ramp, now: number): Ramp =>
  !ramp.end && now >= ramp.completesAt ? { ...ramp, end: 'time' } : ramp;

/**
 * Applies the answer to a call. Answers to calls that were sent before the last change do not count:
 * they would change the share several times for one cause.
 */
export const applyAnswer = (ramp: Ramp, answer: Answer, peers: PaceMeasure, now: number): Ramp => {
  const current = expireRamp(ramp, now);
  if (current.end || answer.sentAt < current.decidedAt) {
    return current;
  }
  return evidenceHandlers[judgeAnswer(answer, peers)](current, now);
};
