import assert from 'node:assert/strict';
import { readFileSync } from 'node:fs';
import { connect as connectHttp2 } from 'node:http2';
import { connect } from 'node:net';
import { after, before, describe, it } from 'node:test';
import { Code, ConnectError, createClient, type Interceptor } from '@connectrpc/connect';
import { Consensus } from '../src/gen/auburnsill/v1/consensus_pb.js';
import { Feed } from '../src/gen/auburnsill/v1/feed_pb.js';
import { Ledger } from '../src/gen/auburnsill/v1/ledger_pb.js';
import { OperatorCommands, OperatorQueries } from '../src/gen/auburnsill/v1/operator_pb.js';
import { createTokenInterceptor } from '../src/plugins/operators/access.js';
import { createRpcTransport } from '../src/plugins/rpc.js';
import { startDeployment, type Deployment } from './support/deployment.js';

const targets = `
[class.lookup]
service = "lookups"
match = [{ path = "/" }]
idempotent = true
`;

const noInterceptors: Interceptor[] = [];

describe('peer addresses of processes', () => {
  let deployment: Deployment;
  let hasFailed = false;

  before(async () => {
    deployment = await startDeployment({
      dataCentres: [{ name: 'a', upstreams: [{ service: 'lookups', count: 1 }] }],
      targets,
    });
  });

  after(() => deployment.stop(hasFailed));

  /** Defines a test that makes `after` print the logs of all processes if it fails. */
  const itWithLogs = (name: string, body: () => Promise<void>) =>
    it(name, async () => {
      hasFailed = true;
      await body();
      hasFailed = false;
    });

  const codeOf = async (call: Promise<unknown>): Promise<Code | undefined> => {
    try {
      await call;
      return undefined;
    } catch (error) {
      return ConnectError.from(error).code;
    }
  };

  const readFirst = async (stream: AsyncIterable<unknown>) => {
    await stream[Symbol.asyncIterator]().next();
  };

  /** Result codes of a call to each service at an address. */
  const codesAt = async (address: string, interceptors: Interceptor[]) => {
    const { transport, close } = createRpcTransport(address, interceptors, 3_000);
    const codes = {
      consensus: await codeOf(createClient(Consensus, transport).requestVote({ term: 99n })),
      feed: await codeOf(readFirst(createClient(Feed, transport).subscribe({ probe: true }))),
      report: await codeOf(createClient(Feed, transport).report({ name: 'x' })),
      ledger: await codeOf(createClient(Ledger, transport).claim({ service: 's', key: 'k' })),
      commands: await codeOf(createClient(OperatorCommands, transport).apply({ targets })),
      queries: await codeOf(createClient(OperatorQueries, transport).get({})),
    };
    close();
    return codes;
  };

  const refused = Code.Unauthenticated;

  // Guards against a service that is added to the router without the token interceptor.
  itWithLogs('reject RPCs without a token or with a wrong one', async () => {
    const [control] = deployment.controls;
    const wrong = [createTokenInterceptor('a-wrong-token-of-some-length')];
    for (const interceptors of [noInterceptors, wrong]) {
      assert.deepEqual(await codesAt(control!.peer, interceptors), {
        consensus: refused,
        feed: refused,
        report: refused,
        ledger: refused,
        commands: refused,
        queries: refused,
      });
      const { feed, report } = await codesAt(deployment.nodes[0]!.peer, interceptors);
      assert.deepEqual([feed, report], [refused, refused]);
    }
  });

  itWithLogs('accept cluster and operator tokens only for their own services', async () => {
    const address = deployment.controls[0]!.peer;
    const cluster = [createTokenInterceptor(deployment.clusterToken)];
    const operatorToken = readFileSync(deployment.operatorTokenFile, 'utf8').trim();
    const byCluster = await codesAt(address, cluster);
    const byOperator = await codesAt(address, [createTokenInterceptor(operatorToken)]);
    assert.deepEqual([byCluster.commands, byCluster.queries], [refused, refused]);
    assert.deepEqual(
      [byOperator.consensus, byOperator.feed, byOperator.report, byOperator.ledger],
      [refused, refused, refused, refused],
    );
    assert.equal(byOperator.queries, undefined);
  });

  // Guards against a caller that bypasses admission control and the ledger.
  itWithLogs('reject forwarded calls without the cluster token', async () => {
    const { forward, upstream } = deployment.nodes[0]!;
    const countersBefore = await upstream!.counters();
    for (const authorization of [undefined, 'Bearer wrong', `Basic ${deployment.clusterToken}`]) {
      const answer = await fetch(`http://${forward}/x`, {
        headers: authorization === undefined ? {} : { authorization },
      });
      assert.equal(answer.status, 401);
      assert.match(await answer.text(), /"reason":"unauthorized"/);
    }
    assert.equal((await upstream!.counters()).started, countersBefore.started);
  });

  const sendRaw = (address: string, bytes: Buffer): Promise<void> =>
    new Promise((resolve, reject) => {
      const [host, port] = address.split(':');
      const socket = connect({ host, port: Number(port) });
      const limit = setTimeout(() => reject(new Error(`${address} did not close`)), 15_000);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        clearTimeout(limit);
        resolve();
      });
      socket.resume();
      socket.write(bytes);
    });

  const http2Preface = Buffer.from('PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n');
  /** Header of a frame of unknown type on stream 1, with a length of 16 MiB. */
  const hugeFrame = Buffer.from([0xff, 0xff, 0xff, 0xee, 0xff, 0, 0, 0, 1]);

  const sendRpcBody = (address: string, path: string, body: Buffer): Promise<number> =>
    new Promise((resolve, reject) => {
      const session = connectHttp2(`http://${address}`);
      session.on('error', reject);
      const stream = session.request({
        ':method': 'POST',
        ':path': path,
        'content-type': 'application/proto',
        'connect-protocol-version': '1',
        authorization: `Bearer ${deployment.clusterToken}`,
      });
      stream.on('response', (headers) => {
        stream.resume();
        stream.on('close', () => session.close());
        resolve(Number(headers[':status']));
      });
      stream.on('error', reject);
      stream.end(body);
    });

  const assertAlive = async () => {
    for (const { admin, process } of [...deployment.controls, ...deployment.nodes]) {
      assert.ok(process.isRunning(), `${process.name} ended:\n${process.tail()}`);
      assert.equal((await fetch(`http://${admin}/healthz`)).status, 200);
    }
    const answer = await fetch(`http://${deployment.nodes[0]!.calls}/after`);
    assert.equal(answer.status, 200);
  };

  // Guards against a malformed frame that ends a process or blocks its event loop.
  itWithLogs('survive malformed frames', async () => {
    const peers = [deployment.controls[0]!.peer, deployment.nodes[0]!.peer];
    const others = [deployment.nodes[0]!.forward, deployment.nodes[0]!.calls];
    const garbage = Buffer.alloc(4_096, 0xa5);
    for (const address of peers) {
      await sendRaw(address, garbage);
      await sendRaw(address, Buffer.concat([http2Preface, hugeFrame]));
    }
    for (const address of others) {
      await sendRaw(address, garbage);
      await sendRaw(address, Buffer.from('POST /x HTTP/1.1\r\ncontent-length: -1\r\n\r\n'));
    }
    await assertAlive();
  });

  itWithLogs('respond to malformed and oversized messages with an error', async () => {
    const malformed = Buffer.alloc(64, 0xff);
    const oversized = Buffer.alloc(5 * 1024 * 1024);
    const control = deployment.controls[0]!.peer;
    const node = deployment.nodes[0]!.peer;
    const paths: [string, string][] = [
      [control, '/auburnsill.v1.Consensus/AppendEntries'],
      [control, '/auburnsill.v1.Ledger/Claim'],
      [control, '/auburnsill.v1.Feed/Report'],
      [node, '/auburnsill.v1.Feed/Report'],
    ];
    for (const [address, path] of paths) {
      assert.ok(
        (await sendRpcBody(address, path, malformed)) >= 400,
        `${path} accepted a malformed message`,
      );
      assert.ok((await sendRpcBody(address, path, oversized)) >= 400, `${path} accepted 5 MiB`);
    }
    await assertAlive();
  });

  // Guards against acting on a message of another deployment or with implausible numbers.
  itWithLogs('reject messages that name another cluster', async () => {
    const cluster = [createTokenInterceptor(deployment.clusterToken)];
    const { transport, close } = createRpcTransport(deployment.controls[0]!.peer, cluster, 3_000);
    const sender = { cluster: 'other', group: 'configuration', member: 'x', incarnation: 'y' };
    const consensus = createClient(Consensus, transport);
    const answer = await consensus
      .requestVote({ sender, term: 10n ** 18n })
      .then(({ granted }) => granted)
      .catch(() => false);
    assert.equal(answer, false);
    const subscriber = { cluster: 'other', name: 'n', dataCentre: 'a', role: 'node' };
    const code = await codeOf(readFirst(createClient(Feed, transport).subscribe({ subscriber })));
    assert.notEqual(code, undefined);
    close();
    const { stdout } = await deployment.cli(['status', '--json']);
    assert.ok(Number(JSON.parse(stdout).version.split('.')[0]) < 1_000);
  });
});
