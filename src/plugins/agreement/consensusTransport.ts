/**
 * Transport of consensus messages over connect-es. Every message names the cluster, the replica
 * group and the sender with its incarnation. Messages of another cluster or an unknown group are
 * refused before they reach the core.
 */
import {
  Code,
  ConnectError,
  createClient,
  type Client,
  type ConnectRouter,
  type Interceptor,
} from '@connectrpc/connect';
import type {
  AnswerMessage,
  RequestMessage,
  MemberId,
} from '../../core/agreement/consensusTypes.js';
import { Consensus, type Sender as WireSender } from '../../gen/auburnsill/v1/consensus_pb.js';
import {
  decodeAppendRequest,
  decodeAppendAnswer,
  decodeSnapshotRequest,
  decodeSnapshotAnswer,
  decodeTimeoutNow,
  decodeTimeoutNowAnswer,
  decodeVoteRequest,
  decodeVoteAnswer,
  encodeAppendRequest,
  encodeAppendAnswer,
  encodeSnapshotRequest,
  encodeSnapshotAnswer,
  encodeTimeoutNow,
  encodeTimeoutNowAnswer,
  encodeVoteRequest,
  encodeVoteAnswer,
  decodeSender,
} from './consensusCodec.js';
import type { Member } from '../../types/internal.js';
import { createRpcTransport, parseAddress, type RpcTransport } from '../rpc.js';

/** Consecutive timeouts after which a connection is considered dead and is replaced. */
const maxTimeouts = 2;

export interface ConsensusTransportOptions {
  readonly cluster: string;
  readonly self: MemberId;
  readonly interceptors: Interceptor[];
  readonly callTimeoutMs: number;
}

/** The joining instance as it describes itself in a join request. */
export interface JoiningMember {
  readonly group: string;
  readonly name: string;
  readonly address: string;
  readonly dataCentre: string;
  readonly region: string;
}

export interface JoinAnswer {
  /** `member`, `not_leader` or `pending`. */
  readonly outcome: string;
  /** Addresses of the control instances to ask instead, the leader first if it is known. */
  readonly addresses: readonly string[];
}

export type JoinHandler = (group: string, member: Member) => Promise<JoinAnswer>;

/**
 * Answer to a request to leave. `kept`: the group needs the vote of the member. `pending`: another
 * change of the membership is in progress.
 */
export type LeaveOutcome = 'removed' | 'kept' | 'not_leader' | 'pending';

export type LeaveHandler = (group: string, member: MemberId) => Promise<LeaveOutcome>;

/** Handlers of the messages of other control instances. */
export interface ConsensusHandlers {
  readonly receive: RequestHandler;
  readonly join: JoinHandler;
  readonly leave: LeaveHandler;
}

export interface PeerAnswer {
  readonly from: MemberId;
  readonly message: AnswerMessage;
}

/** Handles a request for a replica group. Rejects if the group does not exist. */
export type RequestHandler = (
  group: string,
  from: MemberId,
  message: RequestMessage,
) => Promise<AnswerMessage>;

export interface ConsensusTransport {
  /** Asks the instance at `address` to add this one to the membership. */
  join(address: string, self: JoiningMember): Promise<JoinAnswer>;
  /** Asks the instance at `address` to remove this one from the membership. */
  leave(address: string, group: string): Promise<LeaveOutcome>;
  /** Sends a request to the member at `address`. Rejects if it is not answered. */
  request(address: string, group: string, message: RequestMessage): Promise<PeerAnswer>;
  routes(router: ConnectRouter, handlers: ConsensusHandlers): void;
  close(): void;
}

interface Peer {
  connection: RpcTransport;
  client: Client<typeof Consensus>;
  timeouts: number;
}

type SenderInit = Pick<WireSender, 'cluster' | 'group' | 'member' | 'incarnation'>;

type RpcCalls = {
  [Type in RequestMessage['type']]: (
    client: Client<typeof Consensus>,
    message: Extract<RequestMessage, { type: Type }>,
    sender: SenderInit,
  ) => Promise<{ sender: WireSender | undefined; message: AnswerMessage }>;
};

const rpcCalls: RpcCalls = {
  requestVote: async (client, message, sender) => {
    const answer = await client.requestVote(encodeVoteRequest(message, sender));
    return { sender: answer.sender, message: decodeVoteAnswer(answer) };
  },
  appendEntries: async (client, message, sender) => {
    const answer = await client.appendEntries(encodeAppendRequest(message, sender));
    return { sender: answer.sender, message: decodeAppendAnswer(answer) };
  },
  installSnapshot: async (client, message, sender) => {
    const answer = await client.installSnapshot(encodeSnapshotRequest(message, sender));
    return { sender: answer.sender, message: decodeSnapshotAnswer(answer) };
  },
  timeoutNow: async (client, message, sender) => {
    const answer = await client.timeoutNow(encodeTimeoutNow(message, sender));
    return { sender: answer.sender, message: decodeTimeoutNowAnswer(answer) };
  },
};

const maxJoinAddresses = 16;
const leaveOutcomes: readonly LeaveOutcome[] = ['removed', 'kept', 'not_leader', 'pending'];

const readPeerAddresses = (addresses: readonly string[]): string[] =>
  addresses.slice(0, maxJoinAddresses).filter((address) => parseAddress(address) !== undefined);

const isTimeout = (error: unknown): boolean =>
  error instanceof ConnectError && error.code === Code.DeadlineExceeded;

export const createConsensusTransport = ({
  cluster,
  self,
  interceptors,
  callTimeoutMs,
}: ConsensusTransportOptions): ConsensusTransport => {
  const peers = new Map<string, Peer>();

  const createPeer = (address: string): Peer => {
    const connection = createRpcTransport(address, interceptors, callTimeoutMs);
    return { connection, client: createClient(Consensus, connection.transport), timeouts: 0 };
  };

  const peerAt = (address: string): Peer => {
    const peer = peers.get(address) ?? createPeer(address);
    peers.set(address, peer);
    return peer;
  };

  const recordFailure = (address: string, peer: Peer, error: unknown) => {
    peer.timeouts += isTimeout(error) ? 1 : 0;
    // A connection can stop delivering data for good while new connections to the address work.
    if (peer.timeouts >= maxTimeouts && peers.get(address) === peer) {
      peers.delete(address);
      peer.connection.close();
    }
  };

  const senderOf = (group: string): SenderInit => ({
    cluster,
    group,
    member: self.name,
    incarnation: self.incarnation,
  });

  const call = async <Answer>(
    address: string,
    send: (client: Peer['client']) => Promise<Answer>,
  ): Promise<Answer> => {
    const peer = peerAt(address);
    try {
      const answer = await send(peer.client);
      peer.timeouts = 0;
      return answer;
    } catch (error) {
      recordFailure(address, peer, error);
      throw error;
    }
  };

  const request: ConsensusTransport['request'] = async (address, group, message) => {
    const sendMessage = rpcCalls[message.type] as (
      client: Peer['client'],
      sent: RequestMessage,
      sender: SenderInit,
    ) => ReturnType<RpcCalls['requestVote']>;
    const answer = await call(address, (client) => sendMessage(client, message, senderOf(group)));
    return { from: decodeSender(answer.sender), message: answer.message };
  };

  const join: ConsensusTransport['join'] = async (address, { group, ...joining }) => {
    const answer = await call(address, (client) =>
      client.join({
        sender: senderOf(group),
        address: joining.address,
        dataCentre: joining.dataCentre,
        region: joining.region,
      }),
    );
    return { outcome: answer.outcome, addresses: readPeerAddresses(answer.addresses) };
  };

  const leave: ConsensusTransport['leave'] = async (address, group) => {
    const { outcome } = await call(address, (client) => client.leave({ sender: senderOf(group) }));
    return leaveOutcomes.find((known) => known === outcome) ?? 'pending';
  };

  const routes: ConsensusTransport['routes'] = (router, handlers) => {
    const dispatch = async <Type extends AnswerMessage['type']>(
      sender: WireSender | undefined,
      message: RequestMessage,
    ): Promise<{ sender: SenderInit; answer: Extract<AnswerMessage, { type: Type }> }> => {
      if (sender?.cluster !== cluster) {
        const detail = `this is cluster "${cluster}", not "${sender?.cluster}"`;
        throw new ConnectError(detail, Code.PermissionDenied);
      }
      const answer = await handlers.receive(sender.group, decodeSender(sender), message);
      return {
        sender: senderOf(sender.group),
        answer: answer as Extract<AnswerMessage, { type: Type }>,
      };
    };

    router.service(Consensus, {
      join: async ({ sender, address, dataCentre, region }) => {
        if (sender?.cluster !== cluster || parseAddress(address) === undefined) {
          throw new ConnectError(
            'the join request names another cluster or has no valid address',
            Code.InvalidArgument,
          );
        }
        const { name, incarnation } = decodeSender(sender);
        const member = { name, incarnation, address, dataCentre, region };
        const answer = await handlers.join(sender.group, { ...member, kind: 'learner' });
        return { outcome: answer.outcome, addresses: [...answer.addresses] };
      },
      leave: async ({ sender }) => {
        if (sender?.cluster !== cluster) {
          throw new ConnectError(
            'the request to leave names another cluster',
            Code.PermissionDenied,
          );
        }
        return { outcome: await handlers.leave(sender.group, decodeSender(sender)) };
      },
      requestVote: async (wire) => {
        const { sender, answer } = await dispatch<'voteAnswer'>(
          wire.sender,
          decodeVoteRequest(wire),
        );
        return { sender, ...encodeVoteAnswer(answer) };
      },
      appendEntries: async (wire) => {
        const { sender, answer } = await dispatch<'appendAnswer'>(
          wire.sender,
          decodeAppendRequest(wire),
        );
        return { sender, ...encodeAppendAnswer(answer) };
      },
      installSnapshot: async (wire) => {
        const { sender, answer } = await dispatch<'snapshotAnswer'>(
          wire.sender,
          decodeSnapshotRequest(wire),
        );
        return { sender, ...encodeSnapshotAnswer(answer) };
      },
      timeoutNow: async (wire) => {
        const { sender, answer } = await dispatch<'timeoutNowAnswer'>(
          wire.sender,
          decodeTimeoutNow(wire),
        );
        return { sender, ...encodeTimeoutNowAnswer(answer) };
      },
    });
  };

  return {
    join,
    leave,
    request,
    routes,
    close: () => {
      peers.forEach(({ connection }) => connection.close());
      peers.clear();
    },
  };
};
