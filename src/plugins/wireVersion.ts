/**
 * Conversion of versions between the core and the wire format.
 */
import { noVersion } from '../core/agreement/version.js';
import type { Version as WireVersion } from '../gen/auburnsill/v1/common_pb.js';
import type { Version } from '../types/public.js';

export const toWireVersion = ({ term, index }: Version) => ({
  term: BigInt(term),
  index: BigInt(index),
});

/** Converts an unset version to `noVersion`. */
export const fromWireVersion = (version: WireVersion | undefined): Version =>
  version ? { term: Number(version.term), index: Number(version.index) } : noVersion;
