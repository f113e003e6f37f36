/**
 * Fast check of a decoded configuration. A process that starts checks thousands of routes before it
 * can serve any; the schemas of `configurationCodec.ts` take several times as long, and are only
 * needed to describe what is wrong with an invalid configuration.
 */
import type { Configuration } from '../../types/public.js';
import { rolloutStages, rolloutStates } from '../../types/rollouts.js';
import {
  digestPattern,
  maxSoftwareVersionLength,
  namePattern,
  tenantNamePattern,
} from './targets.js';

type Check = (value: unknown) => boolean;

interface Field {
  readonly check: Check;
  readonly isRequired: boolean;
}

const required = (check: Check): Field => ({ check, isRequired: true });
const optional = (check: Check): Field => ({ check, isRequired: false });

const isObject = (value: unknown): value is Record<string, unknown> =>
  typeof value === 'object' && value !== null && !Array.isArray(value);
const isBoolean: Check = (value) => typeof value === 'boolean';
const isText: Check = (value) => typeof value === 'string';
const isName: Check = (value) => typeof value === 'string' && namePattern.test(value);
/** JSON has numbers that are read as infinite. */
const isNumber = (value: unknown): value is number => Number.isFinite(value);
const isInteger = (value: unknown): value is number => Number.isSafeInteger(value);
const isNotNegative: Check = (value) => isNumber(value) && value >= 0;
const isPositive: Check = (value) => isNumber(value) && value > 0;
const isShare: Check = (value) => isNumber(value) && value >= 0 && value <= 1;
const isIntegerFrom =
  (min: number, max = Infinity): Check =>
  (value) =>
    isInteger(value) && value >= min && value <= max;

/** Checks that an object has all required fields, and no field that is not listed. */
const hasFields = (fields: Readonly<Record<string, Field>>): Check => {
  const byName = new Map(Object.entries(fields));
  const requiredCount = [...byName.values()].filter(({ isRequired }) => isRequired).length;
  return (value) => {
    if (!isObject(value)) {
      return false;
    }
    let found = 0;
    for (const key of Object.keys(value)) {
      const field = byName.get(key);
      if (!field?.check(value[key])) {
        return false;
      }
      found += field.isRequired ? 1 : 0;
    }
    return found === requiredCount;
  };
};

const isListOf =
  (check: Check, minLength = 0): Check =>
  (value) =>
    Array.isArray(value) && value.length >= minLength && value.every(check);

/** Checks a record whose keys are the names of its entries. */
const isRecordOf =
  (check: Check): Check =>
  (value) =>
    isObject(value) &&
    Object.keys(value).every((key) => {
      const entry = value[key];
      return isName(key) && check(entry) && (entry as { name: string }).name === key;
    });

const isPart = hasFields({ service: required(isName), weight: required(isNotNegative) });

const isMatch = hasFields({
  host: optional(isText),
  method: optional(isText),
  pathPrefix: optional(isText),
});

const isClass = hasFields({
  name: required(isName),
  service: required(isName),
  split: optional(isListOf(isPart, 1)),
  match: required(isListOf(isMatch)),
  answerWithinMs: optional(isNotNegative),
  share: required(isShare),
  atMostOnce: required(isBoolean),
  idempotent: required(isBoolean),
  mayWaitMs: required(isNotNegative),
  availability: required(isShare),
  importance: required(isIntegerFrom(1, 100)),
  ratePerSecond: optional(isPositive),
  workMs: optional(isNotNegative),
  timeoutMs: optional(isPositive),
  maxAttempts: optional(isIntegerFrom(1)),
  authExempt: optional(isBoolean),
});

const isService = hasFields({
  name: required(isName),
  expected: required(isBoolean),
  connections: optional(isIntegerFrom(1)),
});

const isCallerLimits = hasFields({
  maxHeaderBytes: required(isIntegerFrom(1)),
  maxBodyBytes: required(isIntegerFrom(0)),
  headerTimeoutMs: required(isPositive),
  idleTimeoutMs: required(isPositive),
});

const isOneOf =
  (allowed: readonly string[]): Check =>
  (value) =>
    typeof value === 'string' && allowed.includes(value);
const isDigest: Check = (value) => typeof value === 'string' && digestPattern.test(value);
const isSoftwareVersion: Check = (value) =>
  typeof value === 'string' && value !== '' && value.length <= maxSoftwareVersionLength;

const isTenantName: Check = (value) => typeof value === 'string' && tenantNamePattern.test(value);

const isTenant = hasFields({
  name: required(isName),
  displayName: optional(isTenantName),
  keyDigests: required(isListOf(isDigest)),
  importance: optional(isIntegerFrom(1, 100)),
  ratePerSecond: optional(isPositive),
  burst: optional(isNotNegative),
});

const isRollout = hasFields({
  name: required(isName),
  targetVersion: required(isSoftwareVersion),
  state: required(isOneOf(rolloutStates)),
  stage: required(isOneOf(rolloutStages)),
  canaryShare: required(isShare),
  periodMs: required(isPositive),
  startedAtMs: required(isNotNegative),
  changedAtMs: required(isNotNegative),
  blockedVersions: required(isListOf(isSoftwareVersion)),
});

const hasShape = hasFields({
  services: required(isRecordOf(isService)),
  classes: required(isRecordOf(isClass)),
  drains: optional(isRecordOf(hasFields({ name: required(isName) }))),
  callerLimits: optional(isCallerLimits),
  tenants: optional(isRecordOf(isTenant)),
  rollouts: optional(isRecordOf(isRollout)),
});

const namesItsServices = ({ services, classes }: Configuration): boolean =>
  Object.values(classes).every(
    ({ service, split = [] }) =>
      Object.hasOwn(services, service) &&
      split.every((part) => Object.hasOwn(services, part.service)),
  );

/** True only if the schemas accept the value; they also accept a few others. */
export const isConfiguration = (value: unknown): value is Configuration =>
  hasShape(value) && namesItsServices(value as Configuration);
