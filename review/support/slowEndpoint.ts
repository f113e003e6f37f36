/**
 * Stand-in for an endpoint with a fixed time of work. It begins to work on a request once it has
 * read the whole body, drops it when its connection closes, and records when requests arrive.
 */
import { createServer, type IncomingMessage, type ServerResponse } from 'node:http';
import { send } from './deployment.js';

export interface SlowEndpointOptions {
  readonly host: string;
  readonly port: number;
  /** `ip:port` that check-ins are sent to. */
  readonly control: string;
  readonly service: string;
  readonly zone: string;
  readonly id: string;
  readonly slots: number;
  readonly workMs: number;
  readonly heartbeatMs: number;
}

export interface Arrival {
  readonly id: string;
  /** Time at which the head of the request arrived, on the clock of `performance.now`. */
  readonly atMs: number;
  /** The endpoint has read the whole body and begun to work. */
  hasRun: boolean;
}

export const startSlowEndpoint = async (options: SlowEndpointOptions) => {
  const { host, port, control, service, zone, id, slots, workMs, heartbeatMs } = options;
  const arrivals: Arrival[] = [];
  const born = Date.now();
  let running = 0;
  let sequence = 0;

  const answer = (request: IncomingMessage, response: ServerResponse, status: number) => {
    const headers = {
      'request-id': String(request.headers['request-id']),
      'load-report': `${running},0,${slots}`,
      'content-length': 2,
    };
    const marks =
      status === 200
        ? { 'response-stamp': `stamp-of-${id}` }
        : { ...(status === 503 && { 'not-executed': '1' }) };
    response.writeHead(status, { ...headers, ...marks });
    response.end('ok');
  };

  const run = (request: IncomingMessage, response: ServerResponse, arrival: Arrival) => {
    if (running >= slots) {
      answer(request, response, 503);
      return;
    }
    arrival.hasRun = true;
    running += 1;
    const work = setTimeout(() => answer(request, response, 200), workMs);
    response.once('close', () => {
      clearTimeout(work);
      running -= 1;
    });
  };

  const server = createServer((request, response) => {
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== id) {
      request.resume();
      answer(request, response, 421);
      return;
    }
    const arrival: Arrival = {
      id: String(request.headers['request-id']),
      atMs: performance.now(),
      hasRun: false,
    };
    arrivals.push(arrival);
    request.on('error', () => undefined);
    request.once('end', () => run(request, response, arrival));
    request.resume();
  });
  await new Promise<void>((done) => {
    server.listen(port, host, done);
  });

  const checkIn = () => {
    sequence += 1;
    return send(control, {
      method: 'POST',
      path: `/Instances.Heartbeat/${id}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify({
        service,
        address: `${host}:${port}`,
        zone,
        version: 'v1',
        slots,
        state: 'ready',
        cold_remaining_ms: 0,
        sequence,
        born,
      }),
    });
  };
  const heartbeat = setInterval(checkIn, heartbeatMs);
  await checkIn();

  return {
    id,
    arrivals,
    stop: () => {
      clearInterval(heartbeat);
      server.closeAllConnections();
      server.close();
    },
  };
};
