/**
 * Statistics of endpoints as observed by this node: latency, failures and concurrency of its own
 * calls, and the load that endpoints report with their responses. Health reports of upstreams are
 * not used.
 */
import {
  discardAttempt,
  commonFailureShare,
  createEjectionState,
  ejectionStatus,
  endAttempt,
  recordUnreachable,
  startAttempt,
  type EjectionState,
  type EjectionStatus,
} from './ejection.js';
import {
  createPaceTracker,
  type EndpointPace,
  type PaceOptions,
  type RampStatus,
} from './paceTracker.js';

/**
 * How an attempt ended. A `refused` one was not run and says nothing about health; for an
 * `unreachable` one nothing accepted a connection.
 */
export type AttemptOutcome =
  'ok' | 'failed' | 'timed_out' | 'refused' | 'cancelled' | 'unreachable';

/** Load of an endpoint as reported with responses in `x-load`. */
export interface EndpointLoad {
  readonly inFlight: number;
  readonly limit: number;
  readonly waiting: number;
  /** Average time for which a call occupies a slot, in ms; unset before the first response. */
  readonly workMs?: number;
  /** Time for which large responses have the link of the endpoint reserved, in ms. */
  readonly linkMs?: number;
  /** See `reportedPace.ts`; unset if the endpoint does not report it. */
  readonly pace?: number;
}

export interface AttemptEnd {
  /** Time from the start of the attempt to its end, in ms. */
  readonly latencyMs: number;
  readonly outcome: AttemptOutcome;
}

export interface EndpointTrackerOptions {
  /** Returns a number in [0, 1), for the jitter of ejections. */
  readonly random: () => number;
  /** Makes the share of a new or recovered endpoint follow its answers. Default: it follows time. */
  readonly adaptivePace?: PaceOptions;
}

/** Statistics of one endpoint. */
export interface EndpointStats {
  /** Moving average of the latency in ms; undefined before the first response. */
  readonly latencyMs: number | undefined;
  /** Time of the last response of any kind; at first the time of the first use. */
  readonly respondedAt: number;
  /** Time since which attempts have been in flight without any response. */
  readonly silentSince: number | undefined;
  readonly inFlight: number;
  readonly load: EndpointLoad | undefined;
  readonly loadAt: number;
  /** Attempts that this node has started since the last load report. */
  readonly startedSinceLoad: number;
  /** Share of attempts that were refused, as an exponentially weighted moving average. */
  readonly refusedShare: number;
  readonly refusedAt: number;
  readonly firstSeenAt: number;
  readonly ejection: Readonly<EjectionState>;
  /** Set if the share of calls follows the answers. */
  readonly pace?: EndpointPace;
}

export interface EndpointTracker {
  readonly commands: {
    recordStart(endpointId: string, now: number): void;
    recordEnd(endpointId: string, end: AttemptEnd, now: number): void;
    recordLoad(endpointId: string, load: EndpointLoad, now: number): void;
    /**
     * Sets the endpoints of a service: new ones start their warm-up, missing ones are removed.
     * `incarnations` has the start of the process behind each of them.
     */
    setEndpoints(
      service: string,
      endpointIds: readonly string[],
      now: number,
      incarnations?: readonly number[],
    ): void;
  };
  readonly queries: {
    get(endpointId: string): EndpointStats | undefined;
    /** Whether the endpoint is in use (`in`), ejected (`out`), or due for a probe. */
    status(endpointId: string, now: number): EjectionStatus;
    /** True if the endpoint is ejected or due for a probe. */
    isEjected(endpointId: string, now: number): boolean;
    endpointIds(): readonly string[];
    /** Changes whenever the ejected endpoints or their failure shares may have changed. */
    ejectionEpoch(): number;
    /** Endpoints that ramp up, if their shares follow the answers. */
    ramps(now: number): readonly RampStatus[];
  };
}

type MutableStats = { -readonly [Key in keyof EndpointStats]: EndpointStats[Key] } & {
  ejection: EjectionState;
};

const latencyWeight = 0.2;
const refusedWeight = 0.2;

const createState = (now: number): MutableStats => ({
  latencyMs: undefined,
  respondedAt: now,
  silentSince: undefined,
  inFlight: 0,
  load: undefined,
  loadAt: 0,
  startedSinceLoad: 0,
  refusedShare: 0,
  refusedAt: now,
  firstSeenAt: now,
  ejection: createEjectionState(),
});

const addLatency = (state: MutableStats, latencyMs: number): void => {
  state.latencyMs =
    state.latencyMs === undefined
      ? latencyMs
      : state.latencyMs + latencyWeight * (latencyMs - state.latencyMs);
};

const recordResponse = (state: MutableStats, now: number): void => {
  state.respondedAt = now;
  state.silentSince = state.inFlight > 0 ? now : undefined;
};

const updateRefusedShare = (state: MutableStats, share: number, now: number): void => {
  state.refusedShare += refusedWeight * (share - state.refusedShare);
  state.refusedAt = now;
};

interface EndContext {
  readonly latencyMs: number;
  readonly random: () => number;
  /** Returns the failure share of the other endpoints of the service. */
  readonly peerFailureShare: () => number;
  readonly now: number;
}

type EndHandler = (state: MutableStats, context: EndContext) => void;

const endHandlers: Readonly<Record<AttemptOutcome, EndHandler>> = {
  ok: (state, { latencyMs, random, peerFailureShare, now }) => {
    addLatency(state, latencyMs);
    recordResponse(state, now);
    updateRefusedShare(state, 0, now);
    endAttempt(state.ejection, false, random, now, peerFailureShare);
  },
  failed: (state, { random, peerFailureShare, now }) => {
    recordResponse(state, now);
    endAttempt(state.ejection, true, random, now, peerFailureShare);
  },
  timed_out: (state, { latencyMs, random, peerFailureShare, now }) => {
    addLatency(state, latencyMs);
    endAttempt(state.ejection, true, random, now, peerFailureShare);
  },
  unreachable: (state, { random, now }) => {
    recordResponse(state, now);
    recordUnreachable(state.ejection, random, now);
  },
  refused: (state, { now }) => {
    recordResponse(state, now);
    updateRefusedShare(state, 1, now);
    discardAttempt(state.ejection);
  },
  cancelled: (state, { latencyMs }) => {
    // The attempt would have taken longer if not cancelled, so it may only raise the average.
    if (latencyMs > (state.latencyMs ?? 0)) {
      addLatency(state, latencyMs);
    }
    discardAttempt(state.ejection);
  },
};

/** Creates the endpoint statistics of one node. */
export const createEndpointTracker = ({
  random,
  adaptivePace,
}: EndpointTrackerOptions): EndpointTracker => {
  const states = new Map<string, MutableStats>();
  const services = new Map<string, readonly string[]>();
  const paces = adaptivePace && createPaceTracker(adaptivePace, states, services);
  let ejectionEpoch = 0;

  const stateOf = (endpointId: string, now: number): MutableStats => {
    const known = states.get(endpointId);
    if (known) {
      return known;
    }
    const state = createState(now);
    states.set(endpointId, state);
    paces?.start(endpointId, 'first_seen', now);
    return state;
  };

  const failureShareOfPeers = (endpointId: string): number => {
    const ids = [...services.values()].find((known) => known.includes(endpointId)) ?? [];
    const others = ids
      .filter((id) => id !== endpointId)
      .map((id) => states.get(id)?.ejection)
      .filter((ejection) => ejection !== undefined);
    return commonFailureShare(others);
  };

  const recordStart = (endpointId: string, now: number): void => {
    const state = stateOf(endpointId, now);
    state.inFlight += 1;
    state.startedSinceLoad += 1;
    state.silentSince ??= now;
    startAttempt(state.ejection, now);
  };

  const recordEnd = (endpointId: string, end: AttemptEnd, now: number): void => {
    // An endpoint that was removed while the call was in flight must not be added again.
    const state = states.get(endpointId);
    if (!state) {
      return;
    }
    const wasEjected = state.ejection.isEjected;
    state.inFlight = Math.max(0, state.inFlight - 1);
    endHandlers[end.outcome](state, {
      latencyMs: end.latencyMs,
      random,
      peerFailureShare: () => failureShareOfPeers(endpointId),
      now,
    });
    if (state.inFlight === 0) {
      state.silentSince = undefined;
    }
    if (wasEjected || state.ejection.isEjected) {
      ejectionEpoch += 1;
    }
    if (wasEjected && !state.ejection.isEjected) {
      paces?.start(endpointId, 'ejection_ended', now);
    } else {
      paces?.recordEnd(endpointId, end, now);
    }
  };

  const recordLoad = (endpointId: string, load: EndpointLoad, now: number): void => {
    Object.assign(stateOf(endpointId, now), { load, loadAt: now, startedSinceLoad: 0 });
  };

  const setEndpoints: EndpointTracker['commands']['setEndpoints'] = (
    service,
    endpointIds,
    now,
    incarnations,
  ) => {
    const kept = new Set(endpointIds);
    services
      .get(service)
      ?.filter((id) => !kept.has(id))
      .forEach((id) => {
        states.delete(id);
        ejectionEpoch += 1;
      });
    services.set(service, endpointIds);
    endpointIds.forEach((id) => stateOf(id, now));
    if (paces?.update(service, incarnations, now)) {
      ejectionEpoch += 1;
    }
  };

  const status = (endpointId: string, now: number): EjectionStatus => {
    const state = states.get(endpointId);
    return state ? ejectionStatus(state.ejection, now) : 'in';
  };

  return {
    commands: {
      recordStart,
      recordEnd,
      recordLoad,
      setEndpoints,
    },
    queries: {
      get: (endpointId) => states.get(endpointId),
      status,
      isEjected: (endpointId, now) => status(endpointId, now) !== 'in',
      endpointIds: () => [...states.keys()],
      ejectionEpoch: () => ejectionEpoch,
      ramps: (now) => paces?.statuses(now) ?? [],
    },
  };
};
