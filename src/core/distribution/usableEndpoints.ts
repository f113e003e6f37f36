/**
 * Which endpoints of a list can be used. Another writer may have left a record that makes no sense.
 * The list carries such a record on as it is, since the digests of the list cover it, but no call
 * is sent to it and no other record is lost with it.
 */
import type { Cluster, Endpoint } from '../../types/public.js';
import { isConnectable } from '../../utils/address.js';

/** Slots of one endpoint; more are a mistake of the writer. */
export const maxSlots = 10_000;
const maxTextLength = 256;

const hasUsableTexts = ({ id, service, dataCentre, region, node }: Endpoint): boolean =>
  id !== '' &&
  [id, service, dataCentre, region, node].every((text) => text.length <= maxTextLength);

const isCount = (value: number): boolean =>
  Number.isInteger(value) && value >= 1 && value <= maxSlots;

/** True if calls can be sent to the endpoint. */
export const isUsable = (endpoint: Endpoint): boolean =>
  hasUsableTexts(endpoint) &&
  isConnectable(endpoint.forwardAddress) &&
  isCount(endpoint.slots) &&
  isCount(endpoint.connections) &&
  ['ready', 'leaving'].includes(endpoint.state) &&
  Number.isSafeInteger(endpoint.incarnation) &&
  Number.isSafeInteger(endpoint.sequence);

/** Cluster of the endpoints that can be used. */
export const createCluster = (service: string, endpoints: Iterable<Endpoint>): Cluster => ({
  service,
  endpoints: [...endpoints].filter(isUsable),
});
