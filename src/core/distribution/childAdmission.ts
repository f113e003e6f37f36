/**
 * Admission of children by a parent of the fan-out tree. A parent has a limited number of children
 * and admits new ones at a limited rate. All others are redirected down the tree, so that many
 * nodes that reconnect at once spread over the tree instead of waiting for the root.
 */
export const maxChildren = 16;
/** Limit for control instances, which exchange endpoints and do not count as tree children. */
const maxControlChildren = 16;
const admissionsPerSecond = 8;
/** Children of a longer path are refused. 16^6 nodes need 6 levels; a longer path is a fault. */
export const maxPathLength = 12;
const maxRedirectTargets = 3;
/** Retry delay sent with a refusal without a target, and with redirects of a full parent. */
const retryAfterRefusalMs = 500;
/** Redirects to a child count as load on it for this time. */
const recentRedirectMs = 5_000;

export interface ChildRequest {
  readonly name: string;
  readonly address: string;
  readonly role: 'node' | 'control';
}

/** State of the parent at the time of the request. */
export interface ParentState {
  readonly path: readonly string[];
  /** True if the parent has a configuration or a control instance at the root of its path. */
  readonly canFeed: boolean;
  /** Number of nodes in the subtree of a child. */
  countNodes(child: string): number;
  /** True if a child has not reported a version that it should have by now. */
  isBehind(child: string): boolean;
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

/** Token bucket for admissions. Starts full, so that the first children are admitted at once. */
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
    (now - child.redirectedAt < recentRedirectMs ? child.redirects : 0);

  const chooseTargets = (request: ChildRequest, parent: ParentState, now: number): string[] => {
    const others = nodeChildren().filter(
      ({ name, address }) => name !== request.name && address !== '',
    );
    const current = others.filter(({ name }) => !parent.isBehind(name));
    const targets = (current.length > 0 ? current : others)
      .map((child) => ({ child, weight: weightOf(child, parent, now) }))
      .sort((a, b) => a.weight - b.weight)
      .slice(0, maxRedirectTargets)
      .map(({ child }) => child);
    const first = targets[0];
    if (first) {
      first.redirects = now - first.redirectedAt < recentRedirectMs ? first.redirects + 1 : 1;
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
    // Admitting a node that is on the parent's own path would create a cycle.
    if (parent.path.includes(request.name) || parent.path.length >= maxPathLength) {
      return { outcome: 'redirected', addresses: [], retryAfterMs: retryAfterRefusalMs };
    }
    if (!parent.canFeed) {
      return { outcome: 'redirected', addresses: [], retryAfterMs: retryAfterRefusalMs };
    }
    const existing = children.get(request.name);
    if (existing?.role === request.role) {
      return admit(request, now);
    }
    if (request.role === 'control') {
      const controls = children.size - nodeChildren().length;
      return controls < maxControlChildren
        ? admit(request, now)
        : redirect(request, parent, now, retryAfterRefusalMs);
    }
    if (nodeChildren().length >= maxChildren) {
      return redirect(request, parent, now, retryAfterRefusalMs);
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
