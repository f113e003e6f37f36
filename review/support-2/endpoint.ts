/**
 * Stand-in of an application endpoint, as the protocol page describes it: it has slots, echoes the
 * id of a request, rejects requests for another instance, and tells its own node about itself.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import { now, send, sleep, bounds, type Machine, type Recorder } from './deployment.js';

export interface Arrival {
  readonly id: string;
  readonly method: string;
  readonly path: string;
  readonly from: string;
  readonly at: number;
  readonly hasRun: boolean;
  /** The run ended and its answer was written. */
  isAnswered: boolean;
}

export interface EndpointOptions {
  readonly machine: Machine;
  readonly id: string;
  readonly recorder: Recorder;
  readonly slots?: number;
  readonly workMs?: number;
  /** Start of the endpoint by the time of day of its machine. Default: that of this machine. */
  readonly born?: number;
}

const readBody = async (message: IncomingMessage): Promise<Buffer> => {
  const parts: Buffer[] = [];
  for await (const part of message) {
    parts.push(part as Buffer);
  }
  return Buffer.concat(parts);
};

export const startEndpoint = async (options: EndpointOptions) => {
  const { machine, id, recorder, slots = 18, workMs = 100, born = Date.now() } = options;
  const arrivals: Arrival[] = [];
  const sockets = new Set<Socket>();
  let running = 0;
  let sequence = 0;
  let state: 'ready' | 'draining' = 'ready';

  const reject = (response: ServerResponse, status: number, requestId: string) => {
    response.writeHead(status, {
      'content-length': '0',
      'not-executed': '1',
      'request-id': requestId,
    });
    response.end();
  };

  const handle = async (message: IncomingMessage, response: ServerResponse) => {
    const requestId = String(message.headers['request-id'] ?? '');
    const expected = message.headers['expect-instance'];
    const isOther = expected !== undefined && expected !== id;
    const arrival: Arrival = {
      id: requestId,
      method: message.method ?? '',
      path: message.url ?? '',
      from: String(message.headers['caller-service'] ?? ''),
      at: now(),
      hasRun: !isOther && running < slots,
      isAnswered: false,
    };
    arrivals.push(arrival);
    const body = await readBody(message);
    if (!arrival.hasRun) {
      reject(response, isOther ? 421 : 503, requestId);
      return;
    }
    running += 1;
    response.once('close', () => {
      running -= 1;
    });
    await sleep(workMs);
    if (response.destroyed) {
      return;
    }
    const text = `${id} ${message.method} ${message.url} ${body.length}`;
    response.writeHead(200, {
      'request-id': requestId,
      'response-stamp': `stamp-of-${id}-${requestId}`,
      'load-report': `${running},0,${slots}`,
      'content-length': Buffer.byteLength(text),
    });
    response.end(text);
    arrival.isAnswered = true;
  };

  const server = createServer((message, response) => {
    handle(message, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 10_000;
  server.on('connection', (socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
  });
  const [ip, port] = machine.app.split(':');
  await new Promise<void>((resolve, reject_) => {
    server.once('error', reject_);
    server.listen(Number(port), ip, resolve);
  });

  /** What a check-in says; it may be sent later than it is made. */
  const createCheckIn = () => {
    sequence += 1;
    return {
      service: machine.service,
      address: machine.app,
      zone: machine.zone,
      version: 'v1',
      slots,
      state,
      cold_remaining_ms: 0,
      sequence,
      born,
    };
  };

  const sendCheckIn = async (checkIn: ReturnType<typeof createCheckIn>): Promise<number> => {
    const { status } = await send(machine.control, {
      method: 'POST',
      path: `/Instances.Heartbeat/${id}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(checkIn),
      limitMs: 1_000,
    });
    return status;
  };

  const beat = () => sendCheckIn(createCheckIn());
  let timer: NodeJS.Timeout | undefined = setInterval(beat, bounds.heartbeatMs);
  await beat();

  const stopBeats = () => {
    clearInterval(timer);
    timer = undefined;
  };

  return {
    id,
    arrivals,
    born,
    createCheckIn,
    sendCheckIn,
    stopBeats,
    drain: async (): Promise<number> => {
      state = 'draining';
      return beat();
    },
    deregister: async (): Promise<number> => {
      stopBeats();
      const { status } = await send(machine.control, {
        method: 'POST',
        path: `/Instances.Deregister/${id}`,
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ born }),
        limitMs: 1_000,
      });
      return status;
    },
    /** Ends the process of the endpoint: its connections are reset or closed. */
    exit: async () => {
      stopBeats();
      recorder.line(`endpoint ${id} exits, ${running} requests are running there`);
      sockets.forEach((socket) => socket.destroy());
      await new Promise((resolve) => {
        server.close(resolve);
      });
    },
  };
};

export type Endpoint = Awaited<ReturnType<typeof startEndpoint>>;
