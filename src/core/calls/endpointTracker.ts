/**
 * First-hand evidence about endpoints: latency, failures and calls in flight of this node's own
 * calls, and the load carried back on answers. Health reports of upstreams play no part.
 */
import {
  discardAttempt,
  commonFailureShare,
  createEjectionState,
  ejectionStatus,
  endAttempt,
  startAttempt,
  type EjectionState,
  type EjectionStatus,
} from './ejection.js';

/** How an attempt ended. `refused` was not run and says nothing against the endpoint's health. */
export type AttemptOutcome = 'ok' | 'failed' | 'timed_out' | 'refused' | 'cancelled';

/** Load of an endpoint as carried on answers by `x-load`. */
export interface EndpointLoad {
  readonly inFlight: number;
  readonly limit: number;
  readonly waiting: number;
  /** Time that a call occupies a slot there, on average, in ms; unset before the first answer. */
  readonly workMs?: number;
}

export interface AttemptEnd {
  /** Time from the start of the attempt to its end, in ms. */
  readonly latencyMs: number;
  readonly outcome: AttemptOutcome;
}

export interface EndpointTrackerOptions {
  /** Returns a number in [0, 1), for the jitter of ejections. */
  readonly random: () => number;
}

/** What is known about one endpoint. */
export interface EndpointStats {
  /** Exponentially weighted latency in ms; undefined before the first answer. */
  readonly latencyMs: number | undefined;
  /** Time of the last answer of any kind. */
  readonly answeredAt: number;
  /** Since when attempts are outstanding without any answer. */
  readonly silentSince: number | undefined;
  readonly inFlight: number;
  readonly load: EndpointLoad | undefined;
  readonly loadAt: number;
  /** Attempts that this node has started since the last report of the load. */
  readonly startedSinceLoad: number;
  /** Share of attempts that the endpoint refused, as an exponentially weighted average. */
  readonly refusedShare: number;
  readonly refusedAt: number;
  readonly firstSeenAt: number;
  readonly ejection: Readonly<EjectionState>;
}

export interface EndpointTracker {
  readonly commands: {
    recordStart(endpointId: string, now: number): void;
    recordEnd(endpointId: string, end: AttemptEnd, now: number): void;
    recordLoad(endpointId: string, load: EndpointLoad, now: number): void;
    /** Notes endpoints that are new, for their warm-up, and forgets the ones that are gone. */
    setEndpoints(service: string, endpointIds: readonly string[], now: number): void;
  };
  readonly queries: {
    get(endpointId: string): EndpointStats | undefined;
    /** Whether the endpoint is in use, ejected, or due for a probe. */
    status(endpointId: string, now: number): EjectionStatus;
    /** True if the endpoint is ejected or waits for its probe. */
    isEjected(endpointId: string, now: number): boolean;
    endpointIds(): readonly string[];
    /** Differs whenever it may have changed which endpoints are ejected, or how badly they failed. */
    ejectionEpoch(): number;
  };
}

type State = { -readonly [Key in keyof EndpointStats]: EndpointStats[Key] } & {
  ejection: EjectionState;
};

const latencyWeight = 0.2;
const refusedWeight = 0.2;

const createState = (now: number): State => ({
  latencyMs: undefined,
  answeredAt: now,
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

const addLatency = (state: State, latencyMs: number): void => {
  state.latencyMs =
    state.latencyMs === undefined
      ? latencyMs
      : state.latencyMs + latencyWeight * (latencyMs - state.latencyMs);
};

const noteAnswer = (state: State, now: number): void => {
  state.answeredAt = now;
  state.silentSince = state.inFlight > 0 ? now : undefined;
};

const noteRefusal = (state: State, share: number, now: number): void => {
  state.refusedShare += refusedWeight * (share - state.refusedShare);
  state.refusedAt = now;
};

interface EndContext {
  readonly latencyMs: number;
  readonly random: () => number;
  /** Share of failures of the other endpoints of the service. */
  readonly shareOfOthers: () => number;
  readonly now: number;
}

type EndHandler = (state: State, context: EndContext) => void;

const endHandlers: Readonly<Record<AttemptOutcome, EndHandler>> = {
  ok: (state, { latencyMs, random, shareOfOthers, now }) => {
    addLatency(state, latencyMs);
    noteAnswer(state, now);
    noteRefusal(state, 0, now);
    endAttempt(state.ejection, false, random, now, shareOfOthers);
  },
  failed: (state, { random, shareOfOthers, now }) => {
    noteAnswer(state, now);
    endAttempt(state.ejection, true, random, now, shareOfOthers);
  },
  timed_out: (state, { latencyMs, random, shareOfOthers, now }) => {
    addLatency(state, latencyMs);
    endAttempt(state.ejection, true, random, now, shareOfOthers);
  },
  refused: (state, { now }) => {
    noteAnswer(state, now);
    noteRefusal(state, 1, now);
    discardAttempt(state.ejection);
  },
  cancelled: (state, { latencyMs }) => {
    // A cancelled attempt would have taken longer, so it can only raise the estimate.
    if (latencyMs > (state.latencyMs ?? 0)) {
      addLatency(state, latencyMs);
    }
    discardAttempt(state.ejection);
  },
};

/** Creates the evidence of one node. */
export const createEndpointTracker = ({ random }: EndpointTrackerOptions): EndpointTracker => {
  const states = new Map<string, State>();
  const services = new Map<string, readonly string[]>();
  let ejectionEpoch = 0;

  const stateOf = (endpointId: string, now: number): State => {
    const state = states.get(endpointId) ?? createState(now);
    states.set(endpointId, state);
    return state;
  };

  const shareOfOthersThan = (endpointId: string): number => {
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
    // An endpoint that left while the call was in flight must not come back into the table.
    const state = states.get(endpointId);
    if (!state) {
      return;
    }
    const wasOut = state.ejection.isOut;
    state.inFlight = Math.max(0, state.inFlight - 1);
    endHandlers[end.outcome](state, {
      latencyMs: end.latencyMs,
      random,
      shareOfOthers: () => shareOfOthersThan(endpointId),
      now,
    });
    if (state.inFlight === 0) {
      state.silentSince = undefined;
    }
    if (wasOut || state.ejection.isOut) {
      ejectionEpoch += 1;
    }
  };

  const recordLoad = (endpointId: string, load: EndpointLoad, now: number): void => {
    Object.assign(stateOf(endpointId, now), { load, loadAt: now, startedSinceLoad: 0 });
  };

  const retain = (service: string, endpointIds: readonly string[], now: number): void => {
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
      setEndpoints: retain,
    },
    queries: {
      get: (endpointId) => states.get(endpointId),
      status,
      isEjected: (endpointId, now) => status(endpointId, now) !== 'in',
      endpointIds: () => [...states.keys()],
      ejectionEpoch: () => ejectionEpoch,
    },
  };
};
