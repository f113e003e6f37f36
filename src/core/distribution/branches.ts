/**
 * The subtrees below a process, one branch per child, as described by the child's reports. A branch
 * has a single lease, which a report renews if its digest matches the branch's endpoints.
 */
import type { Endpoint, Version } from '../../types/public.js';
import { compareRecords, digestEndpoints } from './clusterLog.js';
import { equalBytes } from './delta.js';
import type { SubtreeStatus } from './subtreeStatus.js';
import type { Withdrawal } from './tombstones.js';
import { compareVersions } from '../agreement/version.js';

/** Lease of a branch: a branch that is not renewed within this time is removed. */
export const leaseMs = 10_000;
const maxEndpointsOfBranch = 10_000;

/** The part of a report that describes the child's subtree. */
export interface BranchReport {
  readonly status: SubtreeStatus;
  readonly announcements: readonly Endpoint[];
  readonly withdrawals: readonly Withdrawal[];
  readonly dropped: readonly string[];
  readonly digest: Uint8Array;
  readonly full: boolean;
}

interface Branch {
  endpoints: Map<string, Endpoint>;
  digest?: Uint8Array;
  expiresAt: number;
  status: SubtreeStatus;
}

export interface Branches {
  readonly commands: {
    /** Applies a report. Returns false if the child has to send a full report. */
    applyReport(child: string, report: BranchReport, now: number): boolean;
    /** Clears the status of a disconnected child; its endpoints stay until the lease ends. */
    detach(child: string): void;
    /** Removes endpoints that were withdrawn. */
    withdraw(withdrawals: readonly Withdrawal[]): void;
    /** Removes branches with an expired lease. Returns the children they belonged to. */
    expire(now: number): string[];
    /** Extends all leases, after this process itself was suspended. */
    extendLeases(ms: number): void;
  };
  readonly queries: {
    /** The newest record of each endpoint over all branches. */
    endpoints(): Map<string, Endpoint>;
    /** Statuses of all branches. One with a version older than `head` names the lagging nodes. */
    statuses(head: Version): SubtreeStatus[];
    /** Number of nodes in a branch. */
    countNodes(child: string): number;
  };
}

const emptyStatus: SubtreeStatus = { counts: [], laggards: [] };

const applyAnnouncements = (branch: Branch, report: BranchReport) => {
  if (report.full) {
    branch.endpoints = new Map();
  }
  report.announcements.slice(0, maxEndpointsOfBranch).forEach((endpoint) => {
    const existing = branch.endpoints.get(endpoint.id);
    if (!existing || compareRecords(endpoint, existing) > 0) {
      branch.endpoints.set(endpoint.id, endpoint);
    }
  });
  report.dropped.forEach((id) => branch.endpoints.delete(id));
  branch.digest = undefined;
};

const hasEndpointChanges = ({ full, announcements, dropped }: BranchReport): boolean =>
  full || announcements.length > 0 || dropped.length > 0;

const withdrawFrom = (branch: Branch, { id, incarnation, sequence }: Withdrawal) => {
  const existing = branch.endpoints.get(id);
  if (existing && compareRecords(existing, { incarnation, sequence }) <= 0) {
    branch.endpoints.delete(id);
    branch.digest = undefined;
  }
};

/**
 * Adds the child itself as a laggard if it reported an old version and named no laggards. A child
 * that stopped before it received a new version cannot report that it lags, so its parent does so
 * with the version that the child reported last.
 */
const addLaggingChild = (child: string, status: SubtreeStatus, head: Version): SubtreeStatus => {
  const behind = status.counts.find(({ version }) => compareVersions(version, head) < 0);
  if (!behind || status.laggards.length > 0) {
    return status;
  }
  const { version, dataCentre } = behind;
  const reason = 'has not reported the newer version';
  return { ...status, laggards: [{ name: child, dataCentre, version, reason }] };
};

export const createBranches = (): Branches => {
  const branches = new Map<string, Branch>();

  const applyReport: Branches['commands']['applyReport'] = (child, report, now) => {
    const branch = branches.get(child) ?? {
      endpoints: new Map<string, Endpoint>(),
      expiresAt: now + leaseMs,
      status: emptyStatus,
    };
    branches.set(child, branch);
    branch.status = report.status;
    if (hasEndpointChanges(report)) {
      applyAnnouncements(branch, report);
    }
    report.withdrawals.forEach((withdrawal) => withdrawFrom(branch, withdrawal));
    branch.digest ??= digestEndpoints(branch.endpoints.values());
    const renewed = equalBytes(branch.digest, report.digest);
    if (renewed) {
      branch.expiresAt = now + leaseMs;
    }
    return renewed;
  };

  const endpoints = (): Map<string, Endpoint> => {
    const merged = new Map<string, Endpoint>();
    for (const branch of branches.values()) {
      for (const endpoint of branch.endpoints.values()) {
        const existing = merged.get(endpoint.id);
        if (!existing || compareRecords(endpoint, existing) > 0) {
          merged.set(endpoint.id, endpoint);
        }
      }
    }
    return merged;
  };

  const expire = (now: number): string[] => {
    const expired = [...branches]
      .filter(([, { expiresAt }]) => expiresAt <= now)
      .map(([child]) => child);
    expired.forEach((child) => branches.delete(child));
    return expired;
  };

  return {
    commands: {
      applyReport,
      detach: (child) => {
        const branch = branches.get(child);
        if (branch) {
          branch.status = emptyStatus;
        }
      },
      withdraw: (withdrawals) => {
        branches.forEach((branch) => {
          withdrawals.forEach((withdrawal) => withdrawFrom(branch, withdrawal));
        });
      },
      expire,
      extendLeases: (ms) => {
        branches.forEach((branch) => {
          branch.expiresAt += ms;
        });
      },
    },
    queries: {
      endpoints,
      statuses: (head) =>
        [...branches].map(([child, { status }]) => addLaggingChild(child, status, head)),
      countNodes: (child) =>
        (branches.get(child)?.status.counts ?? []).reduce((sum, { nodes }) => sum + nodes, 0),
    },
  };
};
