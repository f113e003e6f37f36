/**
 * Canonical form of a configuration: JSON with sorted keys, so that equal configurations have the
 * same bytes and the same digest in every process.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import type { Configuration } from '../../types/public.js';
import { Failure } from '../../utils/failure.js';
import { isConfiguration } from './configurationGuards.js';
import { rolloutStages, rolloutStates } from '../../types/rollouts.js';
import {
  digestPattern,
  maxSoftwareVersionLength,
  namePattern,
  tenantNamePattern,
} from './targets.js';

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
  authExempt: z.boolean().optional(),
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

const tenantSchema = z.strictObject({
  name,
  displayName: z.string().regex(tenantNamePattern).optional(),
  keyDigests: z.array(z.string().regex(digestPattern)),
  importance: z.number().int().min(1).max(100).optional(),
  ratePerSecond: z.number().positive().optional(),
  burst: z.number().nonnegative().optional(),
});

const softwareVersion = z.string().min(1).max(maxSoftwareVersionLength);

const rolloutSchema = z.strictObject({
  name,
  targetVersion: softwareVersion,
  state: z.enum(rolloutStates),
  stage: z.enum(rolloutStages),
  canaryShare: z.number().min(0).max(1),
  periodMs: z.number().positive(),
  startedAtMs: z.number().nonnegative(),
  changedAtMs: z.number().nonnegative(),
  blockedVersions: z.array(softwareVersion),
});

const hasMatchingNames = (items: Readonly<Record<string, { readonly name: string }>>): boolean =>
  Object.entries(items).every(([key, item]) => key === item.name);

/** Entries of one kind by name. */
const recordsOf = <Entry extends z.ZodType<{ readonly name: string }>>(
  entry: Entry,
  kind: string,
) => z.record(name, entry).refine(hasMatchingNames, `the name of a ${kind} differs from its key`);

export const configurationSchema = z
  .strictObject({
    services: recordsOf(serviceSchema, 'service'),
    classes: recordsOf(classSchema, 'class'),
    drains: recordsOf(z.strictObject({ name }), 'drain').optional(),
    callerLimits: callerLimitsSchema.optional(),
    tenants: recordsOf(tenantSchema, 'tenant').optional(),
    rollouts: recordsOf(rolloutSchema, 'rollout').optional(),
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

/** Cached by entry object: entries are immutable, and successive configurations share them. */
const textCache = new WeakMap<object, string>();

const serializeObject = (value: object): string => {
  const parts: string[] = [];
  Object.keys(value)
    .sort()
    .forEach((key) => {
      const item = (value as Record<string, unknown>)[key];
      if (item !== undefined) {
        parts.push(`${JSON.stringify(key)}:${serializeValue(item)}`);
      }
    });
  return `{${parts.join(',')}}`;
};

const serializeValue = (value: unknown): string => {
  if (typeof value !== 'object' || value === null) {
    return JSON.stringify(value);
  }
  return Array.isArray(value) ? `[${value.map(serializeValue).join(',')}]` : serializeObject(value);
};

/** Serializes one entry of a configuration as JSON with sorted keys. */
export const serializeEntry = (entry: object): string => {
  const cached = textCache.get(entry);
  if (cached !== undefined) {
    return cached;
  }
  const text = serializeObject(entry);
  textCache.set(entry, text);
  return text;
};

const serializeEntries = (entries: Readonly<Record<string, object>>): string => {
  const parts = Object.keys(entries)
    .sort()
    .map((key) => `${JSON.stringify(key)}:${serializeEntry(entries[key]!)}`);
  return `{${parts.join(',')}}`;
};

const optionalEntries = (
  key: string,
  entries: Readonly<Record<string, object>>,
): readonly string[] =>
  Object.keys(entries).length === 0 ? [] : [`"${key}":${serializeEntries(entries)}`];

/**
 * The canonical form as text. It omits the keys of parts that are empty, so that each configuration
 * has exactly one form.
 */
export const canonicalText = ({
  services,
  classes,
  drains = {},
  callerLimits,
  tenants = {},
  rollouts = {},
}: Configuration): string => {
  const parts = [
    ...(callerLimits ? [`"callerLimits":${serializeEntry(callerLimits)}`] : []),
    `"classes":${serializeEntries(classes)}`,
    ...optionalEntries('drains', drains),
    ...optionalEntries('rollouts', rollouts),
    `"services":${serializeEntries(services)}`,
    ...optionalEntries('tenants', tenants),
  ];
  return `{${parts.join(',')}}`;
};

/** Encodes a configuration in canonical form. */
export const encodeConfiguration = (configuration: Configuration): Uint8Array =>
  new TextEncoder().encode(canonicalText(configuration));

const parseJson = (bytes: Uint8Array): unknown => {
  try {
    return JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
  } catch (cause) {
    throw new Failure('malformed_message', 'configuration is not valid JSON', { cause });
  }
};

/** Decodes a configuration. Throws a Failure with `malformed_message` if the bytes are invalid. */
export const decodeConfiguration = (bytes: Uint8Array): Configuration => {
  const value = parseJson(bytes);
  if (isConfiguration(value)) {
    return value;
  }
  const result = configurationSchema.safeParse(value);
  if (!result.success) {
    const issue = result.error.issues[0];
    const place = issue?.path.join('.') ?? '';
    throw new Failure('malformed_message', `configuration: ${place}: ${issue?.message}`);
  }
  return result.data;
};

const digestCache = new WeakMap<Configuration, Uint8Array>();

/**
 * Decodes a configuration in canonical form and checks its digest. Returns undefined if the digest
 * of the bytes is another one. Throws a Failure with `malformed_message` if they are invalid.
 */
export const decodeCanonical = (
  bytes: Uint8Array,
  digest: Uint8Array,
): Configuration | undefined => {
  const found = createHash('sha256').update(bytes).digest();
  if (!found.equals(digest)) {
    return undefined;
  }
  const configuration = decodeConfiguration(bytes);
  digestCache.set(configuration, found);
  return configuration;
};

/** Returns the SHA-256 of the canonical form. */
export const digestConfiguration = (configuration: Configuration): Uint8Array => {
  const cached = digestCache.get(configuration);
  if (cached) {
    return cached;
  }
  const digest = createHash('sha256').update(canonicalText(configuration)).digest();
  digestCache.set(configuration, digest);
  return digest;
};

const changedSchema = z.object({
  services: recordsOf(serviceSchema, 'service'),
  classes: recordsOf(classSchema, 'class'),
  drains: recordsOf(z.strictObject({ name }), 'drain'),
  callerLimits: callerLimitsSchema.optional(),
  tenants: recordsOf(tenantSchema, 'tenant'),
  rollouts: recordsOf(rolloutSchema, 'rollout'),
});

/** Entries of a change. They replace those of the base, whose other entries were checked before. */
export type ChangedEntries = z.output<typeof changedSchema>;

/** Checks the entries of a change. Throws a Failure with `malformed_message` if one is invalid. */
export const checkChangedEntries = (entries: unknown): ChangedEntries => {
  const result = changedSchema.safeParse(entries);
  if (!result.success) {
    const issue = result.error.issues[0];
    const place = issue?.path.join('.') ?? '';
    throw new Failure('malformed_message', `change: ${place}: ${issue?.message}`);
  }
  return result.data;
};

/** Throws a Failure with `malformed_message` if a class names a service that is missing. */
export const checkServiceNames = ({ services, classes }: Configuration): void => {
  const isMissing = (service: string) => !Object.hasOwn(services, service);
  Object.values(classes).forEach(({ name: className, service, split }) => {
    if (isMissing(service) || split?.some((part) => isMissing(part.service))) {
      throw new Failure('malformed_message', `class ${className} names a service that is missing`);
    }
  });
};
