/**
 * Entry point for configurations: parsing, checks, canonical form and class matching.
 */
export { parseTargets, maxTargetBytes } from './targets.js';
export { checkConfiguration } from './configurationChecks.js';
export {
  canonicalText,
  checkChangedEntries,
  checkServiceNames,
  decodeCanonical,
  decodeConfiguration,
  digestConfiguration,
  encodeConfiguration,
  serializeEntry,
} from './configurationCodec.js';
export { diffLines } from './configurationDiff.js';
export { matchClass, type CallShape } from '../calls/classMatching.js';
