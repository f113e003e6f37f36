/**
 * Buffer for the body of a request whose upstream does not take it yet. A connection whose body is
 * not read does not show its end either: a call that waits for a slot would be started after its
 * caller has left. So bodies are read ahead of their upstream, within limits.
 */

/** Bytes of one body that are buffered whatever the other calls hold. */
const minBytes = 64 * 1_024;
/** Bytes of one body that are buffered as long as the budget has room. */
const maxBytes = 1_024 * 1_024;

/** Bytes that all buffers of a server, or of its responses, hold together. */
export interface BodyBudget {
  /** Adds a number of bytes, which is negative when they were taken out. */
  add(bytes: number): void;
  hasRoom(): boolean;
}

/** Default limit for the buffered bytes of a server: 100 uploads of 160 KB that wait. */
const defaultBudgetBytes = 16 * 1_024 * 1_024;

export const createBodyBudget = (limitBytes = defaultBudgetBytes): BodyBudget => {
  let usedBytes = 0;
  return {
    add: (bytes) => {
      usedBytes += bytes;
    },
    hasRoom: () => usedBytes < limitBytes,
  };
};

export interface BodyBuffer {
  /** Adds a part. Returns false if its sender should pause until `onRoom` is called. */
  push(part: Buffer): boolean;
  /** The body is complete. */
  end(): void;
  /** Ends the body early: its reader fails, and further parts are dropped. */
  destroy(error: Error): void;
  /** The parts of the body, for one reader. */
  readonly parts: AsyncIterable<Buffer>;
}

/** Creates a buffer. `onRoom` is called when it takes parts again, and when its reader has left. */
export const createBodyBuffer = (budget: BodyBudget, onRoom: () => void): BodyBuffer => {
  let queue: Buffer[] = [];
  let queuedBytes = 0;
  let isComplete = false;
  let isDropped = false;
  let failure: Error | undefined;
  let isPaused = false;
  let wakeReader: () => void = () => undefined;

  const hasRoom = () => queuedBytes < minBytes || (queuedBytes < maxBytes && budget.hasRoom());

  const count = (bytes: number) => {
    queuedBytes += bytes;
    budget.add(bytes);
    if (isPaused && (isDropped || hasRoom())) {
      isPaused = false;
      onRoom();
    }
  };

  const drop = () => {
    isDropped = true;
    queue = [];
    count(-queuedBytes);
  };

  const waitForPart = () =>
    new Promise<void>((resolve) => {
      wakeReader = resolve;
    });

  async function* read(): AsyncGenerator<Buffer> {
    try {
      while (!failure && (queue.length > 0 || !isComplete)) {
        const part = queue.shift();
        if (part) {
          count(-part.length);
          yield part;
        } else {
          await waitForPart();
        }
      }
      if (failure) {
        throw failure;
      }
    } finally {
      drop();
    }
  }

  return {
    push: (part) => {
      if (isDropped || failure) {
        return true;
      }
      queue.push(part);
      count(part.length);
      isPaused = !hasRoom();
      wakeReader();
      return !isPaused;
    },
    end: () => {
      isComplete = true;
      wakeReader();
    },
    destroy: (error) => {
      failure ??= error;
      drop();
      wakeReader();
    },
    parts: read(),
  };
};
