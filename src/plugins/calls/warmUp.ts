/**
 * Runs calls through parts of their own before a node takes real ones. Code that has not run yet is
 * slow enough to hold up the first calls of a process for longer than their callers wait.
 */
import { createServer, request as sendRequest } from 'node:http';
import { parseTargets } from '../../core/operators/configuration.js';
import { derivePolicies } from '../../core/operators/policy.js';
import { createEndpointTracker } from '../../core/calls/endpointTracker.js';
import { createOverloadThrottle } from '../../core/calls/overloadThrottle.js';
import { createRetryBudgets } from '../../core/calls/retry.js';
import { createQuasiRandom } from '../../core/calls/quasiRandom.js';
import { createBurn } from '../../core/operators/burn.js';
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

/** Calls of a warm-up: the processor time of a call falls by four fifths within the first 40. */
const callCount = 60;
const callsAtATime = 4;
/** A warm-up that takes longer is cut short, in ms: a node that is slow is still of use. */
const limitMs = 1_500;
/** Body of the answers, in bytes: about that of a lookup. */
const answerBytes = 1_024;

/** Calls of the warm-up count as nobody's. */
const noMetrics: CallMetrics = {
  recordCall: () => undefined,
  recordRetry: () => undefined,
  recordRefusal: () => undefined,
  recordChoice: () => undefined,
  recordGateRefusal: () => undefined,
  recordNestedRefusal: () => undefined,
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

/** Stands for an upstream: answers with the headers of the request. */
const startUpstream = async () => {
  const server = createServer((request, response) => {
    const echoed = filterHeaders(request.rawHeaders, new Set(['content-length', 'host']));
    response.writeHead(200, [...echoed, 'content-length', String(answerBytes)]);
    request.resume().once('end', () => response.end(Buffer.alloc(answerBytes)));
  });
  const address = formatAddress(await listenHttp(server, anyLoopback));
  const close = () => {
    server.close();
    server.closeAllConnections();
  };
  return { address, close };
};

const callOnce = ({ host, port }: Address, headers: Readonly<Record<string, string>>) =>
  new Promise<void>((resolve) => {
    const sent = sendRequest({ host, port, path: '/', headers, agent: false }, (response) => {
      response.resume().once('close', resolve);
    });
    sent.once('error', () => resolve());
    sent.end();
  });

export interface WarmUpOptions {
  readonly callInterface: CallInterface;
  readonly access: Access;
  readonly timer: Timer;
}

/** Sends the calls of a warm-up; resolves with how many were sent. */
export const warmUp = async ({ callInterface, access, timer }: WarmUpOptions): Promise<number> => {
  const { configuration } = parseTargets(targets, service);
  const upstream = await startUpstream();
  const log = createSilentLog();
  const random = () => 0.5;
  const starts = createCallStartScheduler({ timer });
  const localUpstream = createLocalUpstream(timer, callInterface.upstreams, random);
  const writers = createResponseWriters(timer);
  const slots = callsAtATime;
  localUpstream.commands.configure({
    service,
    address: upstream.address,
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
    starts,
    random,
  });
  const endpoint: Endpoint = {
    id: service,
    service,
    dataCentre: service,
    region: service,
    address: upstream.address,
    forwardAddress: formatAddress(await forward.listen()),
    slots,
    connections: slots,
    state: 'ready',
    incarnation: 0,
    sequence: 0,
    node: service,
  };
  const held: ActiveConfiguration = {
    version: { term: 0, index: 0 },
    digest: new Uint8Array(),
    configuration: configuration!,
    policies: derivePolicies(configuration!),
    clusters: new Map([[service, { service, endpoints: [endpoint] }]]),
  };
  const holding: ConfigurationView = {
    commands: { ensureCluster: async () => held.clusters.get(service), recordUse: () => undefined },
    queries: { current: () => held, isDetached: () => false, confirmedAgeMs: () => 0 },
    onChange: () => () => undefined,
  };
  const links = createNodeLinks({ timer, authorization: access.authorization });

  /** A node with or without the upstream beside it: the latter forwards its calls. */
  const startNode = async (name: string, beside: typeof localUpstream) => {
    const evidence = createEndpointTracker({ random });
    const throttle = createOverloadThrottle();
    const runner = createCallRunner({
      localNode: { name, dataCentre: service, region: service },
      timer,
      random,
      upstream: beside,
      startScheduler: starts,
      remote: createNodeQueues(
        createRemoteSender({
          links,
          timer,
          onLoad: (id, load) => evidence.commands.recordLoad(id, load, timer.now()),
        }),
        timer,
      ),
      endpointTracker: evidence,
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
      holding,
      upstream: beside,
      writers,
      startScheduler: starts,
      runner,
      throttle,
      atMostOnce: createAtMostOnceRunner({ runner, ledger: {} as LedgerClient, timer, log }),
      burn: createBurn(),
      metrics: noMetrics,
    });
    return { calls, address: await calls.listen() };
  };
  const nodes = [
    await startNode(service, localUpstream),
    await startNode('far', createLocalUpstream(timer, callInterface.upstreams, random)),
  ];

  const endAt = timer.now() + limitMs;
  let sent = 0;
  const sendInTurn = async () => {
    while (sent < callCount && timer.now() < endAt) {
      sent += 1;
      const headers = callInterface.callers.callHeaders(`warm-up-${sent}`, limitMs);
      await callOnce(nodes[sent % nodes.length]!.address, headers);
    }
  };
  await Promise.all(Array.from({ length: callsAtATime }, sendInTurn));

  await Promise.all([...nodes.map(({ calls }) => calls), forward].map((part) => part.stop(0)));
  links.destroy();
  await localUpstream.commands.stop();
  upstream.close();
  return sent;
};
