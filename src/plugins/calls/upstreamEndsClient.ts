/**
 * Client for the ends of upstreams that the control instances store. A request goes to all known
 * control instances at once, since the leader may have changed and an instance that is down would
 * delay the others. Connections are closed after it: ends and restarts are rare.
 */
import { createClient, type Client } from '@connectrpc/connect';
import { Upstreams } from '../../gen/auburnsill/v1/upstream_pb.js';
import type { EndMark, UpstreamEndStore } from '../../types/internal.js';
import { Failure } from '../../utils/failure.js';
import type { Timer } from '../../utils/timer.js';
import type { Access } from '../operators/access.js';
import { createRpcTransport, type RpcTransport } from '../rpc.js';

/** Longest time for one request to the control instances, in ms: one election timeout. */
const maxRequestMs = 1_000;
/** Pause before the control instances are asked again, in ms; it doubles up to the longest one. */
const firstPauseMs = 100;
const longestPauseMs = 1_000;

export interface UpstreamEndsClientOptions {
  /** Name of this node. */
  readonly node: string;
  /** Peer addresses of the known control instances. */
  readonly addresses: () => readonly string[];
  readonly access: Access;
  readonly timer: Timer;
}

interface Answer {
  readonly outcome: string;
}

const notLeader = 'not_leader';

export const createUpstreamEndsClient = (options: UpstreamEndsClientOptions): UpstreamEndStore => {
  const { node, addresses, access, timer } = options;

  type Send<Received> = (client: Client<typeof Upstreams>) => Promise<Received>;

  /** Resolves with the answer of the leader, or rejects if none of the instances is the leader. */
  const askLeader = <Received extends Answer>(
    transports: readonly RpcTransport[],
    send: Send<Received>,
  ): Promise<Received> =>
    Promise.any(
      transports.map(async ({ transport }) => {
        const answer = await send(createClient(Upstreams, transport));
        if (answer.outcome === notLeader) {
          throw new Failure('not_leader');
        }
        return answer;
      }),
    );

  const retryUntil = async <Received extends Answer>(
    limitMs: number,
    send: Send<Received>,
  ): Promise<Received> => {
    const limitAt = timer.now() + limitMs;
    const transports = new Map<string, RpcTransport>();
    const connectToAll = () => {
      addresses()
        .filter((address) => !transports.has(address))
        .forEach((address) => {
          const transport = createRpcTransport(address, [access.clientInterceptor], maxRequestMs);
          transports.set(address, transport);
        });
      return [...transports.values()];
    };
    try {
      for (let pauseMs = firstPauseMs; ; pauseMs = Math.min(2 * pauseMs, longestPauseMs)) {
        try {
          return await askLeader(connectToAll(), send);
        } catch (cause) {
          if (timer.now() + pauseMs >= limitAt) {
            throw new Failure('no_quorum', 'no leader has answered', { cause });
          }
        }
        await timer.sleep(pauseMs);
      }
    } finally {
      transports.forEach(({ close }) => close());
    }
  };

  return {
    record: async ({ endpoint, startedAt, sequence }, limitMs) => {
      const end = { endpoint, startedAtMs: BigInt(startedAt), sequence: BigInt(sequence) };
      await retryUntil(limitMs, (client) => client.recordEnd({ node, end }));
    },
    list: async (limitMs) => {
      const { ends } = await retryUntil(limitMs, (client) => client.listEnds({ node }));
      return ends.map(({ endpoint, startedAtMs, sequence }): EndMark => ({
        endpoint,
        startedAt: Number(startedAtMs),
        sequence: Number(sequence),
      }));
    },
  };
};
