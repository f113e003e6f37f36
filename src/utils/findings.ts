/**
 * Findings: problems of one input, collected with their place and reported together.
 */
import type { Finding } from '../types/public.js';
import { Failure } from './failure.js';

/** Formats one finding as a line of text. */
export const formatFinding = ({ place, message, found, allowed }: Finding): string => {
  const read = found === undefined ? '' : `; found ${found}`;
  const expected = allowed === undefined ? '' : `; allowed: ${allowed}`;
  return `${place}: ${message}${read}${expected}`;
};

/** All problems found in one input, reported together. */
export class FindingsError extends Failure {
  readonly findings: readonly Finding[];

  constructor(reason: 'invalid_settings' | 'invalid_targets', findings: readonly Finding[]) {
    super(reason, `${findings.length} found\n${findings.map(formatFinding).join('\n')}`);
    this.name = 'FindingsError';
    this.findings = findings;
  }
}
