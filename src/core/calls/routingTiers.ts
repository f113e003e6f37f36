/**
 * Grouping of endpoints by distance, and the cost of that distance. The cost is added to the time
 * that a call is predicted to take at an endpoint, so that a nearer endpoint is preferred as long
 * as the additional time in its queue is less than the cost of the distance to another one.
 */
import type { Cluster, Endpoint } from '../../types/public.js';

/** Location of the node that chooses an endpoint. */
export interface Locality {
  /** Name of the node, which is local to one endpoint at most. */
  readonly name?: string;
  readonly dataCentre: string;
  readonly region: string;
}

export type Distance = 'here' | 'other_data_centre' | 'other_region';

/** Network round-trip time in ms: twice a typical one-way delay, rounded up. */
const roundTripMs: Readonly<Record<Distance, number>> = {
  here: 0,
  other_data_centre: 5,
  other_region: 100,
};

/**
 * Cost of the hop over a second node, in ms: its processor time and a one-way transfer within a
 * data centre. The endpoint beside the choosing node is chosen unless another one is better by more
 * than this.
 */
export const hopCostMs = 5;

/**
 * Bytes transferred between data centres that cost as much as one ms of waiting. At this rate, the
 * transfer of a response of 2 KB is worth a wait of 4 ms, and that of 100 KB a wait of 200 ms.
 */
export const bytesPerCostMs = 500;

export interface Tier {
  readonly distance: Distance;
  readonly endpoints: readonly Endpoint[];
}

const distances = Object.keys(roundTripMs) as Distance[];

export const distanceOf = ({ dataCentre, region }: Endpoint, locality: Locality): Distance => {
  if (dataCentre === locality.dataCentre) {
    return 'here';
  }
  return region === locality.region ? 'other_data_centre' : 'other_region';
};

/** Groups endpoints by distance, nearest first, without empty tiers. */
export const groupByDistance = (
  endpoints: Cluster['endpoints'],
  locality: Locality,
): readonly Tier[] =>
  distances
    .map((distance) => ({
      distance,
      endpoints: endpoints.filter((endpoint) => distanceOf(endpoint, locality) === distance),
    }))
    .filter(({ endpoints: found }) => found.length > 0);

/** Cost in ms of the distance to an endpoint, for a response of the given size. */
export const distanceCostMs = (distance: Distance, responseBytes: number): number =>
  distance === 'here' ? 0 : roundTripMs[distance] + responseBytes / bytesPerCostMs;
