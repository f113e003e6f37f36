/**
 * Stand-in upstream for tests and the quick start: an HTTP/1.1 server that announces itself to the
 * node beside it and injects faults on request. It is started with one JSON argument (see
 * `Options`), prints one JSON line with its addresses, and is controlled through its control
 * address:
 *
 * - `GET /counters` returns counts of calls, also by request ID and by idempotency key
 * - `POST /counters/reset`
 * - `GET /behaviour`, `PUT /behaviour` with the fields to change
 * - `POST /drain` announces `leaving` and responds once the node confirms that it may stop
 * - `POST /return` announces the upstream as ready again after a drain
 */
import { createServer, request as httpRequest } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parseArgs } from 'node:util';

interface Options {
  readonly service: string;
  /** `ip:port` for calls. With port 0 the operating system chooses the port. */
  readonly address: string;
  /** `ip:port` of the control interface. */
  readonly control: string;
  /** Admin address of the node beside the upstream. Without it, nothing is announced. */
  readonly admin?: string;
  readonly slots: number;
  readonly connections: number;
  readonly behaviour?: Partial<Behaviour>;
}

type ResponseMode =
  | 'normal'
  | 'fail'
  | 'shed'
  | 'silent'
  | 'silent_body'
  | 'close_before_head'
  | 'close_in_body'
  | 'twice'
  | 'wrong_request_id';

/** Behaviour of the stand-in. All fields can be changed while it runs. */
interface Behaviour {
  mode: ResponseMode;
  /** Share of the calls that `mode` applies to. The others are answered normally. */
  modeShare: number;
  /** Processing time of a call, in ms. */
  workMs: number;
  /** Maximum number of concurrent calls. Further calls are queued. 0 means no limit. */
  capacity: number;
  /** Maximum number of queued calls. Further calls are shed with status 503. */
  queue: number;
  /** Cold start: time over which the work falls linearly from ten times `workMs` to `workMs`. */
  coldStartMs: number;
  /** Size of the response body, in bytes. 0 selects the JSON summary. */
  bodyBytes: number;
  honourCancellation: boolean;
  honourDeadline: boolean;
  /** Whether announcements are renewed. False stops them without announcing `leaving`. */
  announcing: boolean;
  /** Health that `/healthz` reports. */
  healthy: boolean;
  /** Announced load, between 0 and 1. Default: the actual load. */
  claimedLoad?: number;
}

interface Counters {
  started: number;
  finished: number;
  cancelled: number;
  shed: number;
  inFlight: number;
  maxInFlight: number;
  byRequestId: Record<string, number>;
  byKey: Record<string, number>;
}

interface Call {
  readonly request: IncomingMessage;
  readonly response: ServerResponse;
  readonly url: URL;
  readonly requestId: string;
  readonly key: string;
  readonly bodyBytes: number;
  readonly receivedBytes: number;
}

const defaultRenewMs = 3_000;
const announceTimeoutMs = 5_000;
const drainTimeoutMs = 35_000;
const coldStartFactor = 10;

const headerOf = (request: IncomingMessage, name: string): string => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : '';
};

const splitAddress = (address: string): { host: string; port: number } => {
  const at = address.lastIndexOf(':');
  return { host: address.slice(0, at), port: Number(address.slice(at + 1)) };
};

const listen = (server: Server, address: string): Promise<string> =>
  new Promise((resolve, reject) => {
    const { host, port } = splitAddress(address);
    server.once('error', reject);
    server.listen(port, host, () => resolve(`${host}:${(server.address() as AddressInfo).port}`));
  });

const readBody = async (request: IncomingMessage): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) {
    chunks.push(chunk as Buffer);
  }
  return Buffer.concat(chunks);
};

const sendJson = (response: ServerResponse, status: number, value: unknown) => {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};

const emptyCounters = (): Counters => ({
  started: 0,
  finished: 0,
  cancelled: 0,
  shed: 0,
  inFlight: 0,
  maxInFlight: 0,
  byRequestId: {},
  byKey: {},
});

const increment = (counts: Record<string, number>, key: string) => {
  if (key) {
    counts[key] = (counts[key] ?? 0) + 1;
  }
};

/** Body of `bytes` bytes that repeats the request ID, so that mixed-up responses are detected. */
const fillBody = (requestId: string, bytes: number): Buffer =>
  Buffer.alloc(bytes, `${requestId || 'no-request-id'}\n`);

const startUpstream = async (options: Options) => {
  const behaviour: Behaviour = {
    mode: 'normal',
    modeShare: 1,
    workMs: 5,
    capacity: options.slots,
    queue: 1_000,
    coldStartMs: 0,
    bodyBytes: 0,
    honourCancellation: true,
    honourDeadline: true,
    announcing: true,
    healthy: true,
    ...options.behaviour,
  };
  const startedAt = Date.now();
  const waiting: (() => void)[] = [];
  let counters = emptyCounters();
  let running = 0;
  let accumulatedModeShare = 0;
  let leaving = false;
  let { address } = options;

  const createBody = (call: Call): { type: string; body: Buffer } =>
    call.bodyBytes > 0
      ? { type: 'application/octet-stream', body: fillBody(call.requestId, call.bodyBytes) }
      : {
          type: 'application/json',
          body: Buffer.from(
            JSON.stringify({
              request_id: call.requestId,
              service: options.service,
              endpoint: address,
              method: call.request.method,
              path: call.url.pathname,
              idempotency_key: call.key,
              received_bytes: call.receivedBytes,
            }),
          ),
        };

  const writeHead = (call: Call, requestId: string, type: string, length: number) =>
    call.response.writeHead(200, {
      'content-type': type,
      'content-length': length,
      'x-request-id': requestId,
    });

  const respond = (call: Call, requestId = call.requestId) => {
    const { type, body } = createBody(call);
    writeHead(call, requestId, type, body.length);
    call.response.end(body);
  };

  const responders: Record<ResponseMode, (call: Call) => void> = {
    normal: (call) => respond(call),
    fail: ({ response }) => sendJson(response, 500, { error: 'asked to fail' }),
    shed: ({ response }) => sendJson(response, 503, { error: 'asked to shed' }),
    silent: () => undefined,
    silent_body: (call) => {
      const { type, body } = createBody(call);
      writeHead(call, call.requestId, type, body.length);
      call.response.write(body.subarray(0, Math.floor(body.length / 2)));
    },
    close_before_head: ({ request }) => request.socket.destroy(),
    close_in_body: (call) => {
      const { type, body } = createBody(call);
      writeHead(call, call.requestId, type, body.length);
      call.response.write(body.subarray(0, Math.floor(body.length / 2)), () =>
        call.request.socket.destroy(),
      );
    },
    twice: (call) => {
      const { socket } = call.request;
      respond(call);
      const extra = JSON.stringify({ request_id: 'second-answer' });
      call.response.on('finish', () =>
        socket.write(
          `HTTP/1.1 200 OK\r\ncontent-type: application/json\r\ncontent-length: ${extra.length}\r\n\r\n${extra}`,
        ),
      );
    },
    wrong_request_id: (call) => respond(call, `not-${call.requestId}`),
  };

  const nextMode = (): ResponseMode => {
    accumulatedModeShare += behaviour.modeShare;
    if (accumulatedModeShare < 1) {
      return 'normal';
    }
    accumulatedModeShare -= 1;
    return behaviour.mode;
  };

  const workMsOf = (url: URL): number => {
    const requestedMs = Number(url.searchParams.get('work') ?? behaviour.workMs);
    const age = Date.now() - startedAt;
    if (age >= behaviour.coldStartMs) {
      return requestedMs;
    }
    return requestedMs * (1 + (coldStartFactor - 1) * (1 - age / behaviour.coldStartMs));
  };

  const finish = () => {
    counters.inFlight -= 1;
    running -= 1;
    waiting.shift()?.();
  };

  const runCall = (call: Call) => {
    running += 1;
    counters.started += 1;
    counters.inFlight += 1;
    counters.maxInFlight = Math.max(counters.maxInFlight, counters.inFlight);
    increment(counters.byRequestId, call.requestId);
    increment(counters.byKey, call.key);
    const mode = nextMode();
    let hasEnded = false;
    const endOnce = () => {
      if (!hasEnded) {
        hasEnded = true;
        finish();
      }
    };
    const complete = () => {
      counters.finished += 1;
      responders[mode](call);
      endOnce();
    };
    const workMs = workMsOf(call.url);
    // A timer waits for at least a millisecond, so work of 0 ms uses `setImmediate`.
    const work = workMs > 0 ? setTimeout(complete, workMs) : setImmediate(complete);
    call.response.on('close', () => {
      if (!call.response.writableEnded && behaviour.honourCancellation && !hasEnded) {
        counters.cancelled += 1;
        clearTimeout(work as NodeJS.Timeout);
        clearImmediate(work as NodeJS.Immediate);
        endOnce();
      }
    });
  };

  const deadlinePassed = (call: Call, receivedAt: number): boolean => {
    const deadlineMs = Number(headerOf(call.request, 'x-request-deadline-ms') || Infinity);
    return behaviour.honourDeadline && Date.now() - receivedAt > deadlineMs;
  };

  const admit = (call: Call) => {
    const receivedAt = Date.now();
    if (behaviour.capacity === 0 || running < behaviour.capacity) {
      runCall(call);
      return;
    }
    if (waiting.length >= behaviour.queue) {
      counters.shed += 1;
      sendJson(call.response, 503, { error: 'no capacity' });
      return;
    }
    waiting.push(() => {
      if (call.response.destroyed || deadlinePassed(call, receivedAt)) {
        call.response.destroy();
        waiting.shift()?.();
        return;
      }
      runCall(call);
    });
  };

  const serve = async (request: IncomingMessage, response: ServerResponse) => {
    const url = new URL(request.url ?? '/', 'http://upstream');
    if (url.pathname === '/healthz') {
      sendJson(response, behaviour.healthy ? 200 : 503, { healthy: behaviour.healthy });
      return;
    }
    const body = await readBody(request);
    admit({
      request,
      response,
      url,
      requestId: headerOf(request, 'x-request-id'),
      key: headerOf(request, 'idempotency-key'),
      bodyBytes: Number(url.searchParams.get('bytes') ?? behaviour.bodyBytes),
      receivedBytes: body.length,
    });
  };

  /** Announces the upstream. Resolves with the time within which to renew, in ms. */
  const announce = (state: 'ready' | 'leaving', timeoutMs: number): Promise<number> =>
    new Promise((resolve, reject) => {
      const load = behaviour.claimedLoad ?? Math.min(1, running / Math.max(1, options.slots));
      const { service, slots, connections } = options;
      const body = JSON.stringify({ service, address, slots, connections, state, load });
      const request = httpRequest(
        `http://${options.admin}/upstream`,
        {
          method: 'PUT',
          headers: { 'content-type': 'application/json', 'content-length': body.length },
          timeout: timeoutMs,
        },
        (response) => {
          readBody(response).then((responseBody) => {
            if (response.statusCode !== 200) {
              reject(new Error(`announcement refused: ${response.statusCode} ${responseBody}`));
              return;
            }
            const { renew_within_ms: renewMs } = JSON.parse(responseBody.toString());
            resolve(Number(renewMs) || defaultRenewMs);
          }, reject);
        },
      );
      request.on('timeout', () => request.destroy(new Error('announcement timed out')));
      request.on('error', reject);
      request.end(body);
    });

  const keepAnnouncing = () => {
    const scheduleNext = (delayMs: number) => setTimeout(keepAnnouncing, delayMs).unref();
    if (leaving) {
      return;
    }
    if (!behaviour.announcing) {
      scheduleNext(defaultRenewMs / 10);
      return;
    }
    announce('ready', announceTimeoutMs).then(
      (renewMs) => scheduleNext(renewMs / 3),
      () => scheduleNext(defaultRenewMs / 10),
    );
  };

  const drain = async () => {
    leaving = true;
    if (options.admin) {
      await announce('leaving', drainTimeoutMs).catch(() => undefined);
    }
  };

  const controlRoutes: Record<
    string,
    (request: IncomingMessage, response: ServerResponse) => Promise<void> | void
  > = {
    'GET /counters': (request, response) => sendJson(response, 200, counters),
    'POST /counters/reset': (request, response) => {
      counters = { ...emptyCounters(), inFlight: counters.inFlight };
      sendJson(response, 200, counters);
    },
    'GET /behaviour': (request, response) => sendJson(response, 200, behaviour),
    'PUT /behaviour': async (request, response) => {
      Object.assign(behaviour, JSON.parse((await readBody(request)).toString()));
      sendJson(response, 200, behaviour);
    },
    'POST /drain': async (request, response) => {
      await drain();
      sendJson(response, 200, { drained: true });
    },
    'POST /return': (request, response) => {
      leaving = false;
      keepAnnouncing();
      sendJson(response, 200, { returned: true });
    },
  };

  const controlServer = createServer((request, response) => {
    const route = controlRoutes[`${request.method} ${request.url}`];
    if (!route) {
      sendJson(response, 404, { error: 'unknown control request' });
      return;
    }
    Promise.resolve(route(request, response)).catch((error) =>
      sendJson(response, 400, { error: String(error) }),
    );
  });
  const server = createServer((request, response) => {
    serve(request, response).catch(() => response.destroy());
  });
  server.keepAliveTimeout = 60_000;

  address = await listen(server, options.address);
  const control = await listen(controlServer, options.control);
  if (options.admin) {
    keepAnnouncing();
  }
  process.once('SIGTERM', () => {
    drain().then(() => {
      server.close(() => process.exit(0));
      server.closeIdleConnections();
      controlServer.close();
    });
  });
  return { address, control };
};

const { positionals } = parseArgs({ allowPositionals: true });
const addresses = await startUpstream(JSON.parse(positionals[0] ?? '{}') as Options);
process.stdout.write(`${JSON.stringify(addresses)}\n`);
