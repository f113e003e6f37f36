/**
 * Announcement of the upstream beside this node, by `PUT /upstream` on the admin address or by an
 * adapter. The upstream has to renew its announcement; if it stops doing so, or refuses
 * connections, its endpoint is withdrawn. A superseded report changes nothing, and is acknowledged only
 * if its process has ended.
 */
import type { IncomingMessage, ServerResponse } from 'node:http';
import { isIPv4 } from 'node:net';
import type { Polka, PolkaRequest } from 'polka';
import * as z from 'zod';
import type { Announcer, EndMark, UpstreamEndStore } from '../../types/internal.js';
import type { Endpoint } from '../../types/public.js';
import { Failure } from '../../utils/failure.js';
import type { Log } from '../../utils/log.js';
import { checkValue } from '../../utils/settings.js';
import { formatFinding } from '../../utils/findings.js';
import type { Timer } from '../../utils/timer.js';
import { sendError, sendJson } from '../operators/adminServer.js';
import { createReportOrder, isSameProcess, processKey } from '../../core/calls/reportOrder.js';
import { createAcknowledgedEnds, lastSequence } from './acknowledgedEnds.js';
import type { LocalUpstream } from './localUpstream.js';
import { readText } from '../readText.js';
import { softwareVersionName } from '../../core/operators/targets.js';
import { maxSlots } from '../../core/distribution/usableEndpoints.js';
import { isConnectable } from '../../utils/address.js';

/** Time within which the upstream has to renew its announcement, in ms. */
const defaultRenewWithinMs = 3_000;
const checkPeriodMs = 500;
const maxAnnouncementBytes = 4 * 1_024;
/** Longest time for which the response to `leaving` waits for calls in flight, in ms. */
const drainTimeoutMs = 30_000;
const drainPollMs = 20;
/** An upstream counts as started before this process only if it is older by this margin, in ms. */
const startToleranceMs = 1_000;
/** Reports are delayed by seconds at most; after this time one report is enough, in ms. */
const maxReportDelayMs = 10_000;

const announcementSchema = z.strictObject({
  service: z.string().regex(/^[A-Za-z0-9][A-Za-z0-9._-]{0,127}$/, 'the name of a service'),
  address: z.string().refine(isConnectable, 'ip:port'),
  slots: z.int().min(1).max(maxSlots),
  connections: z.int().min(1).max(maxSlots),
  state: z.enum(['ready', 'leaving']),
  load: z.number().min(0).optional(),
  version: softwareVersionName.optional(),
});

type Announcement = z.infer<typeof announcementSchema>;

/** Number of processes whose ignored reports are remembered as logged, so that the set is bounded. */
const maxLoggedProcesses = 16;

/** Report of an upstream about itself. */
export interface UpstreamReport {
  readonly service: string;
  readonly address: string;
  readonly slots: number;
  readonly connections: number;
  /** `leaving`: no new calls, those in flight continue. */
  readonly state: 'ready' | 'leaving';
  /** Id of the upstream. Default: the name of the node. */
  readonly instance?: string;
  /** Start of the upstream's process in ms of its own clock; a later one supersedes an earlier. */
  readonly startedAt?: number;
  /** Number of the report, increasing from the start of the process. */
  readonly sequence?: number;
  /** Version of the upstream's software. */
  readonly version?: string;
  /** Data centre that the upstream is in. */
  readonly dataCentre?: string;
}

/**
 * `unconfirmed`: the upstream is used once a second report says the same. `ended`: the report is late,
 * since its process has ended. `superseded`: a later process has reported, so nothing was changed.
 */
export type ReportOutcome = 'applied' | 'unconfirmed' | 'ended' | 'superseded';

export interface UpstreamAnnouncementOptions {
  readonly node: { readonly name: string; readonly dataCentre: string; readonly region: string };
  /** Address that other nodes use to forward calls to this node. */
  readonly forwardAddress: () => string;
  readonly announcer: Announcer;
  readonly upstream: LocalUpstream;
  /** Time within which the upstream has to renew its announcement, in ms. Default: 3 s. */
  readonly renewWithinMs?: number;
  /** Where ends are stored that outlive this process. */
  readonly ends: UpstreamEndStore;
  /** Throws a Failure if a report is not about the upstream that belongs beside this node. */
  readonly checkReport?: (report: UpstreamReport) => void;
  readonly timer: Timer;
  readonly log: Log;
}

export interface UpstreamAnnouncement {
  routes(router: Polka): void;
  start(): void;
  /** Applies a report. Throws `leaving` or the failure of `checkReport`. */
  apply(report: UpstreamReport): ReportOutcome;
  /**
   * Removes an upstream that has ended. Reports of that process which arrive later are ignored;
   * `startedAt` is undefined if the upstream did not say which of its processes ended.
   */
  deregister(instance: string, startedAt: number | undefined): void;
  /**
   * Resolves once the ends that were reported may be acknowledged, since a restart of this node does
   * not forget them. Rejects with `no_quorum` if they cannot be stored in time.
   */
  endsStored(): Promise<void>;
  /** Withdraws the endpoint and refuses later announcements of `ready`. */
  withdraw(): void;
  isAnnounced(): boolean;
}

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

const unmapAddress = (address: string | undefined): string =>
  (address ?? '').replace(/^::ffff:/, '');

/** True for a peer on the same instance: loopback, or the address that it connected to. */
const isSameInstance = ({ socket }: IncomingMessage): boolean => {
  const peer = unmapAddress(socket.remoteAddress);
  const isLoopback = peer === '::1' || (isIPv4(peer) && peer.startsWith('127.'));
  return isLoopback || peer === unmapAddress(socket.localAddress);
};

/** Creates the handler of announcements of the upstream beside this node. */
export const createUpstreamAnnouncement = (
  options: UpstreamAnnouncementOptions,
): UpstreamAnnouncement => {
  const { node, announcer, upstream, timer, log } = options;
  const { renewWithinMs = defaultRenewWithinMs } = options;
  const incarnation = timer.wallClock();
  const createdAt = timer.now();
  let sequence = 0;
  let announcedFields: string | undefined;
  let announcedId = node.name;
  const order = createReportOrder({ maxDelayMs: maxReportDelayMs, renewWithinMs });
  /** Report of an upstream that started before this process; see `isConfirmed`. */
  let unconfirmed: EndMark | undefined;
  const loggedProcesses = new Set<string>();
  const ends = createAcknowledgedEnds({ store: options.ends, maxReportDelayMs, timer, log });
  let renewedAt = 0;
  let isStopping = false;

  const withdraw = (reason: string) => {
    if (announcedFields !== undefined) {
      announcedFields = undefined;
      log.info('endpoint withdrawn', { reason });
      announcer.withdraw(announcedId);
    }
  };

  const endpointOf = (report: UpstreamReport): Endpoint => {
    const { service, address, slots, connections, version } = report;
    sequence += 1;
    return {
      id: idOf(report),
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
      ...(version !== undefined && { version }),
    };
  };

  const idOf = ({ instance }: UpstreamReport): string => instance ?? node.name;

  const markOf = (report: UpstreamReport): EndMark => {
    const { startedAt = 0, sequence: number = 0 } = report;
    return { endpoint: idOf(report), startedAt, sequence: number };
  };

  /**
   * An upstream that ran before this process may have ended meanwhile, with one of its earlier
   * reports still in transit. It is accepted once a later report says the same, and once it is known
   * that an earlier process of this node did not acknowledge its end.
   */
  const isConfirmed = (report: UpstreamReport): boolean => {
    const { startedAt } = report;
    const mark = markOf(report);
    const isOlder = startedAt !== undefined && startedAt < incarnation - startToleranceMs;
    const isDelayPast = timer.now() - createdAt > maxReportDelayMs;
    if (isSameProcess(order.queries.newest(), mark) || !isOlder || isDelayPast) {
      return true;
    }
    ends.commands.load();
    const isRepeated =
      isSameProcess(unconfirmed, mark) && mark.sequence > (unconfirmed?.sequence ?? 0);
    unconfirmed = mark;
    return isRepeated && ends.queries.isLoaded();
  };

  const resumeIfLeaving = (report: UpstreamReport) => {
    const isCurrent = report.startedAt === upstream.queries.description()?.startedAt;
    if (upstream.queries.isLeaving() && isCurrent) {
      if (upstream.queries.inFlight() > 0) {
        throw new Failure('leaving', 'the calls that are still in flight have to finish first');
      }
      upstream.commands.resume();
      ends.commands.forgetRecord(idOf(report));
    }
  };

  const handleReady = (report: UpstreamReport) => {
    if (isStopping) {
      throw new Failure('leaving', 'the node is stopping');
    }
    const { service, address, slots, connections, instance, startedAt, version } = report;
    resumeIfLeaving(report);
    renewedAt = timer.now();
    const description = { service, address, slots, connections, instance, startedAt, version };
    const fields = JSON.stringify(description);
    if (fields === announcedFields) {
      return;
    }
    if (announcedFields !== undefined && announcedId !== idOf(report)) {
      withdraw('another upstream has its place');
    }
    upstream.commands.configure(description);
    announcedFields = fields;
    announcedId = idOf(report);
    log.info('endpoint announced', { endpoint: announcedId, service, address, slots, version });
    announcer.announce(endpointOf(report));
  };

  const handleLeaving = () => {
    upstream.commands.leave();
    withdraw('the upstream is leaving');
  };

  const handlers: Record<UpstreamReport['state'], (report: UpstreamReport) => void> = {
    ready: handleReady,
    leaving: (report) => {
      handleLeaving();
      // Without a start of the process, no late report can be told from one of its successor.
      if (report.startedAt !== undefined) {
        ends.commands.record(markOf(report));
      }
    },
  };

  const deregister = (instance: string, startedAt: number | undefined) => {
    const newest = order.queries.newest();
    const isCurrent = newest?.endpoint === instance;
    // An upstream that this node has not heard of started before the node.
    const endedStart = startedAt ?? (isCurrent ? newest.startedAt : incarnation);
    const mark = { endpoint: instance, startedAt: endedStart, sequence: lastSequence };
    ends.commands.add(mark);
    if (startedAt === undefined) {
      // Any of the processes that were heard of under this id may be the one that has ended.
      order.queries
        .heardProcesses(instance)
        .forEach((heard) => ends.commands.add({ ...heard, sequence: lastSequence }));
    }
    ends.commands.record(mark);
    const isNewestOver = isCurrent && newest.startedAt <= endedStart;
    if (isNewestOver) {
      log.info('upstream has ended', { endpoint: instance, startedAt: endedStart });
      order.commands.accept(mark, timer.now());
    }
    if (isNewestOver || isSuccessorOfSilent(mark)) {
      handleLeaving();
    }
  };

  const newestFields = () => {
    const { endpoint, startedAt } = order.queries.newest() ?? {};
    return { newest: endpoint, newestStartedAt: startedAt };
  };

  /** Logs a decision on the first report of a process only, since more follow each heartbeat. */
  const logOnce = (message: string, mark: EndMark) => {
    const key = `${message} ${processKey(mark)}`;
    if (loggedProcesses.has(key)) {
      return;
    }
    if (loggedProcesses.size === maxLoggedProcesses) {
      loggedProcesses.clear();
    }
    loggedProcesses.add(key);
    log.info(message, { ...mark, ...newestFields() });
  };

  /**
   * True if the process has the id of the newest one, which is silent. If the clock was set back, it
   * may be the successor, and calls for the newest one reach it.
   */
  const isSuccessorOfSilent = ({ endpoint }: EndMark): boolean =>
    order.queries.newest()?.endpoint === endpoint && order.queries.isSilent(timer.now());

  /** Handles a superseded report. That an upstream leaves is believed where nothing speaks against it. */
  const handleSuperseded = (mark: EndMark, { state }: UpstreamReport): ReportOutcome => {
    if (state === 'leaving' && isSuccessorOfSilent(mark)) {
      logOnce('upstream leaves that claims an earlier start than a silent one', mark);
      handleLeaving();
      ends.commands.record(mark);
      return 'applied';
    }
    logOnce('superseded report of an upstream ignored', mark);
    return 'superseded';
  };

  const apply = (report: UpstreamReport): ReportOutcome => {
    options.checkReport?.(report);
    const mark = markOf(report);
    if (ends.queries.hasEnded(mark)) {
      logOnce('late report of an ended upstream ignored', mark);
      return 'ended';
    }
    const now = timer.now();
    const isBeforeEnd = ends.queries.isBeforeEnd(mark);
    const verdict = order.commands.judge(mark, now, { isBeforeEnd });
    if (verdict === 'superseded') {
      return handleSuperseded(mark, report);
    }
    if (report.state === 'ready' && !isConfirmed(report)) {
      return 'unconfirmed';
    }
    handlers[report.state](report);
    if (verdict === 'proven') {
      log.warn('upstream in use whose reports were superseded and went on', {
        ...mark,
        ...newestFields(),
      });
    }
    if (!isSameProcess(order.queries.newest(), mark)) {
      loggedProcesses.clear();
    }
    order.commands.accept(mark, now);
    return 'applied';
  };

  const waitUntilIdle = async () => {
    const drainDeadline = timer.now() + drainTimeoutMs;
    while (upstream.queries.inFlight() > 0 && timer.now() < drainDeadline) {
      await timer.sleep(drainPollMs);
    }
  };

  const handleRequest = async (request: PolkaRequest, response: ServerResponse) => {
    if (!isSameInstance(request)) {
      throw new Failure('unauthorized', 'announcements are accepted from this instance only');
    }
    const announcement = parseAnnouncement(
      await readText(request, maxAnnouncementBytes, {
        tooLarge: 'bad_request',
        notUtf8: 'bad_request',
      }),
    );
    const outcome = apply(announcement);
    if (outcome === 'superseded') {
      throw new Failure('superseded_report');
    }
    if (announcement.state === 'leaving') {
      await waitUntilIdle();
    }
    sendJson(response, 200, { renew_within_ms: renewWithinMs });
  };

  return {
    routes: (router) => {
      router.put('/upstream', (request, response) => {
        handleRequest(request, response).catch((error: unknown) => sendError(response, error));
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
    apply,
    deregister,
    endsStored: ends.queries.stored,
    withdraw: () => {
      isStopping = true;
      withdraw('the node is stopping');
    },
    isAnnounced: () => announcedFields !== undefined,
  };
};
