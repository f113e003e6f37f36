/**
 * Health of the parent that a node is attached to. The node leaves a parent that lags behind the
 * node's own version, or whose path contains the node. It keeps a parent that is quiet, cut off from
 * the source or whose root is in another data centre, and searches for a better one meanwhile.
 */
import type { Version } from '../../types/public.js';
import { maxPathLength } from './childAdmission.js';
import { isNewer } from '../agreement/version.js';

/** A lagging parent is left after this time, which doubles each time up to the maximum. */
const minLagMs = 3_000;
const maxLagMs = 60_000;
/** Time without a control instance at the root of the path before other parents are probed. */
const unrootedMs = 1_000;
/**
 * Age of the last confirmation above which a better parent is searched for. It is three times the
 * period in which a leader asks its quorum, and leaves enough time to receive a change within 2 s.
 */
export const staleParentMs = 1_500;

/**
 * Time since the last heartbeat after which a better parent is searched for, one and a half times
 * the period of heartbeats. The parent itself is given up only after three periods.
 */
const quietParentMs = 750;

/** Contents of a parent's heartbeat. */
export interface ParentHeartbeat {
  readonly headVersion: Version;
  readonly confirmedAgeMs: number;
  readonly path: readonly string[];
  readonly rootDataCentre: string;
}

/** Whether the sender is attached to a control instance and was confirmed lately. */
export const isFresh = ({ confirmedAgeMs, rootDataCentre }: ParentHeartbeat): boolean =>
  confirmedAgeMs <= staleParentMs && rootDataCentre !== '';

/** Result of a heartbeat's evaluation: keep the parent, or why to leave it. */
export type ParentVerdict = 'keep' | 'cycle' | 'lags';

/**
 * Why a better parent is searched for. `quiet`: a heartbeat is overdue. `detached`: the path has no
 * control instance at its root, or the last confirmation is too old. `foreign`: the root is in
 * another data centre.
 */
export type SearchReason = 'quiet' | 'detached' | 'foreign';

export interface ParentHealth {
  readonly commands: {
    /** Resets the state for a new parent. */
    attached(): void;
    /** Evaluates a heartbeat against the newest version that the node itself holds. */
    evaluate(heartbeat: ParentHeartbeat, newest: Version, now: number): ParentVerdict;
  };
  readonly queries: {
    lastHeartbeat(): ParentHeartbeat | undefined;
    /** Time since that heartbeat in ms; Infinity without one. */
    heardAgoMs(now: number): number;
    /** Why to search for a better parent; undefined if the current one is good. */
    searchReason(now: number): SearchReason | undefined;
  };
}

export const createParentHealth = (name: string, dataCentre: string): ParentHealth => {
  let latest: ParentHeartbeat | undefined;
  let heardAt = -Infinity;
  let lagSince: number | undefined;
  let unrootedSince: number | undefined;
  let lagLimitMs = minLagMs;

  const evaluateLag = (heartbeat: ParentHeartbeat, newest: Version, now: number): ParentVerdict => {
    if (!isNewer(newest, heartbeat.headVersion)) {
      lagSince = undefined;
      lagLimitMs = minLagMs;
      return 'keep';
    }
    lagSince ??= now;
    if (now - lagSince < lagLimitMs) {
      return 'keep';
    }
    // If all parents lag, the node switches between them less and less often.
    lagLimitMs = Math.min(maxLagMs, 2 * lagLimitMs);
    return 'lags';
  };

  return {
    commands: {
      attached: () => {
        latest = undefined;
        heardAt = -Infinity;
        lagSince = undefined;
        unrootedSince = undefined;
      },
      evaluate: (heartbeat, newest, now) => {
        latest = heartbeat;
        heardAt = now;
        if (heartbeat.path.includes(name) || heartbeat.path.length > maxPathLength) {
          return 'cycle';
        }
        unrootedSince = heartbeat.rootDataCentre === '' ? (unrootedSince ?? now) : undefined;
        return evaluateLag(heartbeat, newest, now);
      },
    },
    queries: {
      lastHeartbeat: () => latest,
      heardAgoMs: (now) => now - heardAt,
      searchReason: (now) => {
        if (!latest) {
          return undefined;
        }
        if (now - heardAt > quietParentMs) {
          return 'quiet';
        }
        const isUnrooted = unrootedSince !== undefined && now - unrootedSince >= unrootedMs;
        if (isUnrooted || latest.confirmedAgeMs > staleParentMs) {
          return 'detached';
        }
        const isForeign = latest.rootDataCentre !== '' && latest.rootDataCentre !== dataCentre;
        return isForeign ? 'foreign' : undefined;
      },
    },
  };
};
