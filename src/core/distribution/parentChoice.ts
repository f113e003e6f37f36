/**
 * Choice of a parent in the fan-out tree, and the time to wait before the next attempt. The control
 * instance of the own data centre comes first, then other nodes, then other control instances.
 * Attempts wait for an exponential delay with full jitter, so that a herd does not arrive at once.
 */
export const minBackoffMs = 100;
export const maxBackoffMs = 5_000;
/**
 * A parent that went silent is left out for this time, in which others are asked. Most freezes and
 * cuts last longer, but after a loss of power all control instances are back together.
 */
const avoidSilentMs = 1_000;
/** Longest delay after an attempt at an address where nothing listens or answers. */
const maxRefusedBackoffMs = 400;
const maxControls = 64;
/** Redirects that are followed before the choice starts again from the top. */
const maxRedirects = 16;
/** Peers that are remembered. */
const maxPeers = 32;
/** A longer retry-after is not obeyed. */
const maxRetryAfterMs = 10_000;
/** A parent that was left for a fault is not chosen again for this time, if another one is left. */
const avoidMs = 30_000;

export interface ControlAddress {
  readonly address: string;
  readonly dataCentre: string;
}

export interface ParentChoiceOptions {
  readonly dataCentre: string;
  /** Own feed address, which is never chosen. */
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
    /** Chooses the next parent to try. Undefined if there is none at all. */
    chooseParent(now: number): ParentAttempt | undefined;
    /** The last parent sent the node on; if it names no address, it is to be asked again later. */
    redirected(addresses: readonly string[], retryAfterMs: number, now: number): void;
    /** The feed has been up for long enough to start the delays anew. */
    resetBackoff(): void;
    /** Leaves an address out for a while. */
    avoid(address: string, now: number): void;
    /** Makes an address the next one, without a delay. */
    prefer(address: string): void;
    learnPeers(addresses: readonly string[]): void;
    /** Takes the control instances that a parent named; those of the settings are kept besides. */
    learnControls(controls: readonly ControlAddress[]): void;
    /** The parent has gone silent: it is frozen or cut off, maybe for a short time only. */
    silent(address: string, now: number): void;
    /** Nothing listens at the parent that was tried: the attempt has cost it nothing. */
    refused(): void;
  };
  readonly queries: {
    localControls(): string[];
    remoteControls(): string[];
    peers(): string[];
    /** All control instances, as far as they are known. */
    controls(): readonly ControlAddress[];
  };
}

type Tier = 'own' | 'peers' | 'other';

// Another control instance comes before the peers: nodes that have lost the same parent would
// otherwise attach to each other, with nothing above them. It sends a herd on to its own children.
// Peers come twice, since in an outage of the source they are the ones that answer.
const tierOrder: readonly Tier[] = ['own', 'other', 'peers', 'own', 'peers', 'other'];

export const createParentChoice = (options: ParentChoiceOptions): ParentChoice => {
  const { dataCentre, ownAddress, random } = options;
  let controls: readonly ControlAddress[] = options.controls;
  const peers = new Set(options.peers.filter((address) => address !== ownAddress));
  const triedAt = new Map<string, number>();
  const avoidUntil = new Map<string, number>();
  /** Parents that asked the node to come back later, and when. */
  const busyUntil = new Map<string, number>();
  let lastTried = '';
  let queue: string[] = [];
  let redirects = 0;
  let attempt = 0;
  let tries = 0;
  let retryAfterMs = 0;
  let wasRefused = false;

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
      const tier = tierOrder[(attempt + offset) % tierOrder.length] ?? 'own';
      const usable = tiers[tier]().filter((address) => !isAvoided(address, now));
      const found = leastRecentlyTried(usable);
      if (found !== undefined) {
        return found;
      }
    }
    // Everything is avoided: the one that was tried longest ago is better than none.
    return leastRecentlyTried([...tiers.own(), ...tiers.peers(), ...tiers.other()]);
  };

  const backoff = (): number => {
    const longest = wasRefused ? maxRefusedBackoffMs : maxBackoffMs;
    const limit = Math.min(longest, minBackoffMs * 2 ** Math.min(attempt, 10));
    wasRefused = false;
    const delayMs = random() * limit;
    const asked = retryAfterMs * (1 + random());
    retryAfterMs = 0;
    return Math.max(delayMs, asked);
  };

  const take = (address: string, delayMs: number): ParentAttempt => {
    tries += 1;
    triedAt.set(address, tries);
    lastTried = address;
    return { address, delayMs };
  };

  const chooseParent = (now: number): ParentAttempt | undefined => {
    const redirectTarget = queue.find((address) => !isAvoided(address, now));
    queue = queue.slice(
      redirectTarget === undefined ? queue.length : queue.indexOf(redirectTarget) + 1,
    );
    if (redirectTarget !== undefined) {
      return take(redirectTarget, 0);
    }
    redirects = 0;
    const address = chooseFromTiers(now);
    if (address === undefined) {
      return undefined;
    }
    const delayMs = Math.max(backoff(), busyMs(address, now));
    attempt += 1;
    return take(address, delayMs);
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
      redirected: (addresses, retryAfter, now) => {
        redirects += 1;
        const askedMs = Math.min(maxRetryAfterMs, retryAfter);
        const targets = addresses.filter((address) => address !== ownAddress);
        if (targets.length === 0) {
          // The others may have room at once.
          wasRefused = true;
          busyUntil.set(lastTried, now + askedMs * (1 + random()));
        } else {
          retryAfterMs = Math.max(retryAfterMs, askedMs);
        }
        learnPeers(targets);
        queue = redirects > maxRedirects ? [] : [...targets, ...queue].slice(0, maxPeers);
      },
      resetBackoff: () => {
        attempt = 0;
        retryAfterMs = 0;
        queue = [];
      },
      avoid: (address, now) => {
        avoidUntil.set(address, now + avoidMs);
      },
      prefer: (address) => {
        queue = [address];
        avoidUntil.delete(address);
      },
      learnPeers,
      learnControls: (learned) => {
        if (learned.length === 0) {
          return;
        }
        const named = learned.slice(0, maxControls);
        const isNamed = ({ address }: ControlAddress) =>
          named.some((other) => other.address === address);
        // A seed of the settings that is no longer a member is asked last: it may be one again.
        const seeds = options.controls
          .filter((control) => !isNamed(control))
          .map(({ address }) => ({ address, dataCentre: '' }));
        controls = [...named, ...seeds];
      },
      silent: (address, now) => {
        // The attempt has taken its time already and has cost a machine without power nothing.
        wasRefused = true;
        avoidUntil.set(address, Math.max(avoidUntil.get(address) ?? 0, now + avoidSilentMs));
      },
      refused: () => {
        wasRefused = true;
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
