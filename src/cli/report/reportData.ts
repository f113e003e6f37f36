/**
 * Data of the burn report: snapshots of the nodes, compared with the targets.
 */
import { request } from 'undici';
import * as z from 'zod';
import {
  burnReport,
  mergeBurn,
  type BurnLine,
  type BurnSnapshot,
} from '../../core/operators/burn.js';
import type { Configuration } from '../../types/public.js';

const requestTimeoutMs = 3_000;
const maxReportBytes = 4 * 1024 * 1024;

const countsSchema = z.object({
  good: z.number(),
  late: z.number(),
  shed: z.number(),
  failed: z.number(),
  waiting: z.number(),
});

const snapshotSchema = z.object({
  shortMs: z.number(),
  longMs: z.number(),
  entries: z.array(
    z.object({
      className: z.string(),
      dataCentre: z.string(),
      short: countsSchema,
      long: countsSchema,
    }),
  ),
});

/** The part of a node's `/report` that this command uses. */
const reportSchema = z.object({ snapshot: snapshotSchema });

export interface MissingNode {
  readonly address: string;
  readonly reason: string;
}

export interface CollectedBurn {
  readonly snapshot: BurnSnapshot;
  readonly nodes: number;
  readonly missing: readonly MissingNode[];
}

export interface ReportData extends CollectedBurn {
  readonly lines: readonly BurnLine[];
  readonly version: string;
  readonly createdAt: Date;
}

const fetchSnapshot = async (address: string): Promise<BurnSnapshot> => {
  const response = await request(`http://${address}/report`, {
    headersTimeout: requestTimeoutMs,
    bodyTimeout: requestTimeoutMs,
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) {
    throw new Error(`status ${response.statusCode}`);
  }
  if (text.length > maxReportBytes) {
    throw new Error(`the report is larger than ${maxReportBytes} bytes`);
  }
  const parsed = reportSchema.safeParse(JSON.parse(text));
  if (!parsed.success) {
    throw new Error(`invalid report: ${parsed.error.issues[0]?.path.join('.')}`);
  }
  return parsed.data.snapshot;
};

/** Fetches the reports of all nodes. Nodes that do not answer are listed as missing. */
export const collectBurn = async (addresses: readonly string[]): Promise<CollectedBurn> => {
  const results = await Promise.allSettled(addresses.map(fetchSnapshot));
  const snapshots = results.flatMap((result) =>
    result.status === 'fulfilled' ? [result.value] : [],
  );
  const missing = results.flatMap((result, index) =>
    result.status === 'rejected'
      ? [{ address: addresses[index] ?? '', reason: String(result.reason?.message ?? '') }]
      : [],
  );
  return { snapshot: mergeBurn(snapshots), nodes: snapshots.length, missing };
};

const compareLines = (a: BurnLine, b: BurnLine): number =>
  a.className.localeCompare(b.className) || a.dataCentre.localeCompare(b.dataCentre);

/** Compares the collected counts with the targets of one version. */
export const createReport = (
  collected: CollectedBurn,
  configuration: Configuration,
  version: string,
  createdAt: Date,
): ReportData => ({
  ...collected,
  lines: burnReport(collected.snapshot, configuration).sort(compareLines),
  version,
  createdAt,
});
