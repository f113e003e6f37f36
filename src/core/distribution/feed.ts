/**
 * Fan-out tree of the feed: admission of children, choice of a parent, freshness of the received
 * state, and reports to the parent.
 */
export {
  createChildAdmission,
  maxChildren,
  type AdmissionDecision,
  type ChildAdmission,
  type ChildRequest,
} from './childAdmission.js';
export { createParentChoice, type ParentChoice, type ControlAddress } from './parentChoice.js';
export { createFreshness, neverConfirmedMs, type Freshness } from './freshness.js';
export { createVersionFloors, type VersionFloors, type NodeVersion } from './versionFloors.js';
export { mergeStatuses, type SubtreeStatus, type VersionCount } from './subtreeStatus.js';
export { createBranches, leaseMs, type BranchReport, type Branches } from './branches.js';
export { createUpwardReport, type ReportedState, type UpwardReport } from './upwardReport.js';
export { createTombstones, type Tombstones, type Withdrawal } from './tombstones.js';
