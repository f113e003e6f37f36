/**
 * Settings files in TOML. A file is validated completely before its problems are reported, so that
 * one run shows all of them.
 */
import { parse as parseToml, TomlError } from 'smol-toml';
import * as z from 'zod';
import type { Finding } from '../types/public.js';
import { FindingsError } from './findings.js';
import { readSettingsText } from './utf8.js';

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );

/** Values in findings are truncated to this number of characters. */
const maxShownLength = 200;

const describeValue = (value: unknown): string => {
  try {
    const text = value === undefined ? 'nothing' : (JSON.stringify(value) ?? String(value));
    return text.length > maxShownLength ? `${text.slice(0, maxShownLength)}...` : text;
  } catch {
    // JSON.parse accepts any depth, but JSON.stringify recurses and overflows the stack.
    return 'values that are nested too deeply';
  }
};

const formatPath = (path: readonly PropertyKey[]): string => path.map(String).join('.');

type Issue = z.core.$ZodIssue;

const toFindings = (file: string, root: unknown, issue: Issue): Finding[] => {
  if (issue.code === 'unrecognized_keys') {
    return issue.keys.map((key) => ({
      place: `${file}: ${formatPath([...issue.path, key])}`,
      message: 'unknown key',
      found: describeValue(valueAt(root, [...issue.path, key])),
      allowed: 'only documented keys',
    }));
  }
  return [
    {
      place: `${file}: ${formatPath(issue.path) || '(top level)'}`,
      message: 'invalid value',
      found: describeValue(valueAt(root, issue.path)),
      allowed: issue.message,
    },
  ];
};

/** Parses TOML text. A syntax error is returned as one finding with line and column. */
export const parseTomlText = (
  text: string,
  file: string,
): { value?: Record<string, unknown>; findings: Finding[] } => {
  try {
    return { value: parseToml(text), findings: [] };
  } catch (error) {
    if (!(error instanceof TomlError)) {
      throw error;
    }
    const place = `${file}: line ${error.line}, column ${error.column}`;
    const message = error.message.split('\n')[0] ?? 'invalid TOML';
    return { findings: [{ place, message }] };
  }
};

/** Validates a value against a schema. Returns all findings with their key paths. */
export const checkValue = <Output>(
  value: unknown,
  file: string,
  schema: z.ZodType<Output>,
): { output?: Output; findings: Finding[] } => {
  const result = schema.safeParse(value);
  if (result.success) {
    return { output: result.data, findings: [] };
  }
  const findings = result.error.issues.flatMap((issue) => toFindings(file, value, issue));
  return { findings };
};

const readText = (file: string): string => {
  try {
    return readSettingsText(file);
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new FindingsError('invalid_settings', [{ place: file, message }]);
  }
};

/**
 * Reads and validates a settings file. Throws a FindingsError with every problem in it.
 * `checkFurther` receives the parsed value, before the schema is applied, and returns the problems
 * that the schema cannot express.
 */
export const readSettings = <Output>(
  file: string,
  schema: z.ZodType<Output>,
  checkFurther: (value: unknown) => readonly Finding[] = () => [],
): Output => {
  const parsed = parseTomlText(readText(file), file);
  if (!parsed.value) {
    throw new FindingsError('invalid_settings', parsed.findings);
  }
  const checked = checkValue(parsed.value, file, schema);
  const findings = [...checked.findings, ...checkFurther(parsed.value)];
  if (checked.output === undefined || findings.length > 0) {
    throw new FindingsError('invalid_settings', findings);
  }
  return checked.output;
};
