import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { create, fromBinary, toBinary } from '@bufbuild/protobuf';
import { digestEndpoints } from '../src/core/distribution/clusterLog.js';
import { EndpointRecordSchema } from '../src/gen/auburnsill/v1/feed_pb.js';
import { readHeartbeat } from '../src/platform/heartbeats.js';
import { readEndpoint, writeEndpoint } from '../src/plugins/distribution/feedMessages.js';
import { createLocalUpstream } from '../src/plugins/calls/localUpstream.js';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { createUpstreamAnnouncement } from '../src/plugins/calls/upstreamAnnouncement.js';
import type { Endpoint } from '../src/types/public.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { startMesh } from './support/callMesh.js';
import { createMemoryEnds } from './support/memoryEnds.js';
import {
  createConfiguration,
  createEndpoint,
  createManualSource,
  startControl,
  startNode,
  waitUntil,
} from './support/feedFleet.js';
import { createRollout } from './support/rolloutNode.js';

const encode = (endpoint: Endpoint): Uint8Array =>
  toBinary(EndpointRecordSchema, create(EndpointRecordSchema, writeEndpoint(endpoint)));

const decode = (bytes: Uint8Array): Endpoint =>
  readEndpoint(fromBinary(EndpointRecordSchema, bytes));

describe('the version of an endpoint', () => {
  // Guards against nodes of the earlier release, which compute digests over twelve fields, rejecting
  // every update of a cluster while a fleet is upgraded.
  it('leaves the digest and the bytes of a record without a version as they were', () => {
    const endpoint = createEndpoint('e-1', 's');
    const fields = JSON.stringify(Object.values(endpoint));
    const expected = createHash('sha256').update(fields).digest('hex');
    assert.equal(Buffer.from(digestEndpoints([endpoint])).toString('hex'), expected);
    assert.deepEqual(decode(encode(endpoint)), endpoint);
    assert.equal(
      Buffer.from(digestEndpoints([{ ...endpoint, version: '' }])).toString('hex'),
      expected,
    );
    // Field 13 of wire type 2 has the tag 0x6a.
    assert.equal(encode(endpoint).includes(0x6a), false);
  });

  it('is covered by the digest and survives a transfer', () => {
    const endpoint = { ...createEndpoint('e-1', 's'), version: 'v2' };
    assert.deepEqual(decode(encode(endpoint)), endpoint);
    const digests = [endpoint, { ...endpoint, version: 'v3' }].map((each) =>
      Buffer.from(digestEndpoints([each])).toString('hex'),
    );
    assert.equal(new Set(digests).size, 2);
  });

  it('is read from a heartbeat', () => {
    const heartbeat = {
      service: 's',
      address: '10.0.0.1:80',
      zone: 'a',
      version: 'v7',
      slots: 1,
      state: 'ready',
      cold_remaining_ms: 0,
      sequence: 1,
      born: 1,
    };
    assert.equal(readHeartbeat('i', heartbeat).version, 'v7');
    assert.equal(
      Object.hasOwn(readHeartbeat('i', { ...heartbeat, version: '' }), 'version'),
      false,
    );
    assert.throws(() => readHeartbeat('i', { ...heartbeat, version: 'v'.repeat(129) }), /version/);
  });

  // Guards against an upstream that is updated in place and keeps getting calls as its old version.
  it('is announced again when it changes', () => {
    const timer = createManualTimer();
    const announced: Endpoint[] = [];
    const upstream = createLocalUpstream(timer, nativeCallInterface.upstreams, () => 0.5);
    const announcement = createUpstreamAnnouncement({
      node: { name: 'n', dataCentre: 'd', region: 'r' },
      forwardAddress: () => '127.0.0.1:2',
      announcer: {
        announce: (endpoint) => announced.push(endpoint),
        withdraw: () => undefined,
      },
      ends: createMemoryEnds(),
      upstream,
      timer,
      log: createSilentLog(),
    });
    const report = {
      service: 's',
      address: '127.0.0.1:1',
      slots: 4,
      connections: 8,
      state: 'ready',
    } as const;
    ['v1', 'v1', 'v2'].forEach((version) => announcement.apply({ ...report, version }));
    assert.deepEqual(
      announced.map(({ id, version, sequence }) => [id, version, sequence]),
      [
        ['n', 'v1', 1],
        ['n', 'v2', 2],
      ],
    );
    assert.equal(upstream.queries.description()?.version, 'v2');
    announcement.apply(report);
    assert.equal(Object.hasOwn(announced.at(-1)!, 'version'), false);
  });

  // Guards against a version that is lost on the way up to the control instance and down again.
  it('reaches all nodes with the rollouts of the configuration, also after it changed', async () => {
    const source = createManualSource();
    const control = await startControl({ name: 'control' }, source);
    const parents = [{ address: control.address, dataCentre: 'dc-a' }];
    const nodes = await Promise.all(['n-1', 'n-2'].map((name) => startNode({ name }, parents)));
    const [announcing, other] = nodes;
    const active = () => other?.feed.view.queries.current();
    const versions = () =>
      active()
        ?.clusters.get('lookup')
        ?.endpoints.map(({ version }) => version);
    try {
      announcing?.feed.announcer.announce({ ...createEndpoint('e', 'lookup'), version: 'v1' });
      const rollout = createRollout({ name: 'lookup' });
      source.commit(createConfiguration(['lookup']));
      await waitUntil(() => versions()?.join() === 'v1', 'the version at another node');
      source.commit({ ...createConfiguration(['lookup']), rollouts: { lookup: rollout } });
      await waitUntil(
        () => active()?.configuration.rollouts?.lookup?.targetVersion === 'v2',
        'the rollout at another node',
      );
      announcing?.feed.announcer.announce({ ...createEndpoint('e', 'lookup', 2), version: 'v2' });
      await waitUntil(() => versions()?.join() === 'v2', 'the new version at another node');
    } finally {
      await Promise.all([control, ...nodes].map((feed) => feed.stop()));
    }
  });

  it('is optional in PUT /upstream, which rejects an empty one by its name', async () => {
    const mesh = await startMesh();
    const put = (version: unknown) =>
      mesh.call(mesh.upstreamNode.admin, '/upstream', {
        method: 'PUT',
        body: JSON.stringify({
          service: 's',
          address: mesh.upstream.address,
          slots: 1,
          connections: 1,
          state: 'ready',
          version,
        }),
      });
    try {
      assert.equal((await put('v1')).status, 200);
      assert.equal((await put(undefined)).status, 200);
      const refused = await put('');
      assert.equal(refused.status, 400);
      assert.match(refused.body, /version/);
    } finally {
      await mesh.stop();
    }
  });
});
