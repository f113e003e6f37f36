/**
 * Reports of a process to its parent. A report contains the changes that the parent has not
 * acknowledged yet and the digest of all endpoints. A new parent receives a full report.
 */
import type { Endpoint } from '../../types/public.js';
import { compareRecords, digestEndpoints } from './clusterLog.js';
import type { NodeVersion } from './versionFloors.js';
import type { Withdrawal } from './tombstones.js';
import { compareVersions } from '../agreement/version.js';

/** State to report. */
export interface ReportedState {
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly withdrawals: readonly Withdrawal[];
  readonly nodeVersions: readonly NodeVersion[];
}

/** Difference between the current state and the state that the parent has acknowledged. */
export interface ReportedDifference {
  readonly announcements: Endpoint[];
  readonly withdrawals: Withdrawal[];
  readonly dropped: string[];
  readonly nodeVersions: NodeVersion[];
  readonly digest: Uint8Array;
  readonly full: boolean;
}

export interface UpwardReport {
  readonly commands: {
    /** Records that the parent acknowledged a report with this state. */
    acknowledge(state: ReportedState): void;
    /** Makes the next report a full one. */
    reset(): void;
  };
  readonly queries: {
    difference(state: ReportedState): ReportedDifference;
  };
}

const sameRecord = (a: Endpoint, b: Endpoint | undefined): boolean =>
  b !== undefined && (a === b || compareRecords(a, b) === 0);

export const createUpwardReport = (): UpwardReport => {
  let ackedEndpoints: ReadonlyMap<string, Endpoint> = new Map();
  let ackedWithdrawals = new Map<string, Withdrawal>();
  let ackedVersions = new Map<string, NodeVersion>();
  let full = true;
  let digest: { of: ReadonlyMap<string, Endpoint>; value: Uint8Array } | undefined;

  const digestOf = (of: ReadonlyMap<string, Endpoint>): Uint8Array => {
    if (digest?.of !== of) {
      digest = { of, value: digestEndpoints(of.values()) };
    }
    return digest.value;
  };

  const isNewWithdrawal = (withdrawal: Withdrawal): boolean => {
    const acked = ackedWithdrawals.get(withdrawal.id);
    return !acked || compareRecords(withdrawal, acked) > 0;
  };

  const isNewVersion = ({ name, version }: NodeVersion): boolean => {
    const acked = ackedVersions.get(name);
    return !acked || compareVersions(acked.version, version) !== 0;
  };

  return {
    commands: {
      acknowledge: (state) => {
        ackedEndpoints = state.endpoints;
        ackedWithdrawals = new Map(state.withdrawals.map((each) => [each.id, each]));
        ackedVersions = new Map(state.nodeVersions.map((each) => [each.name, each]));
        full = false;
      },
      reset: () => {
        ackedEndpoints = new Map();
        ackedWithdrawals = new Map();
        ackedVersions = new Map();
        full = true;
      },
    },
    queries: {
      difference: (state) => ({
        announcements: [...state.endpoints.values()].filter(
          (endpoint) => !sameRecord(endpoint, ackedEndpoints.get(endpoint.id)),
        ),
        withdrawals: state.withdrawals.filter(isNewWithdrawal),
        dropped: [...ackedEndpoints.keys()].filter((id) => !state.endpoints.has(id)),
        nodeVersions: state.nodeVersions.filter(isNewVersion),
        digest: digestOf(state.endpoints),
        full,
      }),
    },
  };
};
