/**
 * Targets as operators write them: TOML to a configuration. All problems are collected with their
 * place and reported together.
 */
import { z } from 'zod';
import type { Configuration, Finding, Service, TrafficClass } from '../../types/public.js';
import { checkValue, parseTomlText } from '../../utils/settings.js';
import { parseDuration } from './durations.js';

/** Largest target text that is accepted, in bytes. */
export const maxTargetBytes = 256 * 1024;

/** Longest value that a finding repeats, in characters. */
const maxFoundLength = 200;
const defaultShare = 0.99;
const defaultAvailability = 0.99;
const defaultImportance = 50;

/** Names of services and classes. */
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

const classSchema = z.strictObject({
  service: name,
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
});

const targetsSchema = z.strictObject({
  service: z.record(name, z.strictObject({ expected: z.boolean().default(false) })).default({}),
  class: z.record(name, classSchema).default({}),
});

type ClassTarget = z.output<typeof classSchema>;

const toClass = (className: string, target: ClassTarget): TrafficClass => ({
  name: className,
  service: target.service,
  match: target.match.map(({ method, path }) => ({
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
});

const toConfiguration = (targets: z.output<typeof targetsSchema>): Configuration => {
  const classes = Object.entries(targets.class).map(
    ([className, target]) => [className, toClass(className, target)] as const,
  );
  const named = Object.entries(targets.service).map(
    ([service, { expected }]): [string, Service] => [service, { name: service, expected }],
  );
  const used = classes.map(([, { service }]): [string, Service] => [
    service,
    { name: service, expected: false },
  ]);
  return {
    services: Object.fromEntries([...used, ...named]),
    classes: Object.fromEntries(classes),
  };
};

interface Parsed {
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

const shorten = (text: string): string =>
  text.length > maxFoundLength ? `${text.slice(0, maxFoundLength)}...` : text;

const shortenFinding = (finding: Finding): Finding => ({
  ...finding,
  place: shorten(finding.place),
  ...(finding.found !== undefined && { found: shorten(finding.found) }),
});

const parseWithinSize = (text: string, file: string): Parsed => {
  const { value, findings } = parseTomlText(text, file);
  if (!value) {
    return { findings };
  }
  const checked = checkValue(value, file, targetsSchema);
  return checked.output === undefined
    ? { findings: checked.findings.map(shortenFinding) }
    : { configuration: toConfiguration(checked.output), findings: [] };
};

/**
 * Parses the text of a target file. Never throws; without findings the configuration is complete.
 */
export const parseTargets = (text: string, file: string): Parsed => {
  const tooLarge = checkSize(text, file);
  if (tooLarge.length > 0) {
    return { findings: tooLarge };
  }
  try {
    return parseWithinSize(text, file);
  } catch (error) {
    // The TOML parser bounds nested values but not dotted keys: 100,000 of them overflow the stack.
    if (!(error instanceof RangeError)) {
      throw error;
    }
    return { findings: [{ place: file, message: 'keys are nested too deeply' }] };
  }
};
