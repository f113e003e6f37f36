/**
 * Frames on a connection between two nodes. A frame has a kind, a head in JSON and a body of bytes.
 * The built-in JSON is used because nodes run this code a few times a second, where generated
 * decoders stay in the interpreter and cost several times as much.
 */

/** Kinds of frame; their place in the list is their number on the wire. */
const kinds = [
  /** From the sender of calls: a call with its head, and its body if that is whole. */
  'call',
  /** A part of the body of a call or of an answer. */
  'part',
  /** The body is whole. */
  'end',
  /** The sender has no more use for the answer. */
  'cancel',
  /** Head of an answer and the first part of its body. */
  'answer',
  /** The call gets no answer; the head says why and whether it may have run. */
  'refusal',
  /** The call was cancelled; the connection can carry another one. */
  'cancelled',
  /** The receiver is about to stop: the sender should open no more calls on this connection. */
  'leaving',
] as const;

export type FrameKind = (typeof kinds)[number];

export interface Frame {
  readonly kind: FrameKind;
  readonly head: unknown;
  readonly body: Buffer;
}

const prefixBytes = 9;
/** Heads carry the headers of a request or an answer, 32 KiB at most, escaped as JSON. */
const maxHeadBytes = 128 * 1_024;
/** Larger bodies are sent in parts. */
export const maxFrameBodyBytes = 256 * 1_024;
/** Bodies up to this size are copied behind their head, so that both are one write. */
const copiedBodyBytes = 8 * 1_024;

const noBody = Buffer.alloc(0);

/** Encodes a frame as buffers to be written in order. */
export const encodeFrame = (kind: FrameKind, head?: unknown, body: Buffer = noBody): Buffer[] => {
  const headText = head === undefined ? '' : JSON.stringify(head);
  const headBytes = Buffer.byteLength(headText);
  const isCopied = body.length <= copiedBodyBytes;
  const start = Buffer.allocUnsafe(prefixBytes + headBytes + (isCopied ? body.length : 0));
  start.writeUInt32BE(headBytes, 0);
  start.writeUInt32BE(body.length, 4);
  start.writeUInt8(kinds.indexOf(kind), 8);
  start.write(headText, prefixBytes);
  if (isCopied) {
    body.copy(start, prefixBytes + headBytes);
    return [start];
  }
  return [start, body];
};

export interface FrameReader {
  /** Takes bytes as they arrive. Returns what is wrong with them, or undefined. */
  push(chunk: Buffer): string | undefined;
}

const parseHead = (bytes: Buffer): unknown => {
  try {
    return bytes.length === 0 ? undefined : JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
};

/** Creates a reader that hands each whole frame to `onFrame`. */
export const createFrameReader = (onFrame: (frame: Frame) => void): FrameReader => {
  let held: Buffer[] = [];
  let heldBytes = 0;
  /** Bytes of the frame that is being read, as far as they are known. */
  let neededBytes = prefixBytes;

  const takeHeld = (): Buffer => {
    const bytes = held.length === 1 ? held[0]! : Buffer.concat(held);
    held = [];
    heldBytes = 0;
    return bytes;
  };

  const hold = (bytes: Buffer) => {
    if (bytes.length > 0) {
      held.push(bytes);
      heldBytes += bytes.length;
    }
  };

  return {
    push: (chunk) => {
      hold(chunk);
      while (heldBytes >= neededBytes) {
        const bytes = takeHeld();
        const headBytes = bytes.readUInt32BE(0);
        const bodyBytes = bytes.readUInt32BE(4);
        const kind = kinds[bytes.readUInt8(8)];
        if (kind === undefined || headBytes > maxHeadBytes || bodyBytes > maxFrameBodyBytes) {
          return 'malformed frame';
        }
        const headEnd = prefixBytes + headBytes;
        const frameBytes = headEnd + bodyBytes;
        if (bytes.length < frameBytes) {
          hold(bytes);
          neededBytes = frameBytes;
          return undefined;
        }
        hold(bytes.subarray(frameBytes));
        neededBytes = prefixBytes;
        onFrame({
          kind,
          head: parseHead(bytes.subarray(prefixBytes, headEnd)),
          body: bytes.subarray(headEnd, frameBytes),
        });
      }
      return undefined;
    },
  };
};
