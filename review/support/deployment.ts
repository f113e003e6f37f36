/**
 * A small deployment of the project's own programs on loopback addresses, started with the commands
 * of the deploy file. Endpoints, callers and operators are stand-ins. Everything that is sent,
 * answered and run goes into `record.txt` in the folder of the case.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import { appendFile, mkdir, mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { Agent, request, type IncomingHttpHeaders } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parse } from 'smol-toml';

export const exitCodes = { held: 0, broken: 1, notRun: 2 } as const;

const ports = { outbound: 8001, inbound: 8002, ready: 8003, control: 8004, app: 8005 };
const peerPort = 7380;
const bounds =
  'seed_lag_s=3,reuse_after_s=2,stability_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,' +
  'grace_s=6,loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,max_stretch_ms=5000,' +
  'retry_budget_ratio=0.2,budget_window_s=10,retry_budget_slack=56,recovery_s=15';

export interface Answer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

export interface SendOptions {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly timeoutMs?: number;
  readonly agent?: Agent;
}

/** Sends one request; resolves with undefined if there is no complete response. */
export const send = (address: string, options: SendOptions): Promise<Answer | undefined> =>
  new Promise((done) => {
    const [host, port] = address.split(':');
    const { method = 'GET', path, headers, body, timeoutMs = 1_000, agent } = options;
    const signal = AbortSignal.timeout(timeoutMs);
    const sent = request({ host, port, method, path, headers, signal, agent }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', () => done(undefined));
      response.on('close', () =>
        done(
          response.complete
            ? {
                status: response.statusCode ?? 0,
                headers: response.headers,
                body: Buffer.concat(parts).toString('latin1'),
              }
            : undefined,
        ),
      );
    });
    sent.on('error', () => done(undefined));
    sent.end(body);
  });

export interface Machine {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly role: 'node' | 'control';
  readonly dataFolder: string;
  service: string;
  child: ChildProcess | undefined;
}

export interface RouteOptions {
  readonly name: string;
  readonly prefix: string;
  readonly service: string;
  readonly kind?: 'safe' | 'unsafe' | 'download';
  readonly timeoutMs?: number;
  readonly targetLatencyMs?: number;
  readonly attempts?: number;
}

export const callHost = 'mesh.example';

/** Creates a configuration document in the operators' format. */
export const createDocument = (
  version: number,
  base: number,
  routes: readonly RouteOptions[],
): string =>
  JSON.stringify({
    version,
    base_version: base,
    resources: [
      ...routes.map(
        ({
          name,
          prefix,
          service,
          kind = 'safe',
          timeoutMs = 2_000,
          targetLatencyMs = 500,
          attempts = 2,
        }) => ({
          type: 'routes',
          metadata: { name },
          spec: {
            host: callHost,
            path_prefix: prefix,
            route_type: kind,
            timeout_ms: timeoutMs,
            target_latency_ms: targetLatencyMs,
            priority: 1,
            service,
            max_attempts: attempts,
          },
        }),
      ),
      ...[...new Set(routes.map(({ service }) => service))].map((name) => ({
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
  });

const isFree = (host: string): Promise<boolean> =>
  new Promise((done) => {
    const probe = createServer();
    probe.once('error', () => done(false));
    probe.listen(ports.control, host, () => probe.close(() => done(true)));
  });

/** Finds a loopback network whose first host has a free port. */
const findNetwork = async (): Promise<string> => {
  const part = () => 20 + Math.floor(Math.random() * 200);
  let network = `127.${part()}.${part()}`;
  while (!(await isFree(`${network}.1`))) {
    network = `127.${part()}.${part()}`;
  }
  return network;
};

interface DeployFile {
  readonly roles: Readonly<Record<Machine['role'], { readonly run: string }>>;
}

/** Creates a deployment without machines. */
export const createDeployment = async (caseFolder: string) => {
  const folder = await mkdtemp(join(tmpdir(), 'auburnsill-review-'));
  const network = await findNetwork();
  const deploy = parse(await readFile('deploy/system.toml', 'utf8')) as unknown as DeployFile;
  const recordFile = join(caseFolder, 'record.txt');
  const startedAt = performance.now();
  const machines: Machine[] = [];
  const children = new Set<ChildProcess>();
  let pendingRecord = writeFile(recordFile, '');

  const record = (line: string) => {
    const second = ((performance.now() - startedAt) / 1_000).toFixed(3).padStart(8);
    pendingRecord = pendingRecord.then(() => appendFile(recordFile, `${second} s  ${line}\n`));
  };

  const fileOf = ({ name }: Machine) => join(folder, `${name}.conf`);

  /** Seeds of a settings file that name these control machines. */
  const seedsOf = (controls: readonly Machine[]) =>
    controls
      .slice(0, 3)
      .map(({ ip }) => `${ip}:${ports.control}`)
      .join(',');

  const allControls = () => machines.filter(({ role }) => role === 'control');

  const writeSettings = async (machine: Machine, isFirstStart: boolean, seedList?: string) => {
    const { name, ip, zone, role, service, dataFolder } = machine;
    const roleLines =
      role === 'control'
        ? [`listen.control=${ip}:${ports.control}`, `data_dir=${dataFolder}`]
        : [
            ...(['outbound', 'inbound', 'ready', 'control'] as const).map(
              (kind) => `listen.${kind}=${ip}:${ports[kind]}`,
            ),
            `app_addr=${ip}:${ports.app}`,
            `service=${service}`,
          ];
    const lines = [
      `node=${name}`,
      `role=${role}`,
      `machine_class=${role === 'control' ? 'core' : 'sidecar'}`,
      `ip=${ip}`,
      `zone=${zone}`,
      'region=here',
      `internal_ports=${peerPort},${peerPort + 15}`,
      `seeds=${seedList ?? seedsOf(allControls())}`,
      `bootstrap=${isFirstStart}`,
      'heartbeat_ms=1500',
      'contracts=base,drain,config,cost,retry,recover',
      'fault_tolerance.machines=1',
      'fault_tolerance.zones=1',
      'fault_tolerance.regions=0',
      `bounds=${bounds}`,
      ...roleLines,
      '',
    ];
    await writeFile(fileOf(machine), lines.join('\n'));
  };

  const addMachine = (role: Machine['role'], zone: string, service = ''): Machine => {
    const count = machines.filter((machine) => machine.role === role).length + 1;
    const name = `${role === 'control' ? 'core' : 'sidecar'}-${zone}-${count}`;
    const ip = `${network}.${machines.length + 1}`;
    const dataFolder = join(folder, `${name}.data`);
    const machine: Machine = { name, ip, zone, role, dataFolder, service, child: undefined };
    machines.push(machine);
    return machine;
  };

  /** Starts the program of a machine with the command of the deploy file. */
  const start = async (machine: Machine) => {
    if (machine.role === 'control') {
      await mkdir(machine.dataFolder, { recursive: true });
    }
    const [, ...args] = deploy.roles[machine.role].run.split(' ');
    const child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH, AUBURNSILL_BOOT: fileOf(machine) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    machine.child = child;
    children.add(child);
    const log = join(folder, `${machine.name}.log`);
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (text: Buffer) => {
        appendFile(log, text).catch(() => undefined);
      }),
    );
    child.once('close', (code, signal) => {
      children.delete(child);
      record(`${machine.name}: process ended, ${signal ?? `exit ${code}`}`);
    });
    record(`${machine.name} (${machine.ip}): process started`);
  };

  const hasEnded = ({ child }: Machine): boolean =>
    !child || child.exitCode !== null || child.signalCode !== null;

  const signal = (machine: Machine, kind: NodeJS.Signals) => {
    record(`${machine.name}: ${kind}`);
    machine.child?.kill(kind);
  };

  const waitForEnd = async (machine: Machine, limitMs: number): Promise<boolean> => {
    const until = performance.now() + limitMs;
    while (!hasEnded(machine) && performance.now() < until) {
      await sleep(10);
    }
    return hasEnded(machine);
  };

  const kill = async (machine: Machine) => {
    signal(machine, 'SIGKILL');
    await waitForEnd(machine, 2_000);
  };

  /** SIGTERM, and SIGKILL after the grace period. */
  const terminate = async (machine: Machine, graceMs = 6_000) => {
    signal(machine, 'SIGTERM');
    if (!(await waitForEnd(machine, graceMs))) {
      await kill(machine);
    }
  };

  const operatorAddress = ({ ip }: Machine) => `${ip}:${ports.control}`;
  const machineAt = (address: string) =>
    machines.find((machine) => operatorAddress(machine) === address);

  /** Sends an operator's call to a machine and follows up to two redirects. */
  const callOperator = async (
    machine: Machine,
    options: SendOptions,
  ): Promise<{ answer: Answer | undefined; from: Machine | undefined }> => {
    let address = operatorAddress(machine);
    for (let hops = 0; hops < 3; hops += 1) {
      const answer = await send(address, options);
      if (answer?.status !== 307) {
        return { answer, from: machineAt(address) };
      }
      address = new URL(String(answer.headers.location)).host;
    }
    return { answer: undefined, from: undefined };
  };

  const stop = async () => {
    children.forEach((child) => child.kill('SIGKILL'));
    while (children.size > 0) {
      await sleep(10);
    }
    await pendingRecord;
    await rm(folder, { recursive: true, force: true });
  };

  return {
    ports,
    machines,
    record,
    seedsOf,
    writeSettings,
    addMachine,
    start,
    signal,
    kill,
    terminate,
    hasEnded,
    callOperator,
    /** Reads a log of a program, for diagnosis. */
    log: (machine: Machine) => readFile(join(folder, `${machine.name}.log`), 'utf8'),
    stop,
  };
};

export type Deployment = Awaited<ReturnType<typeof createDeployment>>;

/** Puts a document, resending it unchanged to other machines until there is a clear answer. */
export const putUntilClear = async (
  { callOperator, record }: Deployment,
  machines: readonly Machine[],
  document: string,
  limitMs: number,
): Promise<{ status: number; from: Machine | undefined } | undefined> => {
  const until = performance.now() + limitMs;
  const { version } = JSON.parse(document) as { version: number };
  for (let turn = 0; performance.now() < until; turn += 1) {
    const machine = machines[turn % machines.length]!;
    const { answer, from } = await callOperator(machine, {
      method: 'POST',
      path: '/Config.Put',
      headers: { 'content-type': 'application/json' },
      body: document,
    });
    record(`put ${version} to ${machine.name}: ${answer?.status ?? 'no answer'} (${from?.name})`);
    if (answer && [200, 400, 409, 412, 413, 422].includes(answer.status)) {
      return { status: answer.status, from };
    }
    await sleep(Math.min(1_000, 50 * 2 ** turn));
  }
  return undefined;
};

/** Waits until the platform's question for readiness is answered with 200 by all nodes. */
export const waitUntilReady = async (
  { ports: { ready } }: Deployment,
  nodes: readonly Machine[],
  limitMs: number,
) => {
  const until = performance.now() + limitMs;
  const isReady = async ({ ip }: Machine) =>
    (await send(`${ip}:${ready}`, { path: '/ready' }))?.status === 200;
  while (!(await Promise.all(nodes.map(isReady))).every(Boolean)) {
    if (performance.now() > until) {
      throw new Error('the nodes are not ready');
    }
    await sleep(100);
  }
};

/** Runs a case and ends the process with its exit code. All processes are ended first. */
export const runCase = async (
  run: (deployment: Deployment, hasTrouble: boolean) => Promise<number>,
) => {
  const caseFolder = resolve(process.argv[2] ?? '.');
  const deployment = await createDeployment(caseFolder);
  process.once('SIGTERM', () => {
    // The run has timers and connections of its own, which would keep the process alive.
    // eslint-disable-next-line n/no-process-exit
    deployment.stop().finally(() => process.exit(exitCodes.notRun));
  });
  const hasTrouble = process.env.TROUBLE !== '0';
  let code: number = exitCodes.notRun;
  try {
    code = await run(deployment, hasTrouble);
  } catch (error) {
    deployment.record(`the case could not run: ${String(error)}`);
  }
  deployment.record(`exit ${code}`);
  await deployment.stop();
  // Timers and connections of the stand-ins would keep the process alive.
  // eslint-disable-next-line n/no-process-exit
  process.exit(code);
};
