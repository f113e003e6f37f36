/**
 * Pools of HTTP/1.1 connections: one to the own upstream, one to each other node. Pipelining is off
 * in all of them. Connections to nodes are few and end after a short idle time, since a node that
 * is cut off leaves them silent.
 */
import type { Socket } from 'node:net';
import { buildConnector, Pool } from 'undici';

const connectTimeoutMs = 1_000;
const upstreamIdleMs = 4_000;
/** Connections that a node holds to another node. */
export const nodeConnections = 8;
const nodeIdleMs = 4_000;
const maxUpstreamHeadBytes = 16 * 1_024;
/** Nodes add their own headers to what an upstream sent. */
const maxNodeHeadBytes = 32 * 1_024;
/** Pools to nodes that were not used for this time are closed, in ms. */
const unusedPoolMs = 60_000;
/** A node that is only slow must not have its connections replaced at each timeout. */
const minRenewalMs = 1_000;

const poolOptions = (connections: number, idleMs: number, maxHeadBytes: number): Pool.Options => ({
  connections,
  pipelining: 1,
  connect: { timeout: connectTimeoutMs },
  keepAliveTimeout: idleMs,
  keepAliveMaxTimeout: idleMs,
  maxHeaderSize: maxHeadBytes,
});

export interface UpstreamPool {
  readonly pool: Pool;
  /** An answer without a length has begun: the end of its connection is the end of the answer. */
  expectUnframed(): void;
  /**
   * True while a reset of a connection is being handled. undici takes a reset for the end of an
   * answer that has no length, but what came before it may be only a part.
   */
  isResetting(): boolean;
}

/** Creates the pool to the upstream beside the node. */
export const createUpstreamPool = (address: string, connections: number): UpstreamPool => {
  let resetting = false;
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
    ...poolOptions(connections, upstreamIdleMs, maxUpstreamHeadBytes),
    connect: (options, callback) =>
      connect(options, (...results) => {
        const [, socket] = results;
        if (socket) {
          watch(socket);
        }
        callback(...results);
      }),
  });
  return { pool, expectUnframed, isResetting: () => resetting };
};

export interface NodePools {
  /** Pool to the forward address of a node. */
  to(forwardAddress: string, now: number): Pool;
  /** Gives later calls fresh connections; calls in flight finish on the old ones. */
  renew(forwardAddress: string, now: number): void;
  /** Closes the pools that were not used for a while. */
  closeUnused(now: number): void;
  destroy(): Promise<void>;
}

/** Creates the pools to other nodes, by forward address. */
export const createNodePools = (): NodePools => {
  const pools = new Map<string, { pool: Pool; createdAt: number; usedAt: number }>();

  const to: NodePools['to'] = (forwardAddress, now) => {
    const known = pools.get(forwardAddress);
    if (known) {
      known.usedAt = now;
      return known.pool;
    }
    const pool = new Pool(
      `http://${forwardAddress}`,
      poolOptions(nodeConnections, nodeIdleMs, maxNodeHeadBytes),
    );
    pools.set(forwardAddress, { pool, createdAt: now, usedAt: now });
    return pool;
  };

  const renew: NodePools['renew'] = (forwardAddress, now) => {
    const known = pools.get(forwardAddress);
    if (known && now - known.createdAt >= minRenewalMs) {
      pools.delete(forwardAddress);
      known.pool.close().catch(() => undefined);
    }
  };

  const closeUnused = (now: number) => {
    [...pools]
      .filter(([, { usedAt }]) => now - usedAt > unusedPoolMs)
      .forEach(([address, { pool }]) => {
        pools.delete(address);
        pool.close().catch(() => undefined);
      });
  };

  return {
    to,
    renew,
    closeUnused,
    destroy: async () => {
      await Promise.all([...pools.values()].map(({ pool }) => pool.destroy()));
    },
  };
};
