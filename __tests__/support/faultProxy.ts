/**
 * TCP proxy that injects faults between two processes. It runs in the test's own process. Faults
 * are set for each direction and can be changed while connections are open; they can be limited to
 * the connections of one source, see `sourceOf`.
 */
import { connect, createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

export interface DirectionFaults {
  /** Every byte arrives this much later, in ms. */
  delayMs: number;
  /** Bytes are held back and arrive once this is lifted, like in a network that is cut for a while. */
  silent: boolean;
  /** Bytes are lost for good; the connection stays open. */
  discard: boolean;
  /** Connections are reset after so many bytes. */
  truncateAfterBytes: number;
}

export interface LinkFaults {
  toServer: DirectionFaults;
  toClient: DirectionFaults;
  /** What happens to new connections: `hold` accepts them and connects onward on `release`. */
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
  /** Name of the process that opened a connection, by its local port. */
  readonly sourceOf?: (remotePort: number) => string | undefined;
}

export interface FaultProxy {
  readonly address: string;
  /** Changes the faults of all connections, or of those that come from one source. */
  set(change: FaultChange, source?: string): void;
  /** Lifts all faults. Held connections go on. */
  heal(source?: string): void;
  /** Loses all further bytes of the connections that are open now; new ones are not affected. */
  blackholeOpenConnections(source?: string): void;
  /** Resets all open connections, or those of one source. */
  reset(source?: string): void;
  /** Connects held connections onward, in the given order of their arrival. */
  release(order?: readonly number[]): void;
  connections(): number;
  close(): Promise<void>;
}

const maxQueuedBytes = 1024 * 1024;
// libuv reports data and a reset that arrive together as a clean end of the stream.
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

const silencedFaults: LinkFaults = {
  toServer: { ...noDirectionFaults(), discard: true },
  toClient: { ...noDirectionFaults(), discard: true },
  accept: 'open',
};

interface Pump {
  /** Sends what has become due; called when faults change. */
  wake(): void;
}

const createPump = (from: Socket, to: Socket, faults: () => DirectionFaults): Pump => {
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
    wake: () => {
      clearTimeout(timer);
      flush();
    },
  };
};

interface Connection {
  readonly source: string | undefined;
  readonly client: Socket;
  server?: Socket;
  readonly pumps: Pump[];
  isSilenced: boolean;
}

/** Starts a proxy on a port that the system chooses. */
export const startFaultProxy = async ({
  target,
  host,
  sourceOf = () => undefined,
}: FaultProxyOptions): Promise<FaultProxy> => {
  const faultsOfAll = noFaults();
  const faultsBySource = new Map<string, LinkFaults>();
  const connections = new Set<Connection>();
  const held: Connection[] = [];
  const at = target.lastIndexOf(':');
  const targetAddress = { host: target.slice(0, at), port: Number(target.slice(at + 1)) };

  /** Half-closed connections stay known, so that `close` ends both of their sockets. */
  const forgetIfClosed = (connection: Connection) => {
    if (connection.client.destroyed && (connection.server?.destroyed ?? true)) {
      connections.delete(connection);
    }
  };

  const faultsOf = (source: string | undefined): LinkFaults =>
    (source === undefined ? undefined : faultsBySource.get(source)) ?? faultsOfAll;

  const faultsOfConnection = ({ source, isSilenced }: Connection): LinkFaults =>
    isSilenced ? silencedFaults : faultsOf(source);

  const open = (connection: Connection) => {
    const { client } = connection;
    const server = connect({ ...targetAddress, allowHalfOpen: true });
    connection.server = server;
    server.setNoDelay(true);
    server.on('error', () => resetSocket(client));
    server.on('close', () => forgetIfClosed(connection));
    client.on('close', (hadError) => (hadError ? resetSocket(server) : server.end()));
    connection.pumps.push(
      createPump(client, server, () => faultsOfConnection(connection).toServer),
      createPump(server, client, () => faultsOfConnection(connection).toClient),
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
    const connection: Connection = { source, client, pumps: [], isSilenced: false };
    connections.add(connection);
    client.on('close', () => forgetIfClosed(connection));
    acceptModes[faultsOf(source).accept](connection);
  });

  const wakeAll = () => connections.forEach(({ pumps }) => pumps.forEach((pump) => pump.wake()));

  const release: FaultProxy['release'] = (order) => {
    const inOrder = order ? order.map((place) => held[place]) : [...held];
    inOrder.forEach((connection) => connection && open(connection));
    held.splice(0, held.length);
  };

  const change = (faults: LinkFaults, { toServer, toClient, accept }: FaultChange) => {
    Object.assign(faults.toServer, toServer);
    Object.assign(faults.toClient, toClient);
    faults.accept = accept ?? faults.accept;
    wakeAll();
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
        change(faultsOfAll, faults);
        return;
      }
      const own = faultsBySource.get(source) ?? noFaults();
      faultsBySource.set(source, own);
      change(own, faults);
    },
    heal: (source) => {
      if (source === undefined) {
        faultsBySource.clear();
        change(faultsOfAll, noFaults());
      } else {
        faultsBySource.delete(source);
        wakeAll();
      }
      release();
    },
    blackholeOpenConnections: (source) =>
      [...connections]
        .filter((connection) => source === undefined || connection.source === source)
        .forEach((connection) => {
          connection.isSilenced = true;
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
