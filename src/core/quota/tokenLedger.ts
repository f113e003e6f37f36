/**
 * Tokens of a node: what it holds, which calls wait for one, and what to draw from which owner.
 * Calls get tokens in the order of their arrival. Demand goes to the owner of the node's own data
 * centre first, and to another one while that one is empty.
 */
import type { QuotaDecision, QuotaToken } from '../../types/quota.js';
import { isNewer } from '../agreement/version.js';
import {
  nodeReserve,
  tokenValidityMs,
  type QuotaSettings,
  type TenantLimit,
} from './quotaBounds.js';

/** Time for which a call waits for a token, and after which a draw counts as failed, in ms. */
export const maxTokenWaitMs = 250;
/** Time between two draws from one owner, in ms. */
export const drawSpacingMs = 20;
/** An owner that failed, and an instance that is no owner, is tried again after this time, in ms. */
const retryMs = 1_000;
/** Demand that was sent to an owner which does not answer in this time goes to another one, in ms. */
const slowDrawMs = 60;
/**
 * Time for which an empty owner is not asked again, in ms. All nodes ask an owner that is empty, so
 * a shorter time would cost it more processor time than its draws under usual demand.
 */
const minEmptyMs = 200;
const maxEmptyMs = 2_000;
/** Calls per second at this node from which on tokens are drawn in advance. */
const minPrefetchRate = 5;
/** Time whose expected calls are covered in advance, in ms. */
const prefetchMs = 200;
/** Time constant of the rate of calls, in ms. */
const rateTimeMs = 2_000;
/** Tokens that expire within this time and have no use are returned with the next draw, in ms. */
const returnWithinMs = 250;
/** Least rest of its validity with which a token is returned, in ms, so that it arrives in time. */
const minReturnMs = 20;
/** Difference of the two clocks above which tokens are void, in ms. */
const maxClockDriftMs = 100;
/** Time without calls after which a tenant is forgotten, in ms. */
const idleMs = 60_000;
/** Largest number of tokens in one draw of a tenant. */
const maxWanted = 10_000;

/** A control instance that may own the share of its data centre. */
export interface OwnerAddress {
  readonly address: string;
  readonly dataCentre: string;
}

export interface PlannedTenantDraw {
  readonly tenant: string;
  readonly wanted: number;
  readonly returned: number;
  readonly limit: TenantLimit;
}

/** A draw to send. Without tenants, it asks whether the instance is an owner. */
export interface PlannedDraw {
  readonly owner: string;
  readonly sentAt: number;
  readonly tenants: readonly PlannedTenantDraw[];
}

export interface TenantGrant {
  readonly granted: number;
  readonly retryAfterMs: number;
}

export interface DrawAnswer {
  readonly isOwner: boolean;
  /** In the order of the draw. */
  readonly grants: readonly TenantGrant[];
}

type OwnerState = 'unknown' | 'owner' | 'not_owner' | 'failed';

/** Time on both clocks, in ms. */
export interface ClockReading {
  readonly now: number;
  readonly wallClock: number;
}

/** Counts since the start, for metrics. */
export interface TokenCounts {
  readonly drawn: number;
  readonly expired: number;
  readonly voided: number;
  readonly returned: number;
  readonly reserve: number;
}

export interface TokenLedger {
  readonly commands: {
    setOwners(owners: readonly OwnerAddress[]): void;
    setNodes(nodes: number): void;
    /**
     * Asks for a token for a call. Calls `onDecision` before it returns if that is possible. The
     * result gives up waiting.
     */
    take(
      tenant: string,
      limit: TenantLimit,
      onDecision: (decision: QuotaDecision) => void,
      clock: ClockReading,
    ): () => void;
    /** Returns the token of a call that was not run. */
    giveBack(tenant: string, token: QuotaToken, clock: ClockReading): void;
    /** Returns draws that ask new instances of the own data centre whether they are owners. */
    prepare(clock: ClockReading): PlannedDraw[];
    /** Returns the draws that are due; each has to be answered. */
    planDraws(clock: ClockReading): PlannedDraw[];
    answer(draw: PlannedDraw, answer: DrawAnswer, clock: ClockReading): void;
    /** The draw got no answer. */
    fail(draw: PlannedDraw, clock: ClockReading): void;
    /** Refuses the calls whose wait is over and forgets idle tenants. */
    expire(clock: ClockReading): void;
  };
  readonly queries: {
    /** Time at which `planDraws` or `expire` have work to do; undefined if there is none. */
    nextAt(now: number): number | undefined;
    /** Valid tokens of the tenant. */
    tokens(tenant: string, now: number): number;
    waiting(): number;
    reachableOwners(): number;
    counts(): TokenCounts;
  };
}

export interface TokenLedgerOptions extends QuotaSettings {
  readonly dataCentre: string;
  /** Returns a number in [0, 1). */
  readonly random: () => number;
  /** An owner became reachable or unreachable. */
  readonly onOwnerState?: (address: string, isReachable: boolean, reason: string) => void;
}

interface Owner {
  readonly address: string;
  readonly isLocal: boolean;
  /** Order among the owners of other data centres. It differs between nodes to spread their load. */
  readonly order: number;
  state: OwnerState;
  /** Draw without an answer. */
  inFlight: PlannedDraw | undefined;
  lastSentAt: number;
  retryAt: number;
}

interface WaitingCall {
  readonly until: number;
  readonly onDecision: (decision: QuotaDecision) => void;
}

interface TenantState {
  readonly name: string;
  limit: TenantLimit;
  /** Valid tokens, in the order in which they expire. */
  tokens: QuotaToken[];
  readonly waiting: Set<WaitingCall>;
  /** Owners that have no token, with the time until which they are not asked. */
  readonly emptyUntil: Map<string, number>;
  /** Decaying count of calls, whose quotient by `rateTimeMs` is the rate. */
  calls: number;
  calledAt: number;
  /** Times at which tokens of the reserve were used within the window. */
  reserveUses: number[];
}

export const createTokenLedger = (options: TokenLedgerOptions): TokenLedger => {
  const { bounds, random, shares } = options;
  const validityMs = tokenValidityMs(bounds);
  const tenants = new Map<string, TenantState>();
  /** Tenants with waiting calls. */
  const demanding = new Set<TenantState>();
  let owners: Owner[] = [];
  let nodes = 0;
  let lastClock: ClockReading | undefined;
  let voidBefore = -Infinity;
  let sweptAt = -Infinity;
  const counts = { drawn: 0, expired: 0, voided: 0, returned: 0, reserve: 0 };

  /** Makes all tokens void if the process was suspended or the time was set. */
  const checkClock = (clock: ClockReading) => {
    const elapsedMs = lastClock ? clock.now - lastClock.now : 0;
    const wallElapsedMs = lastClock ? clock.wallClock - lastClock.wallClock : 0;
    if (Math.abs(wallElapsedMs - elapsedMs) > maxClockDriftMs) {
      voidBefore = clock.now;
      tenants.forEach((state) => {
        counts.voided += state.tokens.length;
        state.tokens = [];
      });
    }
    // A reading is replaced only now and then, so that slow changes of the time do not add up to
    // less than the limit in each step.
    if (!lastClock || voidBefore === clock.now || elapsedMs >= 1_000) {
      lastClock = clock;
    }
  };

  const dropExpired = (state: TenantState, now: number) => {
    if (state.tokens.length > 0 && state.tokens[0]!.expiresAt <= now) {
      const valid = state.tokens.filter(({ expiresAt }) => expiresAt > now);
      counts.expired += state.tokens.length - valid.length;
      state.tokens = valid;
    }
  };

  const addTokens = (state: TenantState, added: readonly QuotaToken[]) => {
    state.tokens.push(...added);
    state.tokens.sort((a, b) => a.expiresAt - b.expiresAt);
  };

  const takeToken = (state: TenantState, now: number): QuotaToken | undefined => {
    dropExpired(state, now);
    return state.tokens.shift();
  };

  const callsPerSecond = ({ calls, calledAt }: TenantState, now: number): number =>
    (calls * Math.exp((calledAt - now) / rateTimeMs) * 1_000) / rateTimeMs;

  const recordCall = (state: TenantState, now: number) => {
    state.calls = state.calls * Math.exp((state.calledAt - now) / rateTimeMs) + 1;
    state.calledAt = now;
  };

  const isEmpty = ({ emptyUntil }: TenantState, { address }: Owner, now: number): boolean =>
    (emptyUntil.get(address) ?? -Infinity) > now;

  const isSlow = ({ inFlight }: Owner, now: number): boolean =>
    inFlight !== undefined && now - inFlight.sentAt >= slowDrawMs;

  /** True if demand may be sent to the owner, now or after its draw in flight. */
  const isUsable = (owner: Owner, now: number): boolean =>
    owner.state === 'owner' && !isSlow(owner, now);

  /** True if the instance may turn out to be an owner. */
  const mayBecomeUsable = (owner: Owner, now: number): boolean =>
    owner.state !== 'owner' && (owner.inFlight !== undefined || owner.retryAt <= now);

  const useReserve = (state: TenantState, now: number): QuotaToken | undefined => {
    const { windowMs } = bounds;
    state.reserveUses = state.reserveUses.filter((at) => now - at <= windowMs);
    if (state.reserveUses.length >= nodeReserve(state.limit, shares, nodes, bounds)) {
      return undefined;
    }
    state.reserveUses.push(now);
    counts.reserve += 1;
    return { owner: '', expiresAt: now };
  };

  /** Decision that needs no draw; undefined if an owner may still grant a token. */
  const decideNow = (state: TenantState, now: number): QuotaDecision | undefined => {
    const token = takeToken(state, now);
    if (token) {
      return { isAllowed: true, token };
    }
    // A slow owner may still answer, so the calls that its draw covers wait for it.
    const known = owners.filter(({ state: ownerState }) => ownerState === 'owner');
    if (known.some((owner) => !isEmpty(state, owner, now))) {
      return undefined;
    }
    if (owners.some((owner) => mayBecomeUsable(owner, now))) {
      return undefined;
    }
    if (known.length > 0) {
      const until = Math.min(...known.map(({ address }) => state.emptyUntil.get(address) ?? now));
      return { isAllowed: false, reason: 'quota_exceeded', retryAfterMs: until - now };
    }
    return decideWithoutOwners(state, now);
  };

  const decideWithoutOwners = (state: TenantState, now: number): QuotaDecision => {
    const token = useReserve(state, now);
    return token
      ? { isAllowed: true, token }
      : { isAllowed: false, reason: 'quota_unavailable', retryAfterMs: retryMs };
  };

  const settle = (state: TenantState, call: WaitingCall, decision: QuotaDecision) => {
    state.waiting.delete(call);
    if (state.waiting.size === 0) {
      demanding.delete(state);
    }
    call.onDecision(decision);
  };

  /** Serves waiting calls in order, as far as a decision is possible. */
  const settleWaiting = (state: TenantState, now: number) => {
    for (const call of [...state.waiting]) {
      const decision = state.waiting.has(call) ? decideNow(state, now) : undefined;
      if (decision) {
        settle(state, call, decision);
      }
    }
  };

  const settleAll = (now: number) => [...demanding].forEach((state) => settleWaiting(state, now));

  const setState = (owner: Owner, state: OwnerState, reason: string) => {
    const wasReachable = owner.state === 'owner';
    owner.state = state;
    if (wasReachable !== (state === 'owner')) {
      options.onOwnerState?.(owner.address, state === 'owner', reason);
    }
  };

  const findTenant = (name: string, limit: TenantLimit, now: number): TenantState => {
    const known = tenants.get(name);
    if (known) {
      if (isNewer(limit.version, known.limit.version)) {
        known.limit = limit;
      }
      return known;
    }
    const state: TenantState = {
      name,
      limit,
      tokens: [],
      waiting: new Set(),
      emptyUntil: new Map(),
      calls: 0,
      calledAt: now,
      reserveUses: [],
    };
    tenants.set(name, state);
    return state;
  };

  /** Tokens that draws in flight may still bring; those of slow owners are not counted on. */
  const expected = ({ name }: TenantState, now: number): number =>
    owners.reduce((sum, owner) => {
      const draw = isSlow(owner, now) ? undefined : owner.inFlight;
      return sum + (draw?.tenants.find(({ tenant }) => tenant === name)?.wanted ?? 0);
    }, 0);

  const wantedTokens = (state: TenantState, now: number): number => {
    const missing = state.waiting.size - expected(state, now);
    if (missing <= 0) {
      return 0;
    }
    const rate = callsPerSecond(state, now);
    const ahead = rate >= minPrefetchRate ? Math.floor((rate * prefetchMs) / 1_000) : 0;
    return Math.min(maxWanted, missing + ahead);
  };

  /** The first usable owner in order of preference that is not empty. */
  const ownerFor = (state: TenantState, now: number): Owner | undefined =>
    owners.find((owner) => isUsable(owner, now) && !isEmpty(state, owner, now));

  /** Takes tokens of the owner that are not needed here and expire soon out of the stock. */
  const collectReturns = (owner: Owner, now: number): Map<TenantState, number> => {
    const returns = new Map<TenantState, number>();
    tenants.forEach((state) => {
      if (state.tokens.length === 0 || state.waiting.size > 0) {
        return;
      }
      dropExpired(state, now);
      const isReturned = ({ owner: address, expiresAt }: QuotaToken) =>
        address === owner.address &&
        expiresAt - now <= returnWithinMs &&
        expiresAt - now >= minReturnMs;
      const kept = state.tokens.filter((token) => !isReturned(token));
      const returned = state.tokens.length - kept.length;
      if (returned > 0) {
        state.tokens = kept;
        returns.set(state, returned);
        counts.returned += returned;
      }
    });
    return returns;
  };

  const send = (owner: Owner, tenantDraws: PlannedTenantDraw[], now: number): PlannedDraw => {
    const draw = { owner: owner.address, sentAt: now, tenants: tenantDraws };
    owner.inFlight = draw;
    owner.lastSentAt = now;
    return draw;
  };

  const isDue = (owner: Owner, now: number): boolean =>
    owner.inFlight === undefined && now >= owner.lastSentAt + drawSpacingMs;

  const planTokenDraws = (now: number): PlannedDraw[] => {
    const byOwner = new Map<Owner, Map<TenantState, number>>();
    demanding.forEach((state) => {
      const wanted = wantedTokens(state, now);
      const owner = wanted > 0 ? ownerFor(state, now) : undefined;
      if (owner && isDue(owner, now)) {
        const found = byOwner.get(owner) ?? new Map<TenantState, number>();
        byOwner.set(owner, found.set(state, wanted));
      }
    });
    return [...byOwner].map(([owner, wantedBy]) => {
      const returns = collectReturns(owner, now);
      const states = [...new Set([...wantedBy.keys(), ...returns.keys()])];
      const tenantDraws = states.map((state) => ({
        tenant: state.name,
        wanted: wantedBy.get(state) ?? 0,
        returned: returns.get(state) ?? 0,
        limit: state.limit,
      }));
      return send(owner, tenantDraws, now);
    });
  };

  const planProbes = (now: number, isWanted: (owner: Owner) => boolean): PlannedDraw[] =>
    owners
      .filter((owner) => owner.state !== 'owner' && isDue(owner, now) && owner.retryAt <= now)
      .filter(isWanted)
      .map((owner) => send(owner, [], now));

  /**
   * Asks the instances of the own data centre, and the others only if a tenant has no usable owner:
   * connections of all nodes to all control instances would leave no room for those of the feed.
   */
  const planNeededProbes = (now: number): PlannedDraw[] => {
    const states = [...demanding];
    const isLocalPending = owners.some(
      (owner) => owner.isLocal && mayBecomeUsable(owner, now) && !isSlow(owner, now),
    );
    const needsOthers = !isLocalPending && states.some((state) => !ownerFor(state, now));
    return states.length === 0 ? [] : planProbes(now, ({ isLocal }) => isLocal || needsOthers);
  };

  const recordGrant = (
    owner: Owner,
    { sentAt }: PlannedDraw,
    { tenant, wanted }: PlannedTenantDraw,
    { granted, retryAfterMs }: TenantGrant,
    now: number,
  ) => {
    const state = tenants.get(tenant);
    if (!state) {
      return;
    }
    const expiresAt = sentAt + validityMs;
    counts.drawn += granted;
    if (sentAt < voidBefore) {
      counts.voided += granted;
    } else if (expiresAt > now) {
      const token = { owner: owner.address, expiresAt };
      addTokens(
        state,
        Array.from({ length: Math.min(granted, wanted) }, () => token),
      );
    } else {
      counts.expired += granted;
    }
    if (granted < wanted) {
      const ms = Math.min(maxEmptyMs, Math.max(minEmptyMs, retryAfterMs));
      // A random part keeps the nodes from asking at the same moment.
      state.emptyUntil.set(owner.address, now + ms * (0.75 + 0.5 * random()));
    }
  };

  const findOwner = (draw: PlannedDraw): Owner | undefined =>
    owners.find(({ address, inFlight }) => address === draw.owner && inFlight === draw);

  const forgetIdle = (now: number) => {
    if (now - sweptAt < idleMs) {
      return;
    }
    sweptAt = now;
    [...tenants.values()]
      .filter(({ calledAt, waiting }) => now - calledAt >= idleMs && waiting.size === 0)
      .forEach((state) => {
        dropExpired(state, now);
        tenants.delete(state.name);
      });
  };

  const expire = (clock: ClockReading) => {
    const { now } = clock;
    checkClock(clock);
    settleAll(now);
    [...demanding].forEach((state) =>
      [...state.waiting]
        .filter(({ until }) => until <= now)
        .forEach((call) => {
          const isReachable = owners.some((owner) => isUsable(owner, now));
          settle(
            state,
            call,
            isReachable
              ? { isAllowed: false, reason: 'quota_exceeded', retryAfterMs: minEmptyMs }
              : decideWithoutOwners(state, now),
          );
        }),
    );
    forgetIdle(now);
  };

  const toOwner = ({ address, dataCentre }: OwnerAddress): Owner =>
    owners.find((known) => known.address === address) ?? {
      address,
      isLocal: dataCentre === options.dataCentre,
      order: random(),
      state: 'unknown',
      inFlight: undefined,
      lastSentAt: -Infinity,
      retryAt: -Infinity,
    };

  return {
    commands: {
      setOwners: (addresses) => {
        owners = addresses
          .map(toOwner)
          .sort((a, b) => Number(b.isLocal) - Number(a.isLocal) || a.order - b.order);
      },
      setNodes: (count) => {
        nodes = count;
      },
      take: (name, limit, onDecision, clock) => {
        const { now } = clock;
        checkClock(clock);
        const state = findTenant(name, limit, now);
        recordCall(state, now);
        // Calls that wait come first.
        const decision = state.waiting.size === 0 ? decideNow(state, now) : undefined;
        if (decision) {
          onDecision(decision);
          return () => undefined;
        }
        const call: WaitingCall = { until: now + maxTokenWaitMs, onDecision };
        state.waiting.add(call);
        demanding.add(state);
        return () => {
          state.waiting.delete(call);
          if (state.waiting.size === 0) {
            demanding.delete(state);
          }
        };
      },
      giveBack: (name, token, clock) => {
        checkClock(clock);
        const state = tenants.get(name);
        if (state && token.expiresAt > clock.now && token.expiresAt - validityMs >= voidBefore) {
          addTokens(state, [token]);
          settleWaiting(state, clock.now);
        }
      },
      prepare: ({ now }) => planProbes(now, ({ isLocal, state }) => isLocal && state === 'unknown'),
      planDraws: (clock) => {
        checkClock(clock);
        return [...planTokenDraws(clock.now), ...planNeededProbes(clock.now)];
      },
      answer: (draw, { isOwner, grants }, clock) => {
        const { now } = clock;
        checkClock(clock);
        const owner = findOwner(draw);
        if (!owner) {
          return;
        }
        owner.inFlight = undefined;
        if (isOwner) {
          setState(owner, 'owner', 'answered');
          draw.tenants.forEach((tenantDraw, index) => {
            const grant = grants[index] ?? { granted: 0, retryAfterMs: 0 };
            recordGrant(owner, draw, tenantDraw, grant, now);
          });
        } else {
          setState(owner, 'not_owner', 'it does not own the share of its data centre');
          owner.retryAt = now + retryMs;
        }
        settleAll(now);
      },
      fail: (draw, clock) => {
        const { now } = clock;
        checkClock(clock);
        const owner = findOwner(draw);
        if (!owner) {
          return;
        }
        owner.inFlight = undefined;
        setState(owner, 'failed', 'no answer');
        owner.retryAt = now + retryMs;
        settleAll(now);
      },
      expire,
    },
    queries: {
      nextAt: (now) => {
        if (demanding.size === 0) {
          return undefined;
        }
        const waits = [...demanding].map((state) => [...state.waiting][0]!.until);
        const sends = owners
          .filter(({ inFlight }) => inFlight === undefined)
          .map(({ lastSentAt }) => lastSentAt + drawSpacingMs);
        const slow = owners.flatMap(({ inFlight }) =>
          inFlight ? [inFlight.sentAt + slowDrawMs] : [],
        );
        const due = [...waits, ...[...sends, ...slow].filter((at) => at > now)];
        return Math.max(now, Math.min(...due));
      },
      tokens: (name, now) =>
        (tenants.get(name)?.tokens ?? []).filter(({ expiresAt }) => expiresAt > now).length,
      waiting: () => [...demanding].reduce((sum, { waiting }) => sum + waiting.size, 0),
      reachableOwners: () => owners.filter(({ state }) => state === 'owner').length,
      counts: () => ({ ...counts }),
    },
  };
};
