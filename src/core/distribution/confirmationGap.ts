/**
 * Finds out why a node's configuration is not confirmed, for its log: which of the steps between
 * the control instance and the version in force takes too long.
 */
import type { Version } from '../../types/public.js';
import { isNewer } from '../agreement/version.js';
import { staleParentMs, type ParentHeartbeat } from './parentHealth.js';

export type GapCause =
  | 'no parent'
  | 'parent silent'
  | 'parent not confirmed'
  | 'version not received'
  | 'version staged'
  | 'heartbeat late';

export interface GapState {
  /** Last heartbeat of the current parent, if it has sent one. */
  readonly heartbeat: ParentHeartbeat | undefined;
  /** Time since that heartbeat, in ms. */
  readonly heardAgoMs: number;
  /** Newest version that the node has received. */
  readonly received: Version;
  readonly inForce: Version;
}

/** Names the first step, seen from the control instance, that has not been taken in time. */
export const findGapCause = ({ heartbeat, heardAgoMs, received, inForce }: GapState): GapCause => {
  if (!heartbeat) {
    return 'no parent';
  }
  if (heardAgoMs > staleParentMs) {
    return 'parent silent';
  }
  if (heartbeat.confirmedAgeMs > staleParentMs) {
    return 'parent not confirmed';
  }
  if (isNewer(heartbeat.headVersion, received)) {
    return 'version not received';
  }
  return isNewer(received, inForce) ? 'version staged' : 'heartbeat late';
};
