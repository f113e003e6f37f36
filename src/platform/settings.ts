/**
 * Parses the platform's settings file and converts it to the settings of nodes and control
 * instances. The file has lines `key=value` with dotted keys and comma-separated lists. Unknown
 * keys are ignored; every problem is reported with its line.
 */
import { readFileSync } from 'node:fs';
import type { RetryBudgetsOptions } from '../core/calls/retry.js';
import {
  defaultQuotaBounds,
  type QuotaBounds,
  type QuotaSettings,
} from '../core/quota/quotaBounds.js';
import { defaultRolloutLimits, type RolloutLimits } from '../core/rollouts/rolloutPlan.js';
import type { ControlSettings } from '../plugins/operators/controlSettings.js';
import type { NodeSettings } from '../plugins/operators/nodeSettings.js';
import { parseAddress, type Address } from '../plugins/rpc.js';
import type { NodeFeatures } from './arguments.js';
import type { Finding } from '../types/public.js';
import { FindingsError } from '../utils/findings.js';

/** Environment variable with the path of the settings file. */
const fileVariable = 'AUBURNSILL_BOOT';
const clusterName = 'platform';
/**
 * Fixed, since the platform provides no secret and its network carries only the traffic of its own
 * machines. The token only rejects unrelated processes that connect by mistake.
 */
const clusterToken = 'auburnsill-on-platform';
/** Heartbeat period if the settings have none, in ms: that of the platform's sample settings. */
const defaultHeartbeatMs = 1_500;
/** Grace period if the bounds have none, in s: that of the platform's sample settings. */
const defaultGraceSeconds = 6;
/** Tolerated losses if the settings have none: that of the platform's sample settings. */
const defaultToleratedLosses = 1;
/** Retry limit if the bounds have none: that of the platform's sample settings. */
const defaultRetryLimit = { share: 0.2, windowSeconds: 10, slack: 56 } as const;
/**
 * Part of the allowed retries that nodes use for their own retries. The rest is reserved for
 * nested calls: calls that a retried call makes count as retries at the service they go to, and no
 * node can distinguish them from first attempts.
 */
const ownRetryPart = 0.6;
/** Nodes that the slack is divided among while the size of the fleet is unknown. */
const assumedNodes = 1_000;
/** Slack of a class, as a part of the slack of its service. */
const classSlackPart = 0.5;

export interface PlatformSettings {
  readonly node: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Data centres of the deployment; empty if the settings do not list them. */
  readonly dataCentres: readonly string[];
  readonly listen: Readonly<Record<string, string>>;
  /** Port for traffic between nodes and control instances, the same on all machines. */
  readonly peerPort: number;
  /** Operator API addresses of some control instances. */
  readonly seeds: readonly string[];
  readonly isFirstStart: boolean;
  /** Machines with a disk that can be lost at the same time. */
  readonly toleratedLosses: number;
  readonly dataFolder: string;
  /** Period of the endpoint's heartbeats, in ms. */
  readonly heartbeatMs: number;
  /** Service of the endpoint on this machine; empty on machines without one. */
  readonly service: string;
  /** Address of that endpoint; empty if it is not known. */
  readonly endpointAddress: string;
  /** Time from SIGTERM to SIGKILL, in ms. */
  readonly graceMs: number;
  /** Limit on the retries that the endpoints of a service receive from all nodes together. */
  readonly retryLimit: RetryLimit;
  /** Limit on the requests of a tenant. */
  readonly quotaBounds: QuotaBounds;
  /** Limits on the calls that a bad version of a service may get. */
  readonly rolloutLimits: RolloutLimits;
  /** Bandwidth of the machine's network link in Mbit/s, if limited. */
  readonly linkMbps: number | undefined;
}

/** Retries allowed per window: `share` of the requests to the service, plus `slack`. */
export interface RetryLimit {
  readonly share: number;
  readonly windowMs: number;
  readonly slack: number;
}

interface Line {
  readonly value: string;
  readonly number: number;
}

const readLines = (text: string, file: string, findings: Finding[]): Map<string, Line> => {
  const lines = new Map<string, Line>();
  text.split(/\r?\n/).forEach((line, index) => {
    const end = line.indexOf('=');
    if (line.trim() === '' || line.startsWith('#')) {
      return;
    }
    if (end <= 0) {
      const place = `${file}: line ${index + 1}`;
      findings.push({ place, message: 'not a line key=value', found: line.slice(0, 80) });
      return;
    }
    lines.set(line.slice(0, end).trim(), { value: line.slice(end + 1).trim(), number: index + 1 });
  });
  return lines;
};

const splitList = (text: string): string[] =>
  text
    .split(',')
    .map((item) => item.trim())
    .filter((item) => item !== '');

/** Returns a bound above 0, or of 0 if that is allowed. */
const readBound = (bounds: string, name: string, allowsZero = false): number | undefined => {
  const found = splitList(bounds).find((bound) => bound.startsWith(`${name}=`));
  const text = found?.slice(name.length + 1) || undefined;
  const value = Number(text);
  return value > 0 || (allowsZero && value === 0) ? value : undefined;
};

const readQuotaBounds = (bounds: string): QuotaBounds => {
  const windowSeconds = readBound(bounds, 'quota_window_s');
  return {
    windowMs: windowSeconds === undefined ? defaultQuotaBounds.windowMs : windowSeconds * 1_000,
    overage: readBound(bounds, 'quota_overage', true) ?? defaultQuotaBounds.overage,
    slack: readBound(bounds, 'quota_slack', true) ?? defaultQuotaBounds.slack,
  };
};

/** Names in the lines `zones.NAME=region`, with that of this machine; empty without such lines. */
const readDataCentres = (lines: ReadonlyMap<string, Line>, own: string): string[] => {
  const names = [...lines.keys()]
    .filter((key) => key.startsWith('zones.'))
    .map((key) => key.slice('zones.'.length));
  return names.length === 0 ? [] : [...new Set([...names, own])];
};

/** Parses the text of a settings file. Throws a FindingsError with every problem in it. */
export const parsePlatformSettings = (text: string, file: string): PlatformSettings => {
  const findings: Finding[] = [];
  const lines = readLines(text, file, findings);
  const optional = (key: string): string => lines.get(key)?.value ?? '';
  const report = (key: string, message: string, allowed: string) => {
    const line = lines.get(key);
    const place = line ? `${file}: line ${line.number}: ${key}` : `${file}: ${key}`;
    findings.push({ place, message, found: line?.value ?? 'nothing', allowed });
  };
  const required = (key: string): string => {
    if (optional(key) === '') {
      report(key, 'missing', 'a value');
    }
    return optional(key);
  };
  const checkAddress = (key: string) => {
    if (parseAddress(optional(key)) === undefined) {
      report(key, 'not an address', 'ip:port');
    }
  };

  const listen = Object.fromEntries(
    [...lines]
      .filter(([key]) => key.startsWith('listen.'))
      .map(([key, { value }]) => [key.slice('listen.'.length), value]),
  );
  Object.keys(listen).forEach((name) => checkAddress(`listen.${name}`));
  const ports = splitList(required('internal_ports')).map(Number);
  const peerPort = ports[0] ?? 0;
  if (!(Number.isInteger(peerPort) && peerPort > 0)) {
    report('internal_ports', 'not a range of ports', 'first and last port, separated by a comma');
  }
  const seeds = splitList(optional('seeds'));
  if (seeds.some((seed) => parseAddress(seed) === undefined)) {
    report('seeds', 'not a list of addresses', 'ip:port, separated by commas');
  }
  const heartbeatMs = Number(optional('heartbeat_ms') || defaultHeartbeatMs);
  if (!(heartbeatMs > 0)) {
    report('heartbeat_ms', 'not a duration', 'milliseconds above 0');
  }
  const linkMbps = Number(optional('limits.link_mbps'));
  if (!(linkMbps >= 0)) {
    report('limits.link_mbps', 'not a rate', 'Mbit/s, 0 for no limit');
  }
  const toleratedLosses = Number(optional('fault_tolerance.machines') || defaultToleratedLosses);
  if (!(Number.isInteger(toleratedLosses) && toleratedLosses >= 0)) {
    report('fault_tolerance.machines', 'not a number of machines', 'a whole number');
  }
  const graceSeconds = readBound(optional('bounds'), 'grace_s') ?? defaultGraceSeconds;
  const bounds = optional('bounds');
  const settings: PlatformSettings = {
    node: required('node'),
    ip: required('ip'),
    dataCentre: required('zone'),
    region: optional('region') || 'region',
    dataCentres: readDataCentres(lines, optional('zone')),
    listen,
    peerPort,
    seeds,
    isFirstStart: optional('bootstrap') === 'true',
    toleratedLosses,
    dataFolder: optional('data_dir'),
    heartbeatMs,
    service: optional('service'),
    endpointAddress: optional('app_addr'),
    graceMs: graceSeconds * 1_000,
    retryLimit: {
      share: readBound(bounds, 'retry_budget_ratio') ?? defaultRetryLimit.share,
      windowMs: (readBound(bounds, 'budget_window_s') ?? defaultRetryLimit.windowSeconds) * 1_000,
      slack: readBound(bounds, 'retry_budget_slack') ?? defaultRetryLimit.slack,
    },
    quotaBounds: readQuotaBounds(bounds),
    rolloutLimits: {
      exposureShare: Math.min(
        1,
        readBound(bounds, 'exposure_share') ?? defaultRolloutLimits.exposureShare,
      ),
      exposureSlack:
        readBound(bounds, 'exposure_slack', true) ?? defaultRolloutLimits.exposureSlack,
      rollbackMs: readBound(bounds, 'rollback_ms') ?? defaultRolloutLimits.rollbackMs,
    },
    linkMbps: linkMbps > 0 ? linkMbps : undefined,
  };
  if (findings.length > 0) {
    throw new FindingsError('invalid_settings', findings);
  }
  return settings;
};

/** Returns the path of the settings file. Throws a FindingsError if the variable is not set. */
export const platformSettingsFile = (): string => {
  const file = process.env[fileVariable];
  if (file === undefined || file === '') {
    const message = 'the environment variable with the path of the settings file is not set';
    throw new FindingsError('invalid_settings', [{ place: fileVariable, message }]);
  }
  return file;
};

/** Reads the settings file. Throws a FindingsError with every problem in it. */
export const readPlatformSettings = (file: string): PlatformSettings => {
  let text: string;
  try {
    // Settings are a small file, read at the start and when they change. Lines with unknown keys are
    // ignored, whatever their bytes, so invalid UTF-8 is no reason to reject the file.
    // eslint-disable-next-line n/no-sync
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new FindingsError('invalid_settings', [{ place: file, message }]);
  }
  return parsePlatformSettings(text, file);
};

/** Returns the peer address of the machine that `address` belongs to. */
export const peerAddressOf = (address: string, { peerPort }: PlatformSettings): string =>
  `${parseAddress(address)!.host}:${peerPort}`;

export const peerSeeds = (settings: PlatformSettings): string[] =>
  settings.seeds.map((seed) => peerAddressOf(seed, settings));

/** Returns the address of a `listen` entry. Throws a FindingsError if it is missing. */
export const listenAddress = ({ listen }: PlatformSettings, name: string): Address => {
  const found = parseAddress(listen[name] ?? '');
  if (!found) {
    const message = 'missing, but this program has to listen on it';
    throw new FindingsError('invalid_settings', [{ place: `listen.${name}`, message }]);
  }
  return found;
};

/**
 * Retry budget of one node, such that all nodes together stay within the limit. The limit counts
 * the calls of callers and the retries of all calls.
 */
export const toRetryBudgets = ({
  retryLimit: { share, windowMs, slack },
}: PlatformSettings): RetryBudgetsOptions => ({
  share: ownRetryPart * share,
  windowMs,
  fleetSlack: { retries: ownRetryPart * slack, classPart: classSlackPart, assumedNodes },
  countsNestedCalls: false,
});

/**
 * Settings for the rates of tenants. Without a list of data centres, each seed may be in another
 * one; with fewer shares than data centres, the owners would together exceed a rate.
 */
const toQuotaSettings = ({
  dataCentres,
  seeds,
  quotaBounds: bounds,
}: PlatformSettings): QuotaSettings => ({
  shares: dataCentres.length || Math.max(1, seeds.length),
  bounds,
});

/** Converts the settings to those of a node. */
export const toNodeSettings = (
  settings: PlatformSettings,
  adminPort: number,
  { wholeCall, adaptivePace }: NodeFeatures = { wholeCall: false, adaptivePace: false },
): NodeSettings => {
  const { node, ip, dataCentre, region, listen, peerPort, linkMbps } = settings;
  return {
    node: { name: node, data_centre: dataCentre, region },
    listen: {
      calls: listen.outbound ?? '',
      forward: listen.inbound ?? '',
      peer: `${ip}:${peerPort}`,
      admin: `${ip}:${adminPort}`,
    },
    cluster: {
      name: clusterName,
      token_file: '',
      // The data centres of the seeds are unknown until one of them lists all control instances.
      control: peerSeeds(settings).map((address) => ({ address, data_centre: '' })),
      peers: [],
    },
    link: { rate_mbps: linkMbps },
    admission: { whole_call: wholeCall },
    routing: { adaptive_pace: adaptivePace },
    log: { level: 'info' },
    token: clusterToken,
    quota: toQuotaSettings(settings),
  };
};

/** Converts the settings to those of a control instance; `current` returns the latest settings. */
export const toControlSettings = (
  settings: PlatformSettings,
  adminPort: number,
  current: () => PlatformSettings,
): ControlSettings => {
  const { ip, dataCentre, region, peerPort } = settings;
  const address = `${ip}:${peerPort}`;
  // A replacement machine may have the same name, but has another address.
  const name = `${settings.node}@${ip}`;
  return {
    control: { name, dataCentre, region },
    listen: { peer: { host: ip, port: peerPort }, admin: { host: ip, port: adminPort } },
    folder: settings.dataFolder,
    cluster: {
      name: clusterName,
      token: clusterToken,
      operators: {},
      members: [{ name, address, dataCentre, region }],
    },
    logLevel: 'info',
    hasLedger: false,
    quota: toQuotaSettings(settings),
    rollouts: settings.rolloutLimits,
    discovery: {
      seeds: () => peerSeeds(current()),
      isFirstStart: settings.isFirstStart,
      toleratedLosses: settings.toleratedLosses,
    },
  };
};
