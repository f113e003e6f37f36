/**
 * Configurations that a process can pass on: the newest one, and a few older ones as bases for
 * deltas. An update is stored only after it was verified as a whole, and only if it is newer.
 */
import type { Configuration, Version } from '../../types/public.js';
import { compressText, decompress } from '../../utils/compression.js';
import { Failure } from '../../utils/failure.js';
import { canonicalText, decodeCanonical, digestConfiguration } from '../operators/configuration.js';
import {
  applyDelta,
  countChanged,
  decodeDelta,
  diffConfigurations,
  encodeDelta,
  equalBytes,
  maxUpdateTextBytes,
} from './delta.js';
import { compareVersions, formatVersion, isNewer, noVersion } from '../agreement/version.js';

/** Versions kept as bases for deltas. A child with an older version receives a full update. */
const maxKeptVersions = 8;

export interface StoredConfiguration {
  readonly version: Version;
  readonly configuration: Configuration;
  readonly digest: Uint8Array;
}

/** A configuration update as sent to a child: full, or a delta from `base`. */
export interface ConfigurationChange {
  readonly version: Version;
  readonly base?: { readonly version: Version; readonly digest: Uint8Array };
  readonly resultDigest: Uint8Array;
  /** Compressed, since thousands of routes would fill a slow link for seconds. */
  readonly body: Uint8Array;
}

/** The configuration that a process holds. */
export interface ConfigurationCursor {
  readonly version: Version;
  readonly digest: Uint8Array;
}

/** Result of an update. `wrong_base`: the delta does not apply to the newest configuration. */
export type ConfigurationUpdateResult = 'stored' | 'not_newer' | 'wrong_base';

export interface ConfigurationStore {
  readonly commands: {
    /** Stores a verified configuration. Returns false if it is not newer than the newest one. */
    put(stored: StoredConfiguration): boolean;
    /** Verifies and stores an update. Throws a Failure `bad_update` if it fails its checks. */
    receive(change: ConfigurationChange): ConfigurationUpdateResult;
  };
  readonly queries: {
    newest(): StoredConfiguration | undefined;
    /** Update for a process that holds the cursor's version; undefined if it is up to date. */
    changeSince(cursor: ConfigurationCursor | undefined): ConfigurationChange | undefined;
  };
}

const decodeFull = (change: ConfigurationChange): Configuration => {
  let configuration: Configuration | undefined;
  try {
    const text = decompress(change.body, maxUpdateTextBytes);
    configuration = decodeCanonical(text, change.resultDigest);
  } catch (cause) {
    throw new Failure('bad_update', `version ${formatVersion(change.version)} cannot be decoded`, {
      cause,
    });
  }
  if (!configuration) {
    throw new Failure('bad_update', `version ${formatVersion(change.version)}: digest mismatch`);
  }
  return configuration;
};

const countEntries = ({ services, classes, drains = {} }: Configuration): number =>
  [services, classes, drains].reduce((sum, entries) => sum + Object.keys(entries).length, 0);

const keyOf = (cursor: ConfigurationCursor | undefined): string =>
  cursor ? `${formatVersion(cursor.version)} ${Buffer.from(cursor.digest).toString('hex')}` : '';

/** Creates a store. `configurationAt` looks up older configurations that are kept elsewhere. */
export const createConfigurationStore = (
  configurationAt: (version: Version) => Configuration | undefined = () => undefined,
): ConfigurationStore => {
  const kept: StoredConfiguration[] = [];
  // Updates by base, shared by all children that hold the same base.
  const changes = new Map<string, ConfigurationChange>();
  let newest: StoredConfiguration | undefined;

  const put = (stored: StoredConfiguration): boolean => {
    if (newest && !isNewer(stored.version, newest.version)) {
      return false;
    }
    newest = stored;
    kept.push(stored);
    kept.splice(0, Math.max(0, kept.length - maxKeptVersions));
    changes.clear();
    return true;
  };

  const baseOf = ({ version, digest }: ConfigurationCursor): Configuration | undefined => {
    const found =
      kept.find((stored) => compareVersions(stored.version, version) === 0)?.configuration ??
      configurationAt(version);
    return found && equalBytes(digestConfiguration(found), digest) ? found : undefined;
  };

  const fullChange = ({
    version,
    configuration,
    digest,
  }: StoredConfiguration): ConfigurationChange => {
    const known = changes.get(keyOf(undefined));
    if (known) {
      return known;
    }
    const body = compressText(canonicalText(configuration));
    const change = { version, resultDigest: digest, body };
    changes.set(keyOf(undefined), change);
    return change;
  };

  const buildChange = (
    target: StoredConfiguration,
    cursor: ConfigurationCursor | undefined,
  ): ConfigurationChange => {
    const base = cursor && baseOf(cursor);
    if (!cursor || !base) {
      return fullChange(target);
    }
    const delta = diffConfigurations(base, target.configuration);
    // Counts entries instead of bytes: encoding the full configuration only to compare lengths
    // would cost more than the delta saves.
    return countChanged(delta) * 2 < countEntries(target.configuration)
      ? {
          version: target.version,
          base: { version: cursor.version, digest: cursor.digest },
          resultDigest: target.digest,
          body: encodeDelta(delta),
        }
      : fullChange(target);
  };

  const receive = (change: ConfigurationChange): ConfigurationUpdateResult => {
    if (newest && !isNewer(change.version, newest.version)) {
      return 'not_newer';
    }
    const { base } = change;
    if (!base) {
      const configuration = decodeFull(change);
      put({ version: change.version, configuration, digest: change.resultDigest });
      changes.set(keyOf(undefined), change);
      return 'stored';
    }
    if (!newest || !equalBytes(newest.digest, base.digest)) {
      return 'wrong_base';
    }
    const delta = decodeDelta(change.body, base.digest, change.resultDigest);
    const configuration = applyDelta(newest.configuration, delta);
    put({ version: change.version, configuration, digest: change.resultDigest });
    // Children with the same base receive the delta as it was received here.
    changes.set(keyOf(base), change);
    return 'stored';
  };

  const changeSince = (
    cursor: ConfigurationCursor | undefined,
  ): ConfigurationChange | undefined => {
    const heldVersion = cursor?.version ?? noVersion;
    if (!newest || !isNewer(newest.version, heldVersion)) {
      return undefined;
    }
    const key = keyOf(cursor);
    const change = changes.get(key) ?? buildChange(newest, cursor);
    changes.set(key, change);
    return change;
  };

  return {
    commands: { put, receive },
    queries: { newest: () => newest, changeSince },
  };
};
