/**
 * Servers for the heartbeats of the endpoint on this machine and for the platform's readiness
 * checks of the node. A heartbeat is validated and decoded into the report of an upstream; an
 * invalid one is rejected and changes nothing.
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
import { maxSoftwareVersionLength, wellFormedText } from '../core/operators/targets.js';
import { maxSlots } from '../core/distribution/usableEndpoints.js';
import { Failure } from '../utils/failure.js';
import { formatFinding } from '../utils/findings.js';
import type { Log } from '../utils/log.js';
import { createRateLimitedLog } from '../utils/rateLimitedLog.js';
import { checkValue } from '../utils/settings.js';
import type { Timer } from '../utils/timer.js';
import { sanitizeName } from './documents.js';

const maxHeartbeatBytes = 16 * 1_024;
/** Connections allowed beyond the endpoint's slots, since some may be closing as others open. */
const extraConnections = 4;

/**
 * All fields that an endpoint sends, also those that are not used here: a heartbeat of another
 * writer may lack any of them, and must not take the place of the endpoint's own.
 */
const heartbeatSchema = z.object({
  service: z.string().min(1),
  address: z.string().refine(isConnectable, 'ip:port'),
  zone: z.string().min(1),
  version: z.string().max(maxSoftwareVersionLength).regex(wellFormedText, 'well-formed Unicode'),
  slots: z.int().min(1).max(maxSlots),
  state: z.enum(['ready', 'draining']),
  cold_remaining_ms: z.number().min(0),
  sequence: z.int().min(0),
  /** Start of the endpoint's process, in ms since the Unix epoch. */
  born: z.int().min(0),
});

/** The id is sent to the endpoint in a header and announced to other nodes. */
const instancePattern = /^[\x21-\x7e]{1,128}$/;
/**
 * Tolerance for `born` and `sequence`, far above the few seconds by which the clocks of two
 * machines differ. A value further in the future cannot be right, and would make the endpoint's own
 * heartbeats count as superseded for a while.
 */
const maxClockSkewMs = 24 * 60 * 60 * 1_000;

/** All fields are optional, since a deregistration may have no body. */
const deregistrationSchema = z.object({ born: z.int().min(0).optional() });

const endpointStates = { ready: 'ready', draining: 'leaving' } as const;

const checkInstance = (instance: string) => {
  if (!instancePattern.test(instance)) {
    throw new Failure('malformed_message', 'id: 1 to 128 visible ASCII characters');
  }
};

const checkStart = (born: number, now: number) => {
  if (born > now + maxClockSkewMs) {
    throw new Failure('malformed_message', `born ${born}: not reached yet`);
  }
};

/**
 * Decodes the body of a deregistration, which may be empty. Returns the start of the process that has
 * ended, if it is named. Throws `malformed_message` if the body is invalid.
 */
export const readDeregistration = (
  instance: string,
  text: string,
  now: number,
): number | undefined => {
  checkInstance(instance);
  const value = text === '' ? {} : parseJsonText(text);
  const { output, findings } = checkValue(value, 'departure', deregistrationSchema);
  if (!output) {
    throw new Failure('malformed_message', findings.map(formatFinding).join('; '));
  }
  checkStart(output.born ?? 0, now);
  return output.born;
};

/**
 * Decodes a heartbeat that arrived at the time of day `now`, in ms. Throws `malformed_message` if
 * it is invalid.
 */
export const readHeartbeat = (instance: string, value: unknown, now = Infinity): UpstreamReport => {
  const { output, findings } = checkValue(value, 'check-in', heartbeatSchema);
  if (!output) {
    throw new Failure('malformed_message', findings.map(formatFinding).join('; '));
  }
  const { service, address, zone, version, slots, state, sequence, born } = output;
  checkInstance(instance);
  checkStart(born, now);
  // An endpoint sends far fewer than one heartbeat per millisecond.
  if (sequence > now - born + maxClockSkewMs) {
    throw new Failure('malformed_message', `sequence ${sequence}: not reached yet`);
  }
  return {
    service: sanitizeName(service),
    address,
    slots,
    connections: slots + extraConnections,
    state: endpointStates[state],
    instance,
    startedAt: born,
    sequence,
    dataCentre: zone,
    ...(version !== '' && { version }),
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

/** Creates the servers for heartbeats and for readiness checks. */
export const createHeartbeatServer = (options: HeartbeatServerOptions): HeartbeatServer => {
  const { announcement, log, timer } = options;
  const handleHeartbeat = async (request: PolkaRequest, response: ServerResponse) => {
    const instance = request.params.id ?? '';
    const report = readHeartbeat(
      instance,
      parseJsonText(await readText(request, maxHeartbeatBytes)),
      timer.wallClock(),
    );
    if (announcement.apply(report) === 'superseded') {
      // Logged once for its process, not at each heartbeat.
      sendError(response, new Failure('superseded_report'));
      return;
    }
    if (report.state === 'leaving') {
      await announcement.endsStored();
    }
    sendJson(response, 200, {});
  };

  /** Without a body, a deregistration applies to the process that sent the last heartbeat. */
  const handleDeregistration = async (request: PolkaRequest, response: ServerResponse) => {
    const instance = request.params.id ?? '';
    const text = await readText(request, maxHeartbeatBytes);
    announcement.deregister(instance, readDeregistration(instance, text, timer.wallClock()));
    await announcement.endsStored();
    sendJson(response, 200, {});
  };

  const logRejection = createRateLimitedLog(log, timer);

  const catchErrors =
    (handle: (request: PolkaRequest, response: ServerResponse) => Promise<void>) =>
    (request: PolkaRequest, response: ServerResponse) => {
      handle(request, response).catch((error: unknown) => {
        logRejection('heartbeat or deregistration rejected', {
          endpoint: request.params.id,
          error: String(error),
        });
        sendError(response, error);
      });
    };

  const controlServer = createServer();
  const control = polka({ server: controlServer });
  control.post('/Instances.Heartbeat/:id', catchErrors(handleHeartbeat));
  control.post('/Instances.Deregister/:id', catchErrors(handleDeregistration));
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
