/**
 * Selects the usable endpoints of a list. A faulty writer may have left an invalid record in it.
 * Such a record is passed on unchanged, since the digests of the list cover it, but no calls are
 * sent to it, and it does not affect the other records.
 */
import type { Cluster, Endpoint } from '../../types/public.js';
import { isConnectable } from '../../utils/address.js';

/** Maximum number of slots or connections of an endpoint. A higher value is a writer's mistake. */
export const maxSlots = 10_000;
const maxTextLength = 256;

const hasUsableTexts = ({
  id,
  service,
  dataCentre,
  region,
  node,
  version = '',
}: Endpoint): boolean =>
  id !== '' &&
  [id, service, dataCentre, region, node, version].every((text) => text.length <= maxTextLength);

const isCount = (value: number): boolean =>
  Number.isInteger(value) && value >= 1 && value <= maxSlots;

/** Returns true if calls can be sent to the endpoint. */
export const isUsable = (endpoint: Endpoint): boolean =>
  hasUsableTexts(endpoint) &&
  isConnectable(endpoint.forwardAddress) &&
  isCount(endpoint.slots) &&
  isCount(endpoint.connections) &&
  ['ready', 'leaving'].includes(endpoint.state) &&
  Number.isSafeInteger(endpoint.incarnation) &&
  Number.isSafeInteger(endpoint.sequence);

/** Creates a cluster of the usable endpoints. */
export const createCluster = (service: string, endpoints: Iterable<Endpoint>): Cluster => ({
  service,
  endpoints: [...endpoints].filter(isUsable),
});
