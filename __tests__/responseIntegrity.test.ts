import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import { answerText, startMesh, type Mesh, type ReceivedRequest } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

/** Calls in turn on whatever connections the nodes keep; each has to get the answer to itself. */
const assertOwnAnswers = async (mesh: Mesh, count = 5) => {
  for (let index = 0; index < count; index += 1) {
    const id = `own-${index}`;
    const answer = await mesh.call(mesh.caller, '/plain', {
      method: 'POST',
      headers: { 'x-request-id': id },
      body: `body of ${id}`,
    });
    assert.equal(answer.status, 200, answer.body);
    assert.deepEqual(JSON.parse(answer.body), { requestId: id, body: `body of ${id}` });
  }
};

const isFirst = () => {
  let calls = 0;
  return () => {
    calls += 1;
    return calls === 1;
  };
};

const normal = (request: ReceivedRequest) => request.socket.write(answerText(request));

describe('whole answers', () => {
  let mesh: Mesh;

  beforeEach(async () => {
    mesh = await startMesh();
  });

  afterEach(() => mesh.stop());

  const callOnce = (id: string, path = '/plain') =>
    mesh.call(mesh.caller, path, { method: 'POST', headers: { 'x-request-id': id }, body: id });

  it('keeps a late answer from the call that follows on the connection', async () => {
    const first = isFirst();
    let sendLate: (() => void) | undefined;
    mesh.upstream.onRequest((request) => {
      if (first()) {
        sendLate = () => request.socket.write(answerText(request));
        return;
      }
      sendLate?.();
      normal(request);
    });
    const late = await callOnce('late');
    assert.equal(late.status, 504);
    assert.equal(JSON.parse(late.body).run, 'may_have_run');
    await assertOwnAnswers(mesh);
  });

  it('never uses a connection again on which bytes follow an answer', async () => {
    mesh.upstream.onRequest((request) =>
      request.socket.write(
        answerText(request) + answerText({ ...request, headers: {}, body: 'second' }),
      ),
    );
    await assertOwnAnswers(mesh);
    assert.equal(mesh.upstream.connections(), 5);
  });

  it('keeps a second answer that comes later from other calls', async () => {
    const first = isFirst();
    mesh.upstream.onRequest((request) => {
      normal(request);
      if (first()) {
        setTimeout(() => request.socket.write(answerText({ ...request, body: 'second' })), 30);
      }
    });
    assert.equal((await callOnce('doubled')).status, 200);
    // A call that is under way on the connection when the second answer comes is refused with it.
    let refused = 0;
    for (let index = 0; index < 50; index += 1) {
      const id = `after-${index}`;
      const answer = await callOnce(id);
      const body = JSON.parse(answer.body);
      refused += answer.status === 502 && body.reason === 'answer_mismatch' ? 1 : 0;
      assert.ok(answer.status === 502 || body.requestId === id, answer.body);
    }
    assert.ok(refused <= 1);
  });

  it('refuses an answer that names another request', async () => {
    mesh.upstream.onRequest((request) =>
      request.socket.write(
        answerText({ ...request, headers: { 'x-request-id': 'other' }, body: 'secret' }),
      ),
    );
    const answer = await callOnce('mine');
    assert.equal(answer.status, 502);
    assert.equal(JSON.parse(answer.body).reason, 'answer_mismatch');
    assert.equal(JSON.parse(answer.body).run, 'may_have_run');
    assert.ok(!answer.body.includes('secret'));
  });

  it('gives crossed answers of two calls at once to neither caller', async () => {
    const held: ReceivedRequest[] = [];
    mesh.upstream.onRequest((request) => {
      held.push(request);
      const [a, b] = held;
      if (a && b) {
        a.socket.write(answerText(b));
        b.socket.write(answerText(a));
      }
    });
    const answers = await Promise.all([callOnce('a'), callOnce('b')]);
    answers.forEach((answer) => assert.equal(answer.status, 502, answer.body));
  });

  it('resets the caller when an answer is shorter than announced', async () => {
    mesh.upstream.onRequest((request) => {
      request.socket.write(answerText(request).slice(0, -5), () => request.socket.end());
    });
    await assert.rejects(callOnce('short'));
    mesh.upstream.onRequest(normal);
    await assertOwnAnswers(mesh);
  });

  it('resets the caller when an answer in chunks breaks off', async () => {
    mesh.upstream.onRequest(({ socket }) => {
      const head = 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n';
      socket.write(`${head}4\r\nhalf\r\n`, () => socket.end());
    });
    await assert.rejects(callOnce('chunked'));
  });

  it('refuses an answer whose end is not marked, since a cut would look whole', async () => {
    mesh.upstream.onRequest(({ socket }) => socket.end('HTTP/1.1 200 OK\r\n\r\nhalf an ans'));
    const answer = await callOnce('unmarked');
    assert.equal(answer.status, 502);
    assert.equal(JSON.parse(answer.body).run, 'may_have_run');
  });

  it('closes the connection of a cancelled call and gives its answer to nobody', async () => {
    const first = isFirst();
    let closed = false;
    let answerNow: (() => void) | undefined;
    mesh.upstream.onRequest((request) => {
      if (first()) {
        request.socket.on('close', () => {
          closed = true;
        });
        answerNow = () => request.socket.write(answerText(request));
        return;
      }
      answerNow?.();
      normal(request);
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
    await assertOwnAnswers(mesh);
  });

  it('ends a call whose answer goes silent within its body', async () => {
    mesh.upstream.onRequest((request) => {
      request.socket.write(answerText(request).slice(0, -5));
    });
    await assert.rejects(callOnce('silent'));
  });

  // Guards against a connection that ends without an answer while nothing of one was sent yet.
  (['destroy', 'resetAndDestroy'] as const).forEach((end) =>
    it(`answers a call whose upstream breaks off after the head of its answer (${end})`, async () => {
      mesh.upstream.onRequest((request) => {
        const text = answerText(request);
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

describe('answers that pause', () => {
  // Guards against a silence that ends an answer although its caller still waits for it.
  it('are passed on whole if they go on within the time limit of their call', async () => {
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
        const text = answerText(request);
        request.socket.write(text.slice(0, -3));
        setTimeout(() => request.socket.write(text.slice(-3)), 7_500);
      });
      const answers = await Promise.all(
        [mesh.caller, mesh.beside].map((address) =>
          mesh.call(address, '/long', { method: 'POST', body: 'b' }),
        ),
      );
      answers.forEach(({ status, body }) => {
        assert.equal(status, 200);
        assert.equal(JSON.parse(body).body, 'b');
      });
    } finally {
      await mesh.stop();
    }
  });
});
