/**
 * Pool of HTTP/1.1 connections to the upstream beside the node, without pipelining.
 */
import type { Socket } from 'node:net';
import buildConnector from 'undici/lib/core/connect.js';
import Pool from 'undici/lib/dispatcher/pool.js';

const connectTimeoutMs = 1_000;
const upstreamIdleMs = 4_000;
const maxUpstreamHeadBytes = 16 * 1_024;

export interface UpstreamPool {
  readonly pool: Pool;
  /** An answer without a length has begun: the end of its connection is the end of the answer. */
  expectCloseDelimited(): void;
  /**
   * True while a reset of a connection is being handled. undici takes a reset for the end of an
   * answer that has no length, but what came before it may be only a part.
   */
  isResetting(): boolean;
  /**
   * True if the bytes that were read last begin an answer of HTTP/1.1. undici does not tell the
   * version of an answer, and one of HTTP/1.0 ends with its connection unless it says otherwise.
   */
  beginsHttp11(): boolean;
}

const http11 = Buffer.from('HTTP/1.1 ');

/** Creates the pool to the upstream beside the node. */
export const createUpstreamPool = (address: string, connections: number): UpstreamPool => {
  let resetting = false;
  let isHttp11 = false;
  const connect = buildConnector({ timeout: connectTimeoutMs });
  const noteReset = () => {
    resetting = true;
    process.nextTick(() => {
      resetting = false;
    });
  };
  const sockets = new Set<Socket>();
  const watched = new WeakSet<Socket>();

  const watch = (socket: Socket) => {
    sockets.add(socket);
    socket.once('close', () => sockets.delete(socket));
    // A listener that is prepended runs before undici's own.
    socket.prependListener('error', noteReset);
    const read = socket.read.bind(socket);
    socket.read = (size?: number) => {
      const chunk: Buffer | null = read(size);
      isHttp11 = chunk?.subarray(0, http11.length).equals(http11) ?? isHttp11;
      return chunk;
    };
  };

  // Only while such an answer is due: a listener of the end that was there from the start kept
  // large uploads from going on after their upstream had stood still.
  const expectUnframed = () =>
    [...sockets]
      .filter((socket) => !watched.has(socket))
      .forEach((socket) => {
        watched.add(socket);
        socket.prependListener('end', () => {
          // libuv reports a reset that follows data at once as an end. Only a connection that was
          // reset has no peer any more; Node.js keeps the address once it was asked for.
          if (socket.remoteAddress === undefined) {
            noteReset();
          }
        });
      });

  const pool = new Pool(`http://${address}`, {
    connections,
    pipelining: 1,
    keepAliveTimeout: upstreamIdleMs,
    keepAliveMaxTimeout: upstreamIdleMs,
    maxHeaderSize: maxUpstreamHeadBytes,
    connect: (options, callback) =>
      connect(options, (...results) => {
        const [, socket] = results;
        if (socket) {
          watch(socket);
        }
        callback(...results);
      }),
  });
  return {
    pool,
    expectCloseDelimited: expectUnframed,
    isResetting: () => resetting,
    beginsHttp11: () => isHttp11,
  };
};
