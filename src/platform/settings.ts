/**
 * Settings file of the platform, and what it means for the product: lines `key=value` with dotted
 * keys, lists joined by commas. Unknown keys are ignored; every problem is reported with its line.
 */
import { readFileSync } from 'node:fs';
import type { RetryBudgetsOptions } from '../core/calls/retry.js';
import type { ControlSettings } from '../plugins/operators/controlSettings.js';
import type { NodeSettings } from '../plugins/operators/nodeSettings.js';
import { parseAddress, type Address } from '../plugins/rpc.js';
import type { Finding } from '../types/public.js';
import { FindingsError } from '../utils/findings.js';

/** Variable that names the settings file. */
const fileVariable = 'AUBURNSILL_BOOT';
const clusterName = 'platform';
/**
 * The platform hands out no secret, and its network carries the traffic of its own machines only:
 * the token tells this deployment's processes from strangers that connect by mistake.
 */
const clusterToken = 'auburnsill-on-platform';
/** Period of check-ins where the settings do not name it, in ms: that of the platform's sample. */
const defaultCheckInMs = 1_500;
/** Grace of a stop where the bounds do not name it, in s: that of the platform's sample. */
const defaultGraceSeconds = 6;
/** Limit of repeats where the bounds do not name it: that of the platform's sample. */
const defaultRepeats = { share: 0.2, windowSeconds: 10, spare: 56 } as const;
/**
 * Part of the share of repeats that nodes use for their own. The calls that a repeated run makes
 * count as repeats at the service that they go to, and no node knows them from others.
 */
const ownRepeats = 0.6;
/** Nodes that may use their spare repeats at once: a deployment has fewer. */
const nodesSharingSpare = 100;
/** Spare repeats of a class, as a part of those of its service. */
const classPart = 0.5;

export interface PlatformSettings {
  readonly node: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly region: string;
  readonly listen: Readonly<Record<string, string>>;
  /** Port for traffic between the product's own processes, the same on all machines. */
  readonly peerPort: number;
  /** Operator addresses of some control instances. */
  readonly seeds: readonly string[];
  readonly isFirstStart: boolean;
  readonly dataFolder: string;
  /** Period of the endpoint's check-ins, in ms. */
  readonly heartbeatMs: number;
  /** Service of the endpoint on this machine; empty on machines without one. */
  readonly service: string;
  /** Time from SIGTERM to SIGKILL, in ms. */
  readonly graceMs: number;
  /** What endpoints of a service may see of repeats, over all nodes. */
  readonly retryLimit: RetryLimit;
  /** Rate of the machine's link in Mbit/s, if it is limited. */
  readonly linkMbps: number | undefined;
}

/** In any window: `share` of the requests for a service, and `spare` more. */
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

const boundIn = (bounds: string, name: string): number | undefined => {
  const found = splitList(bounds).find((bound) => bound.startsWith(`${name}=`));
  const value = Number(found?.slice(name.length + 1));
  return found !== undefined && value > 0 ? value : undefined;
};

/** Reads the text of a settings file. Throws a FindingsError with every problem in it. */
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
  const address = (key: string) => {
    if (parseAddress(optional(key)) === undefined) {
      report(key, 'not an address', 'ip:port');
    }
  };

  const listen = Object.fromEntries(
    [...lines]
      .filter(([key]) => key.startsWith('listen.'))
      .map(([key, { value }]) => [key.slice('listen.'.length), value]),
  );
  Object.keys(listen).forEach((name) => address(`listen.${name}`));
  const ports = splitList(required('internal_ports')).map(Number);
  const peerPort = ports[0] ?? 0;
  if (!(Number.isInteger(peerPort) && peerPort > 0)) {
    report('internal_ports', 'not a range of ports', 'first and last port, separated by a comma');
  }
  const seeds = splitList(optional('seeds'));
  if (seeds.some((seed) => parseAddress(seed) === undefined)) {
    report('seeds', 'not a list of addresses', 'ip:port, separated by commas');
  }
  const checkInMs = Number(optional('heartbeat_ms') || defaultCheckInMs);
  if (!(checkInMs > 0)) {
    report('heartbeat_ms', 'not a duration', 'milliseconds above 0');
  }
  const linkMbps = Number(optional('limits.link_mbps'));
  if (!(linkMbps >= 0)) {
    report('limits.link_mbps', 'not a rate', 'Mbit/s, 0 for no limit');
  }
  const graceSeconds = boundIn(optional('bounds'), 'grace_s') ?? defaultGraceSeconds;
  const bounds = optional('bounds');
  const settings: PlatformSettings = {
    node: required('node'),
    ip: required('ip'),
    dataCentre: required('zone'),
    region: optional('region') || 'region',
    listen,
    peerPort,
    seeds,
    isFirstStart: optional('bootstrap') === 'true',
    dataFolder: optional('data_dir'),
    heartbeatMs: checkInMs,
    service: optional('service'),
    graceMs: graceSeconds * 1_000,
    retryLimit: {
      share: boundIn(bounds, 'retry_budget_ratio') ?? defaultRepeats.share,
      windowMs: (boundIn(bounds, 'budget_window_s') ?? defaultRepeats.windowSeconds) * 1_000,
      slack: boundIn(bounds, 'retry_budget_slack') ?? defaultRepeats.spare,
    },
    linkMbps: linkMbps > 0 ? linkMbps : undefined,
  };
  if (findings.length > 0) {
    throw new FindingsError('invalid_settings', findings);
  }
  return settings;
};

/** Path of the settings file. Throws a FindingsError if the environment does not name it. */
export const platformSettingsFile = (): string => {
  const file = process.env[fileVariable];
  if (file === undefined || file === '') {
    const message = 'the variable that names the settings file is not set';
    throw new FindingsError('invalid_settings', [{ place: fileVariable, message }]);
  }
  return file;
};

/** Reads the settings file. Throws a FindingsError with every problem in it. */
export const readPlatformSettings = (file: string): PlatformSettings => {
  let text: string;
  try {
    // Settings are a small file, read at the start and when they change.
    // eslint-disable-next-line n/no-sync
    text = readFileSync(file, 'utf8');
  } catch (error) {
    const message = error instanceof Error ? error.message : String(error);
    throw new FindingsError('invalid_settings', [{ place: file, message }]);
  }
  return parsePlatformSettings(text, file);
};

/** Address for traffic between the product's own processes on the machine of an address. */
export const peerAddressOf = (address: string, { peerPort }: PlatformSettings): string =>
  `${parseAddress(address)!.host}:${peerPort}`;

export const peerSeeds = (settings: PlatformSettings): string[] =>
  settings.seeds.map((seed) => peerAddressOf(seed, settings));

/** Address of a `listen` entry. Throws a FindingsError if the role does not have it. */
export const listenAddress = ({ listen }: PlatformSettings, name: string): Address => {
  const found = parseAddress(listen[name] ?? '');
  if (!found) {
    const message = 'missing: the role of this program has to serve it';
    throw new FindingsError('invalid_settings', [{ place: `listen.${name}`, message }]);
  }
  return found;
};

/** Budget of one node that keeps all nodes within the limit when all of them use theirs. */
export const toRetryBudgets = ({
  retryLimit: { share, windowMs, slack: spare },
}: PlatformSettings): RetryBudgetsOptions => {
  const serviceSpare = spare / nodesSharingSpare;
  return {
    share: ownRepeats * share,
    windowMs,
    serviceSlack: serviceSpare,
    slack: classPart * serviceSpare,
  };
};

/** What the settings mean for a node. */
export const toNodeSettings = (settings: PlatformSettings, adminPort: number): NodeSettings => {
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
      // The data centre of a seed is not known; the first one that is asked names them all.
      control: peerSeeds(settings).map((address) => ({ address, data_centre: '' })),
      peers: [],
    },
    link: { rate_mbps: linkMbps },
    log: { level: 'info' },
    token: clusterToken,
  };
};

/** What the settings mean for a control instance. `current` reads the settings of the moment. */
export const toControlSettings = (
  settings: PlatformSettings,
  adminPort: number,
  current: () => PlatformSettings,
): ControlSettings => {
  const { ip, dataCentre, region, peerPort } = settings;
  const address = `${ip}:${peerPort}`;
  // A machine that is replaced may keep its name but not its address.
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
    discovery: { seeds: () => peerSeeds(current()), isFirstStart: settings.isFirstStart },
  };
};
