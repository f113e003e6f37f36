/**
 * What a child reports about its subtree, and how the reports of several children are merged into
 * the one that goes further up.
 */
import type { Version } from '../types/public.js';
import type { FleetNode } from '../types/internal.js';
import { compareVersions, formatVersion } from './version.js';

/** Laggards that travel in one report. The counts stay exact beyond it. */
export const maxLaggards = 32;
/** Version counts that travel in one report; the oldest versions are added together beyond it. */
const maxCounts = 64;

export interface VersionCount {
  readonly version: Version;
  readonly dataCentre: string;
  readonly nodes: number;
}

/** Versions in force in a subtree. */
export interface SubtreeStatus {
  readonly counts: readonly VersionCount[];
  readonly laggards: readonly FleetNode[];
}

const sumCounts = (counts: readonly VersionCount[]): VersionCount[] => {
  const sums = new Map<string, VersionCount>();
  counts.forEach((count) => {
    const key = `${formatVersion(count.version)} ${count.dataCentre}`;
    const nodes = (sums.get(key)?.nodes ?? 0) + count.nodes;
    sums.set(key, { ...count, nodes });
  });
  return [...sums.values()];
};

const boundCounts = (counts: readonly VersionCount[]): VersionCount[] => {
  const sorted = [...counts].sort((a, b) => compareVersions(b.version, a.version));
  const last = sorted[maxCounts - 1];
  if (sorted.length <= maxCounts || !last) {
    return sorted;
  }
  const rest = sorted.slice(maxCounts - 1).map((count) => ({ ...count, version: last.version }));
  return sumCounts([...sorted.slice(0, maxCounts - 1), ...rest]);
};

/** Merges the statuses of a node and its children. */
export const mergeReports = (statuses: readonly SubtreeStatus[]): SubtreeStatus => ({
  counts: boundCounts(sumCounts(statuses.flatMap(({ counts }) => counts))),
  laggards: statuses
    .flatMap(({ laggards }) => laggards)
    .sort((a, b) => compareVersions(a.version, b.version))
    .slice(0, maxLaggards),
});

/** A status with the time since it was reported. */
export interface AgedStatus {
  readonly status: SubtreeStatus;
  readonly ageMs: number;
}

/**
 * Merges the statuses of several control instances. The last status of one that has gone silent
 * counts for data centres that no other one reports: nodes that moved to another control instance
 * are not counted twice, and a data centre that is cut off does not vanish.
 */
export const mergeAgedReports = (aged: readonly AgedStatus[], freshMs: number): SubtreeStatus => {
  const isFresh = ({ ageMs }: AgedStatus) => ageMs <= freshMs;
  const fresh = aged.filter(isFresh).map(({ status }) => status);
  const covered = new Set(
    fresh.flatMap(({ counts }) => counts).map(({ dataCentre }) => dataCentre),
  );
  const isUncovered = ({ dataCentre }: { readonly dataCentre: string }) => !covered.has(dataCentre);
  const stale = aged
    .filter((each) => !isFresh(each))
    .map(({ status }) => ({
      counts: status.counts.filter(isUncovered),
      laggards: status.laggards.filter(isUncovered),
    }));
  return mergeReports([...fresh, ...stale]);
};
