/**
 * Metrics of the path of a call.
 */
import type { AdmissionRefusal } from '../../core/calls/admission.js';
import type { Distance } from '../../core/calls/routingTiers.js';
import type { FailureReason } from '../../utils/failure.js';
import { createLabelBound, type Metrics } from '../metrics.js';

/** Who made a call: a caller, or an upstream for a call that it works on. */
export type CallOrigin = 'caller' | 'upstream';

/** Why an endpoint is chosen for an attempt. */
export type AttemptKind = 'first' | 'retry' | 'reroute' | 'hedge';

/** Where the chosen endpoint is: beside the choosing node, or how far from it. */
export type EndpointProximity = 'own' | Distance;

export interface CallMetrics {
  recordCall(className: string, result: FailureReason | 'ok', durationMs: number): void;
  recordRetry(className: string): void;
  recordRefusal(className: string, reason: FailureReason, origin: CallOrigin): void;
  recordChoice(className: string, kind: AttemptKind, place: EndpointProximity): void;
  /** The admission beside the upstream refused a call that had `remainingMs` left. */
  recordGateRefusal(className: string, reason: AdmissionRefusal, remainingMs: number): void;
  /** A call that the upstream made for a running one was refused. */
  recordNestedRefusal(className: string, parentClass: string): void;
  /** The upstream answered a call with a failure; `refusedCalls` of its own calls were refused. */
  recordUpstreamFailure(className: string, refusedCalls: number): void;
  /** A call was put off before its start, until connections were looked at once more. */
  recordStartDelay(delayMs: number): void;
  /** The caller has left before the answer; `wasRunning` if an attempt was under way. */
  recordCallerDisconnect(wasRunning: boolean): void;
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
  const choices = metrics.counter(
    'auburnsill_choices_total',
    'Endpoints chosen for attempts, by the kind of attempt and by where the endpoint is.',
    ['class', 'attempt', 'place'],
  );
  const gateRefusals = metrics.counter(
    'auburnsill_gate_refusals_total',
    'Calls that the admission beside the upstream refused, by reason.',
    ['class', 'reason'],
  );
  const gateRemaining = metrics.latency(
    'auburnsill_gate_refusal_remaining_seconds',
    'Time until the deadline of calls that the admission beside the upstream refused.',
    ['class'],
  );
  const nestedRefusals = metrics.counter(
    'auburnsill_nested_refusals_total',
    'Refused calls that the upstream made for a running one, by the class of both.',
    ['class', 'parent_class'],
  );
  const upstreamFailures = metrics.counter(
    'auburnsill_upstream_failures_total',
    'Answers of the upstream from status 500, by whether one of its own calls was refused before.',
    ['class', 'own_call_refused'],
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
    recordChoice: (className, kind, place) =>
      choices.inc({ class: boundClass(className), attempt: kind, place }),
    recordGateRefusal: (className, reason, remainingMs) => {
      const name = boundClass(className);
      gateRefusals.inc({ class: name, reason });
      gateRemaining.observe({ class: name }, Math.max(0, remainingMs) / 1_000);
    },
    recordNestedRefusal: (className, parentClass) =>
      nestedRefusals.inc({ class: boundClass(className), parent_class: boundClass(parentClass) }),
    recordUpstreamFailure: (className, refusedCalls) =>
      upstreamFailures.inc({
        class: boundClass(className),
        own_call_refused: refusedCalls > 0 ? 'yes' : 'no',
      }),
    recordStartDelay: (delayMs) => startDelay.observe(delayMs / 1_000),
    recordCallerDisconnect: (wasRunning) =>
      left.inc({ stage: wasRunning ? 'running' : 'not_started' }),
  };
};
