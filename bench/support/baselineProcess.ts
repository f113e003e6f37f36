/**
 * Baseline of the distribution benchmarks: the simplest distribution, with one source that sends
 * the full configuration and all endpoints to each node after each change, and nodes that connect
 * to it directly and reconnect without backoff. It uses the same messages and transport as the
 * product. Runs as `source` or `node` and is controlled by messages from the parent process.
 */
import { create } from '@bufbuild/protobuf';
import { createClient } from '@connectrpc/connect';
import {
  decodeConfiguration,
  digestConfiguration,
  encodeConfiguration,
} from '../../src/core/operators/configuration.js';
import {
  Feed,
  FeedMessageSchema,
  SubscribeRequestSchema,
  type FeedMessage,
  type ReportRequest,
  type SubscribeRequest,
} from '../../src/gen/auburnsill/v1/feed_pb.js';
import { createAccess } from '../../src/plugins/operators/access.js';
import { readEndpoint, writeEndpoint } from '../../src/plugins/distribution/feedMessages.js';
import { createRpcServer, createRpcTransport } from '../../src/plugins/rpc.js';
import type { Configuration, Endpoint } from '../../src/types/public.js';

const heartbeatMs = 1_000;
const batchMs = 100;
const reconnectMs = 10;
const access = createAccess({ clusterToken: 'baseline' });
const send = (message: unknown) => process.send?.(message);

const runSource = async () => {
  const streams = new Set<{ due: Set<'full' | 'beat'>; wake: () => void }>();
  const endpoints = new Map<string, Endpoint>();
  let configuration: Configuration = { services: {}, classes: {} };
  let index = 0;
  let batchTimer: NodeJS.Timeout | undefined;

  const notifyStreams = (what: 'full' | 'beat') =>
    streams.forEach((stream) => {
      stream.due.add(what);
      stream.wake();
    });

  const snapshot = (): FeedMessage[] => {
    const services = new Set([...endpoints.values()].map(({ service }) => service));
    const body = encodeConfiguration(configuration);
    const version = { term: 1n, index: BigInt(index) };
    const resultDigest = digestConfiguration(configuration);
    return [
      create(FeedMessageSchema, {
        message: { case: 'configuration', value: { version, resultDigest, body } },
      }),
      ...[...services].map((service) =>
        create(FeedMessageSchema, {
          message: {
            case: 'cluster',
            value: {
              service,
              full: true,
              upserts: [...endpoints.values()]
                .filter((endpoint) => endpoint.service === service)
                .map(writeEndpoint),
            },
          },
        }),
      ),
    ];
  };

  async function* subscribe(_: SubscribeRequest, { signal }: { signal: AbortSignal }) {
    const stream = { due: new Set<'full' | 'beat'>(['full']), wake: () => undefined as void };
    streams.add(stream);
    signal.addEventListener('abort', () => {
      streams.delete(stream);
      stream.wake();
    });
    while (!signal.aborted) {
      if (stream.due.delete('full')) {
        yield* snapshot();
      } else if (stream.due.delete('beat')) {
        yield create(FeedMessageSchema, { message: { case: 'heartbeat', value: {} } });
      } else {
        await new Promise<void>((resolve) => {
          stream.wake = resolve;
        });
      }
    }
  }

  const report = (request: ReportRequest) => {
    request.announcements.map(readEndpoint).forEach((endpoint) => {
      if (endpoints.get(endpoint.id)?.sequence !== endpoint.sequence) {
        endpoints.set(endpoint.id, endpoint);
        batchTimer ??= setTimeout(() => {
          batchTimer = undefined;
          notifyStreams('full');
        }, batchMs);
      }
    });
    return {};
  };

  const server = createRpcServer({
    address: { host: '127.0.0.1', port: 0 },
    routes: (router) => {
      router.service(Feed, { subscribe, report });
    },
    interceptors: [access.serverInterceptor],
  });
  const { port } = await server.listen();
  setInterval(() => notifyStreams('beat'), heartbeatMs);
  process.on('message', (message: { configuration?: Configuration; traffic?: boolean }) => {
    if (message.configuration) {
      configuration = message.configuration;
      index += 1;
      send({ accepted: index, at: Date.now() });
      notifyStreams('full');
    }
    if (message.traffic) {
      send({ traffic: server.traffic() });
    }
  });
  send({ listening: `127.0.0.1:${port}` });
};

const runNode = async (address: string, id: string, service: string) => {
  let sequence = 1;
  let activeIndex = 0;
  process.on('message', () => {
    sequence += 1;
  });
  const runSubscription = async () => {
    const { transport, close } = createRpcTransport(address, [access.clientInterceptor]);
    const client = createClient(Feed, transport);
    const reportOnce = () =>
      client
        .report({
          name: id,
          announcements: [
            {
              id,
              service,
              dataCentre: 'a',
              region: 'region',
              address: '127.0.0.1:1',
              forwardAddress: '127.0.0.1:2',
              slots: 10,
              connections: 100,
              state: 'ready',
              incarnation: 1n,
              sequence: BigInt(sequence),
              node: id,
            },
          ],
        })
        .catch(() => undefined);
    const reportTimer = setInterval(reportOnce, heartbeatMs);
    reportOnce().catch(() => undefined);
    try {
      const request = create(SubscribeRequestSchema, {});
      for await (const { message } of client.subscribe(request, { timeoutMs: 0 })) {
        if (
          message.case === 'configuration' &&
          Number(message.value.version?.index) > activeIndex
        ) {
          decodeConfiguration(message.value.body);
          activeIndex = Number(message.value.version?.index);
          send({ inForce: activeIndex, at: Date.now() });
        }
      }
    } catch {
      // The loop below reconnects.
    }
    clearInterval(reportTimer);
    close();
  };
  for (;;) {
    await runSubscription();
    await new Promise((resolve) => {
      setTimeout(resolve, reconnectMs);
    });
  }
};

const [role, address = '', id = '', service = ''] = process.argv.slice(2);
await (role === 'source' ? runSource() : runNode(address, id, service));
