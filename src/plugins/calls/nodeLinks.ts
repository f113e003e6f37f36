/**
 * Outbound connections to other nodes, for the calls that this node forwards. A connection starts
 * as an HTTP/1.1 request for an upgrade to the protocol of `linkFrames.ts`; the first call is sent
 * together with it. A connection carries one call at a time, so that a slow response delays no
 * other call, and is kept when a call is cancelled.
 */
import { connect, type Socket } from 'node:net';
import type { RequestBody } from '../../types/calls.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { parseAddress } from '../rpc.js';
import { createFrameReader, encodeFrame, maxFrameBodyBytes, type Frame } from './linkFrames.js';

/** Name of the protocol in the `upgrade` header. It has to change when the frame format changes. */
export const linkProtocol = 'auburnsill-calls-1';
/** Maximum number of calls that a node has in flight to another node. */
export const connectionsPerNode = 8;
const connectTimeoutMs = 1_000;
/**
 * Idle time after which a connection is closed, in ms. Between two nodes with a call every two
 * seconds, most calls find an open connection.
 */
const idleTimeoutMs = 15_000;
/** Time within which the other node has to confirm a cancellation, in ms. */
const cancelTimeoutMs = 2_000;
/**
 * Minimum age in ms at which a connection may be retired, so that the connections to a node that is
 * only slow are not replaced at each timeout.
 */
const minRetireAgeMs = 1_000;
const maxUpgradeHeadBytes = 4 * 1_024;
const headEnd = Buffer.from('\r\n\r\n');
const upgradeAccepted = /^HTTP\/1\.1 101 /;

/** Receives the events of a call on a connection; `onFrame` gets the frames of the response. */
export interface LinkListener {
  /** Returns false to pause the response until `resume`. */
  onFrame(frame: Frame): boolean;
  /** The connection closed before the response was complete. */
  onClosed(detail: string): void;
}

export interface LinkCall {
  readonly head: unknown;
  readonly body: RequestBody;
}

export interface LinkExchange {
  /** Frees the connection for another call after a complete response. */
  release(): void;
  /** Cancels the call, and keeps the connection if the other node confirms that in time. */
  cancel(): void;
  /** Abandons the call and closes its connection. */
  destroy(): void;
  resume(): void;
  /** True once the other node may have read a byte of the call. */
  isSent(): boolean;
}

export interface NodeLinks {
  /** Sends a call on an idle connection to the address, or on a new one. */
  send(address: string, call: LinkCall, listener: LinkListener): LinkExchange;
  /** Retires the connections to the address: later calls get new ones, calls in flight finish. */
  retire(address: string): void;
  /** Closes the connections that have exceeded the idle timeout. */
  closeIdle(): void;
  destroy(): void;
}

interface Link {
  readonly socket: Socket;
  readonly address: string;
  readonly openedAt: number;
  lastUsedAt: number;
  /** The other node has accepted the upgrade. */
  isUpgraded: boolean;
  /** The other node has refused the upgrade, so it ran nothing. */
  isRefused: boolean;
  isConnected: boolean;
  /** Takes no further calls and closes after the current one. */
  isRetired: boolean;
  current: LinkListener | undefined;
}

export interface NodeLinksOptions {
  readonly timer: Timer;
  /** Value of the authorization header between nodes. */
  readonly authorization: string;
}

/** Creates the connection pool of a node for the forward addresses of other nodes. */
export const createNodeLinks = ({ timer, authorization }: NodeLinksOptions): NodeLinks => {
  const links = new Set<Link>();
  const idle = new Map<string, Link[]>();

  const takeIdle = (address: string): Link | undefined => {
    const idleLinks = idle.get(address) ?? [];
    let link = idleLinks.pop();
    // A connection that has just broken is still listed here until its close event.
    while (link?.socket.destroyed) {
      link = idleLinks.pop();
    }
    if (idleLinks.length === 0) {
      idle.delete(address);
    }
    return link;
  };

  const removeIdle = (link: Link) => {
    const rest = idle.get(link.address)?.filter((other) => other !== link) ?? [];
    if (rest.length > 0) {
      idle.set(link.address, rest);
    } else {
      idle.delete(link.address);
    }
  };

  const retireLink = (link: Link) => {
    link.isRetired = true;
    if (!link.current) {
      removeIdle(link);
      link.socket.destroySoon();
    }
  };

  const releaseLink = (link: Link) => {
    link.current = undefined;
    link.lastUsedAt = timer.now();
    if (link.socket.destroyed) {
      return;
    }
    link.socket.resume();
    if (link.isRetired) {
      link.socket.destroySoon();
      return;
    }
    const idleLinks = idle.get(link.address) ?? [];
    idleLinks.push(link);
    idle.set(link.address, idleLinks);
  };

  const onClose = (link: Link, detail: string) => {
    if (!links.delete(link)) {
      return;
    }
    removeIdle(link);
    const { current } = link;
    link.current = undefined;
    current?.onClosed(detail);
  };

  /** Reads the response to the upgrade. Returns the bytes that follow it, undefined until then. */
  const createUpgradeReader = (link: Link) => {
    let received = Buffer.alloc(0);
    return (chunk: Buffer): Buffer | undefined => {
      received = Buffer.concat([received, chunk]);
      const end = received.indexOf(headEnd);
      link.isRefused = end >= 0 && !upgradeAccepted.test(received.toString('latin1', 0, end));
      if (link.isRefused || (end < 0 && received.length > maxUpgradeHeadBytes)) {
        const [status = ''] = received.toString('latin1').split('\r\n');
        link.socket.destroy(
          new Error(`the node did not accept the upgrade: ${status.slice(0, 80)}`),
        );
        return undefined;
      }
      if (end < 0) {
        return undefined;
      }
      link.isUpgraded = true;
      return received.subarray(end + headEnd.length);
    };
  };

  const onFrame = (link: Link, frame: Frame) => {
    if (frame.kind === 'leaving') {
      retireLink(link);
      return;
    }
    if (!link.current) {
      // No response is due: this frame could be taken for the response to the next call.
      link.socket.destroy(new Error('received a frame without a call in flight'));
      return;
    }
    if (!link.current.onFrame(frame)) {
      link.socket.pause();
    }
  };

  const open = (address: string): Link => {
    const { host, port } = parseAddress(address) ?? { host: '', port: 0 };
    const now = timer.now();
    const link: Link = {
      socket: connect({ host, port, noDelay: true }),
      address,
      openedAt: now,
      lastUsedAt: now,
      isUpgraded: false,
      isRefused: false,
      isConnected: false,
      isRetired: false,
      current: undefined,
    };
    const { socket } = link;
    links.add(link);
    const reader = createFrameReader((frame) => onFrame(link, frame));
    const readUpgrade = createUpgradeReader(link);
    const clearConnectTimer = timer.after(connectTimeoutMs, () => {
      socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
    });
    socket.once('connect', () => {
      link.isConnected = true;
      clearConnectTimer();
    });
    socket.on('data', (chunk: Buffer) => {
      const bytes = link.isUpgraded ? chunk : readUpgrade(chunk);
      const problem = bytes && bytes.length > 0 ? reader.push(bytes) : undefined;
      if (problem !== undefined) {
        socket.destroy(new Error(problem));
      }
    });
    let detail = 'the connection was closed';
    socket.on('error', (error) => {
      detail = error.message;
    });
    // A node that has closed its side sends no more responses.
    socket.once('end', () => onClose(link, detail));
    socket.once('close', () => {
      clearConnectTimer();
      onClose(link, detail);
    });
    socket.write(
      `GET / HTTP/1.1\r\nhost: ${address}\r\nconnection: upgrade\r\nupgrade: ${linkProtocol}\r\n` +
        `authorization: ${authorization}\r\n\r\n`,
    );
    return link;
  };

  const write = ({ socket }: Link, buffers: readonly Buffer[]): boolean => {
    let canWriteMore = true;
    buffers.forEach((buffer) => {
      canWriteMore = socket.write(buffer);
    });
    return canWriteMore;
  };

  const waitForDrain = ({ socket }: Link): Promise<void> =>
    new Promise((resolve) => {
      const done = () => {
        socket.off('drain', done);
        socket.off('close', done);
        resolve();
      };
      socket.once('drain', done);
      socket.once('close', done);
    });

  /** Sends a body while it is read; `isActive` tells whether the call is still in progress. */
  const sendBody = async (
    link: Link,
    parts: AsyncIterable<Buffer>,
    isActive: () => boolean,
  ): Promise<void> => {
    for await (const part of parts) {
      for (let offset = 0; offset < part.length; offset += maxFrameBodyBytes) {
        if (!isActive()) {
          return;
        }
        const chunk = part.subarray(offset, offset + maxFrameBodyBytes);
        if (!write(link, encodeFrame('part', undefined, chunk))) {
          await waitForDrain(link);
        }
      }
    }
    if (isActive()) {
      write(link, encodeFrame('end'));
    }
  };

  const send: NodeLinks['send'] = (address, { head, body }, listener) => {
    const link = takeIdle(address) ?? open(address);
    const { socket } = link;
    let isOver = false;
    let isBodySent = body.kind !== 'stream';
    link.current = {
      ...listener,
      onClosed: (detail) => {
        isOver = true;
        listener.onClosed(detail);
      },
    };
    socket.cork();
    write(link, encodeFrame('call', head, body.kind === 'kept' ? body.bytes : undefined));
    process.nextTick(() => socket.uncork());
    if (body.kind === 'stream') {
      sendBody(link, body.parts, () => !isOver && !socket.destroyed).then(
        () => {
          isBodySent = true;
        },
        (error: unknown) => socket.destroy(error instanceof Error ? error : undefined),
      );
    }

    const destroy = () => {
      isOver = true;
      link.current = undefined;
      socket.destroy();
    };

    const cancel = () => {
      // The receiver could not distinguish the rest of this body from the body of the next call.
      if (isOver || !isBodySent || !link.isConnected) {
        destroy();
        return;
      }
      isOver = true;
      const clearCancelTimer: Cancel = timer.after(cancelTimeoutMs, () => socket.destroy());
      const onCancelled = () => {
        clearCancelTimer();
        releaseLink(link);
      };
      link.current = {
        onFrame: ({ kind }) => {
          // Frames of a response that was already on its way are discarded.
          if (kind === 'cancelled') {
            onCancelled();
          }
          return true;
        },
        onClosed: clearCancelTimer,
      };
      socket.resume();
      write(link, encodeFrame('cancel'));
    };

    return {
      release: () => {
        isOver = true;
        if (isBodySent) {
          releaseLink(link);
        } else {
          destroy();
        }
      },
      cancel,
      destroy,
      resume: () => socket.resume(),
      isSent: () => link.isConnected && !link.isRefused,
    };
  };

  const retire: NodeLinks['retire'] = (address) => {
    const now = timer.now();
    [...links]
      .filter((link) => link.address === address && now - link.openedAt >= minRetireAgeMs)
      .forEach(retireLink);
  };

  const closeIdle = () => {
    const now = timer.now();
    [...idle.values()]
      .flat()
      .filter(({ lastUsedAt }) => now - lastUsedAt > idleTimeoutMs)
      .forEach(retireLink);
  };

  return {
    send,
    retire,
    closeIdle,
    destroy: () => [...links].forEach(({ socket }) => socket.destroy()),
  };
};
