/**
 * Nearest data centre first: endpoints are grouped into tiers by distance, and a tier that is busy
 * hands a part of its calls to the next one.
 */
import type { Cluster, Endpoint } from '../../types/public.js';
import { capacityOf, outstandingCalls } from './endpointRank.js';
import type { Evidence } from './evidence.js';

/** Where the choosing node stands. */
export interface Home {
  readonly dataCentre: string;
  readonly region: string;
}

/** Share of its slots that the nearest tier uses before calls spill over. */
export const spillOverAbove = 0.8;

const distanceOf = ({ dataCentre, region }: Endpoint, home: Home): number => {
  if (dataCentre === home.dataCentre) {
    return 0;
  }
  return region === home.region ? 1 : 2;
};

/** Endpoints by distance, nearest first; tiers without endpoints are left out. */
export const groupByDistance = (
  endpoints: Cluster['endpoints'],
  home: Home,
): (readonly Endpoint[])[] =>
  [0, 1, 2]
    .map((distance) => endpoints.filter((endpoint) => distanceOf(endpoint, home) === distance))
    .filter((tier) => tier.length > 0);

const busyShare = (tier: readonly Endpoint[], evidence: Evidence, now: number): number => {
  let outstanding = 0;
  let capacity = 0;
  tier.forEach((endpoint) => {
    const known = evidence.queries.of(endpoint.id);
    outstanding += outstandingCalls(known, now);
    capacity += capacityOf(endpoint, known);
  });
  return outstanding / capacity;
};

/** Share of calls that leave a tier: what exceeds 80%, less the more the next tier is busy too. */
export const spillShare = (busy: number, nextBusy: number): number =>
  busy <= spillOverAbove || nextBusy >= busy
    ? 0
    : ((busy - spillOverAbove) / busy) * (1 - nextBusy / busy);

/** Picks the tier for one call. */
export const chooseTier = (
  tiers: readonly (readonly Endpoint[])[],
  evidence: Evidence,
  random: () => number,
  now: number,
): readonly Endpoint[] => {
  const [tier = [], ...further] = tiers;
  const [next] = further;
  if (!next) {
    return tier;
  }
  const share = spillShare(busyShare(tier, evidence, now), busyShare(next, evidence, now));
  return share > 0 && random() < share ? chooseTier(further, evidence, random, now) : tier;
};
