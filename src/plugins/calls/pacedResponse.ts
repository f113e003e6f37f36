/**
 * Body of one large response, which is buffered and sent in chunks as the pacer of the link allows.
 */
import type { LinkPacer } from '../../core/calls/linkPacer.js';
import type { Timer } from '../../utils/timer.js';
import type { BodyBudget } from './bodyBuffer.js';
import type { ResponseTarget, ResponseWriter } from './callResponses.js';

/**
 * Pending bytes of a response above which its upstream is paused while the budget has room. A paused
 * upstream keeps its slot, so most large responses have to fit.
 */
const pauseAboveBytes = 2 * 1_024 * 1_024;
/** The same while the budget is used up. */
const pauseAboveWithoutBudgetBytes = 256 * 1_024;
/** Share of that limit at which a paused upstream is resumed. */
const resumeShare = 0.5;
/**
 * Maximum of the pending bytes of a response. Bytes beyond it are written at once, so that an
 * upstream that cannot be paused sets the rate.
 */
const maxPendingBytes = 4 * 1_024 * 1_024;

/** Remaining body of a response, sent in chunks as the pacer allows. */
export interface PacedResponse {
  part: ResponseWriter['part'];
  end(): void;
  /** Sends this many of the pending bytes. */
  send(bytes: number): void;
  pendingBytes(): number;
}

export interface PacedResponseOptions {
  readonly target: ResponseTarget;
  readonly id: number;
  readonly pacer: LinkPacer;
  readonly timer: Timer;
  /** Bytes that all responses of the node hold together. */
  readonly budget: BodyBudget;
  /** Sends the chunks that are due. */
  readonly pump: () => void;
}

/** Creates the body of a response that is sent as the pacer allows. */
export const createPacedResponse = (options: PacedResponseOptions): PacedResponse => {
  const { target, id, pacer, timer, budget, pump } = options;
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let isHeadSent = false;
  /** The write buffer of the target is full. */
  let isBlocked = target.writableNeedDrain;
  let isEnding = false;
  let resumeUpstream: (() => void) | undefined;

  const hasRoom = () => {
    if (pendingBytes === 0) {
      return !isBlocked;
    }
    const limitBytes = budget.hasRoom() ? pauseAboveBytes : pauseAboveWithoutBudgetBytes;
    return pendingBytes <= (resumeUpstream ? resumeShare * limitBytes : limitBytes);
  };

  const addPending = (bytes: number) => {
    pendingBytes += bytes;
    budget.add(bytes);
  };

  const updatePending = () =>
    pacer.commands.setPending(id, isBlocked ? 0 : pendingBytes, timer.now());

  const resumeIfRoom = () => {
    if (resumeUpstream && hasRoom()) {
      const resume = resumeUpstream;
      resumeUpstream = undefined;
      resume();
    }
  };

  const onDrain = () => {
    isBlocked = false;
    updatePending();
    resumeIfRoom();
    pump();
  };

  const write = (chunk: Buffer) => {
    if (!target.write(chunk) && !isBlocked) {
      isBlocked = true;
      target.once('drain', onDrain);
    }
  };

  const takePending = (bytes: number): Buffer => {
    const taken: Buffer[] = [];
    let remaining = bytes;
    while (remaining > 0) {
      const first = pending[0]!;
      if (first.length <= remaining) {
        pending.shift();
      } else {
        pending[0] = first.subarray(remaining);
      }
      taken.push(first.subarray(0, remaining));
      remaining -= Math.min(remaining, first.length);
    }
    addPending(-bytes);
    return taken.length === 1 ? taken[0]! : Buffer.concat(taken);
  };

  const send = (bytes: number) => {
    if (target.destroyed) {
      return;
    }
    isHeadSent = true;
    const chunk = takePending(bytes);
    if (isEnding && pendingBytes === 0) {
      target.end(chunk);
      return;
    }
    write(chunk);
    if (isBlocked) {
      updatePending();
    }
    resumeIfRoom();
  };

  const part: ResponseWriter['part'] = (chunk, resume) => {
    if (target.destroyed) {
      return true;
    }
    pending.push(chunk);
    addPending(chunk.length);
    if (pendingBytes > maxPendingBytes) {
      const excess = takePending(pendingBytes - maxPendingBytes);
      pacer.commands.recordUnpaced(excess.length, timer.now());
      write(excess);
    }
    updatePending();
    pump();
    if (!isHeadSent) {
      isHeadSent = true;
      target.flushHeaders();
    }
    if (hasRoom()) {
      return true;
    }
    resumeUpstream = resume;
    return false;
  };

  if (isBlocked) {
    target.once('drain', onDrain);
  }
  target.once('close', () => {
    pending = [];
    addPending(-pendingBytes);
    pacer.commands.setPending(id, 0, timer.now());
  });

  const end = () => {
    isEnding = true;
    if (pendingBytes === 0) {
      target.end();
    }
  };

  return { part, end, send, pendingBytes: () => pendingBytes };
};
