/**
 * Chooses a node's parent in the fan-out tree and the delay before the next attempt. The control
 * instance of the node's own data centre comes first, then the other tiers in the order of
 * `tierOrder`. Delays are exponential with full jitter, so that nodes that lost their parent
 * together do not reconnect at the same moment.
 */
export const minBackoffMs = 100;
/** A node without a parent has to attach and receive a change within 2 s. */
export const maxBackoffMs = 1_000;
/**
 * An unresponsive parent is skipped for this time, while others are tried. Most freezes and network
 * partitions last longer, but after a power failure all control instances come back together.
 */
const avoidSilentMs = 1_000;
/** Maximum delay after an attempt at an address where nothing listens or answers. */
const maxRefusedBackoffMs = 400;
const maxControls = 64;
/** Consecutive redirects to follow before the choice starts again from the top. */
const maxRedirects = 16;
/** Maximum number of known peers. */
const maxPeers = 32;
/** Upper bound for the retry delay that a parent asks for. */
const maxRetryAfterMs = 10_000;
/** A parent left for a fault is not chosen for this time, unless there is no other parent. */
const avoidMs = 30_000;

export interface ControlAddress {
  readonly address: string;
  readonly dataCentre: string;
}

export interface ParentChoiceOptions {
  readonly dataCentre: string;
  /** The node's own feed address, which is never chosen. */
  readonly ownAddress: string;
  readonly controls: readonly ControlAddress[];
  readonly peers: readonly string[];
  readonly random: () => number;
}

export interface ParentAttempt {
  readonly address: string;
  readonly delayMs: number;
}

export interface ParentChoice {
  readonly commands: {
    /** Chooses the next parent to try. Undefined if no address is known. */
    chooseParent(now: number): ParentAttempt | undefined;
    /**
     * A parent, by default the last one, redirected the node. A parent that named no address is
     * retried later.
     */
    redirected(
      addresses: readonly string[],
      retryAfterMs: number,
      now: number,
      from?: string,
    ): void;
    /** Resets the delays, after the feed has been up for long enough. */
    resetBackoff(): void;
    /** Skips an address for `avoidMs`. */
    avoid(address: string, now: number): void;
    /** The node left this parent for a better one: it is skipped for a short time. */
    replaced(address: string, now: number): void;
    learnPeers(addresses: readonly string[]): void;
    /** Sets the control instances that a parent named. Those of the settings are kept as well. */
    learnControls(controls: readonly ControlAddress[]): void;
    /** The parent is unresponsive: frozen or partitioned, possibly only for a short time. */
    silent(address: string, now: number): void;
    /** Nothing listens at the last address. The attempt caused no load, so the delay is short. */
    refused(): void;
  };
  readonly queries: {
    localControls(): string[];
    remoteControls(): string[];
    peers(): string[];
    /** Known control instances whose data centre is known. */
    controls(): readonly ControlAddress[];
  };
}

type Tier = 'own' | 'peers' | 'other';

// Another control instance comes before the peers: nodes that lost the same parent would otherwise
// attach to each other, without a control instance above them. A control instance redirects a crowd
// of nodes to its own children. Peers come twice, since in an outage of the control instances they
// are the ones that answer.
const tierOrder: readonly Tier[] = ['own', 'other', 'peers', 'own', 'peers', 'other'];

export const createParentChoice = (options: ParentChoiceOptions): ParentChoice => {
  const { dataCentre, ownAddress, random } = options;
  let controls: readonly ControlAddress[] = options.controls;
  const peers = new Set(options.peers.filter((address) => address !== ownAddress));
  const triedAt = new Map<string, number>();
  const avoidUntil = new Map<string, number>();
  /** Parents that asked the node to retry later, with the time until which they are skipped. */
  const busyUntil = new Map<string, number>();
  let lastTried = '';
  let queue: string[] = [];
  let redirects = 0;
  let attemptCount = 0;
  let tryCount = 0;
  let retryAfterMs = 0;
  let useShortBackoff = false;

  const tiers: Record<Tier, () => string[]> = {
    own: () => controls.filter((each) => each.dataCentre === dataCentre).map((c) => c.address),
    peers: () => [...peers],
    other: () => controls.filter((each) => each.dataCentre !== dataCentre).map((c) => c.address),
  };

  const busyMs = (address: string, now: number): number =>
    Math.max(0, (busyUntil.get(address) ?? now) - now);

  const isAvoided = (address: string, now: number): boolean =>
    (avoidUntil.get(address) ?? Number.NEGATIVE_INFINITY) > now || busyMs(address, now) > 0;

  const leastRecentlyTried = (addresses: readonly string[]): string | undefined =>
    addresses
      .map((address) => ({ address, at: triedAt.get(address) ?? 0, tie: random() }))
      .sort((a, b) => a.at - b.at || a.tie - b.tie)[0]?.address;

  const chooseFromTiers = (now: number): string | undefined => {
    for (let offset = 0; offset < tierOrder.length; offset += 1) {
      const tier = tierOrder[(attemptCount + offset) % tierOrder.length] ?? 'own';
      const usable = tiers[tier]().filter((address) => !isAvoided(address, now));
      const found = leastRecentlyTried(usable);
      if (found !== undefined) {
        return found;
      }
    }
    // All addresses are avoided: the least recently tried one is better than none.
    return leastRecentlyTried([...tiers.own(), ...tiers.peers(), ...tiers.other()]);
  };

  const backoff = (): number => {
    const longest = useShortBackoff ? maxRefusedBackoffMs : maxBackoffMs;
    const limit = Math.min(longest, minBackoffMs * 2 ** Math.min(attemptCount, 10));
    useShortBackoff = false;
    const delayMs = random() * limit;
    const requestedMs = retryAfterMs * (1 + random());
    retryAfterMs = 0;
    return Math.max(delayMs, requestedMs);
  };

  const recordAttempt = (address: string, delayMs: number): ParentAttempt => {
    tryCount += 1;
    triedAt.set(address, tryCount);
    lastTried = address;
    return { address, delayMs };
  };

  const skip = (address: string, now: number) => {
    avoidUntil.set(address, Math.max(avoidUntil.get(address) ?? 0, now + avoidSilentMs));
  };

  const chooseParent = (now: number): ParentAttempt | undefined => {
    const redirectTarget = queue.find((address) => !isAvoided(address, now));
    queue = queue.slice(
      redirectTarget === undefined ? queue.length : queue.indexOf(redirectTarget) + 1,
    );
    if (redirectTarget !== undefined) {
      return recordAttempt(redirectTarget, 0);
    }
    redirects = 0;
    const address = chooseFromTiers(now);
    if (address === undefined) {
      return undefined;
    }
    const delayMs = Math.max(backoff(), busyMs(address, now));
    attemptCount += 1;
    return recordAttempt(address, delayMs);
  };

  const learnPeers = (addresses: readonly string[]) => {
    addresses
      .filter((address) => address !== ownAddress && address !== '')
      .forEach((address) => {
        peers.delete(address);
        peers.add(address);
      });
    [...peers]
      .slice(0, Math.max(0, peers.size - maxPeers))
      .forEach((address) => peers.delete(address));
  };

  return {
    commands: {
      chooseParent,
      redirected: (addresses, retryAfter, now, from = lastTried) => {
        redirects += 1;
        const requestedMs = Math.min(maxRetryAfterMs, retryAfter);
        const targets = addresses.filter((address) => address !== ownAddress);
        if (targets.length === 0) {
          // Other parents may have room now, so the next attempt follows soon.
          useShortBackoff = true;
          busyUntil.set(from, now + requestedMs * (1 + random()));
        } else {
          retryAfterMs = Math.max(retryAfterMs, requestedMs);
        }
        learnPeers(targets);
        queue = redirects > maxRedirects ? [] : [...targets, ...queue].slice(0, maxPeers);
      },
      resetBackoff: () => {
        attemptCount = 0;
        retryAfterMs = 0;
        queue = [];
      },
      avoid: (address, now) => {
        avoidUntil.set(address, now + avoidMs);
      },
      replaced: (address, now) => {
        queue = [];
        skip(address, now);
      },
      learnPeers,
      learnControls: (learned) => {
        if (learned.length === 0) {
          return;
        }
        const named = learned.slice(0, maxControls);
        const isNamed = ({ address }: ControlAddress) =>
          named.some((other) => other.address === address);
        // A control instance of the settings that is no longer a member is tried last: it may
        // become a member again.
        const seeds = options.controls
          .filter((control) => !isNamed(control))
          .map(({ address }) => ({ address, dataCentre: '' }));
        controls = [...named, ...seeds];
      },
      silent: (address, now) => {
        // The attempt has already waited for its timeout, and caused no load if the machine is off.
        useShortBackoff = true;
        skip(address, now);
      },
      refused: () => {
        useShortBackoff = true;
      },
    },
    queries: {
      localControls: tiers.own,
      remoteControls: tiers.other,
      peers: tiers.peers,
      controls: () => controls.filter(({ dataCentre: known }) => known !== ''),
    },
  };
};
