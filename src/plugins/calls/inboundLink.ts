/**
 * The receiving side of a connection between two nodes: reads one call at a time and writes its
 * response in the protocol of `linkFrames.ts`.
 */
import { EventEmitter } from 'node:events';
import type { Socket } from 'node:net';
import type { ResponseHead, RequestBody } from '../../types/calls.js';
import { createBodyBuffer, type BodyBudget, type BodyBuffer } from './bodyBuffer.js';
import type { ResponseTarget } from './callResponses.js';
import { createFrameReader, encodeFrame, maxFrameBodyBytes, type Frame } from './linkFrames.js';

/** Response to a call on the connection. */
export interface LinkResponse extends ResponseTarget {
  /** Sends a refusal instead of a response; closes the connection if a response was begun. */
  refuse(refusalHead: unknown): void;
}

export interface ReceivedCall {
  readonly head: unknown;
  readonly body: RequestBody;
  readonly answer: LinkResponse;
}

export interface InboundLinkOptions {
  readonly socket: Socket;
  /**
   * Time without traffic, in ms, after which a connection is closed if it carries no call or its
   * peer does not read.
   */
  readonly inactivityTimeoutMs: number;
  readonly bodyBudget: BodyBudget;
  /** Handles a call. The function that it returns is called if the sender cancels the call. */
  readonly onCall: (call: ReceivedCall) => () => void;
  /** Called with true when a call begins and with false when it ends. */
  readonly onBusy: (isBusy: boolean) => void;
  readonly onMalformed: (detail: string) => void;
}

export interface InboundLink {
  /** Reads the bytes that arrived together with the upgrade request. */
  push(bytes: Buffer): void;
  /** Asks the sender to start no more calls on the connection. */
  drain(): void;
}

interface CurrentCall {
  readonly body: BodyBuffer | undefined;
  readonly answer: LinkResponse;
  onCancel: (() => void) | undefined;
  /** Ends the response without notifying the sending node. */
  close(): void;
}

/** Creates the receiving side of a connection on its socket. */
export const createInboundLink = (options: InboundLinkOptions): InboundLink => {
  const { socket } = options;
  let current: CurrentCall | undefined;
  let isCorked = false;

  const write = (
    kind: Parameters<typeof encodeFrame>[0],
    head?: unknown,
    body?: Buffer,
  ): boolean => {
    if (!isCorked) {
      // The frames of a small response are written in one turn and leave in one packet.
      isCorked = true;
      socket.cork();
      process.nextTick(() => {
        isCorked = false;
        socket.uncork();
      });
    }
    let canWriteMore = true;
    encodeFrame(kind, head, body).forEach((buffer) => {
      canWriteMore = socket.write(buffer);
    });
    return canWriteMore;
  };

  const createResponse = (onFinished: () => void): { answer: LinkResponse; close: () => void } => {
    const events = new EventEmitter();
    let responseHead: ResponseHead | undefined;
    let isHeadWritten = false;
    let isOver = false;
    const onDrain = () => events.emit('drain');

    const close = () => {
      if (!isOver) {
        isOver = true;
        socket.off('drain', onDrain);
        events.emit('close');
        onFinished();
      }
    };

    const writeHead = (body?: Buffer): boolean => {
      isHeadWritten = true;
      return write('answer', responseHead, body);
    };

    const writePart = (part: Buffer) =>
      isHeadWritten ? write('part', undefined, part) : writeHead(part);

    const writeBody = (chunk: Buffer): boolean => {
      let canWriteMore = true;
      for (let offset = 0; offset < chunk.length; offset += maxFrameBodyBytes) {
        canWriteMore = writePart(chunk.subarray(offset, offset + maxFrameBodyBytes));
      }
      return canWriteMore;
    };

    socket.on('drain', onDrain);
    const response: LinkResponse = {
      get destroyed() {
        return isOver || socket.destroyed;
      },
      get writableNeedDrain() {
        return socket.writableNeedDrain;
      },
      once: (event, listener) => events.once(event, listener),
      writeResponseHead: ({ status, headers, isStarved, processedMs, shortage }, extraHeaders) => {
        // The first header of a name counts, so that headers of the upstream cannot replace these.
        responseHead = {
          status,
          headers: [...extraHeaders, ...headers],
          isStarved,
          processedMs,
          shortage,
        };
      },
      flushHeaders: () => {
        if (!isHeadWritten && !isOver) {
          writeHead();
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
        if (!isHeadWritten) {
          writeHead();
        }
        write('end');
        close();
      },
      destroy: () => {
        socket.destroy();
      },
      refuse: (refusalHead) => {
        if (isOver) {
          return;
        }
        if (isHeadWritten) {
          socket.destroy();
          return;
        }
        write('refusal', refusalHead);
        close();
      },
    };
    return { answer: response, close };
  };

  const startCall = ({ head, body }: Frame) => {
    const isStreamed = (head as { bodyKind?: unknown } | undefined)?.bodyKind === 'stream';
    const stream = isStreamed
      ? createBodyBuffer(options.bodyBudget, () => socket.resume())
      : undefined;
    const { answer: response, close } = createResponse(() => {
      current = undefined;
      stream?.destroy(new Error('the call is over'));
      // The rest of the body is discarded, but the frames that follow it have to be read.
      socket.resume();
      options.onBusy(false);
    });
    const call: CurrentCall = { body: stream, answer: response, onCancel: undefined, close };
    current = call;
    options.onBusy(true);
    const completeBody = body.length > 0 ? ({ kind: 'kept', bytes: body } as const) : undefined;
    call.onCancel = options.onCall({
      head,
      body: stream ? { kind: 'stream', parts: stream.parts } : (completeBody ?? { kind: 'none' }),
      answer: response,
    });
  };

  const cancelCurrent = () => {
    const call = current;
    call?.body?.destroy(new Error('the call was cancelled'));
    call?.onCancel?.();
    call?.close();
  };

  const rejectMalformed = (detail: string) => {
    options.onMalformed(detail);
    socket.destroy();
  };

  const handlers: Partial<Record<Frame['kind'], (frame: Frame) => void>> = {
    call: (frame) =>
      current
        ? rejectMalformed('a call frame while another call is in progress')
        : startCall(frame),
    part: ({ body }) => {
      if (current?.body && !current.body.push(body)) {
        socket.pause();
      }
    },
    end: () => current?.body?.end(),
    cancel: () => {
      cancelCurrent();
      write('cancelled');
    },
  };

  const reader = createFrameReader((frame) => {
    const handle = handlers[frame.kind];
    if (handle) {
      handle(frame);
    } else {
      rejectMalformed(`unexpected frame of kind ${frame.kind} from the sending node`);
    }
  });

  const push = (bytes: Buffer) => {
    const problem = reader.push(bytes);
    if (problem !== undefined) {
      rejectMalformed(problem);
    }
  };

  socket.on('data', push);
  socket.on('error', cancelCurrent);
  socket.once('end', () => {
    cancelCurrent();
    socket.destroy();
  });
  socket.once('close', cancelCurrent);
  socket.setTimeout(options.inactivityTimeoutMs, () => {
    // A call in progress is bounded by its deadline instead.
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
