/**
 * Choice of the endpoint for one attempt: power of two choices on predicted time among the
 * endpoints that are ready, nearest data centre first.
 */
import type { Cluster, Endpoint, Policy } from '../types/public.js';
import type { Evidence } from './evidence.js';

export interface Home {
  readonly dataCentre: string;
  readonly region: string;
}

export interface EndpointChoice {
  readonly cluster: Cluster;
  readonly evidence: Evidence;
  readonly policy: Policy;
  readonly home: Home;
  /** Endpoints that this call was already sent to. */
  readonly exclude: ReadonlySet<string>;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  readonly now: number;
}

const predictedMs = (evidence: Evidence, { id }: Endpoint): number => {
  const known = evidence.queries.of(id);
  return ((known?.latencyMs ?? 0) + 1) * ((known?.inFlight ?? 0) + 1);
};

/** Chooses an endpoint, or returns undefined if none is left. */
export const chooseEndpoint = (choice: EndpointChoice): Endpoint | undefined => {
  const { cluster, evidence, home, exclude, random, now } = choice;
  const ready = cluster.endpoints.filter(({ id, state }) => state === 'ready' && !exclude.has(id));
  const healthy = ready.filter(({ id }) => !evidence.queries.isEjected(id, now));
  const usable = healthy.length > 0 ? healthy : ready;
  const near = usable.filter(({ dataCentre }) => dataCentre === home.dataCentre);
  const candidates = near.length > 0 ? near : usable;
  const pick = () => candidates[Math.floor(random() * candidates.length)];
  const [first, second] = [pick(), pick()];
  return first && second && predictedMs(evidence, second) < predictedMs(evidence, first)
    ? second
    : first;
};
