/**
 * One replica group of this process: drives the core with the clock, the disk and the network, and
 * feeds the state machine. Writes that come up while a sync is running share the next one.
 */
import {
  createReplica,
  type ReplicaCore,
  type ReplicaStatus,
} from '../../core/agreement/consensus.js';
import type {
  AnswerMessage,
  LogEntry,
  PersistEffect,
  RefusalReason,
  ReplicaEffect,
  ReplicaEvent,
  RequestMessage,
  MemberId,
} from '../../core/agreement/consensusTypes.js';
import type { Member, AppliedProposal, ReplicaGroup, StateMachine } from '../../types/internal.js';
import { Failure, type FailureReason } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import type { Timer } from '../../utils/timer.js';
import { retryWhileDiskFull } from './diskSpace.js';
import type { GroupLog, LoadedLog } from './groupLog.js';
import type { PeerAnswer } from './consensusTransport.js';

/** Times of the algorithm, in ms. */
export interface ReplicaTimes {
  readonly tickMs: number;
  readonly heartbeatMs: number;
  readonly electionTimeoutMs: number;
}

/** An election starts 1 to 2 s after the last heartbeat. */
export const defaultReplicaTimes: ReplicaTimes = {
  tickMs: 50,
  heartbeatMs: 200,
  electionTimeoutMs: 1_000,
};

/** How long an appended change waits for its outcome once its leader has stepped down, in ms. */
const outcomeWaitMs = 3_000;
const maxPendingProposals = 10_000;
/** Several entries have to fit into one message of 4 MiB. */
const maxPayloadBytes = 1024 * 1024;
/** Time that a compaction waits for members that are about to catch up, in ms. */
const compactionWaitMs = 10_000;
const memberContactMs = 3_000;

export interface ReplicaGroupOptions<Result> {
  readonly group: string;
  readonly self: MemberId;
  readonly storage: GroupLog;
  readonly loaded: LoadedLog;
  readonly machine: StateMachine<Result>;
  readonly request: (address: string, message: RequestMessage) => Promise<PeerAnswer>;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  readonly times?: ReplicaTimes;
  /** Entries after which the log is compacted. */
  readonly compactAfterEntries: number;
  /** Bytes of entries after which the log is compacted. Default: no bound. */
  readonly compactAfterBytes?: number;
  /** See `ReplicaOptions`. */
  readonly removeSilentAfterMs?: number;
  /** Called when the disk has failed; the process has to end. */
  readonly onFatal: (error: unknown) => void;
}

export interface RunningReplicaGroup<Result> extends ReplicaGroup<Result> {
  start(): void;
  /** Takes a request of another member and resolves with the answer. */
  receive(from: MemberId, message: RequestMessage): Promise<AnswerMessage>;
  status(): ReplicaStatus;
  onChange(listener: () => void): () => void;
}

interface Waiter {
  readonly term: number;
  readonly index: number;
  readonly resolve: (proposal: AppliedProposal<unknown>) => void;
  readonly reject: (failure: Failure) => void;
}

type Starter = Pick<Waiter, 'resolve' | 'reject'>;

const refusals: Record<RefusalReason, { reason: FailureReason; detail: string }> = {
  not_leader: { reason: 'not_leader', detail: '' },
  change_pending: {
    reason: 'no_quorum',
    detail: 'an earlier membership change is not committed yet',
  },
  already_member: { reason: 'version_conflict', detail: 'the member is in the membership' },
  not_a_member: { reason: 'version_conflict', detail: 'the member is not in the membership' },
};

const defer = <Value>() => {
  const deferred = {} as { resolve: (value: Value) => void; reject: (error: unknown) => void };
  const promise = new Promise<Value>((resolve, reject) => {
    Object.assign(deferred, { resolve, reject });
  });
  return { promise, ...deferred };
};

/** Creates a replica group from what its log holds. */
export const createReplicaGroup = <Result>(
  options: ReplicaGroupOptions<Result>,
): RunningReplicaGroup<Result> => {
  const { machine, timer, log, storage, loaded, self } = options;
  const times = options.times ?? defaultReplicaTimes;
  const replica: ReplicaCore = createReplica({
    self,
    electionTimeoutMs: times.electionTimeoutMs,
    heartbeatMs: times.heartbeatMs,
    removeSilentAfterMs: options.removeSilentAfterMs,
    random: options.random,
    ...loaded,
  });
  const starters = new Map<number, Starter>();
  const waiters = new Map<number, Waiter>();
  const reads = new Map<number, ReturnType<typeof defer<number>>>();
  const replies = new Map<number, ReturnType<typeof defer<AnswerMessage>>>();
  const listeners = new Set<() => void>();
  const writes: PersistEffect[] = [];
  let held: { afterSequence: number; run: () => void }[] = [];
  let sharedRead: Promise<void> | undefined;
  let syncedSequence = 0;
  let nextId = 1;
  let isWriting = false;
  let isStopped = false;
  let bytesSinceCompaction = 0;
  let pendingCompaction: { index: number; data: Uint8Array; since: number } | undefined;

  const takeId = (): number => {
    nextId += 1;
    return nextId;
  };

  const fail = (error: unknown) => {
    if (!isStopped) {
      isStopped = true;
      options.onFatal(error);
    }
  };

  const step = (event: ReplicaEvent) => {
    if (isStopped) {
      return;
    }
    try {
      carryOut(replica.step(event, timer.now()));
    } catch (error) {
      // The core throws only if an invariant is broken; going on could change committed entries.
      fail(error);
    }
  };

  const writeWhenRoom = (batch: readonly PersistEffect[]): Promise<void> =>
    retryWhileDiskFull(() => storage.write(batch), { timer, log, isStopped: () => isStopped });

  const writeAll = async () => {
    isWriting = true;
    try {
      while (writes.length > 0 && !isStopped) {
        const batch = writes.splice(0);
        const { sequence } = batch.at(-1)!;
        await writeWhenRoom(batch);
        syncedSequence = sequence;
        step({ type: 'persisted', sequence });
        releaseHeld();
      }
    } catch (error) {
      fail(error);
    } finally {
      isWriting = false;
    }
  };

  const scheduleWrite = () => {
    if (!isWriting) {
      isWriting = true;
      setImmediate(() => {
        writeAll();
      });
    }
  };

  const releaseHeld = () => {
    const due = held.filter(({ afterSequence }) => afterSequence <= syncedSequence);
    held = held.filter(({ afterSequence }) => afterSequence > syncedSequence);
    due.forEach(({ run }) => run());
  };

  const runAfterSequence = (afterSequence: number, run: () => void) => {
    if (afterSequence <= syncedSequence) {
      run();
    } else {
      held.push({ afterSequence, run });
    }
  };

  const sendRequest = (to: Member, message: RequestMessage) => {
    if (isStopped) {
      return;
    }
    options
      .request(to.address, message)
      .then(({ from, message: answer }) => {
        // Another process at the address is not the member that was asked.
        if (from.name === to.name) {
          step({ type: 'answer', from, message: answer });
        }
      })
      .catch((error: unknown) => {
        log.debug('request failed', { to: to.name, error: String(error) });
        step({ type: 'unreachable', name: to.name });
      });
  };

  const settle = (entry: LogEntry, result: unknown) => {
    const waiter = waiters.get(entry.index);
    if (!waiter) {
      return;
    }
    waiters.delete(entry.index);
    if (waiter.term === entry.term) {
      waiter.resolve({ version: { term: entry.term, index: entry.index }, result });
    } else {
      waiter.reject(new Failure('not_leader', 'another entry was committed in its place'));
    }
  };

  const applyEntry = (entry: LogEntry) => {
    const { kind, term, index, payload } = entry;
    bytesSinceCompaction += payload.length;
    const result = kind === 'command' ? machine.apply({ term, index, payload }) : undefined;
    settle(entry, result);
  };

  const planCompaction = () => {
    const { appliedIndex, snapshotIndex } = replica.queries.status();
    const { compactAfterEntries, compactAfterBytes = Infinity } = options;
    const isDue =
      appliedIndex - snapshotIndex >= compactAfterEntries ||
      bytesSinceCompaction >= compactAfterBytes;
    if (!pendingCompaction && isDue) {
      bytesSinceCompaction = 0;
      const data = machine.snapshot();
      pendingCompaction = { index: appliedIndex, data, since: timer.now() };
    }
  };

  /** A member that lacks a compacted entry needs the whole snapshot, so close ones are awaited. */
  const mayCompact = ({ index, since }: { index: number; since: number }): boolean => {
    const { role, members } = replica.queries.status();
    const isBehind = ({ name }: Member) =>
      replica.queries.contactAgeMs(name, timer.now()) < memberContactMs &&
      replica.queries.matchIndex(name) < index;
    return role !== 'leader' || !members.some(isBehind) || timer.now() - since > compactionWaitMs;
  };

  const compactIfDue = () => {
    if (pendingCompaction && mayCompact(pendingCompaction)) {
      const { index, data } = pendingCompaction;
      pendingCompaction = undefined;
      step({ type: 'compact', index, data });
    }
  };

  const expireWaiters = () => {
    [...waiters.values()].forEach(({ index, reject }) => {
      waiters.delete(index);
      reject(new Failure('outcome_unknown', 'the leader was lost after the append'));
    });
  };

  const handlers: {
    [Type in ReplicaEffect['type']]: (effect: Extract<ReplicaEffect, { type: Type }>) => void;
  } = {
    persist: (effect) => {
      writes.push(effect);
      scheduleWrite();
    },
    send: ({ to, message, afterSequence }) =>
      runAfterSequence(afterSequence, () => sendRequest(to, message)),
    reply: ({ token, message, afterSequence }) =>
      runAfterSequence(afterSequence, () => {
        replies.get(token)?.resolve(message);
        replies.delete(token);
      }),
    apply: ({ entries }) => {
      entries.forEach(applyEntry);
    },
    restore: ({ snapshot }) => {
      machine.restore(snapshot.data);
      pendingCompaction = undefined;
      expireWaiters();
    },
    proposed: ({ id, term, index }) => {
      const starter = starters.get(id);
      starters.delete(id);
      if (starter) {
        waiters.set(index, { ...starter, term, index });
      }
    },
    refused: ({ id, reason }) => {
      const { reason: failure, detail } = refusals[reason];
      starters.get(id)?.reject(new Failure(failure, detail));
      starters.delete(id);
    },
    readConfirmed: ({ id, index }) => {
      reads.get(id)?.resolve(index);
      reads.delete(id);
    },
    readFailed: ({ id }) => {
      reads.get(id)?.reject(new Failure('not_leader'));
      reads.delete(id);
    },
    roleChanged: ({ role, term }) => {
      log.info('role changed', { role, term });
      if (role !== 'leader' && waiters.size > 0) {
        timer.after(outcomeWaitMs, () => {
          if (replica.queries.status().role !== 'leader') {
            expireWaiters();
          }
        });
      }
    },
  };

  const carryOut = (effects: readonly ReplicaEffect[]) => {
    effects.forEach((effect) => {
      const handle = handlers[effect.type] as (taken: ReplicaEffect) => void;
      handle(effect);
    });
    if (effects.length > 0) {
      listeners.forEach((listener) => listener());
    }
  };

  const startProposal = (
    createEvent: (id: number) => ReplicaEvent,
  ): Promise<AppliedProposal<unknown>> => {
    if (isStopped) {
      return Promise.reject(new Failure('not_leader', 'the instance is stopping'));
    }
    if (waiters.size + starters.size >= maxPendingProposals) {
      return Promise.reject(new Failure('overloaded', 'too many changes are in progress'));
    }
    const { promise, resolve, reject } = defer<AppliedProposal<unknown>>();
    const id = takeId();
    starters.set(id, { resolve, reject });
    step(createEvent(id));
    return promise;
  };

  const waitUntilApplied = async (index: number): Promise<void> => {
    while (replica.queries.status().appliedIndex < index) {
      await timer.sleep(times.tickMs);
    }
  };

  const startRead = async (): Promise<void> => {
    await new Promise((resolve) => {
      setImmediate(resolve);
    });
    sharedRead = undefined;
    if (isStopped) {
      throw new Failure('not_leader', 'the instance is stopping');
    }
    const id = takeId();
    const read = defer<number>();
    reads.set(id, read);
    step({ type: 'read', id });
    await waitUntilApplied(await read.promise);
  };

  const handOver = async () => {
    step({ type: 'transfer' });
    const until = timer.now() + times.electionTimeoutMs;
    while (replica.queries.status().role === 'leader' && timer.now() < until) {
      await timer.sleep(times.tickMs);
    }
  };

  const hasOthers = (): boolean =>
    replica.queries
      .status()
      .members.some(({ name, kind }) => name !== self.name && kind === 'voter');

  const stop = async () => {
    if (replica.queries.status().role === 'leader' && hasOthers()) {
      await handOver();
    }
    // The next leader commits what this one appended; the outcomes are worth a short wait.
    const until = timer.now() + times.electionTimeoutMs;
    while (waiters.size > 0 && timer.now() < until) {
      await timer.sleep(times.tickMs);
    }
    isStopped = true;
    cancelTick?.();
    expireWaiters();
    reads.forEach(({ reject }) => reject(new Failure('not_leader', 'the instance is stopping')));
    reads.clear();
    while (isWriting) {
      await timer.sleep(1);
    }
  };

  let cancelTick: (() => void) | undefined;

  return {
    start: () => {
      carryOut(replica.start(timer.now()));
      cancelTick = timer.every(times.tickMs, () => {
        step({ type: 'tick' });
        planCompaction();
        compactIfDue();
      });
    },
    receive: (from, message) => {
      if (isStopped) {
        return Promise.reject(new Failure('no_quorum', 'the instance is stopping'));
      }
      const token = takeId();
      const reply = defer<AnswerMessage>();
      replies.set(token, reply);
      step({ type: 'request', from, message, token });
      return reply.promise;
    },
    status: replica.queries.status,
    onChange: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    commands: {
      propose: (payload) =>
        payload.length > maxPayloadBytes
          ? Promise.reject(new Failure('change_too_large', `${payload.length} bytes`))
          : (startProposal((id) => ({ type: 'propose', id, payload })) as Promise<
              AppliedProposal<Result>
            >),
      changeMembers: async (change) => {
        await startProposal((id) => ({ type: 'changeMembers', id, change }));
      },
      stop,
    },
    queries: {
      role: () => replica.queries.status().role,
      leader: replica.queries.leader,
      members: () => replica.queries.status().members,
      commitIndex: () => replica.queries.status().commitIndex,
      confirmRead: () => {
        sharedRead ??= startRead();
        return sharedRead;
      },
      confirmedAgeMs: () => replica.queries.confirmedAgeMs(timer.now()),
      contactAgeMs: (member) => replica.queries.contactAgeMs(member, timer.now()),
      matchIndex: replica.queries.matchIndex,
    },
  };
};
