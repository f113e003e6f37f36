/**
 * Deltas between configurations. A delta carries the digests of its base and of its result. Both
 * are checked, so that a delta is applied completely or not at all.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import type { Configuration } from '../../types/public.js';
import { compressText, decompress } from '../../utils/compression.js';
import { Failure } from '../../utils/failure.js';
import {
  checkChangedEntries,
  checkServiceNames,
  digestConfiguration,
  serializeEntry,
} from '../operators/configuration.js';

/** Largest text of an update, in bytes. */
export const maxUpdateTextBytes = 64 * 1024 * 1024;

type Records = Readonly<Record<string, object>>;

interface RecordsDelta {
  /** Added and changed entries. */
  readonly set: Records;
  /** Keys of removed entries. */
  readonly removed: readonly string[];
}

/** Difference between a base and a result. */
export interface ConfigurationDelta {
  readonly baseDigest: Uint8Array;
  readonly resultDigest: Uint8Array;
  readonly services: RecordsDelta;
  readonly classes: RecordsDelta;
  readonly drains: RecordsDelta;
  readonly tenants: RecordsDelta;
  readonly rollouts: RecordsDelta;
  /** Singleton records of the configuration, such as the caller limits, by name. */
  readonly settings: RecordsDelta;
}

const recordsDeltaSchema = z.strictObject({
  set: z.record(z.string(), z.looseObject({})),
  removed: z.array(z.string()),
});

const emptyRecords = () => ({ set: {}, removed: [] });

const bodySchema = z.strictObject({
  services: recordsDeltaSchema,
  classes: recordsDeltaSchema,
  drains: recordsDeltaSchema,
  tenants: recordsDeltaSchema.default(emptyRecords),
  rollouts: recordsDeltaSchema.default(emptyRecords),
  settings: recordsDeltaSchema,
});

export const equalBytes = (a: Uint8Array, b: Uint8Array): boolean =>
  a.length === b.length && a.every((byte, index) => byte === b[index]);

export const sha256 = (data: Uint8Array | string): Uint8Array =>
  new Uint8Array(createHash('sha256').update(data).digest());

const settingsOf = ({ callerLimits }: Configuration): Records =>
  callerLimits === undefined ? {} : { callerLimits };

/** Compares references first, since unchanged entries are mostly the same objects. */
const isSameEntry = (a: object, b: object): boolean =>
  a === b || serializeEntry(a) === serializeEntry(b);

const diffRecords = (base: Records, next: Records): RecordsDelta => ({
  set: Object.fromEntries(
    Object.entries(next).filter(
      ([key, value]) => !Object.hasOwn(base, key) || !isSameEntry(base[key]!, value),
    ),
  ),
  removed: Object.keys(base).filter((key) => !Object.hasOwn(next, key)),
});

/** Computes the delta that turns `base` into `next`. */
export const diffConfigurations = (
  base: Configuration,
  next: Configuration,
): ConfigurationDelta => ({
  baseDigest: digestConfiguration(base),
  resultDigest: digestConfiguration(next),
  services: diffRecords(base.services, next.services),
  classes: diffRecords(base.classes, next.classes),
  drains: diffRecords(base.drains ?? {}, next.drains ?? {}),
  tenants: diffRecords(base.tenants ?? {}, next.tenants ?? {}),
  rollouts: diffRecords(base.rollouts ?? {}, next.rollouts ?? {}),
  settings: diffRecords(settingsOf(base), settingsOf(next)),
});

/** Number of entries that a delta sets or removes. */
export const countChanged = ({
  services,
  classes,
  drains,
  tenants,
  rollouts,
  settings,
}: ConfigurationDelta): number =>
  [services, classes, drains, tenants, rollouts, settings].reduce(
    (sum, { set, removed }) => sum + Object.keys(set).length + removed.length,
    0,
  );

/** Unchanged entries stay the same objects, so that their cached canonical texts are reused. */
const applyRecords = <Entry extends object>(
  base: Readonly<Record<string, Entry>>,
  set: Readonly<Record<string, Entry>>,
  removed: readonly string[],
): Record<string, Entry> => {
  const result = { ...base, ...set };
  removed.forEach((key) => {
    delete result[key];
  });
  return result;
};

/** Drops the records without entries: the canonical form has no empty ones. */
const withoutEmpty = <Parts extends Readonly<Record<string, Records>>>(
  parts: Parts,
): Partial<Parts> =>
  Object.fromEntries(
    Object.entries(parts).filter(([, records]) => Object.keys(records).length > 0),
  ) as Partial<Parts>;

/**
 * Applies a delta. Throws a Failure with `bad_update` if the digest of the base or of the result
 * differs; the base is never changed.
 */
export const applyDelta = (base: Configuration, delta: ConfigurationDelta): Configuration => {
  if (!equalBytes(digestConfiguration(base), delta.baseDigest)) {
    throw new Failure('bad_update', 'the delta was built for another base: digests differ');
  }
  const { services, classes, drains, tenants, rollouts, settings } = delta;
  const changed = checkChangedEntries({
    services: services.set,
    classes: classes.set,
    drains: drains.set,
    tenants: tenants.set,
    rollouts: rollouts.set,
    ...settings.set,
  });
  const optionalParts = {
    drains: applyRecords(base.drains ?? {}, changed.drains, drains.removed),
    tenants: applyRecords(base.tenants ?? {}, changed.tenants, tenants.removed),
    rollouts: applyRecords(base.rollouts ?? {}, changed.rollouts, rollouts.removed),
  };
  const keptLimits = settings.removed.includes('callerLimits') ? undefined : base.callerLimits;
  const callerLimits = changed.callerLimits ?? keptLimits;
  const result: Configuration = {
    services: applyRecords(base.services, changed.services, services.removed),
    classes: applyRecords(base.classes, changed.classes, classes.removed),
    ...withoutEmpty(optionalParts),
    ...(callerLimits && { callerLimits }),
  };
  checkServiceNames(result);
  if (!equalBytes(digestConfiguration(result), delta.resultDigest)) {
    throw new Failure('bad_update', 'applying the delta gives another digest than announced');
  }
  return result;
};

const isEmpty = ({ set, removed }: RecordsDelta): boolean =>
  Object.keys(set).length === 0 && removed.length === 0;

/**
 * Encodes and compresses the body of a delta. The digests are sent separately. Tenants and rollouts
 * are left out if they did not change, since nodes of earlier releases reject them.
 */
export const encodeDelta = ({
  services,
  classes,
  drains,
  tenants,
  rollouts,
  settings,
}: ConfigurationDelta): Uint8Array =>
  compressText(
    JSON.stringify({
      services,
      classes,
      drains,
      ...(!isEmpty(tenants) && { tenants }),
      ...(!isEmpty(rollouts) && { rollouts }),
      settings,
    }),
  );

/** Decodes the body of a delta. Throws a Failure with `bad_update` if it is malformed. */
export const decodeDelta = (
  body: Uint8Array,
  baseDigest: Uint8Array,
  resultDigest: Uint8Array,
): ConfigurationDelta => {
  try {
    const bytes = decompress(body, maxUpdateTextBytes);
    const parsed: unknown = JSON.parse(new TextDecoder('utf-8', { fatal: true }).decode(bytes));
    return { ...bodySchema.parse(parsed), baseDigest, resultDigest };
  } catch (cause) {
    throw new Failure('bad_update', 'the delta is malformed', { cause });
  }
};
