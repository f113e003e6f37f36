import assert from 'node:assert/strict';
import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { describe, it } from 'node:test';
import { createCallInterface } from '../src/platform/callInterface.js';
import { createLocalUpstream } from '../src/plugins/calls/localUpstream.js';
import { createTimer } from '../src/utils/timer.js';
import { waitFor } from './support/waitFor.js';

interface Outcome {
  status: number;
  body: string;
  end: string;
}

/** Sends calls in sequence to an upstream whose connections are handled by a script. */
const sendCalls = async (
  script: (socket: Socket, requestNumber: number) => void,
  calls = 1,
  continuesReading = true,
  requestIdOf = (number: number) => `r${number}`,
): Promise<Outcome[]> => {
  const sockets = new Set<Socket>();
  let requests = 0;
  const server = createServer((socket) => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', () => {
      requests += 1;
      script(socket, requests);
    });
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  const { port } = server.address() as AddressInfo;
  const timer = createTimer();
  const upstream = createLocalUpstream(timer, createCallInterface(() => 's').upstreams, () => 0.5);
  upstream.commands.configure({
    service: 's',
    address: `127.0.0.1:${port}`,
    slots: 2,
    connections: 1,
    instance: 'i-1',
  });
  const outcomes: Outcome[] = [];
  try {
    for (let number = 1; number <= calls; number += 1) {
      const outcome: Outcome = { status: 0, body: '', end: '' };
      outcomes.push(outcome);
      upstream.commands.send(
        {
          attemptId: `a${number}`,
          requestId: requestIdOf(number),
          className: 'c',
          service: 's',
          caller: '',
          priority: 1,
          rank: 0,
          maxWaitMs: 1_000,
          method: 'GET',
          path: '/',
          headers: ['host', 'h', 'request-id', requestIdOf(number)],
          body: { kind: 'none' },
          deadlineAt: timer.now() + 1_500,
          headTimeoutMs: 1_500,
        },
        {
          onHead: ({ status }) => {
            outcome.status = status;
          },
          onData: (chunk) => {
            outcome.body += chunk.toString();
            return continuesReading;
          },
          onEnd: () => {
            outcome.end = 'whole';
          },
          onFailure: ({ reason, run }) => {
            outcome.end = `${reason} ${run}`;
          },
        },
      );
      await waitFor(() => outcome.end !== '', { limitMs: 5_000, what: 'the end of the call' });
    }
  } finally {
    sockets.forEach((socket) => socket.destroy());
    server.close();
    timer.stop();
    await upstream.commands.stop();
  }
  return outcomes;
};

const head = (id: string, ...lines: string[]) =>
  ['HTTP/1.1 200 OK', `Request-Id: ${id}`, ...lines, '', ''].join('\r\n');

const refusal = (...lines: string[]) =>
  ['HTTP/1.1 503 Busy', ...lines, 'Not-Executed: 1', 'Content-Length: 0', '', ''].join('\r\n');

describe('responses of an upstream', () => {
  it('without a length are complete if the connection ends', async () => {
    const [outcome] = await sendCalls((socket) => socket.end(`${head('r1')}all of it`));
    assert.deepEqual(outcome, { status: 200, body: 'all of it', end: 'whole' });
  });

  it('without a length are failures if reset, since a part may be missing', async () => {
    const [outcome] = await sendCalls((socket) => {
      socket.write(`${head('r1')}a part`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    assert.equal(outcome?.end, 'upstream_failed may_have_run');
  });

  it('without a length are failures also if the reset arrives with the last data', async () => {
    for (let round = 0; round < 20; round += 1) {
      const [outcome] = await sendCalls((socket) => {
        socket.write(`${head('r1')}a part`, () => socket.resetAndDestroy());
      });
      assert.equal(outcome?.end, 'upstream_failed may_have_run', `round ${round}`);
    }
  });

  it('without a length do not end the process if they are read slowly', async () => {
    const [outcome] = await sendCalls(
      (socket) => {
        socket.write(`${head('r1')}a part`);
        setTimeout(() => socket.end('the rest'), 50);
      },
      1,
      false,
    );
    assert.deepEqual(outcome, { status: 200, body: 'a partthe rest', end: 'whole' });
  });

  it('that close their connection do not end the process if they are read slowly', async () => {
    const [outcome] = await sendCalls(
      (socket) => {
        socket.write(`${head('r1', 'Connection: close', 'Content-Length: 12')}a part`);
        setTimeout(() => socket.end('the re'), 50);
      },
      1,
      false,
    );
    assert.deepEqual(outcome, { status: 200, body: 'a partthe re', end: 'whole' });
  });

  // Guards against a failed assertion in undici, which ends the process of a node.
  const headVariants: Record<string, (start: string) => string> = {
    'of HTTP/1.0': (start) => start.replace('HTTP/1.1', 'HTTP/1.0'),
    'with two connection headers': (start) =>
      start.replace('\r\n', '\r\nConnection: keep-alive\r\nConnection: close\r\n'),
    'with more than `close` in the connection header': (start) =>
      start.replace('\r\n', '\r\nConnection: x-other, Close\r\n'),
    'that close their connection': (start) => start.replace('\r\n', '\r\nConnection: close\r\n'),
    'that keep their connection': (start) => start,
  };
  const connectionEnds: Record<string, (socket: Socket) => void> = {
    ends: (socket) => socket.end(),
    'is reset': (socket) => socket.resetAndDestroy(),
  };
  Object.entries(headVariants).forEach(([kind, change]) =>
    Object.entries(connectionEnds).forEach(([how, end]) => {
      it(`${kind} are failures if the connection ${how} while the caller is paused`, async () => {
        const [outcome] = await sendCalls(
          (socket) => {
            socket.write(`${change(head('r1', 'Content-Length: 12'))}a part`);
            setTimeout(() => end(socket), 50);
          },
          1,
          false,
        );
        assert.equal(outcome?.end, 'upstream_failed may_have_run');
      });
    }),
  );

  it('that break off before their length are failures', async () => {
    const [outcome] = await sendCalls((socket) =>
      socket.end(`${head('r1', 'Content-Length: 9')}part`),
    );
    assert.equal(outcome?.end, 'upstream_failed may_have_run');
  });

  it('that arrive twice are not taken for the response to the next request', async () => {
    const answer = `${head('r1', 'Content-Length: 3')}one`;
    const outcomes = await sendCalls((socket, number) => {
      if (number === 1) {
        socket.write(answer + answer);
        return;
      }
      socket.write(`${head('r2', 'Content-Length: 3')}two`);
    }, 2);
    assert.deepEqual(
      outcomes.map(({ body, end }) => `${body} ${end}`),
      ['one whole', 'two whole'],
    );
  });

  it('that arrive late, when the next one is due, are rejected by their id', async () => {
    const outcomes = await sendCalls((socket, number) => {
      const id = number > 0 ? 'r1' : '';
      socket.write(`${head(id, 'Content-Length: 3')}one`);
    }, 2);
    assert.equal(outcomes[1]?.end, 'answer_mismatch may_have_run');
  });

  it('that are not HTTP fail the call, which may have run', async () => {
    const [outcome] = await sendCalls((socket) =>
      socket.write('\u0001\u0002 not an answer\r\n\r\n'),
    );
    assert.equal(outcome?.end, 'upstream_failed may_have_run');
  });

  it('that say that the request was not run allow a retry', async () => {
    const [outcome] = await sendCalls((socket) => socket.write(refusal('Request-Id: r1')));
    assert.deepEqual([outcome?.status, outcome?.end], [0, 'overloaded not_run']);
  });

  // Guards against a repeated refusal that is taken for the response to a request that runs.
  const refusals: Record<string, string> = {
    'with the id': refusal('Request-Id: r1'),
    'without an id': refusal(),
    'for another instance': refusal('Request-Id: r1').replace('503 Busy', '421 Other'),
    'for another instance without an id': refusal().replace('503 Busy', '421 Other'),
  };
  const nextIds = { 'the same request': 'r1', 'another request': 'r2' };
  Object.entries(refusals).forEach(([kind, text]) =>
    Object.entries(nextIds).forEach(([next, nextId]) =>
      it(`that refuse ${kind} are not taken for the response to ${next} if repeated`, async () => {
        let refusingSocket: Socket | undefined;
        const outcomes = await sendCalls(
          (socket) => {
            refusingSocket ??= socket;
            const answer = `${head(nextId, 'Content-Length: 3')}one`;
            socket.write(socket === refusingSocket ? text : answer);
          },
          2,
          true,
          (number) => (number === 1 ? 'r1' : nextId),
        );
        assert.match(outcomes[0]!.end, / not_run$/);
        assert.equal(outcomes[1]!.end, 'whole');
      }),
    ),
  );

  // Guards against a response that looks complete although its upstream stopped midway.
  const responses: Record<string, readonly [head: string, rest: string]> = {
    'with a length': [head('r1', 'Content-Length: 3'), 'one'],
    'in chunks': [head('r1', 'Transfer-Encoding: chunked'), '3\r\none\r\n0\r\n\r\n'],
    'that are close-delimited': [head('r1', 'Connection: close'), ''],
    'after an interim response': [
      `HTTP/1.1 103 Early Hints\r\n\r\n${head('r1', 'Connection: close')}`,
      '',
    ],
  };
  Object.entries(responses).forEach(([kind, [start, rest]]) =>
    it(`${kind} are failures wherever they break off`, async () => {
      const text = start + rest;
      for (let cut = 1; cut < text.length; cut += 1) {
        const [outcome] = await sendCalls((socket) => socket.end(text.slice(0, cut)));
        assert.deepEqual(
          [outcome?.status, outcome?.end],
          [cut < start.length ? 0 : 200, 'upstream_failed may_have_run'],
          `after ${cut} of ${text.length} bytes`,
        );
      }
    }),
  );

  it('on a kept connection are failures if it ends within the head of the next one', async () => {
    const whole = `${head('r1', 'Content-Length: 3', 'Connection: keep-alive')}one`;
    for (const cut of [1, 9, 17, 30, 40]) {
      const outcomes = await sendCalls((socket, number) => {
        if (number === 1) {
          socket.write(whole);
          return;
        }
        socket.end(head('r2', 'Connection: close').slice(0, cut));
      }, 2);
      assert.equal(outcomes[1]?.end, 'upstream_failed may_have_run', `after ${cut} bytes`);
    }
  });
});
