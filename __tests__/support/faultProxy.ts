/**
 * TCP proxy that injects faults between two processes. It runs in the test process. Faults are set
 * per direction and can be changed while connections are open. They can be limited to connections
 * from one source, see `sourceOf`.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

export interface DirectionFaults {
  /** Delay of every byte, in ms. */
  delayMs: number;
  /** Bytes are queued and delivered once this is lifted, as after a temporary network partition. */
  silent: boolean;
  /** Bytes are discarded; the connection stays open. */
  discard: boolean;
  /** Number of bytes after which a connection is reset. */
  truncateAfterBytes: number;
}

export interface LinkFaults {
  toServer: DirectionFaults;
  toClient: DirectionFaults;
  /** Handling of new connections. `hold` accepts them but connects to the target on `release`. */
  accept: 'open' | 'refuse' | 'hold';
}

export interface FaultChange {
  toServer?: Partial<DirectionFaults>;
  toClient?: Partial<DirectionFaults>;
  accept?: LinkFaults['accept'];
}

export interface FaultProxyOptions {
  /** `ip:port` of the server behind the proxy. */
  readonly target: string;
  /** Address to listen on. */
  readonly host: string;
  /** Returns the name of the process that opened a connection, given the process's local port. */
  readonly sourceOf?: (remotePort: number) => string | undefined;
}

export interface FaultProxy {
  readonly address: string;
  /** Changes the faults of all connections, or of those from one source. */
  set(change: FaultChange, source?: string): void;
  /** Removes all faults, or those of one source. Held connections are released. */
  heal(source?: string): void;
  /** Discards all further bytes of the connections that are open now. New ones are unaffected. */
  blackholeOpenConnections(source?: string): void;
  /** Resets all open connections, or those of one source. */
  reset(source?: string): void;
  /** Connects held connections to the target. `order` lists them by position of arrival. */
  release(order?: readonly number[]): void;
  connections(): number;
  close(): Promise<void>;
}

const maxQueuedBytes = 1024 * 1024;
// libuv reports data and a reset that arrive together as a clean end of the stream, so the reset is
// sent later.
const resetDelayMs = 20;

const noDirectionFaults = (): DirectionFaults => ({
  delayMs: 0,
  silent: false,
  discard: false,
  truncateAfterBytes: Infinity,
});

const noFaults = (): LinkFaults => ({
  toServer: noDirectionFaults(),
  toClient: noDirectionFaults(),
  accept: 'open',
});

/**
 * Sends RST without ending the writable side first, which `resetAndDestroy()` would do. A socket
 * whose writable side has ended cannot be reset: Node.js would leave its handle open, and the event
 * loop would spin on it.
 */
const resetSocket = (socket: Socket | undefined) => {
  if (socket && !socket.destroyed) {
    const canReset = !socket.writableEnded && !socket.connecting;
    Object.assign(socket, { resetAndClosing: canReset });
    socket.destroy();
  }
};

const blackholeFaults: LinkFaults = {
  toServer: { ...noDirectionFaults(), discard: true },
  toClient: { ...noDirectionFaults(), discard: true },
  accept: 'open',
};

interface Forwarder {
  /** Forwards the queued data that is due. Called when faults change. */
  flush(): void;
}

const createForwarder = (from: Socket, to: Socket, faults: () => DirectionFaults): Forwarder => {
  const queue: { readonly arrivedAt: number; readonly chunk?: Buffer }[] = [];
  let timer: NodeJS.Timeout | undefined;
  let queuedBytes = 0;
  let sentBytes = 0;

  const reset = () => {
    resetSocket(to);
    resetSocket(from);
  };

  const send = (chunk: Buffer, { discard, truncateAfterBytes }: DirectionFaults) => {
    queuedBytes -= chunk.length;
    if (discard) {
      return;
    }
    const allowed = Math.max(0, truncateAfterBytes - sentBytes);
    if (chunk.length <= allowed) {
      sentBytes += chunk.length;
      to.write(chunk);
      return;
    }
    sentBytes += allowed;
    to.write(chunk.subarray(0, allowed), () => setTimeout(reset, resetDelayMs));
  };

  const flush = () => {
    timer = undefined;
    while (queue[0] && !to.destroyed) {
      const current = faults();
      const waitMs = queue[0].arrivedAt + current.delayMs - performance.now();
      if (current.silent) {
        return;
      }
      if (waitMs > 0) {
        timer = setTimeout(flush, waitMs);
        return;
      }
      const { chunk } = queue[0];
      queue.shift();
      if (chunk) {
        send(chunk, current);
      } else {
        to.end();
      }
    }
    if (queuedBytes < maxQueuedBytes && to.writableLength < maxQueuedBytes) {
      from.resume();
    }
  };

  from.on('data', (chunk: Buffer) => {
    queue.push({ arrivedAt: performance.now(), chunk });
    queuedBytes += chunk.length;
    if (queuedBytes >= maxQueuedBytes) {
      from.pause();
    }
    if (!timer) {
      flush();
    }
    if (to.writableLength >= maxQueuedBytes) {
      from.pause();
    }
  });
  to.on('drain', flush);
  from.on('end', () => {
    queue.push({ arrivedAt: performance.now() });
    if (!timer) {
      flush();
    }
  });
  from.on('close', (hadError) => {
    if (hadError) {
      resetSocket(to);
    }
  });

  return {
    flush: () => {
      clearTimeout(timer);
      flush();
    },
  };
};

interface Connection {
  readonly source: string | undefined;
  readonly client: Socket;
  server?: Socket;
  readonly forwarders: Forwarder[];
  isBlackholed: boolean;
}

/** Starts a proxy on a port that the operating system chooses. */
export const startFaultProxy = async ({
  target,
  host,
  sourceOf = () => undefined,
}: FaultProxyOptions): Promise<FaultProxy> => {
  const faultsOfAll = noFaults();
  const faultsBySource = new Map<string, LinkFaults>();
  const connections = new Set<Connection>();
  const held: Connection[] = [];
  const separator = target.lastIndexOf(':');
  const targetAddress = {
    host: target.slice(0, separator),
    port: Number(target.slice(separator + 1)),
  };

  /** Keeps half-closed connections, so that `close` destroys both of their sockets. */
  const forgetIfClosed = (connection: Connection) => {
    if (connection.client.destroyed && (connection.server?.destroyed ?? true)) {
      connections.delete(connection);
    }
  };

  const faultsOf = (source: string | undefined): LinkFaults =>
    (source === undefined ? undefined : faultsBySource.get(source)) ?? faultsOfAll;

  const faultsOfConnection = ({ source, isBlackholed }: Connection): LinkFaults =>
    isBlackholed ? blackholeFaults : faultsOf(source);

  const open = (connection: Connection) => {
    const { client } = connection;
    const server = connect({ ...targetAddress, allowHalfOpen: true });
    connection.server = server;
    server.setNoDelay(true);
    server.on('error', () => resetSocket(client));
    server.on('close', () => forgetIfClosed(connection));
    client.on('close', (hadError) => (hadError ? resetSocket(server) : server.end()));
    connection.forwarders.push(
      createForwarder(client, server, () => faultsOfConnection(connection).toServer),
      createForwarder(server, client, () => faultsOfConnection(connection).toClient),
    );
  };

  const acceptModes: Record<LinkFaults['accept'], (connection: Connection) => void> = {
    open,
    refuse: ({ client }) => resetSocket(client),
    hold: (connection) => held.push(connection),
  };

  const listener = createServer({ allowHalfOpen: true }, (client) => {
    client.setNoDelay(true);
    client.on('error', () => undefined);
    const source = sourceOf(client.remotePort ?? 0);
    const connection: Connection = { source, client, forwarders: [], isBlackholed: false };
    connections.add(connection);
    client.on('close', () => forgetIfClosed(connection));
    acceptModes[faultsOf(source).accept](connection);
  });

  const flushAll = () =>
    connections.forEach(({ forwarders }) => forwarders.forEach((forwarder) => forwarder.flush()));

  const release: FaultProxy['release'] = (order) => {
    const orderedConnections = order ? order.map((place) => held[place]) : [...held];
    orderedConnections.forEach((connection) => connection && open(connection));
    held.splice(0, held.length);
  };

  const applyChange = (faults: LinkFaults, { toServer, toClient, accept }: FaultChange) => {
    Object.assign(faults.toServer, toServer);
    Object.assign(faults.toClient, toClient);
    faults.accept = accept ?? faults.accept;
    flushAll();
  };

  const reset: FaultProxy['reset'] = (source) =>
    [...connections]
      .filter((connection) => source === undefined || connection.source === source)
      .forEach(({ client, server }) => {
        resetSocket(client);
        resetSocket(server);
      });

  await new Promise<void>((resolve) => {
    listener.listen(0, host, resolve);
  });

  return {
    address: `${host}:${(listener.address() as AddressInfo).port}`,
    set: (faults, source) => {
      if (source === undefined) {
        applyChange(faultsOfAll, faults);
        return;
      }
      const sourceFaults = faultsBySource.get(source) ?? noFaults();
      faultsBySource.set(source, sourceFaults);
      applyChange(sourceFaults, faults);
    },
    heal: (source) => {
      if (source === undefined) {
        faultsBySource.clear();
        applyChange(faultsOfAll, noFaults());
      } else {
        faultsBySource.delete(source);
        flushAll();
      }
      release();
    },
    blackholeOpenConnections: (source) =>
      [...connections]
        .filter((connection) => source === undefined || connection.source === source)
        .forEach((connection) => {
          connection.isBlackholed = true;
        }),
    reset,
    release,
    connections: () => connections.size,
    close: () =>
      new Promise((resolve) => {
        listener.close(() => resolve());
        reset();
      }),
  };
};
