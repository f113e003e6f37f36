/**
 * Simulates the replicas of one group with a network and disks that a property test controls:
 * messages stay in flight until they are delivered, dropped or duplicated, and writes stay pending
 * until they are synced or lost. Every effect is checked against the guarantees of the replicated
 * log.
 */
import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import {
  createReplica,
  emptyHardState,
  emptySnapshot,
} from '../../src/core/agreement/consensus.js';
import type { ReplicaCore } from '../../src/core/agreement/consensus.js';
import { decodeMembers, encodeMembers } from '../../src/core/agreement/consensusLog.js';
import type {
  AnswerMessage,
  HardState,
  LogEntry,
  PersistEffect,
  ReplicaEffect,
  ReplicaEvent,
  ReplicaSnapshot,
  RequestMessage,
  MemberId,
} from '../../src/core/agreement/consensusTypes.js';
import { quorumSize } from '../../src/core/agreement/quorum.js';
import type { Member } from '../../src/types/internal.js';

const electionTimeoutMs = 1_000;
const heartbeatMs = 200;

interface Disk {
  hardState: HardState;
  snapshot: ReplicaSnapshot;
  entries: readonly LogEntry[];
}

interface SimulatedReplica {
  readonly name: string;
  incarnation: string;
  core: ReplicaCore;
  disk: Disk;
  unsynced: PersistEffect[];
  deferred: { readonly afterSequence: number; readonly run: () => void }[];
  syncedSequence: number;
  appliedIndex: number;
  chain: string;
  /** Pending reads by ID, with the highest index that was known to be committed at their start. */
  reads: Map<number, number>;
}

interface Packet {
  readonly from: MemberId;
  readonly to: string;
  /** Incarnation that an answer is for. A request goes to any incarnation at the address. */
  readonly toIncarnation?: string;
  /** The receiver of the request as its sender had it listed. */
  readonly listed: MemberId;
  readonly request?: RequestMessage;
  readonly answer?: AnswerMessage;
}

export interface RoundFaults {
  /** Replicas that the network cannot reach. */
  readonly isolated?: readonly number[];
  /** Replicas whose process is suspended: they receive no messages and no ticks. */
  readonly paused?: readonly number[];
  /** Replicas whose writes are not synced. */
  readonly stalled?: readonly number[];
}

export interface ReplicaSimulation {
  readonly now: () => number;
  advance(ms: number): void;
  /** Delivers a message in flight. With `keep` it stays in flight and can be delivered again. */
  deliver(pick: number, keep: boolean): void;
  drop(pick: number): void;
  sync(pick: number): void;
  /** Restarts a replica. Only the first few of its unsynced writes survive. */
  crash(pick: number, surviving: number): void;
  /**
   * Replaces a replica's disk with an empty one if the group can survive that. With `always` it may
   * also end the group, which then accepts nothing any more.
   */
  loseDisk(pick: number, always?: boolean): void;
  propose(pick: number): void;
  read(pick: number): void;
  transfer(pick: number): void;
  compact(pick: number): void;
  changeMembers(pick: number, target: number, action: 'add' | 'remove'): void;
  /** Advances all replicas by a number of rounds that deliver messages and sync disks. */
  runRounds(rounds: number, faults?: RoundFaults): void;
  readonly counters: {
    readonly commits: number;
    readonly leaders: number;
    readonly reads: number;
    readonly lostDisks: number;
    readonly promotions: number;
    readonly snapshots: number;
    /** Leaders of a membership of which most voters, or half of them, have lost their disks. */
    readonly reducedQuorums: number;
  };
  roles(): readonly string[];
  leaderNames(): readonly string[];
}

const textOf = (bytes: Uint8Array): string => new TextDecoder().decode(bytes);
const bytesOf = (text: string): Uint8Array => new TextEncoder().encode(text);

/** Extends the short digest of the applied entries by one entry, to compare histories. */
const extendChain = (chain: string, { term, index, kind, payload }: LogEntry): string => {
  const text = `${chain}|${term}.${index}.${kind}.${textOf(payload)}`;
  return `${index}:${createHash('sha256').update(text).digest('hex').slice(0, 16)}`;
};

const applyWrite = (disk: Disk, write: PersistEffect): Disk => {
  if (write.snapshot) {
    return {
      hardState: write.hardState!,
      snapshot: write.snapshot,
      entries: write.entries ?? [],
    };
  }
  const kept =
    write.truncateFrom === undefined
      ? disk.entries
      : disk.entries.filter(({ index }) => index < write.truncateFrom!);
  return {
    hardState: write.hardState ?? disk.hardState,
    snapshot: disk.snapshot,
    entries: [...kept, ...(write.entries ?? [])],
  };
};

/** Creates a group of `size` voters and `spares` empty replicas that can be added to it. */
export const createReplicaSimulation = (
  size: number,
  spares: number,
  random: () => number,
): ReplicaSimulation => {
  const packets: Packet[] = [];
  const committed = new Map<number, { text: string; chain: string }>();
  const leaderOfTerm = new Map<number, string>();
  const counters = {
    commits: 0,
    leaders: 0,
    reads: 0,
    lostDisks: 0,
    promotions: 0,
    snapshots: 0,
    reducedQuorums: 0,
  };
  let now = 0;
  let nextId = 0;
  let knownCommitted = 0;

  const takeId = () => {
    nextId += 1;
    return nextId;
  };

  const memberOf = (name: string, incarnation: string, kind: Member['kind']): Member => ({
    name,
    address: name,
    dataCentre: 'dc',
    region: 'r',
    incarnation,
    kind,
  });

  const names = Array.from({ length: size + spares }, (_, index) => `n${index}`);
  const firstMembers = names.slice(0, size).map((name) => memberOf(name, `${name}-0`, 'voter'));
  const firstEntry: LogEntry = {
    term: 1,
    index: 1,
    kind: 'membership',
    payload: encodeMembers(firstMembers),
  };
  const emptyDisk = (): Disk => ({
    hardState: emptyHardState,
    snapshot: emptySnapshot,
    entries: [],
  });
  const bootstrappedDisk = (): Disk => ({
    hardState: { term: 1, votedFor: '' },
    snapshot: emptySnapshot,
    entries: [firstEntry],
  });

  const createCore = (name: string, incarnation: string, disk: Disk): ReplicaCore =>
    createReplica({ self: { name, incarnation }, electionTimeoutMs, heartbeatMs, random, ...disk });

  const checkApplied = (node: SimulatedReplica, entry: LogEntry) => {
    assert.equal(entry.index, node.appliedIndex + 1, `${node.name} applies out of order`);
    node.chain = extendChain(node.chain, entry);
    node.appliedIndex = entry.index;
    const text = `${entry.term} ${entry.kind} ${textOf(entry.payload)}`;
    const known = committed.get(entry.index);
    if (known) {
      assert.equal(
        text,
        known.text,
        `${node.name} applies a different entry at index ${entry.index}`,
      );
      assert.equal(node.chain, known.chain, `${node.name} has a diverging history`);
    } else {
      counters.commits += 1;
      committed.set(entry.index, { text, chain: node.chain });
    }
    if (node.core.queries.status().role === 'leader') {
      knownCommitted = Math.max(knownCommitted, entry.index);
    }
  };

  const checkRole = (node: SimulatedReplica, role: string, term: number) => {
    if (role !== 'leader') {
      return;
    }
    const other = leaderOfTerm.get(term);
    const own = `${node.name} ${node.incarnation}`;
    assert.ok(other === undefined || other === own, `two leaders in term ${term}`);
    leaderOfTerm.set(term, own);
    counters.leaders += 1;
    const voters = votersOf(node);
    counters.reducedQuorums += Number(intactOf(voters) * 2 <= voters.length);
  };

  /** Memberships in the log of a replica, with their indexes; read from what it has written. */
  const membershipsOf = ({ disk, unsynced }: SimulatedReplica) => {
    const { snapshot, entries } = unsynced.reduce(applyWrite, disk);
    const changes = entries
      .filter(({ kind }) => kind === 'membership')
      .map(({ index, payload }) => ({ index, members: decodeMembers(payload) }));
    return [{ index: snapshot.index, members: snapshot.members }, ...changes];
  };

  /**
   * A voter has to be named by the newest membership in its log or, as long as that is not known to be
   * committed, by the one before: elections need the voters of both.
   */
  const checkReply = (node: SimulatedReplica, message: AnswerMessage) => {
    if (message.type === 'voteAnswer' && message.granted) {
      const [previous, newest] = membershipsOf(node).slice(-2);
      const last = newest ?? previous!;
      const counting =
        newest && newest.index > node.core.queries.status().commitIndex
          ? [...previous!.members, ...newest.members]
          : last.members;
      const isNamed = counting.some(({ incarnation }) => incarnation === node.incarnation);
      assert.ok(isNamed, `${node.name} votes with a disk whose incarnation is no member`);
    }
  };

  const runAfterSync = (node: SimulatedReplica, afterSequence: number, run: () => void) => {
    if (afterSequence <= node.syncedSequence) {
      run();
    } else {
      node.deferred.push({ afterSequence, run });
    }
  };

  const nodeNamed = (name: string): SimulatedReplica => nodes.find((node) => node.name === name)!;

  const votersOf = ({ core }: SimulatedReplica): readonly Member[] =>
    core.queries.status().members.filter(({ kind }) => kind === 'voter');

  const intactOf = (voters: readonly Member[]): number =>
    voters.filter(({ name, incarnation }) => nodeNamed(name).incarnation === incarnation).length;

  const requesters = new Map<number, Packet>();

  const performEffects = (node: SimulatedReplica, effects: readonly ReplicaEffect[]) => {
    const self = { name: node.name, incarnation: node.incarnation };
    const handlers: {
      [Type in ReplicaEffect['type']]: (effect: Extract<ReplicaEffect, { type: Type }>) => void;
    } = {
      persist: (effect) => node.unsynced.push(effect),
      send: ({ to, message, afterSequence }) =>
        runAfterSync(node, afterSequence, () =>
          packets.push({ from: self, to: to.name, listed: to, request: message }),
        ),
      reply: ({ token, message, afterSequence }) => {
        const requester = requesters.get(token)!;
        requesters.delete(token);
        checkReply(node, message);
        runAfterSync(node, afterSequence, () =>
          packets.push({
            from: self,
            to: requester.from.name,
            toIncarnation: requester.from.incarnation,
            listed: requester.listed,
            answer: message,
          }),
        );
      },
      apply: ({ entries }) => entries.forEach((entry) => checkApplied(node, entry)),
      restore: ({ snapshot }) => {
        counters.snapshots += 1;
        node.appliedIndex = snapshot.index;
        node.chain = textOf(snapshot.data);
        assert.equal(
          node.chain,
          committed.get(snapshot.index)?.chain,
          'the snapshot does not match the committed history',
        );
      },
      proposed: () => undefined,
      refused: () => undefined,
      readConfirmed: ({ id, index }) => {
        const expected = node.reads.get(id)!;
        assert.ok(index >= expected, `${node.name} reads at ${index}, committed is ${expected}`);
        counters.reads += 1;
      },
      readFailed: ({ id }) => node.reads.delete(id),
      folderLost: ({ member }) =>
        assert.notEqual(
          nodeNamed(member.name).incarnation,
          member.incarnation,
          `${node.name} takes the disk of ${member.name} for lost`,
        ),
      roleChanged: ({ role, term }) => checkRole(node, role, term),
    };
    effects.forEach((effect) => {
      const handle = handlers[effect.type] as (taken: ReplicaEffect) => void;
      handle(effect);
    });
  };

  const step = (node: SimulatedReplica, event: ReplicaEvent) =>
    performEffects(node, node.core.step(event, now));

  const startReplica = (node: SimulatedReplica, disk: Disk) => {
    node.disk = disk;
    node.core = createCore(node.name, node.incarnation, disk);
    node.unsynced = [];
    node.deferred = [];
    node.syncedSequence = 0;
    node.appliedIndex = 0;
    node.chain = '';
    node.reads = new Map();
    performEffects(node, node.core.start(now));
  };

  const nodes = names.map((name, index): SimulatedReplica => {
    const incarnation = `${name}-0`;
    const disk = index < size ? bootstrappedDisk() : emptyDisk();
    const node: SimulatedReplica = {
      name,
      incarnation,
      core: createCore(name, incarnation, disk),
      disk,
      unsynced: [],
      deferred: [],
      syncedSequence: 0,
      appliedIndex: 0,
      chain: '',
      reads: new Map(),
    };
    startReplica(node, disk);
    return node;
  });

  const nodeAt = (pick: number): SimulatedReplica => nodes[pick % nodes.length]!;

  const deliver: ReplicaSimulation['deliver'] = (pick, keep) => {
    const at = pick % Math.max(1, packets.length);
    const packet = packets[at];
    if (!packet) {
      return;
    }
    if (!keep) {
      packets.splice(at, 1);
    }
    const node = nodeNamed(packet.to);
    if (packet.request) {
      const token = takeId();
      requesters.set(token, packet);
      step(node, { type: 'request', from: packet.from, message: packet.request, token });
    } else if (packet.answer && packet.toIncarnation === node.incarnation) {
      const { from, listed, answer } = packet;
      step(node, { type: 'answer', from, to: listed, message: answer });
    }
  };

  const sync = (node: SimulatedReplica) => {
    const last = node.unsynced.at(-1);
    if (!last) {
      return;
    }
    node.disk = node.unsynced.reduce(applyWrite, node.disk);
    node.unsynced = [];
    node.syncedSequence = last.sequence;
    step(node, { type: 'persisted', sequence: last.sequence });
    const due = node.deferred.filter(({ afterSequence }) => afterSequence <= node.syncedSequence);
    node.deferred = node.deferred.filter(
      ({ afterSequence }) => afterSequence > node.syncedSequence,
    );
    due.forEach(({ run }) => run());
  };

  /** A group survives while, in every membership, the voters that keep their disks are a quorum. */
  const survivesLossOf = (lost: SimulatedReplica): boolean =>
    nodes.every((node) => {
      const voters = votersOf(node);
      const intact = intactOf(voters.filter(({ name }) => name !== lost.name));
      return voters.length === 0 || intact >= quorumSize(voters.length, voters.length - intact);
    });

  const voterCount = () => Math.max(...nodes.map((node) => votersOf(node).length));

  const runRounds: ReplicaSimulation['runRounds'] = (
    rounds,
    { isolated = [], paused = [], stalled = [] } = {},
  ) => {
    const namesOf = (picks: readonly number[]) => new Set(picks.map((at) => nodeAt(at).name));
    const stopped = namesOf(paused);
    const unreachable = namesOf([...isolated, ...paused]);
    const unsyncedNames = namesOf([...stalled, ...paused]);
    const dropUnreachable = () => {
      const kept = packets.filter(
        ({ from, to }) => !unreachable.has(from.name) && !unreachable.has(to),
      );
      packets.splice(0, packets.length, ...kept);
    };
    for (let round = 0; round < rounds; round += 1) {
      now += 100;
      const before = voterCount();
      nodes
        .filter(({ name }) => !stopped.has(name))
        .forEach((node) => step(node, { type: 'tick' }));
      for (let pass = 0; pass < 4; pass += 1) {
        nodes.filter(({ name }) => !unsyncedNames.has(name)).forEach(sync);
        dropUnreachable();
        const inFlight = packets.length;
        for (let count = 0; count < inFlight; count += 1) {
          deliver(0, false);
        }
      }
      counters.promotions += Math.max(0, voterCount() - before);
    }
  };

  return {
    now: () => now,
    advance: (ms) => {
      now += ms;
      nodes.forEach((node) => step(node, { type: 'tick' }));
    },
    deliver,
    drop: (pick) => {
      packets.splice(pick % Math.max(1, packets.length), 1);
    },
    sync: (pick) => sync(nodeAt(pick)),
    crash: (pick, surviving) => {
      const node = nodeAt(pick);
      const kept = node.unsynced.slice(0, surviving % (node.unsynced.length + 1));
      startReplica(node, kept.reduce(applyWrite, node.disk));
    },
    loseDisk: (pick, always = false) => {
      const node = nodeAt(pick);
      if (always || survivesLossOf(node)) {
        counters.lostDisks += 1;
        node.incarnation = `${node.name}-${takeId()}`;
        startReplica(node, emptyDisk());
      }
    },
    propose: (pick) => {
      const id = takeId();
      step(nodeAt(pick), { type: 'propose', id, payload: bytesOf(`p${id}`) });
    },
    read: (pick) => {
      const node = nodeAt(pick);
      const id = takeId();
      node.reads.set(id, knownCommitted);
      step(node, { type: 'read', id });
    },
    transfer: (pick) => step(nodeAt(pick), { type: 'transfer' }),
    compact: (pick) => {
      const node = nodeAt(pick);
      step(node, { type: 'compact', index: node.appliedIndex, data: bytesOf(node.chain) });
    },
    changeMembers: (pick, target, action) => {
      const { name, incarnation } = nodeAt(target);
      const member = memberOf(name, incarnation, 'learner');
      step(nodeAt(pick), { type: 'changeMembers', id: takeId(), change: { action, member } });
    },
    runRounds,
    counters,
    roles: () => nodes.map(({ core }) => core.queries.status().role),
    leaderNames: () =>
      nodes.filter(({ core }) => core.queries.status().role === 'leader').map(({ name }) => name),
  };
};
