import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { IncomingMessage } from 'node:http';
import { createCallInterface } from '../src/platform/callInterface.js';
import { findHeader } from '../src/plugins/calls/callHeaders.js';
import { readDeregistration, readHeartbeat } from '../src/platform/heartbeats.js';
import { createDocumentReader, sanitizeName } from '../src/platform/documents.js';
import { readNodeFeatures } from '../src/platform/arguments.js';
import {
  parsePlatformSettings,
  peerSeeds,
  toControlSettings,
  toNodeSettings,
} from '../src/platform/settings.js';
import type { AttemptRequest } from '../src/types/calls.js';
import { FindingsError } from '../src/utils/findings.js';
import { createDocument } from './support/platform.js';

const settingsText = [
  'node=core-gent-1',
  'ip=10.1.0.42',
  'zone=depot-gent',
  'region=oost-vlaanderen',
  'zones.depot-gent=oost-vlaanderen',
  'listen.control=10.1.0.42:8144',
  'internal_ports=7380,7395',
  'seeds=10.1.0.42:8144,10.2.0.43:8144',
  'bootstrap=true',
  'data_dir=/data/my-core',
  'heartbeat_ms=1500',
  'limits.link_mbps=7.5',
  'fault_tolerance.machines=2',
  'bounds=drain_ms=2000,grace_s=8,recovery_s=15',
  'something.later=1',
].join('\n');

describe('settings of the platform', () => {
  it('are converted to the settings of nodes and control instances, ignoring unknown keys', () => {
    const settings = parsePlatformSettings(settingsText, 'local.conf');
    assert.equal(settings.graceMs, 8_000);
    assert.deepEqual(peerSeeds(settings), ['10.1.0.42:7380', '10.2.0.43:7380']);
    const control = toControlSettings(settings, 9464, () => settings);
    assert.equal(control.cluster.members[0]?.address, '10.1.0.42:7380');
    assert.equal(control.discovery?.isFirstStart, true);
    // Guards against a group that removes voters whose disks it needs for the losses to tolerate.
    assert.equal(control.discovery?.toleratedLosses, 2);
    const node = toNodeSettings(settings, 9464);
    assert.equal(node.link?.rate_mbps, 7.5);
    assert.deepEqual(
      node.cluster.control.map(({ address }) => address),
      ['10.1.0.42:7380', '10.2.0.43:7380'],
    );
  });

  // Guards against features that act on a deployment which does not ask for them.
  it('leave features off unless the command line asks for them', () => {
    const settings = parsePlatformSettings(settingsText, 'local.conf');
    const { admission, routing } = toNodeSettings(settings, 9464, readNodeFeatures([]));
    assert.deepEqual([admission.whole_call, routing.adaptive_pace], [false, false]);
    const features = readNodeFeatures(['--admin-port', '1', '--whole-call', '--adaptive-pace']);
    const asked = toNodeSettings(settings, 9464, features);
    assert.deepEqual([asked.admission.whole_call, asked.routing.adaptive_pace], [true, true]);
  });

  it('name the data centres and the limits on the requests of tenants', () => {
    // Guards against shares of a rate whose sum exceeds it: one share for each data centre.
    const zones = 'zones.one=north\nzones.two=north\nzones.three=south\n';
    const bounds = 'bounds=quota_window_s=4,quota_overage=0.2,quota_slack=0\n';
    const text = settingsText.replace(/^(?:bounds|zones\..*)=.*$/gm, '');
    const listed = parsePlatformSettings(`${text}\n${zones}${bounds}`, 'local.conf');
    const quota = { shares: 3, bounds: { windowMs: 4_000, overage: 0.2, slack: 0 } };
    const own = listed.dataCentre;
    assert.deepEqual(listed.dataCentres, [...new Set(['one', 'two', 'three', own])]);
    const shares = listed.dataCentres.length;
    assert.deepEqual(toNodeSettings(listed, 9464).quota, { ...quota, shares });
    assert.deepEqual(toControlSettings(listed, 9464, () => listed).quota, { ...quota, shares });
    const unlisted = parsePlatformSettings(text, 'local.conf');
    assert.deepEqual(toNodeSettings(unlisted, 9464).quota, {
      shares: 2,
      bounds: { windowMs: 5_000, overage: 0.1, slack: 20 },
    });
  });

  it('are rejected with every problem and its line, so that one start shows them all', () => {
    const text =
      'node=n\nbroken line\nip=10.0.0.1\nlisten.control=nowhere\nseeds=a,b\ninternal_ports=x\n';
    assert.throws(
      () => parsePlatformSettings(text, 'f'),
      (error: unknown) => {
        assert.ok(error instanceof FindingsError);
        assert.deepEqual(
          error.findings.map(({ place }) => place),
          [
            'f: line 2',
            'f: line 4: listen.control',
            'f: line 6: internal_ports',
            'f: line 5: seeds',
            'f: zone',
          ],
        );
        return true;
      },
    );
  });
});

describe('documents of the platform', () => {
  const readDocument = createDocumentReader();
  const valid = createDocument(7, 5, [
    { name: 'r-1', prefix: '/a/', service: 's1', kind: 'unsafe', priority: 0, attempts: 3 },
    {
      name: 'r-2',
      prefix: '/',
      weights: { s1: 90, 'S 2': 10 },
      targetLatencyMs: 400,
      timeoutMs: 1_000,
    },
  ]);

  it('are decoded into classes, services and limits', () => {
    const { number, baseNumber, configuration } = readDocument(JSON.stringify(valid));
    assert.deepEqual([number, baseNumber], [7, 5]);
    const { 'r-1': first, 'r-2': second } = configuration.classes;
    assert.deepEqual(
      [first?.idempotent, first?.atMostOnce, first?.maxAttempts, first?.service],
      [false, false, 3, 's1'],
    );
    assert.ok(first!.importance > second!.importance);
    assert.deepEqual(second?.match, [{ host: 'mesh.example', pathPrefix: '/' }]);
    assert.deepEqual([second?.answerWithinMs, second?.timeoutMs], [400, 1_000]);
    assert.deepEqual(second?.split, [
      { service: 's1', weight: 90 },
      { service: sanitizeName('S 2'), weight: 10 },
    ]);
    assert.equal(configuration.services.s1?.connections, 110);
    assert.equal(configuration.callerLimits?.idleTimeoutMs, 15_000);
  });

  const route = (fields: Record<string, unknown>) => {
    const document = createDocument(7, 5, [{ name: 'r-1', prefix: '/a/', service: 's1' }]);
    Object.assign(document.resources[0]!.spec, fields);
    return JSON.stringify(document);
  };
  const invalid: Record<string, string> = {
    'a truncated text': JSON.stringify(valid).slice(0, -20),
    'an empty host': route({ host: '' }),
    'an unknown service': route({ service: 'other' }),
    'a timeout over ten minutes': route({ timeout_ms: 600_001 }),
    'weights that add up to 0': route({ weighted_services: [{ service: 's1', weight: 0 }] }),
    'no version': JSON.stringify({ ...valid, version: undefined }),
    'a field of another type': route({ path_prefix: 7 }),
    'values nested too deeply': route({}).replace(
      '"host"',
      `"deep":${'['.repeat(100_000)}${']'.repeat(100_000)},"host"`,
    ),
  };
  Object.entries(invalid).forEach(([name, text]) =>
    it(`are rejected with ${name}`, () => {
      assert.throws(() => readDocument(text), { reason: 'malformed_message' });
    }),
  );
});

describe('heartbeats of the platform', () => {
  const heartbeat = {
    service: 'huvo11a',
    address: '10.128.0.9:8080',
    zone: 'lagos-a',
    version: 'v1',
    slots: 18,
    state: 'draining',
    cold_remaining_ms: 0,
    sequence: 4,
    born: 1_790_000_000_000,
  };

  it('are decoded into reports of an upstream', () => {
    const { state, slots, instance, startedAt, sequence } = readHeartbeat('i-1', heartbeat);
    assert.deepEqual(
      [state, slots, instance, startedAt, sequence],
      ['leaving', 18, 'i-1', 1_790_000_000_000, 4],
    );
  });

  // Guards against an invalid entry that is distributed and makes every node reject the whole list.
  it('are rejected if they are malformed', () => {
    const now = heartbeat.born + 60_000;
    const nested = JSON.parse(`${'['.repeat(5_000)}${']'.repeat(5_000)}`);
    const others = [
      nested,
      { ...heartbeat, slots: nested },
      { ...heartbeat, slots: 2 ** 32 },
      { ...heartbeat, slots: 1e300 },
      { ...heartbeat, born: Number.MAX_SAFE_INTEGER },
      { ...heartbeat, sequence: Number.MAX_SAFE_INTEGER },
      { ...heartbeat, address: '10.128.0.9:65536' },
      { ...heartbeat, address: '10.128.0.9:0' },
      { ...heartbeat, address: '10.128.0.9:-1' },
      {},
      [],
      null,
      { ...heartbeat, state: 'resting' },
      { ...heartbeat, born: undefined },
      // Such a heartbeat took the place of the endpoint's own, whose `draining` was then ignored.
      { ...heartbeat, zone: undefined },
      { ...heartbeat, version: undefined },
      { ...heartbeat, cold_remaining_ms: undefined },
      { ...heartbeat, cold_remaining_ms: '0' },
      { ...heartbeat, slots: '18' },
    ];
    others.forEach((value) =>
      assert.throws(() => readHeartbeat('i-1', value, now), { reason: 'malformed_message' }),
    );
    ['', 'i 1', 'i\r\n1', 'i'.repeat(129)].forEach((id) =>
      assert.throws(() => readHeartbeat(id, heartbeat, now), { reason: 'malformed_message' }),
    );
    assert.equal(readHeartbeat('i-1', heartbeat, now).instance, 'i-1');
  });

  // Guards against a deregistration of another writer that ends the process in use, since the start
  // that it names cannot be read.
  it('are deregistered by the start that is named, or by none, and not by an invalid one', () => {
    const now = heartbeat.born + 60_000;
    const read = (text: string, id = 'i-1') => readDeregistration(id, text, now);
    assert.equal(read(''), undefined);
    assert.equal(read('{}'), undefined);
    assert.equal(read(`{"born":${heartbeat.born}}`), heartbeat.born);
    const others = [
      '{"born":"1790000000000"}',
      '{"born":null}',
      '{"born":1.5}',
      '{"born":-1}',
      `{"born":${now + 2 * 86_400_000}}`,
      '[]',
      'null',
      '7',
      '{"born":',
    ];
    others.forEach((text) =>
      assert.throws(() => read(text), { reason: 'malformed_message' }, text),
    );
    assert.throws(() => read('', 'i'.repeat(129)), { reason: 'malformed_message' });
  });
});

describe('calls of the platform', () => {
  const { callers, upstreams } = createCallInterface(() => 'own-service');
  const call = (headers: Record<string, string>) =>
    callers.readCall({ headers } as unknown as IncomingMessage);
  const request = {
    requestId: 'r',
    attemptId: 'a',
    headers: ['x', 'y'],
  } as unknown as AttemptRequest;

  it('carry a request id and a deadline, and lose the headers that the node sets itself', () => {
    const { requestId, deadlineMs } = call({ 'request-id': 'r', 'deadline-ms': '850.5' });
    assert.deepEqual([requestId, deadlineMs], ['r', 850.5]);
    assert.throws(() => call({ 'deadline-ms': '0' }), { reason: 'deadline_past' });
    assert.throws(() => call({ 'deadline-ms': 'soon' }), { reason: 'bad_request' });
    const passed = callers.forwardedHeaders([
      'Request-Id',
      'r',
      'Caller-Service',
      'x',
      'Expect-Instance',
      'i',
      'Connection',
      'close',
      'A',
      'b',
    ]);
    assert.deepEqual(passed, ['request-id', 'r', 'a', 'b', 'caller-service', 'own-service']);
  });

  it('reach the endpoint with its instance id and the remaining time', () => {
    assert.deepEqual(upstreams.requestHeaders(request, 'i-1', 99.7), [
      'x',
      'y',
      'deadline-ms',
      '99',
      'expect-instance',
      'i-1',
    ]);
  });

  it('are refused with a status that rules out a run only if that is certain', () => {
    const status = (
      reason:
        | 'overloaded'
        | 'bad_request'
        | 'deadline_exceeded'
        | 'upstream_failed'
        | 'no_configuration'
        | 'unconfirmed'
        | 'unknown_class',
      run: 'not_run' | 'may_have_run',
    ) => callers.refusal({ reason, run, retried: false }, 'r').status;
    assert.equal(status('overloaded', 'not_run'), 503);
    assert.equal(status('no_configuration', 'not_run'), 503);
    assert.equal(status('unknown_class', 'not_run'), 404);
    assert.equal(status('unconfirmed', 'not_run'), 503);
    assert.equal(status('bad_request', 'not_run'), 400);
    assert.equal(status('overloaded', 'may_have_run'), 502);
    assert.equal(status('bad_request', 'may_have_run'), 502);
    assert.equal(status('upstream_failed', 'may_have_run'), 502);
    assert.equal(status('deadline_exceeded', 'may_have_run'), 504);
  });

  // Guards against a refusal above the rate that looks like one for lack of capacity.
  it('of tenants are refused with 401, 429 or 503, the latter two with a time to come back', () => {
    const refuse = (
      reason: 'unauthenticated_caller' | 'quota_exceeded' | 'quota_unavailable',
      retryAfterMs?: number,
    ) => callers.refusal({ reason, run: 'not_run', retried: false, retryAfterMs }, 'r');
    const unauthenticated = refuse('unauthenticated_caller');
    assert.equal(unauthenticated.status, 401);
    assert.equal(findHeader(unauthenticated.headers, 'www-authenticate'), 'Bearer');
    const exceeded = refuse('quota_exceeded', 1_500);
    assert.equal(exceeded.status, 429);
    assert.equal(findHeader(exceeded.headers, 'retry-after'), '1.500');
    const unavailable = refuse('quota_unavailable', 250);
    assert.equal(unavailable.status, 503);
    assert.equal(findHeader(unavailable.headers, 'retry-after'), '0.250');
  });

  it('accept a response only with the id of their request', () => {
    const classify = (status: number, headers: string[]) =>
      upstreams.classifyResponse(status, headers, request);
    assert.equal(classify(200, ['request-id', 'r']), 'answer');
    assert.equal(classify(200, ['request-id', 'q']), 'mismatch');
    assert.equal(classify(200, []), 'mismatch');
    assert.equal(classify(503, ['not-executed', '1']), 'refused');
    assert.equal(classify(503, ['not-executed', '1', 'request-id', 'q']), 'mismatch');
    assert.equal(classify(421, ['instance-id', 'i-2']), 'other_instance');
    assert.equal(classify(500, ['request-id', 'r']), 'answer');
  });
});
