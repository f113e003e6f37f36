/**
 * Runs a replica group in this process: connects the core to the clock, the disk and the network,
 * and applies committed entries to the state machine. Writes that are requested while a sync is
 * running share the next sync.
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

/** Timing of the consensus algorithm, in ms. */
export interface ReplicaTimes {
  readonly tickMs: number;
  readonly heartbeatMs: number;
  readonly electionTimeoutMs: number;
}

/** With these values an election starts 1 to 2 s after the last heartbeat. */
export const defaultReplicaTimes: ReplicaTimes = {
  tickMs: 50,
  heartbeatMs: 200,
  electionTimeoutMs: 1_000,
};

/** Time that an appended proposal waits for its outcome after its leader stepped down, in ms. */
const outcomeTimeoutMs = 3_000;
const maxPendingProposals = 10_000;
/** Several entries have to fit into a message, which is limited to 4 MiB. */
const maxPayloadBytes = 1024 * 1024;
/** Longest time that a compaction waits for members that are catching up, in ms. */
const compactionWaitMs = 10_000;
const reachableMemberMs = 3_000;

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
  /** Number of applied entries after which the log is compacted. */
  readonly compactAfterEntries: number;
  /** Total size of the applied entries after which the log is compacted. Default: no limit. */
  readonly compactAfterBytes?: number;
  /** See `ReplicaOptions`. */
  readonly removeSilentAfterMs?: number;
  readonly minVoters?: number;
  /** Leaves the membership when the group stops, after its proposals have their outcomes. */
  readonly leave?: () => Promise<void>;
  /** Called if the disk has failed or an invariant is violated; the process then has to end. */
  readonly onFatal: (error: unknown) => void;
}

export interface RunningReplicaGroup<Result> extends ReplicaGroup<Result> {
  start(): void;
  /** Handles a request of another member and resolves with the answer. */
  receive(from: MemberId, message: RequestMessage): Promise<AnswerMessage>;
  status(): ReplicaStatus;
  onChange(listener: () => void): () => void;
}

interface PendingProposal {
  readonly term: number;
  readonly index: number;
  readonly resolve: (proposal: AppliedProposal<unknown>) => void;
  readonly reject: (failure: Failure) => void;
}

type ProposalPromise = Pick<PendingProposal, 'resolve' | 'reject'>;

const refusals: Record<RefusalReason, { reason: FailureReason; detail: string }> = {
  not_leader: { reason: 'not_leader', detail: '' },
  change_pending: {
    reason: 'no_quorum',
    detail: 'an earlier membership change is not committed yet',
  },
  already_member: { reason: 'version_conflict', detail: 'the member is already in the membership' },
  not_a_member: { reason: 'version_conflict', detail: 'the member is not in the membership' },
  still_listed: {
    reason: 'no_quorum',
    detail: 'the listed data folder of the member is not known to be lost',
  },
};

const defer = <Value>() => {
  const deferred = {} as { resolve: (value: Value) => void; reject: (error: unknown) => void };
  const promise = new Promise<Value>((resolve, reject) => {
    Object.assign(deferred, { resolve, reject });
  });
  return { promise, ...deferred };
};

/** Creates a replica group from its stored log. */
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
    minVoters: options.minVoters,
    random: options.random,
    ...loaded,
  });
  const submittedProposals = new Map<number, ProposalPromise>();
  const pendingProposals = new Map<number, PendingProposal>();
  const reads = new Map<number, ReturnType<typeof defer<number>>>();
  const replies = new Map<number, ReturnType<typeof defer<AnswerMessage>>>();
  const listeners = new Set<() => void>();
  const writes: PersistEffect[] = [];
  let delayedMessages: { afterSequence: number; run: () => void }[] = [];
  let sharedRead: Promise<void> | undefined;
  let syncedSequence = 0;
  let nextId = 1;
  let isWriting = false;
  let isStopped = false;
  let bytesSinceCompaction = 0;
  let pendingCompaction: { index: number; data: Uint8Array; since: number } | undefined;

  const allocateId = (): number => {
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
      executeEffects(replica.step(event, timer.now()));
    } catch (error) {
      // The core throws only if an invariant is violated; continuing could change committed
      // entries.
      fail(error);
    }
  };

  const writeBatch = (batch: readonly PersistEffect[]): Promise<void> =>
    retryWhileDiskFull(() => storage.write(batch), { timer, log, isStopped: () => isStopped });

  const writeAll = async () => {
    isWriting = true;
    try {
      while (writes.length > 0 && !isStopped) {
        const batch = writes.splice(0);
        const { sequence } = batch.at(-1)!;
        await writeBatch(batch);
        syncedSequence = sequence;
        step({ type: 'persisted', sequence });
        releaseDelayedMessages();
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

  const releaseDelayedMessages = () => {
    const due = delayedMessages.filter(({ afterSequence }) => afterSequence <= syncedSequence);
    delayedMessages = delayedMessages.filter(({ afterSequence }) => afterSequence > syncedSequence);
    due.forEach(({ run }) => run());
  };

  const runOnceSynced = (afterSequence: number, run: () => void) => {
    if (afterSequence <= syncedSequence) {
      run();
    } else {
      delayedMessages.push({ afterSequence, run });
    }
  };

  const sendRequest = (to: Member, message: RequestMessage) => {
    if (isStopped) {
      return;
    }
    options
      .request(to.address, message)
      .then(({ from, message: answer }) => {
        // Ignores answers of another member that now uses the address.
        if (from.name === to.name) {
          step({ type: 'answer', from, to, message: answer });
        }
      })
      .catch((error: unknown) => {
        log.debug('request failed', { to: to.name, error: String(error) });
        step({ type: 'unreachable', name: to.name });
      });
  };

  const settleProposal = (entry: LogEntry, result: unknown) => {
    const proposal = pendingProposals.get(entry.index);
    if (!proposal) {
      return;
    }
    pendingProposals.delete(entry.index);
    if (proposal.term === entry.term) {
      proposal.resolve({ version: { term: entry.term, index: entry.index }, result });
    } else {
      proposal.reject(new Failure('not_leader', 'another entry was committed in its place'));
    }
  };

  const applyEntry = (entry: LogEntry) => {
    const { kind, term, index, payload } = entry;
    bytesSinceCompaction += payload.length;
    const result = kind === 'command' ? machine.apply({ term, index, payload }) : undefined;
    settleProposal(entry, result);
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

  /**
   * A member that lacks a compacted entry needs the whole snapshot, so the leader waits for
   * reachable members that are catching up.
   */
  const mayCompact = ({ index, since }: { index: number; since: number }): boolean => {
    const { role, members } = replica.queries.status();
    const isLagging = ({ name }: Member) =>
      replica.queries.contactAgeMs(name, timer.now()) < reachableMemberMs &&
      replica.queries.matchIndex(name) < index;
    return role !== 'leader' || !members.some(isLagging) || timer.now() - since > compactionWaitMs;
  };

  const compactIfDue = () => {
    if (pendingCompaction && mayCompact(pendingCompaction)) {
      const { index, data } = pendingCompaction;
      pendingCompaction = undefined;
      step({ type: 'compact', index, data });
    }
  };

  const rejectPendingProposals = () => {
    [...pendingProposals.values()].forEach(({ index, reject }) => {
      pendingProposals.delete(index);
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
      runOnceSynced(afterSequence, () => sendRequest(to, message)),
    reply: ({ token, message, afterSequence }) =>
      runOnceSynced(afterSequence, () => {
        replies.get(token)?.resolve(message);
        replies.delete(token);
      }),
    apply: ({ entries }) => {
      entries.forEach(applyEntry);
    },
    restore: ({ snapshot }) => {
      machine.restore(snapshot.data);
      pendingCompaction = undefined;
      rejectPendingProposals();
    },
    proposed: ({ id, term, index }) => {
      const submitted = submittedProposals.get(id);
      submittedProposals.delete(id);
      if (submitted) {
        pendingProposals.set(index, { ...submitted, term, index });
      }
    },
    refused: ({ id, reason }) => {
      const { reason: failure, detail } = refusals[reason];
      submittedProposals.get(id)?.reject(new Failure(failure, detail));
      submittedProposals.delete(id);
    },
    readConfirmed: ({ id, index }) => {
      reads.get(id)?.resolve(index);
      reads.delete(id);
    },
    readFailed: ({ id }) => {
      reads.get(id)?.reject(new Failure('not_leader'));
      reads.delete(id);
    },
    folderLost: ({ member, successor }) => {
      const { name, incarnation } = member;
      log.warn('data folder of a member is lost', { member: name, incarnation, successor });
    },
    roleChanged: ({ role, term }) => {
      log.info('role changed', { role, term });
      if (role !== 'leader' && pendingProposals.size > 0) {
        timer.after(outcomeTimeoutMs, () => {
          if (replica.queries.status().role !== 'leader') {
            rejectPendingProposals();
          }
        });
      }
    },
  };

  const executeEffects = (effects: readonly ReplicaEffect[]) => {
    effects.forEach((effect) => {
      const handle = handlers[effect.type] as (handled: ReplicaEffect) => void;
      handle(effect);
    });
    if (effects.length > 0) {
      listeners.forEach((listener) => listener());
    }
  };

  const submitProposal = (
    createEvent: (id: number) => ReplicaEvent,
  ): Promise<AppliedProposal<unknown>> => {
    if (isStopped) {
      return Promise.reject(new Failure('not_leader', 'the instance is stopping'));
    }
    if (pendingProposals.size + submittedProposals.size >= maxPendingProposals) {
      return Promise.reject(new Failure('overloaded', 'too many changes are in progress'));
    }
    const { promise, resolve, reject } = defer<AppliedProposal<unknown>>();
    const id = allocateId();
    submittedProposals.set(id, { resolve, reject });
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
    const id = allocateId();
    const read = defer<number>();
    reads.set(id, read);
    step({ type: 'read', id });
    await waitUntilApplied(await read.promise);
  };

  const transferLeadership = async () => {
    step({ type: 'transfer' });
    const until = timer.now() + times.electionTimeoutMs;
    while (replica.queries.status().role === 'leader' && timer.now() < until) {
      await timer.sleep(times.tickMs);
    }
  };

  const hasOtherVoters = (): boolean =>
    replica.queries
      .status()
      .members.some(({ name, kind }) => name !== self.name && kind === 'voter');

  const stop = async () => {
    if (replica.queries.status().role === 'leader' && hasOtherVoters()) {
      await transferLeadership();
    }
    // The next leader commits the entries that this one appended, so wait a short time for their
    // outcomes.
    const until = timer.now() + times.electionTimeoutMs;
    while (pendingProposals.size > 0 && timer.now() < until) {
      await timer.sleep(times.tickMs);
    }
    await options.leave?.();
    isStopped = true;
    cancelTick?.();
    rejectPendingProposals();
    reads.forEach(({ reject }) => reject(new Failure('not_leader', 'the instance is stopping')));
    reads.clear();
    while (isWriting) {
      await timer.sleep(1);
    }
  };

  let cancelTick: (() => void) | undefined;

  return {
    start: () => {
      executeEffects(replica.start(timer.now()));
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
      const token = allocateId();
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
          : (submitProposal((id) => ({ type: 'propose', id, payload })) as Promise<
              AppliedProposal<Result>
            >),
      changeMembers: async (change) => {
        await submitProposal((id) => ({ type: 'changeMembers', id, change }));
      },
      stop,
    },
    queries: {
      role: () => replica.queries.status().role,
      leader: replica.queries.leader,
      members: () => replica.queries.status().members,
      settledMembers: () => replica.queries.status().settledMembers,
      intactVoters: () => replica.queries.status().intactVoters,
      confirmedVoters: () => replica.queries.status().confirmedVoters,
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
