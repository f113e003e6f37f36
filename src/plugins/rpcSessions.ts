/**
 * Manages the HTTP/2 sessions to one peer. A session is opened on demand, pinged while it carries
 * RPCs, and replaced after it was closed, received a GOAWAY frame or stopped responding. The
 * session manager of connect-node is not used: it removes its error listener from a session that is
 * being destroyed, and a later error then ends the process.
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

/** The session manager that a connect-node transport expects, plus `abort`. */
export interface RpcSessionManager {
  readonly authority: string;
  request(
    method: string,
    path: string,
    headers: OutgoingHttpHeaders,
    options: Omit<ClientSessionRequestOptions, 'signal'>,
  ): Promise<ClientHttp2Stream>;
  notifyResponseByteRead(stream: ClientHttp2Stream): void;
  /** True while a session is established. */
  isConnected(): boolean;
  /** Destroys the session and all RPCs on it. A later request opens a new session. */
  abort(): void;
}

export interface RpcSessionTimeouts {
  /** Time within which a session has to be established, in ms. */
  readonly openMs: number;
  /**
   * Time without received data after which a session is pinged, in ms. A session without RPCs is
   * pinged only before its next request.
   */
  readonly pingIntervalMs: number;
  /** Time within which a ping has to be acknowledged, in ms. */
  readonly pingTimeoutMs: number;
  /** Time after which a session without RPCs is closed, in ms. */
  readonly idleMs: number;
}

/** Sessions that a request tries, since one may close before the request's stream is opened. */
const maxOpenAttempts = 2;

interface Connection {
  readonly session: ClientHttp2Session;
  /** Time at which data was last received. */
  lastReceivedAt: number;
  /** Time at which the last RPC ended. */
  lastUsedAt: number;
  streams: number;
  isGoingAway: boolean;
  ping: Promise<boolean> | undefined;
}

const unavailable = (detail: string): ConnectError => new ConnectError(detail, Code.Unavailable);

/** Creates the session manager for the peer at `authority` (`http://ip:port`). */
export const createRpcSessionManager = (
  authority: string,
  timeouts: RpcSessionTimeouts,
): RpcSessionManager => {
  const timer = createTimer({ keepsProcessAlive: false });
  const connections = new Set<Connection>();
  let current: Connection | undefined;
  let opening: Promise<Connection> | undefined;

  const isUsable = ({ session, isGoingAway }: Connection): boolean =>
    !isGoingAway && !session.closed && !session.destroyed;

  /** Pings the peer. Resolves with false, and destroys the session, if there is no response. */
  const ping = (connection: Connection): Promise<boolean> => {
    connection.ping ??= new Promise<boolean>((resolve) => {
      const cancel = timer.after(timeouts.pingTimeoutMs, () => {
        connection.session.destroy(unavailable('the peer did not respond to a ping'));
        resolve(false);
      });
      const onPong = (error: Error | null) => {
        cancel();
        connection.lastReceivedAt = error ? connection.lastReceivedAt : timer.now();
        resolve(error === null);
      };
      if (connection.session.destroyed || !connection.session.ping(onPong)) {
        cancel();
        resolve(false);
      }
    }).finally(() => {
      connection.ping = undefined;
    });
    return connection.ping;
  };

  const maintain = (connection: Connection) => {
    const now = timer.now();
    if (connection.streams > 0 && now - connection.lastReceivedAt >= timeouts.pingIntervalMs) {
      ping(connection).catch(() => undefined);
    }
    if (connection.streams === 0 && now - connection.lastUsedAt >= timeouts.idleMs) {
      connection.session.close();
    }
  };

  const open = (): Promise<Connection> =>
    new Promise((resolve, reject) => {
      const session = connect(authority);
      const now = timer.now();
      const connection: Connection = {
        session,
        lastReceivedAt: now,
        lastUsedAt: now,
        streams: 0,
        isGoingAway: false,
        ping: undefined,
      };
      let failure: unknown;
      connections.add(connection);
      // Never removed, since a session can emit an error after it was destroyed.
      session.on('error', (error) => {
        failure = error;
      });
      const cancelTimeout = timer.after(timeouts.openMs, () => {
        session.destroy(unavailable(`no connection established within ${timeouts.openMs} ms`));
      });
      session.once('connect', () => {
        cancelTimeout();
        // Only RPCs keep the process alive.
        session.unref();
        resolve(connection);
      });
      session.on('goaway', () => {
        connection.isGoingAway = true;
        if (connection.streams === 0) {
          session.destroy();
        }
      });
      const cancelMaintenance = timer.every(timeouts.pingIntervalMs, () => maintain(connection));
      session.once('close', () => {
        cancelTimeout();
        cancelMaintenance();
        connections.delete(connection);
        reject(failure ?? unavailable('the connection was closed'));
      });
    });

  const openOnce = (): Promise<Connection> => {
    opening ??= open()
      .then((connection) => {
        current = connection;
        return connection;
      })
      .finally(() => {
        opening = undefined;
      });
    return opening;
  };

  const getConnection = async (): Promise<Connection> => {
    const existing = current;
    if (!existing || !isUsable(existing)) {
      return openOnce();
    }
    const isStale = timer.now() - existing.lastReceivedAt >= timeouts.pingIntervalMs;
    if (!isStale || (await ping(existing))) {
      return existing;
    }
    return current === existing || !current ? openOnce() : current;
  };

  const trackStream = (connection: Connection, stream: ClientHttp2Stream) => {
    connection.streams += 1;
    connection.session.ref();
    stream.once('response', () => {
      connection.lastReceivedAt = timer.now();
    });
    stream.once('close', () => {
      connection.streams -= 1;
      connection.lastUsedAt = timer.now();
      if (connection.streams > 0) {
        return;
      }
      connection.session.unref();
      if (connection.isGoingAway) {
        connection.session.destroy();
      }
    });
  };

  const request: RpcSessionManager['request'] = async (method, path, headers, options) => {
    for (let attempt = 0; attempt < maxOpenAttempts; attempt += 1) {
      const connection = await getConnection();
      if (isUsable(connection)) {
        const stream = connection.session.request(
          { ...headers, ':method': method, ':path': path },
          options,
        );
        trackStream(connection, stream);
        return stream;
      }
    }
    throw unavailable('the connection was closed');
  };

  return {
    authority,
    request,
    notifyResponseByteRead: ({ session }) => {
      const connection = [...connections].find((existing) => existing.session === session);
      if (connection) {
        connection.lastReceivedAt = timer.now();
      }
    },
    isConnected: () => current !== undefined && isUsable(current),
    abort: () => {
      current = undefined;
      const reason = new ConnectError('connection aborted', Code.Canceled);
      connections.forEach(({ session }) => session.destroy(reason));
    },
  };
};
