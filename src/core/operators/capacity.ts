/**
 * Calculations for the checks of a target: network delay, slots and availability of the endpoints
 * of a service.
 */
import type { Inventory } from '../../types/internal.js';
import type { Endpoint, TrafficClass } from '../../types/public.js';

/**
 * Share of time in which an endpoint is unavailable: 4 of 1,000 instances fail on an ordinary day,
 * and an instance is replaced within 6 h, 4 / 1,000 * 6 / 24 = 0.001.
 */
export const endpointUnavailability = 0.001;

/**
 * Share of calls that are lost with a failed endpoint because they cannot be retried. A failure is
 * detected within the lease of 10 s: 4 / 1,000 * 10 / 86,400 = 5e-7, rounded up for restarts.
 */
export const nonRetryableShare = 0.000_01;

/** Endpoints of a service that accept calls. */
export const readyEndpoints = (inventory: Inventory, service: string): readonly Endpoint[] =>
  (inventory.clusters.get(service)?.endpoints ?? []).filter(({ state }) => state === 'ready');

export const totalSlots = (endpoints: readonly Endpoint[]): number =>
  endpoints.reduce((sum, { slots }) => sum + slots, 0);

/** One-way delay from the data centre of a caller to the data centre of its nearest endpoint. */
export interface Distance {
  readonly from: string;
  readonly to: string;
  readonly delayMs: number;
}

/** Distance of the data centre that is furthest from its nearest endpoint. */
export const longestDistance = (
  inventory: Inventory,
  endpoints: readonly Endpoint[],
): Distance | undefined => {
  const targets = [...new Set(endpoints.map(({ dataCentre }) => dataCentre))];
  const nearestDistance = (from: string): Distance[] =>
    targets
      .map((to) => ({ from, to, delayMs: from === to ? 0 : inventory.delayMs(from, to) }))
      .sort((a, b) => a.delayMs - b.delayMs)
      .slice(0, 1);
  return inventory.dataCentres.flatMap(nearestDistance).sort((a, b) => b.delayMs - a.delayMs)[0];
};

/** Average number of slots that a class occupies (Little's law), if rate and work are declared. */
export const slotsInUse = ({ ratePerSecond, workMs }: TrafficClass): number | undefined =>
  ratePerSecond === undefined || workMs === undefined
    ? undefined
    : (ratePerSecond * workMs) / 1_000;

/** Highest availability that a class can reach with the endpoints. */
export const attainableAvailability = (
  { idempotent }: TrafficClass,
  endpoints: readonly Endpoint[],
): number => 1 - endpointUnavailability ** endpoints.length - (idempotent ? 0 : nonRetryableShare);
