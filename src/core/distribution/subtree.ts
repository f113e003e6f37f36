/**
 * A process and everything below it in the fan-out tree: own endpoints, the branches of the
 * children, withdrawals and versions in force. This is what a process reports to its parent.
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
    /** Applies a child's report. Returns false if the child has to report in full. */
    applyReport(
      child: string,
      report: BranchReport,
      nodeVersions: readonly NodeVersion[],
      now: number,
    ): boolean;
    /** Takes withdrawals that others heard of. Returns false if all of them were known. */
    addWithdrawals(withdrawals: readonly Withdrawal[], now: number): boolean;
    detach(child: string): void;
    /** Records the version that this process itself has in force. */
    recordOwnVersion(nodeVersion: NodeVersion, now: number): void;
    /** Ends leases that are due; called about once a second. */
    tick(now: number): void;
  };
  readonly queries: {
    state(): ReportedState;
    /** Status of the subtree; processes with an older version than `head` are named in it. */
    status(own: SubtreeStatus, head: Version): SubtreeStatus;
    isWithdrawn(endpoint: Endpoint): boolean;
    /** Withdrawals that became known lately. */
    recentWithdrawals(now: number): Withdrawal[];
    countNodes(child: string): number;
  };
  /** Floors of this process's own subtree and of its siblings. */
  readonly floors: VersionFloors;
  /** Calls the listener when the endpoints or withdrawals have changed. */
  onChange(listener: () => void): void;
}

const isEndpointChange = ({ announcements, withdrawals, dropped, full }: BranchReport): boolean =>
  full || announcements.length + withdrawals.length + dropped.length > 0;

export const createSubtree = (startedAt: number): Subtree => {
  const branches = createBranches();
  const tombstones = createTombstones();
  const floors = createVersionFloors();
  const reported = createVersionFloors();
  const own = new Map<string, Endpoint>();
  const listeners: (() => void)[] = [];
  let endpoints: ReadonlyMap<string, Endpoint> | undefined;
  let tickedAt = startedAt;

  const changed = () => {
    endpoints = undefined;
    listeners.forEach((listener) => listener());
  };

  const mergeEndpoints = (): ReadonlyMap<string, Endpoint> => {
    const merged = branches.queries.endpoints();
    own.forEach((endpoint, id) => merged.set(id, endpoint));
    return new Map([...merged].filter(([, endpoint]) => !tombstones.queries.covers(endpoint)));
  };

  const expireWithdrawals = (now: number) => {
    if (tombstones.commands.expire(now)) {
      endpoints = undefined;
    }
  };

  const announce = (endpoint: Endpoint, now: number) => {
    expireWithdrawals(now);
    const held = own.get(endpoint.id);
    const isOlder = held !== undefined && compareRecords(endpoint, held) < 0;
    if (isOlder || tombstones.queries.covers(endpoint)) {
      return;
    }
    own.set(endpoint.id, endpoint);
    changed();
  };

  const applyWithdrawals = (withdrawals: readonly Withdrawal[], now: number): boolean => {
    const added = withdrawals.filter((each) => tombstones.commands.add(each, now));
    branches.commands.withdraw(added);
    return added.length > 0;
  };

  const takeWithdrawals = (withdrawals: readonly Withdrawal[], now: number): boolean => {
    const isNews = applyWithdrawals(withdrawals, now);
    if (isNews) {
      changed();
    }
    return isNews;
  };

  const withdraw = (endpointId: string, now: number) => {
    const held = own.get(endpointId);
    if (!held) {
      return;
    }
    own.delete(endpointId);
    // The sequence of the withdrawn record, so that the next announcement is newer.
    const { incarnation, sequence } = held;
    applyWithdrawals([{ id: endpointId, incarnation, sequence }], now);
    changed();
  };

  const recordVersion = (nodeVersion: NodeVersion, now: number) => {
    floors.commands.record(nodeVersion, now);
    reported.commands.record(nodeVersion, now);
  };

  const applyReport: Subtree['commands']['applyReport'] = (child, report, nodeVersions, now) => {
    const known = branches.commands.applyReport(child, report, now);
    expireWithdrawals(now);
    applyWithdrawals(report.withdrawals, now);
    nodeVersions.forEach((nodeVersion) => recordVersion(nodeVersion, now));
    floors.commands.renew(child, now);
    if (isEndpointChange(report)) {
      changed();
    }
    return known;
  };

  const tick = (now: number) => {
    const pauseMs = now - tickedAt;
    tickedAt = now;
    // Children could not renew their leases while this process was suspended.
    if (pauseMs > suspensionMs) {
      branches.commands.extendLeases(pauseMs);
    }
    const isUncovered = tombstones.commands.expire(now);
    floors.commands.expire(now);
    reported.commands.expire(now);
    if (branches.commands.expire(now).length > 0 || isUncovered) {
      changed();
    }
  };

  return {
    commands: {
      announce,
      withdraw,
      applyReport,
      addWithdrawals: takeWithdrawals,
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
          nodeVersions: reported.queries.list(),
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
