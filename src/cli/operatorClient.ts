/**
 * Client of the operator services. It tries one control instance after another, follows the address
 * of the leader, and distinguishes a request that was never sent from one that may have had an
 * effect.
 */
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect';
import { createTokenInterceptor } from '../plugins/operators/access.js';
import { createRpcTransport, type RpcTransport } from '../plugins/rpc.js';
import {
  OperatorCommands,
  OperatorQueries,
  OperatorRollouts,
} from '../gen/auburnsill/v1/operator_pb.js';
import { createTimer, type Timer } from '../utils/timer.js';
import { CommandFailure } from './exitCodes.js';

export interface Connection {
  readonly commands: Client<typeof OperatorCommands>;
  readonly queries: Client<typeof OperatorQueries>;
  readonly rollouts: Client<typeof OperatorRollouts>;
}

/** Fields that all responses of the operator services have. */
interface OperatorReply {
  readonly outcome: string;
  readonly leaderAddress?: string;
}

export interface RequestOptions {
  /** The request may be sent again even if it may have had an effect. */
  readonly retryable: boolean;
  readonly limitMs?: number;
}

export interface OperatorClient {
  /**
   * Sends a request until an instance answers it. Throws a CommandFailure: `unreachable` if it was
   * never sent, `unknown` if it may have had an effect, or `unauthorized`.
   */
  request<Reply extends OperatorReply>(
    send: (connection: Connection) => Promise<Reply>,
    options: RequestOptions,
  ): Promise<Reply>;
  close(): void;
}

const defaultLimitMs = 15_000;
/** Time limit until an instance accepts a connection: a restart takes about a second. */
const connectLimitMs = 5_000;
const retryDelayMs = 200;
const requestTimeoutMs = 5_000;

interface Peer extends Connection {
  readonly rpc: RpcTransport;
}

const connectTo = (address: string, token: string): Peer => {
  const rpc = createRpcTransport(address, [createTokenInterceptor(token)], requestTimeoutMs);
  return {
    rpc,
    commands: createClient(OperatorCommands, rpc.transport),
    queries: createClient(OperatorQueries, rpc.transport),
    rollouts: createClient(OperatorRollouts, rpc.transport),
  };
};

const findSystemCode = (error: unknown): string | undefined => {
  if (!(error instanceof Error)) {
    return undefined;
  }
  const { code } = error as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : findSystemCode(error.cause);
};

const unsentErrorCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** Whether the request cannot have reached an instance. */
const isUnsent = (error: unknown): boolean => unsentErrorCodes.has(findSystemCode(error) ?? '');

/** Error codes which imply that nothing was changed. */
const refusalCodes = new Set([
  Code.InvalidArgument,
  Code.FailedPrecondition,
  Code.ResourceExhausted,
  Code.PermissionDenied,
  Code.Unimplemented,
  Code.NotFound,
]);

export const createOperatorClient = (
  addresses: readonly string[],
  token: string,
  timer: Timer = createTimer(),
): OperatorClient => {
  const peers = new Map<string, Peer>();
  const candidates = [...addresses];
  let preferred = addresses[0];

  const peerAt = (address: string): Peer => {
    const peer = peers.get(address) ?? connectTo(address, token);
    peers.set(address, peer);
    return peer;
  };

  const nextAddress = (attempt: number): string => {
    const address = preferred ?? candidates[attempt % candidates.length];
    preferred = undefined;
    return address ?? '';
  };

  const request: OperatorClient['request'] = async (
    send,
    { retryable, limitMs = defaultLimitMs },
  ) => {
    const startedAt = timer.now();
    let wasSent = false;
    let mayHaveRun = false;
    let lastError = 'no answer';
    const isWithinLimit = (): boolean =>
      timer.now() - startedAt < (wasSent ? limitMs : Math.min(limitMs, connectLimitMs));
    for (let attempt = 0; isWithinLimit(); attempt += 1) {
      const address = nextAddress(attempt);
      try {
        const reply = await send(peerAt(address));
        wasSent = true;
        if (reply.outcome !== 'not_leader') {
          preferred = address;
          return reply;
        }
        preferred = reply.leaderAddress === address ? undefined : reply.leaderAddress || undefined;
        lastError = `${address} is not the leader`;
      } catch (error) {
        const { code, rawMessage } = ConnectError.from(error);
        lastError = `${address}: ${rawMessage}`;
        if (code === Code.Unauthenticated) {
          throw new CommandFailure('unauthorized', lastError, { cause: error });
        }
        if (refusalCodes.has(code)) {
          throw new CommandFailure('refused', lastError, { cause: error });
        }
        wasSent ||= !isUnsent(error);
        mayHaveRun ||= !isUnsent(error);
        if (mayHaveRun && !retryable) {
          break;
        }
      }
      if (preferred === undefined) {
        await timer.sleep(retryDelayMs);
      }
    }
    throw mayHaveRun && !retryable
      ? new CommandFailure('unknown', `the outcome is not known: ${lastError}`)
      : new CommandFailure('unreachable', `no leader answered: ${lastError}`);
  };

  return {
    request,
    close: () => {
      peers.forEach(({ rpc }) => rpc.close());
      timer.stop();
    },
  };
};
