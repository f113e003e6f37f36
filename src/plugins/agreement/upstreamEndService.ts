/**
 * RPC service for the ends of upstreams. Only a leader that a quorum confirms records and lists them;
 * nodes ask all control instances at once.
 */
import { Code, ConnectError, type ConnectRouter } from '@connectrpc/connect';
import type {
  AppliedChange,
  ConfigurationHistory,
} from '../../core/agreement/configurationHistory.js';
import { encodeUpstreamEnd } from '../../core/agreement/upstreamEnds.js';
import { Upstreams } from '../../gen/auburnsill/v1/upstream_pb.js';
import type { ReplicaGroup } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';

const maxNameLength = 256;

export interface UpstreamEndServiceOptions {
  readonly group: ReplicaGroup<AppliedChange>;
  readonly history: ConfigurationHistory;
}

const checkName = (field: string, name: string) => {
  if (name.length === 0 || name.length > maxNameLength) {
    throw new ConnectError(`${field}: 1 to ${maxNameLength} characters`, Code.InvalidArgument);
  }
};

const readInteger = (field: string, value: bigint): number => {
  const number = Number(value);
  if (!Number.isSafeInteger(number)) {
    throw new ConnectError(`${field}: not a safe integer`, Code.InvalidArgument);
  }
  return number;
};

/** Adds the service `Upstreams` to a router. */
export const createUpstreamEndService = ({ group, history }: UpstreamEndServiceOptions) => {
  /** Runs an operation of the leader. Any failure means that another instance has to be asked. */
  const runAsLeader = async <Result>(operation: () => Promise<Result>) => {
    if (group.queries.role() !== 'leader') {
      return undefined;
    }
    try {
      return await operation();
    } catch (error) {
      if (error instanceof Failure) {
        return undefined;
      }
      throw error;
    }
  };

  return (router: ConnectRouter) => {
    router.service(Upstreams, {
      recordEnd: async ({ node, end }) => {
        const { endpoint = '', startedAtMs = 0n, sequence = 0n } = end ?? {};
        checkName('node', node);
        checkName('endpoint', endpoint);
        const payload = encodeUpstreamEnd({
          node,
          endpoint,
          startedAt: readInteger('started_at_ms', startedAtMs),
          sequence: readInteger('sequence', sequence),
        });
        const applied = await runAsLeader(() => group.commands.propose(payload));
        return { outcome: applied ? 'recorded' : 'not_leader' };
      },
      listEnds: async ({ node }) => {
        const ends = await runAsLeader(async () => {
          await group.queries.confirmRead();
          return history.queries.upstreamEnds(node);
        });
        return {
          outcome: ends ? 'listed' : 'not_leader',
          ends: (ends ?? []).map(({ endpoint, startedAt, sequence }) => ({
            endpoint,
            startedAtMs: BigInt(startedAt),
            sequence: BigInt(sequence),
          })),
        };
      },
    });
  };
};
