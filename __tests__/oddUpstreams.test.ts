import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { it } from 'node:test';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { createCallInterface } from '../src/platform/callInterface.js';
import { startMesh, type ReceivedRequest } from './support/callMesh.js';

const seed = Number(process.env.SEED ?? 7);
const calls = Number(process.env.CALLS ?? 800);
const callers = 8;
const callTimeoutMs = 10_000;
const large = Buffer.alloc(300_000, 'x');
const small = Buffer.from('hello');

const targets = `
[class.read]
service = "s"
match = [{ method = "GET", path = "/" }]
answer_within = "1s"
timeout = "2s"
idempotent = true

[class.write]
service = "s"
match = [{ method = "POST", path = "/" }]
answer_within = "1s"
timeout = "2s"
`;

type ResponseScript = (socket: Socket, head: (...lines: string[]) => string) => void;

const lengthOf = (body: Buffer) => `Content-Length: ${body.length}`;

const writeInTwoParts = (socket: Socket, body: Buffer) => {
  socket.write(body.subarray(0, 100_000));
  setTimeout(() => socket.write(body.subarray(100_000)), 20);
};

/** Complete responses, whether or not their connection closes afterwards. */
const completeResponses: Record<string, ResponseScript> = {
  small: (socket, head) => socket.write(head(lengthOf(small)) + small.toString()),
  large: (socket, head) => {
    socket.write(head(lengthOf(large)));
    writeInTwoParts(socket, large);
  },
  chunked: (socket, head) => {
    socket.write(`${head('Transfer-Encoding: chunked')}5\r\nhello\r\n`);
    setTimeout(() => socket.write('0\r\n\r\n'), 10);
  },
  closing: (socket, head) => {
    socket.write(head(lengthOf(large), 'Connection: close'));
    socket.end(large);
  },
  closingTwice: (socket, head) => {
    socket.write(head(lengthOf(large), 'Connection: keep-alive', 'Connection: close'));
    socket.end(large);
  },
  thenEnds: (socket, head) => {
    socket.write(head(lengthOf(large)));
    socket.end(large);
  },
  closeDelimited: (socket, head) => {
    socket.write(head());
    socket.end(large);
  },
  interim: (socket, head) =>
    socket.write(`HTTP/1.1 103 Early Hints\r\n\r\n${head(lengthOf(small))}${small}`),
  extraBytes: (socket, head) => socket.write(`${head(lengthOf(small))}${small}EXTRA`),
  shortIdle: (socket, head) =>
    socket.write(`${head(lengthOf(small), 'Keep-Alive: timeout=1')}${small}`),
};

/** Responses that break off, refuse the request or are no valid HTTP. */
const brokenResponses: Record<string, ResponseScript> = {
  none: (socket) => socket.destroy(),
  reset: (socket) => socket.resetAndDestroy(),
  headOnly: (socket, head) => socket.write(head(lengthOf(small)), () => socket.resetAndDestroy()),
  cut: (socket, head) => {
    socket.write(head(lengthOf(large)));
    socket.end(large.subarray(0, 100_000));
  },
  closingCut: (socket, head) => {
    socket.write(head(lengthOf(large), 'Connection: close'));
    socket.write(large.subarray(0, 200_000), () => socket.resetAndDestroy());
  },
  closeDelimitedReset: (socket, head) => {
    socket.write(head());
    socket.write(large, () => socket.resetAndDestroy());
  },
  garbage: (socket) => socket.write('NOT HTTP\r\n\r\n'),
  notRun: (socket, head) =>
    socket.write(head('Not-Executed: 1', 'Content-Length: 0').replace('200 OK', '503 Busy')),
  late: (socket, head) => socket.write(head('Content-Length: 0').replace('200 OK', '504 Late')),
};

/** Reads one response: its status, `closed` if no byte arrived, `broken` or `hung`. */
const readResponse = (socket: Socket): Promise<string> =>
  new Promise((resolve) => {
    let bytes = Buffer.alloc(0);
    const finish = (outcome: string) => {
      clearTimeout(timeout);
      socket.off('data', onData);
      socket.off('close', onClose);
      resolve(outcome);
    };
    const timeout = setTimeout(() => finish('hung'), callTimeoutMs);
    const onClose = () => finish(bytes.length === 0 ? 'closed' : 'broken');
    const onData = (chunk: Buffer) => {
      bytes = Buffer.concat([bytes, chunk]);
      const headEnd = bytes.indexOf('\r\n\r\n');
      const head = bytes.subarray(0, Math.max(0, headEnd)).toString('latin1');
      const length = /content-length: *(\d+)/i.exec(head)?.[1];
      const isWhole =
        length === undefined
          ? bytes.subarray(-5).toString() === '0\r\n\r\n'
          : bytes.length >= headEnd + 4 + Number(length);
      if (headEnd >= 0 && isWhole) {
        finish(head.slice(9, 12));
      }
    };
    socket.on('data', onData);
    socket.once('close', onClose);
  });

// Guards against upstreams and slow callers that crash a node, leave a call without an end, or make
// the node close a call's connection without a response.
it(`ends every call, whatever its upstream does (seed ${seed})`, async () => {
  const generator = xoroshiro128plus(seed);
  const randomBelow = (limit: number) => unsafeUniformIntDistribution(0, limit - 1, generator);
  const pick = <Value>(list: readonly Value[]): Value => list[randomBelow(list.length)]!;
  const responses = { ...completeResponses, ...brokenResponses };
  const sentResponses = new Map<string, string[]>();
  const mesh = await startMesh({
    targets,
    connections: 24,
    callInterface: createCallInterface(() => 's'),
  });
  mesh.upstream.onRequest(({ headers, socket }: ReceivedRequest) => {
    const id = headers['request-id']!;
    const kind = pick(Object.keys(responses));
    sentResponses.set(id, [...(sentResponses.get(id) ?? []), kind]);
    const head = (...lines: string[]) =>
      ['HTTP/1.1 200 OK', `Request-Id: ${id}`, ...lines, '', ''].join('\r\n');
    setTimeout(() => !socket.destroyed && responses[kind]!(socket, head), randomBelow(30));
  });

  const failures: string[] = [];
  const checkOutcome = (id: string, outcome: string) => {
    const kinds = sentResponses.get(id) ?? [];
    const isComplete = kinds.length > 0 && Object.hasOwn(completeResponses, kinds.at(-1)!);
    if (['closed', 'hung'].includes(outcome) || (isComplete && outcome !== '200')) {
      failures.push(`${id}: ${kinds.join(', ')}: ${outcome}`);
    }
  };

  let startedCalls = 0;
  const runCaller = async () => {
    let socket: Socket | undefined;
    while (startedCalls < calls) {
      startedCalls += 1;
      const id = `r${startedCalls}`;
      if (!socket || socket.destroyed || randomBelow(5) === 0) {
        socket?.destroy();
        const [host, port] = pick([mesh.caller, mesh.beside]).split(':');
        socket = connect(Number(port), host);
        socket.on('error', () => undefined);
        await once(socket, 'connect');
      }
      const body = Buffer.alloc(pick([0, 0, 10, 2_000, 70_000]), 'y');
      const start =
        body.length > 0 ? `POST / HTTP/1.1\r\n${lengthOf(body)}\r\n` : 'GET / HTTP/1.1\r\n';
      socket.write(`${start}Host: h\r\nRequest-Id: ${id}\r\nDeadline-Ms: 2000\r\n\r\n`);
      socket.write(body);
      const response = readResponse(socket);
      if (randomBelow(3) === 0) {
        socket.pause();
        const paused = socket;
        setTimeout(() => paused.resume(), randomBelow(150));
      }
      const outcome = await response;
      checkOutcome(id, outcome);
      if (outcome !== '200') {
        socket.destroy();
      }
    }
    socket?.destroy();
  };
  try {
    await Promise.all(Array.from({ length: callers }, runCaller));
  } finally {
    await mesh.stop();
  }
  assert.deepEqual(failures, []);
});
