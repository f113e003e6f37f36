/**
 * Waiting calls of one class. Callers are served in turn, so that one caller's burst delays only its
 * own calls. The calls of one caller are served by rank, and in order of arrival for equal ranks.
 */
import type { AdmissionCall } from './admission.js';

export interface WaitingCall {
  readonly call: AdmissionCall;
  /** Time at which the call has waited as long as it may. */
  readonly expiresAt: number;
}

export interface ClassQueue {
  readonly commands: {
    push(waiting: WaitingCall): void;
    /** Takes the call whose turn it is. */
    shift(): WaitingCall | undefined;
    /** Takes the call of lowest rank, the newest of these, of the caller that has most calls here. */
    dropLast(): WaitingCall | undefined;
    remove(id: string): WaitingCall | undefined;
    /** Takes all calls that have waited as long as they may. */
    takeExpired(now: number): WaitingCall[];
  };
  readonly queries: {
    size(): number;
    ids(): string[];
    /** Earliest end of a wait; infinite if none waits. */
    earliestExpiry(): number;
    callerQueue(caller: string): number;
    longestCallerQueue(): number;
    /** The call that `dropLast` takes. */
    last(): WaitingCall | undefined;
    /** Calls that would be served before this new one. */
    callsAhead(call: AdmissionCall): number;
  };
}

/** Where a new call goes among the calls of its caller, the highest rank first. */
const placeOf = ({ rank = 0 }: AdmissionCall, calls: readonly WaitingCall[]): number => {
  let place = calls.length;
  while (place > 0 && (calls[place - 1]!.call.rank ?? 0) < rank) {
    place -= 1;
  }
  return place;
};

/** Creates the line of one class. */
export const createClassQueue = (): ClassQueue => {
  // A Map keeps insertion order: the first caller is next, a served caller moves to the end.
  const callers = new Map<string, WaitingCall[]>();
  const callerById = new Map<string, string>();

  const forget = (waiting: WaitingCall): WaitingCall => {
    const { id, caller } = waiting.call;
    callerById.delete(id);
    if (callers.get(caller)?.length === 0) {
      callers.delete(caller);
    }
    return waiting;
  };

  const push = (waiting: WaitingCall): void => {
    const { id, caller } = waiting.call;
    const calls = callers.get(caller) ?? [];
    calls.splice(placeOf(waiting.call, calls), 0, waiting);
    callers.set(caller, calls);
    callerById.set(id, caller);
  };

  const shift = (): WaitingCall | undefined => {
    const [caller, calls] = callers.entries().next().value ?? ['', []];
    const waiting = calls.shift();
    if (!waiting) {
      return undefined;
    }
    callers.delete(caller);
    callers.set(caller, calls);
    return forget(waiting);
  };

  const longest = (): WaitingCall[] =>
    [...callers.values()].reduce((most, calls) => (calls.length > most.length ? calls : most), []);

  const dropLast = (): WaitingCall | undefined => {
    const waiting = longest().pop();
    return waiting && forget(waiting);
  };

  const remove = (id: string): WaitingCall | undefined => {
    const calls = callers.get(callerById.get(id) ?? '') ?? [];
    const index = calls.findIndex(({ call }) => call.id === id);
    const [waiting] = index < 0 ? [] : calls.splice(index, 1);
    return waiting && forget(waiting);
  };

  const all = (): WaitingCall[] => [...callers.values()].flat();

  const takeExpired = (now: number): WaitingCall[] =>
    all()
      .filter(({ expiresAt: waitsUntil }) => waitsUntil <= now)
      .flatMap(({ call }) => remove(call.id) ?? []);

  const earliestEnd = (): number =>
    all().reduce((earliest, { expiresAt: waitsUntil }) => Math.min(earliest, waitsUntil), Infinity);

  const callsAhead = (call: AdmissionCall): number => {
    const ownCalls = callers.get(call.caller) ?? [];
    const ahead = placeOf(call, ownCalls);
    return [...callers.values()]
      .filter((calls) => calls !== ownCalls)
      .reduce((sum, calls) => sum + Math.min(calls.length, ahead + 1), ahead);
  };

  return {
    commands: { push, shift, dropLast, remove, takeExpired },
    queries: {
      size: () => callerById.size,
      ids: () => [...callerById.keys()],
      earliestExpiry: earliestEnd,
      last: () => longest().at(-1),
      callerQueue: (caller) => callers.get(caller)?.length ?? 0,
      longestCallerQueue: () => longest().length,
      callsAhead,
    },
  };
};
