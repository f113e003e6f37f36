/**
 * Size of the quorums of a replica group. A voter whose data folder is known to be lost will neither
 * vote nor hold an entry again, so it is left out, as long as the quorum of the others still
 * intersects every quorum that may have been counted without that knowledge.
 */

export const majorityOf = (voters: number): number => Math.floor(voters / 2) + 1;

/**
 * Smallest number of intact voters that form a quorum. `voters` counts the lost ones too. The quorum
 * intersects any majority of all voters, any quorum with the same lost voters, and any quorum with
 * fewer of them. This holds within one membership only: the quorums of two memberships that differ
 * by one member may be disjoint.
 */
export const quorumSize = (voters: number, lost: number): number =>
  lost === 0
    ? majorityOf(voters)
    : Math.max(majorityOf(voters - lost), voters - majorityOf(voters) + 1);
