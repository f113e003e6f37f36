/**
 * Which data centres are attached: those whose control instance answered the leader a short time
 * ago, or whose nodes are fed by another control instance that did. A change is accepted only while
 * all of them are, or while the operator allowed the others.
 */
import type { Member } from '../../types/internal.js';

/** Age of the last answer up to which a data centre counts as attached, in ms. */
export const maxContactAgeMs = 3_000;

export interface Attachment {
  readonly attached: readonly string[];
  readonly detached: readonly string[];
}

/** What the leader knows about the reach of its changes. */
export interface Reachability {
  readonly members: readonly Member[];
  contactAgeMs(member: string): number;
  /** Data centres of nodes that the control instance feeds. */
  fedDataCentres(control: string): readonly string[];
}

/** Data centres that a change reaches now. */
export const attachedDataCentres = ({
  members,
  contactAgeMs,
  fedDataCentres,
}: Reachability): ReadonlySet<string> => {
  const reachable = members.filter(({ name }) => contactAgeMs(name) <= maxContactAgeMs);
  return new Set(
    reachable.flatMap(({ name, dataCentre }) => [dataCentre, ...fedDataCentres(name)]),
  );
};

/** Sorts the data centres of the members by whether a change reaches them now. */
export const classifyDataCentres = (contact: Reachability): Attachment => {
  const names = [...new Set(contact.members.map(({ dataCentre }) => dataCentre))].sort();
  const reached = attachedDataCentres(contact);
  return {
    attached: names.filter((name) => reached.has(name)),
    detached: names.filter((name) => !reached.has(name)),
  };
};
