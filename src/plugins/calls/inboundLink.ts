/**
 * The receiving side of a connection between two nodes: takes one call at a time and writes its
 * answer, see `linkFrames.ts`.
 */
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import { Readable } from 'node:stream';
import type { ResponseHead, RequestBody } from '../../types/calls.js';
import type { ResponseTarget } from './callResponses.js';
import { createFrameReader, encodeFrame, maxFrameBodyBytes, type Frame } from './linkFrames.js';

/** Bytes of a request's body that wait for the upstream before the connection is paused. */
const heldBodyBytes = 64 * 1_024;

/** Answer to a call on the connection. */
export interface LinkAnswer extends ResponseTarget {
  /** Says that the call gets no answer, or breaks an answer that was begun. */
  refuse(refusalHead: unknown): void;
}

export interface ReceivedCall {
  readonly head: unknown;
  readonly body: RequestBody;
  readonly answer: LinkAnswer;
}

export interface InboundLinkOptions {
  readonly socket: Socket;
  /** Time after which an idle connection, or one whose peer takes nothing, is closed, in ms. */
  readonly inactivityTimeoutMs: number;
  /** Takes a call. What it returns is called if the sender gives the call up. */
  readonly onCall: (call: ReceivedCall) => () => void;
  /** A call has begun, or the last one has ended. */
  readonly onBusy: (isBusy: boolean) => void;
  readonly onMalformed: (detail: string) => void;
}

export interface InboundLink {
  /** Takes the bytes that came with the request for the connection. */
  push(bytes: Buffer): void;
  /** Asks the sender to open no more calls on the connection. */
  drain(): void;
}

interface Current {
  readonly body: Readable | undefined;
  readonly answer: LinkAnswer;
  onLeft: (() => void) | undefined;
  /** Ends the answer without a word to its sender. */
  drop(): void;
}

/** Creates the receiving side on a socket. */
export const createInboundLink = (options: InboundLinkOptions): InboundLink => {
  const { socket } = options;
  let current: Current | undefined;
  let isCorked = false;

  const write = (
    kind: Parameters<typeof encodeFrame>[0],
    head?: unknown,
    body?: Buffer,
  ): boolean => {
    if (!isCorked) {
      // The parts of a small answer come in one turn and leave in one packet.
      isCorked = true;
      socket.cork();
      process.nextTick(() => {
        isCorked = false;
        socket.uncork();
      });
    }
    let isTaken = true;
    encodeFrame(kind, head, body).forEach((buffer) => {
      isTaken = socket.write(buffer);
    });
    return isTaken;
  };

  const createAnswer = (onOver: () => void): { answer: LinkAnswer; drop: () => void } => {
    const events = new EventEmitter();
    let answerHead: ResponseHead | undefined;
    let isBegun = false;
    let isOver = false;
    const onDrain = () => events.emit('drain');

    const drop = () => {
      if (!isOver) {
        isOver = true;
        socket.off('drain', onDrain);
        events.emit('close');
        onOver();
      }
    };

    const begin = (body?: Buffer): boolean => {
      isBegun = true;
      return write('answer', answerHead, body);
    };

    const writePiece = (piece: Buffer) =>
      isBegun ? write('part', undefined, piece) : begin(piece);

    const writeBody = (chunk: Buffer): boolean => {
      let isTaken = true;
      for (let from = 0; from < chunk.length; from += maxFrameBodyBytes) {
        isTaken = writePiece(chunk.subarray(from, from + maxFrameBodyBytes));
      }
      return isTaken;
    };

    socket.on('drain', onDrain);
    const answer: LinkAnswer = {
      get destroyed() {
        return isOver || socket.destroyed;
      },
      get writableNeedDrain() {
        return socket.writableNeedDrain;
      },
      once: (event, listener) => events.once(event, listener),
      writeResponseHead: ({ status, headers, isStarved }, extraHeaders) => {
        // Names are read from the front, so that an upstream's own headers can't replace these.
        answerHead = { status, headers: [...extraHeaders, ...headers], isStarved };
      },
      flushHeaders: () => {
        if (!isBegun && !isOver) {
          begin();
        }
      },
      write: (chunk) => isOver || writeBody(chunk),
      end: (chunk) => {
        if (isOver) {
          return;
        }
        if (chunk) {
          writeBody(chunk);
        }
        if (!isBegun) {
          begin();
        }
        write('end');
        drop();
      },
      destroy: () => {
        socket.destroy();
      },
      refuse: (refusalHead) => {
        if (isOver) {
          return;
        }
        if (isBegun) {
          socket.destroy();
          return;
        }
        write('refusal', refusalHead);
        drop();
      },
    };
    return { answer, drop };
  };

  const bodyStream = () =>
    new Readable({ highWaterMark: heldBodyBytes, read: () => socket.resume() });

  const takeCall = ({ head, body }: Frame) => {
    const isStreamed = (head as { bodyKind?: unknown } | undefined)?.bodyKind === 'stream';
    const stream = isStreamed ? bodyStream() : undefined;
    // An upstream that does not want the rest of a body leaves its stream broken, not the process.
    stream?.on('error', () => undefined);
    const { answer, drop } = createAnswer(() => {
      current = undefined;
      stream?.destroy();
      // What is left of the body goes unread, but not the frames that follow it.
      socket.resume();
      options.onBusy(false);
    });
    const call: Current = { body: stream, answer, onLeft: undefined, drop };
    current = call;
    options.onBusy(true);
    const received = body.length > 0 ? ({ kind: 'kept', bytes: body } as const) : undefined;
    call.onLeft = options.onCall({
      head,
      body: stream ? { kind: 'stream', parts: stream } : (received ?? { kind: 'none' }),
      answer,
    });
  };

  const giveUp = () => {
    const call = current;
    call?.body?.destroy();
    call?.onLeft?.();
    call?.drop();
  };

  const malformed = (detail: string) => {
    options.onMalformed(detail);
    socket.destroy();
  };

  const handlers: Partial<Record<Frame['kind'], (frame: Frame) => void>> = {
    call: (frame) =>
      current ? malformed('a call before the end of another one') : takeCall(frame),
    part: ({ body }) => {
      if (current?.body && !current.body.push(body)) {
        socket.pause();
      }
    },
    end: () => current?.body?.push(null),
    cancel: () => {
      giveUp();
      write('cancelled');
    },
  };

  const reader = createFrameReader((frame) => {
    const handle = handlers[frame.kind];
    if (handle) {
      handle(frame);
    } else {
      malformed(`a frame of kind ${frame.kind} from the sender of calls`);
    }
  });

  const push = (bytes: Buffer) => {
    const wrong = reader.push(bytes);
    if (wrong !== undefined) {
      malformed(wrong);
    }
  };

  socket.on('data', push);
  socket.on('error', giveUp);
  socket.once('end', () => {
    giveUp();
    socket.destroy();
  });
  socket.once('close', giveUp);
  socket.setTimeout(options.inactivityTimeoutMs, () => {
    // A call that waits for its answer is bounded by its deadline instead.
    if (!current || socket.writableLength > 0) {
      socket.destroy();
    }
  });

  return {
    push,
    drain: () => {
      if (!socket.destroyed) {
        write('leaving');
      }
    },
  };
};
