/**
 * Connections to other nodes, for the calls that this node forwards. A connection starts as an
 * HTTP/1.1 request that asks for the protocol of `linkFrames.ts`; the first call is sent along
 * with it. A connection carries one call at a time, so that a slow answer holds up no other one,
 * and outlives a call that is cancelled.
 */
import { connect, type Socket } from 'node:net';
import type { RequestBody } from '../../types/calls.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import { parseAddress } from '../rpc.js';
import { createFrameReader, encodeFrame, maxFrameBodyBytes, type Frame } from './linkFrames.js';

/** Name of the protocol in the `upgrade` header; it changes with the form of the frames. */
export const linkProtocol = 'auburnsill-calls-1';
/** Calls that a node has under way to another node at a time. */
export const connectionsPerNode = 8;
const connectTimeoutMs = 1_000;
/**
 * Idle time after which a connection is closed, in ms. At a call every two seconds between a pair
 * of nodes most calls find an open connection.
 */
const idleMs = 15_000;
/** Time within which a node confirms that it has cancelled a call, in ms. */
const cancelLimitMs = 2_000;
/** A node that is only slow must not have its connections replaced at each timeout, in ms. */
const minRenewalMs = 1_000;
const maxUpgradeHeadBytes = 4 * 1_024;
const headEnd = Buffer.from('\r\n\r\n');
const upgradeAnswer = /^HTTP\/1\.1 101 /;

/** What a connection reports of the call that it carries; `onFrame` gets the frames of its answer. */
export interface LinkListener {
  /** Returns false to pause the answer until `resume`. */
  onFrame(frame: Frame): boolean;
  /** The connection ended before the answer did. */
  onClosed(detail: string): void;
}

export interface LinkCall {
  readonly head: unknown;
  readonly body: RequestBody;
}

export interface LinkExchange {
  /** The answer is whole: the connection is free for another call. */
  release(): void;
  /** Gives the call up and keeps the connection if the other node confirms that in time. */
  cancel(): void;
  /** Gives the call and its connection up. */
  destroy(): void;
  resume(): void;
  /** True once the other node may have read a byte of the call. */
  isSent(): boolean;
}

export interface NodeLinks {
  /** Sends a call on an idle connection to the address, or on a new one. */
  send(address: string, call: LinkCall, listener: LinkListener): LinkExchange;
  /** Gives later calls fresh connections; calls in flight finish on the old ones. */
  retire(address: string): void;
  /** Closes the connections that were idle for a while. */
  closeIdle(): void;
  destroy(): void;
}

interface Link {
  readonly socket: Socket;
  readonly address: string;
  readonly openedAt: number;
  usedAt: number;
  /** The other node has agreed to the protocol. */
  isUpgraded: boolean;
  /** The other node has answered that it does not speak the protocol, so it ran nothing. */
  isRefused: boolean;
  isConnected: boolean;
  /** Carries no further call. */
  isRetired: boolean;
  current: LinkListener | undefined;
}

export interface NodeLinksOptions {
  readonly timer: Timer;
  /** Value of the authorization header between nodes. */
  readonly authorization: string;
}

/** Creates the connections of a node to the forward addresses of other nodes. */
export const createNodeLinks = ({ timer, authorization }: NodeLinksOptions): NodeLinks => {
  const links = new Set<Link>();
  const idle = new Map<string, Link[]>();

  const takeIdle = (address: string): Link | undefined => {
    const known = idle.get(address) ?? [];
    let link = known.pop();
    // The close event of a connection that has just broken is still to come.
    while (link?.socket.destroyed) {
      link = known.pop();
    }
    if (known.length === 0) {
      idle.delete(address);
    }
    return link;
  };

  const forgetIdle = (link: Link) => {
    const rest = idle.get(link.address)?.filter((other) => other !== link) ?? [];
    if (rest.length > 0) {
      idle.set(link.address, rest);
    } else {
      idle.delete(link.address);
    }
  };

  const retire = (link: Link) => {
    link.isRetired = true;
    if (!link.current) {
      forgetIdle(link);
      link.socket.destroySoon();
    }
  };

  const setFree = (link: Link) => {
    link.current = undefined;
    link.usedAt = timer.now();
    if (link.socket.destroyed) {
      return;
    }
    link.socket.resume();
    if (link.isRetired) {
      link.socket.destroySoon();
      return;
    }
    const known = idle.get(link.address) ?? [];
    known.push(link);
    idle.set(link.address, known);
  };

  const onClose = (link: Link, detail: string) => {
    if (!links.delete(link)) {
      return;
    }
    forgetIdle(link);
    const { current } = link;
    link.current = undefined;
    current?.onClosed(detail);
  };

  /** Finds the end of the answer to the upgrade; returns what follows it, undefined before it. */
  const createUpgradeReader = (link: Link) => {
    let text = Buffer.alloc(0);
    return (chunk: Buffer): Buffer | undefined => {
      text = Buffer.concat([text, chunk]);
      const end = text.indexOf(headEnd);
      link.isRefused = end >= 0 && !upgradeAnswer.test(text.toString('latin1', 0, end));
      if (link.isRefused || (end < 0 && text.length > maxUpgradeHeadBytes)) {
        const [status = ''] = text.toString('latin1').split('\r\n');
        link.socket.destroy(new Error(`the node does not take calls: ${status.slice(0, 80)}`));
        return undefined;
      }
      if (end < 0) {
        return undefined;
      }
      link.isUpgraded = true;
      return text.subarray(end + headEnd.length);
    };
  };

  const onFrame = (link: Link, frame: Frame) => {
    if (frame.kind === 'leaving') {
      retire(link);
      return;
    }
    if (!link.current) {
      // Nothing is due: whatever follows could be taken for the answer to the next call.
      link.socket.destroy(new Error('a frame that belongs to no call'));
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
      usedAt: now,
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
    const cancelConnect = timer.after(connectTimeoutMs, () => {
      socket.destroy(new Error(`no connection within ${connectTimeoutMs} ms`));
    });
    socket.once('connect', () => {
      link.isConnected = true;
      cancelConnect();
    });
    socket.on('data', (chunk: Buffer) => {
      const bytes = link.isUpgraded ? chunk : readUpgrade(chunk);
      const malformed = bytes && bytes.length > 0 ? reader.push(bytes) : undefined;
      if (malformed !== undefined) {
        socket.destroy(new Error(malformed));
      }
    });
    let detail = 'the connection ended';
    socket.on('error', (error) => {
      detail = error.message;
    });
    // A node that has closed its side sends no answer any more.
    socket.once('end', () => onClose(link, detail));
    socket.once('close', () => {
      cancelConnect();
      onClose(link, detail);
    });
    socket.write(
      `GET / HTTP/1.1\r\nhost: ${address}\r\nconnection: upgrade\r\nupgrade: ${linkProtocol}\r\n` +
        `authorization: ${authorization}\r\n\r\n`,
    );
    return link;
  };

  const write = ({ socket }: Link, buffers: readonly Buffer[]): boolean => {
    let isTaken = true;
    buffers.forEach((buffer) => {
      isTaken = socket.write(buffer);
    });
    return isTaken;
  };

  const untilDrained = ({ socket }: Link): Promise<void> =>
    new Promise((resolve) => {
      const done = () => {
        socket.off('drain', done);
        socket.off('close', done);
        resolve();
      };
      socket.once('drain', done);
      socket.once('close', done);
    });

  /** Sends a body as it is read; `isWanted` tells whether the call still goes on. */
  const sendParts = async (
    link: Link,
    parts: AsyncIterable<Buffer>,
    isWanted: () => boolean,
  ): Promise<void> => {
    for await (const part of parts) {
      for (let from = 0; from < part.length; from += maxFrameBodyBytes) {
        if (!isWanted()) {
          return;
        }
        const piece = part.subarray(from, from + maxFrameBodyBytes);
        if (!write(link, encodeFrame('part', undefined, piece))) {
          await untilDrained(link);
        }
      }
    }
    if (isWanted()) {
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
      sendParts(link, body.parts, () => !isOver && !socket.destroyed).then(
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
      // The rest of a body could not be told from that of the next call.
      if (isOver || !isBodySent || !link.isConnected) {
        destroy();
        return;
      }
      isOver = true;
      const cancelLimit: Cancel = timer.after(cancelLimitMs, () => socket.destroy());
      const settle = () => {
        cancelLimit();
        setFree(link);
      };
      link.current = {
        onFrame: ({ kind }) => {
          // An answer that was under way when the call was cancelled goes unread.
          if (kind === 'cancelled') {
            settle();
          }
          return true;
        },
        onClosed: cancelLimit,
      };
      socket.resume();
      write(link, encodeFrame('cancel'));
    };

    return {
      release: () => {
        isOver = true;
        if (isBodySent) {
          setFree(link);
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

  const renew: NodeLinks['retire'] = (address) => {
    const now = timer.now();
    [...links]
      .filter((link) => link.address === address && now - link.openedAt >= minRenewalMs)
      .forEach(retire);
  };

  const closeUnused = () => {
    const now = timer.now();
    [...idle.values()]
      .flat()
      .filter(({ usedAt }) => now - usedAt > idleMs)
      .forEach(retire);
  };

  return {
    send,
    retire: renew,
    closeIdle: closeUnused,
    destroy: () => [...links].forEach(({ socket }) => socket.destroy()),
  };
};
