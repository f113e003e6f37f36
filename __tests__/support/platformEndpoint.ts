/**
 * Stand-in for an endpoint of the platform. It sends heartbeats to the node beside it, has a
 * limited number of slots, refuses requests for another instance, responds with the request ID and
 * a stamp, drains and deregisters. Received requests are recorded for the assertions of a test.
 */
import { createServer, request, type IncomingMessage, type ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

export interface EndpointOptions {
  readonly host: string;
  readonly port: number;
  /** `ip:port` that heartbeats are sent to. */
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
  /** Whether the connection was closed before the response was written. */
  wasAborted: boolean;
}

/** Replaces the default response to a request that is executed. */
export type Responder = (request: IncomingMessage, response: ServerResponse) => void;

const defaultSlots = 9;
const defaultWorkMs = 20;
const defaultHeartbeatMs = 300;

const readBody = async (message: IncomingMessage): Promise<string> => {
  const parts: Buffer[] = [];
  for await (const part of message) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts).toString();
};

/** Sends a JSON request and resolves with the status code. */
export const postJson = (address: string, path: string, value: unknown): Promise<number> =>
  new Promise((resolve, reject) => {
    const body = JSON.stringify(value);
    const [host, port] = address.split(':');
    const clientRequest = request(
      { host, port, path, method: 'POST', headers: { 'content-type': 'application/json' } },
      (response) => {
        response.resume();
        response.on('end', () => resolve(response.statusCode ?? 0));
        response.on('error', reject);
      },
    );
    clientRequest.on('error', reject);
    clientRequest.end(body);
  });

export const startPlatformEndpoint = async (options: EndpointOptions) => {
  const {
    slots = defaultSlots,
    workMs = defaultWorkMs,
    heartbeatMs = defaultHeartbeatMs,
  } = options;
  const born = Date.now();
  const receivedRequests: ReceivedRequest[] = [];
  const sockets = new Set<Socket>();
  let running = 0;
  let sequence = 0;
  let state: 'ready' | 'draining' = 'ready';
  let responder: Responder | undefined;

  const refuse = (response: ServerResponse, status: number, headers: Record<string, string>) => {
    response.writeHead(status, { 'content-length': '0', ...headers });
    response.end();
  };

  const respond = (message: IncomingMessage, response: ServerResponse, body: string) => {
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
    const isForOtherInstance = expected !== undefined && expected !== options.id;
    const hasNoFreeSlot = running >= slots;
    const entry: ReceivedRequest = {
      id,
      method: message.method ?? '',
      path: message.url ?? '',
      body: await readBody(message).catch(() => ''),
      headers: message.headers,
      atMs: Date.now(),
      wasExecuted: !isForOtherInstance && !hasNoFreeSlot,
      wasAborted: false,
    };
    receivedRequests.push(entry);
    if (isForOtherInstance) {
      refuse(response, 421, { 'instance-id': options.id, 'request-id': id });
      return;
    }
    if (hasNoFreeSlot) {
      refuse(response, 503, { 'not-executed': '1', 'request-id': id });
      return;
    }
    running += 1;
    response.on('close', () => {
      running -= 1;
      entry.wasAborted = !response.writableFinished;
    });
    if (responder) {
      responder(message, response);
      return;
    }
    setTimeout(() => {
      if (!response.destroyed) {
        respond(message, response, entry.body);
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

  const sendHeartbeatIgnoringErrors = () => {
    sendHeartbeat().catch(() => undefined);
  };
  sendHeartbeatIgnoringErrors();
  let timer: NodeJS.Timeout | undefined = setInterval(sendHeartbeatIgnoringErrors, heartbeatMs);

  return {
    id: options.id,
    /** Start of the endpoint, in ms since the Unix epoch. */
    born,
    service: options.service,
    address: `${options.host}:${port}`,
    arrived: receivedRequests,
    executedRequests: () => receivedRequests.filter(({ wasExecuted }) => wasExecuted),
    running: () => running,
    checkIn: sendHeartbeat,
    setResponder: (next: Responder | undefined) => {
      responder = next;
    },
    stopHeartbeats: () => {
      clearInterval(timer);
      timer = undefined;
    },
    /** Resolves once the node has acknowledged that this endpoint accepts no more requests. */
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
