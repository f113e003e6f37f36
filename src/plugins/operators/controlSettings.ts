/**
 * Settings of a control instance, and the files that they refer to.
 */
import { dirname, resolve } from 'node:path';
import * as z from 'zod';
import { defaultQuotaBounds, type QuotaSettings } from '../../core/quota/quotaBounds.js';
import type { RolloutLimits } from '../../core/rollouts/rolloutPlan.js';
import type { Finding } from '../../types/public.js';
import { FindingsError } from '../../utils/findings.js';
import type { LogLevel } from '../../utils/log.js';
import { checkValue, parseTomlText, readSettings } from '../../utils/settings.js';
import { readSettingsText } from '../../utils/utf8.js';
import { parseAddress, type Address } from '../rpc.js';
import { readTokenFile } from './tokenFile.js';

/** At most 7 instances are reserved for control. */
const maxMembers = 7;

const name = z
  .string()
  .regex(/^[a-z0-9](?:[a-z0-9-]{0,62})$/, 'lower-case letters, digits and "-", 63 at most');
const address = z
  .string()
  .refine((text) => parseAddress(text) !== undefined, 'an address "ip:port" with an IP number');

const memberSchema = z.strictObject({ name, address, data_centre: name, region: name });

const settingsSchema = z.strictObject({
  control: z.strictObject({ name, data_centre: name, region: name }),
  listen: z.strictObject({ peer: address, admin: address }),
  storage: z.strictObject({ folder: z.string().min(1) }),
  cluster: z.strictObject({
    name,
    token_file: z.string().min(1),
    operators_file: z.string().min(1),
    members: z.array(memberSchema).min(1).max(maxMembers),
  }),
  log: z
    .strictObject({ level: z.enum(['error', 'warn', 'info', 'debug']).default('info') })
    .prefault({}),
});

const operatorsSchema = z.record(
  z.string().min(1).max(64),
  z.string().regex(/^[0-9a-f]{64}$/, 'the SHA-256 of a token as 64 hex digits'),
);

export interface ControlMemberSettings {
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
}

export interface ControlSettings {
  readonly control: { readonly name: string; readonly dataCentre: string; readonly region: string };
  readonly listen: { readonly peer: Address; readonly admin: Address };
  readonly folder: string;
  readonly cluster: {
    readonly name: string;
    readonly token: string;
    readonly operators: Readonly<Record<string, string>>;
    readonly members: readonly ControlMemberSettings[];
  };
  readonly logLevel: LogLevel;
  /**
   * Set if the members discover each other: `members` then contains only this instance, and the
   * others join through the seeds.
   */
  readonly discovery?: ControlDiscovery;
  /** Whether this instance runs the at-most-once ledger. */
  readonly hasLedger: boolean;
  readonly quota: QuotaSettings;
  /** Limits of rollouts. Unset: the defaults. */
  readonly rollouts?: RolloutLimits;
}

export interface ControlDiscovery {
  /** Peer addresses of the control instances known when the settings were written. */
  readonly seeds: () => readonly string[];
  /** The cluster starts for the first time, and the first seed bootstraps it. */
  readonly isFirstStart: boolean;
  /** Number of control instances that can be lost at the same time without losing a change. */
  readonly toleratedLosses: number;
}

type ParsedSettings = z.output<typeof settingsSchema>;

const readText = (file: string, place: string, findings: Finding[]): string => {
  try {
    return readSettingsText(file);
  } catch (error) {
    findings.push({ place, message: error instanceof Error ? error.message : String(error) });
    return '';
  }
};

const readOperators = (
  file: string,
  place: string,
  findings: Finding[],
): Record<string, string> => {
  const findingsBefore = findings.length;
  const parsed = parseTomlText(readText(file, place, findings), file);
  if (findings.length > findingsBefore || !parsed.value) {
    findings.push(...parsed.findings);
    return {};
  }
  const checked = checkValue(parsed.value, file, operatorsSchema);
  findings.push(...checked.findings);
  return checked.output ?? {};
};

const checkMembers = ({ control, cluster }: ParsedSettings, file: string): Finding[] => {
  const findings: Finding[] = [];
  const place = `${file}: cluster.members`;
  const findDuplicate = (values: readonly string[]): string | undefined =>
    values.find((value, position) => values.indexOf(value) !== position);
  const duplicate =
    findDuplicate(cluster.members.map((member) => member.name)) ??
    findDuplicate(cluster.members.map((member) => member.address));
  if (duplicate !== undefined) {
    findings.push({ place, message: 'a name or address occurs twice', found: duplicate });
  }
  const own = cluster.members.find((member) => member.name === control.name);
  if (!own) {
    const found = cluster.members.map((member) => member.name).join(', ');
    findings.push({ place, message: 'this instance is missing', found, allowed: control.name });
  } else if (own.data_centre !== control.data_centre || own.region !== control.region) {
    findings.push({
      place: `${file}: control`,
      message: 'data centre or region differ from the entry in cluster.members',
      found: `${control.data_centre}, ${control.region}`,
      allowed: `${own.data_centre}, ${own.region}`,
    });
  }
  return findings;
};

/** Returns the path of the operators file in settings that are not validated yet. */
const findOperatorsPath = (settings: unknown): string | undefined => {
  const { cluster } = (settings ?? {}) as { cluster?: { operators_file?: unknown } };
  const path = cluster?.operators_file;
  return typeof path === 'string' && path !== '' ? path : undefined;
};

interface ReferencedFiles {
  readonly token: string;
  readonly operators: Readonly<Record<string, string>>;
  readonly findings: readonly Finding[];
}

const readReferencedFiles = (file: string, settings: unknown): ReferencedFiles => {
  const { token, findings: tokenFindings } = readTokenFile(file, settings);
  const findings = [...tokenFindings];
  const path = findOperatorsPath(settings);
  const operators =
    path === undefined
      ? {}
      : readOperators(resolve(dirname(file), path), `${file}: cluster.operators_file`, findings);
  return { token, operators, findings };
};

/** Reads the settings. Throws a FindingsError with all problems. */
export const readControlSettings = (file: string): ControlSettings => {
  let files: ReferencedFiles = { token: '', operators: {}, findings: [] };
  const parsed = readSettings(file, settingsSchema, (value) => {
    files = readReferencedFiles(file, value);
    return files.findings;
  });
  const { control, listen, storage, cluster, log } = parsed;
  const findings = checkMembers(parsed, file);
  if (findings.length > 0) {
    throw new FindingsError('invalid_settings', findings);
  }
  return {
    control: { name: control.name, dataCentre: control.data_centre, region: control.region },
    listen: { peer: parseAddress(listen.peer)!, admin: parseAddress(listen.admin)! },
    folder: resolve(dirname(resolve(file)), storage.folder),
    cluster: {
      name: cluster.name,
      token: files.token,
      operators: files.operators,
      members: cluster.members.map((member) => ({
        name: member.name,
        address: member.address,
        dataCentre: member.data_centre,
        region: member.region,
      })),
    },
    logLevel: log.level,
    hasLedger: true,
    quota: {
      shares: new Set(cluster.members.map((member) => member.data_centre)).size,
      bounds: defaultQuotaBounds,
    },
  };
};
