/**
 * First-hand evidence about endpoints: latency, failures and calls in flight of this node's own
 * calls, and the load carried back on answers.
 */

/** How an attempt ended. `refused` was not run and says nothing against the endpoint's health. */
export type AttemptOutcome = 'ok' | 'failed' | 'timed_out' | 'refused' | 'cancelled';

/** Load of an endpoint as carried on answers by `x-load`. */
export interface EndpointLoad {
  readonly inFlight: number;
  readonly limit: number;
  readonly waiting: number;
}

export interface AttemptEnd {
  readonly latencyMs: number;
  readonly outcome: AttemptOutcome;
}

export interface EvidenceOptions {
  /** Returns a number in [0, 1), for the jitter of ejections. */
  readonly random: () => number;
}

/** What routing reads about one endpoint. */
export interface EndpointEvidence {
  readonly latencyMs: number;
  readonly inFlight: number;
  readonly load: EndpointLoad | undefined;
  readonly loadAt: number;
  readonly consecutiveFailures: number;
  readonly firstSeenAt: number;
}

export interface Evidence {
  readonly commands: {
    recordStart(endpointId: string, now: number): void;
    recordEnd(endpointId: string, end: AttemptEnd, now: number): void;
    recordLoad(endpointId: string, load: EndpointLoad, now: number): void;
    /** Notes endpoints that are new, for their warm-up, and forgets the ones that are gone. */
    retain(service: string, endpointIds: readonly string[], now: number): void;
  };
  readonly queries: {
    of(endpointId: string): EndpointEvidence | undefined;
    isEjected(endpointId: string, now: number): boolean;
    endpointIds(): readonly string[];
  };
}

interface State {
  latencyMs: number;
  inFlight: number;
  load: EndpointLoad | undefined;
  loadAt: number;
  consecutiveFailures: number;
  firstSeenAt: number;
  ejectedUntil: number;
}

const ejectAfterFailures = 5;
const ejectionMs = 5_000;
const latencyWeight = 0.2;

/** Creates the evidence of one node. */
export const createEvidence = ({ random }: EvidenceOptions): Evidence => {
  const states = new Map<string, State>();
  const services = new Map<string, readonly string[]>();

  const stateOf = (endpointId: string, now: number): State => {
    const known = states.get(endpointId);
    if (known) {
      return known;
    }
    const state: State = {
      latencyMs: 0,
      inFlight: 0,
      load: undefined,
      loadAt: 0,
      consecutiveFailures: 0,
      firstSeenAt: now,
      ejectedUntil: 0,
    };
    states.set(endpointId, state);
    return state;
  };

  return {
    commands: {
      recordStart: (endpointId, now) => {
        stateOf(endpointId, now).inFlight += 1;
      },
      recordEnd: (endpointId, { latencyMs, outcome }, now) => {
        const state = stateOf(endpointId, now);
        state.inFlight = Math.max(0, state.inFlight - 1);
        if (outcome === 'ok') {
          state.consecutiveFailures = 0;
          state.latencyMs += latencyWeight * (latencyMs - state.latencyMs);
        }
        if (outcome === 'failed' || outcome === 'timed_out') {
          state.consecutiveFailures += 1;
        }
        if (state.consecutiveFailures >= ejectAfterFailures) {
          state.ejectedUntil = now + ejectionMs * (0.5 + random());
        }
      },
      recordLoad: (endpointId, load, now) => {
        Object.assign(stateOf(endpointId, now), { load, loadAt: now });
      },
      retain: (service, endpointIds, now) => {
        const kept = new Set(endpointIds);
        services.get(service)?.forEach((id) => !kept.has(id) && states.delete(id));
        services.set(service, endpointIds);
        endpointIds.forEach((id) => stateOf(id, now));
      },
    },
    queries: {
      of: (endpointId) => states.get(endpointId),
      isEjected: (endpointId, now) => (states.get(endpointId)?.ejectedUntil ?? 0) > now,
      endpointIds: () => [...states.keys()],
    },
  };
};
