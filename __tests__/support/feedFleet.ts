/**
 * Control feeds and node feeds in one process, over real connections on 127.0.0.1. The test changes
 * the configuration source directly.
 */
import { createServer } from 'node:net';
import { digestConfiguration } from '../../src/core/operators/configuration.js';
import { createAccess } from '../../src/plugins/operators/access.js';
import { createControlFeed, type ControlFeed } from '../../src/plugins/distribution/controlFeed.js';
import { createNodeFeed, type NodeFeed } from '../../src/plugins/distribution/nodeFeed.js';
import { createRpcServer, parseAddress, type RpcServer } from '../../src/plugins/rpc.js';
import type { ConfigurationSource, CommittedConfiguration } from '../../src/types/internal.js';
import type { Configuration, Endpoint, TrafficClass, Version } from '../../src/types/public.js';
import type { VersionOutcomeCounter } from '../../src/core/rollouts/versionOutcomes.js';
import { formatVersion } from '../../src/core/agreement/version.js';
import { createLog, createSilentLog } from '../../src/utils/log.js';
import { createTimer } from '../../src/utils/timer.js';

export const clusterName = 'test';
export const clusterToken = 'token-of-the-tests';

export const findFreePort = (): Promise<number> =>
  new Promise((resolve, reject) => {
    const probe = createServer();
    probe.once('error', reject);
    probe.listen(0, '127.0.0.1', () => {
      const address = probe.address();
      probe.close(() => resolve(typeof address === 'object' && address ? address.port : 0));
    });
  });

export const findFreeAddress = async (): Promise<string> => `127.0.0.1:${await findFreePort()}`;

/** Waits until the condition holds. Throws after `limitMs`. */
export const waitUntil = async (
  condition: () => boolean,
  what: string,
  limitMs = 30_000,
): Promise<void> => {
  const deadline = Date.now() + limitMs;
  while (!condition()) {
    if (Date.now() > deadline) {
      throw new Error(`not reached within ${limitMs} ms: ${what}`);
    }
    await new Promise((resolve) => {
      setTimeout(resolve, 10);
    });
  }
};

export const createTrafficClass = (
  name: string,
  service: string,
  importance = 50,
): TrafficClass => ({
  name,
  service,
  match: [{ method: 'GET', pathPrefix: `/${name}` }],
  share: 0.99,
  atMostOnce: false,
  idempotent: true,
  mayWaitMs: 0,
  availability: 0.99,
  importance,
});

/** Creates a configuration with one class per service. */
export const createConfiguration = (
  services: readonly string[],
  importance = 50,
): Configuration => ({
  services: Object.fromEntries(services.map((name) => [name, { name, expected: true }])),
  classes: Object.fromEntries(
    services.map((name) => [
      `class-${name}`,
      createTrafficClass(`class-${name}`, name, importance),
    ]),
  ),
});

export const createEndpoint = (id: string, service: string, sequence = 1): Endpoint => ({
  id,
  service,
  dataCentre: 'dc-a',
  region: 'region',
  address: '127.0.0.1:1',
  forwardAddress: '127.0.0.1:2',
  slots: 10,
  connections: 100,
  state: 'ready',
  incarnation: 1,
  sequence,
  node: id,
});

export interface ManualSource extends ConfigurationSource {
  /** Commits a configuration as the newest one and returns its version. */
  commit(configuration: Configuration): Version;
  setConfirmedAge(ms: number): void;
}

export const createManualSource = (term = 1): ManualSource => {
  const configurations = new Map<string, Configuration>();
  const listeners = new Set<() => void>();
  let head: CommittedConfiguration | undefined;
  let ageMs = 0;
  return {
    head: () => head,
    configurationAt: (version) => configurations.get(formatVersion(version)),
    isCurrent: () => true,
    confirmedAgeMs: () => ageMs,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    commit: (configuration) => {
      const version = { term, index: (head?.version.index ?? 0) + 1 };
      configurations.set(formatVersion(version), configuration);
      const digest = digestConfiguration(configuration);
      head = { version, configuration, digest, acceptedAtMs: Date.now() };
      listeners.forEach((listener) => listener());
      return version;
    },
    setConfirmedAge: (ms) => {
      ageMs = ms;
    },
  };
};

export const access = createAccess({ clusterToken });
const log = process.env.TEST_LOG ? createLog('test', 'debug') : createSilentLog();

const startServer = async (
  address: string,
  routes: ControlFeed['routes'],
): Promise<{ server: RpcServer }> => {
  const parsed = parseAddress(address);
  if (!parsed) {
    throw new Error(`invalid address: ${address}`);
  }
  const server = createRpcServer({
    address: parsed,
    routes,
    interceptors: [access.serverInterceptor],
  });
  await server.listen();
  return { server };
};

export interface RunningFeed<Feed> {
  readonly name: string;
  readonly address: string;
  readonly feed: Feed;
  stop(): Promise<void>;
}

export interface FeedOptions {
  readonly name: string;
  readonly address?: string;
  readonly dataCentre?: string;
  /** Outcomes of the calls that a node sends. */
  readonly outcomes?: VersionOutcomeCounter;
}

export const startControl = async (
  { name, address, dataCentre = 'dc-a' }: FeedOptions,
  source: ConfigurationSource,
  members: readonly { name: string; address: string; dataCentre: string }[] = [],
): Promise<RunningFeed<ControlFeed>> => {
  const peerAddress = address ?? (await findFreeAddress());
  const timer = createTimer();
  const feed = createControlFeed({
    control: { name, dataCentre, region: 'region', peerAddress },
    cluster: { name: clusterName, members: () => members },
    source,
    access,
    timer,
    log: log.part(name),
    random: Math.random,
  });
  const { server } = await startServer(peerAddress, feed.routes);
  feed.start();
  const stop = async () => {
    await feed.stop();
    await server.close(0);
    timer.stop();
  };
  return { name, address: peerAddress, feed, stop };
};

export const startNode = async (
  { name, address, dataCentre = 'dc-a', outcomes }: FeedOptions,
  control: readonly { address: string; dataCentre: string }[],
  peers: readonly string[] = [],
): Promise<RunningFeed<NodeFeed>> => {
  const peerAddress = address ?? (await findFreeAddress());
  const timer = createTimer();
  const feed = createNodeFeed({
    node: { name, dataCentre, region: 'region', peerAddress },
    cluster: { name: clusterName, control, peers },
    outcomes,
    access,
    timer,
    log: log.part(name),
    random: Math.random,
  });
  const { server } = await startServer(peerAddress, feed.routes);
  feed.start();
  const stop = async () => {
    await feed.stop();
    await server.close(0);
    timer.stop();
  };
  return { name, address: peerAddress, feed, stop };
};
