/**
 * Conversion between the messages of outcome reports and the types of the core. An invalid report
 * is left out, so that it does not reject the endpoints and versions in the same message.
 */
import type { OutcomeReport as OutcomeReportMessage } from '../../gen/auburnsill/v1/feed_pb.js';
import {
  maxCountsOfService,
  type OutcomeCount,
  type OutcomeReport,
} from '../../core/rollouts/versionOutcomes.js';

const maxTextLength = 256;
/** Maximum number of outcome reports in one message; the others follow in the next one. */
export const maxReportsInMessage = 256;

const isText = (text: string): boolean => text.length <= maxTextLength;

const isTime = (value: number): boolean => Number.isFinite(value) && value >= 0;

const isCount = ({ version, className, calls, failures, totalMs }: OutcomeCount): boolean =>
  isText(version) &&
  isText(className) &&
  Number.isSafeInteger(calls) &&
  failures <= calls &&
  isTime(totalMs);

const isValid = ({ reporter, service, rolloutStartedAtMs, counts }: OutcomeReport): boolean =>
  reporter !== '' &&
  service !== '' &&
  isText(reporter) &&
  isText(service) &&
  isTime(rolloutStartedAtMs) &&
  counts.length <= maxCountsOfService &&
  counts.every(isCount);

export const readOutcomes = (messages: readonly OutcomeReportMessage[]): OutcomeReport[] =>
  messages
    .slice(0, maxReportsInMessage)
    .map(({ reporter, service, rolloutStartedAtMs, counts }) => ({
      reporter,
      service,
      rolloutStartedAtMs,
      counts: counts.map(({ version, className, calls, failures, totalMs }) => ({
        version,
        className,
        calls: Number(calls),
        failures: Number(failures),
        totalMs,
      })),
    }))
    .filter(isValid);

export const writeOutcome = ({ counts, ...report }: OutcomeReport) => ({
  ...report,
  counts: counts.map((count) => ({
    ...count,
    calls: BigInt(count.calls),
    failures: BigInt(count.failures),
  })),
});
