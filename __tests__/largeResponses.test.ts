import assert from 'node:assert/strict';
import { get, type IncomingMessage } from 'node:http';
import { afterEach, describe, it } from 'node:test';
import { nativeCallInterface } from '../src/plugins/calls/nativeCallInterface.js';
import { formatResponse, startMesh, type Mesh, type MeshOptions } from './support/callMesh.js';
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
 * Longest queue on the link that a small response may encounter, in ms. A chunk of a large response
 * takes 20 ms; without pacing, the TCP windows of the downloads fill the link for about 250 ms.
 */
const maxQueueMs = 120;
/** Lookups that are made while the downloads run. */
const lookups = 5;

/** Address of callers that are on another machine than the nodes. */
const remoteCallerAddress = '127.0.0.2';

type Framing = 'length' | 'chunked' | 'closed' | 'none';

/** Header lines of a large response, by the framing of its body. */
const headLines: Readonly<Record<Framing, string>> = {
  length: `content-length: ${downloadBytes}\r\n`,
  chunked: 'transfer-encoding: chunked\r\n',
  closed: `content-length: ${downloadBytes}\r\nconnection: close\r\n`,
  none: 'connection: close\r\n',
};

const createBody = (path: string): Buffer => Buffer.alloc(downloadBytes, `${path};`);

const encodeBody = (framing: Framing, path: string): Buffer => {
  const body = createBody(path);
  if (framing !== 'chunked') {
    return body;
  }
  const size = downloadBytes.toString(16);
  return Buffer.concat([Buffer.from(`${size}\r\n`), body, Buffer.from('\r\n0\r\n\r\n')]);
};

describe('large responses on a slow link', () => {
  let mesh: Mesh;
  let link: SlowLink | undefined;

  const start = async (framing: Framing, options: MeshOptions = {}) => {
    mesh = await startMesh({
      targets,
      slots: 40,
      linkMbps,
      forwardThrough: async (target) => {
        link = await startSlowLink({ target, mbps: linkMbps, source: remoteCallerAddress });
        return link.address;
      },
      ...options,
    });
    mesh.upstream.onRequest((request) => {
      if (!request.path.startsWith('/download')) {
        request.socket.write(formatResponse(request));
        return;
      }
      const id = request.headers['x-request-id'] ?? '';
      request.socket.write(`HTTP/1.1 200 OK\r\n${headLines[framing]}x-request-id: ${id}\r\n\r\n`);
      request.socket.write(encodeBody(framing, request.path));
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
    const response = await mesh.call(address, path);
    assert.equal(response.status, 200, response.body.slice(0, 200));
    assert.ok(
      response.body === createBody(path).toString(),
      `the response to ${path} is not complete`,
    );
  };

  const startDownloads = (address: string, count = downloads) =>
    Promise.all(Array.from({ length: count }, (_, number) => download(address, number)));

  /** Asserts that lookups made while downloads run finish before them. */
  const assertLookupsOvertake = async (address: string) => {
    const order: string[] = [];
    const recordFinish = (what: string) => () => order.push(what);
    await Promise.all([
      startDownloads(address).then(recordFinish('downloads')),
      makeLookups(address).then(recordFinish('lookups')),
    ]);
    assert.deepEqual(order, ['lookups', 'downloads']);
  };

  const makeLookups = async (address: string) => {
    for (let number = 0; number < lookups; number += 1) {
      const response = await mesh.call(address, '/lookup');
      assert.equal(response.status, 200, response.body);
    }
  };

  const assertShortQueue = () => {
    const peakMs = link!.takePeakQueueMs();
    assert.ok(
      peakMs < maxQueueMs,
      `small responses wait behind ${Math.round(peakMs)} ms of others`,
    );
  };

  it('do not delay small ones on the link between two nodes, and arrive complete', async () => {
    await start('length');
    await assertLookupsOvertake(mesh.caller);
    assertShortQueue();
  });

  it('do not delay small ones on the link from a node to its callers', async () => {
    await start('chunked');
    const toCallers = await startSlowLink({
      target: mesh.beside,
      mbps: linkMbps,
      source: remoteCallerAddress,
    });
    await link?.close();
    link = toCallers;
    await assertLookupsOvertake(toCallers.address);
    assertShortQueue();
  });

  it('do not delay small ones if the connection to the upstream closes after them', async () => {
    await start('closed');
    await assertLookupsOvertake(mesh.caller);
    assertShortQueue();
  });

  it('arrive complete if they are close-delimited', async () => {
    const upstreams = { ...nativeCallInterface.upstreams, acceptsCloseDelimited: true };
    await start('none', { callInterface: { ...nativeCallInterface, upstreams } });
    await assertLookupsOvertake(mesh.caller);
    assertShortQueue();
  });

  it('are not delayed by a caller that reads slowly, and reach it complete', async () => {
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
    assert.ok(Buffer.concat(parts).equals(createBody('/download/slow')));
    assertShortQueue();
  });

  it('free the link for others once their callers disconnect', async () => {
    await start('length');
    const controller = new AbortController();
    const cancelled = Array.from({ length: downloads }, (_, number) =>
      mesh.call(mesh.caller, `/download/left-${number}`, { signal: controller.signal }),
    );
    await waitFor(() => mesh.upstream.started() >= downloads, { what: 'the start of downloads' });
    controller.abort();
    await Promise.all(cancelled.map((call) => assert.rejects(call)));
    const running = startDownloads(mesh.caller, 2);
    await makeLookups(mesh.caller);
    await running;
    const abandoned = mesh.upstream.requests().slice(0, downloads);
    await waitFor(() => abandoned.every(({ socket }) => socket.destroyed), {
      what: 'the end of the abandoned responses',
    });
    assertShortQueue();
  });

  it('are not cut when their node stops', async () => {
    await start('length');
    const running = startDownloads(mesh.caller);
    await waitFor(() => mesh.upstream.started() >= downloads, { what: 'the start of downloads' });
    await Promise.all([mesh.upstreamNode.stop(30_000), running]);
  });
});
