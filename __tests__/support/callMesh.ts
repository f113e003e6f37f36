/**
 * Two nodes in this process, one beside a scripted upstream, joined by a fake holding. Connections
 * are real; configuration, clusters and the ledger are given by the test.
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
import type { Cluster, Endpoint } from '../../src/types/public.js';
import { createSilentLog } from '../../src/utils/log.js';
import { createTimer } from '../../src/utils/timer.js';

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

/** Text of an answer that echoes the request id. */
export const formatResponse = (request: ReceivedRequest, extra = ''): string => {
  const requestId = request.headers['x-request-id'] ?? '';
  const body = JSON.stringify({ requestId, body: request.body });
  return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\nx-request-id: ${requestId}\r\n${extra}\r\n${body}`;
};

export interface ScriptedUpstream {
  readonly address: string;
  /** Requests whose head and body arrived whole. */
  started(): number;
  requests(): readonly ReceivedRequest[];
  connections(): number;
  /** Replaces what is done with a request that arrived whole. */
  onRequest(handler: (request: ReceivedRequest) => void): void;
  /** Sees every byte as it arrives. */
  onBytes(handler: (socket: Socket, total: number) => void): void;
  stop(): Promise<void>;
}

const parseRequest = (
  text: string,
  socket: Socket,
): { request: ReceivedRequest; length: number } | undefined => {
  const headEnd = text.indexOf('\r\n\r\n');
  if (headEnd < 0) {
    return undefined;
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
    return undefined;
  }
  const [method = '', path = ''] = start.split(' ');
  const body = text.slice(headEnd + 4, length);
  return { request: { method, path, headers, body, socket }, length };
};

/** Starts an upstream that speaks raw HTTP/1.1, so that a test chooses each byte of an answer. */
export const startScriptedUpstream = async (): Promise<ScriptedUpstream> => {
  const requests: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let connections = 0;
  let handle = (request: ReceivedRequest) => {
    request.socket.write(formatResponse(request));
  };
  let see: (socket: Socket, total: number) => void = () => undefined;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    let text = '';
    let total = 0;
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    socket.on('data', (chunk) => {
      total += chunk.length;
      text += chunk.toString('latin1');
      see(socket, total);
      let parsed = parseRequest(text, socket);
      while (parsed) {
        text = text.slice(parsed.length);
        requests.push(parsed.request);
        handle(parsed.request);
        parsed = parseRequest(text, socket);
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
      see = handler;
    },
    stop: () =>
      new Promise((resolve) => {
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};

/** Ledger in memory with the rules of the real one. */
export const createFakeLedger = () => {
  const entries = new Map<string, { attemptId: string; print: string; outcome: ClaimOutcome }>();
  let reachable = true;
  let losesClaimAnswer = false;
  let releaseMs = 0;
  const ledger: LedgerClient = {
    claim: async ({ service, key, attemptId, fingerprint }) => {
      if (!reachable) {
        throw new Error('unreachable');
      }
      const id = JSON.stringify([service, key]);
      const print = Buffer.from(fingerprint).toString('hex');
      const known = entries.get(id);
      if (!known) {
        entries.set(id, { attemptId, print, outcome: { outcome: 'in_progress' } });
        if (losesClaimAnswer) {
          losesClaimAnswer = false;
          throw new Error('the answer is lost');
        }
        return { outcome: 'granted' };
      }
      return known.print === print ? known.outcome : { outcome: 'mismatch' };
    },
    complete: async ({ service, key, attemptId, answer }) => {
      const known = entries.get(JSON.stringify([service, key]));
      if (known?.attemptId === attemptId) {
        known.outcome = { outcome: 'completed', answer };
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
    /** The next claim is recorded, and its answer is lost. */
    dropClaimResponse: () => {
      losesClaimAnswer = true;
    },
    /** Time that a release takes from now on. */
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

/** Makes a call. Rejects if the connection breaks before the answer is whole. */
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
  /** Rate of the link of each node in Mbit/s. */
  readonly linkMbps?: number;
  /** Address that the caller's node uses for the other node, such as that of a fault proxy. */
  readonly forwardThrough?: (forward: string) => Promise<string>;
  /** What callers and the upstream speak. Default: the product's own interface. */
  readonly callInterface?: CallInterface;
}

/** Starts a node without an upstream, a node beside a scripted upstream, and the upstream. */
export const startMesh = async (options: MeshOptions = {}) => {
  const { configuration, findings } = parseTargets(options.targets ?? lookupTargets, 'targets');
  if (!configuration) {
    throw new Error(JSON.stringify(findings));
  }
  const clusters = new Map<string, Cluster>();
  let lastCluster: Cluster | undefined;
  const policies = derivePolicies(configuration);
  const held: ActiveConfiguration = {
    version: { term: 1, index: 1 },
    digest: new Uint8Array(),
    configuration,
    policies,
    clusters,
  };
  const holding: ConfigurationView = {
    commands: {
      ensureCluster: async (service) => clusters.get(service),
      recordUse: () => undefined,
    },
    queries: { current: () => held, isDetached: () => false, confirmedAgeMs: () => 0 },
    onChange: () => () => undefined,
  };
  const fakeLedger = createFakeLedger();
  const upstream = await startScriptedUpstream();

  const startNode = async (name: string) => {
    const timer = createTimer();
    let throughProxy: string | undefined;
    const announcer: Announcer = {
      announce: (endpoint: Endpoint) => {
        const forwardAddress = throughProxy ?? endpoint.forwardAddress;
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
    const any = { host: '127.0.0.1', port: 0 };
    const runtime = createNodeRuntime({
      node: { name, dataCentre: 'd', region: 'r' },
      listen: { calls: any, forward: any, admin: any },
      callInterface: options.callInterface,
      access: createAccess({ clusterToken: 'token' }),
      configurationView: holding,
      announcer,
      ledger: fakeLedger.ledger,
      metrics: createMetrics(),
      timer,
      log: createSilentLog(),
      random: () => 0.5,
      linkMbps: options.linkMbps,
    });
    const bound: BoundAddresses = await runtime.start();
    if (name === 'beside') {
      throughProxy = await options.forwardThrough?.(formatAddress(bound.forward));
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

  const caller = await startNode('caller');
  const beside = await startNode('beside');

  const announce = async (state: 'ready' | 'leaving' = 'ready') => {
    const { slots = 10, connections = 100 } = options;
    const { address } = upstream;
    const body = JSON.stringify({ service: 's', address, slots, connections, state });
    const answer = await makeCall(beside.admin, '/upstream', { method: 'PUT', body });
    if (answer.status !== 200) {
      throw new Error(answer.body);
    }
  };
  await announce();
  const renewal = setInterval(() => announce().catch(() => undefined), 1_000);

  return {
    caller: caller.calls,
    beside: beside.calls,
    callerNode: caller,
    upstreamNode: beside,
    upstream,
    ledger: fakeLedger,
    announce,
    /** Puts withdrawn endpoints back, as a node holds them that did not hear of it yet. */
    restoreCluster: () => {
      if (lastCluster) {
        clusters.set(lastCluster.service, lastCluster);
      }
    },
    stopAnnouncing: () => clearInterval(renewal),
    call: makeCall,
    /** What a node reports on its admin address. */
    report: async ({ admin }: typeof beside) => JSON.parse((await makeCall(admin, '/report')).body),
    stop: async () => {
      clearInterval(renewal);
      await upstream.stop();
      await Promise.all([caller.stop(0), beside.stop(0)]);
    },
  };
};

export type Mesh = Awaited<ReturnType<typeof startMesh>>;
