/**
 * Metrics of admission by the whole call. They are registered only if `admission.whole_call` is on.
 */
import { createLabelLimiter, type Metrics } from '../metrics.js';

/** What a nested call found: a place at once, one after a wait, or none. */
export type NestedResult = 'placed' | 'waited' | 'refused';

export interface WholeCallMetrics {
  /** A call was refused at arrival because its nested calls would find no place at the service. */
  recordArrivalRefusal(className: string, scarcestService: string): void;
  recordNestedCall(className: string, parentClass: string, result: NestedResult): void;
}

export const createWholeCallMetrics = (metrics: Metrics): WholeCallMetrics => {
  const limitClassLabel = createLabelLimiter();
  const limitServiceLabel = createLabelLimiter();
  const arrivalRefusals = metrics.counter(
    'auburnsill_whole_call_refusals_total',
    'Calls refused at arrival because their nested calls find no capacity, by the scarcest service.',
    ['class', 'scarcest_service'],
  );
  const nestedCalls = metrics.counter(
    'auburnsill_nested_calls_total',
    'Calls that the upstream made for a running one, by whether they found a place.',
    ['class', 'parent_class', 'result'],
  );
  return {
    recordArrivalRefusal: (className, scarcestService) =>
      arrivalRefusals.inc({
        class: limitClassLabel(className),
        scarcest_service: limitServiceLabel(scarcestService),
      }),
    recordNestedCall: (className, parentClass, result) =>
      nestedCalls.inc({
        class: limitClassLabel(className),
        parent_class: limitClassLabel(parentClass),
        result,
      }),
  };
};
