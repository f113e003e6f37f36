/**
 * The subtrees below a process, one branch for each child, as its reports describe them. A branch
 * has one lease, renewed by each report with the right digest of the branch's endpoints.
 */
import type { Endpoint, Version } from '../../types/public.js';
import { compareRecords, digestEndpoints } from './clusterLog.js';
import { equalBytes } from './delta.js';
import type { SubtreeStatus } from './subtreeStatus.js';
import type { Withdrawal } from './tombstones.js';
import { compareVersions } from '../agreement/version.js';

/** Lease of a branch: endpoints that are not renewed within it are gone. */
export const leaseMs = 10_000;
const maxEndpointsOfBranch = 10_000;

/** The part of a report that concerns the child's subtree. */
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
  until: number;
  status: SubtreeStatus;
}

export interface Branches {
  readonly commands: {
    /** Applies a report. Returns false if the child has to report in full. */
    applyReport(child: string, report: BranchReport, now: number): boolean;
    /** Forgets the versions of a child that has gone; its endpoints stay until the lease ends. */
    detach(child: string): void;
    /** Removes endpoints that were withdrawn. */
    withdraw(withdrawals: readonly Withdrawal[]): void;
    /** Ends the leases that are due. Returns the children whose lease ended. */
    expire(now: number): string[];
    /** Moves all leases, after this process itself was suspended. */
    extendLeases(ms: number): void;
  };
  readonly queries: {
    /** The newest record of each endpoint of all branches. */
    endpoints(): Map<string, Endpoint>;
    /** Statuses of all branches. Those with an older version than `head` name who is behind. */
    statuses(head: Version): SubtreeStatus[];
    /** Nodes in a branch. */
    countNodes(child: string): number;
  };
}

const emptyStatus: SubtreeStatus = { counts: [], laggards: [] };

const applyAnnouncements = (branch: Branch, report: BranchReport) => {
  if (report.full) {
    branch.endpoints = new Map();
  }
  report.announcements.slice(0, maxEndpointsOfBranch).forEach((endpoint) => {
    const held = branch.endpoints.get(endpoint.id);
    if (!held || compareRecords(endpoint, held) > 0) {
      branch.endpoints.set(endpoint.id, endpoint);
    }
  });
  report.dropped.forEach((id) => branch.endpoints.delete(id));
  branch.digest = undefined;
};

const isChange = ({ full, announcements, dropped }: BranchReport): boolean =>
  full || announcements.length > 0 || dropped.length > 0;

const withdrawFrom = (branch: Branch, { id, incarnation, sequence }: Withdrawal) => {
  const held = branch.endpoints.get(id);
  if (held && compareRecords(held, { incarnation, sequence }) <= 0) {
    branch.endpoints.delete(id);
    branch.digest = undefined;
  }
};

/**
 * A child that stopped before it heard of a new version reports nothing about it: it is named by
 * its parent, which knows the version that the child reported last.
 */
const nameLaggard = (child: string, status: SubtreeStatus, head: Version): SubtreeStatus => {
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
      until: now + leaseMs,
      status: emptyStatus,
    };
    branches.set(child, branch);
    branch.status = report.status;
    if (isChange(report)) {
      applyAnnouncements(branch, report);
    }
    report.withdrawals.forEach((withdrawal) => withdrawFrom(branch, withdrawal));
    branch.digest ??= digestEndpoints(branch.endpoints.values());
    const renewed = equalBytes(branch.digest, report.digest);
    if (renewed) {
      branch.until = now + leaseMs;
    }
    return renewed;
  };

  const endpoints = (): Map<string, Endpoint> => {
    const merged = new Map<string, Endpoint>();
    for (const branch of branches.values()) {
      for (const endpoint of branch.endpoints.values()) {
        const held = merged.get(endpoint.id);
        if (!held || compareRecords(endpoint, held) > 0) {
          merged.set(endpoint.id, endpoint);
        }
      }
    }
    return merged;
  };

  const expire = (now: number): string[] => {
    const ended = [...branches].filter(([, { until }]) => until <= now).map(([child]) => child);
    ended.forEach((child) => branches.delete(child));
    return ended;
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
          branch.until += ms;
        });
      },
    },
    queries: {
      endpoints,
      statuses: (head) =>
        [...branches].map(([child, { status }]) => nameLaggard(child, status, head)),
      countNodes: (child) =>
        (branches.get(child)?.status.counts ?? []).reduce((sum, { nodes }) => sum + nodes, 0),
    },
  };
};
