/**
 * Changes of the configuration during faults of a fleet of real processes. An operator adds, moves
 * and removes routes in quick succession. Each node is asked for every changed route as soon as the
 * change has to be in force there; the answer counts if the node was undisturbed for long enough.
 */
import { setTimeout as sleep } from 'node:timers/promises';
import { createFleetFaults, type Fault } from './fleetFaults.js';
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
/** A node is asked this long after the bound: the time of an acknowledgement is not exact. */
const probeMarginMs = 30;
/** Faults begin until this time before the last change. */
const calmEndMs = 4_000;
const bigChangeShare = 0.05;
const bigChangeRoutes = 1_400;
const host = 'mesh.example';
const notFound = '404';

export interface SoakOptions {
  readonly platform: Platform;
  readonly services: readonly string[];
  readonly seed: number;
  readonly lengthMs: number;
  /** Faults that the run may contain. One that is named twice comes twice as often. */
  readonly faults: readonly Fault[];
}

export interface LateAnswer {
  readonly node: string;
  readonly path: string;
  readonly version: number;
  /** Time from the acknowledgement of the version to the sending of the request, in ms. */
  readonly sentMs: number;
  /** Service that ran the request, or `404`. */
  readonly seen: string;
  readonly at: string;
}

interface Change {
  readonly version: number;
  readonly path: string;
  /** Service that runs requests for the route from this version on, or `404`. */
  readonly target: string;
  /** Infinity until the change is acknowledged. */
  acknowledgedAt: number;
}

/** Plays one run. Resolves with the answers that only an older configuration allows. */
export const playChanges = async (options: SoakOptions) => {
  const { platform, services, lengthMs } = options;
  const { controls, nodes } = platform;
  const random = createRandom(options.seed);
  const startedAt = performance.now();
  const endAt = startedAt + lengthMs;
  const late: LateAnswer[] = [];
  const events: string[] = [];
  const pending = new Set<Promise<void>>();
  /** Services of the routes in the newest version, by path. */
  const routes = new Map<string, string>(services.map((service) => [`/${service}/`, service]));
  const changes = new Map<string, Change[]>();
  let extraRoutes: RouteOptions[] = [];
  let version = 0;
  let acknowledgedVersion = 0;
  let longestAckMs = 0;
  let probes = 0;
  let refusals = 0;
  let ids = 0;

  const record = (text: string) => {
    const second = ((performance.now() - startedAt) / 1_000).toFixed(3);
    events.push(`${second} ${new Date().toISOString()} ${text}`);
  };

  const faults = createFleetFaults({ platform, random, record });
  const pick = <Item>(items: readonly Item[]): Item => items[Math.floor(random() * items.length)]!;
  const between = (low: number, high: number): number => low + random() * (high - low);

  const track = (work: Promise<void>) => {
    const tracked: Promise<void> = work.finally(() => pending.delete(tracked));
    pending.add(tracked);
  };

  const createNewestDocument = () =>
    createDocument(version, acknowledgedVersion, [
      ...[...routes].map(([prefix, service]) => ({
        name: `r${prefix.slice(1, -1)}`,
        prefix,
        service,
        host,
      })),
      ...extraRoutes,
    ]);

  /** Sends the newest version to one control instance after the other until it is acknowledged. */
  const put = async () => {
    const document = createNewestDocument();
    const sentAt = performance.now();
    for (let turn = 0; performance.now() < endAt + 20_000; turn += 1) {
      const at = controls[(version + turn) % controls.length]!;
      const response = await Promise.race([
        platform.put(document, at.ip).catch(() => undefined),
        sleep(1_000).then(() => undefined),
      ]);
      if (response?.status === 200) {
        acknowledgedVersion = version;
        longestAckMs = Math.max(longestAckMs, performance.now() - sentAt);
        return;
      }
      if (response && response.status < 500) {
        throw new Error(`version ${version} was answered ${response.status}: ${response.body}`);
      }
      await sleep(50);
    }
    throw new Error(`version ${version} was not acknowledged`);
  };

  /** Outcomes of a request that a version acknowledged before `at`, or a later one, allows. */
  const allowedSince = (path: string, at: number): string[] => {
    const ofPath = changes.get(path) ?? [];
    const inForce = ofPath.filter(({ acknowledgedAt }) => acknowledgedAt <= at).slice(-1);
    const later = ofPath.filter(({ acknowledgedAt }) => acknowledgedAt > at);
    return [...inForce, ...later].map(({ target }) => target);
  };

  /** While control is unstable, changes may take longer. */
  const applyLimitMs = (now: number): number =>
    faults.wasControlUndisturbedSince(now - stabilityMs - applyMs)
      ? applyMs
      : applyMs + maxStretchMs;

  const ask = async (node: NodeMachine, change: Change) => {
    const { path } = change;
    const sentAt = performance.now();
    const sentMs = Math.round(sentAt - change.acknowledgedAt);
    const limitMs = applyLimitMs(sentAt);
    if (sentMs < limitMs || !node.process.isRunning()) {
      return;
    }
    ids += 1;
    const response = await Promise.race([
      sendRequest(node.outbound, { path: `${path}1`, host, id: `p-${ids}` }).catch(() => undefined),
      sleep(2_000).then(() => undefined),
    ]);
    if (!response || !faults.wasUndisturbedSince(node, sentAt - stabilityMs)) {
      return;
    }
    probes += 1;
    const [endpointId] = response.body.split(' ');
    const runBy = nodes.find(({ endpoint }) => endpoint?.id === endpointId)?.service;
    const seen = response.status === 404 ? notFound : runBy;
    if (seen === undefined) {
      refusals += 1;
      return;
    }
    if (!allowedSince(path, sentAt - limitMs).includes(seen)) {
      const at = new Date().toISOString();
      const answer = { node: node.name, path, version: change.version, sentMs, seen, at };
      late.push(answer);
      record(`late ${JSON.stringify(answer)}`);
    }
  };

  const askAll = async (change: Change) => {
    for (const waitMs of [applyMs + probeMarginMs, 400]) {
      await sleep(waitMs);
      await Promise.all(nodes.map((node) => ask(node, change)));
    }
    if (applyLimitMs(performance.now()) > applyMs) {
      await sleep(maxStretchMs);
      await Promise.all(nodes.map((node) => ask(node, change)));
    }
  };

  /** Changes one route, and sometimes many others, in the newest version. Returns its path. */
  const changeRoutes = (): string => {
    version += 1;
    if (random() < bigChangeShare) {
      extraRoutes = Array.from({ length: bigChangeRoutes }, (_, index) => ({
        name: `extra-${index}`,
        prefix: `/extra-${index}/`,
        service: pick(services),
      }));
    }
    const added = [...routes.keys()].slice(services.length);
    const kind = random();
    if (kind < 0.6 || added.length === 0) {
      const path = `/r${version}/`;
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
      const path = changeRoutes();
      const target = routes.get(path) ?? notFound;
      const change: Change = { version, path, target, acknowledgedAt: Infinity };
      changes.set(path, [...(changes.get(path) ?? []), change]);
      await put();
      change.acknowledgedAt = performance.now();
      track(askAll(change));
      await sleep(between(50, 600));
    }
  };

  const causeFaults = async () => {
    while (performance.now() < endAt - calmEndMs) {
      await sleep(between(300, 2_500));
      track(faults.cause(pick(options.faults)));
    }
  };

  version += 1;
  await put();
  await platform.waitUntilReady();
  await sleep(stabilityMs);
  await Promise.all([operate(), causeFaults()]);
  await Promise.all(pending);
  return {
    late,
    events,
    probes,
    refusals,
    changes: version,
    longestAckMs: Math.round(longestAckMs),
  };
};
