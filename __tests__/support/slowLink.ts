/**
 * TCP proxy that simulates a machine's link with low bandwidth. Data that the server sends on all
 * connections shares one first-in, first-out queue, as on a link that is unaware of connections.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

export interface SlowLink {
  readonly address: string;
  /** Returns and resets the peak length of the queue, in ms of transmission time. */
  takePeakQueueMs(): number;
  close(): Promise<void>;
}

export interface SlowLinkOptions {
  /** `ip:port` of the server behind the link. */
  readonly target: string;
  readonly mbps: number;
  /** Local address of the connections to the server, which sees it as the clients' address. */
  readonly source?: string;
}

const bytesPerMsOfMbps = 125;
/** Limit of bytes in transit per connection, like a small TCP window. */
const windowBytes = 64 * 1_024;
const tickMs = 2;

interface Packet {
  readonly to: Socket;
  readonly chunk: Buffer;
  readonly onSent: () => void;
}

/** Starts the proxy on a port that the operating system chooses. */
export const startSlowLink = async (options: SlowLinkOptions): Promise<SlowLink> => {
  const { target, mbps, source } = options;
  const bytesPerMs = mbps * bytesPerMsOfMbps;
  const [host, port] = target.split(':');
  const queue: Packet[] = [];
  const sockets = new Set<Socket>();
  let queuedBytes = 0;
  let sendableBytes = 0;
  let drainedAt = performance.now();
  let peakBytes = 0;

  const drain = () => {
    const now = performance.now();
    sendableBytes = Math.min(queuedBytes, sendableBytes + bytesPerMs * (now - drainedAt));
    drainedAt = now;
    while (queue.length > 0 && queue[0]!.chunk.length <= sendableBytes) {
      const { to, chunk, onSent } = queue.shift()!;
      sendableBytes -= chunk.length;
      queuedBytes -= chunk.length;
      to.write(chunk);
      onSent();
    }
  };
  const drainTimer = setInterval(drain, tickMs);

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    const upstreamSocket = connect({
      host,
      port: Number(port),
      localAddress: source,
      noDelay: true,
    });
    let inTransitBytes = 0;
    const destroyBoth = () => {
      client.destroy();
      upstreamSocket.destroy();
    };
    [client, upstreamSocket].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', destroyBoth);
      socket.on('close', () => sockets.delete(socket));
    });
    client.on('close', () => upstreamSocket.destroy());
    client.on('end', () => upstreamSocket.end());
    client.on('data', (chunk) => upstreamSocket.write(chunk));
    upstreamSocket.on('data', (chunk) => {
      drain();
      inTransitBytes += chunk.length;
      queuedBytes += chunk.length;
      peakBytes = Math.max(peakBytes, queuedBytes - sendableBytes);
      queue.push({
        to: client,
        chunk,
        onSent: () => {
          inTransitBytes -= chunk.length;
          // A client that does not read its data closes its TCP window.
          if (inTransitBytes < windowBytes && client.writableLength < windowBytes) {
            upstreamSocket.resume();
          }
        },
      });
      if (inTransitBytes >= windowBytes || client.writableLength >= windowBytes) {
        upstreamSocket.pause();
      }
    });
    client.on('drain', () => upstreamSocket.resume());
    upstreamSocket.on('end', () =>
      queue.push({ to: client, chunk: Buffer.alloc(0), onSent: () => client.end() }),
    );
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });

  return {
    address: `127.0.0.1:${(server.address() as AddressInfo).port}`,
    takePeakQueueMs: () => {
      const peakMs = peakBytes / bytesPerMs;
      peakBytes = 0;
      return peakMs;
    },
    close: () =>
      new Promise((resolve) => {
        clearInterval(drainTimer);
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};
