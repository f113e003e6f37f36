/**
 * Sends calls through separate instances of the components of a node before it accepts real calls.
 * Code that has not run yet is slow enough to delay the first calls of a process beyond the time
 * that their callers wait.
 */
import { createServer, request as sendRequest } from 'node:http';
import { parseTargets } from '../../core/operators/configuration.js';
import { derivePolicies } from '../../core/operators/policy.js';
import { createEndpointTracker } from '../../core/calls/endpointTracker.js';
import { createOverloadThrottle } from '../../core/calls/overloadThrottle.js';
import { createRetryBudgets } from '../../core/calls/retry.js';
import { createQuasiRandom } from '../../core/calls/quasiRandom.js';
import { createBurnCounters } from '../../core/operators/burn.js';
import type { CallInterface } from '../../types/callInterface.js';
import type { ActiveConfiguration, ConfigurationView, LedgerClient } from '../../types/internal.js';
import type { Endpoint } from '../../types/public.js';
import { createSilentLog } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import { listenHttp } from '../httpListen.js';
import { formatAddress, type Address } from '../rpc.js';
import { createResponseWriters } from './responseWriters.js';
import { createAtMostOnceRunner } from './atMostOnceRunner.js';
import { filterHeaders } from './callHeaders.js';
import { createCallRunner } from './callRunner.js';
import type { CallMetrics } from './callMetrics.js';
import { createCallStartScheduler } from './callStartScheduler.js';
import { createCallServer } from './callServer.js';
import { createForwardServer } from './forwardServer.js';
import { createLocalUpstream } from './localUpstream.js';
import { createNodeQueues } from './nodeQueues.js';
import { createRemoteSender } from './remoteSender.js';
import { createNodeLinks } from './nodeLinks.js';

/**
 * Calls of a warm-up. Most of the extra time of cold code is spent in the first 12; after a loss of
 * all nodes, further ones only delay the first real calls.
 */
const callCount = 16;
const concurrency = 4;
/** Time limit of the warm-up, in ms: a node that is still slow is useful nevertheless. */
const timeLimitMs = 1_500;
/** Size of the response bodies, in bytes: about that of a lookup. */
const responseBytes = 1_024;

/** Calls of the warm-up are not counted in any metric. */
const noMetrics: CallMetrics = {
  recordCall: () => undefined,
  recordRetry: () => undefined,
  recordRefusal: () => undefined,
  recordReportedLoad: () => undefined,
  recordSlotUse: () => undefined,
  recordChoice: () => undefined,
  recordGateRefusal: () => undefined,
  recordNestedRefusal: () => undefined,
  recordNestedDelay: () => undefined,
  recordUpstreamFailure: () => undefined,
  recordStartDelay: () => undefined,
  recordCallerDisconnect: () => undefined,
};

const service = 'warm-up';
const targets = `
[class.warm-up]
service = "${service}"
match = [{ path = "/" }]
answer_within = "1s"
idempotent = true
`;

const anyLoopback: Address = { host: '127.0.0.1', port: 0 };
const noStopTimes = { acceptMs: 0, idleMs: 0 };

/** Starts a server in place of an upstream. Its responses repeat the headers of the request. */
const startStandInUpstream = async () => {
  const server = createServer((request, response) => {
    const echoedHeaders = filterHeaders(request.rawHeaders, new Set(['content-length', 'host']));
    response.writeHead(200, [...echoedHeaders, 'content-length', String(responseBytes)]);
    request.resume().once('end', () => response.end(Buffer.alloc(responseBytes)));
  });
  const address = formatAddress(await listenHttp(server, anyLoopback));
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { address, close };
};

const sendCall = ({ host, port }: Address, headers: Readonly<Record<string, string>>) =>
  new Promise<void>((resolve) => {
    const request = sendRequest({ host, port, path: '/', headers, agent: false }, (response) => {
      response.resume().once('close', resolve);
    });
    request.once('error', () => resolve());
    request.end();
  });

export interface WarmUpOptions {
  readonly callInterface: CallInterface;
  readonly access: Access;
  readonly timer: Timer;
}

/** Sends the calls of a warm-up; resolves with the number of calls sent. */
export const warmUp = async ({ callInterface, access, timer }: WarmUpOptions): Promise<number> => {
  const { configuration } = parseTargets(targets, service);
  const standInUpstream = await startStandInUpstream();
  const log = createSilentLog();
  const random = () => 0.5;
  const startScheduler = createCallStartScheduler({ timer });
  const localUpstream = createLocalUpstream(timer, callInterface.upstreams, random);
  const writers = createResponseWriters(timer);
  const slots = concurrency;
  localUpstream.commands.configure({
    service,
    address: standInUpstream.address,
    slots,
    connections: slots,
  });
  const forward = createForwardServer({
    address: anyLoopback,
    access,
    stopTimes: noStopTimes,
    timer,
    log,
    upstream: localUpstream,
    writers,
    starts: startScheduler,
    random,
  });
  const endpoint: Endpoint = {
    id: service,
    service,
    dataCentre: service,
    region: service,
    address: standInUpstream.address,
    forwardAddress: formatAddress(await forward.listen()),
    slots,
    connections: slots,
    state: 'ready',
    incarnation: 0,
    sequence: 0,
    node: service,
  };
  const activeConfiguration: ActiveConfiguration = {
    version: { term: 0, index: 0 },
    digest: new Uint8Array(),
    configuration: configuration!,
    policies: derivePolicies(configuration!),
    clusters: new Map([[service, { service, endpoints: [endpoint] }]]),
  };
  const configurationView: ConfigurationView = {
    commands: {
      ensureCluster: async () => activeConfiguration.clusters.get(service),
      recordUse: () => undefined,
    },
    queries: {
      current: () => activeConfiguration,
      isDetached: () => false,
      confirmedAgeMs: () => 0,
      fleetNodes: () => 0,
    },
    onChange: () => () => undefined,
  };
  const links = createNodeLinks({ timer, authorization: access.authorization });

  /** Starts a node with or without the upstream beside it; without one, it forwards its calls. */
  const startNode = async (name: string, upstream: typeof localUpstream) => {
    const endpointTracker = createEndpointTracker({ random });
    const throttle = createOverloadThrottle();
    const runner = createCallRunner({
      localNode: { name, dataCentre: service, region: service },
      timer,
      random,
      upstream,
      startScheduler,
      remote: createNodeQueues(
        createRemoteSender({
          links,
          timer,
          onLoad: (id, load) => endpointTracker.commands.recordLoad(id, load, timer.now()),
        }),
        timer,
      ),
      endpointTracker,
      retryBudgetFor: createRetryBudgets({ share: 0 }),
      throttle,
      metrics: noMetrics,
    });
    const calls = createCallServer({
      address: anyLoopback,
      dataCentre: service,
      callers: callInterface.callers,
      stopTimes: noStopTimes,
      random,
      quasiRandom: createQuasiRandom(random),
      timer,
      log,
      holding: configurationView,
      upstream,
      writers,
      startScheduler,
      runner,
      throttle,
      atMostOnce: createAtMostOnceRunner({ runner, ledger: {} as LedgerClient, timer, log }),
      burn: createBurnCounters(),
      metrics: noMetrics,
    });
    return { calls, address: await calls.listen() };
  };
  const nodes = [
    await startNode(service, localUpstream),
    await startNode('far', createLocalUpstream(timer, callInterface.upstreams, random)),
  ];

  const deadline = timer.now() + timeLimitMs;
  let sentCalls = 0;
  const runSender = async () => {
    while (sentCalls < callCount && timer.now() < deadline) {
      sentCalls += 1;
      const headers = callInterface.callers.callHeaders(`warm-up-${sentCalls}`, timeLimitMs);
      await sendCall(nodes[sentCalls % nodes.length]!.address, headers);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runSender));

  await Promise.all([...nodes.map(({ calls }) => calls), forward].map((server) => server.stop(0)));
  links.destroy();
  await localUpstream.commands.stop();
  standInUpstream.close();
  return sentCalls;
};
