/**
 * Text output: aligned tables, versions and durations.
 */
import type { Version as VersionMessage } from '../gen/auburnsill/v1/common_pb.js';
import type { Version } from '../types/public.js';
import { formatVersion } from '../core/agreement/version.js';

/** Aligns rows in columns that are two spaces apart. */
export const formatTable = (rows: readonly (readonly string[])[]): string => {
  const widths: number[] = [];
  rows.forEach((row) =>
    row.forEach((cell, column) => {
      widths[column] = Math.max(widths[column] ?? 0, cell.length);
    }),
  );
  return rows
    .map((row) =>
      row
        .map((cell, column) => cell.padEnd(widths[column] ?? 0))
        .join('  ')
        .trimEnd(),
    )
    .join('\n');
};

export const toVersion = (message: VersionMessage | undefined): Version => ({
  term: Number(message?.term ?? 0),
  index: Number(message?.index ?? 0),
});

/** `term.index`, or `none` for the version before the first change. */
export const formatWireVersion = (message: VersionMessage | undefined): string => {
  const version = toVersion(message);
  return version.index === 0 ? 'none' : formatVersion(version);
};

/** JSON of messages: 64-bit numbers as numbers, and without the type names of the library. */
export const formatJson = (value: unknown): string =>
  JSON.stringify(value, (key, item: unknown) => {
    if (key.startsWith('$')) {
      return undefined;
    }
    return typeof item === 'bigint' ? Number(item) : item;
  });

/** `1 node`, `2 nodes`. */
export const pluralize = (count: number, noun: string): string =>
  `${count} ${noun}${count === 1 ? '' : 's'}`;
