/**
 * Public exports of auburnsill: the types that operators, callers and upstreams see, and the pure
 * functions that tools need to work with targets, versions and reports. Programs are in `src/bin`.
 */

/** What operators declare, what proxies derive from it, and what callers and upstreams see. */
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

/** Order and text form of versions. */
export {
  compareVersions,
  formatVersion,
  isNewer,
  noVersion,
  parseVersion,
} from './core/agreement/version.js';

/** Targets in TOML to a configuration, its canonical form, digest and difference. */
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

/** Fleet that `checkConfiguration` compares a configuration with. */
export type { Inventory } from './types/internal.js';

/** What a target is turned into, and why. Durations in ms, shares between 0 and 1. */
export {
  derivePolicies,
  derivePolicy,
  explainPolicy,
  type PolicyReason,
} from './core/operators/policy.js';

/** Service-level burn: the snapshots that nodes serve, merged and compared with the targets. */
export {
  burnReport,
  mergeBurn,
  type BurnEntry,
  type BurnLine,
  type BurnSnapshot,
  type CallOutcome,
  type OutcomeCounts,
} from './core/operators/burn.js';

/** The numbered table of failures and the error that carries an entry of it. */
export { Failure, failureTable, type FailureReason } from './utils/failure.js';

/** Findings as text. */
export { FindingsError, formatFinding } from './utils/findings.js';

/** Exit codes of the command line. */
export { exitCodes, type ExitReason } from './cli/exitCodes.js';
