/**
 * Targets to policy: derivation and explanation, gathered for the other parts.
 */
export { derivePolicies, derivePolicy, retryShare, classesOfService } from './policyDerivation.js';
export { explainPolicy, type PolicyReason } from './policyReasons.js';
