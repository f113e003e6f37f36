/**
 * Writes answers of upstreams to the peers of a node. On a link whose rate is known, the answers of
 * all servers of the node share one pacing, see `core/calls/linkPacing.ts`.
 */
import type { ServerResponse } from 'node:http';
import { createLinkPacer, type LinkPacer } from '../../core/calls/linkPacer.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import {
  createResponseWriter,
  createServerResponseTarget,
  type ResponseTarget,
  type ResponseWriter,
} from './callResponses.js';
import { findHeader } from './callHeaders.js';

/** Answers up to this size are small, and so is the start of an answer of unknown size, in bytes. */
const smallBytes = 16 * 1_024;
/**
 * Bytes of an answer that wait before its upstream is paused, and before it goes on. An upstream
 * that is paused keeps its slot, so most large answers have to fit.
 */
const pauseAboveBytes = 256 * 1_024;
const resumeBelowBytes = 128 * 1_024;
/** Bytes of an answer that wait at most: beyond it an upstream that cannot be paused sets the rate. */
const maxWaitingBytes = 1_024 * 1_024;

export interface ResponseWriters {
  /** Creates the writer of an answer to another node. */
  toNode(target: ResponseTarget): ResponseWriter;
  /** Creates the writer of an answer to a peer that may be on the same machine. */
  toPeer(response: ServerResponse): ResponseWriter;
}

/** Part of an answer that waits for its turns on the link. */
interface PacedAnswer {
  part: ResponseWriter['part'];
  end(): void;
  /** Sends bytes that wait. */
  send(bytes: number): void;
}

interface PacedAnswerOptions {
  readonly target: ResponseTarget;
  readonly id: number;
  readonly pacing: LinkPacer;
  readonly timer: Timer;
  /** Sends the pieces that are due. */
  readonly pump: () => void;
}

const createPacedAnswer = (options: PacedAnswerOptions): PacedAnswer => {
  const { target, id, pacing, timer, pump } = options;
  let waiting: Buffer[] = [];
  let waitingBytes = 0;
  let isHeadSent = false;
  /** The peer has not taken what was written. */
  let isBlocked = target.writableNeedDrain;
  let isEnding = false;
  let onRoom: (() => void) | undefined;

  const hasRoom = () =>
    waitingBytes === 0 ? !isBlocked : waitingBytes <= (onRoom ? resumeBelowBytes : pauseAboveBytes);

  const offer = () => pacing.commands.setPending(id, isBlocked ? 0 : waitingBytes, timer.now());

  const askForMore = () => {
    if (onRoom && hasRoom()) {
      const resume = onRoom;
      onRoom = undefined;
      resume();
    }
  };

  const onDrain = () => {
    isBlocked = false;
    offer();
    askForMore();
    pump();
  };

  const write = (chunk: Buffer) => {
    if (!target.write(chunk) && !isBlocked) {
      isBlocked = true;
      target.once('drain', onDrain);
    }
  };

  const takeWaiting = (bytes: number): Buffer => {
    const taken: Buffer[] = [];
    let missing = bytes;
    while (missing > 0) {
      const first = waiting[0]!;
      if (first.length <= missing) {
        waiting.shift();
      } else {
        waiting[0] = first.subarray(missing);
      }
      taken.push(first.subarray(0, missing));
      missing -= Math.min(missing, first.length);
    }
    waitingBytes -= bytes;
    return taken.length === 1 ? taken[0]! : Buffer.concat(taken);
  };

  const send = (bytes: number) => {
    if (target.destroyed) {
      return;
    }
    isHeadSent = true;
    const chunk = takeWaiting(bytes);
    if (isEnding && waitingBytes === 0) {
      target.end(chunk);
      return;
    }
    write(chunk);
    if (isBlocked) {
      offer();
    }
    askForMore();
  };

  const part: ResponseWriter['part'] = (chunk, resume) => {
    if (target.destroyed) {
      return true;
    }
    waiting.push(chunk);
    waitingBytes += chunk.length;
    if (waitingBytes > maxWaitingBytes) {
      const excess = takeWaiting(waitingBytes - maxWaitingBytes);
      pacing.commands.recordUnpaced(excess.length, timer.now());
      write(excess);
    }
    offer();
    pump();
    if (!isHeadSent) {
      isHeadSent = true;
      target.flushHeaders();
    }
    if (hasRoom()) {
      return true;
    }
    onRoom = resume;
    return false;
  };

  if (isBlocked) {
    target.once('drain', onDrain);
  }
  target.once('close', () => {
    waiting = [];
    waitingBytes = 0;
    pacing.commands.setPending(id, 0, timer.now());
  });

  const end = () => {
    isEnding = true;
    if (waitingBytes === 0) {
      target.end();
    }
  };

  return { part, end, send };
};

const plainWriters: ResponseWriters = {
  toNode: createResponseWriter,
  toPeer: (response) => createResponseWriter(createServerResponseTarget(response)),
};

/** Creates the writers of a node. Without a rate of the link, answers are written as they come. */
export const createResponseWriters = (timer: Timer, linkMbps?: number): ResponseWriters => {
  if (linkMbps === undefined) {
    return plainWriters;
  }
  const pacing = createLinkPacer(linkMbps);
  const answers = new Map<number, PacedAnswer>();
  let lastId = 0;
  let isPumping = false;
  let cancelTurn: Cancel | undefined;

  const pump = () => {
    // A piece can make room for more of the same answer, which is offered while it is sent.
    if (isPumping) {
      return;
    }
    isPumping = true;
    let piece = pacing.commands.takeNext(timer.now());
    while (piece) {
      answers.get(piece.id)?.send(piece.bytes);
      piece = pacing.commands.takeNext(timer.now());
    }
    isPumping = false;
    const waitMs = pacing.queries.untilNextMs(timer.now());
    if (waitMs !== undefined && !cancelTurn) {
      cancelTurn = timer.after(waitMs, () => {
        cancelTurn = undefined;
        pump();
      });
    }
  };

  const paceAnswer = (target: ResponseTarget): PacedAnswer => {
    lastId += 1;
    const id = lastId;
    const answer = createPacedAnswer({ target, id, pacing, timer, pump });
    answers.set(id, answer);
    target.once('close', () => answers.delete(id));
    return answer;
  };

  const acrossLink = (target: ResponseTarget): ResponseWriter => {
    const plain = createResponseWriter(target);
    let smallLeft = smallBytes;
    let paced: PacedAnswer | undefined;
    return {
      head: (head, extraHeaders) => {
        plain.head(head, extraHeaders);
        if (Number(findHeader(head.headers, 'content-length') ?? 0) > smallBytes) {
          smallLeft = 0;
        }
      },
      part: (chunk, resume) => {
        smallLeft -= chunk.length;
        if (!paced && smallLeft >= 0) {
          pacing.commands.recordUnpaced(chunk.length, timer.now());
          return plain.part(chunk, resume);
        }
        plain.flushHead();
        paced ??= paceAnswer(target);
        return paced.part(chunk, resume);
      },
      end: () => (paced ?? plain).end(),
    };
  };

  return {
    toNode: acrossLink,
    toPeer: (response) => {
      const { remoteAddress, localAddress } = response.req.socket;
      const target = createServerResponseTarget(response);
      return remoteAddress === localAddress ? createResponseWriter(target) : acrossLink(target);
    },
  };
};
