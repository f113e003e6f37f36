import assert from 'node:assert/strict';
import { createHash } from 'node:crypto';
import { describe, it } from 'node:test';
import { Code, ConnectError, createClient } from '@connectrpc/connect';
import { Ledger } from '../src/gen/auburnsill/v1/ledger_pb.js';
import { OperatorQueries } from '../src/gen/auburnsill/v1/operator_pb.js';
import {
  createAccess,
  createTokenInterceptor,
  operatorOf,
} from '../src/plugins/operators/access.js';
import { createRpcServer, createRpcTransport, parseAddress } from '../src/plugins/rpc.js';

const sha256 = (text: string) => createHash('sha256').update(text).digest('hex');

const startServer = async () => {
  const access = createAccess({ clusterToken: 'c', operators: { ann: sha256('o') } });
  const server = createRpcServer({
    address: { host: '127.0.0.1', port: 0 },
    interceptors: [access.serverInterceptor],
    routes: (router) => {
      router.service(Ledger, { release: () => ({ outcome: 'released' }) });
      router.service(OperatorQueries, {
        history: (_, { requestHeader }) => ({ outcome: operatorOf(requestHeader) }),
      });
    },
  });
  const { port } = await server.listen();
  return { server, address: `127.0.0.1:${port}` };
};

describe('access', () => {
  it('rejects a token of another kind of service', async () => {
    const { server, address } = await startServer();
    const isUnauthenticated = (error: unknown) =>
      error instanceof ConnectError && error.code === Code.Unauthenticated;
    const withToken = (token: string) =>
      createRpcTransport(address, [createTokenInterceptor(token)]);
    const transports = ['c', 'o', 'x'].map(withToken);
    const [cluster, operator, unknown] = transports.map(({ transport }) => ({
      ledger: createClient(Ledger, transport),
      queries: createClient(OperatorQueries, transport),
    }));
    assert.equal((await cluster!.ledger.release({})).outcome, 'released');
    assert.equal((await operator!.queries.history({})).outcome, 'ann');
    await assert.rejects(cluster!.queries.history({}), isUnauthenticated);
    await assert.rejects(operator!.ledger.release({}), isUnauthenticated);
    await assert.rejects(unknown!.ledger.release({}), isUnauthenticated);
    transports.forEach(({ close }) => close());
    await server.close(100);
  });

  it('parses only addresses with an IP number', () => {
    assert.deepEqual(parseAddress('127.0.0.1:80'), { host: '127.0.0.1', port: 80 });
    assert.deepEqual(parseAddress('[::1]:80'), { host: '::1', port: 80 });
    ['localhost:80', '127.0.0.1', '127.0.0.1:99999', ''].forEach((text) => {
      assert.equal(parseAddress(text), undefined);
    });
  });
});
