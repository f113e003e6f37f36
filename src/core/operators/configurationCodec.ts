/**
 * Canonical form of a configuration: JSON with sorted keys, so that equal configurations have equal
 * bytes and an equal digest on every process.
 */
import { createHash } from 'node:crypto';
import { z } from 'zod';
import type { Configuration } from '../../types/public.js';
import { Failure } from '../../utils/failure.js';
import { namePattern } from './targets.js';

const name = z.string().regex(namePattern);

const matchSchema = z.strictObject({
  host: z.string().optional(),
  method: z.string().optional(),
  pathPrefix: z.string().optional(),
});

const classSchema = z.strictObject({
  name,
  service: name,
  split: z
    .array(z.strictObject({ service: name, weight: z.number().nonnegative() }))
    .min(1)
    .optional(),
  match: z.array(matchSchema),
  answerWithinMs: z.number().nonnegative().optional(),
  share: z.number().min(0).max(1),
  atMostOnce: z.boolean(),
  idempotent: z.boolean(),
  mayWaitMs: z.number().nonnegative(),
  availability: z.number().min(0).max(1),
  importance: z.number().int().min(1).max(100),
  ratePerSecond: z.number().positive().optional(),
  workMs: z.number().nonnegative().optional(),
  timeoutMs: z.number().positive().optional(),
  maxAttempts: z.number().int().min(1).optional(),
});

const serviceSchema = z.strictObject({
  name,
  expected: z.boolean(),
  connections: z.number().int().min(1).optional(),
});

const callerLimitsSchema = z.strictObject({
  maxHeaderBytes: z.number().int().positive(),
  maxBodyBytes: z.number().int().nonnegative(),
  headerTimeoutMs: z.number().positive(),
  idleTimeoutMs: z.number().positive(),
});

const isNamedByKey = (items: Readonly<Record<string, { readonly name: string }>>): boolean =>
  Object.entries(items).every(([key, item]) => key === item.name);

const configurationSchema = z
  .strictObject({
    services: z
      .record(name, serviceSchema)
      .refine(isNamedByKey, 'a service is not named by its key'),
    classes: z.record(name, classSchema).refine(isNamedByKey, 'a class is not named by its key'),
    drains: z
      .record(name, z.strictObject({ name }))
      .refine(isNamedByKey, 'a drain is not named by its key')
      .optional(),
    callerLimits: callerLimitsSchema.optional(),
  })
  .refine(
    ({ services, classes }) =>
      Object.values(classes).every(({ service, split = [] }) =>
        [service, ...split.map((part) => part.service)].every((used) =>
          Object.hasOwn(services, used),
        ),
      ),
    'a class names a service that is missing',
  );

const sortKeys = (_: string, value: unknown): unknown =>
  typeof value === 'object' && value !== null && !Array.isArray(value)
    ? Object.fromEntries(Object.entries(value).sort(([a], [b]) => Number(a > b) - Number(a < b)))
    : value;

/** Without drains the key is absent, so that there is one form for each configuration. */
const normalise = ({ drains = {}, ...targets }: Configuration): Configuration =>
  Object.keys(drains).length === 0 ? targets : { ...targets, drains };

/** Encodes a configuration in its canonical form. */
export const encodeConfiguration = (configuration: Configuration): Uint8Array =>
  new TextEncoder().encode(JSON.stringify(normalise(configuration), sortKeys));

const parseJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch (cause) {
    throw new Failure('malformed_message', 'configuration is not JSON', { cause });
  }
};

/** Decodes a configuration. Throws a Failure with `malformed_message` for anything else. */
export const decodeConfiguration = (bytes: Uint8Array): Configuration => {
  const result = configurationSchema.safeParse(parseJson(bytes));
  if (!result.success) {
    const issue = result.error.issues[0];
    const place = issue?.path.join('.') ?? '';
    throw new Failure('malformed_message', `configuration: ${place}: ${issue?.message}`);
  }
  return result.data;
};

/** SHA-256 of the canonical form. */
export const digestConfiguration = (configuration: Configuration): Uint8Array =>
  createHash('sha256').update(encodeConfiguration(configuration)).digest();
