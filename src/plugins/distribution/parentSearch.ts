/**
 * Searches for a better parent while the current one is quiet, cut off from the source, or has its
 * root in another data centre. It probes a few processes and names the first that is better.
 */
import type { ParentChoice } from '../../core/distribution/parentChoice.js';
import {
  isFresh,
  type ParentHeartbeat,
  type SearchReason,
} from '../../core/distribution/parentHealth.js';
import { compareVersions } from '../../core/agreement/version.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { ProbeResult } from './feedClient.js';
import { readHeartbeat } from './feedMessages.js';

/** Mean time between searches for a control instance of the own data centre, before the factor. */
const searchPeriodMs = 3_000;
/** Mean time before the first search while the parent is cut off. It doubles with each search. */
const detachedSearchMs = 200;
/** With the probe timeout of 1 s, a recovered source can go unnoticed for 2 s. */
const maxDetachedSearchMs = 500;
/** Maximum factor by which a node searches less often than one at path length 1. */
const maxSearchFactor = 4;
/** Factor for `searchPeriodMs` while the root of the path is in another data centre. */
const foreignSearchFactor = 4;
const maxProbes = 3;

export interface ParentSearchOptions {
  readonly choice: ParentChoice;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  /** Why to search now; undefined if the current parent is good, or if there is none. */
  reason(): SearchReason | undefined;
  /** Length of the path from the control instance to this node. */
  pathLength(): number;
  /** Whether the node is not attached to the address and does not try it at the moment. */
  isUntried(address: string): boolean;
  isBetter(address: string, heartbeat: ParentHeartbeat): boolean;
  probe(address: string): Promise<ProbeResult | undefined>;
  /** Tries to attach to a better parent. */
  moveTo(address: string): Promise<void>;
}

export interface ParentSearch {
  /** Starts a search if one is due. Called several times a second. */
  check(): void;
  /** Forgets the planned search, after the parent changed. */
  reset(): void;
}

export const createParentSearch = (options: ParentSearchOptions): ParentSearch => {
  const { choice, timer, log, random, isBetter } = options;
  let isSearching = false;
  let nextSearchAt = 0;
  /** Reason for which the next search was planned. */
  let plannedFor: SearchReason | undefined;
  /** Number of searches since the parent was last good. */
  let searches = 0;

  const targets = (): string[] => {
    const { localControls, remoteControls, peers } = choice.queries;
    if (options.reason() === 'foreign') {
      return localControls().slice(0, maxProbes);
    }
    const pickOne = (addresses: string[]) =>
      addresses
        .filter(options.isUntried)
        .map((address) => ({ address, order: random() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, 1)
        .map(({ address }) => address);
    return [localControls(), remoteControls(), peers()].flatMap(pickOne);
  };

  const search = async () => {
    let isFound = false;
    const results = await Promise.all(
      targets().map(async (address) => {
        const result = await options.probe(address);
        const heartbeat = result && readHeartbeat(result.heartbeat);
        // The other targets may be unresponsive, and are not waited for.
        if (!isFound && heartbeat && isFresh(heartbeat) && isBetter(address, heartbeat)) {
          isFound = true;
          await options.moveTo(address);
        }
        return heartbeat && { address, heartbeat };
      }),
    );
    if (isFound) {
      return;
    }
    const better = results
      .filter((result) => result !== undefined)
      .filter(({ address, heartbeat }) => isBetter(address, heartbeat))
      .sort(
        ({ heartbeat: a }, { heartbeat: b }) =>
          compareVersions(b.headVersion, a.headVersion) || a.confirmedAgeMs - b.confirmedAgeMs,
      )[0];
    if (better) {
      await options.moveTo(better.address);
    }
  };

  // A node further down searches less often, since a new parent of a node above it helps both.
  const detachedDelayMs = (): number => {
    const factor = Math.min(maxSearchFactor, Math.max(1, options.pathLength() - 1));
    const periodMs = Math.min(maxDetachedSearchMs, detachedSearchMs * 2 ** Math.min(searches, 10));
    return periodMs * factor * (0.5 + random());
  };

  const delays: Record<SearchReason, () => number> = {
    // No node above can find a better parent for this one, so it does not wait for them.
    quiet: () => 0,
    detached: detachedDelayMs,
    foreign: () => searchPeriodMs * foreignSearchFactor * (0.5 + random()),
  };

  const start = () => {
    isSearching = true;
    searches += 1;
    search()
      .catch((error: unknown) => log.warn('search for a parent failed', { error: String(error) }))
      .finally(() => {
        isSearching = false;
      });
  };

  return {
    check: () => {
      const now = timer.now();
      const reason = options.reason();
      if (reason !== plannedFor) {
        // A search for a parent in the own data centre is planned too late for one that is cut off.
        plannedFor = reason;
        searches = 0;
        nextSearchAt = 0;
      }
      if (!reason || isSearching) {
        return;
      }
      if (nextSearchAt === 0) {
        nextSearchAt = now + delays[reason]();
        return;
      }
      if (now >= nextSearchAt) {
        nextSearchAt = now + delays[reason]();
        start();
      }
    },
    reset: () => {
      nextSearchAt = 0;
    },
  };
};
