/**
 * Two operators send configurations on the same base. One byte of a name is not UTF-8 in each, and
 * differs between them, as an editor writes it that saves in Latin-1.
 */
import { request } from 'node:http';
import { createDocument, runCase, sleep, startAll, type Case } from '../support-3/case.js';

const route = { name: 'r-orders', prefix: '/orders/', service: 'beta' };
const mark = '@';

interface Reply {
  readonly status: number;
  readonly body: Buffer;
}

const ask = (address: string, path: string, body?: Buffer): Promise<Reply> =>
  new Promise((resolve, reject) => {
    const [host, port] = address.split(':');
    const method = body ? 'POST' : 'GET';
    const headers = { 'content-type': 'application/json' };
    const sent = request({ host, port, path, method, headers }, (response) => {
      const parts: Buffer[] = [];
      response.on('data', (part: Buffer) => parts.push(part));
      response.on('error', reject);
      response.on('end', () => {
        if (response.statusCode === 307) {
          const { host: next } = new URL(String(response.headers.location));
          ask(next, path, body).then(resolve, reject);
        } else {
          resolve({ status: response.statusCode ?? 0, body: Buffer.concat(parts) });
        }
      });
    });
    sent.on('error', reject);
    sent.end(body);
  });

/** Sends an order to one machine after the other until an answer is clear. */
const order = async ({ deployment, note }: Case, name: string, path: string, body?: Buffer) => {
  const until = performance.now() + 20_000;
  for (let attempt = 0; performance.now() < until; attempt += 1) {
    const core = deployment.cores[attempt % deployment.cores.length]!;
    const reply = await ask(`${core.ip}:8144`, path, body).catch(() => undefined);
    if (reply && reply.status < 500) {
      note(`${name}: ${reply.status}`);
      return reply;
    }
    await sleep(200);
  }
  throw new Error(`${name}: no clear answer in 20 s`);
};

/** A configuration with one more route, in whose name the bytes `letter` stand. */
const documentWith = (letter: Buffer): Buffer => {
  const routes = [route, { ...route, name: `r-caf${mark}`, prefix: '/cafe/' }];
  const [before = '', after = ''] = JSON.stringify(createDocument(2, 1, routes)).split(mark);
  return Buffer.concat([Buffer.from(before), letter, Buffer.from(after)]);
};

await runCase(1_000, async (each) => {
  const { hasTrouble, note } = each;
  await startAll(each, [
    ['a', 'beta'],
    ['b', 'beta'],
  ]);
  const first = Buffer.from(JSON.stringify(createDocument(1, 0, [route])));
  const accepted = await order(each, 'configuration 1', '/Config.Put', first);
  if (accepted.status !== 200) {
    throw new Error('the first configuration was refused');
  }
  const encoding = hasTrouble ? 'latin1' : 'utf8';
  const one = documentWith(Buffer.from('é', encoding));
  const other = documentWith(Buffer.from('è', encoding));
  note(`the letters are sent as ${encoding}; the bodies are equal: ${one.equals(other)}`);
  const putOne = await order(each, 'configuration 2 of one operator', '/Config.Put', one);
  const read = await order(each, 'read', '/Config.Get');
  const putOther = await order(each, 'configuration 2 of another operator', '/Config.Put', other);
  const sent = one.length;
  note(`read back ${read.body.length} bytes, sent ${sent}; equal: ${read.body.equals(one)}`);
  const isChanged = putOne.status === 200 && !read.body.equals(one);
  const areBothAccepted = putOne.status === 200 && putOther.status === 200;
  note(`acknowledged and read back with other bytes: ${isChanged}`);
  note(`both changes on configuration 1 acknowledged: ${areBothAccepted}`);
  return isChanged || areBothAccepted;
});
