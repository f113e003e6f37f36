/**
 * Entry point for policies: derivation from targets, and explanation.
 */
export { derivePolicies, derivePolicy, retryShare, classesOfService } from './policyDerivation.js';
export { explainPolicy, type PolicyReason } from './policyReasons.js';
