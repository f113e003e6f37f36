/**
 * Which data centres are attached: those whose control instance answered the leader a short time
 * ago. A change is accepted only while all of them are, or while the operator allowed the others.
 */
import type { Member } from '../types/internal.js';

/** Age of the last answer up to which a data centre counts as attached, in ms. */
export const attachedWithinMs = 3_000;

export interface Attachment {
  readonly attached: readonly string[];
  readonly detached: readonly string[];
}

/** Sorts the data centres of the members by the contact that the leader has with them. */
export const judgeAttachment = (
  members: readonly Member[],
  contactAgeMs: (member: string) => number,
): Attachment => {
  const names = [...new Set(members.map(({ dataCentre }) => dataCentre))].sort();
  const isAttached = (name: string): boolean =>
    members.some(
      (member) => member.dataCentre === name && contactAgeMs(member.name) <= attachedWithinMs,
    );
  return {
    attached: names.filter(isAttached),
    detached: names.filter((name) => !isAttached(name)),
  };
};
