/**
 * Changes of the configuration during faults of a fleet of real processes. An operator adds, moves
 * and removes routes in quick succession while processes are frozen, killed and stopped. Each node
 * that has been undisturbed for long enough is asked for every changed route as soon as the change
 * has to be in force there.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import {
  createDocument,
  sendRequest,
  type NodeMachine,
  type Platform,
  type RouteOptions,
} from './platform.js';
import { createRandom } from './routingFixtures.js';

/** Bounds of the platform, in ms. */
const applyMs = 2_000;
const stabilityMs = 3_000;
const maxStretchMs = 5_000;
/** Time after the bound at which a node is asked: the time of an acknowledgement is not exact. */
const probeMarginMs = 30;
const endMs = 4_000;
const host = 'mesh.example';

export interface SoakOptions {
  readonly platform: Platform;
  readonly services: readonly string[];
  readonly seed: number;
  readonly lengthMs: number;
  /** Faults that the run may contain. */
  readonly faults: readonly Fault[];
}

export type Fault =
  | 'freeze'
  /** Alternately suspended and running, several times a second: a machine without processor time. */
  | 'slow'
  /** Suspended again and again for less time than a parent may be silent. */
  | 'stutter'
  | 'kill'
  | 'herd'
  | 'wave'
  | 'freeze_control'
  | 'kill_control'
  | 'big_change';

export interface LateAnswer {
  readonly node: string;
  readonly path: string;
  readonly version: number;
  /** Time from the acknowledgement of the version to the sending of the request, in ms. */
  readonly sentMs: number;
  readonly seen: string;
  readonly at: string;
}

interface Change {
  readonly version: number;
  readonly path: string;
  readonly acknowledgedAt: number;
  /** Service that runs requests for the route from this version on; undefined if it was removed. */
  readonly service: string | undefined;
}

type Process = Platform['controls'][number] | NodeMachine;

/** Plays one run. Resolves with the answers that only an older configuration allows. */
export const playChanges = async (options: SoakOptions) => {
  const { platform, services, lengthMs } = options;
  const { controls, nodes } = platform;
  const random = createRandom(options.seed);
  const startedAt = performance.now();
  const endAt = startedAt + lengthMs;
  const late: LateAnswer[] = [];
  const events: string[] = [];
  const acknowledgements: number[] = [];
  const pending = new Set<Promise<void>>();
  /** Last time at which a machine was disturbed; Infinity while it is. */
  const disturbedAt = new Map<Process, number>();
  /** First disturbance of a control instance since the core was stable last. */
  let coreDisturbedAt = -Infinity;
  let probes = 0;
  let refusals = 0;
  let ids = 0;

  const record = (text: string) => {
    const second = ((performance.now() - startedAt) / 1_000).toFixed(3);
    events.push(`${second} ${new Date().toISOString()} ${text}`);
  };

  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
  const between = (low: number, high: number): number => low + random() * (high - low);

  const track = (work: Promise<void>) => {
    const tracked: Promise<void> = work.finally(() => pending.delete(tracked));
    pending.add(tracked);
  };

  const isControl = (machine: Process) => controls.some((each) => each === machine);
  const begin = (machine: Process) => {
    disturbedAt.set(machine, Infinity);
    if (isControl(machine)) {
      coreDisturbedAt = Infinity;
    }
  };
  const finish = (machine: Process) => {
    disturbedAt.set(machine, performance.now());
    if (isControl(machine)) {
      coreDisturbedAt = performance.now();
    }
  };
  const isFree = (machine: Process) => disturbedAt.get(machine) !== Infinity;

  const wasCalmSince = (machine: Process, since: number): boolean =>
    (disturbedAt.get(machine) ?? -Infinity) < since;

  const freeze = async (machine: Process, ms: number) => {
    begin(machine);
    record(`freeze ${machine.name} ${Math.round(ms)}`);
    machine.process.pause();
    await sleep(ms);
    machine.process.resume();
    finish(machine);
  };

  const alternate = async (machine: Process, pausedMs: number, runningMs: number, ms: number) => {
    begin(machine);
    record(`pause ${machine.name} for ${pausedMs} of ${pausedMs + runningMs} ms`);
    const until = performance.now() + ms;
    while (performance.now() < until) {
      machine.process.pause();
      await sleep(pausedMs);
      machine.process.resume();
      await sleep(runningMs);
    }
    finish(machine);
  };

  const restart = async (machine: Process, signal: 'SIGKILL' | 'SIGTERM', downMs: number) => {
    begin(machine);
    record(`${signal} ${machine.name}`);
    await machine.process.end(signal);
    await sleep(downMs);
    if (isControl(machine)) {
      platform.writeControlSettings(machine, false);
    }
    machine.process.start();
    finish(machine);
    record(`start ${machine.name}`);
  };

  const chooseNodes = (share: number): NodeMachine[] => {
    const free = nodes.filter(isFree);
    return free
      .map((node) => ({ node, order: random() }))
      .sort((a, b) => a.order - b.order)
      .slice(0, Math.max(1, Math.round(share * nodes.length)))
      .map(({ node }) => node);
  };

  /** One control instance at a time, so that a quorum is left. */
  const chooseControl = () => (controls.every(isFree) ? pick(controls) : undefined);

  const all = async (work: readonly Promise<void>[]) => {
    await Promise.all(work);
  };
  let extraRoutes: RouteOptions[] = [];

  const faultHandlers: Record<Fault, () => Promise<void>> = {
    freeze: () => all(chooseNodes(between(0.08, 0.2)).map((node) => freeze(node, 3_500))),
    slow: () => all(chooseNodes(0.15).map((node) => alternate(node, 90, 20, 5_500))),
    stutter: () => all(chooseNodes(0.15).map((node) => alternate(node, 1_200, 100, 5_500))),
    kill: () => all(chooseNodes(0.16).map((node) => restart(node, 'SIGKILL', 3_500))),
    herd: () => all(chooseNodes(0.5).map((node) => restart(node, 'SIGKILL', 2_000))),
    wave: () =>
      all(
        chooseNodes(0.3).map(async (node, index) => {
          await sleep(index * 250);
          if (isFree(node)) {
            await restart(node, 'SIGTERM', 0);
          }
        }),
      ),
    freeze_control: async () => {
      const control = chooseControl();
      if (control) {
        await freeze(control, 4_000);
      }
    },
    kill_control: async () => {
      const control = chooseControl();
      if (control) {
        await restart(control, 'SIGKILL', 3_500);
      }
    },
    big_change: async () => {
      record('big change');
      extraRoutes = Array.from({ length: 1_400 }, (_, index) => ({
        name: `extra-${index}`,
        prefix: `/extra-${index}/`,
        service: pick(services),
      }));
    },
  };

  /** The routes of the newest configuration that was sent, by path. */
  const routes = new Map<string, string>(services.map((service) => [`/${service}/`, service]));
  const changes = new Map<string, Change[]>();
  /** Versions that may be in force, newest last. */
  let version = 0;
  let acknowledgedVersion = 0;

  const document = (base: number) =>
    createDocument(version, base, [
      ...[...routes].map(([prefix, service]) => ({
        name: `r${prefix.slice(1, -1)}`,
        prefix,
        service,
        host,
      })),
      ...extraRoutes,
    ]);

  /** Sends a change to one control instance after the other until it is acknowledged. */
  const put = async () => {
    version += 1;
    const body = document(acknowledgedVersion);
    for (let turn = 0; performance.now() < endAt + 20_000; turn += 1) {
      const at = controls[(version + turn) % controls.length]!;
      const response = await Promise.race([
        platform.put(body, at.ip).catch(() => undefined),
        sleep(1_000).then(() => undefined),
      ]);
      if (response?.status === 200) {
        acknowledgedVersion = version;
        return performance.now();
      }
      if (response && response.status < 500) {
        throw new Error(`version ${version} was answered ${response.status}: ${response.body}`);
      }
      await sleep(50);
    }
    throw new Error(`version ${version} was not acknowledged`);
  };

  /** The runs that a request which was sent at `sentAt` may have, `404` for none. */
  const allowed = (path: string, since: number): Set<string> => {
    const known = changes.get(path) ?? [];
    const inForce = known.filter(({ acknowledgedAt }) => acknowledgedAt <= since).slice(-1);
    const later = known.filter(({ acknowledgedAt }) => acknowledgedAt > since);
    return new Set([...inForce, ...later].map(({ service }) => service ?? '404'));
  };

  const ask = async (node: NodeMachine, change: Change) => {
    const { path } = change;
    const sentAt = performance.now();
    const sentMs = Math.round(sentAt - change.acknowledgedAt);
    // While control is unstable, the bound is longer.
    const boundMs =
      coreDisturbedAt > sentAt - stabilityMs - applyMs ? applyMs + maxStretchMs : applyMs;
    if (sentMs < boundMs || !node.process.isRunning()) {
      return;
    }
    ids += 1;
    const response = await Promise.race([
      sendRequest(node.outbound, { path: `${path}1`, host, id: `p-${ids}` }).catch(() => undefined),
      sleep(2_000).then(() => undefined),
    ]);
    if (!response || !wasCalmSince(node, sentAt - stabilityMs)) {
      return;
    }
    probes += 1;
    const [endpointId] = response.body.split(' ');
    const runBy = nodes.find(({ endpoint }) => endpoint?.id === endpointId)?.service;
    const seen = response.status === 404 ? '404' : runBy;
    if (seen === undefined) {
      refusals += 1;
      return;
    }
    const permitted = allowed(path, sentAt - boundMs);
    if (!permitted.has(seen)) {
      const at = new Date().toISOString();
      late.push({ node: node.name, path, version: change.version, sentMs, seen, at });
      record(`late ${JSON.stringify(late.at(-1))}`);
    }
  };

  const askAll = async (change: Change) => {
    await sleep(applyMs + probeMarginMs);
    await Promise.all(nodes.map((node) => ask(node, change)));
    await sleep(400);
    await Promise.all(nodes.map((node) => ask(node, change)));
    if (coreDisturbedAt > performance.now() - stabilityMs - applyMs) {
      await sleep(maxStretchMs);
      await Promise.all(nodes.map((node) => ask(node, change)));
    }
  };

  const changeRoute = (): string => {
    const added = [...routes.keys()].slice(services.length);
    const kind = random();
    if (kind < 0.6 || added.length === 0) {
      const path = `/r${version + 1}/`;
      routes.set(path, pick(services));
      return path;
    }
    const path = pick(added);
    if (kind < 0.8) {
      routes.delete(path);
    } else {
      routes.set(path, services[(services.indexOf(routes.get(path)!) + 1) % services.length]!);
    }
    return path;
  };

  const operate = async () => {
    while (performance.now() < endAt) {
      const path = changeRoute();
      const sentAt = performance.now();
      const acknowledgedAt = await put();
      acknowledgements.push(acknowledgedAt - sentAt);
      const change = { version, path, acknowledgedAt, service: routes.get(path) };
      changes.set(path, [...(changes.get(path) ?? []), change]);
      track(askAll(change));
      await sleep(between(50, 600));
    }
  };

  const disturb = async () => {
    while (performance.now() < endAt - endMs) {
      await sleep(between(300, 2_500));
      track(faultHandlers[pick(options.faults)]());
    }
  };

  await put();
  await platform.waitUntilReady();
  await sleep(stabilityMs);
  await Promise.all([operate(), disturb()]);
  await Promise.all(pending);
  return {
    late,
    events,
    probes,
    refusals,
    changes: version,
    longestAckMs: Math.round(Math.max(...acknowledgements)),
  };
};
