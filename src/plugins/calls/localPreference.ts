/**
 * Whether a call goes to the upstream beside the node without a comparison with other endpoints.
 */
import type { EndpointTracker } from '../../core/calls/endpointTracker.js';
import type { LocalUpstream } from './localUpstream.js';

export interface LocalPreference {
  readonly upstream: Pick<LocalUpstream, 'queries'>;
  readonly endpointTracker: Pick<EndpointTracker, 'queries'>;
  readonly localNode: { readonly name: string };
  readonly service: string;
  readonly now: number;
}

/** Id of the endpoint beside the node, whether or not it is announced. */
export const localEndpointIdOf = (
  { queries }: Pick<LocalUpstream, 'queries'>,
  nodeName: string,
): string => queries.description()?.instance ?? nodeName;

/** True if the upstream beside the node has room for a call of the service and is not ejected. */
export const prefersLocalEndpoint = ({
  upstream,
  endpointTracker,
  localNode,
  service,
  now,
}: LocalPreference): boolean =>
  upstream.queries.isLightlyLoaded(service) &&
  !endpointTracker.queries.isEjected(localEndpointIdOf(upstream, localNode.name), now);
