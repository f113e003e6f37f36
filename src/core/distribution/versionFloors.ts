/**
 * Highest version that each node was reported to have in force. A node that restarts is told its
 * floor by its parents and does not serve an older version.
 */
import type { Version } from '../../types/public.js';
import { isNewer } from '../agreement/version.js';

/** A node that was away for longer starts without a floor. */
export const floorTtlMs = 3_600_000;
const maxFloors = 10_000;

export interface NodeVersion {
  readonly name: string;
  readonly version: Version;
}

export interface VersionFloors {
  readonly commands: {
    /** Returns true if the version is new for the node. */
    record(nodeVersion: NodeVersion, now: number): boolean;
    /** Keeps the floor of a node that is still there. */
    renew(name: string, now: number): void;
    expire(now: number): void;
  };
  readonly queries: {
    floorOf(name: string): Version | undefined;
    list(): NodeVersion[];
  };
}

export const createVersionFloors = (): VersionFloors => {
  const entries = new Map<string, { version: Version; until: number }>();

  const record = ({ name, version }: NodeVersion, now: number): boolean => {
    const known = entries.get(name);
    const raised = !known || isNewer(version, known.version);
    entries.delete(name);
    entries.set(name, { version: raised ? version : known.version, until: now + floorTtlMs });
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
          known.until = now + floorTtlMs;
        }
      },
      expire: (now) => {
        [...entries]
          .filter(([, { until }]) => until <= now)
          .forEach(([name]) => entries.delete(name));
      },
    },
    queries: {
      floorOf: (name) => entries.get(name)?.version,
      list: () => [...entries].map(([name, { version }]) => ({ name, version })),
    },
  };
};
