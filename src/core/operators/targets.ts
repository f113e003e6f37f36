/**
 * Parses target files, which operators write in TOML, into a configuration. All problems of a file
 * are reported together, each with its location.
 */
import * as z from 'zod';
import type {
  CallerLimits,
  Configuration,
  Finding,
  Service,
  TrafficClass,
} from '../../types/public.js';
import { servicesOf } from './services.js';
import { checkValue, parseTomlText } from '../../utils/settings.js';
import { parseDuration } from './durations.js';
import {
  checkTenantKeys,
  hideTenantValues,
  tenantTargetSchema,
  toTenant,
} from './tenantTargets.js';

/** Maximum size of a target file, in bytes. */
export const maxTargetBytes = 256 * 1024;

/** Maximum length of a value in a finding, in characters; longer ones are truncated. */
const maxFoundLength = 200;
const defaultShare = 0.99;
const defaultAvailability = 0.99;
const defaultImportance = 50;

/** SHA-256 in hexadecimal. */
export const digestPattern = /^[0-9a-f]{64}$/;
/** Maximum length of the name of a version of an upstream's software. */
export const maxSoftwareVersionLength = 128;
/** Text without lone surrogates, which escapes in JSON can form and UTF-8 cannot encode. */
export const wellFormedText = /^\P{Surrogate}*$/u;
/** Name of a version of an upstream's software, as upstreams and operators give it. */
export const softwareVersionName = z
  .string()
  .min(1)
  .max(maxSoftwareVersionLength)
  .regex(wellFormedText, 'well-formed Unicode');
/** Form of the names of tenants that upstreams receive: text that a header carries unchanged. */
export const tenantNamePattern = /^[\x21-\x7e](?:[\x20-\x7e]{0,254}[\x21-\x7e])?$/;
/** Form of the names of services and classes. */
export const namePattern = /^[a-z0-9][a-z0-9-]{0,62}$/;
const name = z.string().regex(namePattern, 'lower-case letters, digits and "-", 63 at most');

const duration = z.string().transform((text, context) => {
  const ms = parseDuration(text);
  if (ms === undefined || ms > 24 * 3_600_000) {
    context.addIssue('a duration up to 24h such as "250ms", "2s" or "1m"');
    return z.NEVER;
  }
  return ms;
});

const matchSchema = z.strictObject({
  host: z
    .string()
    .regex(/^[a-z0-9.-]{1,253}$/, 'a host name in lower case, without a port')
    .optional(),
  method: z
    .string()
    .regex(/^[A-Z]{1,16}$/, 'an HTTP method in upper case')
    .optional(),
  path: z
    .string()
    .max(1_024)
    .regex(/^\/[^\s?#]*$/, 'a path that begins with "/", without query')
    .optional(),
});

const splitSchema = z
  .record(name, z.number().min(0).max(1e6))
  .refine((weights) => Object.values(weights).some((weight) => weight > 0), 'a weight above 0');

const classSchema = z.strictObject({
  service: name.optional(),
  split: splitSchema.optional(),
  match: z.array(matchSchema).max(64).default([]),
  answer_within: duration.optional(),
  share: z.number().gt(0).max(1).default(defaultShare),
  at_most_once: z.boolean().default(false),
  idempotent: z.boolean().default(false),
  may_wait: duration.default(0),
  availability: z.number().gt(0).max(1).default(defaultAvailability),
  importance: z.number().int().min(1).max(100).default(defaultImportance),
  rate: z.number().gt(0).max(1e9).optional(),
  work: duration.optional(),
  timeout: duration.optional(),
  attempts: z.number().int().min(1).max(16).optional(),
  auth_exempt: z.boolean().default(false),
});

const callersSchema = z.strictObject({
  max_header_bytes: z.number().int().min(1_024).max(1_048_576).default(16_384),
  max_body_bytes: z.number().int().min(0).max(Number.MAX_SAFE_INTEGER),
  header_timeout: duration.default(10_000),
  idle_timeout: duration.default(65_000),
});

const serviceSchema = z.strictObject({
  expected: z.boolean().default(false),
  connections: z.number().int().min(1).max(10_000).optional(),
});

const targetsSchema = z.strictObject({
  service: z.record(name, serviceSchema).default({}),
  class: z.record(name, classSchema).default({}),
  callers: callersSchema.optional(),
  tenant: z.record(name, tenantTargetSchema).default({}),
});

type ClassTarget = z.output<typeof classSchema>;

const heaviestService = (split: Readonly<Record<string, number>>): string =>
  Object.entries(split).sort(([, a], [, b]) => b - a)[0]![0];

const toTrafficClass = (className: string, target: ClassTarget): TrafficClass => ({
  name: className,
  service: target.service ?? heaviestService(target.split ?? {}),
  ...(target.split !== undefined && {
    split: Object.entries(target.split).map(([service, weight]) => ({ service, weight })),
  }),
  match: target.match.map(({ host, method, path }) => ({
    ...(host !== undefined && { host }),
    ...(method !== undefined && { method }),
    ...(path !== undefined && { pathPrefix: path }),
  })),
  ...(target.answer_within !== undefined && { answerWithinMs: target.answer_within }),
  share: target.share,
  atMostOnce: target.at_most_once,
  idempotent: target.idempotent,
  mayWaitMs: target.may_wait,
  availability: target.availability,
  importance: target.importance,
  ...(target.rate !== undefined && { ratePerSecond: target.rate }),
  ...(target.work !== undefined && { workMs: target.work }),
  ...(target.timeout !== undefined && { timeoutMs: target.timeout }),
  ...(target.attempts !== undefined && { maxAttempts: target.attempts }),
  ...(target.auth_exempt && { authExempt: true }),
});

const toCallerLimits = (callers: z.output<typeof callersSchema>): CallerLimits => ({
  maxHeaderBytes: callers.max_header_bytes,
  maxBodyBytes: callers.max_body_bytes,
  headerTimeoutMs: callers.header_timeout,
  idleTimeoutMs: callers.idle_timeout,
});

const toConfiguration = (targets: z.output<typeof targetsSchema>): Configuration => {
  const classes = Object.entries(targets.class).map(
    ([className, target]) => [className, toTrafficClass(className, target)] as const,
  );
  const declaredServices = Object.entries(targets.service).map(
    ([service, { expected, connections }]): [string, Service] => [
      service,
      { name: service, expected, ...(connections !== undefined && { connections }) },
    ],
  );
  const referencedServices = classes.flatMap(([, trafficClass]) =>
    servicesOf(trafficClass).map((service): [string, Service] => [
      service,
      { name: service, expected: false },
    ]),
  );
  const tenants = Object.entries(targets.tenant).map(
    ([tenant, target]) => [tenant, toTenant(tenant, target)] as const,
  );
  return {
    services: Object.fromEntries([...referencedServices, ...declaredServices]),
    classes: Object.fromEntries(classes),
    ...(tenants.length > 0 && { tenants: Object.fromEntries(tenants) }),
    ...(targets.callers !== undefined && { callerLimits: toCallerLimits(targets.callers) }),
  };
};

interface ParsedTargets {
  readonly configuration?: Configuration;
  readonly findings: Finding[];
}

const checkSize = (text: string, file: string): Finding[] => {
  const bytes = Buffer.byteLength(text);
  const allowed = `${maxTargetBytes} bytes at most`;
  return bytes > maxTargetBytes
    ? [{ place: file, message: 'too large', found: `${bytes} bytes`, allowed }]
    : [];
};

const truncateText = (text: string): string =>
  text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}...` : text;

const truncateFinding = (finding: Finding): Finding => ({
  ...finding,
  place: truncateText(finding.place),
  ...(finding.found !== undefined && { found: truncateText(finding.found) }),
});

/**
 * Checks that each class names one service, or several with weights. Runs on the value before
 * validation, since the schema skips checks that span two keys while any other key is invalid.
 */
const checkServiceOrSplit = (value: Record<string, unknown>, file: string): Finding[] => {
  const classes = typeof value.class === 'object' && value.class !== null ? value.class : {};
  return Object.entries(classes).flatMap(([className, target]: [string, unknown]) => {
    const keys = typeof target === 'object' && target !== null ? Object.keys(target) : [];
    const givenKeys = keys.filter((key) => key === 'service' || key === 'split');
    return givenKeys.length === 1 || !namePattern.test(className)
      ? []
      : [
          {
            place: `${file}: class.${className}.service`,
            message: 'a class has either a service or a split',
            found: givenKeys.join(', ') || 'nothing',
            allowed: 'one of service and split',
          },
        ];
  });
};

const parseWithinSize = (text: string, file: string): ParsedTargets => {
  const { value, findings } = parseTomlText(text, file);
  if (!value) {
    return { findings };
  }
  const checked = checkValue(value, file, targetsSchema);
  const found = [
    ...checked.findings.map((finding) => hideTenantValues(finding, file)),
    ...checkServiceOrSplit(value, file),
  ];
  if (checked.output === undefined || found.length > 0) {
    return { findings: found.map(truncateFinding) };
  }
  const configuration = toConfiguration(checked.output);
  const sharedKeys = checkTenantKeys(configuration.tenants ?? {}, file);
  return sharedKeys.length > 0
    ? { findings: sharedKeys.map(truncateFinding) }
    : { configuration, findings: [] };
};

/**
 * Parses the text of a target file. Never throws; returns a configuration if there are no findings.
 */
export const parseTargets = (text: string, file: string): ParsedTargets => {
  const tooLarge = checkSize(text, file);
  if (tooLarge.length > 0) {
    return { findings: tooLarge };
  }
  try {
    return parseWithinSize(text, file);
  } catch (error) {
    // The TOML parser limits nested values but not dotted keys: 100,000 of them overflow the stack.
    if (!(error instanceof RangeError)) {
      throw error;
    }
    return { findings: [{ place: file, message: 'keys are nested too deeply' }] };
  }
};
