/**
 * Client of the at-most-once ledger. It asks the control instance that answered last, follows its
 * hint about the leader, and tries the others in turn within the time of the claim.
 */
import { Code, ConnectError, createClient, type Client } from '@connectrpc/connect';
import { Ledger, type RecordedAnswer } from '../../gen/auburnsill/v1/ledger_pb.js';
import type { ClaimOutcome, LedgerAnswer, LedgerClient } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import { createRpcTransport, type RpcTransport } from '../rpc.js';

/** Longest time for one request to one control instance, in ms. */
const requestMs = 1_500;
/** Pause before all control instances are tried again, in ms. */
const roundPauseMs = 100;
/** Time within which an outcome or a release has to be taken, in ms. */
const recordMs = 5_000;

export interface LedgerClientOptions {
  /** Peer addresses of the control instances, nearest first. */
  readonly addresses: readonly string[];
  readonly access: Access;
  readonly timer: Timer;
}

export interface ClosableLedgerClient extends LedgerClient {
  close(): void;
}

interface Answered {
  readonly outcome: string;
  readonly leaderAddress: string;
}

interface Link {
  readonly rpc: RpcTransport;
  readonly client: Client<typeof Ledger>;
}

const notLeader = 'not_leader';

const readAnswer = (answer: RecordedAnswer | undefined): LedgerAnswer => ({
  status: answer?.status ?? 200,
  headers: answer?.headers ?? {},
  body: answer?.body ?? new Uint8Array(),
  bodyOmitted: answer?.bodyOmitted ?? false,
});

/** Creates the client of the ledger. */
export const createLedgerClient = ({
  addresses,
  access,
  timer,
}: LedgerClientOptions): ClosableLedgerClient => {
  const links = new Map<string, Link>();
  let leader = addresses[0];

  const linkTo = (address: string): Link => {
    const known = links.get(address);
    if (known) {
      return known;
    }
    const rpc = createRpcTransport(address, [access.clientInterceptor], requestMs);
    const link = { rpc, client: createClient(Ledger, rpc.transport) };
    links.set(address, link);
    return link;
  };

  const orderOf = (first: string | undefined): string[] => [
    ...new Set([...(first === undefined ? [] : [first]), ...addresses]),
  ];

  type Step<Response extends Answered> = (
    client: Client<typeof Ledger>,
    timeoutMs: number,
  ) => Promise<Response>;

  const ask = async <Response extends Answered>(
    address: string,
    limitAt: number,
    step: Step<Response>,
  ): Promise<Response | undefined> => {
    const timeoutMs = Math.min(requestMs, limitAt - timer.now());
    if (timeoutMs <= 0) {
      return undefined;
    }
    try {
      return await step(linkTo(address).client, timeoutMs);
    } catch (error) {
      if (error instanceof ConnectError && error.code === Code.Unauthenticated) {
        throw new Failure('unauthorized', `ledger at ${address}`, { cause: error });
      }
      return undefined;
    }
  };

  /** Asks one instance after another until one answers as the leader. */
  const askLeader = async <Response extends Answered>(
    limitMs: number,
    step: Step<Response>,
  ): Promise<Response> => {
    const limitAt = timer.now() + limitMs;
    while (timer.now() < limitAt) {
      let hint: string | undefined;
      for (const address of orderOf(leader)) {
        const answered = await ask(address, limitAt, step);
        if (answered && answered.outcome !== notLeader) {
          leader = address;
          return answered;
        }
        hint = answered?.leaderAddress || hint;
        if (hint && hint !== address) {
          break;
        }
      }
      const isNewHint = hint !== undefined && hint !== leader;
      leader = hint ?? leader;
      if (!isNewHint) {
        await timer.sleep(Math.min(roundPauseMs, Math.max(0, limitAt - timer.now())));
      }
    }
    throw new Failure('ledger_unavailable');
  };

  const claim: LedgerClient['claim'] = async ({ timeoutMs, ...request }) => {
    const answered = await askLeader(timeoutMs, (client, requestTimeoutMs) =>
      client.claim(request, { timeoutMs: requestTimeoutMs }),
    );
    const outcomes: Record<string, () => ClaimOutcome> = {
      granted: () => ({ outcome: 'granted' }),
      completed: () => ({ outcome: 'completed', answer: readAnswer(answered.answer) }),
      in_progress: () => ({ outcome: 'in_progress' }),
      mismatch: () => ({ outcome: 'mismatch' }),
    };
    const read = outcomes[answered.outcome];
    if (!read) {
      throw new Failure('ledger_unavailable', `outcome ${answered.outcome}`);
    }
    return read();
  };

  return {
    claim,
    complete: async ({ answer, ...completion }) => {
      await askLeader(recordMs, (client, timeoutMs) =>
        client.complete({ ...completion, answer: { ...answer } }, { timeoutMs }),
      );
    },
    release: async (release) => {
      await askLeader(recordMs, (client, timeoutMs) => client.release(release, { timeoutMs }));
    },
    close: () => links.forEach(({ rpc }) => rpc.close()),
  };
};
