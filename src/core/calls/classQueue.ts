/**
 * Queue of the waiting calls of one class. Callers are served round-robin, so that a burst of one
 * caller delays only its own calls. The calls of one caller are served by rank, and in order of
 * arrival for equal ranks. A queue may also serve them in order of arrival and use the rank only to
 * choose those that are shed.
 */
import type { AdmissionCall } from './admission.js';

export interface WaitingCall {
  readonly call: AdmissionCall;
  /** Time at which the call is refused if it has not started. */
  readonly expiresAt: number;
}

export interface ClassQueue {
  readonly commands: {
    push(waiting: WaitingCall): void;
    /** Removes and returns the call that is served next. */
    shift(): WaitingCall | undefined;
    /** Removes and returns the lowest-ranked, newest call of the caller with most queued calls. */
    dropLast(): WaitingCall | undefined;
    remove(id: string): WaitingCall | undefined;
    /** Removes and returns all calls that have expired. */
    takeExpired(now: number): WaitingCall[];
  };
  readonly queries: {
    size(): number;
    ids(): string[];
    /** Earliest expiry of a queued call; infinite if the queue is empty. */
    earliestExpiry(): number;
    /** Number of queued calls of a caller. */
    callerQueue(caller: string): number;
    /** Number of queued calls of the caller that has most of them. */
    longestCallerQueue(): number;
    /** The call that is served last of the caller with most queued calls. */
    last(): WaitingCall | undefined;
    /** Number of queued calls that would be served before this new one, or shed after it. */
    callsAhead(call: AdmissionCall): number;
  };
}

export interface ClassQueueOptions {
  /** Whether calls of a caller are served in order of arrival. Default: false, by rank. */
  readonly isByArrival?: boolean;
}

/** Index of a new call among the calls of its caller, which are sorted by descending rank. */
const insertionIndex = ({ rank = 0 }: AdmissionCall, calls: readonly WaitingCall[]): number => {
  let index = calls.length;
  while (index > 0 && (calls[index - 1]!.call.rank ?? 0) < rank) {
    index -= 1;
  }
  return index;
};

/** Index of the lowest-ranked call, the newest of equal ones. */
const lowestRankIndex = (calls: readonly WaitingCall[]): number =>
  calls.reduce(
    (lowest, { call: { rank = 0 } }, index) =>
      rank <= (calls[lowest]?.call.rank ?? 0) ? index : lowest,
    0,
  );

/** Number of calls whose rank is not lower. */
const notLowerRanked = ({ rank = 0 }: AdmissionCall, calls: readonly WaitingCall[]): number =>
  calls.filter(({ call }) => (call.rank ?? 0) >= rank).length;

/** Creates the queue of one class. */
export const createClassQueue = ({ isByArrival = false }: ClassQueueOptions = {}): ClassQueue => {
  // A Map keeps insertion order: the first caller is served next and then moves to the end.
  const queueByCaller = new Map<string, WaitingCall[]>();
  const callerById = new Map<string, string>();

  const unregister = (waiting: WaitingCall): WaitingCall => {
    const { id, caller } = waiting.call;
    callerById.delete(id);
    if (queueByCaller.get(caller)?.length === 0) {
      queueByCaller.delete(caller);
    }
    return waiting;
  };

  const push = (waiting: WaitingCall): void => {
    const { id, caller } = waiting.call;
    const calls = queueByCaller.get(caller) ?? [];
    calls.splice(isByArrival ? calls.length : insertionIndex(waiting.call, calls), 0, waiting);
    queueByCaller.set(caller, calls);
    callerById.set(id, caller);
  };

  const shift = (): WaitingCall | undefined => {
    const [caller, calls] = queueByCaller.entries().next().value ?? ['', []];
    const waiting = calls.shift();
    if (!waiting) {
      return undefined;
    }
    queueByCaller.delete(caller);
    queueByCaller.set(caller, calls);
    return unregister(waiting);
  };

  const longestQueue = (): WaitingCall[] =>
    [...queueByCaller.values()].reduce(
      (most, calls) => (calls.length > most.length ? calls : most),
      [],
    );

  const dropLast = (): WaitingCall | undefined => {
    const calls = longestQueue();
    const [waiting] = calls.splice(isByArrival ? lowestRankIndex(calls) : calls.length - 1, 1);
    return waiting && unregister(waiting);
  };

  const remove = (id: string): WaitingCall | undefined => {
    const calls = queueByCaller.get(callerById.get(id) ?? '') ?? [];
    const index = calls.findIndex(({ call }) => call.id === id);
    const [waiting] = index < 0 ? [] : calls.splice(index, 1);
    return waiting && unregister(waiting);
  };

  const allWaiting = (): WaitingCall[] => [...queueByCaller.values()].flat();

  const takeExpired = (now: number): WaitingCall[] =>
    allWaiting()
      .filter(({ expiresAt }) => expiresAt <= now)
      .flatMap(({ call }) => remove(call.id) ?? []);

  const earliestExpiry = (): number =>
    allWaiting().reduce((earliest, { expiresAt }) => Math.min(earliest, expiresAt), Infinity);

  const callsAhead = (call: AdmissionCall): number => {
    const ownQueue = queueByCaller.get(call.caller) ?? [];
    const ahead = isByArrival ? notLowerRanked(call, ownQueue) : insertionIndex(call, ownQueue);
    return [...queueByCaller.values()]
      .filter((calls) => calls !== ownQueue)
      .reduce((sum, calls) => sum + Math.min(calls.length, ahead + 1), ahead);
  };

  return {
    commands: { push, shift, dropLast, remove, takeExpired },
    queries: {
      size: () => callerById.size,
      ids: () => [...callerById.keys()],
      earliestExpiry,
      last: () => longestQueue().at(-1),
      callerQueue: (caller) => queueByCaller.get(caller)?.length ?? 0,
      longestCallerQueue: () => longestQueue().length,
      callsAhead,
    },
  };
};
