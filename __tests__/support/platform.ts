/**
 * Stand-in for the platform: machines on separate loopback addresses, settings files, the real
 * programs as processes, endpoints that send heartbeats, callers and an operator. It follows the
 * platform's published documentation and implements only what the tests need.
 */
import { mkdirSync, mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { Agent, request, type IncomingHttpHeaders } from 'node:http';
import { tmpdir } from 'node:os';
import { join, resolve as resolvePath } from 'node:path';
import { createManagedProcess, type ManagedProcess } from './managedProcess.js';
import {
  startPlatformEndpoint,
  type EndpointOptions,
  type PlatformEndpoint,
} from './platformEndpoint.js';
import { waitFor } from './waitFor.js';

const ports = { outbound: 8001, inbound: 8002, ready: 8003, control: 8004, app: 8005, admin: 9464 };
const internalPorts = '7380,7395';
/**
 * Network of one deployment. Its hosts are 127.A.B.1 to 127.A.B.254, with A and B derived from the
 * process ID.
 */
const networkOf = (offset: number): string => {
  const networkNumber = (process.pid * 7 + offset) % (200 * 250);
  return `127.${20 + Math.floor(networkNumber / 250)}.${networkNumber % 250}`;
};
let deploymentCount = 0;

export interface HttpResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

export interface CallOptions {
  readonly method?: string;
  readonly path: string;
  readonly host: string;
  readonly id: string;
  readonly deadlineMs?: number;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly agent?: Agent;
  readonly signal?: AbortSignal;
}

/** Sends one request and resolves with the complete response. Rejects if it breaks off. */
export const sendRequest = (address: string, options: CallOptions): Promise<HttpResponse> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const { method = 'GET', path, id, deadlineMs = 2_000, body, agent, signal } = options;
    const headers = {
      host: options.host,
      'request-id': id,
      'deadline-ms': String(deadlineMs),
      ...options.headers,
    };
    const clientRequest = request(
      { host, port, method, path, headers, agent, signal },
      (response) => {
        const parts: Buffer[] = [];
        response.on('data', (part: Buffer) => parts.push(part));
        response.on('end', () => {
          if (!response.complete) {
            reject(new Error('the response broke off'));
            return;
          }
          resolve({
            status: response.statusCode ?? 0,
            headers: response.headers,
            body: Buffer.concat(parts).toString(),
          });
        });
        response.on('error', reject);
      },
    );
    clientRequest.on('error', reject);
    clientRequest.end(body);
  });

export interface RouteOptions {
  readonly name: string;
  readonly host?: string;
  readonly prefix: string;
  readonly kind?: 'safe' | 'unsafe' | 'download';
  readonly service?: string;
  readonly weights?: Readonly<Record<string, number>>;
  readonly timeoutMs?: number;
  readonly targetLatencyMs?: number;
  readonly priority?: number;
  readonly attempts?: number;
}

/** Creates a platform document with these routes and their services. */
export const createDocument = (version: number, base: number, routes: readonly RouteOptions[]) => {
  const services = new Set(
    routes.flatMap(({ service, weights = {} }) => [
      ...(service === undefined ? [] : [service]),
      ...Object.keys(weights),
    ]),
  );
  return {
    version,
    base_version: base,
    resources: [
      ...routes.map((route) => ({
        type: 'routes',
        metadata: { name: route.name },
        spec: {
          host: route.host ?? 'mesh.example',
          path_prefix: route.prefix,
          route_type: route.kind ?? 'safe',
          timeout_ms: route.timeoutMs ?? 2_000,
          target_latency_ms: route.targetLatencyMs ?? 500,
          priority: route.priority ?? 1,
          ...(route.service !== undefined && { service: route.service }),
          ...(route.weights && {
            weighted_services: Object.entries(route.weights).map(([service, weight]) => ({
              service,
              weight,
            })),
          }),
          max_attempts: route.attempts ?? 2,
        },
      })),
      ...[...services].map((name) => ({
        type: 'services',
        metadata: { name },
        spec: { health_path: '/health', max_connections: 110, protocol: 'h1', tls: false },
      })),
      {
        type: 'limits',
        metadata: {},
        spec: {
          max_header_bytes: 16_384,
          max_body_bytes: 67_108_864,
          header_timeout_ms: 3_000,
          idle_timeout_ms: 15_000,
        },
      },
    ],
  };
};

interface Machine {
  readonly name: string;
  readonly ip: string;
  readonly dataCentre: string;
  readonly process: ManagedProcess;
}

export interface NodeMachine extends Machine {
  readonly outbound: string;
  readonly ready: string;
  readonly control: string;
  readonly service: string;
  endpoint: PlatformEndpoint | undefined;
}

export interface PlatformOptions {
  readonly dataCentres: readonly {
    readonly name: string;
    /** Service of each endpoint. Every endpoint runs on its own machine. */
    readonly services: readonly string[];
  }[];
  readonly endpoint?: Partial<EndpointOptions>;
  readonly nodeArgs?: readonly string[];
  /** Folder of the bundled programs. Default: dist. */
  readonly programFolder?: string;
  /** Number of control instances in addition to the one in each data centre. */
  readonly extraControls?: number;
}

/** Starts control instances, nodes and endpoints. Does not wait until they are ready. */
export const startPlatform = async (options: PlatformOptions) => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnsill-platform-'));
  deploymentCount += 1;
  const network = networkOf(deploymentCount);
  let hostCount = 0;
  const controls: Machine[] = [];
  const nodes: NodeMachine[] = [];

  const nextIp = (): string => {
    hostCount += 1;
    return `${network}.${hostCount}`;
  };

  const seedsOf = (machines: readonly Machine[]) =>
    machines
      .slice(0, 3)
      .map(({ ip }) => `${ip}:${ports.control}`)
      .join(',');
  const seeds = () => seedsOf(controls);

  const writeSettings = (
    machine: Pick<Machine, 'name' | 'ip' | 'dataCentre'>,
    lines: readonly string[],
    seedList = seeds(),
  ) => {
    writeFileSync(
      join(folder, `${machine.name}.conf`),
      [
        `node=${machine.name}`,
        `ip=${machine.ip}`,
        `zone=${machine.dataCentre}`,
        'region=here',
        `internal_ports=${internalPorts}`,
        `seeds=${seedList}`,
        'heartbeat_ms=300',
        'bounds=drain_ms=2000,grace_s=6',
        'limits.of_a_later_kind=7',
        ...lines,
        '',
      ].join('\n'),
    );
  };

  const createProcess = (name: string, script: string, extraArgs: readonly string[] = []) =>
    createManagedProcess({
      name,
      args: [
        ...extraArgs,
        resolvePath(options.programFolder ?? 'dist', script),
        '--admin-port',
        String(ports.admin),
      ],
      cwd: folder,
      env: { AUBURNSILL_BOOT: join(folder, `${name}.conf`) },
    });

  const writeControlSettings = (machine: Machine, isFirstStart: boolean, seedList?: string) => {
    const data = join(folder, `${machine.name}.data`);
    mkdirSync(data, { recursive: true });
    writeSettings(
      machine,
      [
        `listen.control=${machine.ip}:${ports.control}`,
        `data_dir=${data}`,
        `bootstrap=${isFirstStart}`,
      ],
      seedList,
    );
  };

  const addControl = (dataCentre: string): Machine => {
    const ip = nextIp();
    const name = `core-${controls.length + 1}`;
    const machine = { name, ip, dataCentre, process: createProcess(name, 'platform-control.js') };
    controls.push(machine);
    return machine;
  };

  const addNode = (dataCentre: string, service: string): NodeMachine => {
    const ip = nextIp();
    const name = `node-${nodes.length + 1}`;
    const machine: NodeMachine = {
      name,
      ip,
      dataCentre,
      service,
      outbound: `${ip}:${ports.outbound}`,
      ready: `${ip}:${ports.ready}`,
      control: `${ip}:${ports.control}`,
      endpoint: undefined,
      process: createProcess(name, 'platform-node.js', options.nodeArgs),
    };
    nodes.push(machine);
    writeSettings(machine, [
      ...(['outbound', 'inbound', 'ready', 'control'] as const).map(
        (kind) => `listen.${kind}=${ip}:${ports[kind]}`,
      ),
      'bootstrap=true',
      `app_addr=${ip}:${ports.app}`,
      `service=${service}`,
    ]);
    machine.process.start();
    return machine;
  };

  let endpoints = 0;
  const startEndpoint = async (machine: NodeMachine, fields: Partial<EndpointOptions> = {}) => {
    endpoints += 1;
    const endpoint = await startPlatformEndpoint({
      host: machine.ip,
      port: ports.app,
      control: machine.control,
      service: machine.service,
      dataCentre: machine.dataCentre,
      id: `i-${endpoints}`,
      ...options.endpoint,
      ...fields,
    });
    Object.assign(machine, { endpoint });
    return endpoint;
  };

  /** Sends an operator request to a control instance and follows redirects. */
  const sendOperatorRequest = async (
    path: string,
    { method = 'GET', body, at = controls[0]!.ip }: { method?: string; body?: string; at?: string },
  ): Promise<HttpResponse> => {
    let address = `${at}:${ports.control}`;
    for (let hops = 0; hops < 3; hops += 1) {
      const response = await sendRequest(address, { method, path, host: address, id: 'op', body });
      if (response.status !== 307) {
        return response;
      }
      address = new URL(String(response.headers.location)).host;
    }
    throw new Error('too many redirects');
  };

  const put = (document: unknown, at?: string): Promise<HttpResponse> =>
    sendOperatorRequest('/Config.Put', { method: 'POST', body: JSON.stringify(document), at });

  const isReady = async (machine: NodeMachine): Promise<boolean> =>
    (await sendRequest(machine.ready, { path: '/ready', host: 'x', id: 'ready' })).status === 200;

  const stop = async () => {
    await Promise.all(nodes.map(({ endpoint }) => endpoint?.stop()));
    await Promise.all([...nodes, ...controls].map((machine) => machine.process.end('SIGKILL')));
    rmSync(folder, { recursive: true, force: true });
  };

  options.dataCentres.forEach(({ name }) => addControl(name));
  for (let extra = 0; extra < (options.extraControls ?? 0); extra += 1) {
    addControl(options.dataCentres[extra % options.dataCentres.length]!.name);
  }
  controls.forEach((machine) => {
    writeControlSettings(machine, true);
    machine.process.start();
  });
  options.dataCentres.forEach(({ name, services }) =>
    services.forEach((service) => addNode(name, service)),
  );
  await Promise.all(nodes.map((machine) => startEndpoint(machine)));

  return {
    folder,
    controls,
    nodes,
    put,
    get: (at?: string) => sendOperatorRequest('/Config.Get', { at }),
    orderRollout: (order: unknown, at?: string) =>
      sendOperatorRequest('/Rollouts.Start', { method: 'POST', body: JSON.stringify(order), at }),
    getRollout: (service: string, at?: string) =>
      sendOperatorRequest(`/Rollouts.Get/${service}`, { at }),
    isReady,
    startEndpoint,
    addControl,
    addNode,
    seeds,
    seedsOf,
    writeControlSettings,
    call: (machine: NodeMachine, call: CallOptions) => sendRequest(machine.outbound, call),
    /** Retries putting a document until it is accepted. */
    putUntilAccepted: (document: unknown) =>
      waitFor(async () => (await put(document)).status === 200, { what: 'acceptance' }),
    waitUntilReady: () =>
      waitFor(async () => (await Promise.all(nodes.map(isReady))).every(Boolean), {
        what: 'readiness of all nodes',
      }),
    stop,
  };
};

export type Platform = Awaited<ReturnType<typeof startPlatform>>;
