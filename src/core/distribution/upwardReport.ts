/**
 * What a process reports to its parent: only what the parent has not answered yet, and the digest
 * of the whole. A new parent gets everything.
 */
import type { Endpoint } from '../../types/public.js';
import { compareRecords, digestEndpoints } from './clusterLog.js';
import type { NodeVersion } from './versionFloors.js';
import type { Withdrawal } from './tombstones.js';
import { compareVersions } from '../agreement/version.js';

/** State that is to be reported. */
export interface ReportedState {
  readonly endpoints: ReadonlyMap<string, Endpoint>;
  readonly withdrawals: readonly Withdrawal[];
  readonly nodeVersions: readonly NodeVersion[];
}

/** The difference to what the parent has answered. */
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
    /** Records that the parent answered a report with this state. */
    acknowledge(state: ReportedState): void;
    /** The next report is full. */
    reset(): void;
  };
  readonly queries: {
    difference(state: ReportedState): ReportedDifference;
  };
}

const sameRecord = (a: Endpoint, b: Endpoint | undefined): boolean =>
  b !== undefined && (a === b || compareRecords(a, b) === 0);

export const createUpwardReport = (): UpwardReport => {
  let endpoints: ReadonlyMap<string, Endpoint> = new Map();
  let withdrawals = new Map<string, Withdrawal>();
  let versions = new Map<string, NodeVersion>();
  let full = true;
  let digest: { of: ReadonlyMap<string, Endpoint>; value: Uint8Array } | undefined;

  const digestOf = (of: ReadonlyMap<string, Endpoint>): Uint8Array => {
    if (digest?.of !== of) {
      digest = { of, value: digestEndpoints(of.values()) };
    }
    return digest.value;
  };

  const isNewWithdrawal = (withdrawal: Withdrawal): boolean => {
    const sent = withdrawals.get(withdrawal.id);
    return !sent || compareRecords(withdrawal, sent) > 0;
  };

  const isNewVersion = ({ name, version }: NodeVersion): boolean => {
    const sent = versions.get(name);
    return !sent || compareVersions(sent.version, version) !== 0;
  };

  return {
    commands: {
      acknowledge: (state) => {
        endpoints = state.endpoints;
        withdrawals = new Map(state.withdrawals.map((each) => [each.id, each]));
        versions = new Map(state.nodeVersions.map((each) => [each.name, each]));
        full = false;
      },
      reset: () => {
        endpoints = new Map();
        withdrawals = new Map();
        versions = new Map();
        full = true;
      },
    },
    queries: {
      difference: (state) => ({
        announcements: [...state.endpoints.values()].filter(
          (endpoint) => !sameRecord(endpoint, endpoints.get(endpoint.id)),
        ),
        withdrawals: state.withdrawals.filter(isNewWithdrawal),
        dropped: [...endpoints.keys()].filter((id) => !state.endpoints.has(id)),
        nodeVersions: state.nodeVersions.filter(isNewVersion),
        digest: digestOf(state.endpoints),
        full,
      }),
    },
  };
};
