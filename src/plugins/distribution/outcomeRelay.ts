/**
 * Outcome reports on their way up the distribution tree and between control instances. A process
 * merges the reports that it receives and passes on those that a receiver does not hold yet. At each
 * level of the tree a report waits for `relayPeriodMs` at most, since the leader has to see an
 * outcome within 1.5 s.
 */
import { findRollout } from '../../core/rollouts/versionRouting.js';
import {
  createOutcomeTotals,
  markHeld,
  type HeldReports,
} from '../../core/rollouts/outcomeTotals.js';
import type { OutcomeReport, VersionOutcomeCounter } from '../../core/rollouts/versionOutcomes.js';
import type { OutcomeReport as OutcomeReportMessage } from '../../gen/auburnsill/v1/feed_pb.js';
import type { Configuration } from '../../types/public.js';
import type { VersionOutcomes } from '../../types/rollouts.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { FeedMetrics } from './feedMetrics.js';
import { maxReportsInMessage, readOutcomes, writeOutcome } from './outcomeMessages.js';

/**
 * With the 100 ms in which a link combines changes, three levels of nodes and the hop between two
 * control instances take 4 x 300 ms.
 */
export const relayPeriodMs = 200;
/** A full store is logged this often at most, in ms. */
const logPeriodMs = 60_000;

export interface OutcomeRelayOptions {
  readonly configuration: () => Configuration | undefined;
  /** Counts of this process itself, if it sends calls. */
  readonly counter?: VersionOutcomeCounter;
  readonly timer: Timer;
  readonly log: Log;
  readonly metrics?: Pick<FeedMetrics, 'outcomes'>;
}

/** The reports for one receiver. */
export interface OutcomeReceiver {
  /** The next reports to send, as messages. `acknowledge` is called once they have arrived. */
  next(): { readonly outcomes: ReturnType<typeof writeOutcome>[]; acknowledge(): void };
  hasNext(): boolean;
  /** Records that the receiver sent these reports itself. */
  markSent(reports: readonly OutcomeReport[]): void;
}

export interface OutcomeRelay {
  /** Merges the reports of a message, and returns them. */
  receive(messages: readonly OutcomeReportMessage[]): readonly OutcomeReport[];
  /** Adds the counts of this process and drops those of past rollouts. */
  update(): void;
  createReceiver(): OutcomeReceiver;
  /** Sums over the fleet since the start of the newest rollout of each service. */
  sums(): readonly VersionOutcomes[];
}

export const createOutcomeRelay = (options: OutcomeRelayOptions): OutcomeRelay => {
  const { counter, timer, metrics } = options;
  const log = options.log.part('rollout');
  const totals = createOutcomeTotals();
  let loggedAt = -Infinity;

  const rolloutOf = (service: string) => findRollout(options.configuration(), service);

  const merge = (reports: readonly OutcomeReport[]) => {
    const now = timer.now();
    const dropped = totals.commands.merge(reports, now);
    if (reports.length > 0) {
      metrics?.outcomes(totals.queries.size(), dropped);
    }
    if (dropped > 0 && now - loggedAt >= logPeriodMs) {
      loggedAt = now;
      log.warn('outcome reports dropped: too many processes', { dropped });
    }
  };

  const createReceiver = (): OutcomeReceiver => {
    const held: HeldReports = new Map();
    const newReports = () => {
      // Between rollouts, the ids of processes that have ended are forgotten.
      if (totals.queries.size() === 0) {
        held.clear();
      }
      return totals.queries.newerThan(held);
    };
    return {
      next: () => {
        const reports = newReports().slice(0, maxReportsInMessage);
        return {
          outcomes: reports.map(writeOutcome),
          acknowledge: () => markHeld(held, reports),
        };
      },
      hasNext: () => newReports().length > 0,
      markSent: (reports) => markHeld(held, reports),
    };
  };

  return {
    receive: (messages) => {
      const reports = readOutcomes(messages);
      if (reports.length < messages.length) {
        log.debug('invalid outcome reports ignored', { count: messages.length - reports.length });
      }
      merge(reports);
      return reports;
    },
    update: () => {
      const own = counter?.queries.reports() ?? [];
      // Most of the time there is no rollout.
      if (own.length === 0 && totals.queries.size() === 0) {
        return;
      }
      const wallNow = timer.wallClock();
      counter?.commands.prune(rolloutOf, wallNow);
      merge(own);
      totals.commands.prune(rolloutOf, { now: timer.now(), wallNow });
      metrics?.outcomes(totals.queries.size(), 0);
    },
    createReceiver,
    sums: () => totals.queries.sums(rolloutOf),
  };
};
