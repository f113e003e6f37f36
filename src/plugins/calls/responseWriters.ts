/**
 * Writes upstream responses to the peers of a node. If the rate of the link is known, the responses
 * of all servers of the node share one pacer, see `core/calls/linkPacer.ts`.
 */
import type { ServerResponse } from 'node:http';
import {
  createLinkPacer,
  responseBytesPerMs,
  smallResponseBytes,
} from '../../core/calls/linkPacer.js';
import { createLinkSchedule, type Transfer } from '../../core/calls/linkSchedule.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import {
  createResponseWriter,
  createServerResponseTarget,
  type ResponseTarget,
  type ResponseWriter,
} from './callResponses.js';
import { createBodyBudget } from './bodyBuffer.js';
import { findHeader } from './callHeaders.js';
import { createPacedResponse, type PacedResponse } from './pacedResponse.js';

/**
 * Longest time for which chunks are sent in one turn of the event loop, in ms. Time passes while a
 * chunk is sent. If that takes longer than the link needs for the chunk, the next one is due
 * already, and the process would do nothing else as long as any response is pending.
 */
const maxPumpMs = 5;

/** Bytes of responses on the link: those sent so far, and those that wait for it. */
export interface LinkUse {
  /** Bytes of large responses. */
  readonly pacedBytes: number;
  /** Bytes of small responses, which are sent at once. */
  readonly unpacedBytes: number;
  readonly pendingBytes: number;
  readonly pendingResponses: number;
  /** Time for which the link is reserved for responses that can meet their targets, in ms. */
  readonly backlogMs: number;
}

/** Responses with this status or a higher one say nothing about the size of those of their class. */
const minFailureStatus = 400;

export interface ResponseWriters {
  /** Use of the link; undefined if its rate is not known. */
  linkUse(): LinkUse | undefined;
  /** Time after its target at which a further response to another node would end, in ms. */
  delayToNodeMs(transfer: Transfer): number;
  /** The same for a response to a peer that may be on the same machine. */
  delayToPeerMs(response: ServerResponse, transfer: Transfer): number;
  /** Creates the writer of a response to another node, and reserves link time for it. */
  toNode(target: ResponseTarget, transfer: Transfer): ResponseWriter;
  /** The same for a response to a peer that may be on the same machine. */
  toPeer(response: ServerResponse, transfer: Transfer): ResponseWriter;
}

const isOnSameMachine = ({ req: { socket } }: ServerResponse): boolean =>
  socket.remoteAddress === socket.localAddress;

const unpacedWriters: ResponseWriters = {
  linkUse: () => undefined,
  delayToNodeMs: () => 0,
  delayToPeerMs: () => 0,
  toNode: createResponseWriter,
  toPeer: (response) => createResponseWriter(createServerResponseTarget(response)),
};

/** Creates the writers of a node. Without a link rate, responses are written without pacing. */
export const createResponseWriters = (timer: Timer, linkMbps?: number): ResponseWriters => {
  if (linkMbps === undefined) {
    return unpacedWriters;
  }
  const schedule = createLinkSchedule(responseBytesPerMs(linkMbps));
  const pacer = createLinkPacer(linkMbps, schedule.queries.place);
  const responses = new Map<number, PacedResponse>();
  const budget = createBodyBudget();
  let lastId = 0;
  let pacedBytes = 0;
  let unpacedBytes = 0;
  let isPumping = false;
  let cancelPump: Cancel | undefined;

  const pump = () => {
    // Sending a chunk can resume its upstream, whose next data calls this function again.
    if (isPumping) {
      return;
    }
    isPumping = true;
    const until = timer.now() + maxPumpMs;
    let chunk = pacer.commands.takeNext(timer.now());
    while (chunk) {
      schedule.commands.recordSent(chunk.id, chunk.bytes);
      responses.get(chunk.id)?.send(chunk.bytes);
      pacedBytes += chunk.bytes;
      chunk = timer.now() < until ? pacer.commands.takeNext(timer.now()) : undefined;
    }
    isPumping = false;
    const waitMs = pacer.queries.untilNextMs(timer.now());
    if (waitMs !== undefined && !cancelPump) {
      cancelPump = timer.after(waitMs, () => {
        cancelPump = undefined;
        pump();
      });
    }
  };

  const paceResponse = (id: number, target: ResponseTarget): PacedResponse => {
    const paced = createPacedResponse({ target, id, pacer, timer, budget, pump });
    responses.set(id, paced);
    target.once('close', () => responses.delete(id));
    return paced;
  };

  const reserve = (target: ResponseTarget, transfer: Transfer) => {
    lastId += 1;
    const id = lastId;
    let isEnding = false;
    let isSuccess = false;
    schedule.commands.reserve(id, transfer, timer.now());
    target.once('close', () => {
      const isComplete = isEnding && (responses.get(id)?.pendingBytes() ?? 0) === 0;
      schedule.commands.end(id, isSuccess && isComplete);
    });
    return {
      id,
      recordHead: (status: number, bytes: number | undefined) => {
        isSuccess = status < minFailureStatus;
        if (isSuccess) {
          schedule.commands.recordHead(id, bytes, timer.now());
        }
      },
      recordEnd: () => {
        isEnding = true;
      },
    };
  };

  const createLinkWriter = (target: ResponseTarget, transfer: Transfer): ResponseWriter => {
    const unpaced = createResponseWriter(target);
    const reservation = reserve(target, transfer);
    let unpacedBytesLeft = smallResponseBytes;
    let paced: PacedResponse | undefined;
    return {
      head: (head, extraHeaders) => {
        unpaced.head(head, extraHeaders);
        const length = Number(findHeader(head.headers, 'content-length') ?? NaN);
        reservation.recordHead(head.status, Number.isNaN(length) ? undefined : length);
        if (length > smallResponseBytes) {
          unpacedBytesLeft = 0;
        }
      },
      part: (chunk, resume) => {
        unpacedBytesLeft -= chunk.length;
        if (!paced && unpacedBytesLeft >= 0) {
          unpacedBytes += chunk.length;
          pacer.commands.recordUnpaced(chunk.length, timer.now());
          schedule.commands.recordUnpaced(reservation.id, chunk.length, timer.now());
          return unpaced.part(chunk, resume);
        }
        unpaced.flushHead();
        paced ??= paceResponse(reservation.id, target);
        return paced.part(chunk, resume);
      },
      end: () => {
        reservation.recordEnd();
        (paced ?? unpaced).end();
      },
    };
  };

  const linkUse = (): LinkUse => {
    const pending = [...responses.values()].map(({ pendingBytes }) => pendingBytes());
    return {
      pacedBytes,
      unpacedBytes,
      pendingBytes: pending.reduce((sum, bytes) => sum + bytes, 0),
      pendingResponses: pending.filter((bytes) => bytes > 0).length,
      backlogMs: schedule.queries.backlogMs(timer.now()),
    };
  };

  const delayToNodeMs = (transfer: Transfer): number =>
    schedule.queries.delayMs(transfer, timer.now());

  return {
    linkUse,
    delayToNodeMs,
    delayToPeerMs: (response, transfer) =>
      isOnSameMachine(response) ? 0 : delayToNodeMs(transfer),
    toNode: createLinkWriter,
    toPeer: (response, transfer) => {
      const target = createServerResponseTarget(response);
      return isOnSameMachine(response)
        ? createResponseWriter(target)
        : createLinkWriter(target, transfer);
    },
  };
};
