/**
 * The HTTP/1.1 server behind the `calls` and `forward` addresses: limits what a peer may send,
 * refuses malformed requests, and stops without cutting calls.
 */
import {
  createServer,
  type IncomingMessage,
  type Server as HttpServer,
  type ServerResponse,
} from 'node:http';
import { Server as NetServer, type Socket } from 'node:net';
import type { FailureReason } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import type { CallerInterface } from '../../types/callInterface.js';
import type { StopTimes } from '../../types/internal.js';
import type { CallerLimits } from '../../types/public.js';
import { listenHttp } from '../httpListen.js';
import type { Address } from '../rpc.js';

const defaultHeaderTimeoutMs = 10_000;
/** Longer than callers usually keep idle connections, so that the caller closes them first. */
const defaultKeepAliveMs = 65_000;
const maxConnections = 10_000;
/** A peer that reads no byte of its response for this time, in ms, is disconnected. */
const defaultStallTimeoutMs = 30_000;
const stopPollMs = 20;
/** An iteration of the event loop without other work takes less than this, in ms. */
const idleTurnMs = 0.2;
/**
 * Maximum number of event loop iterations for which a stop waits for an idle one, since peers may
 * never pause.
 */
const maxTurns = 200;

/** Handlers of what the peer of a running call can do to it. */
export interface PeerEventHandlers {
  /** The request turned out to be malformed: answers and ends the call. */
  onMalformed(reason: FailureReason, detail: string): void;
  /**
   * The peer has closed its side of the connection. The `close` event of the response comes at
   * least one event loop iteration later, and the call could be forwarded in between.
   */
  onPeerClosed(): void;
}

export interface CallListenerOptions {
  readonly address: Address;
  readonly timer: Timer;
  readonly log: Log;
  readonly callers: CallerInterface;
  /** Limits of the active configuration. */
  readonly limits?: () => CallerLimits | undefined;
  readonly maxHeaderBytes: number;
  readonly stopTimes: StopTimes;
  /** Time after which a peer that does not read its response is disconnected, in ms. */
  readonly stallTimeoutMs?: number;
  readonly onCall: (request: IncomingMessage, response: ServerResponse) => void;
  /**
   * Takes over a connection whose peer requests another protocol, with the first bytes received.
   * It reports itself when the connection is busy, see `setBusy`. Default: such requests are
   * ordinary calls.
   */
  readonly onUpgrade?: (request: IncomingMessage, socket: Socket, firstBytes: Buffer) => void;
}

export interface CallListener {
  listen(): Promise<Address>;
  /** Registers the handlers that can end the call on a connection before its response. */
  handlePeerEvents(request: IncomingMessage, handlers: PeerEventHandlers): void;
  /** Marks a connection of another protocol as carrying a call, or as idle. */
  setBusy(socket: Socket, isBusy: boolean): void;
  /** From now on, responses close their connections. */
  drain(): void;
  isDraining(): boolean;
  /** Time by which a new call has to end: infinite, or the limit of a stop, which cuts calls. */
  stopDeadline(): number;
  activeCalls(): number;
  /**
   * Resolves once no call is in flight, or at the limit, which cuts the remaining calls. Idle
   * connections are closed some time after the listening socket.
   */
  stop(limitMs: number): Promise<void>;
}

const nextTurn = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

const statusByErrorCode: Record<string, number> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Creates the server of an address that accepts calls. */
export const createCallListener = (options: CallListenerOptions): CallListener => {
  const { timer } = options;
  const peerHandlers = new Map<Socket, PeerEventHandlers>();
  const sockets = new Set<Socket>();
  const runningResponses = new Map<Socket, ServerResponse>();
  /** Connections of another protocol that carry a call. */
  const busySockets = new Set<Socket>();
  let isDraining = false;
  let lastActiveAt = 0;
  let acceptedCount = 0;

  const server: HttpServer = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: defaultHeaderTimeoutMs,
    // Large bodies may take long; the call itself ends a body that makes no progress.
    requestTimeout: 0,
    keepAliveTimeout: defaultKeepAliveMs,
    connectionsCheckingInterval: 1_000,
    requireHostHeader: false,
    noDelay: true,
  });
  server.maxConnections = maxConnections;

  // Node.js reads these values again for each connection, so changed limits take effect.
  const applyLimits = () => {
    const limits = options.limits?.();
    server.headersTimeout = limits?.headerTimeoutMs ?? defaultHeaderTimeoutMs;
    server.keepAliveTimeout = limits?.idleTimeoutMs ?? defaultKeepAliveMs;
  };

  const onRequest = (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    applyLimits();
    runningResponses.set(socket, response);
    response.shouldKeepAlive &&= !isDraining;
    response.once('close', () => {
      lastActiveAt = timer.now();
      // The next call of a caller that pipelines its requests may already be in flight.
      if (runningResponses.get(socket) === response) {
        peerHandlers.delete(socket);
        runningResponses.delete(socket);
      }
    });
    options.onCall(request, response);
  };

  server.on('request', (request, response) => {
    try {
      onRequest(request, response);
    } catch (error) {
      options.log.error('call failed', { message: String(error) });
      response.destroy();
    }
  });

  server.on('connection', (socket: Socket) => {
    acceptedCount += 1;
    lastActiveAt = timer.now();
    sockets.add(socket);
    socket.once('end', () => peerHandlers.get(socket)?.onPeerClosed());
    socket.once('close', () => sockets.delete(socket));
  });

  const { onUpgrade } = options;
  if (onUpgrade) {
    server.on('upgrade', (request: IncomingMessage, socket: Socket, firstBytes: Buffer) =>
      onUpgrade(request, socket, firstBytes),
    );
  }

  const setBusy = (socket: Socket, isBusy: boolean) => {
    lastActiveAt = timer.now();
    if (isBusy) {
      busySockets.add(socket);
    } else {
      busySockets.delete(socket);
    }
  };

  const activeCalls = () => runningResponses.size + busySockets.size;

  server.setTimeout(options.stallTimeoutMs ?? defaultStallTimeoutMs, (socket) => {
    const response = runningResponses.get(socket);
    // A call that waits for its response is limited by its deadline instead.
    if (!response || response.writableLength > 0) {
      socket.destroy();
    }
  });

  const refuseSocket = (socket: Socket, code: string, detail: string) => {
    const { status, headers, body } = options.callers.refusal(
      { reason: 'bad_request', run: 'not_run', detail, retried: false },
      '',
    );
    const lines = [`HTTP/1.1 ${statusByErrorCode[code] ?? status} Bad Request`];
    for (let index = 0; index + 1 < headers.length; index += 2) {
      lines.push(`${headers[index]}: ${headers[index + 1]}`);
    }
    socket.end([...lines, 'connection: close', '', body.toString()].join('\r\n'));
  };

  server.on('clientError', (error: NodeJS.ErrnoException, socket: Socket) => {
    if (socket.destroyed || !socket.writable) {
      socket.destroy();
      return;
    }
    const code = error.code ?? '';
    const handlers = peerHandlers.get(socket);
    if (handlers) {
      handlers.onMalformed('bad_request', `malformed request body (${code})`);
      return;
    }
    if (runningResponses.has(socket) || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    refuseSocket(socket, code, `malformed request (${code})`);
  });

  let stopDeadline = Infinity;

  const drain = () => {
    isDraining = true;
    runningResponses.forEach((response) => {
      response.shouldKeepAlive = false;
    });
    lastActiveAt = timer.now();
  };

  /**
   * Resolves right after a short event loop iteration in which no new connection was accepted.
   * Closing the listening socket resets the connections that the kernel has accepted and this
   * process has not.
   */
  const drainAcceptQueue = async () => {
    for (let turn = 0; turn < maxTurns; turn += 1) {
      const acceptedBefore = acceptedCount;
      const startedAt = timer.now();
      await nextTurn();
      if (turn > 0 && acceptedCount === acceptedBefore && timer.now() - startedAt < idleTurnMs) {
        return;
      }
    }
  };

  const isFinished = (): boolean =>
    activeCalls() === 0 &&
    (sockets.size === 0 || timer.now() - lastActiveAt >= options.stopTimes.idleMs);

  /** Closes the connections without a call. Requests that arrive on them later are not read. */
  const closeIdle = () =>
    sockets.forEach((socket) => {
      if (!runningResponses.has(socket) && !busySockets.has(socket)) {
        socket.destroy();
      }
    });

  const stop = async (limitMs: number) => {
    const { acceptMs, idleMs } = options.stopTimes;
    const limitAt = timer.now() + limitMs;
    stopDeadline = limitAt;
    drain();
    await timer.sleep(Math.min(acceptMs, limitMs));
    await drainAcceptQueue();
    // Closes only the listening socket: a request may be about to arrive on an open connection.
    NetServer.prototype.close.call(server);
    const closeIdleAt = timer.now() + idleMs;
    while (!isFinished() && timer.now() < limitAt) {
      await timer.sleep(stopPollMs);
      // A call accepted late would be cut at the limit, so none is accepted while the others end.
      if (timer.now() >= closeIdleAt) {
        closeIdle();
      }
    }
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    listen: () => listenHttp(server, options.address),
    handlePeerEvents: (request, handlers) => {
      peerHandlers.set(request.socket, handlers);
    },
    drain,
    isDraining: () => isDraining,
    stopDeadline: () => stopDeadline,
    setBusy,
    activeCalls,
    stop,
  };
};
