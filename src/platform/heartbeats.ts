/**
 * Check-ins of the endpoint on this machine, and the platform's question whether the node is ready.
 * A check-in is decoded once and handed to the product; what cannot be read names no endpoint and
 * changes nothing.
 */
import { createServer, type ServerResponse } from 'node:http';
import polka, { type PolkaRequest } from 'polka';
import * as z from 'zod';
import type {
  UpstreamAnnouncement,
  UpstreamReport,
} from '../plugins/calls/upstreamAnnouncement.js';
import { listenHttp } from '../plugins/httpListen.js';
import { sendError, sendJson, type CheckState } from '../plugins/operators/adminServer.js';
import { parseJsonText, readText } from '../plugins/readText.js';
import type { Address } from '../utils/address.js';
import { isConnectable } from '../utils/address.js';
import { maxSlots } from '../core/distribution/usableEndpoints.js';
import { Failure } from '../utils/failure.js';
import { formatFinding } from '../utils/findings.js';
import type { Log } from '../utils/log.js';
import { checkValue } from '../utils/settings.js';
import type { Timer } from '../utils/timer.js';
import { sanitizeName } from './documents.js';

const maxCheckInBytes = 16 * 1_024;
/** Connections beyond the endpoint's slots: some may be closing while new ones open. */
const spareConnections = 4;

const checkInSchema = z.object({
  service: z.string().min(1),
  address: z.string().refine(isConnectable, 'ip:port'),
  slots: z.int().min(1).max(maxSlots),
  state: z.enum(['ready', 'draining']),
  sequence: z.int().min(0),
  /** Start of the endpoint's process, in ms since 1970. */
  born: z.int().min(0),
});

/** The id is sent to the endpoint as a header, and told to other nodes. */
const instancePattern = /^[\x21-\x7e]{1,128}$/;
/**
 * Clocks of two machines differ by seconds. A start or a number that lies further ahead would let
 * all later check-ins of the endpoint count as outdated.
 */
const maxAheadMs = 24 * 60 * 60 * 1_000;

const departureSchema = z.object({ born: z.int().min(0) });

const states = { ready: 'ready', draining: 'leaving' } as const;

/**
 * Decodes a check-in that arrives at the time of day `now`, in ms. Throws `malformed_message` for
 * what another writer sent.
 */
export const readHeartbeat = (instance: string, value: unknown, now = Infinity): UpstreamReport => {
  const { output, findings } = checkValue(value, 'check-in', checkInSchema);
  if (!output) {
    throw new Failure('malformed_message', findings.map(formatFinding).join('; '));
  }
  const { service, address, slots, state, sequence, born } = output;
  if (!instancePattern.test(instance)) {
    throw new Failure('malformed_message', 'id: 1 to 128 visible ASCII characters');
  }
  // An endpoint checks in far less than once in a millisecond.
  if (born > now + maxAheadMs || sequence > now - born + maxAheadMs) {
    throw new Failure('malformed_message', `born ${born}, sequence ${sequence}: not reached yet`);
  }
  return {
    service: sanitizeName(service),
    address,
    slots,
    connections: slots + spareConnections,
    state: states[state],
    instance,
    startedAt: born,
    sequence,
  };
};

export interface HeartbeatServerOptions {
  readonly control: Address;
  readonly ready: Address;
  readonly announcement: UpstreamAnnouncement;
  readonly isReady: () => CheckState;
  readonly timer: Timer;
  readonly log: Log;
}

export interface HeartbeatServer {
  listen(): Promise<void>;
  close(): Promise<void>;
}

/** Creates the servers for check-ins and for readiness. */
export const createHeartbeatServer = (options: HeartbeatServerOptions): HeartbeatServer => {
  const { announcement, log, timer } = options;
  const takeCheckIn = async (request: PolkaRequest, response: ServerResponse) => {
    const instance = request.params.id ?? '';
    announcement.apply(
      readHeartbeat(
        instance,
        parseJsonText(await readText(request, maxCheckInBytes)),
        timer.wallClock(),
      ),
    );
    sendJson(response, 200, {});
  };

  /** A departure may come without a body: it then means the process that checked in last. */
  const takeDeparture = async (request: PolkaRequest, response: ServerResponse) => {
    const instance = request.params.id ?? '';
    const text = await readText(request, maxCheckInBytes);
    const { output } = checkValue(text && parseJsonText(text), 'departure', departureSchema);
    announcement.deregister(instance, output?.born);
    sendJson(response, 200, {});
  };

  const guard =
    (handle: (request: PolkaRequest, response: ServerResponse) => Promise<void>) =>
    (request: PolkaRequest, response: ServerResponse) => {
      handle(request, response).catch((error: unknown) => {
        log.warn('check-in not taken', { endpoint: request.params.id, error: String(error) });
        sendError(response, error);
      });
    };

  const controlServer = createServer();
  const control = polka({ server: controlServer });
  control.post('/Instances.Heartbeat/:id', guard(takeCheckIn));
  control.post('/Instances.Deregister/:id', guard(takeDeparture));
  controlServer.on('request', control.handler);

  const readyServer = createServer((_request, response) => {
    const { ok, reasons } = options.isReady();
    sendJson(response, ok ? 200 : 503, { reasons });
  });

  const servers = [controlServer, readyServer];
  return {
    listen: async () => {
      await listenHttp(controlServer, options.control);
      await listenHttp(readyServer, options.ready);
    },
    close: async () => {
      servers.forEach((server) => {
        server.close();
        server.closeAllConnections();
      });
    },
  };
};
