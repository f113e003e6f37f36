/**
 * The HTTP/1.1 server behind the `calls` and `forward` addresses: limits on what a peer may send,
 * refusals of malformed requests, and a stop that cuts no call.
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

const defaultHeadTimeoutMs = 10_000;
/** Longer than callers usually keep idle connections, so that the caller's side closes first. */
const defaultKeepAliveMs = 65_000;
const maxConnections = 10_000;
/** A peer that takes no byte of its answer for this long has gone silent. */
const defaultPeerSilenceMs = 30_000;
const stopCheckMs = 20;
/** A turn of the event loop without other work takes less than this, in ms. */
const quietTurnMs = 0.2;
/** Turns of the event loop that a stop waits for a quiet one, against peers that never pause. */
const maxTurns = 200;

/** What the peer of a call that runs can do to it. */
export interface PeerEventHandlers {
  /** The request turned out malformed: answers and ends the call. */
  onMalformed(reason: FailureReason, detail: string): void;
  /**
   * The peer has closed its side of the connection. The `close` event of the response comes a turn
   * of the event loop later or more, and a call could be sent on in between.
   */
  onPeerClosed(): void;
}

export interface CallListenerOptions {
  readonly address: Address;
  readonly timer: Timer;
  readonly log: Log;
  readonly callers: CallerInterface;
  /** Limits of the configuration in force. */
  readonly limits?: () => CallerLimits | undefined;
  readonly maxHeaderBytes: number;
  readonly stopTimes: StopTimes;
  /** Time after which a peer that does not take its answer is cut off, in ms. */
  readonly stallTimeoutMs?: number;
  readonly onCall: (request: IncomingMessage, response: ServerResponse) => void;
  /**
   * Takes a connection whose peer asks for another protocol, with the first bytes of it. It says
   * itself when the connection is busy, see `setBusy`. Default: such requests are calls like others.
   */
  readonly onUpgrade?: (request: IncomingMessage, socket: Socket, first: Buffer) => void;
}

export interface CallListener {
  listen(): Promise<Address>;
  /** Registers what ends the call on a connection before its answer. */
  handlePeerEvents(request: IncomingMessage, guard: PeerEventHandlers): void;
  /** Marks a connection of another protocol as one that carries a call, or as idle. */
  setBusy(socket: Socket, isBusy: boolean): void;
  /** Answers from now on close their connections. */
  drain(): void;
  isDraining(): boolean;
  /** Time by which a new call has to be over: infinite, or the limit of a stop, which cuts calls. */
  stopDeadline(): number;
  activeCalls(): number;
  /**
   * Ends when no call is in flight. Connections that are idle for a while after the listening
   * socket was closed are given up.
   */
  stop(limitMs: number): Promise<void>;
}

const nextTurn = () =>
  new Promise<void>((resolve) => {
    setImmediate(resolve);
  });

const brokenStatus: Record<string, number> = {
  HPE_HEADER_OVERFLOW: 431,
  ERR_HTTP_REQUEST_TIMEOUT: 408,
};

/** Creates the server of an address that takes calls. */
export const createCallListener = (options: CallListenerOptions): CallListener => {
  const { timer } = options;
  const guards = new Map<Socket, PeerEventHandlers>();
  const sockets = new Set<Socket>();
  const running = new Map<Socket, ServerResponse>();
  /** Connections of another protocol that carry a call. */
  const busy = new Set<Socket>();
  let draining = false;
  let lastActiveAt = 0;
  let accepted = 0;

  const server: HttpServer = createServer({
    maxHeaderSize: options.maxHeaderBytes,
    headersTimeout: defaultHeadTimeoutMs,
    // Large bodies may take long; a body that makes no progress is ended by the call itself.
    requestTimeout: 0,
    keepAliveTimeout: defaultKeepAliveMs,
    connectionsCheckingInterval: 1_000,
    requireHostHeader: false,
    noDelay: true,
  });
  server.maxConnections = maxConnections;

  // Node.js reads these for each connection anew, so that a change of the limits takes effect.
  const takeLimits = () => {
    const limits = options.limits?.();
    server.headersTimeout = limits?.headerTimeoutMs ?? defaultHeadTimeoutMs;
    server.keepAliveTimeout = limits?.idleTimeoutMs ?? defaultKeepAliveMs;
  };

  const onRequest = (request: IncomingMessage, response: ServerResponse) => {
    const { socket } = request;
    takeLimits();
    running.set(socket, response);
    response.shouldKeepAlive &&= !draining;
    response.once('close', () => {
      lastActiveAt = timer.now();
      // A caller that sends calls in a row may have the next one in flight already.
      if (running.get(socket) === response) {
        guards.delete(socket);
        running.delete(socket);
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
    accepted += 1;
    lastActiveAt = timer.now();
    sockets.add(socket);
    socket.once('end', () => guards.get(socket)?.onPeerClosed());
    socket.once('close', () => sockets.delete(socket));
  });

  const { onUpgrade } = options;
  if (onUpgrade) {
    server.on('upgrade', (request: IncomingMessage, socket: Socket, first: Buffer) =>
      onUpgrade(request, socket, first),
    );
  }

  const setBusy = (socket: Socket, isBusy: boolean) => {
    lastActiveAt = timer.now();
    if (isBusy) {
      busy.add(socket);
    } else {
      busy.delete(socket);
    }
  };

  const active = () => running.size + busy.size;

  server.setTimeout(options.stallTimeoutMs ?? defaultPeerSilenceMs, (socket) => {
    const response = running.get(socket);
    // A call that waits for its answer is bounded by its deadline instead.
    if (!response || response.writableLength > 0) {
      socket.destroy();
    }
  });

  const refuseSocket = (socket: Socket, code: string, detail: string) => {
    const { status, headers, body } = options.callers.refusal(
      { reason: 'bad_request', run: 'not_run', detail, retried: false },
      '',
    );
    const lines = [`HTTP/1.1 ${brokenStatus[code] ?? status} Bad Request`];
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
    const guard = guards.get(socket);
    if (guard) {
      guard.onMalformed('bad_request', `malformed request body (${code})`);
      return;
    }
    if (running.has(socket) || error.code === 'ECONNRESET') {
      socket.destroy();
      return;
    }
    refuseSocket(socket, code, `malformed request (${code})`);
  });

  let takesUntil = Infinity;

  const drain = () => {
    draining = true;
    running.forEach((response) => {
      response.shouldKeepAlive = false;
    });
    lastActiveAt = timer.now();
  };

  /**
   * Resolves right after a short turn of the event loop that found no new connection. Closing the
   * listening socket resets the connections that the kernel holds and this process has not seen.
   */
  const untilAllAccepted = async () => {
    for (let turn = 0; turn < maxTurns; turn += 1) {
      const before = accepted;
      const startedAt = timer.now();
      await nextTurn();
      if (turn > 0 && accepted === before && timer.now() - startedAt < quietTurnMs) {
        return;
      }
    }
  };

  const isQuiet = (): boolean =>
    active() === 0 &&
    (sockets.size === 0 || timer.now() - lastActiveAt >= options.stopTimes.idleMs);

  /** Closes the connections without a call. What arrives on them later was not read. */
  const closeIdle = () =>
    sockets.forEach((socket) => {
      if (!running.has(socket) && !busy.has(socket)) {
        socket.destroy();
      }
    });

  const stop = async (limitMs: number) => {
    const { acceptMs, idleMs } = options.stopTimes;
    const limitAt = timer.now() + limitMs;
    takesUntil = limitAt;
    drain();
    await timer.sleep(Math.min(acceptMs, limitMs));
    await untilAllAccepted();
    // Closes the listening socket only: an open connection may be about to get a request.
    NetServer.prototype.close.call(server);
    const giveUpAt = timer.now() + idleMs;
    while (!isQuiet() && timer.now() < limitAt) {
      await timer.sleep(stopCheckMs);
      // A call that is taken late is cut by the limit, so none is taken while the others end.
      if (timer.now() >= giveUpAt) {
        closeIdle();
      }
    }
    sockets.forEach((socket) => socket.destroy());
  };

  return {
    listen: () => listenHttp(server, options.address),
    handlePeerEvents: (request, guard) => {
      guards.set(request.socket, guard);
    },
    drain,
    isDraining: () => draining,
    stopDeadline: () => takesUntil,
    setBusy,
    activeCalls: active,
    stop,
  };
};
