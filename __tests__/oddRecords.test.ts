import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { createBranches } from '../src/core/distribution/branches.js';
import {
  applyChange,
  createClusterLog,
  digestEndpoints,
} from '../src/core/distribution/clusterLog.js';
import { createRegistry, settleMs } from '../src/core/distribution/registry.js';
import { createCluster } from '../src/core/distribution/usableEndpoints.js';
import { ReportRequestSchema } from '../src/gen/auburnsill/v1/feed_pb.js';
import {
  readBranchReport,
  readCluster,
  writeCluster,
  writeEndpoint,
} from '../src/plugins/distribution/feedMessages.js';
import type { Endpoint } from '../src/types/public.js';
import { createEndpoint } from './support/fleet.js';

const sound = createEndpoint('sound');

const odd: Readonly<Record<string, Endpoint>> = {
  'a port out of range': createEndpoint('odd', { forwardAddress: '10.0.0.1:65536' }),
  'no port': createEndpoint('odd', { forwardAddress: '10.0.0.1:0' }),
  'no address': createEndpoint('odd', { forwardAddress: 'somewhere' }),
  'a state without a meaning': createEndpoint('odd', { state: 'resting' as Endpoint['state'] }),
  'too many slots': createEndpoint('odd', { slots: 2 ** 32 - 1 }),
  'no slots': createEndpoint('odd', { slots: 0 }),
  'too large a number': createEndpoint('odd', { incarnation: 2 ** 60 }),
  'too long a name': createEndpoint('o'.repeat(100_000)),
};

const report = (endpoints: readonly Endpoint[]) =>
  readBranchReport(
    fromBinary(
      ReportRequestSchema,
      toBinary(
        ReportRequestSchema,
        create(ReportRequestSchema, {
          announcements: endpoints.map(writeEndpoint),
          endpointsDigest: digestEndpoints(endpoints),
          full: true,
        }),
      ),
    ),
  );

// Guards against one odd entry of another writer for which readers refuse the whole list.
describe('a record of an endpoint', () => {
  Object.entries(odd).forEach(([what, endpoint]) => {
    it(`with ${what} costs no other record its place in a report`, () => {
      const branches = createBranches();
      assert.equal(branches.commands.applyReport('child', report([endpoint, sound]), 0), true);
      assert.deepEqual(branches.queries.endpoints().get('sound'), sound);
    });

    it(`with ${what} is passed on, and is no endpoint to use`, () => {
      const registry = createRegistry('r', -settleMs);
      const endpoints = new Map([endpoint, sound].map((each) => [each.id, each]));
      registry.commands.reconcile({ endpoints, isWithdrawn: () => false }, 0);
      const log = registry.queries.log(sound.service);
      const received = createClusterLog(sound.service, 'other', false);
      const change = {
        service: sound.service,
        registry: 'r',
        baseRevision: 0,
        revision: log.revision,
        full: true,
        settling: false,
        upserts: [...log.endpoints.values()],
        removals: [],
        resultDigest: digestEndpoints(log.endpoints.values()),
      };
      assert.equal(applyChange(received, readCluster(writeCluster(change))), 'applied');
      const used = createCluster(sound.service, received.endpoints.values());
      assert.deepEqual(used.endpoints, [sound]);
      assert.deepEqual(registry.queries.clusters().get(sound.service)?.endpoints, [sound]);
    });
  });
});
