/**
 * Interfaces between the parts of the product. A part depends on these and never on another part's
 * module, so that each can be tested with a small fake. Commands change state, queries read it.
 */
import type { Cluster, Configuration, Endpoint, Finding, Policy, Version } from './public.js';

/** How long a stopping node goes on taking work, in ms. */
export interface StopTimes {
  /** New connections are taken for this time, in which callers find out that it is not ready. */
  readonly acceptMs: number;
  /** Idle connections of callers stay open for this time. */
  readonly idleMs: number;
}

/** Members of a replica group, as held in its log. */
export interface Member {
  readonly name: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Random id of the member's data folder. */
  readonly incarnation: string;
  /** A learner receives the log and neither votes nor counts. */
  readonly kind: 'voter' | 'learner';
}

/** A log entry that a quorum holds. */
export interface CommittedEntry {
  readonly term: number;
  readonly index: number;
  readonly payload: Uint8Array;
}

/** A deterministic state machine that is fed by a replica group. */
export interface StateMachine<Result> {
  apply(entry: CommittedEntry): Result;
  snapshot(): Uint8Array;
  restore(snapshot: Uint8Array): void;
}

export type ReplicaRole = 'leader' | 'follower' | 'candidate' | 'learner';

/** Result of a proposal after it was committed and applied. */
export interface AppliedProposal<Result> {
  readonly version: Version;
  readonly result: Result;
}

/** One group of the replicated log, on one control instance. */
export interface ReplicaGroup<Result> {
  readonly commands: {
    /**
     * Appends a command and resolves when it is committed and applied. Rejects with the failures
     * `not_leader` (not appended) or `outcome_unknown` (appended, leadership lost).
     */
    propose(payload: Uint8Array): Promise<AppliedProposal<Result>>;
    changeMembers(change: { action: 'add' | 'remove'; member: Member }): Promise<void>;
    stop(): Promise<void>;
  };
  readonly queries: {
    role(): ReplicaRole;
    leader(): Member | undefined;
    members(): readonly Member[];
    commitIndex(): number;
    /** Resolves once a quorum confirmed that this replica still leads; rejects otherwise. */
    confirmRead(): Promise<void>;
    /** Time in ms since a quorum last confirmed the leader that this replica follows or is. */
    confirmedAgeMs(): number;
    /** Time in ms since the leader last had an answer from the member. */
    contactAgeMs(member: string): number;
    matchIndex(member: string): number;
  };
}

/** The newest committed configuration, as a control instance feeds it. */
export interface CommittedConfiguration {
  readonly version: Version;
  readonly configuration: Configuration;
  readonly digest: Uint8Array;
  /** Time of day of the acceptance, in ms. */
  readonly acceptedAtMs: number;
}

/** Where a control instance's feed takes configurations from. */
export interface ConfigurationSource {
  head(): CommittedConfiguration | undefined;
  /** Configuration of an older version that is still kept, as base of a delta. */
  configurationAt(version: Version): Configuration | undefined;
  confirmedAgeMs(): number;
  /** False while this instance is cut off from the quorum, or has not caught up with it yet. */
  isCurrent(): boolean;
  onChange(listener: () => void): () => void;
}

/** What a proxy serves with: one immutable unit, swapped as a whole. */
export interface ActiveConfiguration {
  readonly version: Version;
  readonly digest: Uint8Array;
  readonly configuration: Configuration;
  readonly policies: ReadonlyMap<string, Policy>;
  /** Clusters by service. A route exists only if its cluster is here. */
  readonly clusters: ReadonlyMap<string, Cluster>;
}

/** A node's view of its configuration and clusters, kept up to date by its feed. */
export interface ConfigurationView {
  readonly commands: {
    /** Subscribes to the service's endpoints and resolves when they are held, or undefined. */
    ensureCluster(service: string, timeoutMs: number): Promise<Cluster | undefined>;
    /** Records a call to the service, which keeps its cluster held. */
    recordUse(service: string): void;
  };
  readonly queries: {
    current(): ActiveConfiguration | undefined;
    /** True if no confirmation younger than the lease was heard. */
    isDetached(): boolean;
    confirmedAgeMs(): number;
  };
  onChange(listener: (held: ActiveConfiguration) => void): () => void;
}

/** Where a node announces its own endpoint. */
export interface Announcer {
  announce(endpoint: Endpoint): void;
  withdraw(endpointId: string): void;
}

/** What is known about the fleet, for checks of a change and for the status. */
export interface Inventory {
  readonly clusters: ReadonlyMap<string, Cluster>;
  /** One-way delay between data centres in ms, where measured. */
  delayMs(fromDataCentre: string, toDataCentre: string): number;
  readonly dataCentres: readonly string[];
}

export interface LaggingNode {
  readonly name: string;
  readonly dataCentre: string;
  readonly version: Version;
  readonly reason: string;
}

/** Versions in force over the fleet, merged from the reports of the tree. */
export interface FleetStatus {
  /** Nodes by data centre and version. */
  counts(): readonly { dataCentre: string; version: Version; nodes: number }[];
  laggards(): readonly LaggingNode[];
  /** Data centres of the nodes that the control instance feeds, by its last report. */
  servedDataCentres(control: string): readonly string[];
  inventory(): Inventory;
  onChange(listener: () => void): () => void;
}

/** Outcome of a change, as recorded under its change id. */
export interface ChangeOutcome {
  readonly outcome: 'accepted' | 'refused' | 'unchanged';
  readonly version: Version;
  readonly findings: readonly Finding[];
}

/** Client of the at-most-once ledger, as the call path uses it. */
export interface LedgerClient {
  claim(claim: {
    service: string;
    key: string;
    attemptId: string;
    fingerprint: Uint8Array;
    timeoutMs: number;
  }): Promise<ClaimOutcome>;
  complete(completion: {
    service: string;
    key: string;
    attemptId: string;
    answer: LedgerAnswer;
  }): Promise<void>;
  release(release: { service: string; key: string; attemptId: string }): Promise<void>;
}

export interface LedgerAnswer {
  readonly status: number;
  readonly headers: Readonly<Record<string, string>>;
  readonly body: Uint8Array;
  readonly bodyOmitted: boolean;
}

export type ClaimOutcome =
  | { readonly outcome: 'granted' }
  | { readonly outcome: 'completed'; readonly answer: LedgerAnswer }
  | { readonly outcome: 'in_progress' }
  | { readonly outcome: 'mismatch' };
