/**
 * Two nodes in this process, one of them beside a scripted upstream. They share a fake
 * configuration view. Connections are real; the test supplies the configuration, the clusters and
 * the ledger.
 */
import { request as httpRequest, type IncomingHttpHeaders } from 'node:http';
import { createServer, type Socket } from 'node:net';
import { parseTargets } from '../../src/core/operators/configuration.js';
import { derivePolicies } from '../../src/core/operators/policy.js';
import { createAccess } from '../../src/plugins/operators/access.js';
import { createMetrics } from '../../src/plugins/metrics.js';
import { createNodeRuntime, type BoundAddresses } from '../../src/plugins/calls/nodeRuntime.js';
import type { CallInterface } from '../../src/types/callInterface.js';
import type {
  Announcer,
  ClaimOutcome,
  ActiveConfiguration,
  ConfigurationView,
  LedgerClient,
} from '../../src/types/internal.js';
import type { Cluster, Configuration, Endpoint } from '../../src/types/public.js';
import type { QuotaGate } from '../../src/types/quota.js';
import { createSilentLog, type Log } from '../../src/utils/log.js';
import type { VersionOutcomeCounter } from '../../src/core/rollouts/versionOutcomes.js';
import { createTimer } from '../../src/utils/timer.js';
import { createMemoryEnds } from './memoryEnds.js';

export const lookupTargets = `
[class.lookup]
service = "s"
match = [{ method = "GET", path = "/lookup" }, { method = "PUT", path = "/lookup" }]
answer_within = "2s"
idempotent = true

[class.order]
service = "s"
match = [{ method = "POST", path = "/orders" }]
answer_within = "2s"
at_most_once = true

[class.plain]
service = "s"
match = [{ method = "POST", path = "/plain" }]
answer_within = "1s"
`;

export interface ReceivedRequest {
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: string;
  readonly socket: Socket;
}

/** Formats a raw HTTP response that echoes the request ID and the body. */
export const formatResponse = (request: ReceivedRequest, extra = ''): string => {
  const requestId = request.headers['x-request-id'] ?? '';
  const body = JSON.stringify({ requestId, body: request.body });
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\nx-request-id: ${requestId}\r\n${extra}\r\n${body}`;
};

export interface ScriptedUpstream {
  readonly address: string;
  /** Number of requests whose head and body arrived completely. */
  started(): number;
  requests(): readonly ReceivedRequest[];
  connections(): number;
  /** Replaces the handler of complete requests. */
  onRequest(handler: (request: ReceivedRequest) => void): void;
  /** Calls the handler for each chunk with the bytes that the connection has received so far. */
  onBytes(handler: (socket: Socket, total: number) => void): void;
  stop(): Promise<void>;
}

/** Returns the first request in `text`, or only its length if it is not complete. */
const parseRequest = (
  text: string,
  socket: Socket,
): { request?: ReceivedRequest; length: number } => {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return { length: 0 };
  }
  const [start = '', ...lines] = text.slice(0, headEnd).split('\r\n');
  const headers = Object.fromEntries(
    lines.map((line) => [
      line.slice(0, line.indexOf(':')).toLowerCase(),
      line.slice(line.indexOf(':') + 1).trim(),
    ]),
  );
  const length = headEnd + 4 + Number(headers['content-length'] ?? 0);
  if (text.length < length) {
    return { length };
  }
  const [method = '', path = ''] = start.split(' ');
  const body = text.slice(headEnd + 4, length);
  return { request: { method, path, headers, body, socket }, length };
};

/** Starts an upstream that speaks raw HTTP/1.1, so that a test controls each byte of a response. */
export const startScriptedUpstream = async (): Promise<ScriptedUpstream> => {
  const requests: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  let handle = (request: ReceivedRequest) => {
    request.socket.write(formatResponse(request));
  };
  let handleBytes: (socket: Socket, total: number) => void = () => undefined;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    let text = '';
    /** Length of the request that is not complete yet, once its head is. */
    let awaitedLength = 0;
    let total = 0;
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      total += chunk.length;
      text += chunk.toString('latin1');
      handleBytes(socket, total);
      // A search in text that grows by each chunk copies all of it, which takes 20 s for 48 MiB.
      while (text.length >= awaitedLength) {
        const { request, length } = parseRequest(text, socket);
        if (!request) {
          awaitedLength = length || text.length + 1;
          return;
        }
        text = text.slice(length);
        awaitedLength = 0;
        requests.push(request);
        handle(request);
      }
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const bound = server.address();
  const port = typeof bound === 'object' && bound ? bound.port : 0;
  return {
    address: `127.0.0.1:${port}`,
    started: () => requests.length,
    requests: () => requests,
    connections: () => connections,
    onRequest: (handler) => {
      handle = handler;
    },
    onBytes: (handler) => {
      handleBytes = handler;
    },
    stop: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};

/** In-memory ledger that follows the rules of the real one. */
export const createFakeLedger = () => {
  const entries = new Map<
    string,
    { attemptId: string; fingerprintHex: string; outcome: ClaimOutcome }
  >();
  let reachable = true;
  let dropsNextClaimResponse = false;
  let releaseMs = 0;
  const ledger: LedgerClient = {
    claim: async ({ service, key, attemptId, fingerprint }) => {
      if (!reachable) {
        throw new Error('unreachable');
      }
      const id = JSON.stringify([service, key]);
      const fingerprintHex = Buffer.from(fingerprint).toString('hex');
      const entry = entries.get(id);
      if (!entry) {
        entries.set(id, {
          attemptId,
          fingerprintHex,
          outcome: { outcome: 'in_progress' },
        });
        if (dropsNextClaimResponse) {
          dropsNextClaimResponse = false;
          throw new Error('the response to the claim is lost');
        }
        return { outcome: 'granted' };
      }
      return entry.fingerprintHex === fingerprintHex ? entry.outcome : { outcome: 'mismatch' };
    },
    complete: async ({ service, key, attemptId, answer }) => {
      const entry = entries.get(JSON.stringify([service, key]));
      if (entry?.attemptId === attemptId) {
        entry.outcome = { outcome: 'completed', answer };
      }
    },
    release: async ({ service, key, attemptId }) => {
      await new Promise((resolve) => {
        setTimeout(resolve, releaseMs);
      });
      const id = JSON.stringify([service, key]);
      if (entries.get(id)?.attemptId === attemptId) {
        entries.delete(id);
      }
    },
  };
  return {
    ledger,
    keys: () => entries.size,
    /** Records the next claim but drops its response. */
    dropClaimResponse: () => {
      dropsNextClaimResponse = true;
    },
    /** Sets the duration of later releases. */
    setReleaseMs: (ms: number) => {
      releaseMs = ms;
    },
    setReachable: (value: boolean) => {
      reachable = value;
    },
  };
};

export interface CallResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: string;
}

export interface CallOptions {
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string | Buffer;
  readonly signal?: AbortSignal;
}

/** Makes a call. Rejects if the connection breaks before the response is complete. */
export const makeCall = (
  address: string,
  path: string,
  { method = 'GET', headers = {}, body, signal }: CallOptions = {},
): Promise<CallResponse> =>
  new Promise((resolve, reject) => {
    const request = httpRequest(`http://${address}${path}`, {
      method,
      headers,
      signal,
      agent: false,
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', reject);
      response.on('end', () =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(parts).toString(),
        }),
      );
    });
    request.end(body);
  });

const formatAddress = ({ host, port }: { host: string; port: number }) => `${host}:${port}`;

export interface MeshOptions {
  readonly targets?: string;
  readonly slots?: number;
  readonly connections?: number;
  /** Bandwidth of each node's link, in Mbit/s. */
  readonly linkMbps?: number;
  /** Admission by the whole call, on both nodes. */
  readonly wholeCall?: boolean;
  readonly adaptivePace?: boolean;
  /** Address that the caller's node uses for the other node, such as that of a fault proxy. */
  readonly forwardThrough?: (forward: string) => Promise<string>;
  /** Protocol between callers, nodes and the upstream. Default: the product's own interface. */
  readonly callInterface?: CallInterface;
  /** Log of both nodes. Default: all lines are discarded. */
  readonly log?: Log;
  /** Limit on the rate of each tenant. Default: none. */
  readonly quota?: QuotaGate;
  /** Version that the upstream announces. */
  readonly version?: string;
  /** Counts the outcomes of the calls of both nodes. */
  readonly outcomes?: VersionOutcomeCounter;
}

/** Starts a scripted upstream, a node beside it, and a second node without an upstream. */
export const startMesh = async (options: MeshOptions = {}) => {
  const { configuration, findings } = parseTargets(options.targets ?? lookupTargets, 'targets');
  if (!configuration) {
    throw new Error(JSON.stringify(findings));
  }
  const clusters = new Map<string, Cluster>();
  let lastCluster: Cluster | undefined;
  let confirmedAgeMs = 0;
  const activate = (next: Configuration, index: number): ActiveConfiguration => ({
    version: { term: 1, index },
    digest: new Uint8Array(),
    configuration: next,
    policies: derivePolicies(next),
    clusters,
  });
  let activeConfiguration = activate(configuration, 1);
  const listeners = new Set<(active: ActiveConfiguration) => void>();
  /** Configurations of the nodes that differ from the common one, by name of the node. */
  const ownConfigurations = new Map<string, ActiveConfiguration>();
  const configurationView: ConfigurationView = {
    commands: {
      ensureCluster: async (service) => clusters.get(service),
      recordUse: () => undefined,
    },
    queries: {
      current: () => activeConfiguration,
      isDetached: () => false,
      confirmedAgeMs: () => confirmedAgeMs,
      fleetNodes: () => 0,
    },
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
  };
  const fakeLedger = createFakeLedger();
  const upstream = await startScriptedUpstream();

  const startNode = async (name: string) => {
    const timer = createTimer();
    let proxiedForwardAddress: string | undefined;
    const announcer: Announcer = {
      announce: (endpoint: Endpoint) => {
        const forwardAddress = proxiedForwardAddress ?? endpoint.forwardAddress;
        lastCluster = {
          service: endpoint.service,
          endpoints: [{ ...endpoint, forwardAddress }],
        };
        clusters.set(endpoint.service, lastCluster);
      },
      withdraw: (endpointId) => {
        clusters.forEach(({ service, endpoints }) =>
          clusters.set(service, {
            service,
            endpoints: endpoints.filter(({ id }) => id !== endpointId),
          }),
        );
      },
    };
    const loopbackAnyPort = { host: '127.0.0.1', port: 0 };
    const runtime = createNodeRuntime({
      node: { name, dataCentre: 'd', region: 'r' },
      listen: { calls: loopbackAnyPort, forward: loopbackAnyPort, admin: loopbackAnyPort },
      callInterface: options.callInterface,
      access: createAccess({ clusterToken: 'token' }),
      configurationView: {
        ...configurationView,
        queries: {
          ...configurationView.queries,
          current: () => ownConfigurations.get(name) ?? activeConfiguration,
        },
      },
      announcer,
      ledger: fakeLedger.ledger,
      upstreamEnds: createMemoryEnds(),
      metrics: createMetrics(),
      outcomes: options.outcomes,
      timer,
      log: options.log ?? createSilentLog(),
      random: () => 0.5,
      linkMbps: options.linkMbps,
      quota: options.quota,
      wholeCall: options.wholeCall,
      adaptivePace: options.adaptivePace,
    });
    const bound: BoundAddresses = await runtime.start();
    if (name === 'beside') {
      proxiedForwardAddress = await options.forwardThrough?.(formatAddress(bound.forward));
    }
    return {
      runtime,
      calls: formatAddress(bound.calls),
      forward: formatAddress(bound.forward),
      admin: formatAddress(bound.admin),
      stop: async (limitMs: number) => {
        await runtime.stop(limitMs);
        timer.stop();
      },
    };
  };

  const callerNode = await startNode('caller');
  const upstreamNode = await startNode('beside');

  const announce = async (state: 'ready' | 'leaving' = 'ready') => {
    const { slots = 10, connections = 100, version } = options;
    const { address } = upstream;
    const body = JSON.stringify({ service: 's', address, slots, connections, state, version });
    const response = await makeCall(upstreamNode.admin, '/upstream', { method: 'PUT', body });
    if (response.status !== 200) {
      throw new Error(response.body);
    }
  };
  await announce();
  const announcementTimer = setInterval(() => announce().catch(() => undefined), 1_000);

  return {
    caller: callerNode.calls,
    beside: upstreamNode.calls,
    callerNode,
    upstreamNode,
    upstream,
    ledger: fakeLedger,
    announce,
    /** Restores withdrawn endpoints, as on a node that has not yet received the withdrawal. */
    restoreCluster: () => {
      if (lastCluster) {
        clusters.set(lastCluster.service, lastCluster);
      }
    },
    /** Puts the rollouts in force at the nodes. */
    setRollouts: (
      rollouts: Configuration['rollouts'],
      names: readonly ('caller' | 'beside')[] = ['caller', 'beside'],
    ) => {
      const changed = { ...configuration, rollouts };
      names.forEach((name) =>
        ownConfigurations.set(name, { ...activeConfiguration, configuration: changed }),
      );
    },
    /** Sets the time since the configuration of both nodes was confirmed. */
    setConfirmedAge: (ms: number) => {
      confirmedAgeMs = ms;
    },
    /** Puts a changed configuration in force on both nodes. */
    changeConfiguration: (change: (base: Configuration) => Configuration) => {
      const { configuration: base, version } = activeConfiguration;
      activeConfiguration = activate(change(base), version.index + 1);
      listeners.forEach((listener) => listener(activeConfiguration));
    },
    stopAnnouncing: () => clearInterval(announcementTimer),
    call: makeCall,
    /** Fetches `/report` from a node's admin address. */
    report: async ({ admin }: typeof upstreamNode) =>
      JSON.parse((await makeCall(admin, '/report')).body),
    stop: async () => {
      clearInterval(announcementTimer);
      await upstream.stop();
      await Promise.all([callerNode.stop(0), upstreamNode.stop(0)]);
    },
  };
};

export type Mesh = Awaited<ReturnType<typeof startMesh>>;
