/**
 * Stand-in of an endpoint of the platform: it checks in at the node beside it, has slots, refuses
 * what is meant for another endpoint, answers with the id of the request and a stamp, drains and
 * departs. What it ran is kept for the checks of a test.
 */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

export interface EndpointOptions {
  readonly host: string;
  readonly port: number;
  /** `ip:port` for check-ins. */
  readonly control: string;
  readonly service: string;
  readonly dataCentre: string;
  readonly id: string;
  readonly slots?: number;
  readonly workMs?: number;
  readonly heartbeatMs?: number;
}

export interface ReceivedRequest {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly body: string;
  readonly headers: IncomingMessage['headers'];
  readonly atMs: number;
  readonly wasExecuted: boolean;
  /** The connection was closed before the answer was written. */
  wasAborted: boolean;
}

/** Replaces the usual answer to a request that runs. */
export type Responder = (request: IncomingMessage, response: ServerResponse) => void;

const defaultSlots = 9;
const defaultWorkMs = 20;
const defaultCheckInMs = 300;

const readBody = async (message: IncomingMessage): Promise<string> => {
  const parts: Buffer[] = [];
  for await (const part of message) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts).toString();
};

/** Sends a JSON request and resolves with the status. */
export const postJson = (address: string, path: string, value: unknown): Promise<number> =>
  new Promise((resolve, reject) => {
    const body = JSON.stringify(value);
    const [host, port] = address.split(':');
    const sent = request(
      { host, port, path, method: 'POST', headers: { 'content-type': 'application/json' } },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', reject);
      },
    );
    sent.on('error', reject);
    sent.end(body);
  });

export const startPlatformEndpoint = async (options: EndpointOptions) => {
  const {
    slots = defaultSlots,
    workMs = defaultWorkMs,
    heartbeatMs: checkInMs = defaultCheckInMs,
  } = options;
  const born = Date.now();
  const receivedRequests: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let running = 0;
  let sequence = 0;
  let state: 'ready' | 'draining' = 'ready';
  let script: Responder | undefined;

  const refuse = (response: ServerResponse, status: number, headers: Record<string, string>) => {
    response.writeHead(status, { 'content-length': '0', ...headers });
    response.end();
  };

  const answer = (message: IncomingMessage, response: ServerResponse, body: string) => {
    const id = String(message.headers['request-id'] ?? '');
    const text = `${options.id} ${message.method} ${message.url} ${body}`;
    response.writeHead(200, {
      'request-id': id,
      'response-stamp': `stamp-of-${options.id}`,
      'load-report': `${running},0,${slots}`,
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
  };

  const server = createServer(async (message, response) => {
    const id = String(message.headers['request-id'] ?? '');
    const expected = message.headers['expect-instance'];
    const isOther = expected !== undefined && expected !== options.id;
    const isFull = running >= slots;
    const entry: ReceivedRequest = {
      id,
      method: message.method ?? '',
      path: message.url ?? '',
      body: await readBody(message).catch(() => ''),
      headers: message.headers,
      atMs: Date.now(),
      wasExecuted: !isOther && !isFull,
      wasAborted: false,
    };
    receivedRequests.push(entry);
    if (isOther) {
      refuse(response, 421, { 'instance-id': options.id, 'request-id': id });
      return;
    }
    if (isFull) {
      refuse(response, 503, { 'not-executed': '1', 'request-id': id });
      return;
    }
    running += 1;
    response.on('close', () => {
      running -= 1;
      entry.wasAborted = !response.writableFinished;
    });
    if (script) {
      script(message, response);
      return;
    }
    setTimeout(() => {
      if (!response.destroyed) {
        answer(message, response, entry.body);
      }
    }, workMs);
  });
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.on('close', () => sockets.delete(socket));
  });
  await new Promise<void>((resolve) => {
    server.listen(options.port, options.host, resolve);
  });
  const { port } = server.address() as AddressInfo;

  const sendHeartbeat = (fields: Record<string, unknown> = {}): Promise<number> => {
    sequence += 1;
    return postJson(options.control, `/Instances.Heartbeat/${options.id}`, {
      service: options.service,
      address: `${options.host}:${port}`,
      zone: options.dataCentre,
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence,
      born,
      ...fields,
    });
  };

  const checkInQuietly = () => {
    sendHeartbeat().catch(() => undefined);
  };
  checkInQuietly();
  let timer: NodeJS.Timeout | undefined = setInterval(checkInQuietly, checkInMs);

  return {
    id: options.id,
    service: options.service,
    address: `${options.host}:${port}`,
    arrived: receivedRequests,
    executedRequests: () => receivedRequests.filter(({ wasExecuted: wasRun }) => wasRun),
    running: () => running,
    checkIn: sendHeartbeat,
    setResponder: (next: Responder | undefined) => {
      script = next;
    },
    stopHeartbeats: () => {
      clearInterval(timer);
      timer = undefined;
    },
    /** Resolves once the node has acknowledged that this endpoint takes no more work. */
    drain: async () => {
      state = 'draining';
      return sendHeartbeat();
    },
    deregister: () => postJson(options.control, `/Instances.Deregister/${options.id}`, { born }),
    stop: async () => {
      clearInterval(timer);
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
};

export type PlatformEndpoint = Awaited<ReturnType<typeof startPlatformEndpoint>>;
