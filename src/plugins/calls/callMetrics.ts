/**
 * Metrics of calls: results, durations, retries, refusals and endpoint choices.
 */
import type { AdmissionRefusal } from '../../core/calls/admission.js';
import type { Distance } from '../../core/calls/routingTiers.js';
import type { CallOutcome } from '../../core/operators/burn.js';
import type { LoadTotals } from '../../core/calls/loadTotals.js';
import type { AttemptFailureReport } from '../../types/calls.js';
import type { FailureReason } from '../../utils/failure.js';
import { createLabelLimiter, type Metrics } from '../metrics.js';

/** Who made a call: a caller, or an upstream on behalf of a call that it is processing. */
export type CallOrigin = 'caller' | 'upstream';

/** Why an endpoint was chosen for an attempt. */
export type AttemptKind = 'first' | 'retry' | 'reroute' | 'hedge';

/** Where the chosen endpoint is: at the choosing node, or at which distance from it. */
export type EndpointProximity = 'own' | Distance;

/**
 * What a call used its slot of the upstream for. `starved`: it failed after a call that the upstream
 * made for it was refused for lack of capacity.
 */
export type SlotResult = 'answered' | 'failed' | 'starved' | 'refused' | 'cancelled';

export interface CallMetrics {
  recordCall(
    className: string,
    result: FailureReason | 'ok',
    durationMs: number,
    outcome: CallOutcome,
  ): void;
  recordRetry(className: string): void;
  recordRefusal(className: string, failure: AttemptFailureReport, origin: CallOrigin): void;
  /**
   * A call has left its slot of the upstream. `bodyMs` is the part of the time after the head of the
   * response.
   */
  recordSlotUse(className: string, result: SlotResult, durationMs: number, bodyMs?: number): void;
  /** The upstream reported `running` calls while `inFlight` of them held a slot here. */
  recordReportedLoad(running: number, inFlight: number): void;
  recordChoice(className: string, kind: AttemptKind, proximity: EndpointProximity): void;
  /** The admission beside the upstream refused a call with `remainingMs` left to its deadline. */
  recordGateRefusal(className: string, reason: AdmissionRefusal, remainingMs: number): void;
  /** A call that the upstream made on behalf of a running one was refused. */
  recordNestedRefusal(className: string, parentClass: string): void;
  /** A call that the upstream made for a running one waited longer than the limit of its class. */
  recordNestedDelay(className: string, parentClass: string): void;
  /** The upstream failed a call; `refusedCalls` of the calls that it made for it were refused. */
  recordUpstreamFailure(className: string, refusedCalls: number): void;
  /** The start of a call was deferred until the connections had been polled again. */
  recordStartDelay(delayMs: number): void;
  /** The caller disconnected before the response; `wasRunning` if an attempt was under way. */
  recordCallerDisconnect(wasRunning: boolean): void;
}

/** Registers the metrics of calls; `totals` are counted beside them for the log. */
export const createCallMetrics = (metrics: Metrics, totals?: LoadTotals): CallMetrics => {
  const limitClassLabel = createLabelLimiter();
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
    'Calls that ended without an answer of an upstream, by reason, by who made them and by where.',
    ['class', 'reason', 'origin', 'stage'],
  );
  const slotTime = metrics.latency(
    'auburnsill_slot_use_seconds',
    'Time for which calls occupied a slot of the upstream, by what became of them.',
    ['class', 'result'],
  );
  const slotBodyTime = metrics.latency(
    'auburnsill_slot_body_seconds',
    'Part of the time in a slot of the upstream that follows the head of the response.',
    ['class'],
  );
  const unreportedCalls = metrics.gauge(
    'auburnsill_unreported_calls',
    'Calls that held a slot here at the last load report of the upstream, beyond those in it.',
  );
  const endpointChoices = metrics.counter(
    'auburnsill_choices_total',
    'Endpoints chosen for attempts, by the kind of attempt and by where the endpoint is.',
    ['class', 'attempt', 'place'],
  );
  const admissionRefusals = metrics.counter(
    'auburnsill_gate_refusals_total',
    'Calls that the admission beside the upstream refused, by reason.',
    ['class', 'reason'],
  );
  const admissionRefusalRemaining = metrics.latency(
    'auburnsill_gate_refusal_remaining_seconds',
    'Time until the deadline of calls that the admission beside the upstream refused.',
    ['class'],
  );
  const nestedRefusals = metrics.counter(
    'auburnsill_nested_refusals_total',
    'Refused calls that the upstream made for a running one, by the class of both.',
    ['class', 'parent_class'],
  );
  const nestedDelays = metrics.counter(
    'auburnsill_nested_delays_total',
    'Answered calls that the upstream made for a running one and that waited too long.',
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
  const callerDisconnects = metrics.counter(
    'auburnsill_callers_left_total',
    'Calls whose caller closed its connection before the answer, by how far they were.',
    ['stage'],
  );
  return {
    recordCall: (className, result, durationMs, outcome) => {
      const name = limitClassLabel(className);
      calls.inc({ class: name, result });
      duration.observe({ class: name }, durationMs / 1_000);
      totals?.commands.add(name, 'calls');
      if (outcome === 'good' || outcome === 'late' || outcome === 'failed') {
        totals?.commands.add(name, outcome);
      }
    },
    recordRetry: (className) => retries.inc({ class: limitClassLabel(className) }),
    recordRefusal: (className, { reason, stage }, origin) => {
      const name = limitClassLabel(className);
      refusals.inc({ class: name, reason, origin, stage: stage ?? 'other' });
      totals?.commands.add(name, stage ? `refused_${stage}` : 'refused_other');
    },
    recordSlotUse: (className, result, durationMs, bodyMs = 0) => {
      const name = limitClassLabel(className);
      slotTime.observe({ class: name, result }, durationMs / 1_000);
      slotBodyTime.observe({ class: name }, bodyMs / 1_000);
      totals?.commands.add(name, 'slot_ms', durationMs);
      totals?.commands.add(name, 'slot_body_ms', bodyMs);
      if (result === 'starved') {
        totals?.commands.add(name, 'starved_runs');
        totals?.commands.add(name, 'starved_slot_ms', durationMs);
      }
    },
    recordReportedLoad: (running, inFlight) => unreportedCalls.set(Math.max(0, inFlight - running)),
    recordChoice: (className, kind, place) =>
      endpointChoices.inc({ class: limitClassLabel(className), attempt: kind, place }),
    recordGateRefusal: (className, reason, remainingMs) => {
      const name = limitClassLabel(className);
      admissionRefusals.inc({ class: name, reason });
      totals?.commands.add(name, 'not_admitted');
      admissionRefusalRemaining.observe({ class: name }, Math.max(0, remainingMs) / 1_000);
    },
    recordNestedRefusal: (className, parentClass) =>
      nestedRefusals.inc({
        class: limitClassLabel(className),
        parent_class: limitClassLabel(parentClass),
      }),
    recordNestedDelay: (className, parentClass) =>
      nestedDelays.inc({
        class: limitClassLabel(className),
        parent_class: limitClassLabel(parentClass),
      }),
    recordUpstreamFailure: (className, refusedCalls) =>
      upstreamFailures.inc({
        class: limitClassLabel(className),
        own_call_refused: refusedCalls > 0 ? 'yes' : 'no',
      }),
    recordStartDelay: (delayMs) => startDelay.observe(delayMs / 1_000),
    recordCallerDisconnect: (wasRunning) =>
      callerDisconnects.inc({ stage: wasRunning ? 'running' : 'not_started' }),
  };
};
