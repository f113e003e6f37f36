import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { formatResponse, startMesh, type Mesh, type ReceivedRequest } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

/** Makes calls in turn on the connections that the nodes keep; each must get its own response. */
const assertOwnResponses = async (mesh: Mesh, count = 5) => {
  for (let index = 0; index < count; index += 1) {
    const id = `own-${index}`;
    const response = await mesh.call(mesh.caller, '/plain', {
      method: 'POST',
      headers: { 'x-request-id': id },
      body: `body of ${id}`,
    });
    assert.equal(response.status, 200, response.body);
    assert.deepEqual(JSON.parse(response.body), { requestId: id, body: `body of ${id}` });
  }
};

const createFirstCallCheck = () => {
  let calls = 0;
  return () => {
    calls += 1;
    return calls === 1;
  };
};

const respondNormally = (request: ReceivedRequest) => request.socket.write(formatResponse(request));

describe('response integrity', () => {
  let mesh: Mesh;

  beforeEach(async () => {
    mesh = await startMesh();
  });

  afterEach(() => mesh.stop());

  const callOnce = (id: string, path = '/plain') =>
    mesh.call(mesh.caller, path, { method: 'POST', headers: { 'x-request-id': id }, body: id });

  it('keeps a late response from reaching the next call on the connection', async () => {
    const first = createFirstCallCheck();
    let sendLateResponse: (() => void) | undefined;
    mesh.upstream.onRequest((request) => {
      if (first()) {
        sendLateResponse = () => request.socket.write(formatResponse(request));
        return;
      }
      sendLateResponse?.();
      respondNormally(request);
    });
    const late = await callOnce('late');
    assert.equal(late.status, 504);
    assert.equal(JSON.parse(late.body).run, 'may_have_run');
    await assertOwnResponses(mesh);
  });

  it('never reuses a connection on which bytes follow a response', async () => {
    mesh.upstream.onRequest((request) =>
      request.socket.write(
        formatResponse(request) + formatResponse({ ...request, headers: {}, body: 'second' }),
      ),
    );
    await assertOwnResponses(mesh);
    assert.equal(mesh.upstream.connections(), 5);
  });

  it('keeps a delayed second response from reaching other calls', async () => {
    const first = createFirstCallCheck();
    mesh.upstream.onRequest((request) => {
      respondNormally(request);
      if (first()) {
        setTimeout(() => request.socket.write(formatResponse({ ...request, body: 'second' })), 30);
      }
    });
    assert.equal((await callOnce('doubled')).status, 200);
    // A call in flight on the connection when the second response arrives is refused because of it.
    let refused = 0;
    for (let index = 0; index < 50; index += 1) {
      const id = `after-${index}`;
      const response = await callOnce(id);
      const body = JSON.parse(response.body);
      refused += response.status === 502 && body.reason === 'answer_mismatch' ? 1 : 0;
      assert.ok(response.status === 502 || body.requestId === id, response.body);
    }
    assert.ok(refused <= 1);
  });

  it('refuses a response with the id of another request', async () => {
    mesh.upstream.onRequest((request) =>
      request.socket.write(
        formatResponse({ ...request, headers: { 'x-request-id': 'other' }, body: 'secret' }),
      ),
    );
    const response = await callOnce('mine');
    assert.equal(response.status, 502);
    assert.equal(JSON.parse(response.body).reason, 'answer_mismatch');
    assert.equal(JSON.parse(response.body).run, 'may_have_run');
    assert.ok(!response.body.includes('secret'));
  });

  it('delivers swapped responses of two concurrent calls to neither caller', async () => {
    const held: ReceivedRequest[] = [];
    mesh.upstream.onRequest((request) => {
      held.push(request);
      const [a, b] = held;
      if (a && b) {
        a.socket.write(formatResponse(b));
        b.socket.write(formatResponse(a));
      }
    });
    const responses = await Promise.all([callOnce('a'), callOnce('b')]);
    responses.forEach((response) => assert.equal(response.status, 502, response.body));
  });

  it('resets the connection of the caller if a response is shorter than announced', async () => {
    mesh.upstream.onRequest((request) => {
      request.socket.write(formatResponse(request).slice(0, -5), () => request.socket.end());
    });
    await assert.rejects(callOnce('short'));
    mesh.upstream.onRequest(respondNormally);
    await assertOwnResponses(mesh);
  });

  it('resets the connection of the caller if a chunked response is truncated', async () => {
    mesh.upstream.onRequest(({ socket }) => {
      const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
      socket.write(`${head}4\r\nhalf\r\n`, () => socket.end());
    });
    await assert.rejects(callOnce('chunked'));
  });

  it('refuses a close-delimited response, since its truncation could not be detected', async () => {
    mesh.upstream.onRequest(({ socket }) => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf an ans'));
    const response = await callOnce('unmarked');
    assert.equal(response.status, 502);
    assert.equal(JSON.parse(response.body).run, 'may_have_run');
  });

  it('closes the connection of a cancelled call and delivers its response to nobody', async () => {
    const first = createFirstCallCheck();
    let closed = false;
    let sendResponse: (() => void) | undefined;
    mesh.upstream.onRequest((request) => {
      if (first()) {
        request.socket.on('close', () => {
          closed = true;
        });
        sendResponse = () => request.socket.write(formatResponse(request));
        return;
      }
      sendResponse?.();
      respondNormally(request);
    });
    const controller = new AbortController();
    const cancelled = mesh.call(mesh.caller, '/plain', {
      method: 'POST',
      headers: { 'x-request-id': 'cancelled' },
      body: 'cancelled',
      signal: controller.signal,
    });
    await waitFor(() => mesh.upstream.started() === 1, { what: 'the call arrives' });
    controller.abort();
    await assert.rejects(cancelled);
    // The deadline of the class would close it after 2 s.
    await waitFor(() => closed, {
      limitMs: 1_500,
      what: 'the connection to the upstream is closed',
    });
    await assertOwnResponses(mesh);
  });

  it('ends a call whose response stalls within its body', async () => {
    mesh.upstream.onRequest((request) => {
      request.socket.write(formatResponse(request).slice(0, -5));
    });
    await assert.rejects(callOnce('silent'));
  });

  // Guards against closing a caller's connection without a response if none was started yet.
  (['destroy', 'resetAndDestroy'] as const).forEach((end) =>
    it(`answers a call whose upstream disconnects after the response head (${end})`, async () => {
      mesh.upstream.onRequest((request) => {
        const text = formatResponse(request);
        request.socket.write(text.slice(0, text.indexOf('\r\n\r\n') + 4));
        setTimeout(() => request.socket[end](), 50);
      });
      for (const address of [mesh.caller, mesh.beside]) {
        const { status, body } = await mesh.call(address, '/plain', { method: 'POST', body: 'b' });
        assert.equal(status, 502);
        assert.equal(JSON.parse(body).run, 'may_have_run');
      }
    }),
  );
});

describe('responses that pause', () => {
  // Guards against a timeout that ends a paused response although its caller still waits for it.
  it('are delivered completely if they continue within the time limit of their call', async () => {
    const mesh = await startMesh({
      targets: `
[class.long]
service = "s"
match = [{ method = "POST", path = "/long" }]
answer_within = "1s"
timeout = "12s"
`,
    });
    try {
      mesh.upstream.onRequest((request) => {
        const text = formatResponse(request);
        request.socket.write(text.slice(0, -3));
        setTimeout(() => request.socket.write(text.slice(-3)), 7_500);
      });
      const responses = await Promise.all(
        [mesh.caller, mesh.beside].map((address) =>
          mesh.call(address, '/long', { method: 'POST', body: 'b' }),
        ),
      );
      responses.forEach(({ status, body }) => {
        assert.equal(status, 200);
        assert.equal(JSON.parse(body).body, 'b');
      });
    } finally {
      await mesh.stop();
    }
  });
});
