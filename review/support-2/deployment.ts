/* eslint-disable n/no-sync, n/no-process-exit -- a script of a review, which ends by its exit status */
/**
 * Small deployment for the review scripts: the project's own programs, started with the commands of
 * the deploy file, and stand-ins of the platform, its operator and its consumers. Every machine has
 * a loopback address of its own.
 */
import { spawn, type ChildProcess } from 'node:child_process';
import {
  appendFileSync,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import { Agent, request } from 'node:http';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { performance } from 'node:perf_hooks';

const ports = { outbound: 8147, inbound: 8146, ready: 8141, control: 8144, app: 8145 };
export const bounds = {
  drainMs: 2_000,
  stabilityMs: 3_000,
  configApplyMs: 2_000,
  heartbeatMs: 1_500,
  seedLagMs: 3_000,
};
const boundsLine =
  'seed_lag_s=3,reuse_after_s=2,stability_ms=3000,ack_ms=4000,catch_up_s=4,drain_ms=2000,grace_s=6,' +
  'loss_slack_ms=200,config_apply_ms=2000,rollback_slack_ms=250,max_stretch_ms=5000,' +
  'retry_budget_ratio=0.2,budget_window_s=10,retry_budget_slack=58,recovery_s=15';
/** Delay after which the platform starts an ended process again, in ms. */
const restartDelayMs = 500;

export const sleep = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, Math.max(0, ms));
  });

/** Time since the start of the script, in ms. */
export const now = (): number => Math.round(performance.now());

export interface Recorder {
  line(text: string): void;
}

/** Writes `record.txt` in the folder of the case. */
export const createRecorder = (folder: string): Recorder => {
  const file = join(folder, 'record.txt');
  writeFileSync(file, '');
  return {
    line: (text) => {
      const stamped = `${String(now()).padStart(6)} ms  ${text}\n`;
      appendFileSync(file, stamped);
      process.stdout.write(stamped);
    },
  };
};

const isFree = (host: string, port: number): Promise<boolean> =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });

const findNetwork = async (): Promise<string> => {
  for (let tries = 0; tries < 50; tries += 1) {
    const network = `127.${30 + Math.floor(Math.random() * 200)}.${Math.floor(Math.random() * 250)}`;
    const checks = await Promise.all(
      [...Object.values(ports), 7380, 9464].map((port) => isFree(`${network}.1`, port)),
    );
    if (checks.every(Boolean)) {
      return network;
    }
  }
  throw new Error('no free loopback network');
};

/** Words of the `run` line of a role in the deploy file. */
const runLine = (role: string): string[] => {
  const text = readFileSync('deploy/system.toml', 'utf8');
  const section = text.slice(text.indexOf(`[roles.${role}]`));
  return /run = "([^"]+)"/.exec(section)![1]!.split(' ');
};

export interface Answer {
  /** 0 if the connection ended without a complete answer. */
  readonly status: number;
  readonly headers: Record<string, string | string[] | undefined>;
  readonly body: string;
  readonly error?: string;
}

export interface RequestOptions {
  readonly method?: string;
  readonly path: string;
  readonly headers?: Record<string, string>;
  readonly body?: string | Buffer;
  readonly agent?: Agent;
  readonly limitMs?: number;
}

/** Sends a request; resolves with its answer, also if there is none. */
export const send = (address: string, options: RequestOptions): Promise<Answer> =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const { method = 'GET', path, headers, body, agent, limitMs = 10_000 } = options;
    const fail = (error: string) => resolve({ status: 0, headers: {}, body: '', error });
    const outgoing = request({ host, port, method, path, headers, agent }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', (error) => fail(error.message));
      response.on('close', () => {
        if (response.complete) {
          const status = response.statusCode ?? 0;
          const text = Buffer.concat(parts).toString();
          resolve({ status, headers: response.headers, body: text });
        } else {
          fail('the answer broke off');
        }
      });
    });
    outgoing.setTimeout(limitMs, () => outgoing.destroy(new Error('no answer in time')));
    outgoing.on('error', (error) => fail(error.message));
    outgoing.end(body);
  });

export interface Machine {
  readonly name: string;
  readonly ip: string;
  readonly zone: string;
  readonly role: 'node' | 'control';
  readonly service: string;
  readonly outbound: string;
  readonly ready: string;
  readonly control: string;
  readonly app: string;
  /** Start of the running process, see `now`. */
  startedAt: number;
  process: ChildProcess | undefined;
  isDown: boolean;
  log: string[];
}

export interface Route {
  readonly name: string;
  readonly prefix: string;
  readonly kind: 'safe' | 'unsafe' | 'download';
  readonly service: string;
  readonly timeoutMs?: number;
  readonly attempts?: number;
}

export const host = 'mesh.example';

/** Configuration in the form of the protocol page. */
export const createDocument = (
  version: number,
  base: number,
  routes: readonly Route[],
  services: readonly string[],
) => ({
  version,
  base_version: base,
  resources: [
    ...routes.map(({ name, prefix, kind, service, timeoutMs = 2_000, attempts = 2 }) => ({
      type: 'routes',
      metadata: { name },
      spec: {
        host,
        path_prefix: prefix,
        route_type: kind,
        timeout_ms: timeoutMs,
        target_latency_ms: 600,
        priority: 1,
        service,
        max_attempts: attempts,
      },
    })),
    ...services.map((name) => ({
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

export interface DeploymentOptions {
  readonly zones: readonly { readonly name: string; readonly services: readonly string[] }[];
  readonly recorder: Recorder;
  /** Time after the others at which the last machine with a disk starts, in ms. Default: 0. */
  readonly lastStartMs?: number;
}

export const startDeployment = async ({ zones, recorder, lastStartMs = 0 }: DeploymentOptions) => {
  const folder = mkdtempSync(join(tmpdir(), 'review-'));
  const network = await findNetwork();
  const machines: Machine[] = [];
  let isStopping = false;

  const addMachine = (role: Machine['role'], zone: string, service: string): Machine => {
    const ip = `${network}.${machines.length + 1}`;
    const count = machines.filter((each) => each.role === role && each.zone === zone).length;
    const machine: Machine = {
      name: `${role === 'node' ? 'sidecar' : 'core'}-${zone}-${count + 1}`,
      ip,
      zone,
      role,
      service,
      outbound: `${ip}:${ports.outbound}`,
      ready: `${ip}:${ports.ready}`,
      control: `${ip}:${ports.control}`,
      app: `${ip}:${ports.app}`,
      startedAt: 0,
      process: undefined,
      isDown: false,
      log: [],
    };
    machines.push(machine);
    return machine;
  };

  const controls = zones.map(({ name }) => addMachine('control', name, ''));
  const nodes = zones.flatMap(({ name, services }) =>
    services.map((service) => addMachine('node', name, service)),
  );
  const seeds = controls.slice(0, 3).map(({ control }) => control);

  const settingsFile = (machine: Machine) => join(folder, `${machine.name}.conf`);

  const writeSettings = (machine: Machine, isFirstStart: boolean) => {
    const isNode = machine.role === 'node';
    const data = join(folder, `${machine.name}.data`);
    if (!isNode) {
      mkdirSync(data, { recursive: true });
    }
    const lines = [
      `node=${machine.name}`,
      `role=${machine.role}`,
      `machine_class=${isNode ? 'sidecar' : 'core'}`,
      `serves=${isNode ? 'sidecar' : 'control'}`,
      `ip=${machine.ip}`,
      `zone=${machine.zone}`,
      'region=here',
      ...zones.map(({ name }) => `zones.${name}=here`),
      ...(isNode
        ? [
            `listen.inbound=${machine.ip}:${ports.inbound}`,
            `listen.outbound=${machine.outbound}`,
            `listen.ready=${machine.ready}`,
          ]
        : [`data_dir=${data}`]),
      `listen.control=${machine.control}`,
      'internal_ports=7380,7395',
      `seeds=${seeds.join(',')}`,
      `bootstrap=${isFirstStart}`,
      `loss_counts=${!isNode}`,
      'limits.link_mbps=1000.0',
      'discovery=local',
      'entry=local',
      `heartbeat_ms=${bounds.heartbeatMs}`,
      'contracts=base,drain,config,cost,retry,recover',
      'fault_tolerance.machines=1',
      'fault_tolerance.zones=1',
      'fault_tolerance.regions=0',
      `bounds=${boundsLine}`,
      ...(isNode ? [`app_addr=${machine.app}`, `service=${machine.service}`] : []),
      '',
    ];
    writeFileSync(settingsFile(machine), lines.join('\n'));
  };

  /** All processes end with the script, also if it is ended by a signal. */
  const killAll = () => machines.forEach((machine) => machine.process?.kill('SIGKILL'));
  process.once('exit', killAll);
  (['SIGTERM', 'SIGINT', 'SIGHUP'] as const).forEach((name) =>
    process.once(name, () => {
      isStopping = true;
      killAll();
      process.exit(2);
    }),
  );

  const launch = (machine: Machine) => {
    const [, ...args] = runLine(machine.role);
    const child = spawn(process.execPath, args, {
      env: { PATH: process.env.PATH, HOME: folder, AUBURNSILL_BOOT: settingsFile(machine) },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    Object.assign(machine, { process: child, startedAt: now() });
    [child.stdout, child.stderr].forEach((stream) =>
      stream.on('data', (text: Buffer) => machine.log.push(text.toString())),
    );
    child.once('exit', (code, signal) => {
      recorder.line(`process of ${machine.name} ended (${signal ?? code})`);
      // The platform starts an ended process again after a short delay.
      setTimeout(() => {
        if (!isStopping && !machine.isDown && machine.process === child) {
          writeSettings(machine, false);
          launch(machine);
          recorder.line(`process of ${machine.name} starts again`);
        }
      }, restartDelayMs);
    });
  };

  machines.forEach((machine) => {
    writeSettings(machine, true);
    if (machine === controls.at(-1)) {
      setTimeout(() => launch(machine), lastStartMs);
    } else {
      launch(machine);
    }
  });

  const signal = (machine: Machine, name: NodeJS.Signals) => {
    recorder.line(`${name} to the process of ${machine.name}`);
    machine.process?.kill(name);
  };

  /** Adds a machine with a disk that is empty; its seeds are the other ones that run. */
  const addControl = (zone: string): Machine => {
    const running = controls.filter(({ isDown }) => !isDown).map(({ control }) => control);
    seeds.splice(0, seeds.length, ...running.slice(0, 3));
    const machine = addMachine('control', zone, '');
    controls.push(machine);
    writeSettings(machine, false);
    launch(machine);
    recorder.line(`${machine.name} is added, with an empty disk, at ${machine.ip}`);
    return machine;
  };

  /** A machine loses its power; it comes back after `forMs`, or never. */
  const powerOff = async (machine: Machine, forMs = Infinity, losesDisk = false) => {
    Object.assign(machine, { isDown: true });
    signal(machine, 'SIGKILL');
    if (forMs === Infinity) {
      return;
    }
    await sleep(forMs);
    if (losesDisk) {
      rmSync(join(folder, `${machine.name}.data`), { recursive: true, force: true });
    }
    Object.assign(machine, { isDown: false });
    writeSettings(machine, false);
    launch(machine);
    recorder.line(`${machine.name} is back, ${losesDisk ? 'with an empty disk' : 'with its disk'}`);
  };

  /** The operator sends a configuration, also again, until it has a clear answer. */
  const put = async (body: string | Buffer, limitMs = 15_000): Promise<Answer> => {
    const until = now() + limitMs;
    let address = seeds[0]!;
    let turn = 0;
    let last: Answer = { status: 0, headers: {}, body: '' };
    while (now() < until) {
      last = await send(address, {
        method: 'POST',
        path: '/Config.Put',
        headers: { 'content-type': 'application/json' },
        body,
        limitMs: 2_000,
      });
      if (last.status === 200 || (last.status >= 400 && last.status < 500)) {
        return last;
      }
      if (last.status === 307) {
        address = new URL(String(last.headers.location)).host;
      } else {
        turn += 1;
        address = seeds[turn % seeds.length]!;
        await sleep(200);
      }
    }
    return last;
  };

  const isReady = async ({ ready }: Machine) =>
    (await send(ready, { path: '/ready', limitMs: 1_000 })).status === 200;

  const waitUntilReady = async (limitMs = 20_000) => {
    const until = now() + limitMs;
    while (now() < until) {
      if ((await Promise.all(nodes.map(isReady))).every(Boolean)) {
        return;
      }
      await sleep(100);
    }
    throw new Error('the nodes are not ready');
  };

  const stop = async () => {
    isStopping = true;
    killAll();
    await sleep(200);
    rmSync(folder, { recursive: true, force: true });
  };

  return {
    folder,
    machines,
    controls,
    nodes,
    seeds,
    put,
    get: (address: string) => send(address, { path: '/Config.Get', limitMs: 2_000 }),
    signal,
    addControl,
    powerOff,
    isReady,
    waitUntilReady,
    writeSettings,
    launch,
    stop,
  };
};

export type Deployment = Awaited<ReturnType<typeof startDeployment>>;

let requestCount = 0;

/** Id of a consumer's request, of its own for each attempt. */
export const nextRequestId = (): string => {
  requestCount += 1;
  return `c${process.pid.toString(16)}-${requestCount}`;
};

/** Runs a case: exit status 0 if the rule held, 1 if it was broken, 2 if the case could not run. */
export const runCase = (run: () => Promise<boolean>): void => {
  run().then(
    (isBroken) => {
      process.exitCode = isBroken ? 1 : 0;
      setTimeout(() => process.exit(), 100).unref();
    },
    (error: unknown) => {
      process.stderr.write(`${error instanceof Error ? error.stack : String(error)}\n`);
      process.exitCode = 2;
      setTimeout(() => process.exit(), 100).unref();
    },
  );
};
