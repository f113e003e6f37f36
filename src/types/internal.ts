/**
 * Interfaces between components. A component depends on these instead of another component's
 * module, so that it can be tested with small fakes. Commands change state, queries read it.
 */
import type { Cluster, Configuration, Endpoint, Finding, Policy, Version } from './public.js';

/** How long a node keeps accepting work after its stop began, in ms. */
export interface StopTimes {
  /** Time for which new connections are accepted, so that callers can notice it is not ready. */
  readonly acceptMs: number;
  /** Time for which idle connections of callers stay open. */
  readonly idleMs: number;
}

/** A member of a replica group, as stored in its log. */
export interface Member {
  readonly name: string;
  /** Peer address, `ip:port`. */
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
  /** Random id of the member's data folder. */
  readonly incarnation: string;
  /** A learner receives the log, but does not vote or count towards a quorum. */
  readonly kind: 'voter' | 'learner';
}

/** A log entry that a quorum has stored. */
export interface CommittedEntry {
  readonly term: number;
  readonly index: number;
  readonly payload: Uint8Array;
}

/** A deterministic state machine to which a replica group applies its committed entries. */
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
    /** The members, of which a promoted voter counts as a learner until the log confirms that. */
    settledMembers(): readonly Member[];
    /** Number of voters whose data folders are not known to be lost. */
    intactVoters(): number;
    /** The same without a voter whose addition is not confirmed by the log yet. */
    confirmedVoters(): number;
    commitIndex(): number;
    /** Resolves once a quorum confirmed that this replica still leads; rejects otherwise. */
    confirmRead(): Promise<void>;
    /** Time in ms since a quorum last confirmed the leader that this replica follows or is. */
    confirmedAgeMs(): number;
    /** Time in ms since the leader last received a response from the member. */
    contactAgeMs(member: string): number;
    matchIndex(member: string): number;
  };
}

/** The newest committed configuration, as a control instance distributes it. */
export interface CommittedConfiguration {
  readonly version: Version;
  readonly configuration: Configuration;
  readonly digest: Uint8Array;
  /** Time of day at which the change was accepted, in ms. */
  readonly acceptedAtMs: number;
}

/** Source of the configurations that a control instance's feed distributes. */
export interface ConfigurationSource {
  head(): CommittedConfiguration | undefined;
  /** Configuration of an older version, as the base of a delta, if it is still retained. */
  configurationAt(version: Version): Configuration | undefined;
  confirmedAgeMs(): number;
  /** False while this instance is partitioned from the quorum or has not caught up with it. */
  isCurrent(): boolean;
  onChange(listener: () => void): () => void;
}

/** The configuration that a proxy serves with: immutable, replaced as a whole. */
export interface ActiveConfiguration {
  readonly version: Version;
  readonly digest: Uint8Array;
  readonly configuration: Configuration;
  readonly policies: ReadonlyMap<string, Policy>;
  /** Clusters by service. A route is active only if its cluster is present here. */
  readonly clusters: ReadonlyMap<string, Cluster>;
}

/** A node's view of its configuration and clusters, which its feed keeps up to date. */
export interface ConfigurationView {
  readonly commands: {
    /**
     * Subscribes to the service's endpoints. Resolves when they are known, or with undefined after
     * `timeoutMs`.
     */
    ensureCluster(service: string, timeoutMs: number): Promise<Cluster | undefined>;
    /** Records a call to the service, which keeps its cluster subscribed. */
    recordUse(service: string): void;
  };
  readonly queries: {
    current(): ActiveConfiguration | undefined;
    /** True if no confirmation was received within the lease. */
    isDetached(): boolean;
    confirmedAgeMs(): number;
    /** Number of nodes in the fleet, the highest that was heard of; 0 if it is unknown. */
    fleetNodes(): number;
  };
  onChange(listener: (held: ActiveConfiguration) => void): () => void;
}

/** Reports of a process of an upstream up to this one are outdated. */
export interface EndMark {
  /** Id of the upstream. */
  readonly endpoint: string;
  /** Start of the upstream's process in ms of its own clock. */
  readonly startedAt: number;
  /** Number of the process's last report that counts; the highest safe integer after its end. */
  readonly sequence: number;
}

/** Ends of the upstreams beside a node, stored by a quorum of the control instances. */
export interface UpstreamEndStore {
  /** Resolves once the end is stored. Rejects with `no_quorum` after the limit. */
  record(mark: EndMark, limitMs: number): Promise<void>;
  /** Resolves with all ends that were stored before. Rejects with `no_quorum` after the limit. */
  list(limitMs: number): Promise<readonly EndMark[]>;
}

/** Announces the endpoint of a node to the mesh. */
export interface Announcer {
  announce(endpoint: Endpoint): void;
  withdraw(endpointId: string): void;
}

/** Known state of the fleet, for the validation of a change and for the status. */
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

/** Versions in force across the fleet, merged from the reports of the distribution tree. */
export interface FleetStatus {
  /** Number of nodes by data centre and version. */
  counts(): readonly { dataCentre: string; version: Version; nodes: number }[];
  laggards(): readonly LaggingNode[];
  /** Data centres of the nodes that the control instance serves, by its last report. */
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
