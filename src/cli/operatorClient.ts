/**
 * Client of the operators' services. It asks one control instance after the other, follows the
 * leader's address, and tells apart a request that was never sent from one that may have had an
 * effect.
 */
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect';
import { createTokenInterceptor } from '../plugins/operators/access.js';
import { createRpcTransport, type RpcTransport } from '../plugins/rpc.js';
import { OperatorCommands, OperatorQueries } from '../gen/auburnsill/v1/operator_pb.js';
import { createTimer, type Timer } from '../utils/timer.js';
import { CommandFailure } from './exitCodes.js';

export interface Connection {
  readonly commands: Client<typeof OperatorCommands>;
  readonly queries: Client<typeof OperatorQueries>;
}

/** Part that every answer of the operators' services has. */
interface Answer {
  readonly outcome: string;
  readonly leaderAddress?: string;
}

export interface RequestOptions {
  /** The request can be sent again although it may have had an effect. */
  readonly retryable: boolean;
  readonly limitMs?: number;
}

export interface OperatorClient {
  /**
   * Sends a request until an instance answers it. Throws a CommandFailure with `unreachable` if it
   * was never sent, `unknown` if it may have had an effect, or `unauthorized`.
   */
  request<Reply extends Answer>(
    send: (connection: Connection) => Promise<Reply>,
    options: RequestOptions,
  ): Promise<Reply>;
  close(): void;
}

const defaultLimitMs = 15_000;
/** Limit while no instance has taken a connection: a restart takes about a second. */
const unsentLimitMs = 5_000;
const pauseMs = 200;
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
  };
};

const systemCodeOf = (error: unknown): string | undefined => {
  if (!(error instanceof Error)) {
    return undefined;
  }
  const { code } = error as NodeJS.ErrnoException;
  return typeof code === 'string' ? code : systemCodeOf(error.cause);
};

const unsentCodes = new Set(['ECONNREFUSED', 'EHOSTUNREACH', 'ENETUNREACH']);

/** True if the request cannot have reached an instance. */
const wasNotSent = (error: unknown): boolean => unsentCodes.has(systemCodeOf(error) ?? '');

/** Answers that say by their code that nothing was changed. */
const refusingCodes = new Set([
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
  const others = [...addresses];
  let preferred = addresses[0];

  const peerAt = (address: string): Peer => {
    const peer = peers.get(address) ?? connectTo(address, token);
    peers.set(address, peer);
    return peer;
  };

  const nextAddress = (turn: number): string => {
    const address = preferred ?? others[turn % others.length];
    preferred = undefined;
    return address ?? '';
  };

  const ask: OperatorClient['request'] = async (
    send,
    { retryable: repeatable, limitMs = defaultLimitMs },
  ) => {
    const startedAt = timer.now();
    let wasSent = false;
    let mayHaveRun = false;
    let lastError = 'no answer';
    const isInTime = (): boolean =>
      timer.now() - startedAt < (wasSent ? limitMs : Math.min(limitMs, unsentLimitMs));
    for (let turn = 0; isInTime(); turn += 1) {
      const address = nextAddress(turn);
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
        if (refusingCodes.has(code)) {
          throw new CommandFailure('refused', lastError, { cause: error });
        }
        wasSent ||= !wasNotSent(error);
        mayHaveRun ||= !wasNotSent(error);
        if (mayHaveRun && !repeatable) {
          break;
        }
      }
      if (preferred === undefined) {
        await timer.sleep(pauseMs);
      }
    }
    throw mayHaveRun && !repeatable
      ? new CommandFailure('unknown', `the outcome is not known: ${lastError}`)
      : new CommandFailure('unreachable', `no leader answered: ${lastError}`);
  };

  return {
    request: ask,
    close: () => {
      peers.forEach(({ rpc }) => rpc.close());
      timer.stop();
    },
  };
};
