/**
 * Judgement of the parent that a node is attached to. A parent that lags behind what the node holds
 * or whose path contains the node is left; a parent that is cut off from the source, or feeds from
 * another data centre, is kept while better ones are looked for.
 */
import type { Version } from '../../types/public.js';
import { maxPathLength } from './childAdmission.js';
import { isNewer } from '../agreement/version.js';

/** A parent that is behind is left after this time; doubled each time, up to the maximum. */
const minLagMs = 3_000;
const maxLagMs = 60_000;
/** How long a parent without a control instance above it is tolerated before others are probed. */
const unrootedMs = 1_000;
/**
 * Age of the last confirmation above which a better parent is looked for: three times the period in
 * which a leader asks its quorum, and enough time left to hear of a change within 2 s.
 */
export const staleParentMs = 1_500;

/** What a parent says in a heartbeat. */
export interface ParentHeartbeat {
  readonly headVersion: Version;
  readonly confirmedAgeMs: number;
  readonly path: readonly string[];
  readonly rootDataCentre: string;
}

/** What to do about the parent. */
export type ParentVerdict = 'keep' | 'cycle' | 'lags';

/** Why a better parent is looked for. */
export type SearchReason = 'detached' | 'foreign';

export interface ParentHealth {
  readonly commands: {
    attached(): void;
    /** Judges a heartbeat, given the newest version that the node itself holds. */
    evaluate(beat: ParentHeartbeat, newest: Version, now: number): ParentVerdict;
  };
  readonly queries: {
    lastHeartbeat(): ParentHeartbeat | undefined;
    /** Why to look for a better parent, or undefined if this one is good. */
    searchReason(now: number): SearchReason | undefined;
  };
}

export const createParentHealth = (name: string, dataCentre: string): ParentHealth => {
  let lastBeat: ParentHeartbeat | undefined;
  let lagSince: number | undefined;
  let unrootedSince: number | undefined;
  let lagLimitMs = minLagMs;

  const judgeLag = (beat: ParentHeartbeat, newest: Version, now: number): ParentVerdict => {
    if (!isNewer(newest, beat.headVersion)) {
      lagSince = undefined;
      lagLimitMs = minLagMs;
      return 'keep';
    }
    lagSince ??= now;
    if (now - lagSince < lagLimitMs) {
      return 'keep';
    }
    // If all parents lag, this node changes between them less and less often.
    lagLimitMs = Math.min(maxLagMs, 2 * lagLimitMs);
    return 'lags';
  };

  return {
    commands: {
      attached: () => {
        lastBeat = undefined;
        lagSince = undefined;
        unrootedSince = undefined;
      },
      evaluate: (beat, newest, now) => {
        lastBeat = beat;
        if (beat.path.includes(name) || beat.path.length > maxPathLength) {
          return 'cycle';
        }
        unrootedSince = beat.rootDataCentre === '' ? (unrootedSince ?? now) : undefined;
        return judgeLag(beat, newest, now);
      },
    },
    queries: {
      lastHeartbeat: () => lastBeat,
      searchReason: (now) => {
        if (!lastBeat) {
          return undefined;
        }
        const isUnrooted = unrootedSince !== undefined && now - unrootedSince >= unrootedMs;
        if (isUnrooted || lastBeat.confirmedAgeMs > staleParentMs) {
          return 'detached';
        }
        const isForeign = lastBeat.rootDataCentre !== '' && lastBeat.rootDataCentre !== dataCentre;
        return isForeign ? 'foreign' : undefined;
      },
    },
  };
};
