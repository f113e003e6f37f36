/**
 * Draws of a node from one owner, over one stream. The stream is opened with the first draw and
 * again after a failure. Draws are answered in order; at most one is in flight.
 */
import type { MessageInitShape } from '@bufbuild/protobuf';
import type { Client } from '@connectrpc/connect';
import type { DrawRequestSchema, DrawResponse, Quota } from '../../gen/auburnsill/v1/quota_pb.js';
import type { Cancel, Timer } from '../../utils/timer.js';

/** Time without draws after which the stream is closed, in ms. */
const idleMs = 60_000;

export type Draw = MessageInitShape<typeof DrawRequestSchema>;

export interface DrawStream {
  /** Rejects if there is no answer within `timeoutMs`. */
  draw(draw: Draw, timeoutMs: number): Promise<DrawResponse>;
  close(): void;
}

interface PendingDraw {
  readonly resolve: (response: DrawResponse) => void;
  readonly reject: (error: unknown) => void;
  readonly cancelTimeout: Cancel;
}

interface OpenStream {
  readonly abort: AbortController;
  readonly queue: Draw[];
  /** Continues the sending after a draw was queued. */
  notify: () => void;
  pending: PendingDraw | undefined;
  usedAt: number;
}

export const createDrawStream = (client: Client<typeof Quota>, timer: Timer): DrawStream => {
  let current: OpenStream | undefined;

  const fail = (stream: OpenStream, error: unknown) => {
    if (current === stream) {
      current = undefined;
    }
    stream.abort.abort();
    stream.notify();
    const { pending } = stream;
    stream.pending = undefined;
    pending?.cancelTimeout();
    pending?.reject(error);
  };

  async function* requests(stream: OpenStream) {
    while (!stream.abort.signal.aborted) {
      const next = stream.queue.shift();
      if (next) {
        yield next;
      } else {
        await new Promise<void>((resolve) => {
          stream.notify = resolve;
        });
      }
    }
  }

  const receive = async (stream: OpenStream) => {
    const responses = client.draw(requests(stream), {
      signal: stream.abort.signal,
      timeoutMs: 0,
    });
    for await (const response of responses) {
      const { pending } = stream;
      stream.pending = undefined;
      pending?.cancelTimeout();
      pending?.resolve(response);
    }
    throw new Error('the owner ended the stream');
  };

  const closeWhenIdle = (stream: OpenStream) => {
    const idleForMs = timer.now() - stream.usedAt;
    if (stream !== current) {
      return;
    }
    if (idleForMs >= idleMs) {
      fail(stream, new Error('idle'));
    } else {
      timer.after(idleMs - idleForMs, () => closeWhenIdle(stream));
    }
  };

  const open = (): OpenStream => {
    const stream: OpenStream = {
      abort: new AbortController(),
      queue: [],
      notify: () => undefined,
      pending: undefined,
      usedAt: timer.now(),
    };
    receive(stream).catch((error: unknown) => fail(stream, error));
    return stream;
  };

  return {
    draw: (draw, timeoutMs) =>
      new Promise((resolve, reject) => {
        const isNew = current === undefined;
        const stream = current ?? open();
        current = stream;
        if (isNew) {
          closeWhenIdle(stream);
        }
        stream.usedAt = timer.now();
        const cancelTimeout = timer.after(timeoutMs, () =>
          fail(stream, new Error(`no answer within ${timeoutMs} ms`)),
        );
        stream.pending = { resolve, reject, cancelTimeout };
        stream.queue.push(draw);
        stream.notify();
      }),
    close: () => {
      if (current) {
        fail(current, new Error('closed'));
      }
    },
  };
};
