/**
 * Keeps a node attached to one parent of the fan-out tree. It chooses a parent, follows redirects
 * and leaves a parent that lags, is part of a cycle or is unresponsive. While the current parent is
 * cut off from the source, or its root is in another data centre, it searches for a better one.
 */
import type { Version } from '../../types/public.js';
import type { ParentChoice } from '../../core/distribution/parentChoice.js';
import {
  createParentHealth,
  staleParentMs,
  type ParentHeartbeat,
  type ParentHealth,
  type SearchReason,
} from '../../core/distribution/parentHealth.js';
import { compareVersions, isNewer } from '../../core/agreement/version.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { FeedLink, LinkOutcome, ProbeResult } from './feedClient.js';
import type { FeedMetrics } from './feedMetrics.js';
import { readVersion } from './feedMessages.js';

/** Wait before the next choice when no address is known. */
const noParentWaitMs = 1_000;
/** An attachment that lasted this long resets the reconnect delays. */
const stableAttachmentMs = 5_000;
/** Mean time between searches for a control instance of the own data centre, before the factor. */
const searchPeriodMs = 3_000;
/** Mean time before the first search while the parent is cut off. It doubles with each search. */
const detachedSearchMs = 200;
/** With the probe timeout of 1 s, a recovered source can go unnoticed for 2 s. */
const maxDetachedSearchMs = 500;
/** Maximum factor by which a node searches less often than one at path length 1. */
const maxSearchFactor = 4;
/** Factor for `searchPeriodMs` while the root of the path is in another data centre. */
const foreignSearchFactor = 4;
const maxProbes = 3;
const searchCheckMs = 250;

export interface ParentLoopOptions {
  readonly name: string;
  readonly dataCentre: string;
  readonly choice: ParentChoice;
  readonly timer: Timer;
  readonly log: Log;
  readonly random: () => number;
  readonly metrics?: FeedMetrics;
  /** Newest version that the node has received, in force or not. */
  newest(): Version;
  createLink(address: string): FeedLink;
  probe(address: string): Promise<ProbeResult | undefined>;
  /** Called after the parent or the path above it changed. */
  pathChanged(): void;
}

export interface ParentLoop {
  start(): void;
  stop(): Promise<void>;
  /** The subscription to the current parent. */
  link(): FeedLink | undefined;
  /** Handles a heartbeat of the current parent. */
  receiveHeartbeat(heartbeat: ParentHeartbeat): void;
  /** Leaves the current parent because of a fault. */
  leave(reason: string): void;
  path(): readonly string[];
  rootDataCentre(): string;
  /** Last heartbeat of the current parent, if it has sent one, and the time since then in ms. */
  lastHeartbeat(): { readonly heartbeat: ParentHeartbeat | undefined; readonly heardAgoMs: number };
}

export const createParentLoop = (options: ParentLoopOptions): ParentLoop => {
  const { name, dataCentre, choice, timer, log, random, metrics } = options;
  const health: ParentHealth = createParentHealth(name, dataCentre);
  const stopping = new AbortController();
  const cancels: Cancel[] = [];
  let link: FeedLink | undefined;
  let running: Promise<void> = Promise.resolve();
  let isSearching = false;
  let nextSearchAt = 0;
  /** Reason for which the next search was planned. */
  let searchedFor: SearchReason | undefined;
  /** Number of searches since the parent was last healthy. */
  let searches = 0;
  /** Since when the node has had no parent; undefined while it has one. */
  let parentlessSince: number | undefined = timer.now();
  /** Number of parents tried since then. */
  let attempts = 0;

  const path = (): readonly string[] => [...(health.queries.lastHeartbeat()?.path ?? []), name];
  const rootDataCentre = (): string => health.queries.lastHeartbeat()?.rootDataCentre ?? '';

  const leave = (reason: string) => {
    if (link) {
      choice.commands.avoid(link.address, timer.now());
      link.end(reason);
    }
  };

  const recordAttachment = (heartbeat: ParentHeartbeat) => {
    if (parentlessSince === undefined) {
      return;
    }
    const withoutParentMs = timer.now() - parentlessSince;
    log.info('parent attached', {
      address: link?.address,
      depth: heartbeat.path.length,
      confirmed_age_ms: heartbeat.confirmedAgeMs,
      without_parent_ms: Math.round(withoutParentMs),
      attempts,
    });
    metrics?.parentFound(withoutParentMs);
    parentlessSince = undefined;
    attempts = 0;
  };

  const receiveHeartbeat = (heartbeat: ParentHeartbeat) => {
    const previousPath = path().join(' ');
    recordAttachment(heartbeat);
    const verdict = health.commands.evaluate(heartbeat, options.newest(), timer.now());
    if (verdict !== 'keep') {
      leave(verdict === 'cycle' ? 'cycle in the path' : 'the parent lags');
      return;
    }
    if (path().join(' ') !== previousPath) {
      options.pathChanged();
    }
  };

  const isFresh = ({ heartbeat }: ProbeResult): boolean =>
    Number(heartbeat.confirmedAgeMs) <= staleParentMs && heartbeat.rootDataCentre !== '';

  const isBetter = (result: ProbeResult): boolean => {
    const { address, heartbeat } = result;
    const head = readVersion(heartbeat.headVersion);
    if (heartbeat.path.includes(name) || address === link?.address) {
      return false;
    }
    if (isNewer(options.newest(), head)) {
      return false;
    }
    return health.queries.searchReason(timer.now()) === 'foreign'
      ? isFresh(result) && heartbeat.rootDataCentre === dataCentre
      : isFresh(result) || isNewer(head, options.newest());
  };

  const searchTargets = (): string[] => {
    const { localControls, remoteControls, peers } = choice.queries;
    if (health.queries.searchReason(timer.now()) === 'foreign') {
      return localControls();
    }
    const pick = (addresses: string[], count: number) =>
      addresses
        .filter((address) => address !== link?.address)
        .map((address) => ({ address, order: random() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, count)
        .map(({ address }) => address);
    return [...pick(localControls(), 1), ...pick(remoteControls(), 1), ...pick(peers(), 1)];
  };

  const moveTo = ({ address }: ProbeResult) => {
    if (link && !stopping.signal.aborted) {
      choice.commands.prefer(address, link.address, timer.now());
      link.end('found a better parent');
    }
  };

  const search = async () => {
    let hasMoved = false;
    const results = await Promise.all(
      searchTargets()
        .slice(0, maxProbes)
        .map(async (address) => {
          const result = await options.probe(address);
          // The other targets may be unresponsive, and are not waited for.
          if (!hasMoved && result && isFresh(result) && isBetter(result)) {
            hasMoved = true;
            moveTo(result);
          }
          return result;
        }),
    );
    if (hasMoved) {
      return;
    }
    const better = results
      .filter((result) => result !== undefined)
      .filter(isBetter)
      .sort(
        (a, b) =>
          compareVersions(
            readVersion(b.heartbeat.headVersion),
            readVersion(a.heartbeat.headVersion),
          ) || Number(a.heartbeat.confirmedAgeMs - b.heartbeat.confirmedAgeMs),
      )[0];
    if (better) {
      moveTo(better);
    }
  };

  // A node further down searches less often, since a new parent of a node above it helps both.
  const searchDelayMs = (): number => {
    if (health.queries.searchReason(timer.now()) === 'foreign') {
      return searchPeriodMs * foreignSearchFactor * (0.5 + random());
    }
    const factor = Math.min(maxSearchFactor, Math.max(1, path().length - 1));
    const periodMs = Math.min(maxDetachedSearchMs, detachedSearchMs * 2 ** Math.min(searches, 10));
    return periodMs * factor * (0.5 + random());
  };

  const searchIfDue = () => {
    const now = timer.now();
    const reason = health.queries.searchReason(now);
    if (reason !== searchedFor) {
      // A search for a parent in the own data centre is planned too late for one that is cut off.
      searchedFor = reason;
      searches = 0;
      nextSearchAt = 0;
    }
    if (!reason) {
      return;
    }
    if (isSearching || !link) {
      return;
    }
    if (nextSearchAt === 0 || now < nextSearchAt) {
      nextSearchAt ||= now + searchDelayMs();
      return;
    }
    isSearching = true;
    searches += 1;
    nextSearchAt = now + searchDelayMs();
    search()
      .catch((error: unknown) => log.warn('search for a parent failed', { error: String(error) }))
      .finally(() => {
        isSearching = false;
      });
  };

  const handleOutcome = (outcome: LinkOutcome, address: string, lastedMs: number) => {
    if (outcome.outcome === 'redirected') {
      choice.commands.redirected(outcome.addresses, outcome.retryAfterMs, timer.now());
      return;
    }
    if (outcome.isRefused) {
      choice.commands.refused();
    }
    if (outcome.isSilent) {
      choice.commands.silent(address, timer.now());
    }
    if (outcome.attached) {
      log.info('parent lost', { address, reason: outcome.reason });
      metrics?.parentLost(outcome.reason);
    }
    if (lastedMs >= stableAttachmentMs) {
      choice.commands.resetBackoff();
    }
  };

  const attach = async (address: string) => {
    health.commands.attached();
    nextSearchAt = 0;
    attempts += 1;
    link = options.createLink(address);
    const startedAt = timer.now();
    const outcome = await link.run();
    const hadPath = health.queries.lastHeartbeat() !== undefined;
    link = undefined;
    parentlessSince ??= timer.now();
    health.commands.attached();
    handleOutcome(outcome, address, timer.now() - startedAt);
    if (hadPath) {
      options.pathChanged();
    }
  };

  const loop = async () => {
    while (!stopping.signal.aborted) {
      const attempt = choice.commands.chooseParent(timer.now());
      await timer.sleep(attempt?.delayMs ?? noParentWaitMs, stopping.signal);
      if (attempt && !stopping.signal.aborted) {
        await attach(attempt.address);
      }
    }
  };

  return {
    start: () => {
      cancels.push(timer.every(searchCheckMs, searchIfDue));
      running = loop();
    },
    stop: async () => {
      cancels.forEach((cancel) => cancel());
      stopping.abort();
      link?.end('stopping');
      await running;
    },
    link: () => link,
    receiveHeartbeat,
    leave,
    path,
    rootDataCentre,
    lastHeartbeat: () => ({
      heartbeat: health.queries.lastHeartbeat(),
      heardAgoMs: health.queries.heardAgoMs(timer.now()),
    }),
  };
};
