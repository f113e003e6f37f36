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
import { createEndpoint } from './support/routingFixtures.js';

const validRecord = createEndpoint('sound');

const invalidRecords: Readonly<Record<string, Endpoint>> = {
  'a port out of range': createEndpoint('odd', { forwardAddress: '10.0.0.1:65536' }),
  'no port': createEndpoint('odd', { forwardAddress: '10.0.0.1:0' }),
  'no address': createEndpoint('odd', { forwardAddress: 'somewhere' }),
  'an unknown state': createEndpoint('odd', { state: 'resting' as Endpoint['state'] }),
  'too many slots': createEndpoint('odd', { slots: 2 ** 32 - 1 }),
  'no slots': createEndpoint('odd', { slots: 0 }),
  'an incarnation that is too large': createEndpoint('odd', { incarnation: 2 ** 60 }),
  'an id that is too long': createEndpoint('o'.repeat(100_000)),
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

// Guards against rejecting a whole list of endpoints because of one invalid record in it.
describe('an endpoint record', () => {
  Object.entries(invalidRecords).forEach(([what, endpoint]) => {
    it(`with ${what} does not affect the other records of a report`, () => {
      const branches = createBranches();
      assert.equal(
        branches.commands.applyReport('child', report([endpoint, validRecord]), 0),
        true,
      );
      assert.deepEqual(branches.queries.endpoints().get('sound'), validRecord);
    });

    it(`with ${what} is passed on but gets no calls`, () => {
      const registry = createRegistry('r', -settleMs);
      const endpoints = new Map([endpoint, validRecord].map((each) => [each.id, each]));
      registry.commands.reconcile({ endpoints, isWithdrawn: () => false }, 0);
      const log = registry.queries.log(validRecord.service);
      const received = createClusterLog(validRecord.service, 'other', false);
      const change = {
        service: validRecord.service,
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
      const used = createCluster(validRecord.service, received.endpoints.values());
      assert.deepEqual(used.endpoints, [validRecord]);
      assert.deepEqual(registry.queries.clusters().get(validRecord.service)?.endpoints, [
        validRecord,
      ]);
    });
  });
});
