/**
 * Token files that settings refer to. They are read even if the settings are invalid otherwise, so
 * that all problems are reported together.
 */
import { readFileSync } from 'node:fs';
import { dirname, resolve } from 'node:path';
import type { Finding } from '../../types/public.js';

/** Shorter tokens are too easy to guess. */
const minTokenLength = 16;

export interface TokenFile {
  readonly token: string;
  readonly findings: readonly Finding[];
}

const findTokenPath = (settings: unknown): string | undefined => {
  const { cluster } = (settings ?? {}) as { cluster?: { token_file?: unknown } };
  const path = cluster?.token_file;
  return typeof path === 'string' && path !== '' ? path : undefined;
};

/** Reads the file at `cluster.token_file` of settings that are parsed, but not validated. */
export const readTokenFile = (settingsFile: string, settings: unknown): TokenFile => {
  const path = findTokenPath(settings);
  if (path === undefined) {
    return { token: '', findings: [] };
  }
  const place = `${settingsFile}: cluster.token_file`;
  try {
    // Settings are read once, before the event loop has other work.
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
