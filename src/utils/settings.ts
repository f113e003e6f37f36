/**
 * Settings files in TOML, checked whole: every problem is found before any of them is reported.
 */
import { readFileSync } from 'node:fs';
import { parse as parseToml, TomlError } from 'smol-toml';
import { z } from 'zod';
import type { Finding } from '../types/public.js';
import { FindingsError } from './findings.js';

const valueAt = (root: unknown, path: readonly PropertyKey[]): unknown =>
  path.reduce<unknown>(
    (value, key) =>
      typeof value === 'object' && value !== null
        ? (value as Record<PropertyKey, unknown>)[key]
        : undefined,
    root,
  );

const describeValue = (value: unknown): string =>
  value === undefined ? 'nothing' : (JSON.stringify(value) ?? String(value));

const formatPath = (path: readonly PropertyKey[]): string => path.map(String).join('.');

type Issue = z.core.$ZodIssue;

const findingsOfIssue = (file: string, root: unknown, issue: Issue): Finding[] => {
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

/** Parses TOML text. A syntax error becomes one finding with line and column. */
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

/** Checks a value against a schema and returns all findings with their key paths. */
export const checkValue = <Output>(
  value: unknown,
  file: string,
  schema: z.ZodType<Output>,
): { output?: Output; findings: Finding[] } => {
  const result = schema.safeParse(value);
  if (result.success) {
    return { output: result.data, findings: [] };
  }
  const findings = result.error.issues.flatMap((issue) => findingsOfIssue(file, value, issue));
  return { findings };
};

/** Reads a settings file. Throws a FindingsError with every problem in it. */
export const readSettings = <Output>(file: string, schema: z.ZodType<Output>): Output => {
  let text: string;
  try {
    // Settings are read once, before the loop has other work.
    // eslint-disable-next-line n/no-sync
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new FindingsError('invalid_settings', [{ place: file, message }]);
  }
  const { value, findings } = parseTomlText(text, file);
  if (!value) {
    throw new FindingsError('invalid_settings', findings);
  }
  const checked = checkValue(value, file, schema);
  if (checked.output === undefined) {
    throw new FindingsError('invalid_settings', checked.findings);
  }
  return checked.output;
};
