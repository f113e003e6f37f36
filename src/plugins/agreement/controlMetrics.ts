/**
 * Metrics of a control instance: state of its replica groups, disk sync times and convergence
 * times.
 */
import type { ReplicaStatus } from '../../core/agreement/consensus.js';
import type { ReplicaRole } from '../../types/internal.js';
import type { Metrics } from '../metrics.js';

const roles: readonly ReplicaRole[] = ['leader', 'follower', 'candidate', 'learner'];

export interface ObservedGroup {
  readonly name: string;
  readonly status: () => ReplicaStatus;
  readonly confirmedAgeMs: () => number;
}

export interface ControlMetrics {
  observeSyncMs(group: string, ms: number): void;
  observeConvergenceMs(ms: number): void;
  /** Updates the gauges from the groups. Called before each scrape is rendered. */
  update(groups: readonly ObservedGroup[]): void;
}

/** Registers the metrics of a control instance with those of the process. */
export const createControlMetrics = (metrics: Metrics): ControlMetrics => {
  const labels = ['group'] as const;
  const gauge = (name: string, help: string) =>
    metrics.gauge(`auburnsill_control_${name}`, help, labels);
  const term = gauge('term', 'Current term of the replica group.');
  const commit = gauge('commit_index', 'Highest committed log index.');
  const applied = gauge('applied_index', 'Highest applied log index.');
  const last = gauge('last_index', 'Last log index.');
  const snapshot = gauge('snapshot_index', 'Log index of the newest snapshot.');
  const voters = gauge('voters', 'Voting members of the replica group.');
  const intact = gauge('intact_voters', 'Voters whose data folders are not known to be lost.');
  const age = gauge('confirmed_age_seconds', 'Time since a quorum last confirmed the leader.');
  const role = metrics.gauge(
    'auburnsill_control_role',
    '1 for the role that this instance has in the replica group.',
    ['group', 'role'] as const,
  );
  const syncTime = metrics.latency(
    'auburnsill_control_sync_seconds',
    'Time of one sync of the log.',
    labels,
  );
  const convergence = metrics.latency(
    'auburnsill_control_convergence_seconds',
    'Time from acceptance until all known proxies have the configuration in force.',
  );

  const updateGroup = ({ name, status, confirmedAgeMs }: ObservedGroup) => {
    const current = status();
    term.set({ group: name }, current.term);
    commit.set({ group: name }, current.commitIndex);
    applied.set({ group: name }, current.appliedIndex);
    last.set({ group: name }, current.lastIndex);
    snapshot.set({ group: name }, current.snapshotIndex);
    voters.set({ group: name }, current.members.filter(({ kind }) => kind === 'voter').length);
    intact.set({ group: name }, current.intactVoters);
    age.set({ group: name }, confirmedAgeMs() / 1_000);
    roles.forEach((candidate) =>
      role.set({ group: name, role: candidate }, Number(candidate === current.role)),
    );
  };

  return {
    observeSyncMs: (group, ms) => syncTime.observe({ group }, ms / 1_000),
    observeConvergenceMs: (ms) => convergence.observe(ms / 1_000),
    update: (groups) => groups.forEach(updateGroup),
  };
};
