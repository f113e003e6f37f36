/**
 * Outcome reports of many processes, as held by a process of the distribution tree. The newest
 * report of each process and service replaces the earlier ones, because its counts are cumulative.
 * A report may thus arrive twice, late, or over several ways at once, as after a change of parent.
 * Counts of a process that has ended are kept until its rollout is over.
 */
import type { Rollout, VersionOutcomes } from '../../types/rollouts.js';
import { isCounted, type OutcomeReport } from './versionOutcomes.js';

/** Reports of a rollout that is not known here are dropped unless renewed within this time, in ms. */
export const unknownRolloutRetentionMs = 60_000;
/** Maximum number of reports, one per process and service, that are kept. */
export const maxReports = 8_192;

/** Reports that a receiver holds: the position of each, by its key. */
export type HeldReports = Map<string, string>;

export interface OutcomeTotals {
  readonly commands: {
    /** Merges reports. Returns the number of those that were dropped at the limit. */
    merge(reports: readonly OutcomeReport[], now: number): number;
    /** Drops the reports of rollouts that are superseded or have ended long ago. */
    prune(
      rolloutOf: (service: string) => Rollout | undefined,
      times: { readonly now: number; readonly wallNow: number },
    ): void;
  };
  readonly queries: {
    /** Reports that are newer than those which a receiver holds. */
    newerThan(held: ReadonlyMap<string, string>): readonly OutcomeReport[];
    /** Sums over all processes, since the start of the newest rollout of each service. */
    sums(rolloutOf: (service: string) => Rollout | undefined): readonly VersionOutcomes[];
    size(): number;
  };
}

interface Entry {
  readonly report: OutcomeReport;
  readonly calls: number;
  readonly receivedAt: number;
}

const keyOf = ({ reporter, service }: OutcomeReport): string => JSON.stringify([reporter, service]);

const sumCalls = ({ counts }: OutcomeReport): number =>
  counts.reduce((sum, { calls }) => sum + calls, 0);

const positionOf = (report: OutcomeReport): string =>
  `${report.rolloutStartedAtMs} ${sumCalls(report)}`;

/** Records that a receiver holds the reports: it acknowledged them, or sent them itself. */
export const markHeld = (held: HeldReports, reports: readonly OutcomeReport[]) => {
  reports.forEach((report) => held.set(keyOf(report), positionOf(report)));
};

/** Each counted attempt raises `calls`, so of two reports the one with more calls is newer. */
const isNewer = (report: OutcomeReport, calls: number, known: Entry): boolean =>
  report.rolloutStartedAtMs === known.report.rolloutStartedAtMs
    ? calls > known.calls
    : report.rolloutStartedAtMs > known.report.rolloutStartedAtMs;

export const createOutcomeTotals = (): OutcomeTotals => {
  const entries = new Map<string, Entry>();

  const merge = (reports: readonly OutcomeReport[], now: number): number => {
    let dropped = 0;
    reports.forEach((report) => {
      const key = keyOf(report);
      const known = entries.get(key);
      const calls = sumCalls(report);
      if (!known && entries.size >= maxReports) {
        dropped += 1;
      } else if (!known || isNewer(report, calls, known)) {
        entries.set(key, { report, calls, receivedAt: now });
      }
    });
    return dropped;
  };

  const sums: OutcomeTotals['queries']['sums'] = (rolloutOf) => {
    const found = new Map<
      string,
      { -readonly [Key in keyof VersionOutcomes]: VersionOutcomes[Key] }
    >();
    entries.forEach(({ report: { service, rolloutStartedAtMs, counts } }) => {
      if (rolloutOf(service)?.startedAtMs !== rolloutStartedAtMs) {
        return;
      }
      counts.forEach((count) => {
        const key = JSON.stringify([service, count.version, count.className]);
        const sum = found.get(key);
        if (!sum) {
          found.set(key, { service, ...count });
          return;
        }
        sum.calls += count.calls;
        sum.failures += count.failures;
        sum.totalMs += count.totalMs;
      });
    });
    return [...found.values()];
  };

  return {
    commands: {
      merge,
      prune: (rolloutOf, { now, wallNow }) => {
        const isKept = ({ report, receivedAt }: Entry): boolean => {
          const rollout = rolloutOf(report.service);
          // The configuration with a new rollout may arrive here after the first reports on it.
          if (!rollout || report.rolloutStartedAtMs > rollout.startedAtMs) {
            return now - receivedAt < unknownRolloutRetentionMs;
          }
          return report.rolloutStartedAtMs === rollout.startedAtMs && isCounted(rollout, wallNow);
        };
        [...entries].filter(([, entry]) => !isKept(entry)).forEach(([key]) => entries.delete(key));
      },
    },
    queries: {
      newerThan: (held) =>
        [...entries]
          .filter(([key, { report }]) => held.get(key) !== positionOf(report))
          .map(([, { report }]) => report),
      sums,
      size: () => entries.size,
    },
  };
};
