/**
 * RPC between processes: connect-es over cleartext HTTP/2. A server limits the message size and the
 * number of sessions. A transport keeps one session to its peer and detects by pings that the peer
 * no longer responds.
 */
import { constants, createServer, type Http2Server, type ServerHttp2Session } from 'node:http2';
import type { Socket } from 'node:net';
import type { ConnectRouter, Interceptor, Transport } from '@connectrpc/connect';
import { connectNodeAdapter, createConnectTransport } from '@connectrpc/connect-node';
import { Failure } from '../utils/failure.js';
import type { Address } from '../utils/address.js';
import { strictDecoder } from '../utils/utf8.js';
import { createRpcSessionManager } from './rpcSessions.js';

/** Largest message that a process accepts, in bytes. */
export const maxMessageBytes = 4 * 1024 * 1024;
const maxSessions = 512;
/**
 * Last stream id in the GOAWAY frame of a stopping server. With the id of the last stream that the
 * server has seen, streams in transit would be refused. A refused stream whose request is still
 * being written blocks the event loop of the peer permanently (nghttp2 in Node.js 20).
 */
const maxStreamId = 2 ** 31 - 1;
/** Allows for one lost SYN packet, which TCP retransmits after 1 s. */
const openTimeoutMs = 2_000;
const pingIntervalMs = 2_000;
const pingTimeoutMs = 3_000;
const idleConnectionTimeoutMs = 60_000;
const defaultCallTimeoutMs = 5_000;
/** Strings in the binary format are always checked; JSON needs a strict decoder for that. */
const jsonOptions = { ignoreUnknownFields: true, textDecoder: strictDecoder };

export { formatAddress, parseAddress, type Address } from '../utils/address.js';

export interface RpcServer {
  listen(): Promise<Address>;
  /** Refuses new sessions, waits up to `graceMs` for open RPCs to complete, then closes. */
  close(graceMs: number): Promise<void>;
  /** Bytes of TCP payload on all connections since the start. */
  traffic(): Traffic;
}

export interface Traffic {
  readonly receivedBytes: number;
  readonly sentBytes: number;
}

export interface RpcServerOptions {
  readonly address: Address;
  readonly routes: (router: ConnectRouter) => void;
  readonly interceptors: Interceptor[];
}

const listenOn = (server: Http2Server, { host, port }: Address): Promise<Address> =>
  new Promise((resolve, reject) => {
    const onError = (error: NodeJS.ErrnoException) => {
      const reason = error.code === 'EADDRINUSE' ? 'address_in_use' : 'invalid_settings';
      reject(new Failure(reason, `${host}:${port}`, { cause: error }));
    };
    server.once('error', onError);
    server.listen(port, host, () => {
      server.removeListener('error', onError);
      const bound = server.address();
      resolve({ host, port: typeof bound === 'object' && bound ? bound.port : port });
    });
  });

/** Creates the RPC server of a process. */
export const createRpcServer = ({ address, routes, interceptors }: RpcServerOptions): RpcServer => {
  const sessions = new Set<ServerHttp2Session>();
  const handler = connectNodeAdapter({
    routes,
    interceptors,
    jsonOptions,
    readMaxBytes: maxMessageBytes,
    writeMaxBytes: maxMessageBytes,
  });
  const server = createServer(handler);
  const sockets = new Set<Socket>();
  let closedTraffic: Traffic = { receivedBytes: 0, sentBytes: 0 };
  const addTraffic = (sum: Traffic, { bytesRead, bytesWritten }: Socket): Traffic => ({
    receivedBytes: sum.receivedBytes + bytesRead,
    sentBytes: sum.sentBytes + bytesWritten,
  });
  server.on('connection', (socket: Socket) => {
    if (sockets.size >= maxSessions) {
      // Destroyed before a session exists, since ending a session refuses streams of the peer.
      socket.destroy();
      return;
    }
    sockets.add(socket);
    socket.on('close', () => {
      sockets.delete(socket);
      closedTraffic = addTraffic(closedTraffic, socket);
    });
  });
  server.on('session', (session) => {
    sessions.add(session);
    session.on('error', () => session.destroy());
    session.on('close', () => sessions.delete(session));
  });
  server.on('sessionError', () => undefined);

  return {
    listen: () => listenOn(server, address),
    traffic: () => [...sockets].reduce(addTraffic, closedTraffic),
    close: (graceMs) =>
      new Promise((resolve) => {
        const graceTimer = setTimeout(() => {
          // After a session is closed, its socket stays open until the peer closes its side.
          sockets.forEach((socket) => socket.destroy());
        }, graceMs);
        server.close(() => {
          clearTimeout(graceTimer);
          resolve();
        });
        // On GOAWAY, a peer closes its session once its streams have ended.
        [...sessions]
          .filter((session) => !session.destroyed)
          .forEach((session) => session.goaway(constants.NGHTTP2_NO_ERROR, maxStreamId));
      }),
  };
};

export interface RpcTransport {
  readonly transport: Transport;
  /** True while a session to the peer is established. */
  isConnected(): boolean;
  /** Destroys the session and all RPCs on it. */
  close(): void;
}

/** Creates a transport to the peer at `address` (`ip:port`). */
export const createRpcTransport = (
  address: string,
  interceptors: Interceptor[],
  callTimeoutMs: number = defaultCallTimeoutMs,
): RpcTransport => {
  const baseUrl = `http://${address}`;
  const sessionManager = createRpcSessionManager(baseUrl, {
    openMs: openTimeoutMs,
    pingIntervalMs,
    pingTimeoutMs,
    idleMs: idleConnectionTimeoutMs,
  });
  const transport = createConnectTransport({
    baseUrl,
    httpVersion: '2',
    sessionManager,
    interceptors,
    readMaxBytes: maxMessageBytes,
    writeMaxBytes: maxMessageBytes,
    defaultTimeoutMs: callTimeoutMs,
    useBinaryFormat: true,
  });
  return {
    transport,
    isConnected: sessionManager.isConnected,
    close: () => sessionManager.abort(),
  };
};
