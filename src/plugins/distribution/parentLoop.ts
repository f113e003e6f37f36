/**
 * Keeps a node attached to one parent of the fan-out tree. It chooses a parent, follows redirects
 * and leaves a parent that lags, is part of a cycle or is unresponsive, or for which a search found
 * a better one. A link is a candidate until its first heartbeat shows that it works. The current parent is
 * kept until then, so that a node is not without a parent while it tries slow ones.
 */
import type { Version } from '../../types/public.js';
import type { ParentChoice } from '../../core/distribution/parentChoice.js';
import {
  createParentHealth,
  isFresh,
  type ParentHeartbeat,
  type ParentHealth,
  type SearchReason,
} from '../../core/distribution/parentHealth.js';
import { isNewer, noVersion } from '../../core/agreement/version.js';
import type { Log } from '../../utils/log.js';
import type { Cancel, Timer } from '../../utils/timer.js';
import type { FeedLink, LinkOutcome, ProbeResult } from './feedClient.js';
import type { FeedMetrics } from './feedMetrics.js';
import { createParentSearch } from './parentSearch.js';
import { createRedirectTargets } from './redirectTargets.js';

/** Wait before the next choice when no address is known. */
const noParentWaitMs = 1_000;
/** An attachment that lasted this long, two heartbeats, resets the reconnect delays. */
const stableAttachmentMs = 1_000;
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
/** Number of failed attempts that are named when the node is attached again. */
const maxLoggedAttempts = 8;

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

type Redirection = Extract<LinkOutcome, { outcome: 'redirected' }>;
type Loss = Extract<LinkOutcome, { outcome: 'lost' }>;

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
  /** Since when the node has had no parent; undefined while it has one. */
  let parentlessSince: number | undefined = timer.now();
  /** Number of parents tried since the last attachment, and how the last of them failed. */
  let attempts = 0;
  let failures: string[] = [];
  let attachedAt = -Infinity;

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

  const isUntried = (address: string): boolean =>
    address !== current?.address && ![...candidates].some((each) => each.address === address);

  const searchReason = (): SearchReason | undefined =>
    current && health.queries.searchReason(timer.now());

  const isBetter = (address: string, heartbeat: ParentHeartbeat): boolean => {
    const reason = searchReason();
    const { headVersion } = heartbeat;
    if (!reason || heartbeat.path.includes(name) || address === current?.address) {
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
      ...(failures.length > 0 && { failures: failures.join(', ') }),
    });
    metrics?.parentFound(withoutParentMs);
    current = next;
    candidates.delete(next);
    parentlessSince = undefined;
    attempts = 0;
    failures = [];
    attachedAt = timer.now();
    search.reset();
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

  /**
   * Tries a better parent, and those to which it redirects, beside the current one. If the current
   * one is failing, a target that is slow to answer is kept while the next one is tried.
   */
  const moveTo = async (target: string) => {
    const targets = [target];
    for (let tries = 0; tries < maxMoveAttempts; tries += 1) {
      const reason = searchReason();
      const address = targets.find(isUntried);
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
        targets.unshift(
          ...(outcome.outcome === 'redirected' ? await chooseTargets(outcome.addresses) : []),
        );
      }
    }
  };

  /** A node that has just started has no version that could be late, and spares the questions. */
  const chooseTargets = async (addresses: readonly string[]): Promise<readonly string[]> => {
    const targets = isNewer(options.newest(), noVersion)
      ? await redirectTargets.choose(addresses.filter(isUntried))
      : addresses;
    if (targets.length === 0) {
      addresses.forEach((address) => choice.commands.silent(address, timer.now()));
    }
    return targets;
  };

  const handleRedirect = async ({ addresses, retryAfterMs }: Redirection, from: string) => {
    const targets = await chooseTargets(addresses);
    if (targets.length > 0 || addresses.length === 0) {
      choice.commands.redirected(targets, retryAfterMs, timer.now(), from);
    }
  };

  const handleLoss = (outcome: Loss, address: string) => {
    if (outcome.isRefused) {
      choice.commands.refused();
    }
    if (outcome.isSilent) {
      choice.commands.silent(address, timer.now());
    }
  };

  const recordFailure = ({ address, startedAt }: Attachment, outcome: LinkOutcome) => {
    if (startedAt < attachedAt) {
      return;
    }
    const reason = outcome.outcome === 'lost' ? outcome.reason : outcome.outcome;
    failures.push(`${address} ${reason} ${Math.round(timer.now() - startedAt)} ms`);
    failures.splice(0, Math.max(0, failures.length - maxLoggedAttempts));
  };

  const handleCandidateEnd = async (attachment: Attachment, outcome: LinkOutcome) => {
    const { address } = attachment;
    recordFailure(attachment, outcome);
    if (outcome.outcome === 'lost') {
      handleLoss(outcome, address);
    } else if (!current) {
      // The redirects of a candidate that should replace the parent are followed by the move.
      await handleRedirect(outcome, address);
    }
    attachment.settle();
  };

  const handleParentEnd = (attachment: Attachment, outcome: LinkOutcome) => {
    const { address, startedAt } = attachment;
    if (outcome.outcome === 'lost') {
      handleLoss(outcome, address);
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
    const ended = link.run().then(async (outcome) => {
      if (candidates.delete(attachment)) {
        await handleCandidateEnd(attachment, outcome);
      } else {
        handleParentEnd(attachment, outcome);
      }
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

  const settleOfAny = () => Promise.race([...candidates].map(({ settled }) => settled));

  const connectNext = async () => {
    const attempt = choice.commands.chooseParent(timer.now());
    await timer.sleep(attempt?.delayMs ?? noParentWaitMs, stopping.signal);
    if (!attempt || current || stopping.signal.aborted) {
      return;
    }
    if (!isUntried(attempt.address)) {
      // A second subscription would end the first one just when it is answered.
      await settleOfAny();
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
        await settleOfAny();
      }
    }
  };

  const redirectTargets = createRedirectTargets({
    timer,
    probe: options.probe,
    stopping: stopping.signal,
  });

  const search = createParentSearch({
    choice,
    timer,
    log,
    random,
    reason: searchReason,
    pathLength: () => path().length,
    isUntried,
    isBetter,
    probe: options.probe,
    moveTo,
  });

  return {
    start: () => {
      cancels.push(timer.every(searchCheckMs, search.check));
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
