/**
 * State machine of the replica group `configuration`. Changes are accepted by compare-and-set on
 * the base version that the operator saw. The first outcome of each change id is kept, so that
 * resending a change is idempotent.
 */
import { createHash } from 'node:crypto';
import type { CommittedEntry, StateMachine } from '../../types/internal.js';
import type { Configuration, Version } from '../../types/public.js';
import {
  decodeConfiguration,
  digestConfiguration,
  encodeConfiguration,
} from '../operators/configuration.js';
import { compressText, decompress } from '../../utils/compression.js';
import { Failure } from '../../utils/failure.js';
import type { EndedOrder, RolloutOrder } from '../rollouts/rolloutState.js';
import { createRolloutEntries, type RolloutEntry } from './rolloutEntries.js';
import { createUpstreamEnds, type UpstreamEnd, type UpstreamEndEntry } from './upstreamEnds.js';
import { compareVersions, noVersion } from './version.js';

/** Maximum number of changes whose outcomes are kept. */
export const maxChangesKept = 10_000;
/**
 * Maximum number of configurations kept as bases for deltas; this is more than a fifth of the
 * changes of one day.
 */
export const maxConfigurationsKept = 256;
/** Limit for the total target text of the kept configurations; fewer are kept if they are large. */
const maxTargetBytesKept = 1024 * 1024;

/** Largest decompressed entry: the largest document, with every character escaped in JSON. */
const maxEntryTextBytes = 64 * 1024 * 1024;

/** Maximum number of endpoints drained at a time: a quarter of the design size of 1,000. */
export const maxDrains = 256;

/** A change of the targets, as proposed by an operator. */
export interface Change {
  readonly changeId: string;
  readonly baseVersion: Version;
  /** Targets in TOML, as written by the operator. */
  readonly targets: string;
  readonly fileName: string;
  readonly operator: string;
  readonly note: string;
  /** Wall-clock time at the leader, in ms. */
  readonly proposedAtMs: number;
}

/**
 * A change submitted as a document. The operator chooses the document's number, which increases
 * from document to document. The number of the base document takes the place of the base version.
 */
export interface DocumentChange {
  readonly changeId: string;
  readonly text: string;
  /** Numbers taken from the text, so that the change can be applied without parsing the text. */
  readonly number: number;
  readonly baseNumber: number;
  /** Wall-clock time at the leader, in ms. */
  readonly proposedAtMs: number;
}

/** Parsed content of a document. */
export interface Document {
  readonly number: number;
  /** Number of the base document; 0 for the first document. */
  readonly baseNumber: number;
  readonly configuration: Configuration;
}

/**
 * Parses a document. Must be deterministic: equal texts give equal results on every replica. Throws
 * a Failure if the text is invalid.
 */
export type DocumentReader = (text: string) => Document;

/** Drains an endpoint, or undoes the drain. Applies to whichever configuration is in force. */
export interface DrainChange {
  readonly changeId: string;
  readonly endpointId: string;
  readonly undo: boolean;
  readonly operator: string;
  /** Wall-clock time at the leader, in ms. */
  readonly proposedAtMs: number;
}

export type ChangeResult =
  | { readonly outcome: 'accepted' | 'unchanged'; readonly version: Version }
  | { readonly outcome: 'refused'; readonly reason: RefusalCause; readonly version: Version };

export type RefusalCause =
  | 'version_conflict'
  | 'change_id_reused'
  | 'malformed_message'
  | 'no_configuration'
  | 'rollout_running'
  | 'change_too_large';

/** Outcome of a change, stored by change id. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly fingerprint: string;
  readonly operator: string;
  readonly note: string;
  readonly decidedAtMs: number;
  readonly result: ChangeResult;
}

/** Result of applying an entry; `replayed` if an earlier entry with the same id decided it. */
export interface AppliedChange {
  readonly result: ChangeResult;
  readonly replayed: boolean;
}

export interface StoredConfiguration {
  readonly version: Version;
  readonly configuration: Configuration;
  readonly digest: Uint8Array;
  readonly targets: string;
  readonly acceptedAtMs: number;
  /** Number of the newest document that the configuration includes; 0 if there is none. */
  readonly documentNumber: number;
  readonly drains: Configuration['drains'];
  readonly rollouts: Configuration['rollouts'];
}

export interface ConfigurationHistory {
  readonly machine: StateMachine<AppliedChange>;
  readonly queries: {
    head(): StoredConfiguration | undefined;
    at(version: Version): StoredConfiguration | undefined;
    record(changeId: string): ChangeRecord | undefined;
    /** Newest first. */
    history(limit: number): readonly ChangeRecord[];
    /**
     * Returns the recorded outcome or the version conflict that the change would get now, without
     * appending an entry. Undefined if neither applies.
     */
    precheck(change: Change): AppliedChange | undefined;
    /** Same as `precheck`, for a parsed document. */
    precheckDocument(change: DocumentChange): AppliedChange | undefined;
    /** The result of an order of a rollout if it starts none now; undefined if it would. */
    precheckRollout(order: RolloutOrder): AppliedChange | undefined;
    /** Ends of the upstreams beside the node, oldest first. */
    upstreamEnds(node: string): readonly UpstreamEnd[];
  };
}

interface Command extends Change {
  readonly configuration: Configuration;
}

type ChangeSummary = Pick<ChangeRecord, 'changeId' | 'fingerprint' | 'operator' | 'note'> & {
  readonly proposedAtMs: number;
};

type Entry =
  | { readonly type: 'targets'; readonly command: Command }
  | { readonly type: 'document'; readonly command: DocumentChange }
  | { readonly type: 'drain'; readonly command: DrainChange }
  | { readonly type: 'rollout'; readonly command: RolloutEntry }
  | { readonly type: 'upstreamEnd'; readonly command: UpstreamEnd };

interface Snapshot {
  readonly records: readonly ChangeRecord[];
  readonly endedOrders?: readonly EndedOrder[];
  readonly upstreamEnds?: readonly UpstreamEnd[];
  readonly configurations: readonly (Omit<StoredConfiguration, 'digest' | 'configuration'> & {
    /** Unset for a document, because the configuration is parsed from its text. */
    readonly configuration?: string;
  })[];
}

const encodeText = (text: string): Uint8Array => new TextEncoder().encode(text);
const decodeText = (bytes: Uint8Array): string => new TextDecoder().decode(bytes);

/** Encodes a change together with the configuration parsed from its targets. */
export const encodeChange = (change: Change, configuration: Configuration): Uint8Array => {
  const canonical = decodeText(encodeConfiguration(configuration));
  return encodeText(JSON.stringify({ ...change, configuration: canonical }));
};

export const encodeDrain = (drain: DrainChange): Uint8Array =>
  encodeText(JSON.stringify({ drain }));

/**
 * Encodes a document. Its text is repetitive and is replicated to every control instance, so it is
 * compressed, to about a tenth of its size.
 */
export const encodeDocument = (document: DocumentChange): Uint8Array =>
  compressText(JSON.stringify({ document }));

const decodeEntry = (payload: Uint8Array): Entry => {
  const content = JSON.parse(decodeText(decompress(payload, maxEntryTextBytes))) as
    | { readonly drain: DrainChange }
    | { readonly document: DocumentChange }
    | RolloutEntry
    | UpstreamEndEntry
    | (Change & { configuration: string });
  if ('drain' in content) {
    return { type: 'drain', command: content.drain };
  }
  if ('document' in content) {
    return { type: 'document', command: content.document };
  }
  if ('rolloutOrder' in content || 'rolloutStep' in content) {
    return { type: 'rollout', command: content };
  }
  if ('upstreamEnd' in content) {
    return { type: 'upstreamEnd', command: content.upstreamEnd };
  }
  const { configuration, ...change } = content;
  const command = { ...change, configuration: decodeConfiguration(encodeText(configuration)) };
  return { type: 'targets', command };
};

/**
 * Digest that identifies the content of a change. The base version is not included: if a change was
 * accepted and is resent with the current version as its base, it is still the same change.
 */
const fingerprintOf = ({ targets }: Change): string =>
  createHash('sha256').update(targets).digest('hex');

const fingerprintOfDrain = ({ endpointId, undo }: DrainChange): string =>
  createHash('sha256')
    .update(JSON.stringify(['drain', endpointId, undo]))
    .digest('hex');

const summarizeTargets = (change: Change): ChangeSummary => ({
  changeId: change.changeId,
  fingerprint: fingerprintOf(change),
  operator: change.operator,
  note: change.note,
  proposedAtMs: change.proposedAtMs,
});

const summarizeDocument = ({ changeId, text, proposedAtMs }: DocumentChange): ChangeSummary => ({
  changeId,
  fingerprint: createHash('sha256').update(text).digest('hex'),
  operator: '',
  note: 'document',
  proposedAtMs,
});

const summarizeDrain = (drain: DrainChange): ChangeSummary => ({
  changeId: drain.changeId,
  fingerprint: fingerprintOfDrain(drain),
  operator: drain.operator,
  note: `drain ${drain.endpointId}${drain.undo ? ' --undo' : ''}`,
  proposedAtMs: drain.proposedAtMs,
});

const changeDrains = (
  configuration: Configuration,
  { endpointId, undo }: DrainChange,
): Configuration => {
  const others = Object.values(configuration.drains ?? {}).filter(
    ({ name }) => name !== endpointId,
  );
  const drained = undo ? others : [...others, { name: endpointId }];
  return { ...configuration, drains: Object.fromEntries(drained.map((each) => [each.name, each])) };
};

const refuseDocuments: DocumentReader = () => {
  throw new Failure('malformed_message', 'no document reader is configured');
};

type StoredFields = Omit<StoredConfiguration, 'configuration' | 'digest'>;

/**
 * Creates a stored configuration that is parsed on first access: a replica that catches up applies
 * hundreds of changes, and only the newest configuration is used.
 */
const createLazyConfiguration = (
  fields: StoredFields,
  load: () => Configuration,
): StoredConfiguration => {
  let configuration: Configuration | undefined;
  const get = (): Configuration => {
    configuration ??= load();
    return configuration;
  };
  return Object.defineProperties({ ...fields } as StoredConfiguration, {
    configuration: { get },
    digest: { get: () => digestConfiguration(get()) },
  });
};

/** Returns the newest configurations, as many as the limits on their number and size allow. */
const trimConfigurations = (
  configurations: readonly StoredConfiguration[],
): StoredConfiguration[] => {
  let bytes = 0;
  const first = configurations.findLastIndex(({ targets }, index) => {
    bytes += targets.length;
    const isNewest = index === configurations.length - 1;
    return !isNewest && bytes > maxTargetBytesKept;
  });
  return configurations.slice(Math.max(first + 1, configurations.length - maxConfigurationsKept));
};

/** Creates the state machine of the group `configuration`. */
export const createConfigurationHistory = ({
  readDocument = refuseDocuments,
}: { readDocument?: DocumentReader } = {}): ConfigurationHistory => {
  let records = new Map<string, ChangeRecord>();
  let configurations: StoredConfiguration[] = [];
  const upstreamEnds = createUpstreamEnds();

  const head = () => configurations.at(-1);
  const headVersion = () => head()?.version ?? noVersion;

  const findReplay = (change: ChangeSummary): AppliedChange | undefined => {
    const record = records.get(change.changeId);
    if (!record) {
      return undefined;
    }
    if (record.fingerprint === change.fingerprint) {
      return { result: record.result, replayed: true };
    }
    const result: ChangeResult = {
      outcome: 'refused',
      reason: 'change_id_reused',
      version: headVersion(),
    };
    return { result, replayed: false };
  };

  const conflictOf = (change: Change): ChangeResult | undefined =>
    compareVersions(change.baseVersion, headVersion()) === 0
      ? undefined
      : { outcome: 'refused', reason: 'version_conflict', version: headVersion() };

  const storeRecord = ({ proposedAtMs, ...change }: ChangeSummary, result: ChangeResult) => {
    records.set(change.changeId, { ...change, decidedAtMs: proposedAtMs, result });
    if (records.size > maxChangesKept) {
      const oldest = records.keys().next().value!;
      records.delete(oldest);
    }
  };

  const push = (fields: StoredFields, load: () => Configuration): ChangeResult => {
    configurations = trimConfigurations([...configurations, createLazyConfiguration(fields, load)]);
    return { outcome: 'accepted', version: fields.version };
  };

  const accept = (
    {
      configuration,
      targets,
      proposedAtMs: acceptedAtMs,
    }: Pick<Command, 'configuration' | 'targets' | 'proposedAtMs'>,
    version: Version,
  ): ChangeResult => {
    const current = head();
    const digest = digestConfiguration(configuration);
    if (current && Buffer.compare(current.digest, digest) === 0 && current.targets === targets) {
      return { outcome: 'unchanged', version: current.version };
    }
    const { documentNumber = 0 } = current ?? {};
    const { drains, rollouts } = configuration;
    const fields = { version, targets, acceptedAtMs, documentNumber, drains, rollouts };
    return push(fields, () => configuration);
  };

  const decideTargets = (command: Command, version: Version): ChangeResult => {
    const { drains, rollouts } = head() ?? {};
    const configuration = { ...command.configuration, drains, rollouts };
    return conflictOf(command) ?? accept({ ...command, configuration }, version);
  };

  const documentConflictOf = (change: DocumentChange): ChangeResult | undefined => {
    const { number, baseNumber } = change;
    const current = head()?.documentNumber ?? 0;
    return baseNumber === current && number > current
      ? undefined
      : { outcome: 'refused', reason: 'version_conflict', version: headVersion() };
  };

  /** Does not throw: the leader parsed the document before it proposed the change. */
  const loadDocument =
    (text: string, { drains, rollouts }: Pick<Configuration, 'drains' | 'rollouts'>) =>
    () => ({
      ...readDocument(text).configuration,
      ...(drains && { drains }),
      ...(rollouts && { rollouts }),
    });

  const decideDocument = (change: DocumentChange, version: Version): ChangeResult => {
    const { text: targets, proposedAtMs: acceptedAtMs, number: documentNumber } = change;
    const { drains, rollouts } = head() ?? {};
    const fields = { version, targets, acceptedAtMs, documentNumber, drains, rollouts };
    return documentConflictOf(change) ?? push(fields, loadDocument(targets, fields));
  };

  const rolloutEntries = createRolloutEntries({
    version: () => head()?.version,
    rollouts: () => head()?.rollouts ?? {},
    push: (rollouts, version, acceptedAtMs) => {
      const current = head()!;
      const { targets, documentNumber, drains } = current;
      const fields = { version, targets, acceptedAtMs, documentNumber, drains, rollouts };
      if (documentNumber > 0) {
        return push(fields, loadDocument(targets, fields));
      }
      const configuration = { ...current.configuration, rollouts };
      return push(fields, () => configuration);
    },
  });

  const decideDrain = (drain: DrainChange, version: Version): ChangeResult => {
    const current = head();
    if (!current) {
      return { outcome: 'refused', reason: 'no_configuration', version: noVersion };
    }
    const configuration = changeDrains(current.configuration, drain);
    if (Object.keys(configuration.drains ?? {}).length > maxDrains) {
      return { outcome: 'refused', reason: 'change_too_large', version: current.version };
    }
    return accept({ ...current, ...drain, configuration }, version);
  };

  const decide = (summary: ChangeSummary, evaluate: () => ChangeResult): AppliedChange => {
    const replay = findReplay(summary);
    if (replay) {
      return replay;
    }
    const result = evaluate();
    storeRecord(summary, result);
    return { result, replayed: false };
  };

  /**
   * Does not record the refusal of a document: its change id is derived from its text, and the same
   * text may be accepted once its base document has arrived.
   */
  const applyDocument = (change: DocumentChange, version: Version): AppliedChange => {
    const summary = summarizeDocument(change);
    const replay = findReplay(summary);
    if (replay) {
      return replay;
    }
    const result = decideDocument(change, version);
    if (result.outcome === 'accepted') {
      storeRecord(summary, result);
    }
    return { result, replayed: false };
  };

  const apply = ({ term, index, payload }: CommittedEntry): AppliedChange => {
    const entry = decodeEntry(payload);
    const version = { term, index };
    if (entry.type === 'document') {
      return applyDocument(entry.command, version);
    }
    if (entry.type === 'rollout') {
      return rolloutEntries.commands.apply(entry.command, version);
    }
    if (entry.type === 'upstreamEnd') {
      upstreamEnds.commands.add(entry.command);
      return { result: { outcome: 'unchanged', version: headVersion() }, replayed: false };
    }
    return entry.type === 'drain'
      ? decide(summarizeDrain(entry.command), () => decideDrain(entry.command, version))
      : decide(summarizeTargets(entry.command), () => decideTargets(entry.command, version));
  };

  const snapshot = (): Uint8Array => {
    const content: Snapshot = {
      records: [...records.values()],
      endedOrders: rolloutEntries.queries.endedOrders(),
      upstreamEnds: upstreamEnds.queries.all(),
      configurations: configurations.map((stored) => {
        const { version, targets, acceptedAtMs, documentNumber, drains, rollouts } = stored;
        const fields = { version, targets, acceptedAtMs, documentNumber, drains, rollouts };
        return documentNumber > 0
          ? fields
          : { ...fields, configuration: decodeText(encodeConfiguration(stored.configuration)) };
      }),
    };
    return encodeText(JSON.stringify(content));
  };

  const restore = (data: Uint8Array) => {
    const content: Snapshot =
      data.length === 0
        ? { records: [], configurations: [] }
        : (JSON.parse(decodeText(data)) as Snapshot);
    records = new Map(content.records.map((record) => [record.changeId, record]));
    configurations = content.configurations.map(({ configuration: text, ...stored }) => {
      const { documentNumber = 0 } = stored;
      return createLazyConfiguration(
        { ...stored, documentNumber },
        text === undefined
          ? loadDocument(stored.targets, stored)
          : () => decodeConfiguration(encodeText(text)),
      );
    });
    rolloutEntries.commands.restore(content.endedOrders);
    upstreamEnds.commands.restore(content.upstreamEnds);
  };

  return {
    machine: { apply, snapshot, restore },
    queries: {
      head,
      at: (version) =>
        configurations.find((stored) => compareVersions(stored.version, version) === 0),
      record: (changeId) => records.get(changeId),
      history: (limit) => [...records.values()].slice(-limit).reverse(),
      precheck: (change) => {
        const replay = findReplay(summarizeTargets(change));
        const conflict = conflictOf(change);
        return replay ?? (conflict && { result: conflict, replayed: false });
      },
      precheckDocument: (change) => {
        const replay = findReplay(summarizeDocument(change));
        const conflict = documentConflictOf(change);
        return replay ?? (conflict && { result: conflict, replayed: false });
      },
      precheckRollout: rolloutEntries.queries.precheck,
      upstreamEnds: upstreamEnds.queries.at,
    },
  };
};
