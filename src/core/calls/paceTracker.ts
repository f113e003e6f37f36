/**
 * Ramp-ups of the endpoints that one node knows: starts and ends them, and compares the answers of
 * an endpoint with those of its peers of the same service.
 */
import type { AttemptEnd, AttemptOutcome, EndpointStats } from './endpointTracker.js';
import {
  applyAnswer,
  expireRamp,
  rampShare,
  sharedFloor,
  startRamp,
  type Answer,
  type PaceMeasure,
  type Ramp,
  type RampEnd,
  type RampReason,
} from './endpointPace.js';

/** Pace of one endpoint. */
export interface EndpointPace {
  readonly ramp: Ramp;
  /** Lowest share, which follows from the number of endpoints of the service that ramp up. */
  readonly floor: number;
  /** Start of the process behind the endpoint, if it is known. */
  readonly incarnation: number | undefined;
}

export interface RampStatus {
  readonly endpointId: string;
  readonly service: string;
  readonly share: number;
  readonly reason: RampReason;
}

/** Start or end of a ramp-up. */
export interface RampEvent {
  readonly kind: 'started' | 'ended';
  readonly endpointId: string;
  readonly service: string;
  readonly reason: RampReason | RampEnd;
  readonly tookMs: number;
}

export interface PaceOptions {
  readonly onRamp?: (event: RampEvent) => void;
}

export interface PaceTracker {
  start(endpointId: string, reason: RampReason, now: number): void;
  recordEnd(endpointId: string, end: AttemptEnd, now: number): void;
  /** Updates the ramp-ups of a service; returns true if one started again. */
  update(service: string, incarnations: readonly number[] | undefined, now: number): boolean;
  statuses(now: number): readonly RampStatus[];
}

type PacedStats = Omit<EndpointStats, 'pace'> & { pace?: EndpointPace };

/** Share of an endpoint's usual calls; 1 only if it does not ramp up. */
export const paceShare = ({ ramp, floor }: EndpointPace, now: number): number =>
  Math.max(floor, rampShare(ramp, now));

/** Whether the number of calls is limited by the pace of the endpoint, and not by its cost alone. */
export const isHeldByPace = ({ ramp, floor }: EndpointPace, now: number): boolean => {
  const share = rampShare(ramp, now);
  return share < 1 && share > floor;
};

/** Outcomes that say something about the pace; the caller's cancellation does not. */
const answerOutcomes: Readonly<Partial<Record<AttemptOutcome, Answer['outcome']>>> = {
  ok: 'ok',
  failed: 'failed',
  timed_out: 'failed',
  unreachable: 'failed',
  refused: 'refused',
};

const isRamping = ({ pace }: PacedStats, now: number): boolean =>
  pace !== undefined && expireRamp(pace.ramp, now).end === undefined;

const callsPerSlotOf = ({ load }: PacedStats): number | undefined =>
  load && load.limit > 0 ? (load.inFlight + load.waiting) / load.limit : undefined;

const median = (values: readonly (number | undefined)[]): number | undefined => {
  const sorted = values.filter((value) => value !== undefined).sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)];
};

/** Creates the ramp-ups for the endpoints of a tracker, whose statistics it reads. */
export const createPaceTracker = (
  { onRamp }: PaceOptions,
  states: ReadonlyMap<string, PacedStats>,
  services: ReadonlyMap<string, readonly string[]>,
): PaceTracker => {
  const serviceOf = (endpointId: string): string =>
    [...services].find(([, ids]) => ids.includes(endpointId))?.[0] ?? '';

  const statesOf = (service: string): PacedStats[] =>
    (services.get(service) ?? [])
      .map((id) => states.get(id))
      .filter((stats) => stats !== undefined);

  const notify = (endpointId: string, { reason, startedAt, end }: Ramp, now: number): void =>
    onRamp?.({
      kind: end ? 'ended' : 'started',
      endpointId,
      service: serviceOf(endpointId),
      reason: end ?? reason,
      tookMs: now - startedAt,
    });

  const replaceRamp = (endpointId: string, ramp: Ramp, now: number): void => {
    const stats = states.get(endpointId)!;
    const { pace } = stats;
    stats.pace = { floor: pace?.floor ?? 0, incarnation: pace?.incarnation, ramp };
    if (pace?.ramp.end !== ramp.end || !pace) {
      notify(endpointId, ramp, now);
    }
  };

  const updateFloor = (service: string, now: number): void => {
    const members = statesOf(service);
    const ramping = members.filter((stats) => !stats.ejection.isEjected && isRamping(stats, now));
    const floor = sharedFloor(ramping.length, members.length);
    ramping.forEach((stats) => {
      Object.assign(stats, { pace: { ...stats.pace, floor } });
    });
  };

  /** Measures of the endpoints that are warm; of all others while none is warm. */
  const measurePeers = (endpointId: string, now: number): PaceMeasure & { latencyMs?: number } => {
    const own = states.get(endpointId);
    const others = statesOf(serviceOf(endpointId)).filter((stats) => stats !== own);
    const warm = others.filter(
      (stats) => !isRamping(stats, now) && !stats.ejection.isEjected && stats.load,
    );
    const peers = warm.length > 0 ? warm : others;
    return {
      workMs: median(peers.map(({ load }) => load?.workMs)),
      callsPerSlot: median(peers.map(callsPerSlotOf)),
      latencyMs: median(peers.map(({ latencyMs }) => latencyMs)),
    };
  };

  const recordEnd: PaceTracker['recordEnd'] = (endpointId, { latencyMs, outcome }, now) => {
    const stats = states.get(endpointId);
    const answered = answerOutcomes[outcome];
    if (!stats?.pace || stats.pace.ramp.end || !answered) {
      return;
    }
    const { ramp } = stats.pace;
    const peers = measurePeers(endpointId, now);
    const isReported = stats.load !== undefined && stats.loadAt >= ramp.startedAt;
    const comparesWork =
      isReported && stats.load.workMs !== undefined && peers.workMs !== undefined;
    const next = applyAnswer(
      ramp,
      {
        outcome: answered,
        workMs: comparesWork ? stats.load.workMs : latencyMs,
        callsPerSlot: isReported ? callsPerSlotOf(stats) : undefined,
        // After an ejection, the average still has calls from before.
        isShared: comparesWork && ramp.reason !== 'ejection_ended',
        sentAt: now - latencyMs,
      },
      { ...peers, workMs: comparesWork ? peers.workMs : peers.latencyMs },
      now,
    );
    replaceRamp(endpointId, next, now);
    if (next.end) {
      updateFloor(serviceOf(endpointId), now);
    }
  };

  const start: PaceTracker['start'] = (endpointId, reason, now) => {
    const stats = states.get(endpointId)!;
    const incarnation = stats.pace?.incarnation;
    stats.pace = { ramp: startRamp(reason, now), floor: 0, incarnation };
    notify(endpointId, stats.pace.ramp, now);
    updateFloor(serviceOf(endpointId), now);
  };

  const update: PaceTracker['update'] = (service, incarnations, now) => {
    let isRestarted = false;
    (services.get(service) ?? []).forEach((id, index) => {
      const { pace } = states.get(id) ?? {};
      if (!pace) {
        return;
      }
      const incarnation = incarnations?.[index];
      const isKnown = incarnation !== undefined && pace.incarnation !== undefined;
      if (isKnown && incarnation !== pace.incarnation) {
        start(id, 'new_process', now);
        isRestarted = true;
      } else {
        replaceRamp(id, expireRamp(pace.ramp, now), now);
      }
      Object.assign(states.get(id)!.pace!, { incarnation });
    });
    updateFloor(service, now);
    return isRestarted;
  };

  const statuses: PaceTracker['statuses'] = (now) =>
    [...services].flatMap(([service, ids]) =>
      ids.flatMap((endpointId) => {
        const stats = states.get(endpointId);
        return stats?.pace && isRamping(stats, now)
          ? [
              {
                endpointId,
                service,
                share: paceShare(stats.pace, now),
                reason: stats.pace.ramp.reason,
              },
            ]
          : [];
      }),
    );

  return { start, recordEnd, update, statuses };
};
