/**
 * Pool of HTTP/1.1 connections to the upstream beside the node, without pipelining.
 */
import type { Socket } from 'node:net';
import buildConnector from 'undici/lib/core/connect.js';
import Pool from 'undici/lib/dispatcher/pool.js';

const connectTimeoutMs = 1_000;
const idleTimeoutMs = 4_000;
const maxResponseHeadBytes = 16 * 1_024;

/** Connection whose response is being read. */
export interface UpstreamConnection {
  /**
   * Stops reading, so that the upstream cannot send more. Unlike a pause by undici, it also holds
   * the end of the connection back, on which undici fails an assertion if the response is paused.
   */
  hold(): void;
  release(): void;
}

export interface UpstreamPool {
  readonly pool: Pool;
  /** Connection whose bytes were read last; undici does not expose the one of a response. */
  lastRead(): UpstreamConnection | undefined;
  /** Call this when a close-delimited response begins, which the end of its connection ends. */
  expectCloseDelimited(): void;
  /**
   * True while a reset of a connection is being handled. undici takes a reset for the regular end
   * of a close-delimited response, although the response may be incomplete.
   */
  isResetting(): boolean;
  /**
   * True if the bytes that were read last begin an HTTP/1.1 response. undici does not expose the
   * version of a response, and by default an HTTP/1.0 response ends with its connection.
   */
  isHttp11(): boolean;
}

const http11Prefix = Buffer.from('HTTP/1.1 ');

/** Creates the pool to the upstream beside the node. */
export const createUpstreamPool = (address: string, connections: number): UpstreamPool => {
  let isResetting = false;
  let isHttp11Response = false;
  let lastRead: UpstreamConnection | undefined;
  const connect = buildConnector({ timeout: connectTimeoutMs });
  const markReset = () => {
    isResetting = true;
    process.nextTick(() => {
      isResetting = false;
    });
  };
  const sockets = new Set<Socket>();
  const endWatched = new WeakSet<Socket>();

  const trackSocket = (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    // A prepended listener runs before undici's own.
    socket.prependListener('error', markReset);
    const read = socket.read.bind(socket);
    let isHeld = false;
    const connection: UpstreamConnection = {
      hold: () => {
        isHeld = true;
      },
      release: () => {
        if (isHeld) {
          isHeld = false;
          socket.emit('readable');
        }
      },
    };
    socket.read = (size?: number) => {
      // undici reads without a size. With one, Node.js itself fills the buffer of the socket.
      if (isHeld && size === undefined) {
        return null;
      }
      lastRead = connection;
      const chunk: Buffer | null = read(size);
      isHttp11Response =
        chunk?.subarray(0, http11Prefix.length).equals(http11Prefix) ?? isHttp11Response;
      return chunk;
    };
  };

  // The end is only watched while such a response is expected: an `end` listener that was present
  // from the start kept large uploads from continuing after their upstream had stalled.
  const expectCloseDelimited = () =>
    [...sockets]
      .filter((socket) => !endWatched.has(socket))
      .forEach((socket) => {
        endWatched.add(socket);
        socket.prependListener('end', () => {
          // libuv reports a reset that immediately follows data as an end. Only a connection that
          // was reset has no peer any more; Node.js caches the address once it has been read.
          if (socket.remoteAddress === undefined) {
            markReset();
          }
        });
      });

  const pool = new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: idleTimeoutMs,
    keepAliveMaxTimeout: idleTimeoutMs,
    maxHeaderSize: maxResponseHeadBytes,
    connect: (options, callback) =>
      connect(options, (...results) => {
        const [, socket] = results;
        if (socket) {
          trackSocket(socket);
        }
        callback(...results);
      }),
  });
  return {
    pool,
    expectCloseDelimited,
    isResetting: () => isResetting,
    isHttp11: () => isHttp11Response,
    lastRead: () => lastRead,
  };
};
