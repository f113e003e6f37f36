/**
 * Announcement of the own upstream: `PUT /upstream` on the admin address. The upstream renews its
 * announcement; when it stops doing so, or refuses connections, its endpoint is withdrawn.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { isIPv4 } from 'node:net';
import type { Polka, PolkaRequest } from 'polka';
import { z } from 'zod';
import type { Announcer } from '../../types/internal.js';
import type { Endpoint } from '../../types/public.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import { checkValue } from '../../utils/settings.js';
import { formatFinding } from '../../utils/findings.js';
import type { Timer } from '../../utils/timer.js';
import { sendError, sendJson } from '../operators/adminServer.js';
import type { LocalUpstream } from './localUpstream.js';
import { parseAddress } from '../rpc.js';

/** Time within which the upstream has to renew its announcement, in ms. */
const renewWithinMs = 3_000;
const checkPeriodMs = 500;
const maxAnnouncementBytes = 4 * 1_024;
/** Longest time for which the answer to `leaving` waits for calls in flight, in ms. */
const leaveLimitMs = 30_000;
const leaveCheckMs = 20;
const maxSlots = 10_000;

const announcementSchema = z.strictObject({
  service: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'the name of a service'),
  address: z.string().refine((text) => parseAddress(text) !== undefined, 'ip:port'),
  slots: z.int().min(1).max(maxSlots),
  connections: z.int().min(1).max(maxSlots),
  state: z.enum(['ready', 'leaving']),
  load: z.number().min(0).optional(),
});

type Announcement = z.infer<typeof announcementSchema>;

export interface UpstreamAnnouncementOptions {
  readonly node: { readonly name: string; readonly dataCentre: string; readonly region: string };
  /** Address that other nodes use to forward calls to this node. */
  readonly forwardAddress: () => string;
  readonly announcer: Announcer;
  readonly upstream: LocalUpstream;
  readonly timer: Timer;
  readonly log: Log;
}

export interface UpstreamAnnouncement {
  routes(router: Polka): void;
  start(): void;
  /** Withdraws the endpoint and refuses later announcements of `ready`. */
  withdraw(): void;
  isAnnounced(): boolean;
}

const readAll = async (request: IncomingMessage): Promise<string> => {
  const parts: Buffer[] = [];
  let bytes = 0;
  for await (const part of request) {
    parts.push(part as Buffer);
    bytes += (part as Buffer).length;
    if (bytes > maxAnnouncementBytes) {
      throw new Failure('bad_request', `more than ${maxAnnouncementBytes} bytes`);
    }
  }
  return Buffer.concat(parts).toString('utf8');
};

const parseAnnouncement = (text: string): Announcement => {
  let value: unknown;
  try {
    value = JSON.parse(text);
  } catch (error) {
    throw new Failure('bad_request', 'the body is not JSON', { cause: error });
  }
  const { output, findings } = checkValue(value, 'announcement', announcementSchema);
  if (!output) {
    throw new Failure('bad_request', findings.map(formatFinding).join('; '));
  }
  return output;
};

const plainAddress = (address: string | undefined): string =>
  (address ?? '').replace(/^::ffff:/, '');

/** True for a peer on the same instance: loopback, or the address that it connected to. */
const isOwnInstance = ({ socket }: IncomingMessage): boolean => {
  const peer = plainAddress(socket.remoteAddress);
  const isLoopback = peer === '::1' || (isIPv4(peer) && peer.startsWith('127.'));
  return isLoopback || peer === plainAddress(socket.localAddress);
};

/** Creates the part that takes announcements of the own upstream. */
export const createUpstreamAnnouncement = (
  options: UpstreamAnnouncementOptions,
): UpstreamAnnouncement => {
  const { node, announcer, upstream, timer, log } = options;
  const endpointId = node.name;
  const incarnation = timer.wallClock();
  let sequence = 0;
  let announced: string | undefined;
  let renewedAt = 0;
  let isStopping = false;

  const withdraw = (reason: string) => {
    if (announced !== undefined) {
      announced = undefined;
      log.info('endpoint withdrawn', { reason });
      announcer.withdraw(endpointId);
    }
  };

  const endpointOf = ({ service, address, slots, connections }: Announcement): Endpoint => {
    sequence += 1;
    return {
      id: endpointId,
      service,
      dataCentre: node.dataCentre,
      region: node.region,
      address,
      forwardAddress: options.forwardAddress(),
      slots,
      connections,
      state: 'ready',
      incarnation,
      sequence,
      node: node.name,
    };
  };

  const takeReady = (announcement: Announcement) => {
    if (isStopping) {
      throw new Failure('leaving', 'the node is stopping');
    }
    const { service, address, slots, connections } = announcement;
    if (upstream.queries.isLeaving()) {
      if (upstream.queries.inFlight() > 0) {
        throw new Failure('leaving', 'calls from before have to end first');
      }
      upstream.commands.resume();
    }
    renewedAt = timer.now();
    const fields = JSON.stringify([service, address, slots, connections]);
    if (fields === announced) {
      return;
    }
    upstream.commands.describe({ service, address, slots, connections });
    announced = fields;
    log.info('endpoint announced', { service, address, slots });
    announcer.announce(endpointOf(announcement));
  };

  const takeLeaving = async () => {
    upstream.commands.leave();
    withdraw('the upstream is leaving');
    const limitAt = timer.now() + leaveLimitMs;
    while (upstream.queries.inFlight() > 0 && timer.now() < limitAt) {
      await timer.sleep(leaveCheckMs);
    }
  };

  const take = async (request: PolkaRequest, response: ServerResponse) => {
    if (!isOwnInstance(request)) {
      throw new Failure('unauthorized', 'announcements are taken from this instance only');
    }
    const announcement = parseAnnouncement(await readAll(request));
    if (announcement.state === 'leaving') {
      await takeLeaving();
    } else {
      takeReady(announcement);
    }
    sendJson(response, 200, { renew_within_ms: renewWithinMs });
  };

  return {
    routes: (router) => {
      router.put('/upstream', (request, response) => {
        take(request, response).catch((error: unknown) => sendError(response, error));
      });
    },
    start: () => {
      timer.every(checkPeriodMs, () => {
        if (upstream.queries.isUnreachable()) {
          withdraw('the upstream refuses connections');
        } else if (timer.now() - renewedAt > renewWithinMs) {
          withdraw('the announcement was not renewed');
        }
      });
    },
    withdraw: () => {
      isStopping = true;
      withdraw('the node is stopping');
    },
    isAnnounced: () => announced !== undefined,
  };
};
