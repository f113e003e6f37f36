/**
 * Determines which data centres are attached. A data centre is attached if its control instance
 * answered the leader within `maxContactAgeMs`, or if its nodes receive the feed of another control
 * instance that did. A change is accepted only while all data centres are attached, or if the
 * operator allowed the detached ones.
 */
import type { Member } from '../../types/internal.js';

/** Maximum age of a control instance's last answer to the leader, in ms. */
export const maxContactAgeMs = 3_000;

export interface Attachment {
  readonly attached: readonly string[];
  readonly detached: readonly string[];
}

/** What the leader knows about which control instances and data centres it can reach. */
export interface Reachability {
  readonly members: readonly Member[];
  contactAgeMs(member: string): number;
  /** Data centres of the nodes that receive the feed of the control instance. */
  servedDataCentres(control: string): readonly string[];
}

/** Data centres that a change would reach now. */
export const attachedDataCentres = ({
  members,
  contactAgeMs,
  servedDataCentres: fedDataCentres,
}: Reachability): ReadonlySet<string> => {
  const reachable = members.filter(({ name }) => contactAgeMs(name) <= maxContactAgeMs);
  return new Set(
    reachable.flatMap(({ name, dataCentre }) => [dataCentre, ...fedDataCentres(name)]),
  );
};

/** Splits the members' data centres into attached and detached ones. */
export const classifyDataCentres = (reachability: Reachability): Attachment => {
  const names = [...new Set(reachability.members.map(({ dataCentre }) => dataCentre))].sort();
  const reached = attachedDataCentres(reachability);
  return {
    attached: names.filter((name) => reached.has(name)),
    detached: names.filter((name) => !reached.has(name)),
  };
};
