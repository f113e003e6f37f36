/**
 * Access control between the processes of a deployment, and for operators. Both authenticate with
 * bearer tokens. The cluster token gives access to the services between processes, the token of an
 * operator to the operator services, and neither to the other's. Tokens are compared in constant
 * time.
 */
import { createHash, timingSafeEqual } from 'node:crypto';
import { Code, ConnectError, type Interceptor } from '@connectrpc/connect';

/** Owner of a token. */
export type Identity =
  | { readonly kind: 'cluster' }
  | { readonly kind: 'operator'; readonly name: string }
  | { readonly kind: 'unknown' };

export interface AccessOptions {
  readonly clusterToken: string;
  /** SHA-256 in hex of each operator's token, by operator name. */
  readonly operators?: Readonly<Record<string, string>>;
}

export interface Access {
  authenticate(authorization: string | null | undefined): Identity;
  /** Rejects RPCs whose token does not give access to the service. */
  readonly serverInterceptor: Interceptor;
  /** Adds the cluster token to outgoing RPCs. */
  readonly clientInterceptor: Interceptor;
  /** Value of the authorization header for requests to other processes. */
  readonly authorization: string;
}

const operatorNameHeader = 'x-operator-name';

const hashToken = (token: string): Buffer => createHash('sha256').update(token).digest();

const isOperatorService = (typeName: string): boolean =>
  typeName.startsWith('auburnsill.v1.Operator');

/** Creates an interceptor that adds a bearer token to outgoing RPCs. */
export const createTokenInterceptor =
  (token: string): Interceptor =>
  (next) =>
  (request) => {
    request.header.set('authorization', `Bearer ${token}`);
    return next(request);
  };

/** Returns the name of the operator of an RPC, as set by the server interceptor. */
export const operatorOf = (header: Headers): string => header.get(operatorNameHeader) ?? '';

export const createAccess = ({ clusterToken, operators = {} }: AccessOptions): Access => {
  const clusterHash = hashToken(clusterToken);
  const operatorHashes = Object.entries(operators).map(([name, hex]) => ({
    name,
    hash: Buffer.from(hex, 'hex'),
  }));

  const authenticate: Access['authenticate'] = (authorization) => {
    const token = /^Bearer (.+)$/.exec(authorization ?? '')?.[1];
    if (token === undefined) {
      return { kind: 'unknown' };
    }
    const hash = hashToken(token);
    if (timingSafeEqual(hash, clusterHash)) {
      return { kind: 'cluster' };
    }
    const operator = operatorHashes.find(
      (candidate) => candidate.hash.length === hash.length && timingSafeEqual(candidate.hash, hash),
    );
    return operator ? { kind: 'operator', name: operator.name } : { kind: 'unknown' };
  };

  const serverInterceptor: Interceptor = (next) => async (request) => {
    const identity = authenticate(request.header.get('authorization'));
    const expected = isOperatorService(request.service.typeName) ? 'operator' : 'cluster';
    if (identity.kind !== expected) {
      throw new ConnectError('missing or wrong token', Code.Unauthenticated);
    }
    request.header.delete(operatorNameHeader);
    if (identity.kind === 'operator') {
      request.header.set(operatorNameHeader, identity.name);
    }
    return next(request);
  };

  return {
    authenticate,
    serverInterceptor,
    clientInterceptor: createTokenInterceptor(clusterToken),
    authorization: `Bearer ${clusterToken}`,
  };
};
