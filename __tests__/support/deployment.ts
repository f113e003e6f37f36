/**
 * Deployment of real processes for tests and the quick start: control instances, nodes and stand-in
 * upstreams from dist/, with generated settings in a temporary folder and addresses on a separate
 * loopback host. With `faultProxies`, every address that processes use to reach each other belongs
 * to a fault proxy, so that faults can be injected into any link.
 */
import { createHash, randomBytes } from 'node:crypto';
import {
  mkdtempSync,
  mkdirSync,
  readdirSync,
  readFileSync,
  readlinkSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { createServer, type AddressInfo, type Server } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve as resolvePath } from 'node:path';
import { stringify as formatToml } from 'smol-toml';
import { startFaultProxy, type FaultChange, type FaultProxy } from './faultProxy.js';
import { createManagedProcess, type ManagedProcess } from './managedProcess.js';
import { waitFor } from './waitFor.js';

export interface DataCentreOptions {
  readonly name: string;
  readonly region?: string;
  /** Whether to start a control instance in this data centre. Default: true. */
  readonly control?: boolean;
  /** Nodes that each have an upstream. */
  readonly upstreams?: readonly UpstreamOptions[];
  /** Number of nodes without an upstream. */
  readonly callerNodes?: number;
}

export interface UpstreamOptions {
  readonly service: string;
  readonly count: number;
  readonly slots?: number;
  readonly connections?: number;
  /** See `Behaviour` in standins/upstream.ts. */
  readonly behaviour?: Readonly<Record<string, unknown>>;
}

export interface DeploymentOptions {
  readonly name?: string;
  readonly dataCentres: readonly DataCentreOptions[];
  readonly faultProxies?: boolean;
  readonly logLevel?: 'error' | 'warn' | 'info' | 'debug';
  /** Targets in TOML, applied once the control instances, nodes and upstreams are up. */
  readonly targets?: string;
  /** Folder for all files of the deployment. Default: a new temporary folder. */
  readonly folder?: string;
  /** Receives progress messages. */
  readonly onProgress?: (line: string) => void;
}

export interface ControlInstance {
  readonly name: string;
  readonly dataCentre: string;
  readonly process: ManagedProcess;
  /** Address that other processes use: that of the fault proxy if there is one. */
  readonly peer: string;
  readonly admin: string;
  readonly settingsFile: string;
  readonly dataFolder: string;
}

export interface MeshNode {
  readonly name: string;
  readonly dataCentre: string;
  readonly process: ManagedProcess;
  readonly calls: string;
  readonly forward: string;
  readonly peer: string;
  readonly admin: string;
  readonly settingsFile: string;
  readonly upstream?: StandInUpstream;
}

export interface StandInUpstream {
  readonly name: string;
  readonly service: string;
  readonly process: ManagedProcess;
  /** Starts the process and reads its addresses from standard output. */
  start(): Promise<void>;
  address(): string;
  setBehaviour(change: Readonly<Record<string, unknown>>): Promise<void>;
  counters(): Promise<StandInCounters>;
  /** Announces `leaving` and resolves when the node has confirmed that the upstream may stop. */
  drain(): Promise<void>;
}

export interface StandInCounters {
  readonly started: number;
  readonly finished: number;
  readonly cancelled: number;
  readonly shed: number;
  readonly inFlight: number;
  readonly maxInFlight: number;
  readonly byRequestId: Readonly<Record<string, number>>;
  readonly byKey: Readonly<Record<string, number>>;
}

export interface CommandResult {
  readonly exitCode: number | null;
  readonly stdout: string;
  readonly stderr: string;
}

export interface Deployment {
  readonly folder: string;
  readonly clusterToken: string;
  readonly operatorTokenFile: string;
  readonly controls: readonly ControlInstance[];
  readonly nodes: readonly MeshNode[];
  control(name: string): ControlInstance;
  node(name: string): MeshNode;
  /** Returns the fault proxy in front of an address of a process. */
  proxy(name: string, address: 'peer' | 'forward'): FaultProxy;
  /** Sets faults on the connections that the processes in `from` open to those in `to`, by name. */
  injectFaults(from: readonly string[], to: readonly string[], change: FaultChange): void;
  /** Partitions two groups of processes from each other, in both directions. */
  partition(left: readonly string[], right: readonly string[]): void;
  heal(): void;
  /** Runs the command-line interface against the control instances. */
  cli(args: readonly string[], stdin?: string): Promise<CommandResult>;
  apply(targets: string, extraArgs?: readonly string[]): Promise<CommandResult>;
  processes(): readonly ManagedProcess[];
  /** Names of all processes in a data centre. */
  processNamesIn(dataCentre: string): string[];
  /** Ends every process and removes the folder. Prints the last log lines if `failed`. */
  stop(failed?: boolean): Promise<void>;
}

const startLimitMs = 30_000;
const distFolder = resolvePath(import.meta.dirname, '../../dist');

/** Loopback host of this test process, so that its ports never conflict with another process's. */
const loopbackHost = [
  127,
  20 + Math.floor(process.pid / 65_536),
  Math.floor(process.pid / 256) % 256,
  process.pid % 256,
].join('.');

interface PortReservations {
  /** Reserves a port that the operating system chooses and returns its address. */
  reserve(): Promise<string>;
  /** Frees the ports for the processes that are about to start. */
  release(): Promise<void>;
}

/**
 * Reserves ports by listening on them until their processes start. If a port were freed earlier,
 * the operating system could assign it to a fault proxy or to an outgoing connection.
 */
const createPortReservations = (): PortReservations => {
  const servers: Server[] = [];
  const close = (server: Server): Promise<void> =>
    new Promise((resolve) => {
      server.close(() => resolve());
    });
  return {
    reserve: () =>
      new Promise((resolve, reject) => {
        const server = createServer();
        server.once('error', reject);
        server.listen(0, loopbackHost, () => {
          servers.push(server);
          resolve(`${loopbackHost}:${(server.address() as AddressInfo).port}`);
        });
      }),
    release: async () => {
      await Promise.all(servers.splice(0, servers.length).map(close));
    },
  };
};

/** Returns addresses for a process that a test adds to a deployment and starts immediately. */
export const reserveAddresses = async (count: number): Promise<string[]> => {
  const reservations = createPortReservations();
  const addresses = await Promise.all(Array.from({ length: count }, reservations.reserve));
  await reservations.release();
  return addresses;
};

const readProcTable = (file: string): string[][] =>
  readFileSync(file, 'utf8')
    .split('\n')
    .slice(1)
    .map((line) => line.trim().split(/\s+/));

/** Finds the inodes of the TCP sockets with this local port. */
const findSocketInodes = (port: number): string[] => {
  const suffix = `:${port.toString(16).toUpperCase().padStart(4, '0')}`;
  return readProcTable('/proc/net/tcp')
    .filter(([, local]) => local?.endsWith(suffix))
    .map((columns) => columns[9] ?? '');
};

const ownsSocket = (pid: number, inodes: readonly string[]): boolean => {
  const folder = `/proc/${pid}/fd`;
  const linkOf = (entry: string): string => {
    try {
      return readlinkSync(join(folder, entry));
    } catch {
      return '';
    }
  };
  try {
    return readdirSync(folder).some((entry) =>
      inodes.some((inode) => linkOf(entry) === `socket:[${inode}]`),
    );
  } catch {
    return false;
  }
};

const requestJson = async (method: string, url: string, body?: unknown): Promise<unknown> => {
  const response = await fetch(url, {
    method,
    body: body === undefined ? undefined : JSON.stringify(body),
  });
  if (!response.ok) {
    throw new Error(`${method} ${url}: ${response.status}`);
  }
  return response.json();
};

/** Starts the deployment and waits until every process responds. */
export const startDeployment = async (options: DeploymentOptions): Promise<Deployment> => {
  const clusterName = options.name ?? 'test';
  const folder = options.folder ?? mkdtempSync(join(tmpdir(), 'auburnsill-'));
  const level = options.logLevel ?? 'info';
  const reportProgress = options.onProgress ?? (() => undefined);
  const clusterToken = randomBytes(24).toString('hex');
  const operatorToken = randomBytes(24).toString('hex');
  const operatorTokenFile = join(folder, 'operator.token');
  const controlPorts = createPortReservations();
  const nodePorts = createPortReservations();
  const proxies = new Map<string, FaultProxy>();
  const processes: ManagedProcess[] = [];
  const controls: ControlInstance[] = [];
  const nodes: MeshNode[] = [];

  mkdirSync(folder, { recursive: true });
  writeFileSync(join(folder, 'cluster.token'), clusterToken, { mode: 0o600 });
  writeFileSync(operatorTokenFile, operatorToken, { mode: 0o600 });
  writeFileSync(
    join(folder, 'operators.toml'),
    formatToml({ test: createHash('sha256').update(operatorToken).digest('hex') }),
  );

  const createProcess = (name: string, args: readonly string[]): ManagedProcess => {
    const managed = createManagedProcess({ name, args, cwd: folder });
    processes.push(managed);
    return managed;
  };

  const sourceOf = (port: number): string | undefined => {
    const inodes = findSocketInodes(port);
    return processes.find((managed) => {
      const pid = managed.pid();
      return managed.isRunning() && pid !== undefined && ownsSocket(pid, inodes);
    })?.name;
  };

  /** Returns the advertised address: that of a new fault proxy, or `address` itself without one. */
  const advertise = async (name: string, addressKind: string, address: string): Promise<string> => {
    if (!options.faultProxies) {
      return address;
    }
    const proxy = await startFaultProxy({ target: address, host: loopbackHost, sourceOf });
    proxies.set(`${name} ${addressKind}`, proxy);
    return proxy.address;
  };

  const writeSettings = (name: string, settings: Record<string, unknown>): string => {
    const file = join(folder, `${name}.toml`);
    writeFileSync(file, formatToml(settings));
    return file;
  };

  const prepareControl = async (dataCentre: DataCentreOptions) => {
    const name = `control-${dataCentre.name}`;
    const listenPeer = await controlPorts.reserve();
    const admin = await controlPorts.reserve();
    const address = await advertise(name, 'peer', listenPeer);
    const region = dataCentre.region ?? 'region';
    return { name, listenPeer, admin, address, region, dataCentre: dataCentre.name };
  };

  const withControl = options.dataCentres.filter(({ control = true }) => control);
  const plans = await Promise.all(withControl.map(prepareControl));
  const members = plans.map(({ name, address, dataCentre, region }) => ({
    name,
    address,
    data_centre: dataCentre,
    region,
  }));

  plans.forEach((plan) => {
    const dataFolder = join(folder, `${plan.name}.data`);
    const settingsFile = writeSettings(plan.name, {
      control: { name: plan.name, data_centre: plan.dataCentre, region: plan.region },
      listen: { peer: plan.listenPeer, admin: plan.admin },
      storage: { folder: `${plan.name}.data` },
      cluster: {
        name: clusterName,
        token_file: 'cluster.token',
        operators_file: 'operators.toml',
        members,
      },
      log: { level },
    });
    const managed = createProcess(plan.name, [
      join(distFolder, 'auburnsill-control.js'),
      '--settings',
      settingsFile,
    ]);
    controls.push({
      name: plan.name,
      dataCentre: plan.dataCentre,
      process: managed,
      peer: plan.address,
      admin: plan.admin,
      settingsFile,
      dataFolder,
    });
  });

  const createStandIn = (
    name: string,
    admin: string,
    upstream: UpstreamOptions,
  ): StandInUpstream => {
    const { service, slots = 10, connections = 100, behaviour } = upstream;
    const standInOptions = {
      service,
      address: `${loopbackHost}:0`,
      control: `${loopbackHost}:0`,
      admin,
      slots,
      connections,
      behaviour,
    };
    const managed = createProcess(name, [
      join(distFolder, 'stand-in-upstream.js'),
      JSON.stringify(standInOptions),
    ]);
    let addresses = { address: '', control: '' };
    const url = (path: string) => `http://${addresses.control}${path}`;
    return {
      name,
      service,
      process: managed,
      start: async () => {
        managed.start();
        addresses = JSON.parse(await managed.firstLine());
      },
      address: () => addresses.address,
      setBehaviour: async (change) => {
        await requestJson('PUT', url('/behaviour'), change);
      },
      counters: async () => (await requestJson('GET', url('/counters'))) as StandInCounters,
      drain: async () => {
        await requestJson('POST', url('/drain'));
      },
    };
  };

  const createNode = async (
    name: string,
    dataCentre: DataCentreOptions,
    upstream?: UpstreamOptions,
  ) => {
    const calls = await nodePorts.reserve();
    const listenForward = await nodePorts.reserve();
    const listenPeer = await nodePorts.reserve();
    const admin = await nodePorts.reserve();
    const forward = await advertise(name, 'forward', listenForward);
    const peer = await advertise(name, 'peer', listenPeer);
    const settingsFile = writeSettings(name, {
      node: { name, data_centre: dataCentre.name, region: dataCentre.region ?? 'region' },
      listen: { calls, forward: listenForward, peer: listenPeer, admin },
      ...(options.faultProxies ? { advertise: { forward, peer } } : {}),
      cluster: {
        name: clusterName,
        token_file: 'cluster.token',
        control: controls.map((control) => ({
          address: control.peer,
          data_centre: control.dataCentre,
        })),
      },
      log: { level },
    });
    nodes.push({
      name,
      dataCentre: dataCentre.name,
      process: createProcess(name, [
        join(distFolder, 'auburnsill-node.js'),
        '--settings',
        settingsFile,
      ]),
      calls,
      forward,
      peer,
      admin,
      settingsFile,
      upstream: upstream ? createStandIn(`${name}-upstream`, admin, upstream) : undefined,
    });
  };

  const serviceCounts = new Map<string, number>();
  const nextName = (service: string): string => {
    const count = (serviceCounts.get(service) ?? 0) + 1;
    serviceCounts.set(service, count);
    return `${service}-${count}`;
  };
  for (const dataCentre of options.dataCentres) {
    for (const upstream of dataCentre.upstreams ?? []) {
      for (let index = 0; index < upstream.count; index += 1) {
        await createNode(nextName(upstream.service), dataCentre, upstream);
      }
    }
    for (let index = 0; index < (dataCentre.callerNodes ?? 0); index += 1) {
      await createNode(nextName(`caller-${dataCentre.name}`), dataCentre);
    }
  }

  const proxiesOf = (name: string): FaultProxy[] =>
    [...proxies].filter(([key]) => key.startsWith(`${name} `)).map(([, proxy]) => proxy);

  const injectFaults: Deployment['injectFaults'] = (from, to, change) =>
    to.forEach((target) =>
      proxiesOf(target).forEach((proxy) => from.forEach((source) => proxy.set(change, source))),
    );

  const partitionFaults: FaultChange = { toServer: { silent: true }, toClient: { silent: true } };

  const runCli = async (args: readonly string[]): Promise<CommandResult> => {
    const command = createManagedProcess({
      name: 'auburnsill',
      args: [join(distFolder, 'auburnsill.js'), ...args],
      cwd: folder,
      env: {
        AUBURNSILL_CONTROL: controls.map(({ peer }) => peer).join(','),
        AUBURNSILL_TOKEN_FILE: operatorTokenFile,
      },
    });
    command.start();
    const exitCode = await command.waitForExit(90_000);
    return { exitCode, stdout: command.stdout(), stderr: command.stderr() };
  };

  const stop: Deployment['stop'] = async (failed = false) => {
    if (failed) {
      processes.forEach((managed) =>
        console.log(`--- ${managed.name}, exit code ${managed.exitCode()}\n${managed.tail()}`),
      );
    }
    await Promise.all(
      processes.filter((managed) => managed.isRunning()).map((managed) => managed.end('SIGKILL')),
    );
    await Promise.all([...proxies.values()].map((proxy) => proxy.close()));
    rmSync(folder, { recursive: true, force: true });
  };

  const findByName = <Item extends { name: string }>(
    items: readonly Item[],
    name: string,
  ): Item => {
    const item = items.find((candidate) => candidate.name === name);
    if (!item) {
      throw new Error(`no process is named ${name}`);
    }
    return item;
  };

  const deployment: Deployment = {
    folder,
    clusterToken,
    operatorTokenFile,
    controls,
    nodes,
    control: (name) => findByName(controls, name),
    node: (name) => findByName(nodes, name),
    proxy: (name, address) => {
      const proxy = proxies.get(`${name} ${address}`);
      if (!proxy) {
        throw new Error(`no fault proxy for ${name} ${address}`);
      }
      return proxy;
    },
    injectFaults,
    partition: (left, right) => {
      injectFaults(left, right, partitionFaults);
      injectFaults(right, left, partitionFaults);
    },
    heal: () => proxies.forEach((proxy) => proxy.heal()),
    cli: runCli,
    apply: (targets, extraArgs = []) => {
      const file = join(folder, `targets-${randomBytes(4).toString('hex')}.toml`);
      writeFileSync(file, targets);
      return runCli(['apply', file, ...extraArgs]);
    },
    processes: () => processes,
    processNamesIn: (dataCentre) => [
      ...controls.filter((control) => control.dataCentre === dataCentre).map(({ name }) => name),
      ...nodes
        .filter((node) => node.dataCentre === dataCentre)
        .flatMap(({ name, upstream }) => (upstream ? [name, upstream.name] : [name])),
    ],
    stop,
  };

  const isReady = async (admin: string): Promise<boolean> =>
    (await fetch(`http://${admin}/readyz`)).ok;
  const isAlive = async (admin: string): Promise<boolean> =>
    (await fetch(`http://${admin}/healthz`)).ok;

  const startControls = async () => {
    await controlPorts.release();
    controls[0]?.process.start(['--bootstrap']);
    controls.slice(1).forEach((control) => control.process.start());
    await Promise.all(
      controls.map(({ admin, name }) =>
        waitFor(() => isReady(admin), { limitMs: startLimitMs, what: `readiness of ${name}` }),
      ),
    );
    reportProgress(`${controls.length} control instances are ready`);
  };

  const announcedEndpointCount = options.dataCentres
    .flatMap(({ upstreams = [] }) => upstreams)
    .filter(({ behaviour }) => behaviour?.announcing !== false)
    .reduce((sum, { count }) => sum + count, 0);

  /** The leader checks targets against the endpoints that it knows, so it must know all of them. */
  const allEndpointsKnown = async (): Promise<boolean> => {
    if (announcedEndpointCount === 0) {
      return true;
    }
    const { stdout } = await runCli(['status', '--json']);
    const services = JSON.parse(stdout).services as { endpoints: number }[];
    return services.reduce((sum, { endpoints }) => sum + endpoints, 0) >= announcedEndpointCount;
  };

  const startNodes = async () => {
    await nodePorts.release();
    nodes.forEach((node) => node.process.start());
    await Promise.all(
      nodes.map(({ admin, name }) =>
        waitFor(() => isAlive(admin), { limitMs: startLimitMs, what: `start of ${name}` }),
      ),
    );
    await Promise.all(nodes.map(({ upstream }) => upstream?.start()));
    await waitFor(allEndpointsKnown, {
      limitMs: startLimitMs,
      what: 'announcement of all upstreams',
    });
    reportProgress(`${nodes.length} nodes and their upstreams are up`);
  };

  const applyTargets = async (targets: string) => {
    const { exitCode, stdout, stderr } = await deployment.apply(targets, ['--wait']);
    if (exitCode !== 0) {
      throw new Error(`apply ended with ${exitCode}\n${stdout}${stderr}`);
    }
    await Promise.all(
      nodes.map(({ admin, name }) =>
        waitFor(() => isReady(admin), { limitMs: startLimitMs, what: `readiness of ${name}` }),
      ),
    );
    reportProgress('the targets are in force');
  };

  try {
    await startControls();
    await startNodes();
    if (options.targets) {
      await applyTargets(options.targets);
    }
  } catch (error) {
    await stop(true);
    throw error;
  }
  return deployment;
};

/** Runs `body` with a deployment and always stops it. Prints the last log lines if `body` fails. */
export const withDeployment = async (
  options: DeploymentOptions,
  body: (deployment: Deployment) => Promise<void>,
): Promise<void> => {
  const deployment = await startDeployment(options);
  let failed = true;
  try {
    await body(deployment);
    failed = false;
  } finally {
    await deployment.stop(failed);
  }
};
