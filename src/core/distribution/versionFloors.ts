/**
 * Version floors: the highest version that each node has reported as in force. A restarting node
 * receives its floor from its parents and does not serve an older version.
 */
import type { Version } from '../../types/public.js';
import { isNewer } from '../agreement/version.js';

/** A node that was not reported for longer than this starts without a floor. */
export const floorTtlMs = 3_600_000;
const maxFloors = 10_000;

export interface NodeVersion {
  readonly name: string;
  readonly version: Version;
}

export interface VersionFloors {
  readonly commands: {
    /** Records a reported version. Returns true if it raises the node's floor. */
    record(nodeVersion: NodeVersion, now: number): boolean;
    /** Renews the lifetime of the floor of a node that still reports. */
    renew(name: string, now: number): void;
    expire(now: number): void;
  };
  readonly queries: {
    floorOf(name: string): Version | undefined;
    list(): NodeVersion[];
  };
}

export const createVersionFloors = (): VersionFloors => {
  const entries = new Map<string, { version: Version; expiresAt: number }>();

  const record = ({ name, version }: NodeVersion, now: number): boolean => {
    const known = entries.get(name);
    const raised = !known || isNewer(version, known.version);
    entries.delete(name);
    entries.set(name, { version: raised ? version : known.version, expiresAt: now + floorTtlMs });
    const oldest = entries.keys().next().value;
    if (entries.size > maxFloors && oldest !== undefined) {
      entries.delete(oldest);
    }
    return raised;
  };

  return {
    commands: {
      record,
      renew: (name, now) => {
        const known = entries.get(name);
        if (known) {
          known.expiresAt = now + floorTtlMs;
        }
      },
      expire: (now) => {
        [...entries]
          .filter(([, { expiresAt }]) => expiresAt <= now)
          .forEach(([name]) => entries.delete(name));
      },
    },
    queries: {
      floorOf: (name) => entries.get(name)?.version,
      list: () => [...entries].map(([name, { version }]) => ({ name, version })),
    },
  };
};
