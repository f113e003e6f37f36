import assert from 'node:assert/strict';
import { once } from 'node:events';
import { connect, type Socket } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { formatResponse, startMesh, type Mesh } from './support/callMesh.js';
import { waitFor } from './support/waitFor.js';

const limitMs = 1_500;
/** Duration of work that ends after the limit if it begins late in the stop. */
const longMs = 3_000;

const targets = `
[class.long]
service = "s"
match = [{ method = "GET", path = "/long" }]
answer_within = "5s"
idempotent = true

[class.short]
service = "s"
match = [{ method = "GET", path = "/short" }]
answer_within = "250ms"
idempotent = true
`;

describe('calls on open connections of a stopping node', () => {
  let mesh: Mesh;

  const openConnection = async (): Promise<Socket> => {
    const [host, port] = mesh.caller.split(':');
    const socket = connect(Number(port), host);
    await once(socket, 'connect');
    return socket;
  };

  const callOn = async (socket: Socket, path: string): Promise<string> => {
    let text = '';
    socket.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    socket.on('error', () => undefined);
    socket.write(`GET ${path} HTTP/1.1\r\nhost: h\r\n\r\n`);
    await waitFor(() => text.includes('\r\n\r\n') || socket.destroyed);
    return text;
  };

  const acceptsConnections = () =>
    new Promise<boolean>((resolve) => {
      const [host, port] = mesh.caller.split(':');
      const socket = connect(Number(port), host);
      socket.once('connect', () => {
        socket.destroy();
        resolve(true);
      });
      socket.once('error', () => resolve(false));
    });

  before(async () => {
    mesh = await startMesh({ targets });
    mesh.upstream.onRequest((request) => {
      const workMs = request.path === '/long' ? longMs : 0;
      setTimeout(() => request.socket.write(formatResponse(request)), workMs);
    });
  });
  after(() => mesh.stop());

  it('are refused as not run if they may outlast the stop, and answered otherwise', async () => {
    const early = await openConnection();
    const long = await openConnection();
    const short = await openConnection();
    const stopped = mesh.callerNode.runtime.stop(limitMs);
    // Guards against a response that a slow link delivers only after the limit, although the work
    // ended long before.
    assert.match(await callOn(early, '/long'), /^HTTP\/1\.1 503 [^]*x-run: not_run/i);
    await waitFor(async () => !(await acceptsConnections()));

    const [longText, shortText] = await Promise.all([
      callOn(long, '/long'),
      callOn(short, '/short'),
    ]);

    assert.match(longText, /^HTTP\/1\.1 503 /);
    assert.match(longText, /x-run: not_run/i);
    assert.match(longText, /retry-after: /i);
    assert.match(longText, /connection: close/i);
    assert.equal(mesh.upstream.requests().filter(({ path }) => path === '/long').length, 0);
    assert.match(shortText, /^HTTP\/1\.1 200 /);
    await stopped;
  });
});
