/**
 * Keeps a node attached to one parent of the fan-out tree. It chooses a parent, follows redirects
 * and leaves a parent that lags, is part of a cycle or is unresponsive. While the current parent is
 * quiet or cut off from the source, or its root is in another data centre, it searches for a better
 * one. A link is a candidate until its first heartbeat shows that it works. The current parent is
 * kept until then, so that a node is not without a parent while it tries slow ones.
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
import { readHeartbeat } from './feedMessages.js';

/** Wait before the next choice when no address is known. */
const noParentWaitMs = 1_000;
/** An attachment that lasted this long, two heartbeats, resets the reconnect delays. */
const stableAttachmentMs = 1_000;
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
/** Candidates at the same time. Each one is a new connection, which costs more than a message. */
const maxCandidates = 2;
/**
 * A candidate that sends no heartbeat for this time is slow: another one is tried as well. A parent
 * in the own data centre is not worth a move then, since a heartbeat is due every 500 ms.
 */
const hedgeMs = 400;
/** Redirects that a move to a better parent follows. */
const maxMoveAttempts = 4;
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
  /**
   * Offers a heartbeat of a link, which makes a candidate the current parent if it is good enough.
   * Returns whether the link is that of the current parent.
   */
  offer(link: FeedLink, heartbeat: ParentHeartbeat): boolean;
  /** Handles a heartbeat of the current parent. */
  receiveHeartbeat(heartbeat: ParentHeartbeat): void;
  /** Leaves the current parent because of a fault. */
  leave(reason: string): void;
  path(): readonly string[];
  rootDataCentre(): string;
  /** Last heartbeat of the current parent, if it has sent one, and the time since then in ms. */
  lastHeartbeat(): { readonly heartbeat: ParentHeartbeat | undefined; readonly heardAgoMs: number };
}

interface Attachment {
  readonly link: FeedLink;
  readonly address: string;
  readonly startedAt: number;
  /** Resolves when the link has ended, and its outcome was handled. */
  readonly ended: Promise<LinkOutcome>;
  /** Resolves as soon as the link is that of the current parent, or has ended. */
  readonly settled: Promise<void>;
  settle(): void;
}

export const createParentLoop = (options: ParentLoopOptions): ParentLoop => {
  const { name, dataCentre, choice, timer, log, random, metrics } = options;
  const health: ParentHealth = createParentHealth(name, dataCentre);
  const stopping = new AbortController();
  const cancels: Cancel[] = [];
  const candidates = new Set<Attachment>();
  let current: Attachment | undefined;
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
    if (current) {
      choice.commands.avoid(current.address, timer.now());
      current.link.end(reason);
    }
  };

  const receiveHeartbeat = (heartbeat: ParentHeartbeat) => {
    const previousPath = path().join(' ');
    const verdict = health.commands.evaluate(heartbeat, options.newest(), timer.now());
    if (verdict !== 'keep') {
      leave(verdict === 'cycle' ? 'cycle in the path' : 'the parent lags');
      return;
    }
    if (path().join(' ') !== previousPath) {
      options.pathChanged();
    }
  };

  const isFresh = ({ confirmedAgeMs, rootDataCentre: root }: ParentHeartbeat): boolean =>
    confirmedAgeMs <= staleParentMs && root !== '';

  const isOtherParent = (address: string): boolean => address !== current?.address;

  const isBetter = (address: string, heartbeat: ParentHeartbeat): boolean => {
    const reason = health.queries.searchReason(timer.now());
    const { headVersion } = heartbeat;
    if (reason === undefined || heartbeat.path.includes(name) || !isOtherParent(address)) {
      return false;
    }
    if (isNewer(options.newest(), headVersion)) {
      return false;
    }
    return reason === 'foreign'
      ? isFresh(heartbeat) && heartbeat.rootDataCentre === dataCentre
      : isFresh(heartbeat) || isNewer(headVersion, options.newest());
  };

  const makeCurrent = (next: Attachment, heartbeat: ParentHeartbeat) => {
    const previous = current;
    const withoutParentMs = parentlessSince === undefined ? 0 : timer.now() - parentlessSince;
    log.info('parent attached', {
      address: next.address,
      depth: heartbeat.path.length,
      confirmed_age_ms: heartbeat.confirmedAgeMs,
      without_parent_ms: Math.round(withoutParentMs),
      attempts,
    });
    metrics?.parentFound(withoutParentMs);
    current = next;
    candidates.delete(next);
    parentlessSince = undefined;
    attempts = 0;
    nextSearchAt = 0;
    health.commands.attached();
    next.settle();
    candidates.forEach(({ link }) => link.end('another parent answered first'));
    if (previous) {
      choice.commands.replaced(previous.address, timer.now());
      previous.link.end('found a better parent');
    }
  };

  const offer: ParentLoop['offer'] = (link, heartbeat) => {
    if (link === current?.link) {
      return true;
    }
    const candidate = [...candidates].find((each) => each.link === link);
    if (!candidate || stopping.signal.aborted) {
      return false;
    }
    if (current && !isBetter(candidate.address, heartbeat)) {
      link.end('not better than the parent');
      return false;
    }
    makeCurrent(candidate, heartbeat);
    return true;
  };

  const searchTargets = (): string[] => {
    const { localControls, remoteControls, peers } = choice.queries;
    if (health.queries.searchReason(timer.now()) === 'foreign') {
      return localControls();
    }
    const pick = (addresses: string[], count: number) =>
      addresses
        .filter(isOtherParent)
        .map((address) => ({ address, order: random() }))
        .sort((a, b) => a.order - b.order)
        .slice(0, count)
        .map(({ address }) => address);
    return [...pick(localControls(), 1), ...pick(remoteControls(), 1), ...pick(peers(), 1)];
  };

  /**
   * Tries a better parent, and those to which it redirects, beside the current one. If the current
   * one is failing, a target that is slow to answer is kept while the next one is tried.
   */
  const moveTo = async (target: string) => {
    const targets = [target];
    for (let tries = 0; tries < maxMoveAttempts; tries += 1) {
      const reason = health.queries.searchReason(timer.now());
      const address = targets.find(isOtherParent);
      if (!address || !reason || candidates.size >= maxCandidates || stopping.signal.aborted) {
        return;
      }
      targets.splice(0, targets.indexOf(address) + 1);
      const candidate = connect(address);
      await Promise.race([candidate.settled, timer.sleep(hedgeMs, stopping.signal)]);
      if (candidates.has(candidate)) {
        if (reason === 'foreign') {
          candidate.link.end('no heartbeat in time');
          return;
        }
      } else if (candidate !== current) {
        const outcome = await candidate.ended;
        targets.unshift(...(outcome.outcome === 'redirected' ? outcome.addresses : []));
      }
    }
  };

  const search = async () => {
    let isFound = false;
    const results = await Promise.all(
      searchTargets()
        .slice(0, maxProbes)
        .map(async (address) => {
          const result = await options.probe(address);
          const heartbeat = result && readHeartbeat(result.heartbeat);
          // The other targets may be unresponsive, and are not waited for.
          if (!isFound && heartbeat && isFresh(heartbeat) && isBetter(address, heartbeat)) {
            isFound = true;
            await moveTo(address);
          }
          return heartbeat && { address, heartbeat };
        }),
    );
    if (isFound) {
      return;
    }
    const better = results
      .filter((result) => result !== undefined)
      .filter(({ address, heartbeat }) => isBetter(address, heartbeat))
      .sort(
        ({ heartbeat: a }, { heartbeat: b }) =>
          compareVersions(b.headVersion, a.headVersion) || a.confirmedAgeMs - b.confirmedAgeMs,
      )[0];
    if (better) {
      await moveTo(better.address);
    }
  };

  // A node further down searches less often, since a new parent of a node above it helps both.
  const searchDelayMs = (): number => {
    if (health.queries.searchReason(timer.now()) === 'foreign') {
      return searchPeriodMs * foreignSearchFactor * (0.5 + random());
    }
    if (health.queries.searchReason(timer.now()) === 'quiet') {
      // No node above can find a better parent for this one.
      return 0;
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
    if (isSearching || !current) {
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

  const handleOutcome = (outcome: LinkOutcome, address: string) => {
    if (outcome.outcome === 'redirected') {
      choice.commands.redirected(outcome.addresses, outcome.retryAfterMs, timer.now(), address);
      return;
    }
    if (outcome.isRefused) {
      choice.commands.refused();
    }
    if (outcome.isSilent) {
      choice.commands.silent(address, timer.now());
    }
  };

  const handleEnd = (attachment: Attachment, outcome: LinkOutcome) => {
    const { address, startedAt } = attachment;
    const isCandidate = candidates.delete(attachment);
    attachment.settle();
    // The redirects of a candidate that should replace the parent are followed by the move.
    if (!isCandidate || !current) {
      handleOutcome(outcome, address);
    }
    if (isCandidate) {
      return;
    }
    if (outcome.outcome === 'lost') {
      log.info('parent lost', { address, reason: outcome.reason });
      metrics?.parentLost(outcome.reason);
    }
    if (timer.now() - startedAt >= stableAttachmentMs) {
      choice.commands.resetBackoff();
    }
    if (current === attachment) {
      current = undefined;
      parentlessSince = timer.now();
      health.commands.attached();
      options.pathChanged();
    }
  };

  const connect = (address: string): Attachment => {
    attempts += 1;
    const link = options.createLink(address);
    let settle: () => void = () => undefined;
    const settled = new Promise<void>((resolve) => {
      settle = resolve;
    });
    const ended = link.run().then((outcome) => {
      handleEnd(attachment, outcome);
      return outcome;
    });
    const attachment: Attachment = {
      link,
      address,
      startedAt: timer.now(),
      ended,
      settled,
      settle,
    };
    candidates.add(attachment);
    return attachment;
  };

  const connectNext = async () => {
    const attempt = choice.commands.chooseParent(timer.now());
    await timer.sleep(attempt?.delayMs ?? noParentWaitMs, stopping.signal);
    if (!attempt || current || stopping.signal.aborted) {
      return;
    }
    const candidate = connect(attempt.address);
    await Promise.race([candidate.settled, timer.sleep(hedgeMs, stopping.signal)]);
    if (candidates.has(candidate)) {
      choice.commands.silent(attempt.address, timer.now());
    }
  };

  const loop = async () => {
    while (!stopping.signal.aborted) {
      if (current) {
        await current.ended;
      } else if (candidates.size < maxCandidates) {
        await connectNext();
      } else {
        await Promise.race([...candidates].map(({ settled }) => settled));
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
      const attachments = [...candidates, ...(current ? [current] : [])];
      attachments.forEach(({ link }) => link.end('stopping'));
      await Promise.all([running, ...attachments.map(({ ended }) => ended)]);
    },
    link: () => current?.link,
    offer,
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
