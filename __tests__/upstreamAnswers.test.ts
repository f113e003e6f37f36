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

/** Sends one call to an upstream whose connection is handled by a script. */
const sendTo = async (
  script: (socket: Socket, requestNumber: number) => void,
  calls = 1,
  takesMore = true,
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
  upstream.commands.describe({
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
          requestId: `r${number}`,
          className: 'c',
          service: 's',
          caller: '',
          priority: 1,
          rank: 0,
          maxWaitMs: 1_000,
          method: 'GET',
          path: '/',
          headers: ['host', 'h', 'request-id', `r${number}`],
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
            return takesMore;
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

describe('answers of an upstream', () => {
  it('without a length are whole if the connection ends', async () => {
    const [outcome] = await sendTo((socket) => socket.end(`${head('r1')}all of it`));
    assert.deepEqual(outcome, { status: 200, body: 'all of it', end: 'whole' });
  });

  it('without a length are broken if the connection is reset, so that a part is never passed on as the whole', async () => {
    const [outcome] = await sendTo((socket) => {
      socket.write(`${head('r1')}a part`);
      setTimeout(() => socket.resetAndDestroy(), 50);
    });
    assert.equal(outcome?.end, 'upstream_failed may_have_run');
  });

  it('without a length are broken also if the reset comes together with the last data', async () => {
    for (let round = 0; round < 20; round += 1) {
      const [outcome] = await sendTo((socket) => {
        socket.write(`${head('r1')}a part`, () => socket.resetAndDestroy());
      });
      assert.equal(outcome?.end, 'upstream_failed may_have_run', `round ${round}`);
    }
  });

  it('without a length do not end the process if the caller takes them slowly', async () => {
    const [outcome] = await sendTo(
      (socket) => {
        socket.write(`${head('r1')}a part`);
        setTimeout(() => socket.end('the rest'), 50);
      },
      1,
      false,
    );
    assert.deepEqual(outcome, { status: 200, body: 'a partthe rest', end: 'whole' });
  });

  it('that close their connection do not end the process if the caller takes them slowly', async () => {
    const [outcome] = await sendTo(
      (socket) => {
        socket.write(`${head('r1', 'Connection: close', 'Content-Length: 12')}a part`);
        setTimeout(() => socket.end('the re'), 50);
      },
      1,
      false,
    );
    assert.deepEqual(outcome, { status: 200, body: 'a partthe re', end: 'whole' });
  });

  // Guards against an assertion of the client library, which ends the process of a node.
  const closing: Record<string, (start: string) => string> = {
    'of HTTP/1.0': (start) => start.replace('HTTP/1.1', 'HTTP/1.0'),
    'that name their connection twice': (start) =>
      start.replace('\r\n', '\r\nConnection: keep-alive\r\nConnection: close\r\n'),
    'that name more than the end of their connection': (start) =>
      start.replace('\r\n', '\r\nConnection: x-other, Close\r\n'),
    'that close their connection': (start) => start.replace('\r\n', '\r\nConnection: close\r\n'),
    'that keep their connection': (start) => start,
  };
  const ends: Record<string, (socket: Socket) => void> = {
    ends: (socket) => socket.end(),
    'is reset': (socket) => socket.resetAndDestroy(),
  };
  Object.entries(closing).forEach(([kind, change]) =>
    Object.entries(ends).forEach(([how, end]) => {
      it(`${kind} are broken if the connection ${how} while the caller takes nothing`, async () => {
        const [outcome] = await sendTo(
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

  it('that break off before their length are broken', async () => {
    const [outcome] = await sendTo((socket) =>
      socket.end(`${head('r1', 'Content-Length: 9')}part`),
    );
    assert.equal(outcome?.end, 'upstream_failed may_have_run');
  });

  it('that come twice are not taken for the answer to the next request', async () => {
    const answer = `${head('r1', 'Content-Length: 3')}one`;
    const outcomes = await sendTo((socket, number) => {
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

  it('that come late, where the next one is due, are refused by their id', async () => {
    const outcomes = await sendTo((socket, number) => {
      const id = number > 0 ? 'r1' : '';
      socket.write(`${head(id, 'Content-Length: 3')}one`);
    }, 2);
    assert.equal(outcomes[1]?.end, 'answer_mismatch may_have_run');
  });

  it('that are no answers fail the call, which may have run', async () => {
    const [outcome] = await sendTo((socket) => socket.write('\u0001\u0002 not an answer\r\n\r\n'));
    assert.equal(outcome?.end, 'upstream_failed may_have_run');
  });

  it('that say that the request was not run allow it to be sent again', async () => {
    const [outcome] = await sendTo((socket) =>
      socket.write(
        'HTTP/1.1 503 Service Unavailable\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n',
      ),
    );
    assert.deepEqual([outcome?.status, outcome?.end], [0, 'overloaded not_run']);
  });
});
