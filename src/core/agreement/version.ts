/**
 * Order and text form of configuration versions. A version is the term and index of a committed log
 * entry, so two versions are equal only if they identify the same change.
 */
import type { Version } from '../../types/public.js';

export const noVersion: Version = { term: 0, index: 0 };

/** Returns a negative number if `a` is older than `b`, 0 if equal, a positive number if newer. */
export const compareVersions = (a: Version, b: Version): number =>
  a.term === b.term ? a.index - b.index : a.term - b.term;

export const isNewer = (a: Version, b: Version): boolean => compareVersions(a, b) > 0;

/** Text form `term.index`, as used in headers and on the command line. */
export const formatVersion = (version: Version): string => `${version.term}.${version.index}`;

/** Parses `term.index`. Returns undefined if the text has a different form. */
export const parseVersion = (text: string): Version | undefined => {
  const match = /^(\d{1,15})\.(\d{1,15})$/.exec(text);
  if (!match) {
    return undefined;
  }
  return { term: Number(match[1]), index: Number(match[2]) };
};
