/**
 * Frames of the protocol between two nodes. A frame consists of a kind, a head in JSON and a binary
 * body. Heads use the built-in JSON because a node runs this code only a few times a second:
 * generated decoders stay in the interpreter at that rate and cost several times as much.
 */

/** Kinds of frame; the index in this list is the number on the wire. */
const frameKinds = [
  /** From the sending node: the head of a call, with the body unless that follows in parts. */
  'call',
  /** A part of the body of a call or of a response. */
  'part',
  /** The body is complete. */
  'end',
  /** The sending node no longer needs the response. */
  'cancel',
  /** Head of a response and the first part of its body. */
  'answer',
  /** The call failed without a response; the head gives the reason and whether it may have run. */
  'refusal',
  /** Confirms a cancellation; the connection can carry another call. */
  'cancelled',
  /** The receiving node is stopping: the sender should start no more calls on this connection. */
  'leaving',
] as const;

export type FrameKind = (typeof frameKinds)[number];

export interface Frame {
  readonly kind: FrameKind;
  readonly head: unknown;
  readonly body: Buffer;
}

const prefixBytes = 9;
/** Heads carry the headers of a request or a response, 32 KiB at most before JSON escaping. */
const maxHeadBytes = 128 * 1_024;
/** Larger bodies are split into several frames. */
export const maxFrameBodyBytes = 256 * 1_024;
/** Bodies up to this size are copied behind their head, so that one write sends both. */
const maxCopiedBodyBytes = 8 * 1_024;

const noBody = Buffer.alloc(0);

/** Encodes a frame as buffers, which have to be written in order. */
export const encodeFrame = (kind: FrameKind, head?: unknown, body: Buffer = noBody): Buffer[] => {
  const headText = head === undefined ? '' : JSON.stringify(head);
  const headBytes = Buffer.byteLength(headText);
  const isCopied = body.length <= maxCopiedBodyBytes;
  const buffer = Buffer.allocUnsafe(prefixBytes + headBytes + (isCopied ? body.length : 0));
  buffer.writeUInt32BE(headBytes, 0);
  buffer.writeUInt32BE(body.length, 4);
  buffer.writeUInt8(frameKinds.indexOf(kind), 8);
  buffer.write(headText, prefixBytes);
  if (isCopied) {
    body.copy(buffer, prefixBytes + headBytes);
    return [buffer];
  }
  return [buffer, body];
};

export interface FrameReader {
  /** Reads bytes as they arrive. Returns a description of the error if they are malformed. */
  push(chunk: Buffer): string | undefined;
}

const parseHead = (bytes: Buffer): unknown => {
  try {
    return bytes.length === 0 ? undefined : JSON.parse(bytes.toString());
  } catch {
    return undefined;
  }
};

/** Creates a reader that passes each complete frame to `onFrame`. */
export const createFrameReader = (onFrame: (frame: Frame) => void): FrameReader => {
  let chunks: Buffer[] = [];
  let bufferedBytes = 0;
  /** Size of the current frame: that of its prefix until the prefix has been read. */
  let neededBytes = prefixBytes;

  const takeBuffered = (): Buffer => {
    const bytes = chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
    chunks = [];
    bufferedBytes = 0;
    return bytes;
  };

  const append = (bytes: Buffer) => {
    if (bytes.length > 0) {
      chunks.push(bytes);
      bufferedBytes += bytes.length;
    }
  };

  return {
    push: (chunk) => {
      append(chunk);
      while (bufferedBytes >= neededBytes) {
        const bytes = takeBuffered();
        const headBytes = bytes.readUInt32BE(0);
        const bodyBytes = bytes.readUInt32BE(4);
        const kind = frameKinds[bytes.readUInt8(8)];
        if (kind === undefined || headBytes > maxHeadBytes || bodyBytes > maxFrameBodyBytes) {
          return 'malformed frame';
        }
        const headEnd = prefixBytes + headBytes;
        const frameBytes = headEnd + bodyBytes;
        if (bytes.length < frameBytes) {
          append(bytes);
          neededBytes = frameBytes;
          return undefined;
        }
        append(bytes.subarray(frameBytes));
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
