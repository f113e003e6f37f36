/**
 * Chain of services in this process: each level calls the next one through the node beside it, or
 * directly with a number of attempts. The last level counts its calls and fails all of them.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';

export interface ChainLevel {
  readonly service: string;
  readonly address: string;
}

export interface Chain {
  readonly levels: readonly ChainLevel[];
  /** Returns the number of calls that reached the last level since the last reset. */
  bottomCalls(): number;
  reset(): void;
  /** Makes each level call the next one through its node, one address per level. */
  useNodes(callAddresses: readonly string[]): void;
  /** Makes each level call the next one directly, with up to `tries` attempts. */
  callDirectly(tries: number): void;
  announceTo(adminAddresses: readonly string[]): Promise<void>;
  stop(): Promise<void>;
}

const slots = 64;
const announceEveryMs = 1_000;

const listen = (handle: (incoming: IncomingMessage, response: ServerResponse) => void) =>
  new Promise<{ address: string; close(): void }>((resolve) => {
    const server = createServer(handle);
    server.keepAliveTimeout = 60_000;
    server.listen(0, '127.0.0.1', () => {
      const { port } = server.address() as AddressInfo;
      resolve({
        address: `127.0.0.1:${port}`,
        close: () => {
          server.closeAllConnections();
          server.close();
        },
      });
    });
  });

export const servicePath = (level: number): string => `/level-${level}`;

/** Starts `depth` levels. Every call to the last level fails with status 503. */
export const startChain = async (depth: number): Promise<Chain> => {
  const agent = new Agent({ connections: 256, pipelining: 1, keepAliveTimeout: 30_000 });
  let bottomCallCount = 0;
  let nodes: readonly string[] = [];
  let tries = 1;
  let announcementTimer: NodeJS.Timeout | undefined;
  const servers: { address: string; close(): void }[] = [];

  const callNext = async (level: number, incoming: IncomingMessage) => {
    const target = nodes[level] ?? servers[level + 1]!.address;
    const deadline = incoming.headers['x-request-deadline-ms'];
    const response = await request(`http://${target}${servicePath(level + 1)}`, {
      dispatcher: agent,
      headers: typeof deadline === 'string' ? { 'x-request-deadline-ms': deadline } : {},
    });
    await response.body.dump();
    return { status: response.statusCode, retried: response.headers['x-retried'] === 'true' };
  };

  const handleCall = async (level: number, incoming: IncomingMessage, response: ServerResponse) => {
    let lastResult = { status: 503, retried: false };
    if (level === depth - 1) {
      bottomCallCount += 1;
    } else {
      for (let attempt = 0; attempt < tries && lastResult.status >= 400; attempt += 1) {
        lastResult = await callNext(level, incoming);
      }
    }
    response.writeHead(lastResult.status, {
      'content-length': 0,
      ...(lastResult.retried ? { 'x-retried': 'true' } : {}),
    });
    response.end();
  };

  for (let level = 0; level < depth; level += 1) {
    servers.push(
      await listen((incoming, response) => {
        handleCall(level, incoming, response).catch(() => response.destroy());
      }),
    );
  }
  const levels = servers.map(({ address }, level) => ({ service: `level-${level}`, address }));

  const announce = (adminAddresses: readonly string[]) =>
    Promise.all(
      levels.map(async ({ service, address }, level) => {
        const body = { service, address, slots, connections: 100, state: 'ready' };
        const response = await request(`http://${adminAddresses[level]}/upstream`, {
          method: 'PUT',
          headers: { 'content-type': 'application/json' },
          body: JSON.stringify(body),
        });
        await response.body.dump();
      }),
    );

  return {
    levels,
    bottomCalls: () => bottomCallCount,
    reset: () => {
      bottomCallCount = 0;
    },
    useNodes: (callAddresses) => {
      nodes = callAddresses;
      tries = 1;
    },
    callDirectly: (count) => {
      nodes = [];
      tries = count;
    },
    announceTo: async (adminAddresses) => {
      await announce(adminAddresses);
      announcementTimer = setInterval(() => {
        announce(adminAddresses).catch(() => undefined);
      }, announceEveryMs);
    },
    stop: async () => {
      clearInterval(announcementTimer);
      servers.forEach(({ close }) => close());
      await agent.destroy();
    },
  };
};
