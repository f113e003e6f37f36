import assert from 'node:assert/strict';
import { connect } from 'node:net';
import { afterEach, describe, it } from 'node:test';
import {
  lookupTargets,
  makeCall,
  startMesh,
  type CallResponse,
  type Mesh,
  type MeshOptions,
} from './support/callMesh.js';
import { startFaultProxy, type FaultProxy } from './support/faultProxy.js';
import { waitFor } from './support/waitFor.js';

const bodyBytes = 300;

/** Sends raw bytes to a node and returns what it receives until the connection closes. */
const sendRaw = (address: string, text: string, halfClose = false): Promise<string> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    let received = '';
    socket.on('data', (part) => {
      received += part.toString('latin1');
    });
    socket.on('error', reject);
    socket.on('end', () => socket.end());
    socket.on('close', () => resolve(received));
    if (halfClose) {
      socket.end(text);
    } else {
      socket.write(text);
    }
  });

/** A refusal with `not_run` is correct only if the upstream never got the whole request. */
const assertRunState = (mesh: Mesh, response: CallResponse, context: string) => {
  const refusal = JSON.parse(response.body);
  assert.ok(['not_run', 'may_have_run'].includes(refusal.run), `${context}: ${response.body}`);
  if (refusal.run === 'not_run') {
    assert.equal(mesh.upstream.started(), 0, `${context}: ${response.body}`);
  }
};

describe('run state of a refusal', () => {
  let mesh: Mesh | undefined;
  let proxy: FaultProxy | undefined;

  const start = async (options?: MeshOptions) => {
    mesh = await startMesh(options);
    return mesh;
  };

  afterEach(async () => {
    await mesh?.stop();
    await proxy?.close();
    proxy = undefined;
  });

  const post = (target: Mesh, headers: Record<string, string> = {}) =>
    makeCall(target.caller, '/plain', {
      method: 'POST',
      headers: { 'x-request-id': 'r', ...headers },
      body: 'x'.repeat(bodyBytes),
    });

  it('is correct when the connection to the upstream fails after any number of bytes', async () => {
    const target = await start();
    const results: string[] = [];
    for (const limit of [1, 2, 15, 16, 17, 100, 200, 300, 400, 500]) {
      target.upstream.onBytes((socket, total) => total >= limit && socket.resetAndDestroy());
      const response = await post(target);
      assertRunState(target, response, `after ${limit} bytes`);
      results.push(JSON.parse(response.body).run);
    }
    assert.ok(results.every((run) => run === 'may_have_run'));
  });

  it('is not_run when the upstream accepts no connection', async () => {
    const target = await start();
    await target.upstream.stop();
    const response = await post(target);
    assert.equal(response.status, 503, response.body);
    assert.equal(JSON.parse(response.body).run, 'not_run');
    assert.equal(target.upstream.started(), 0);
  });

  it('is correct when the connection between nodes fails after any number of bytes', async () => {
    const target = await start({
      forwardThrough: async (forward) => {
        proxy = await startFaultProxy({ target: forward, host: '127.0.0.1' });
        return proxy.address;
      },
    });
    let started = 0;
    for (const direction of ['toServer', 'toClient'] as const) {
      for (const limit of [0, 1, 10, 40, 200, 400, 600, 700, 800, 900, 1_000, 1_100]) {
        proxy?.set({
          toServer: { truncateAfterBytes: direction === 'toServer' ? limit : Infinity },
          toClient: { truncateAfterBytes: direction === 'toClient' ? limit : Infinity },
        });
        proxy?.reset();
        const before = target.upstream.started();
        const response = await post(target).catch(() => undefined);
        started = target.upstream.started() - before;
        const run = response && response.status >= 400 ? JSON.parse(response.body).run : undefined;
        if (run === 'not_run') {
          assert.equal(started, 0, `${direction} ${limit}: ${response?.body}`);
        }
      }
    }
  });

  it('is may_have_run when an earlier attempt may have run and the last was refused', async () => {
    const target = await start();
    target.upstream.onRequest(({ socket }) => {
      target.upstream.stop().catch(() => undefined);
      socket.destroy();
    });
    const response = await makeCall(target.caller, '/lookup/1');
    assert.equal(target.upstream.started(), 1);
    assert.equal(JSON.parse(response.body).reason, 'upstream_unreachable', response.body);
    assert.equal(JSON.parse(response.body).run, 'may_have_run', response.body);
  });

  it('is not_run for overload, leaving, past deadline, unknown class and missing key', async () => {
    const target = await start({ slots: 1 });
    const refusals = {
      past: await post(target, { 'x-request-deadline-ms': '0' }),
      negative: await post(target, { 'x-request-deadline-ms': '-5' }),
      noNumber: await post(target, { 'x-request-deadline-ms': 'soon' }),
      unknown: await post(target, { 'x-class': 'none' }),
      noKey: await makeCall(target.caller, '/orders', { method: 'POST', body: 'x' }),
    };
    assert.deepEqual(
      Object.values(refusals).map(({ body }) => JSON.parse(body).reason),
      ['deadline_past', 'deadline_past', 'bad_request', 'unknown_class', 'key_required'],
    );
    target.ledger.setReachable(false);
    const noLedger = await makeCall(target.caller, '/orders', {
      method: 'POST',
      headers: { 'idempotency-key': 'k' },
      body: 'x',
    });
    assert.equal(JSON.parse(noLedger.body).reason, 'ledger_unavailable');
    assert.equal(target.upstream.started(), 0);

    target.upstream.onRequest(() => undefined);
    const heldCall = post(target).catch(() => undefined);
    await waitFor(() => target.upstream.started() === 1, { what: 'the slot is taken' });
    const overloaded = await post(target);
    assert.equal(JSON.parse(overloaded.body).reason, 'overloaded');
    assert.equal(overloaded.headers['retry-after'], '1');
    target.announce('leaving').catch(() => undefined);
    await waitFor(
      async () => {
        const { body } = await post(target);
        return ['leaving', 'no_upstream'].includes(JSON.parse(body).reason);
      },
      { what: 'the endpoint is withdrawn' },
    );
    assert.equal(target.upstream.started(), 1);
    await heldCall;
  });

  it('reaches a caller that is still sending a large body', async () => {
    const target = await start();
    await target.announce('leaving');
    const body = Buffer.alloc(20 * 1024 * 1024);
    const reasons: string[] = [];
    for (const path of ['/none', '/plain', '/none', '/plain']) {
      const response = await makeCall(target.caller, path, { method: 'POST', body });
      reasons.push(JSON.parse(response.body).reason);
    }
    assert.deepEqual(reasons, ['unknown_class', 'no_upstream', 'unknown_class', 'no_upstream']);
    // The node beside the upstream refuses while the body is being sent to it.
    target.stopAnnouncing();
    await target.announce('ready');
    target.upstreamNode.runtime.stop(5_000).catch(() => undefined);
    target.restoreCluster();
    const late = await makeCall(target.caller, '/plain', { method: 'POST', body });
    assert.equal(JSON.parse(late.body).run, 'not_run', late.body);
    assert.equal(target.upstream.started(), 0);
  });

  it('is not_run for a call whose body does not arrive before its deadline', async () => {
    const target = await start();
    const response = await sendRaw(
      target.caller,
      'POST /plain HTTP/1.1\r\nhost: a\r\nx-request-deadline-ms: 100\r\ncontent-length: 10\r\n\r\nabc',
    );
    assert.match(response, /^HTTP\/1\.1 504 [^]*"reason":"deadline_past"[^]*"run":"not_run"/);
    assert.equal(target.upstream.started(), 0);
  });

  it('is not_run for malformed requests, which are answered with a 4xx status', async () => {
    const target = await start({ targets: lookupTargets });
    const head = 'POST /plain HTTP/1.1\r\nhost: a\r\n';
    const malformed = {
      'conflicting lengths': `${head}content-length: 3\r\ncontent-length: 4\r\n\r\nabcd`,
      'length and chunked': `${head}content-length: 3\r\ntransfer-encoding: chunked\r\n\r\n0\r\n\r\n`,
      'no number as length': `${head}content-length: x\r\n\r\n`,
      'oversized header': `${head}x-large: ${'a'.repeat(20_000)}\r\n\r\n`,
      'malformed header': `${head}bad header\r\n\r\n`,
      'no HTTP': 'hello\r\n\r\n',
      'two deadlines': `${head}x-request-deadline-ms: 5\r\nx-request-deadline-ms: 6\r\n\r\n`,
      'broken chunk': `${head}transfer-encoding: chunked\r\n\r\nzz\r\n`,
    };
    for (const [name, text] of Object.entries(malformed)) {
      const response = await sendRaw(target.caller, text, true);
      assert.match(response, /^HTTP\/1\.1 4(00|31) /, `${name}: ${response}`);
      assert.match(response, /"run":"not_run"/, name);
    }
    const short = await sendRaw(target.caller, `${head}content-length: 10\r\n\r\nabc`, true);
    assert.match(short, /^HTTP\/1\.1 400 [^]*"run":"not_run"/);
    assert.equal(target.upstream.started(), 0);
  });
});
