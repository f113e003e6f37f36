/**
 * Admission of children to a parent of the fan-out tree. A parent holds a bounded number of
 * children and admits new ones at a bounded rate; all others are redirected down the tree, so that
 * a herd of reconnecting nodes spreads over it instead of waiting for the source.
 */
export const maxChildren = 16;
/** Control instances that exchange endpoints are not part of the tree and do not take its places. */
const maxControlChildren = 16;
const admissionsPerSecond = 8;
/** Longer paths are refused: 16^6 nodes need 6 levels, so that more point at a fault. */
export const maxPathLength = 12;
const redirectTargets = 3;
/** Wait after a refusal without a target. */
const refusedRetryMs = 500;
const redirectMemoryMs = 5_000;

export interface ChildRequest {
  readonly name: string;
  readonly address: string;
  readonly role: 'node' | 'control';
}

/** State of the parent at the time of the request. */
export interface ParentState {
  readonly path: readonly string[];
  /** The parent holds a configuration, or its path starts at a control instance. */
  readonly canFeed: boolean;
  /** Nodes in the subtree of a child. */
  countNodes(child: string): number;
}

export type AdmissionDecision =
  | { readonly outcome: 'admitted' }
  | {
      readonly outcome: 'redirected';
      readonly addresses: readonly string[];
      readonly retryAfterMs: number;
    };

interface Child extends ChildRequest {
  redirects: number;
  redirectedAt: number;
}

export interface ChildAdmission {
  readonly commands: {
    admitChild(request: ChildRequest, parent: ParentState, now: number): AdmissionDecision;
    release(name: string): void;
  };
  readonly queries: {
    children(): readonly ChildRequest[];
  };
}

/** Bucket of admissions: full at the start, so that the first children are admitted at once. */
const createBucket = (startedAt: number) => {
  let tokens = maxChildren;
  let filledAt = startedAt;
  return {
    take: (now: number): boolean => {
      const refill = ((now - filledAt) / 1_000) * admissionsPerSecond;
      tokens = Math.min(maxChildren, tokens + Math.max(0, refill));
      filledAt = now;
      if (tokens < 1) {
        return false;
      }
      tokens -= 1;
      return true;
    },
    waitMs: (): number => Math.ceil(((1 - tokens) / admissionsPerSecond) * 1_000),
  };
};

export const createChildAdmission = (startedAt: number): ChildAdmission => {
  const children = new Map<string, Child>();
  const bucket = createBucket(startedAt);

  const nodeChildren = (): Child[] => [...children.values()].filter(({ role }) => role === 'node');

  const weightOf = (child: Child, parent: ParentState, now: number): number =>
    parent.countNodes(child.name) +
    (now - child.redirectedAt < redirectMemoryMs ? child.redirects : 0);

  const chooseTargets = (request: ChildRequest, parent: ParentState, now: number): string[] => {
    const targets = nodeChildren()
      .filter(({ name, address }) => name !== request.name && address !== '')
      .map((child) => ({ child, weight: weightOf(child, parent, now) }))
      .sort((a, b) => a.weight - b.weight)
      .slice(0, redirectTargets)
      .map(({ child }) => child);
    const first = targets[0];
    if (first) {
      first.redirects = now - first.redirectedAt < redirectMemoryMs ? first.redirects + 1 : 1;
      first.redirectedAt = now;
    }
    return targets.map(({ address }) => address);
  };

  const redirect = (
    request: ChildRequest,
    parent: ParentState,
    now: number,
    retryAfterMs: number,
  ): AdmissionDecision => ({
    outcome: 'redirected',
    addresses: chooseTargets(request, parent, now),
    retryAfterMs,
  });

  const admit = (request: ChildRequest, now: number): AdmissionDecision => {
    children.set(request.name, { ...request, redirects: 0, redirectedAt: now });
    return { outcome: 'admitted' };
  };

  const admitChild: ChildAdmission['commands']['admitChild'] = (request, parent, now) => {
    // A child of the path's own nodes would close a cycle.
    if (parent.path.includes(request.name) || parent.path.length >= maxPathLength) {
      return { outcome: 'redirected', addresses: [], retryAfterMs: refusedRetryMs };
    }
    if (!parent.canFeed) {
      return { outcome: 'redirected', addresses: [], retryAfterMs: refusedRetryMs };
    }
    const held = children.get(request.name);
    if (held?.role === request.role) {
      return admit(request, now);
    }
    if (request.role === 'control') {
      const controls = children.size - nodeChildren().length;
      return controls < maxControlChildren
        ? admit(request, now)
        : redirect(request, parent, now, refusedRetryMs);
    }
    if (nodeChildren().length >= maxChildren) {
      return redirect(request, parent, now, refusedRetryMs);
    }
    return bucket.take(now) ? admit(request, now) : redirect(request, parent, now, bucket.waitMs());
  };

  return {
    commands: {
      admitChild,
      release: (name) => {
        children.delete(name);
      },
    },
    queries: { children: () => [...children.values()] },
  };
};
