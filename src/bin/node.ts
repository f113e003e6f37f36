/**
 * The `auburnsill-node` program: reads its settings, wires the parts of a node, and stops gracefully
 * on SIGTERM or SIGINT. A second signal stops it at once.
 */
import { randomBytes } from 'node:crypto';
import { parseArgs } from 'node:util';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createAccess } from '../plugins/operators/access.js';
import { createFeedMetrics, observePeerTraffic } from '../plugins/distribution/feedMetrics.js';
import { createLedgerClient } from '../plugins/calls/ledgerClient.js';
import { createMetrics } from '../plugins/metrics.js';
import { createNodeFeed } from '../plugins/distribution/nodeFeed.js';
import { createNodeRuntime } from '../plugins/calls/nodeRuntime.js';
import { createRpcServer, parseAddress, type Address } from '../plugins/rpc.js';
import { Failure } from '../utils/failure.js';
import { createLog, type Log } from '../utils/log.js';
import { createTimer } from '../utils/timer.js';
import { readNodeSettings, type NodeSettings } from '../plugins/operators/nodeSettings.js';
import { failStart } from './startFailure.js';

const stopLimitMs = 30_000;
const peerGraceMs = 500;
const logFlushMs = 20;
const usage = 'usage: auburnsill-node --settings FILE';

const addressOf = (text: string): Address => parseAddress(text)!;

/** Source of random numbers in [0, 1), seeded by the system. */
const createRandom = (): (() => number) => {
  const generator = xoroshiro128plus(randomBytes(4).readInt32LE());
  const range = 2 ** 30;
  return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
};

/** Control instances of the own data centre first. */
const controlOrder = ({ node, cluster }: NodeSettings): string[] => {
  const near = cluster.control.filter((control) => control.data_centre === node.data_centre);
  const far = cluster.control.filter((control) => control.data_centre !== node.data_centre);
  return [...near, ...far].map(({ address }) => address);
};

const startNode = async (settings: NodeSettings, log: Log): Promise<() => Promise<void>> => {
  const timer = createTimer();
  const random = createRandom();
  const { listen, cluster, advertise } = settings;
  const access = createAccess({ clusterToken: settings.token });
  const metrics = createMetrics();
  const node = {
    name: settings.node.name,
    dataCentre: settings.node.data_centre,
    region: settings.node.region,
  };
  const control = cluster.control.map((entry) => ({
    address: entry.address,
    dataCentre: entry.data_centre,
  }));
  const feed = createNodeFeed({
    node: { ...node, peerAddress: advertise?.peer ?? listen.peer },
    cluster: { name: cluster.name, control, peers: cluster.peers },
    access,
    timer,
    log,
    random,
    metrics: createFeedMetrics(metrics.registry),
  });
  const peer = createRpcServer({
    address: addressOf(listen.peer),
    routes: feed.routes,
    interceptors: [access.serverInterceptor],
  });
  observePeerTraffic(metrics.registry, peer.traffic);
  const ledger = createLedgerClient({ addresses: controlOrder(settings), access, timer });
  const runtime = createNodeRuntime({
    node,
    listen: {
      calls: addressOf(listen.calls),
      forward: addressOf(listen.forward),
      admin: addressOf(listen.admin),
    },
    advertisedForward: advertise?.forward,
    access,
    holding: feed.holding,
    announcer: feed.announcer,
    ledger,
    metrics,
    timer,
    log,
    random,
  });

  await peer.listen();
  await runtime.start();
  feed.start();
  log.info('started', { ...listen });

  return async () => {
    await runtime.stop(stopLimitMs);
    await feed.stop();
    await peer.close(peerGraceMs);
    ledger.close();
    timer.stop();
  };
};

const stopOnSignals = (stop: () => Promise<void>, log: Log) => {
  let isStopping = false;
  const exit = (code: number) => {
    // Open connections would keep the process alive. Lines of the log need some turns of the loop.
    // eslint-disable-next-line n/no-process-exit
    setTimeout(() => process.exit(code), logFlushMs);
  };
  const onSignal = (signal: NodeJS.Signals) => {
    if (isStopping) {
      log.warn('stopping at once', { signal });
      exit(1);
      return;
    }
    isStopping = true;
    log.info('stopping', { signal });
    setTimeout(() => {
      log.error('the time limit of the stop has passed');
      exit(1);
    }, stopLimitMs).unref();
    stop().then(
      () => {
        log.info('stopped');
        exit(0);
      },
      (error: unknown) => {
        log.error('stop failed', { message: String(error) });
        exit(1);
      },
    );
  };
  process.on('SIGTERM', onSignal);
  process.on('SIGINT', onSignal);
};

const settingsFileOf = (): string => {
  try {
    const { values } = parseArgs({ options: { settings: { type: 'string' } } });
    if (values.settings !== undefined) {
      return values.settings;
    }
  } catch {
    // Unknown arguments get the same answer as missing ones.
  }
  throw new Failure('invalid_settings', usage);
};

const main = async () => {
  const settings = readNodeSettings(settingsFileOf());
  const log = createLog(settings.node.name, settings.log.level);
  const stop = await startNode(settings, log);
  stopOnSignals(stop, log);
};

main().catch(failStart);
