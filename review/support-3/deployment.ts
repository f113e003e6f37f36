/* eslint-disable n/no-sync -- a case writes its few files before and after it runs */
/**
 * Stand-in for the platform of the cases of this review: machines on loopback addresses of their
 * own, with settings files like those of DEPLOY.md, and the programs as processes, started with the
 * commands of the deploy file.
 */
import { mkdirSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parse } from 'smol-toml';
import {
  createManagedProcess,
  type ManagedProcess,
} from '../../__tests__/support/managedProcess.js';
import {
  startPlatformEndpoint,
  type EndpointOptions,
  type PlatformEndpoint,
} from '../../__tests__/support/platformEndpoint.js';
import { sendRequest, type HttpResponse } from '../../__tests__/support/platform.js';

const ports = { ready: 8141, control: 8144, app: 8145, inbound: 8146, outbound: 8147 };
const bounds =
  'seed_lag_s=3,reuse_after_s=2,stability_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,' +
  'loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,max_stretch_ms=5000,' +
  'retry_budget_ratio=0.2,budget_window_s=10,retry_budget_slack=56,recovery_s=15';
const operatorTimeoutMs = 1_000;

interface DeployFile {
  readonly roles: Record<string, { readonly run: string }>;
}

/** Arguments after `node` of a role's command in the deploy file. */
const argumentsOf = (role: string): string[] => {
  const { roles } = parse(readFileSync('deploy/system.toml', 'utf8')) as unknown as DeployFile;
  return roles[role]!.run.split(' ').slice(1);
};

export interface Core {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly process: ManagedProcess;
  readonly dataFolder: string;
}

export interface Sidecar {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly service: string;
  readonly process: ManagedProcess;
  readonly outbound: string;
  endpoint: PlatformEndpoint | undefined;
}

/** Finds a free network 127.A.B.0/24 by binding one of its addresses. */
const findNetwork = async (): Promise<string> => {
  for (let attempt = 0; attempt < 50; attempt += 1) {
    const network = `127.${20 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const isFree = await new Promise<boolean>((resolve) => {
      const server = createServer();
      server.once('error', () => resolve(false));
      server.listen(ports.control, `${network}.1`, () => server.close(() => resolve(true)));
    });
    if (isFree) {
      return network;
    }
  }
  throw new Error('no free loopback network');
};

export const createDeployment = async (zones: readonly string[], linkMbps = 1_000) => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnsill-review-'));
  const network = await findNetwork();
  const cores: Core[] = [];
  const sidecars: Sidecar[] = [];
  let hosts = 0;
  const nextIp = () => {
    hosts += 1;
    return `${network}.${hosts}`;
  };

  const writeSettings = (name: string, ip: string, zone: string, lines: readonly string[]) =>
    writeFileSync(
      join(folder, `${name}.conf`),
      [
        `node=${name}`,
        `ip=${ip}`,
        `zone=${zone}`,
        'region=here',
        ...zones.map((each) => `zones.${each}=here`),
        'internal_ports=7380,7395',
        'limits.cores=1',
        `limits.link_mbps=${linkMbps}`,
        'discovery=local',
        'entry=local',
        'heartbeat_ms=1500',
        'fault_tolerance.machines=1',
        'fault_tolerance.zones=1',
        `bounds=${bounds}`,
        ...lines,
        '',
      ].join('\n'),
    );

  const createProcess = (name: string, role: string) =>
    createManagedProcess({
      name,
      args: argumentsOf(role),
      cwd: process.cwd(),
      env: { AUBURNSILL_BOOT: join(folder, `${name}.conf`), HOME: folder },
    });

  /** Adds a machine of the core without starting its process. */
  const addCore = (zone: string): Core => {
    const name = `core-${cores.length + 1}`;
    const dataFolder = join(folder, `${name}.data`);
    mkdirSync(dataFolder);
    const core = { name, ip: nextIp(), zone, process: createProcess(name, 'control'), dataFolder };
    cores.push(core);
    return core;
  };

  const seedsOf = (machines: readonly Core[]) =>
    machines.map(({ ip }) => `${ip}:${ports.control}`).join(',');

  const writeCoreSettings = (core: Core, seeds: readonly Core[], isFirstStart: boolean) =>
    writeSettings(core.name, core.ip, core.zone, [
      'role=control',
      'machine_class=core',
      'serves=control',
      `listen.control=${core.ip}:${ports.control}`,
      `seeds=${seedsOf(seeds)}`,
      `bootstrap=${isFirstStart}`,
      'loss_counts=true',
      `data_dir=${core.dataFolder}`,
    ]);

  const addSidecar = (zone: string, service: string): Sidecar => {
    const name = `sidecar-${sidecars.length + 1}`;
    const ip = nextIp();
    const sidecar: Sidecar = {
      name,
      ip,
      zone,
      service,
      process: createProcess(name, 'node'),
      outbound: `${ip}:${ports.outbound}`,
      endpoint: undefined,
    };
    sidecars.push(sidecar);
    return sidecar;
  };

  const writeSidecarSettings = (
    { name, ip, zone, service }: Sidecar,
    seeds: readonly Core[],
    isFirstStart: boolean,
  ) =>
    writeSettings(name, ip, zone, [
      'role=node',
      'machine_class=sidecar',
      'serves=sidecar',
      ...(['inbound', 'outbound', 'ready', 'control'] as const).map(
        (kind) => `listen.${kind}=${ip}:${ports[kind]}`,
      ),
      `seeds=${seedsOf(seeds)}`,
      `bootstrap=${isFirstStart}`,
      'loss_counts=false',
      `app_addr=${ip}:${ports.app}`,
      `service=${service}`,
    ]);

  let endpoints = 0;
  const startEndpoint = async (sidecar: Sidecar, fields: Partial<EndpointOptions> = {}) => {
    endpoints += 1;
    sidecar.endpoint = await startPlatformEndpoint({
      host: sidecar.ip,
      port: ports.app,
      control: `${sidecar.ip}:${ports.control}`,
      service: sidecar.service,
      dataCentre: sidecar.zone,
      id: `i-${endpoints}`,
      heartbeatMs: 1_500,
      ...fields,
    });
    return sidecar.endpoint;
  };

  /** Sends an order to one core machine; follows two redirects. Undefined without an answer in 1 s. */
  const order = async (
    at: Core,
    path: string,
    body?: string,
  ): Promise<HttpResponse | { readonly status: string; readonly body: string }> => {
    let address = `${at.ip}:${ports.control}`;
    try {
      for (let hops = 0; ; hops += 1) {
        const response = await sendRequest(address, {
          method: body === undefined ? 'GET' : 'POST',
          path,
          host: address,
          id: 'operator',
          headers: { 'content-type': 'application/json' },
          body,
          signal: AbortSignal.timeout(operatorTimeoutMs),
        });
        if (response.status !== 307 || hops === 2) {
          return response;
        }
        address = new URL(String(response.headers.location)).host;
      }
    } catch (error) {
      const { code, name } = error as { code?: string; name: string };
      return { status: code === 'ABORT_ERR' ? 'no answer in 1 s' : (code ?? name), body: '' };
    }
  };

  const isReady = async ({ ip }: Sidecar): Promise<boolean> => {
    try {
      const address = `${ip}:${ports.ready}`;
      return (await sendRequest(address, { path: '/ready', host: 'x', id: 'r' })).status === 200;
    } catch {
      return false;
    }
  };

  const stop = async () => {
    await Promise.all(sidecars.map(({ endpoint }) => endpoint?.stop()));
    await Promise.all(
      [...sidecars, ...cores].map(async ({ process: each }) => {
        if (each.isRunning()) {
          await each.end('SIGKILL');
        }
      }),
    );
    rmSync(folder, { recursive: true, force: true });
  };

  return {
    cores,
    sidecars,
    addCore,
    writeCoreSettings,
    addSidecar,
    writeSidecarSettings,
    startEndpoint,
    order,
    isReady,
    stop,
  };
};

export type Deployment = Awaited<ReturnType<typeof createDeployment>>;
