import assert from 'node:assert/strict';
import { describe, it, type TestContext } from 'node:test';
import { createLocalUpstream } from '../src/plugins/calls/localUpstream.js';
import { createCallInterface } from '../src/platform/callInterface.js';
import type { AttemptRequest } from '../src/types/calls.js';
import { createTimer } from '../src/utils/timer.js';
import { startScriptedUpstream, type ReceivedRequest } from './support/callMesh.js';

const slots = 9;
const rounds = 12;
/** Longer than the minimum interval of 100 ms between two shrinks of the limit. */
const roundMs = 110;

const responseText = (request: ReceivedRequest, status: string, extra: string) =>
  `HTTP/1.1 ${status}\r\ncontent-length: 0\r\nrequest-id: ${request.headers['request-id']}\r\n${extra}\r\n`;

/** Sends rounds of twice as many calls as slots to an upstream that refuses every second one. */
const limitAfterRefusals = async (t: TestContext, load: string): Promise<number> => {
  const timer = createTimer();
  const upstream = await startScriptedUpstream();
  const local = createLocalUpstream(timer, createCallInterface(() => 's').upstreams, () => 0.5);
  t.after(async () => {
    await local.commands.stop();
    await upstream.stop();
    timer.stop();
  });
  let count = 0;
  upstream.onRequest((request) => {
    count += 1;
    const isRefused = count % 2 === 0;
    timer.after(5, () =>
      request.socket.write(
        isRefused
          ? responseText(
              request,
              '503 Service Unavailable',
              `not-executed: 1\r\nload-report: ${load}\r\n`,
            )
          : responseText(request, '200 OK', `load-report: ${load}\r\n`),
      ),
    );
  });
  local.commands.configure({ service: 's', address: upstream.address, slots, connections: slots });
  const send = (id: string) =>
    new Promise<void>((resolve) => {
      const request: AttemptRequest = {
        attemptId: id,
        requestId: id,
        className: 'c',
        service: 's',
        caller: 'x',
        priority: 50,
        rank: 0,
        maxWaitMs: 1_000,
        method: 'GET',
        path: '/',
        headers: ['request-id', id],
        body: { kind: 'none' },
        deadlineAt: timer.now() + 5_000,
        headTimeoutMs: 5_000,
      };
      local.commands.send(request, {
        onHead: () => undefined,
        onData: () => true,
        onEnd: resolve,
        onFailure: () => resolve(),
      });
    });
  for (let round = 0; round < rounds; round += 1) {
    const calls = Array.from({ length: 2 * slots }, (_, index) => send(`${round}-${index}`));
    await Promise.all([...calls, timer.sleep(roundMs)]);
  }
  return local.queries.load().limit;
};

// Guards against a limit that shrinks to 1 because an upstream refuses some calls at any load.
describe('the concurrency limit of an upstream that refuses calls', () => {
  it('stays unchanged while the upstream reports free slots', async (t) => {
    assert.equal(await limitAfterRefusals(t, '4,0,9'), slots);
  });

  it('shrinks once the upstream reports that all slots are in use', async (t) => {
    assert.ok((await limitAfterRefusals(t, '9,3,9')) < slots);
  });
});
