/**
 * HTTP server on the admin address of a process: health, readiness, metrics and routes that the
 * process adds. `/healthz` reports whether the process itself works, `/readyz` whether it should
 * receive work; a process that is starting or stopping is healthy but not ready.
 */
import { createServer, type ServerResponse } from 'node:http';
import polka, { type Polka } from 'polka';
import { Failure } from '../../utils/failure.js';
import { listenHttp } from '../httpListen.js';
import type { Address } from '../rpc.js';

const requestTimeoutMs = 10_000;
const maxConnections = 64;

/** Result of a health or readiness check. `reasons` states in short sentences why it failed. */
export interface CheckState {
  readonly ok: boolean;
  readonly reasons: readonly string[];
}

export interface AdminServerOptions {
  readonly address: Address;
  readonly health: () => CheckState;
  readonly ready: () => CheckState;
  /** Metrics in the Prometheus text format. */
  readonly metrics: () => Promise<{ contentType: string; body: string }>;
  /** Adds further routes of the process. */
  readonly routes?: (router: Polka) => void;
}

export interface AdminServer {
  listen(): Promise<Address>;
  close(): Promise<void>;
}

/** Sends a JSON response. */
export const sendJson = (response: ServerResponse, status: number, value: unknown) => {
  const body = JSON.stringify(value);
  response.writeHead(status, {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  });
  response.end(body);
};

const sendCheck = (response: ServerResponse, { ok, reasons }: CheckState) => {
  sendJson(response, ok ? 200 : 503, { ok, reasons });
};

/**
 * Sends an error response. Route handlers call it themselves, since polka passes no `next` to the
 * only handler of a route.
 */
export const sendError = (response: ServerResponse, error: unknown) => {
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const { status, code, reason } =
    error instanceof Failure ? error : { status: 500, code: 'E000', reason: 'internal' };
  const message = error instanceof Error ? error.message : String(error);
  sendJson(response, status, { code, reason, message });
};

/** Creates the admin server of a process. */
export const createAdminServer = ({
  address,
  health,
  ready,
  metrics,
  routes,
}: AdminServerOptions): AdminServer => {
  const server = createServer({ requestTimeout: requestTimeoutMs });
  server.maxConnections = maxConnections;
  const router = polka({
    server,
    onNoMatch: (_request, response) => sendJson(response, 404, { message: 'not found' }),
  });
  router.get('/healthz', (_request, response) => sendCheck(response, health()));
  router.get('/readyz', (_request, response) => sendCheck(response, ready()));
  router.get('/metrics', (_request, response) => {
    metrics()
      .then(({ contentType, body }) => {
        response.writeHead(200, { 'content-type': contentType });
        response.end(body);
      })
      .catch((error: unknown) => sendError(response, error));
  });
  routes?.(router);
  server.on('request', (request, response) => {
    try {
      router.handler(request, response);
    } catch (error) {
      sendError(response, error);
    }
  });

  return {
    listen: () => listenHttp(server, address),
    close: () =>
      new Promise((resolve) => {
        server.close(() => resolve());
        server.closeAllConnections();
      }),
  };
};
