/**
 * Fake parent in the distribution tree. It sends the messages that the test chooses over a real
 * connection.
 */
import { create, type MessageInitShape } from '@bufbuild/protobuf';
import {
  Feed,
  FeedMessageSchema,
  type ChangeSubscriptionRequest,
  type SubscribeRequest,
} from '../../src/gen/auburnsill/v1/feed_pb.js';
import { createAccess } from '../../src/plugins/operators/access.js';
import { createRpcServer, parseAddress } from '../../src/plugins/rpc.js';
import type { Version } from '../../src/types/public.js';
import { clusterToken, findFreeAddress } from './feedFleet.js';

type MessageInit = MessageInitShape<typeof FeedMessageSchema>['message'];

export interface FakeParent {
  readonly address: string;
  /** Sends a message to all streams. */
  send(message: MessageInit): void;
  /** Sends this heartbeat immediately and then twice a second. */
  sendHeartbeats(heartbeat: { head: Version; path: string[]; ageMs?: number; root?: string }): void;
  /** Stops sending heartbeats. Reports and pings are still answered. */
  stopHeartbeats(): void;
  /** Ends all streams. */
  end(): void;
  streams(): number;
  /** All subscriptions so far, except probes. */
  readonly subscriptions: SubscribeRequest[];
  readonly changes: ChangeSubscriptionRequest[];
  stop(): Promise<void>;
}

/** Starts a parent that announces this version floor to its children. */
export const startFakeParent = async (floor?: Version): Promise<FakeParent> => {
  const access = createAccess({ clusterToken });
  const address = await findFreeAddress();
  const subscriptions: SubscribeRequest[] = [];
  const changes: ChangeSubscriptionRequest[] = [];
  const queues = new Set<{ messages: MessageInit[]; ended: boolean; wake: () => void }>();
  let heartbeat: MessageInit | undefined;

  const send = (message: MessageInit) =>
    queues.forEach((queue) => {
      queue.messages.push(message);
      queue.wake();
    });

  const createMessage = (message: MessageInit) => create(FeedMessageSchema, { message });

  async function* subscribe(request: SubscribeRequest, { signal }: { signal: AbortSignal }) {
    yield createMessage({
      case: 'welcome',
      value: {
        subscriptionId: 'fake',
        path: ['fake'],
        floor: floor && { term: BigInt(floor.term), index: BigInt(floor.index) },
      },
    });
    if (request.probe) {
      yield createMessage(heartbeat ?? { case: 'heartbeat', value: {} });
      return;
    }
    subscriptions.push(request);
    const queue = { messages: [] as MessageInit[], ended: false, wake: (): void => undefined };
    queues.add(queue);
    signal.addEventListener('abort', () => {
      queues.delete(queue);
      queue.wake();
    });
    while (!signal.aborted) {
      const next = queue.messages.shift();
      if (next) {
        yield createMessage(next);
      } else if (queue.ended) {
        break;
      } else {
        await new Promise<void>((resolve) => {
          queue.wake = resolve;
        });
      }
    }
  }

  const server = createRpcServer({
    address: parseAddress(address) ?? { host: '127.0.0.1', port: 0 },
    routes: (router) => {
      router.service(Feed, {
        subscribe,
        changeSubscription: (request) => {
          changes.push(request);
          return {};
        },
        report: () => ({}),
      });
    },
    interceptors: [access.serverInterceptor],
  });
  await server.listen();
  const heartbeatTimer = setInterval(() => heartbeat && send(heartbeat), 500);

  return {
    address,
    send,
    sendHeartbeats: ({ head, path, ageMs = 0, root = 'dc-a' }) => {
      heartbeat = {
        case: 'heartbeat',
        value: {
          confirmedAgeMs: BigInt(ageMs),
          headVersion: { term: BigInt(head.term), index: BigInt(head.index) },
          path,
          rootDataCentre: root,
        },
      };
      send(heartbeat);
    },
    stopHeartbeats: () => {
      heartbeat = undefined;
    },
    end: () =>
      queues.forEach((queue) => {
        queue.ended = true;
        queue.wake();
      }),
    streams: () => queues.size,
    subscriptions,
    changes,
    stop: async () => {
      clearInterval(heartbeatTimer);
      await server.close(0);
    },
  };
};
