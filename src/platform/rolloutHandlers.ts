/** Reads the orders of rollouts that the platform's operators send, and writes their state. */
import * as z from 'zod';
import { softwareVersionName } from '../core/operators/targets.js';
import type { OrderRequest } from '../plugins/operators/rolloutOrders.js';
import { parseJsonText } from '../plugins/readText.js';
import type { Rollout } from '../types/rollouts.js';
import { Failure } from '../utils/failure.js';
import { formatFinding } from '../utils/findings.js';
import { checkValue } from '../utils/settings.js';
import { sanitizeName } from './documents.js';

/** Longest period, in s: a day. */
const maxPeriodSeconds = 86_400;

const orderSchema = z.object({
  service: z.string().min(1),
  target_version: softwareVersionName,
  period_s: z.number().positive().max(maxPeriodSeconds),
});

/** Parses an order. Throws `malformed_message` with every field that is invalid. */
export const readOrder = (text: string): OrderRequest => {
  const { output, findings } = checkValue(parseJsonText(text), 'order', orderSchema);
  if (!output) {
    throw new Failure('malformed_message', findings.map(formatFinding).join('; '));
  }
  return {
    service: sanitizeName(output.service),
    targetVersion: output.target_version,
    periodMs: Math.max(1, Math.round(output.period_s * 1_000)),
  };
};

/** Reads the service from a path. Throws `malformed_message` if it is not a valid segment. */
export const readServiceName = (segment: string): string => {
  try {
    return sanitizeName(decodeURIComponent(segment));
  } catch (cause) {
    throw new Failure('malformed_message', 'service: invalid escape in the path', { cause });
  }
};

/** The state of a rollout as operators read it. */
export const writeRollout = ({ state, targetVersion }: Rollout) => ({
  state,
  target_version: targetVersion,
});
