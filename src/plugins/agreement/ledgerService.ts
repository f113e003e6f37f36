/**
 * RPC service of the at-most-once ledger. A follower answers with the leader's address.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import {
  encodeLedgerCommand,
  ledgerRetentionMs,
  type Ledger as LedgerState,
  type LedgerCommand,
  type LedgerResult,
} from '../../core/agreement/ledger.js';
import { Ledger, type RecordedAnswer } from '../../gen/auburnsill/v1/ledger_pb.js';
import type { LedgerAnswer, ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';

const maxKeyBytes = 512;
const maxHeaderBytes = 16 * 1024;
const expiryPeriodMs = 60_000;
/**
 * Keys expire in steps of this time, in ms, counted from the oldest key, so that no single entry
 * expires the keys of a long time span.
 */
const expiryStepMs = 60_000;

export interface LedgerServiceOptions {
  readonly group: ReplicaGroup<LedgerResult>;
  readonly ledger: LedgerState;
  readonly timer: Timer;
}

export interface LedgerService {
  routes(router: ConnectRouter): void;
  /** Starts to expire keys that are older than the retention. */
  start(): void;
}

interface Outcome {
  readonly result?: LedgerResult;
  readonly leaderAddress: string;
}

const checkKey = ({ service, key, attemptId }: Record<string, unknown>) => {
  const isValid = (text: unknown) =>
    typeof text === 'string' && text !== '' && Buffer.byteLength(text) <= maxKeyBytes;
  if (![service, key, attemptId].every(isValid)) {
    const detail = `service, key and attempt id are required, each at most ${maxKeyBytes} bytes`;
    throw new ConnectError(detail, Code.InvalidArgument);
  }
};

const toAnswer = (answer: RecordedAnswer | undefined): LedgerAnswer => {
  if (!answer) {
    throw new ConnectError('the answer is missing', Code.InvalidArgument);
  }
  const { status, headers, body, bodyOmitted } = answer;
  if (JSON.stringify(headers).length > maxHeaderBytes) {
    throw new ConnectError(`the headers exceed ${maxHeaderBytes} bytes`, Code.InvalidArgument);
  }
  return { status, headers, body, bodyOmitted };
};

const toWireAnswer = (result: LedgerResult | undefined) =>
  result?.outcome === 'completed' && 'answer' in result
    ? { ...result.answer, body: new Uint8Array(result.answer.body) }
    : undefined;

/** Maps failures to codes that tell the client whether the command may have taken effect. */
const toConnectError = (error: unknown): ConnectError => {
  if (error instanceof Failure) {
    const code = error.run === 'not_run' ? Code.Unavailable : Code.Aborted;
    return new ConnectError(error.message, code);
  }
  return ConnectError.from(error);
};

export const createLedgerService = ({
  group,
  ledger,
  timer,
}: LedgerServiceOptions): LedgerService => {
  const leaderAddress = (): string => group.queries.leader()?.address ?? '';

  const propose = async (command: LedgerCommand): Promise<Outcome> => {
    try {
      const { result } = await group.commands.propose(encodeLedgerCommand(command));
      return { result, leaderAddress: leaderAddress() };
    } catch (error) {
      if (error instanceof Failure && error.reason === 'not_leader') {
        return { leaderAddress: leaderAddress() };
      }
      throw toConnectError(error);
    }
  };

  const outcomeOf = ({ result }: Outcome): string => {
    if (result?.outcome === 'full') {
      throw new ConnectError('the ledger is full', Code.ResourceExhausted);
    }
    return result?.outcome ?? 'not_leader';
  };

  const expire = () => {
    const limit = timer.wallClock() - ledgerRetentionMs;
    const oldest = ledger.queries.oldestAtMs();
    if (group.queries.role() === 'leader' && oldest !== undefined && oldest < limit) {
      const beforeMs = Math.min(limit, oldest + expiryStepMs);
      propose({ type: 'expire', beforeMs }).catch(() => undefined);
    }
  };

  return {
    start: () => {
      timer.every(expiryPeriodMs, expire);
    },
    routes: (router) => {
      router.service(Ledger, {
        claim: async (request) => {
          checkKey(request);
          const { service, key, attemptId } = request;
          const fingerprint = Buffer.from(request.fingerprint).toString('hex');
          const atMs = timer.wallClock();
          const outcome = await propose({
            type: 'claim',
            service,
            key,
            attemptId,
            fingerprint,
            atMs,
          });
          return {
            outcome: outcomeOf(outcome),
            answer: toWireAnswer(outcome.result),
            leaderAddress: outcome.leaderAddress,
          };
        },
        complete: async (request) => {
          checkKey(request);
          const { service, key, attemptId } = request;
          const answer = toAnswer(request.answer);
          const outcome = await propose({ type: 'complete', service, key, attemptId, answer });
          return { outcome: outcomeOf(outcome), leaderAddress: outcome.leaderAddress };
        },
        release: async (request) => {
          checkKey(request);
          const { service, key, attemptId } = request;
          const outcome = await propose({ type: 'release', service, key, attemptId });
          return { outcome: outcomeOf(outcome), leaderAddress: outcome.leaderAddress };
        },
      });
    },
  };
};
