/**
 * Findings: validation problems of one input. All of them are collected, with their locations,
 * before they are reported.
 */
import type { Finding } from '../types/public.js';
import { Failure } from './failure.js';

/** Formats one finding as a line of text. */
export const formatFinding = ({ place, message, found, allowed }: Finding): string => {
  const foundText = found === undefined ? '' : `; found ${found}`;
  const allowedText = allowed === undefined ? '' : `; allowed: ${allowed}`;
  return `${place}: ${message}${foundText}${allowedText}`;
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
