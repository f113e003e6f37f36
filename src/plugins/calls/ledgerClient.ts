/**
 * Client of the at-most-once ledger. It first asks the control instance that last answered as the
 * leader, follows leader hints, and tries the other instances in turn within the time limit.
 */
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect';
import { Ledger, type RecordedAnswer } from '../../gen/auburnsill/v1/ledger_pb.js';
import type { ClaimOutcome, LedgerAnswer, LedgerClient } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import { createRpcTransport, type RpcTransport } from '../rpc.js';

/** Longest time for one request to one control instance, in ms. */
const maxRequestMs = 1_500;
/** Pause before all control instances are tried again, in ms. */
const retryPauseMs = 100;
/** Time limit for recording an outcome or releasing a key, in ms. */
const recordTimeoutMs = 5_000;

export interface LedgerClientOptions {
  /** Peer addresses of the control instances, nearest first. */
  readonly addresses: readonly string[];
  readonly access: Access;
  readonly timer: Timer;
}

export interface ClosableLedgerClient extends LedgerClient {
  close(): void;
}

interface LedgerResponse {
  readonly outcome: string;
  readonly leaderAddress: string;
}

interface Connection {
  readonly rpc: RpcTransport;
  readonly client: Client<typeof Ledger>;
}

const notLeader = 'not_leader';

const toLedgerAnswer = (answer: RecordedAnswer | undefined): LedgerAnswer => ({
  status: answer?.status ?? 200,
  headers: answer?.headers ?? {},
  body: answer?.body ?? new Uint8Array(),
  bodyOmitted: answer?.bodyOmitted ?? false,
});

export const createLedgerClient = ({
  addresses,
  access,
  timer,
}: LedgerClientOptions): ClosableLedgerClient => {
  const connections = new Map<string, Connection>();
  let leader = addresses[0];

  const connectTo = (address: string): Connection => {
    const known = connections.get(address);
    if (known) {
      return known;
    }
    const rpc = createRpcTransport(address, [access.clientInterceptor], maxRequestMs);
    const connection = { rpc, client: createClient(Ledger, rpc.transport) };
    connections.set(address, connection);
    return connection;
  };

  const inOrderFrom = (first: string | undefined): string[] => [
    ...new Set([...(first === undefined ? [] : [first]), ...addresses]),
  ];

  type LedgerRequest<Response extends LedgerResponse> = (
    client: Client<typeof Ledger>,
    timeoutMs: number,
  ) => Promise<Response>;

  const tryInstance = async <Response extends LedgerResponse>(
    address: string,
    limitAt: number,
    send: LedgerRequest<Response>,
  ): Promise<Response | undefined> => {
    const timeoutMs = Math.min(maxRequestMs, limitAt - timer.now());
    if (timeoutMs <= 0) {
      return undefined;
    }
    try {
      return await send(connectTo(address).client, timeoutMs);
    } catch (error) {
      if (error instanceof ConnectError && error.code === Code.Unauthenticated) {
        throw new Failure('unauthorized', `ledger at ${address}`, { cause: error });
      }
      return undefined;
    }
  };

  /** Asks the instances in turn until one answers as the leader. */
  const requestLeader = async <Response extends LedgerResponse>(
    limitMs: number,
    send: LedgerRequest<Response>,
  ): Promise<Response> => {
    const limitAt = timer.now() + limitMs;
    while (timer.now() < limitAt) {
      let leaderHint: string | undefined;
      for (const address of inOrderFrom(leader)) {
        const response = await tryInstance(address, limitAt, send);
        if (response && response.outcome !== notLeader) {
          leader = address;
          return response;
        }
        leaderHint = response?.leaderAddress || leaderHint;
        if (leaderHint && leaderHint !== address) {
          break;
        }
      }
      const isNewHint = leaderHint !== undefined && leaderHint !== leader;
      leader = leaderHint ?? leader;
      if (!isNewHint) {
        await timer.sleep(Math.min(retryPauseMs, Math.max(0, limitAt - timer.now())));
      }
    }
    throw new Failure('ledger_unavailable');
  };

  const claim: LedgerClient['claim'] = async ({ timeoutMs, ...request }) => {
    const response = await requestLeader(timeoutMs, (client, requestTimeoutMs) =>
      client.claim(request, { timeoutMs: requestTimeoutMs }),
    );
    const outcomes: Record<string, () => ClaimOutcome> = {
      granted: () => ({ outcome: 'granted' }),
      completed: () => ({ outcome: 'completed', answer: toLedgerAnswer(response.answer) }),
      in_progress: () => ({ outcome: 'in_progress' }),
      mismatch: () => ({ outcome: 'mismatch' }),
    };
    const toOutcome = outcomes[response.outcome];
    if (!toOutcome) {
      throw new Failure('ledger_unavailable', `outcome ${response.outcome}`);
    }
    return toOutcome();
  };

  return {
    claim,
    complete: async ({ answer, ...completion }) => {
      await requestLeader(recordTimeoutMs, (client, timeoutMs) =>
        client.complete({ ...completion, answer: { ...answer } }, { timeoutMs }),
      );
    },
    release: async (release) => {
      await requestLeader(recordTimeoutMs, (client, timeoutMs) =>
        client.release(release, { timeoutMs }),
      );
    },
    close: () => connections.forEach(({ rpc }) => rpc.close()),
  };
};
