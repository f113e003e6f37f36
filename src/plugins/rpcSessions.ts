/**
 * HTTP/2 sessions to one peer: opened on demand, pinged while they carry RPCs, and replaced once
 * they are closed, told to go away or silent. connect-node's own manager is not used: it stops
 * listening for errors of a session that is being destroyed, and such an error ends the process.
 */
import {
  connect,
  type ClientHttp2Session,
  type ClientHttp2Stream,
  type ClientSessionRequestOptions,
  type OutgoingHttpHeaders,
} from 'node:http2';
import { Code, ConnectError } from '@connectrpc/connect';
import { createTimer } from '../utils/timer.js';

/** What a transport of connect-node takes as its session manager, and `abort`. */
export interface RpcSessionManager {
  readonly authority: string;
  request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream>;
  notifyResponseByteRead(stream: ClientHttp2Stream): void;
  /** Drops the session and all RPCs on it. A later request opens a new one. */
  abort(): void;
}

export interface RpcSessionTimeouts {
  /** Time in which a session has to be open, in ms. */
  readonly openMs: number;
  /** Silence of a session with RPCs, or idle time of one without, before a ping, in ms. */
  readonly pingIntervalMs: number;
  /** Time in which a ping has to be answered, in ms. */
  readonly pingTimeoutMs: number;
  /** A session without RPCs is closed after this time, in ms. */
  readonly idleMs: number;
}

/** A request whose session ends before its stream is opened is sent on a new one this often. */
const maxOpenings = 2;

interface Peer {
  readonly session: ClientHttp2Session;
  /** Time at which something was last heard. */
  aliveAt: number;
  /** Time at which the last RPC ended. */
  usedAt: number;
  streams: number;
  isGoingAway: boolean;
  ping: Promise<boolean> | undefined;
}

const unavailable = (detail: string): ConnectError => new ConnectError(detail, Code.Unavailable);

/** Creates the sessions to the peer at `authority` (`http://ip:port`). */
export const createRpcSessionManager = (
  authority: string,
  times: RpcSessionTimeouts,
): RpcSessionManager => {
  const timer = createTimer({ keepsProcessAlive: false });
  const peers = new Set<Peer>();
  let current: Peer | undefined;
  let opening: Promise<Peer> | undefined;

  const isUsable = ({ session, isGoingAway }: Peer): boolean =>
    !isGoingAway && !session.closed && !session.destroyed;

  /** Resolves with whether the peer answered; a session that did not is destroyed. */
  const ping = (peer: Peer): Promise<boolean> => {
    peer.ping ??= new Promise<boolean>((resolve) => {
      const cancel = timer.after(times.pingTimeoutMs, () => {
        peer.session.destroy(unavailable('a ping was not answered'));
        resolve(false);
      });
      const onAnswer = (error: Error | null) => {
        cancel();
        peer.aliveAt = error ? peer.aliveAt : timer.now();
        resolve(error === null);
      };
      if (peer.session.destroyed || !peer.session.ping(onAnswer)) {
        cancel();
        resolve(false);
      }
    }).finally(() => {
      peer.ping = undefined;
    });
    return peer.ping;
  };

  const keepHouse = (peer: Peer) => {
    const now = timer.now();
    if (peer.streams > 0 && now - peer.aliveAt >= times.pingIntervalMs) {
      ping(peer).catch(() => undefined);
    }
    if (peer.streams === 0 && now - peer.usedAt >= times.idleMs) {
      peer.session.close();
    }
  };

  const open = (): Promise<Peer> =>
    new Promise((resolve, reject) => {
      const session = connect(authority);
      const now = timer.now();
      const peer: Peer = {
        session,
        aliveAt: now,
        usedAt: now,
        streams: 0,
        isGoingAway: false,
        ping: undefined,
      };
      let failure: unknown;
      peers.add(peer);
      // Stays until the end: the error of a session can come after it was given up.
      session.on('error', (error) => {
        failure = error;
      });
      const cancelLimit = timer.after(times.openMs, () => {
        session.destroy(unavailable(`no connection within ${times.openMs} ms`));
      });
      session.once('connect', () => {
        cancelLimit();
        // Only RPCs keep the process alive.
        session.unref();
        resolve(peer);
      });
      session.on('goaway', () => {
        peer.isGoingAway = true;
        if (peer.streams === 0) {
          session.destroy();
        }
      });
      const cancelHousekeeping = timer.every(times.pingIntervalMs, () => keepHouse(peer));
      session.once('close', () => {
        cancelLimit();
        cancelHousekeeping();
        peers.delete(peer);
        reject(failure ?? unavailable('the connection was closed'));
      });
    });

  const openShared = (): Promise<Peer> => {
    opening ??= open()
      .then((peer) => {
        current = peer;
        return peer;
      })
      .finally(() => {
        opening = undefined;
      });
    return opening;
  };

  const usablePeer = async (): Promise<Peer> => {
    const known = current;
    if (!known || !isUsable(known)) {
      return openShared();
    }
    const isStale = timer.now() - known.aliveAt >= times.pingIntervalMs;
    if (!isStale || (await ping(known))) {
      return known;
    }
    return current === known || !current ? openShared() : current;
  };

  const countStream = (peer: Peer, stream: ClientHttp2Stream) => {
    peer.streams += 1;
    peer.session.ref();
    stream.once('response', () => {
      peer.aliveAt = timer.now();
    });
    stream.once('close', () => {
      peer.streams -= 1;
      peer.usedAt = timer.now();
      if (peer.streams > 0) {
        return;
      }
      peer.session.unref();
      if (peer.isGoingAway) {
        peer.session.destroy();
      }
    });
  };

  const request: RpcSessionManager['request'] = async (method, path, headers, options) => {
    for (let openings = 0; openings < maxOpenings; openings += 1) {
      const peer = await usablePeer();
      if (isUsable(peer)) {
        const stream = peer.session.request(
          { ...headers, ':method': method, ':path': path },
          options,
        );
        countStream(peer, stream);
        return stream;
      }
    }
    throw unavailable('the connection was closed');
  };

  return {
    authority,
    request,
    notifyResponseByteRead: ({ session }) => {
      const peer = [...peers].find((known) => known.session === session);
      if (peer) {
        peer.aliveAt = timer.now();
      }
    },
    abort: () => {
      current = undefined;
      const reason = new ConnectError('connection aborted', Code.Canceled);
      peers.forEach(({ session }) => session.destroy(reason));
    },
  };
};
