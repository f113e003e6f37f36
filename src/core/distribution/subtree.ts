/**
 * A process and everything below it in the fan-out tree: its own endpoints, the branches of its
 * children, withdrawals and versions in force. A process reports this state to its parent.
 */
import type { Endpoint, Version } from '../../types/public.js';
import { compareRecords } from './clusterLog.js';
import { createBranches, type BranchReport } from './branches.js';
import { createVersionFloors, type VersionFloors, type NodeVersion } from './versionFloors.js';
import { mergeStatuses, type SubtreeStatus } from './subtreeStatus.js';
import { createTombstones, type Withdrawal } from './tombstones.js';
import type { ReportedState } from './upwardReport.js';

/** A longer pause between two ticks means that this process was suspended. */
const suspensionMs = 5_000;

export interface Subtree {
  readonly commands: {
    announce(endpoint: Endpoint, now: number): void;
    withdraw(endpointId: string, now: number): void;
    /** Applies a child's report. Returns false if the child has to send a full report. */
    applyReport(
      child: string,
      report: BranchReport,
      nodeVersions: readonly NodeVersion[],
      now: number,
    ): boolean;
    /** Adds withdrawals that others reported. Returns false if all of them were known. */
    addWithdrawals(withdrawals: readonly Withdrawal[], now: number): boolean;
    detach(child: string): void;
    /** Records the version that this process itself has in force. */
    recordOwnVersion(nodeVersion: NodeVersion, now: number): void;
    /** Removes expired leases, withdrawals and floors. Called twice a second. */
    tick(now: number): void;
  };
  readonly queries: {
    state(): ReportedState;
    /** Status of the subtree, which names processes with a version older than `head`. */
    status(own: SubtreeStatus, head: Version): SubtreeStatus;
    isWithdrawn(endpoint: Endpoint): boolean;
    /** Withdrawals that became known within `recentWithdrawalMs`. */
    recentWithdrawals(now: number): Withdrawal[];
    /** Number of nodes in the subtree of a child. */
    countNodes(child: string): number;
  };
  /** Floors of this process's own subtree and of its siblings. */
  readonly floors: VersionFloors;
  /** Registers a listener for changes of the endpoints or withdrawals. */
  onChange(listener: () => void): void;
}

const isEndpointChange = ({ announcements, withdrawals, dropped, full }: BranchReport): boolean =>
  full || announcements.length + withdrawals.length + dropped.length > 0;

export const createSubtree = (startedAt: number): Subtree => {
  const branches = createBranches();
  const tombstones = createTombstones();
  const floors = createVersionFloors();
  const reportedVersions = createVersionFloors();
  const ownEndpoints = new Map<string, Endpoint>();
  const listeners: (() => void)[] = [];
  let endpoints: ReadonlyMap<string, Endpoint> | undefined;
  let lastTickAt = startedAt;

  const notifyChange = () => {
    endpoints = undefined;
    listeners.forEach((listener) => listener());
  };

  const mergeEndpoints = (): ReadonlyMap<string, Endpoint> => {
    const merged = branches.queries.endpoints();
    ownEndpoints.forEach((endpoint, id) => merged.set(id, endpoint));
    return new Map([...merged].filter(([, endpoint]) => !tombstones.queries.covers(endpoint)));
  };

  const expireWithdrawals = (now: number) => {
    if (tombstones.commands.expire(now)) {
      endpoints = undefined;
    }
  };

  const announce = (endpoint: Endpoint, now: number) => {
    expireWithdrawals(now);
    const existing = ownEndpoints.get(endpoint.id);
    const isOlder = existing !== undefined && compareRecords(endpoint, existing) < 0;
    if (isOlder || tombstones.queries.covers(endpoint)) {
      return;
    }
    ownEndpoints.set(endpoint.id, endpoint);
    notifyChange();
  };

  const applyWithdrawals = (withdrawals: readonly Withdrawal[], now: number): boolean => {
    const added = withdrawals.filter((each) => tombstones.commands.add(each, now));
    branches.commands.withdraw(added);
    return added.length > 0;
  };

  const addWithdrawals = (withdrawals: readonly Withdrawal[], now: number): boolean => {
    const hasNew = applyWithdrawals(withdrawals, now);
    if (hasNew) {
      notifyChange();
    }
    return hasNew;
  };

  const withdraw = (endpointId: string, now: number) => {
    const existing = ownEndpoints.get(endpointId);
    if (!existing) {
      return;
    }
    ownEndpoints.delete(endpointId);
    // Uses the sequence of the withdrawn record, so that the next announcement is newer.
    const { incarnation, sequence } = existing;
    applyWithdrawals([{ id: endpointId, incarnation, sequence }], now);
    notifyChange();
  };

  const recordVersion = (nodeVersion: NodeVersion, now: number) => {
    floors.commands.record(nodeVersion, now);
    reportedVersions.commands.record(nodeVersion, now);
  };

  const applyReport: Subtree['commands']['applyReport'] = (child, report, nodeVersions, now) => {
    const isInSync = branches.commands.applyReport(child, report, now);
    expireWithdrawals(now);
    applyWithdrawals(report.withdrawals, now);
    nodeVersions.forEach((nodeVersion) => recordVersion(nodeVersion, now));
    floors.commands.renew(child, now);
    if (isEndpointChange(report)) {
      notifyChange();
    }
    return isInSync;
  };

  const tick = (now: number) => {
    const pauseMs = now - lastTickAt;
    lastTickAt = now;
    // Children were unable to renew their leases while this process was suspended.
    if (pauseMs > suspensionMs) {
      branches.commands.extendLeases(pauseMs);
    }
    const isUncovered = tombstones.commands.expire(now);
    floors.commands.expire(now);
    reportedVersions.commands.expire(now);
    if (branches.commands.expire(now).length > 0 || isUncovered) {
      notifyChange();
    }
  };

  return {
    commands: {
      announce,
      withdraw,
      applyReport,
      addWithdrawals,
      detach: branches.commands.detach,
      recordOwnVersion: recordVersion,
      tick,
    },
    queries: {
      state: () => {
        endpoints ??= mergeEndpoints();
        return {
          endpoints,
          withdrawals: tombstones.queries.list(),
          nodeVersions: reportedVersions.queries.list(),
        };
      },
      status: (ownStatus, head) => mergeStatuses([ownStatus, ...branches.queries.statuses(head)]),
      isWithdrawn: tombstones.queries.covers,
      recentWithdrawals: tombstones.queries.recent,
      countNodes: branches.queries.countNodes,
    },
    floors,
    onChange: (listener) => {
      listeners.push(listener);
    },
  };
};
