/**
 * Token files that settings name. They are read even if the settings have other faults, so that all
 * problems are reported together.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import type { Finding } from '../../types/public.js';

/** Shorter tokens can be guessed. */
const minTokenLength = 16;

export interface TokenFile {
  readonly token: string;
  readonly findings: readonly Finding[];
}

const tokenPathIn = (settings: unknown): string | undefined => {
  const { cluster } = (settings ?? {}) as { cluster?: { token_file?: unknown } };
  const path = cluster?.token_file;
  return typeof path === 'string' && path !== '' ? path : undefined;
};

/** Reads the file that `cluster.token_file` of the parsed, unchecked settings names. */
export const readTokenFile = (settingsFile: string, settings: unknown): TokenFile => {
  const path = tokenPathIn(settings);
  if (path === undefined) {
    return { token: '', findings: [] };
  }
  const place = `${settingsFile}: cluster.token_file`;
  try {
    // Settings are read once, before the loop has other work.
    // eslint-disable-next-line n/no-sync
    const token = readFileSync(resolve(dirname(settingsFile), path), 'utf8').trim();
    const found = `${token.length} characters`;
    const allowed = `${minTokenLength} printable characters or more`;
    const isValid = token.length >= minTokenLength && /^[\x21-\x7e]+$/.test(token);
    return {
      token,
      findings: isValid ? [] : [{ place, message: 'invalid token', found, allowed }],
    };
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    return { token: '', findings: [{ place, message, found: path }] };
  }
};
