import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import type { Cluster, Endpoint, Policy } from '../../src/types/public.js';

/** Creates a generator of numbers in [0, 1) with a fixed seed. */
export const createRandom = (seed: number): (() => number) => {
  const generator = xoroshiro128plus(seed);
  const range = 2 ** 31;
  return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
};

export const createEndpoint = (id: string, fields: Partial<Endpoint> = {}): Endpoint => ({
  id,
  service: 'routedienst',
  dataCentre: 'a',
  region: 'r',
  address: '127.0.0.1:1',
  forwardAddress: '127.0.0.1:2',
  slots: 10,
  connections: 100,
  state: 'ready',
  incarnation: 1,
  sequence: 1,
  node: id,
  ...fields,
});

export const createCluster = (endpoints: readonly Endpoint[]): Cluster => ({
  service: 'routedienst',
  endpoints,
});

export const createPolicy = (fields: Partial<Policy> = {}): Policy => ({
  className: 'c',
  service: 'routedienst',
  deadlineMs: 1_000,
  attemptTimeoutMs: 500,
  maxAttempts: 3,
  retryShare: 0.1,
  priority: 50,
  maxWaitMs: 100,
  slotShare: 1,
  atMostOnce: false,
  idempotent: true,
  ...fields,
});
