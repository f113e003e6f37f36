/**
 * Authenticates the calls of a node whose configuration has tenants: determines who a call belongs
 * to, and counts and logs those that are refused. API keys appear in neither.
 */
import {
  authenticate,
  type Authentication,
  type AuthenticationProblem,
} from '../../core/tenants/authentication.js';
import { tenantDirectoryOf, tenantLabel } from '../../core/tenants/tenantDirectory.js';
import type { CallerInterface, CallHeaders, ForwardedIdentity } from '../../types/callInterface.js';
import type { ActiveConfiguration, ConfigurationView } from '../../types/internal.js';
import type { Policy } from '../../types/public.js';
import type { Tenant } from '../../types/tenants.js';
import { Failure } from '../../utils/failure.js';
import type { RateLimitedLog } from '../../utils/rateLimitedLog.js';
import type { CallOrigin } from './callMetrics.js';
import type { LocalUpstream } from './localUpstream.js';
import type { TenantMetrics } from './tenantMetrics.js';

/** Who a call belongs to, and how it is handled for that. */
export interface CallIdentity {
  readonly origin: CallOrigin;
  /** Identity by which admission queues take turns. */
  readonly caller: string;
  /** Identity by which the overload throttle counts calls. */
  readonly throttledCaller: string;
  readonly policy: Policy;
  /** Tenant whose rate the call counts towards. */
  readonly tenant: Tenant | undefined;
  /** What the upstream learns of the tenant; undefined in a configuration without tenants. */
  readonly forwarded: ForwardedIdentity | undefined;
}

export interface ReceivedCall {
  readonly headers: CallHeaders;
  readonly requestId: string;
  readonly activeConfiguration: ActiveConfiguration;
  readonly policy: Policy;
  /** Returns the caller's identity without tenants, see `CallerInterface.readCaller`. */
  readonly readCaller: () => ReturnType<CallerInterface['readCaller']>;
}

export interface CallAuthentication {
  /** Throws `unauthenticated_caller` or `unconfirmed` for a call that is refused. */
  identify(call: ReceivedCall): CallIdentity;
}

export interface CallAuthenticationOptions {
  readonly upstream: Pick<LocalUpstream['queries'], 'callInFlight'>;
  readonly confirmedAgeMs: ConfigurationView['queries']['confirmedAgeMs'];
  readonly metrics?: TenantMetrics;
  readonly logRefusal?: RateLimitedLog;
}

/** Details of refusals. They are the same for all keys, so that nothing can be learned from them. */
const details: Readonly<Record<AuthenticationProblem, string>> = {
  no_key: 'the call carries no API key',
  unknown_key: 'the API key is not known',
  unknown_parent: 'the call carries no API key and names a call that is not known',
};

/** Policies with another priority, by policy: both are immutable and shared between calls. */
const variants = new WeakMap<Policy, Map<number, Policy>>();

const withPriority = (policy: Policy, priority: number | undefined): Policy => {
  if (priority === undefined || priority === policy.priority) {
    return policy;
  }
  const known = variants.get(policy) ?? new Map<number, Policy>();
  variants.set(policy, known);
  const variant = known.get(priority) ?? { ...policy, priority };
  known.set(priority, variant);
  return variant;
};

/** All tenants of a class are throttled together: a node has too few calls of most of them. */
const sharedThrottle = '';

type AcceptedKind = Exclude<Authentication['kind'], 'refused'>;

/** Creates the authentication of one node. */
export const createCallAuthentication = ({
  upstream,
  confirmedAgeMs,
  metrics,
  logRefusal,
}: CallAuthenticationOptions): CallAuthentication => {
  const parentOf = ({ headers: { parentId } }: ReceivedCall) =>
    parentId === undefined ? undefined : upstream.callInFlight(parentId);

  const withoutTenants = (call: ReceivedCall): CallIdentity => {
    const caller = call.readCaller();
    return {
      origin: parentOf(call) ? 'upstream' : 'caller',
      caller,
      throttledCaller: caller,
      policy: call.policy,
      tenant: undefined,
      forwarded: undefined,
    };
  };

  const identifyCaller = (call: ReceivedCall, tenant?: Tenant): CallIdentity => ({
    origin: 'caller',
    caller: tenant?.name ?? call.readCaller(),
    throttledCaller: sharedThrottle,
    policy: withPriority(call.policy, tenant?.importance),
    tenant,
    forwarded: { tenant: tenant && tenantLabel(tenant) },
  });

  const identifyNested = (call: ReceivedCall): CallIdentity => {
    const parent = parentOf(call);
    return {
      origin: 'upstream',
      caller: parent?.caller ?? '',
      throttledCaller: sharedThrottle,
      policy: withPriority(call.policy, parent?.priority),
      tenant: undefined,
      forwarded: { tenant: undefined },
    };
  };

  const identities: Readonly<
    Record<AcceptedKind, (call: ReceivedCall, tenant?: Tenant) => CallIdentity>
  > = {
    tenant: identifyCaller,
    exempt: (call) => identifyCaller(call),
    nested: identifyNested,
  };

  const identify = (call: ReceivedCall): CallIdentity => {
    const { headers, requestId, activeConfiguration, policy } = call;
    const { configuration } = activeConfiguration;
    const directory = tenantDirectoryOf(configuration);
    if (!directory) {
      return withoutTenants(call);
    }
    const result = authenticate(directory, {
      apiKey: headers.apiKey,
      isExempt: configuration.classes[policy.className]?.authExempt ?? false,
      parentId: headers.parentId,
      isParentInFlight: parentOf(call) !== undefined,
      confirmedAgeMs: confirmedAgeMs(),
    });
    if (result.kind === 'refused') {
      const { reason, problem } = result;
      metrics?.recordRefusal(reason, problem);
      logRefusal?.('call not authenticated', {
        request_id: requestId,
        class: policy.className,
        reason,
        problem,
      });
      throw new Failure(reason, details[problem]);
    }
    const tenant = result.kind === 'tenant' ? result.tenant : undefined;
    metrics?.recordAuthenticated(result.kind, tenant && tenantLabel(tenant));
    return identities[result.kind](call, tenant);
  };

  return { identify };
};
