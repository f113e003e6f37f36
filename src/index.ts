/**
 * Public API of auburnsill: the types that operators, callers and upstreams see, and pure functions
 * for tools that work with targets, versions and reports. The programs are in `src/bin`.
 */

/** Types of targets, derived policies and refusals. */
export type {
  Cluster,
  Configuration,
  Endpoint,
  EndpointState,
  Finding,
  Match,
  Policy,
  Refusal,
  RunState,
  Service,
  TrafficClass,
  Version,
} from './types/public.js';

/** Comparing, formatting and parsing versions. */
export {
  compareVersions,
  formatVersion,
  isNewer,
  noVersion,
  parseVersion,
} from './core/agreement/version.js';

/** Parsing targets in TOML; validating, encoding, digesting and comparing configurations. */
export {
  checkConfiguration,
  decodeConfiguration,
  diffLines,
  digestConfiguration,
  encodeConfiguration,
  matchClass,
  maxTargetBytes,
  parseTargets,
  type CallShape,
} from './core/operators/configuration.js';

/** State of the fleet against which `checkConfiguration` validates a configuration. */
export type { Inventory } from './types/internal.js';

/** Policies derived from targets, with reasons. Durations in ms, shares between 0 and 1. */
export {
  derivePolicies,
  derivePolicy,
  explainPolicy,
  type PolicyReason,
} from './core/operators/policy.js';

/** Error-budget burn: merges the snapshots of nodes and compares them with the targets. */
export {
  burnReport,
  mergeBurn,
  type BurnEntry,
  type BurnLine,
  type BurnSnapshot,
  type CallOutcome,
  type OutcomeCounts,
} from './core/operators/burn.js';

/** Error codes, and the error class that carries one. */
export { Failure, failureTable, type FailureReason } from './utils/failure.js';

/** Error for invalid input, and formatting of its findings. */
export { FindingsError, formatFinding } from './utils/findings.js';

/** Exit codes of the command line interface. */
export { exitCodes, type ExitReason } from './cli/exitCodes.js';
