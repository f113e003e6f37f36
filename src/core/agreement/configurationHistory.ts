/**
 * State machine of the group `configuration`: accepts changes by compare-and-set on the version that
 * the operator saw. The first outcome of a change id is kept, so that a resend has no second effect.
 */
import { createHash } from 'node:crypto';
import { constants, gunzipSync, gzipSync } from 'node:zlib';
import type { CommittedEntry, StateMachine } from '../../types/internal.js';
import type { Configuration, Version } from '../../types/public.js';
import {
  decodeConfiguration,
  digestConfiguration,
  encodeConfiguration,
} from '../operators/configuration.js';
import { Failure } from '../../utils/failure.js';
import { compareVersions, noVersion } from './version.js';

/** Changes whose outcome is kept. */
export const maxChangesKept = 10_000;
/** Configurations that are kept as bases of deltas: more than a fifth of a day's changes. */
export const maxConfigurationsKept = 256;
/** Bytes of target text of the configurations that are kept, so that large ones are fewer. */
const maxTargetBytesKept = 1024 * 1024;

/** Largest text of an entry: the largest document, each of whose characters may be escaped. */
const maxEntryTextBytes = 64 * 1024 * 1024;

/** Endpoints that are out of use at a time: a quarter of the 1,000 of the design size. */
export const maxDrains = 256;

/** A change as an operator proposes it. */
export interface Change {
  readonly changeId: string;
  readonly baseVersion: Version;
  /** Targets in TOML, as the operator wrote them. */
  readonly targets: string;
  readonly fileName: string;
  readonly operator: string;
  readonly note: string;
  /** Time of day at the leader, in ms. */
  readonly proposedAtMs: number;
}

/**
 * A change that an operator hands in as a document with a number of its own choice, which rises from
 * document to document. The number of the document that it builds on stands in for the version.
 */
export interface DocumentChange {
  readonly changeId: string;
  readonly text: string;
  /** Numbers that the text names, so that applying the change does not have to read all of it. */
  readonly number: number;
  readonly baseNumber: number;
  /** Time of day at the leader, in ms. */
  readonly proposedAtMs: number;
}

/** What a document says. */
export interface Document {
  readonly number: number;
  /** Number of the document that this one builds on; 0 for the first. */
  readonly baseNumber: number;
  readonly configuration: Configuration;
}

/** Reads a document. Equal texts give equal results on every replica; throws a Failure otherwise. */
export type DocumentReader = (text: string) => Document;

/** Takes an endpoint out of use, or back. It applies to whatever configuration is in force. */
export interface DrainChange {
  readonly changeId: string;
  readonly endpointId: string;
  readonly undo: boolean;
  readonly operator: string;
  /** Time of day at the leader, in ms. */
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
  | 'change_too_large';

/** Outcome of a change, as kept under its id. */
export interface ChangeRecord {
  readonly changeId: string;
  readonly fingerprint: string;
  readonly operator: string;
  readonly note: string;
  readonly decidedAtMs: number;
  readonly result: ChangeResult;
}

/** Outcome of an entry; `replayed` if it was decided by an earlier one. */
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
  /** Number of the newest document that is part of it; 0 if none is. */
  readonly documentNumber: number;
  readonly drains: Configuration['drains'];
}

export interface ConfigurationHistory {
  readonly machine: StateMachine<AppliedChange>;
  readonly queries: {
    head(): StoredConfiguration | undefined;
    at(version: Version): StoredConfiguration | undefined;
    record(changeId: string): ChangeRecord | undefined;
    /** Newest first. */
    history(limit: number): readonly ChangeRecord[];
    /** What the change would lead to now, without an entry. */
    precheck(change: Change): AppliedChange | undefined;
    /** The same for a document that was read. */
    precheckDocument(change: DocumentChange): AppliedChange | undefined;
  };
}

interface Command extends Change {
  readonly configuration: Configuration;
}

type Decided = Pick<ChangeRecord, 'changeId' | 'fingerprint' | 'operator' | 'note'> & {
  readonly proposedAtMs: number;
};

type Entry =
  | { readonly type: 'targets'; readonly command: Command }
  | { readonly type: 'document'; readonly command: DocumentChange }
  | { readonly type: 'drain'; readonly command: DrainChange };

interface Snapshot {
  readonly records: readonly ChangeRecord[];
  readonly configurations: readonly (Omit<StoredConfiguration, 'digest' | 'configuration'> & {
    /** Unset for a document, whose text is the whole of it. */
    readonly configuration?: string;
  })[];
}

const encodeText = (text: string): Uint8Array => new TextEncoder().encode(text);
const decodeText = (bytes: Uint8Array): string => new TextDecoder().decode(bytes);

/** Encodes a change together with the configuration that its targets stand for. */
export const encodeChange = (change: Change, configuration: Configuration): Uint8Array => {
  const canonical = decodeText(encodeConfiguration(configuration));
  return encodeText(JSON.stringify({ ...change, configuration: canonical }));
};

export const encodeDrain = (drain: DrainChange): Uint8Array =>
  encodeText(JSON.stringify({ drain }));

/**
 * Encodes a document. Its text repeats itself and goes to each control instance, so it is
 * compressed at the fastest level, to about a tenth.
 */
export const encodeDocument = (document: DocumentChange): Uint8Array =>
  // Applying an entry is one step, so that compression may not wait either.
  // eslint-disable-next-line n/no-sync
  gzipSync(JSON.stringify({ document }), { level: constants.Z_BEST_SPEED });

/** Entries are JSON, or JSON that is compressed, which starts with these bytes. */
const isCompressed = (payload: Uint8Array): boolean => payload[0] === 0x1f && payload[1] === 0x8b;

const textOfEntry = (payload: Uint8Array): string =>
  decodeText(
    // eslint-disable-next-line n/no-sync
    isCompressed(payload) ? gunzipSync(payload, { maxOutputLength: maxEntryTextBytes }) : payload,
  );

const decodeEntry = (payload: Uint8Array): Entry => {
  const content = JSON.parse(textOfEntry(payload)) as
    | { readonly drain: DrainChange }
    | { readonly document: DocumentChange }
    | (Change & { configuration: string });
  if ('drain' in content) {
    return { type: 'drain', command: content.drain };
  }
  if ('document' in content) {
    return { type: 'document', command: content.document };
  }
  const { configuration, ...change } = content;
  const command = { ...change, configuration: decodeConfiguration(encodeText(configuration)) };
  return { type: 'targets', command };
};

/**
 * Digest of what makes two requests the same change. The base does not count: a resend after the
 * first request was accepted, with the current version as its base, still asks for that change.
 */
const fingerprintOf = ({ targets }: Change): string =>
  createHash('sha256').update(targets).digest('hex');

const fingerprintOfDrain = ({ endpointId, undo }: DrainChange): string =>
  createHash('sha256')
    .update(JSON.stringify(['drain', endpointId, undo]))
    .digest('hex');

const decidedTargets = (change: Change): Decided => ({
  changeId: change.changeId,
  fingerprint: fingerprintOf(change),
  operator: change.operator,
  note: change.note,
  proposedAtMs: change.proposedAtMs,
});

const decidedDocument = ({ changeId, text, proposedAtMs }: DocumentChange): Decided => ({
  changeId,
  fingerprint: createHash('sha256').update(text).digest('hex'),
  operator: '',
  note: 'document',
  proposedAtMs,
});

const decidedDrain = (drain: DrainChange): Decided => ({
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
  throw new Failure('malformed_message', 'documents are not read here');
};

type StoredFields = Omit<StoredConfiguration, 'configuration' | 'digest'>;

/**
 * A configuration that is built when it is first asked for: a replica that catches up applies
 * hundreds of changes, and only the newest one is used.
 */
const storeLazily = (fields: StoredFields, load: () => Configuration): StoredConfiguration => {
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

/** Newest configurations, as many as the bounds on their number and size allow. */
const boundKept = (configurations: readonly StoredConfiguration[]): StoredConfiguration[] => {
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

  const head = () => configurations.at(-1);
  const headVersion = () => head()?.version ?? noVersion;

  const replayOf = (change: Decided): AppliedChange | undefined => {
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

  const keepRecord = ({ proposedAtMs, ...change }: Decided, result: ChangeResult) => {
    records.set(change.changeId, { ...change, decidedAtMs: proposedAtMs, result });
    if (records.size > maxChangesKept) {
      const oldest = records.keys().next().value!;
      records.delete(oldest);
    }
  };

  const push = (fields: StoredFields, load: () => Configuration): ChangeResult => {
    configurations = boundKept([...configurations, storeLazily(fields, load)]);
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
    const { drains } = configuration;
    return push({ version, targets, acceptedAtMs, documentNumber, drains }, () => configuration);
  };

  const decideTargets = (command: Command, version: Version): ChangeResult => {
    const { drains } = head() ?? {};
    const configuration = { ...command.configuration, drains };
    return conflictOf(command) ?? accept({ ...command, configuration }, version);
  };

  const documentConflictOf = (change: DocumentChange): ChangeResult | undefined => {
    const { number, baseNumber } = change;
    const current = head()?.documentNumber ?? 0;
    return baseNumber === current && number > current
      ? undefined
      : { outcome: 'refused', reason: 'version_conflict', version: headVersion() };
  };

  /** The leader has read the document before it proposed it, so that it can be read later. */
  const loadDocument = (text: string, drains: Configuration['drains']) => () => ({
    ...readDocument(text).configuration,
    ...(drains && { drains }),
  });

  const decideDocument = (change: DocumentChange, version: Version): ChangeResult => {
    const { text: targets, proposedAtMs: acceptedAtMs, number: documentNumber } = change;
    const { drains } = head() ?? {};
    const fields = { version, targets, acceptedAtMs, documentNumber, drains };
    return documentConflictOf(change) ?? push(fields, loadDocument(targets, drains));
  };

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

  const decide = (decided: Decided, judge: () => ChangeResult): AppliedChange => {
    const replay = replayOf(decided);
    if (replay) {
      return replay;
    }
    const result = judge();
    keepRecord(decided, result);
    return { result, replayed: false };
  };

  /**
   * The refusal of a document is not kept: its id stands for its text, and the same text may fit
   * once the document that it builds on has arrived.
   */
  const applyDocument = (change: DocumentChange, version: Version): AppliedChange => {
    const decided = decidedDocument(change);
    const replay = replayOf(decided);
    if (replay) {
      return replay;
    }
    const result = decideDocument(change, version);
    if (result.outcome === 'accepted') {
      keepRecord(decided, result);
    }
    return { result, replayed: false };
  };

  const apply = ({ term, index, payload }: CommittedEntry): AppliedChange => {
    const entry = decodeEntry(payload);
    const version = { term, index };
    if (entry.type === 'document') {
      return applyDocument(entry.command, version);
    }
    return entry.type === 'drain'
      ? decide(decidedDrain(entry.command), () => decideDrain(entry.command, version))
      : decide(decidedTargets(entry.command), () => decideTargets(entry.command, version));
  };

  const snapshot = (): Uint8Array => {
    const content: Snapshot = {
      records: [...records.values()],
      configurations: configurations.map((stored) => {
        const { version, targets, acceptedAtMs, documentNumber, drains } = stored;
        const fields = { version, targets, acceptedAtMs, documentNumber, drains };
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
      const { documentNumber = 0, drains } = stored;
      return storeLazily(
        { ...stored, documentNumber },
        text === undefined
          ? loadDocument(stored.targets, drains)
          : () => decodeConfiguration(encodeText(text)),
      );
    });
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
        const replay = replayOf(decidedTargets(change));
        const conflict = conflictOf(change);
        return replay ?? (conflict && { result: conflict, replayed: false });
      },
      precheckDocument: (change) => {
        const replay = replayOf(decidedDocument(change));
        const conflict = documentConflictOf(change);
        return replay ?? (conflict && { result: conflict, replayed: false });
      },
    },
  };
};
