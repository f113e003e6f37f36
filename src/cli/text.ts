/**
 * Text output: aligned tables, versions, JSON and plurals.
 */
import type { Version as VersionMessage } from '../gen/auburnsill/v1/common_pb.js';
import type { Version } from '../types/public.js';
import { formatVersion } from '../core/agreement/version.js';

/** Formats rows as aligned columns, separated by two spaces. */
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

/** Formats a version as `term.index`, or `none` before the first change. */
export const formatWireVersion = (message: VersionMessage | undefined): string => {
  const version = toVersion(message);
  return version.index === 0 ? 'none' : formatVersion(version);
};

/** Formats messages as JSON: bigints as numbers, without the type names that protobuf adds. */
export const formatJson = (value: unknown): string =>
  JSON.stringify(value, (key, item: unknown) => {
    if (key.startsWith('$')) {
      return undefined;
    }
    return typeof item === 'bigint' ? Number(item) : item;
  });

/** For example `1 node`, `2 nodes`. */
export const pluralize = (count: number, noun: string): string =>
  `${count} ${noun}${count === 1 ? '' : 's'}`;
