/**
 * Metrics of the path of a call.
 */
import type { FailureReason } from '../../utils/failure.js';
import { createLabelBound, type Metrics } from '../metrics.js';

/** Who made a call: a caller, or an upstream for a call that it works on. */
export type CallOrigin = 'caller' | 'upstream';

export interface CallMetrics {
  recordCall(className: string, result: FailureReason | 'ok', durationMs: number): void;
  recordRetry(className: string): void;
  recordRefusal(className: string, reason: FailureReason, origin: CallOrigin): void;
  /** A call was put off before its start, until connections were looked at once more. */
  recordStartDelay(delayMs: number): void;
  /** The caller has left before the answer; `wasRunning` if an attempt was under way. */
  recordLeft(wasRunning: boolean): void;
}

/** Registers the metrics of calls. */
export const createCallMetrics = (metrics: Metrics): CallMetrics => {
  const boundClass = createLabelBound();
  const calls = metrics.counter('auburnsill_calls_total', 'Calls by class and result.', [
    'class',
    'result',
  ]);
  const duration = metrics.latency(
    'auburnsill_call_duration_seconds',
    'Time from the head of a request to the end of its answer.',
    ['class'],
  );
  const retries = metrics.counter('auburnsill_retries_total', 'Attempts after the first.', [
    'class',
  ]);
  const refusals = metrics.counter(
    'auburnsill_refusals_total',
    'Calls that ended without an answer of an upstream, by reason and by who made them.',
    ['class', 'reason', 'origin'],
  );
  const startDelay = metrics.latency(
    'auburnsill_call_start_delay_seconds',
    'Time for which the start of a call is put off until connections were looked at once more.',
  );
  const left = metrics.counter(
    'auburnsill_callers_left_total',
    'Calls whose caller closed its connection before the answer, by how far they were.',
    ['stage'],
  );
  return {
    recordCall: (className, result, durationMs) => {
      const name = boundClass(className);
      calls.inc({ class: name, result });
      duration.observe({ class: name }, durationMs / 1_000);
    },
    recordRetry: (className) => retries.inc({ class: boundClass(className) }),
    recordRefusal: (className, reason, origin) =>
      refusals.inc({ class: boundClass(className), reason, origin }),
    recordStartDelay: (delayMs) => startDelay.observe(delayMs / 1_000),
    recordLeft: (wasRunning) => left.inc({ stage: wasRunning ? 'running' : 'not_started' }),
  };
};
