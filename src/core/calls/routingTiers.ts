/**
 * Endpoints by distance, and what the way to them costs. The cost is weighed against the time that
 * a call is predicted to take at an endpoint, so that a nearer one is kept as long as the wait there
 * is worth less than the way.
 */
import type { Cluster, Endpoint } from '../../types/public.js';

/** Where the choosing node stands. */
export interface Locality {
  /** Name of the choosing node, which stands beside one endpoint at most. */
  readonly name?: string;
  readonly dataCentre: string;
  readonly region: string;
}

export type Distance = 'here' | 'other_data_centre' | 'other_region';

/** Time for the way there and back, in ms: twice a usual one-way delay, rounded up. */
const wayMs: Readonly<Record<Distance, number>> = {
  here: 0,
  other_data_centre: 5,
  other_region: 100,
};

/**
 * Cost of a second node on the way, in ms: its processor time and one way within a data centre. The
 * endpoint beside the choosing node is taken unless another one is better by more than that.
 */
export const hopCostMs = 5;

/**
 * Bytes between data centres that are worth one ms of waiting. At this rate an answer of 2 KB goes
 * to another data centre for a wait of 4 ms, and one of 100 KB for a wait of 200 ms.
 */
export const bytesPerCostMs = 500;

export interface Tier {
  readonly distance: Distance;
  readonly endpoints: readonly Endpoint[];
}

const distances = Object.keys(wayMs) as Distance[];

export const distanceOf = ({ dataCentre, region }: Endpoint, home: Locality): Distance => {
  if (dataCentre === home.dataCentre) {
    return 'here';
  }
  return region === home.region ? 'other_data_centre' : 'other_region';
};

/** Endpoints by distance, nearest first; tiers without endpoints are left out. */
export const groupByDistance = (endpoints: Cluster['endpoints'], home: Locality): readonly Tier[] =>
  distances
    .map((distance) => ({
      distance,
      endpoints: endpoints.filter((endpoint) => distanceOf(endpoint, home) === distance),
    }))
    .filter(({ endpoints: found }) => found.length > 0);

/** Cost of the way for an answer of a size, in ms. */
export const distanceCostMs = (distance: Distance, answerBytes: number): number =>
  distance === 'here' ? 0 : wayMs[distance] + answerBytes / bytesPerCostMs;
