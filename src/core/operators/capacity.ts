/**
 * Arithmetic behind the checks of a target: network trips, slots and availability of a service's
 * endpoints.
 */
import type { Inventory } from '../../types/internal.js';
import type { Endpoint, TrafficClass } from '../../types/public.js';

/**
 * Share of time in which one endpoint is out: 4 of 1,000 instances fail on an ordinary day and
 * an instance is replaced within 6 h, 4 / 1,000 * 6 / 24 = 0.001.
 */
export const endpointUnavailability = 0.001;

/**
 * Share of calls that were sent to an endpoint that failed and cannot be repeated. A failed
 * endpoint is noticed within its lease of 10 s: 4 / 1,000 * 10 / 86,400 = 5e-7, rounded up for
 * restarts.
 */
export const nonRetryableShare = 0.000_01;

/** Endpoints that take calls. */
export const readyEndpoints = (inventory: Inventory, service: string): readonly Endpoint[] =>
  (inventory.clusters.get(service)?.endpoints ?? []).filter(({ state }) => state === 'ready');

export const totalSlots = (endpoints: readonly Endpoint[]): number =>
  endpoints.reduce((sum, { slots }) => sum + slots, 0);

/** A caller's data centre and its one-way delay to the nearest endpoint. */
export interface Distance {
  readonly from: string;
  readonly to: string;
  readonly delayMs: number;
}

/** The data centre that is furthest from its nearest endpoint. */
export const longestDistance = (
  inventory: Inventory,
  endpoints: readonly Endpoint[],
): Distance | undefined => {
  const targets = [...new Set(endpoints.map(({ dataCentre }) => dataCentre))];
  const nearest = (from: string): Distance[] =>
    targets
      .map((to) => ({ from, to, delayMs: from === to ? 0 : inventory.delayMs(from, to) }))
      .sort((a, b) => a.delayMs - b.delayMs)
      .slice(0, 1);
  return inventory.dataCentres.flatMap(nearest).sort((a, b) => b.delayMs - a.delayMs)[0];
};

/** Slots that a class occupies on average by Little's law, if its rate and work are declared. */
export const slotsInUse = ({ ratePerSecond, workMs }: TrafficClass): number | undefined =>
  ratePerSecond === undefined || workMs === undefined
    ? undefined
    : (ratePerSecond * workMs) / 1_000;

/** Highest availability that the endpoints can give to a class. */
export const attainableAvailability = (
  { idempotent }: TrafficClass,
  endpoints: readonly Endpoint[],
): number => 1 - endpointUnavailability ** endpoints.length - (idempotent ? 0 : nonRetryableShare);
