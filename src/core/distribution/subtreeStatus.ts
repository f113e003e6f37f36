/**
 * Status of a subtree as reported to the parent, and the merge of the statuses of several children
 * into one.
 */
import type { Version } from '../../types/public.js';
import type { LaggingNode } from '../../types/internal.js';
import { compareVersions, formatVersion } from '../agreement/version.js';

/** Maximum number of laggards in a report. The counts stay exact beyond it. */
export const maxLaggards = 32;
/** Maximum number of version counts in a report. Beyond it, the oldest versions are combined. */
const maxCounts = 64;

export interface VersionCount {
  readonly version: Version;
  readonly dataCentre: string;
  readonly nodes: number;
}

/** Versions in force in a subtree. */
export interface SubtreeStatus {
  readonly counts: readonly VersionCount[];
  readonly laggards: readonly LaggingNode[];
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
export const mergeStatuses = (statuses: readonly SubtreeStatus[]): SubtreeStatus => ({
  counts: boundCounts(sumCounts(statuses.flatMap(({ counts }) => counts))),
  laggards: statuses
    .flatMap(({ laggards }) => laggards)
    .sort((a, b) => compareVersions(a.version, b.version))
    .slice(0, maxLaggards),
});
