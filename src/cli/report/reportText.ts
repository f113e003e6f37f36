/**
 * The burn report as a text table.
 */
import type { BurnLine, OutcomeCounts } from '../../core/operators/burn.js';
import { formatTable, pluralize } from '../text.js';
import type { ReportData } from './reportData.js';

const msPerMinute = 60_000;

export const countCalls = ({ good, late, shed, failed, waiting }: OutcomeCounts): number =>
  good + late + shed + failed + waiting;

/** Formats the length of a window, for example `5 min`. */
export const formatWindow = (ms: number): string => `${Math.round(ms / msPerMinute)} min`;

/** Formats a burn rate with two decimals, or without decimals from 100. */
export const formatBurn = (burn: number): string =>
  burn >= 100 ? burn.toFixed(0) : burn.toFixed(2);

export const formatShare = (share: number): string => `${(share * 100).toFixed(1)}%`;

const rowOf = (line: BurnLine): string[] => [
  line.className,
  line.dataCentre,
  String(countCalls(line.long)),
  formatShare(1 - line.allowedShare),
  formatBurn(line.shortBurn),
  formatBurn(line.longBurn),
  formatShare(line.budgetLeft),
  ...(['late', 'shed', 'failed', 'waiting'] as const).map((cause) => String(line.long[cause])),
];

/** Formats the report as text. */
export const formatReport = ({ lines, snapshot, nodes, missing, version }: ReportData): string => {
  const short = formatWindow(snapshot.shortMs);
  const long = formatWindow(snapshot.longMs);
  const table = formatTable([
    [
      'CLASS',
      'DATA CENTRE',
      'CALLS',
      'TARGET',
      `BURN ${short}`,
      `BURN ${long}`,
      'BUDGET LEFT',
      'LATE',
      'SHED',
      'FAILED',
      'WAITING',
    ],
    ...lines.map(rowOf),
  ]);
  return [
    `version ${version}, ${pluralize(nodes, 'node')} reported, counts over ${long}; burn 1 uses the budget exactly`,
    ...missing.map(({ address, reason }) => `no report from ${address}: ${reason}`),
    '',
    lines.length === 0 ? 'no calls were recorded' : table,
  ].join('\n');
};
