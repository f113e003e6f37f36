import assert from 'node:assert/strict';
import { get, type IncomingMessage } from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { answerText, startMesh, type Mesh, type MeshOptions } from './support/callMesh.js';
import { startSlowLink, type SlowLink } from './support/slowLink.js';
import { waitFor } from './support/waitFor.js';

const targets = `
[class.lookup]
service = "s"
match = [{ method = "GET", path = "/lookup" }]
answer_within = "2s"

[class.download]
service = "s"
match = [{ method = "GET", path = "/download" }]
answer_within = "30s"
timeout = "60s"
`;

const linkMbps = 8;
const downloadBytes = 256 * 1_024;
/** Fewer than the connections between two nodes, so that lookups find a free one. */
const downloads = 4;
/**
 * Longest queue of the link that a small answer may find, in ms. A piece of a large answer takes
 * 20 ms; without pacing, the windows of the downloads fill the link for about 250 ms.
 */
const maxQueueMs = 120;
/** Lookups that are made while the downloads run. */
const lookups = 5;

/** Address of callers on another machine than the nodes. */
const elsewhere = '127.0.0.2';

type Framing = 'length' | 'chunked' | 'closed' | 'none';

/** Heads of a large answer, by how the end of its body is marked. */
const headLines: Readonly<Record<Framing, string>> = {
  length: `content-length: ${downloadBytes}\r\n`,
  chunked: 'transfer-encoding: chunked\r\n',
  closed: `content-length: ${downloadBytes}\r\nconnection: close\r\n`,
  none: 'connection: close\r\n',
};

const bodyOf = (path: string): Buffer => Buffer.alloc(downloadBytes, `${path};`);

const textOf = (framing: Framing, path: string): Buffer => {
  const body = bodyOf(path);
  if (framing !== 'chunked') {
    return body;
  }
  const size = downloadBytes.toString(16);
  return Buffer.concat([Buffer.from(`${size}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')]);
};

describe('large answers on a slow link', () => {
  let mesh: Mesh;
  let link: SlowLink | undefined;

  const start = async (framing: Framing, options: MeshOptions = {}) => {
    mesh = await startMesh({
      targets,
      slots: 40,
      linkMbps,
      forwardThrough: async (target) => {
        link = await startSlowLink({ target, mbps: linkMbps, source: elsewhere });
        return link.address;
      },
      ...options,
    });
    mesh.upstream.onRequest((request) => {
      if (!request.path.startsWith('/download')) {
        request.socket.write(answerText(request));
        return;
      }
      const id = request.headers['x-request-id'] ?? '';
      request.socket.write(`HTTP/1.1 200 OK\r\n${headLines[framing]}x-request-id: ${id}\r\n\r\n`);
      request.socket.write(textOf(framing, request.path));
      if (framing === 'closed' || framing === 'none') {
        request.socket.end();
      }
    });
  };

  afterEach(async () => {
    await mesh.stop();
    await link?.close();
    link = undefined;
  });

  const download = async (address: string, number: number) => {
    const path = `/download/${number}`;
    const answer = await mesh.call(address, path);
    assert.equal(answer.status, 200, answer.body.slice(0, 200));
    assert.ok(answer.body === bodyOf(path).toString(), `the answer to ${path} is not whole`);
  };

  const startDownloads = (address: string, count = downloads) =>
    Promise.all(Array.from({ length: count }, (_, number) => download(address, number)));

  /** Lookups while downloads run have to overtake them. */
  const runBoth = async (address: string) => {
    const order: string[] = [];
    const note = (what: string) => () => order.push(what);
    await Promise.all([
      startDownloads(address).then(note('downloads')),
      makeLookups(address).then(note('lookups')),
    ]);
    assert.deepEqual(order, ['lookups', 'downloads']);
  };

  const makeLookups = async (address: string) => {
    for (let number = 0; number < lookups; number += 1) {
      const answer = await mesh.call(address, '/lookup');
      assert.equal(answer.status, 200, answer.body);
    }
  };

  const assertShortQueue = () => {
    const peakMs = link!.takePeakMs();
    assert.ok(peakMs < maxQueueMs, `small answers wait behind ${Math.round(peakMs)} ms of others`);
  };

  it('leave the link of the node beside the upstream to small ones, and arrive whole', async () => {
    await start('length');
    await runBoth(mesh.caller);
    assertShortQueue();
  });

  it('leave the link to small ones when a node answers its callers', async () => {
    await start('chunked');
    const toCallers = await startSlowLink({
      target: mesh.beside,
      mbps: linkMbps,
      source: elsewhere,
    });
    await link?.close();
    link = toCallers;
    await runBoth(toCallers.address);
    assertShortQueue();
  });

  it('leave the link to small ones if the connection to the upstream ends with them', async () => {
    await start('closed');
    await runBoth(mesh.caller);
    assertShortQueue();
  });

  it('arrive whole if only the end of their connection ends them', async () => {
    const upstreams = { ...nativeCallInterface.upstreams, acceptsCloseDelimited: true };
    await start('none', { callInterface: { ...nativeCallInterface, upstreams } });
    await runBoth(mesh.caller);
    assertShortQueue();
  });

  it('are not held up by a caller that reads slowly, and reach it whole', async () => {
    await start('length');
    const slow = await new Promise<IncomingMessage>((resolve, reject) => {
      get(`http://${mesh.caller}/download/slow`, { agent: false }, resolve).on('error', reject);
    });
    await startDownloads(mesh.caller, 2);
    await makeLookups(mesh.caller);
    const parts: Buffer[] = [];
    for await (const part of slow) {
      parts.push(part as Buffer);
    }
    assert.ok(Buffer.concat(parts).equals(bodyOf('/download/slow')));
    assertShortQueue();
  });

  it('give their place to others once their callers leave', async () => {
    await start('length');
    const leaving = new AbortController();
    const left = Array.from({ length: downloads }, (_, number) =>
      mesh.call(mesh.caller, `/download/left-${number}`, { signal: leaving.signal }),
    );
    await waitFor(() => mesh.upstream.started() >= downloads, { what: 'the start of downloads' });
    leaving.abort();
    await Promise.all(left.map((call) => assert.rejects(call)));
    const running = startDownloads(mesh.caller, 2);
    await makeLookups(mesh.caller);
    await running;
    const abandoned = mesh.upstream.requests().slice(0, downloads);
    await waitFor(() => abandoned.every(({ socket }) => socket.destroyed), {
      what: 'the end of the abandoned answers',
    });
    assertShortQueue();
  });

  it('are not cut by the stop of their node', async () => {
    await start('length');
    const running = startDownloads(mesh.caller);
    await waitFor(() => mesh.upstream.started() >= downloads, { what: 'the start of downloads' });
    await Promise.all([mesh.besideNode.stop(30_000), running]);
  });
});
