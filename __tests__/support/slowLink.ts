/**
 * TCP proxy in the place of a machine's link with a low rate. What the server sends on all
 * connections goes through one queue, first in first out, as in a link that knows no connections.
 */
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';

export interface SlowLink {
  readonly address: string;
  /** Longest queue of the link since the last question, in ms of its time. */
  takePeakQueueMs(): number;
  close(): Promise<void>;
}

export interface SlowLinkOptions {
  /** `ip:port` of the server behind the link. */
  readonly target: string;
  readonly mbps: number;
  /** Address that the server sees its clients at. */
  readonly source?: string;
}

const bytesPerMsOfMbps = 125;
/** Bytes of one connection that are on their way, as for a small window of TCP. */
const windowBytes = 64 * 1_024;
const tickMs = 2;

interface Packet {
  readonly to: Socket;
  readonly chunk: Buffer;
  readonly onSent: () => void;
}

/** Starts the link. */
export const startSlowLink = async (options: SlowLinkOptions): Promise<SlowLink> => {
  const { target, mbps, source } = options;
  const bytesPerMs = mbps * bytesPerMsOfMbps;
  const [host, port] = target.split(':');
  const queue: Packet[] = [];
  const sockets = new Set<Socket>();
  let queuedBytes = 0;
  let sendable = 0;
  let drainedAt = performance.now();
  let peakBytes = 0;

  const drain = () => {
    const now = performance.now();
    sendable = Math.min(queuedBytes, sendable + bytesPerMs * (now - drainedAt));
    drainedAt = now;
    while (queue.length > 0 && queue[0]!.chunk.length <= sendable) {
      const { to, chunk, onSent } = queue.shift()!;
      sendable -= chunk.length;
      queuedBytes -= chunk.length;
      to.write(chunk);
      onSent();
    }
  };
  const ticks = setInterval(drain, tickMs);

  const server = createServer({ allowHalfOpen: true, noDelay: true }, (client) => {
    const onward = connect({ host, port: Number(port), localAddress: source, noDelay: true });
    let onTheWay = 0;
    const endBoth = () => {
      client.destroy();
      onward.destroy();
    };
    [client, onward].forEach((socket) => {
      sockets.add(socket);
      socket.on('error', endBoth);
      socket.on('close', () => sockets.delete(socket));
    });
    client.on('close', () => onward.destroy());
    client.on('end', () => onward.end());
    client.on('data', (chunk) => onward.write(chunk));
    onward.on('data', (chunk) => {
      drain();
      onTheWay += chunk.length;
      queuedBytes += chunk.length;
      peakBytes = Math.max(peakBytes, queuedBytes - sendable);
      queue.push({
        to: client,
        chunk,
        onSent: () => {
          onTheWay -= chunk.length;
          // A client that does not read closes its window.
          if (onTheWay < windowBytes && client.writableLength < windowBytes) {
            onward.resume();
          }
        },
      });
      if (onTheWay >= windowBytes || client.writableLength >= windowBytes) {
        onward.pause();
      }
    });
    client.on('drain', () => onward.resume());
    onward.on('end', () =>
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
        clearInterval(ticks);
        sockets.forEach((socket) => socket.destroy());
        server.close(() => resolve());
      }),
  };
};
