/**
 * Explains where a call would go now and why, with the functions that decide on calls. It sends
 * nothing and changes no state: it draws no token, records no choice and uses random numbers of its
 * own.
 */
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { matchClass } from '../../core/calls/classMatching.js';
import type { EndpointTracker } from '../../core/calls/endpointTracker.js';
import type { OverloadThrottle } from '../../core/calls/overloadThrottle.js';
import {
  assessEndpoints,
  chooseEndpoint,
  type EndpointAssessment,
  type EndpointUse,
} from '../../core/calls/routing.js';
import { explainPolicy, classesOfService } from '../../core/operators/policy.js';
import { formatVersion } from '../../core/agreement/version.js';
import { maxKnownAgeMs } from '../../core/distribution/freshness.js';
import { authenticate } from '../../core/tenants/authentication.js';
import { tenantDirectoryOf } from '../../core/tenants/tenantDirectory.js';
import type { ActiveConfiguration, ConfigurationView } from '../../types/internal.js';
import type { Policy } from '../../types/public.js';
import { Failure } from '../../utils/failure.js';
import { localEndpointIdOf, prefersLocalEndpoint } from './localPreference.js';
import type { LocalUpstream } from './localUpstream.js';

/** The call to explain. `tenant` is the name of the tenant that would send it. */
export interface ExplainedCall {
  readonly host: string;
  readonly path: string;
  readonly method: string;
  readonly tenant?: string;
}

export interface CallExplanationOptions {
  readonly node: { readonly name: string; readonly dataCentre: string; readonly region: string };
  readonly configurationView: ConfigurationView;
  readonly endpointTracker: EndpointTracker;
  readonly upstream: Pick<LocalUpstream, 'queries'>;
  readonly throttle: Pick<OverloadThrottle, 'queries'>;
  readonly averageResponseBytes: (className: string) => number;
  readonly now: () => number;
}

/** Choices that are tried to find the share of calls that each endpoint gets. */
const sampledChoices = 200;
/** Longest host, path or name in a question. */
const maxTextLength = 2_048;

const createSampler = (): (() => number) => {
  const generator = xoroshiro128plus(1);
  const range = 2 ** 30;
  return () => unsafeUniformIntDistribution(0, range - 1, generator) / range;
};

const readText = (value: unknown, field: string): string => {
  if (typeof value !== 'string' || value === '' || value.length > maxTextLength) {
    throw new Failure('bad_request', `${field}: a text of 1 to ${maxTextLength} characters`);
  }
  return value;
};

/** Reads the call from the query of a request. Throws `bad_request` with the name of the field. */
export const readExplainedCall = (query: Readonly<Record<string, unknown>>): ExplainedCall => {
  const path = readText(query.path, 'path');
  if (!path.startsWith('/')) {
    throw new Failure('bad_request', 'path: it has to begin with /');
  }
  return {
    host: readText(query.host, 'host').toLowerCase().replace(/:\d+$/, ''),
    path: path.replace(/[?#].*$/, ''),
    method: query.method === undefined ? 'GET' : readText(query.method, 'method').toUpperCase(),
    ...(query.tenant !== undefined && { tenant: readText(query.tenant, 'tenant') }),
  };
};

type ReasonOf = (assessment: EndpointAssessment, ejectedUntilMs: number) => string | undefined;

/** Why an endpoint gets no call; undefined if it can get one. */
const unusedReasons: Readonly<Record<EndpointUse, ReasonOf>> = {
  candidate: () => undefined,
  probe: () => undefined,
  not_ready: ({ endpoint }) => `its state is ${endpoint.state}`,
  ejected: (_, ejectedUntilMs) =>
    ejectedUntilMs > 0
      ? `ejected after failures, for ${Math.round(ejectedUntilMs)} ms more`
      : 'ejected after failures; its probe waits for a call or is in flight',
};

/** Creates the function that explains a call. It throws a Failure if there is nothing to explain. */
export const createCallExplanation = (options: CallExplanationOptions) => {
  const { node, configurationView, endpointTracker, upstream, throttle } = options;

  const explainTenant = (
    { configuration }: ActiveConfiguration,
    isExempt: boolean,
    name: string | undefined,
  ) => {
    const directory = tenantDirectoryOf(configuration);
    const tenant = Object.values(configuration.tenants ?? {}).find(
      (known) => name !== undefined && (known.name === name || known.displayName === name),
    );
    if (name !== undefined && !tenant) {
      throw new Failure('bad_request', 'tenant: the configuration has no tenant of this name');
    }
    if (tenant) {
      return {
        name: tenant.name,
        accepted: tenant.keyDigests.length > 0,
        reason: tenant.keyDigests.length > 0 ? 'known key' : 'the tenant has no key in force',
        importance: tenant.importance,
        rate: tenant.ratePerSecond,
        burst: tenant.burst,
      };
    }
    if (!directory) {
      return { accepted: true, reason: 'the configuration has no tenants' };
    }
    const result = authenticate(directory, {
      apiKey: undefined,
      isExempt,
      parentId: undefined,
      isParentInFlight: false,
      confirmedAgeMs: configurationView.queries.confirmedAgeMs(),
    });
    return result.kind === 'refused'
      ? { accepted: false, reason: `${result.reason}: ${result.problem}` }
      : { accepted: true, reason: result.kind };
  };

  const explainThrottle = (className: string, service: string, now: number) => {
    const hasFreeSlot = upstream.queries.hasFreeSlot(service);
    const shares = throttle.queries.admissionShares(
      // Calls of tenants are counted together, and those of callers without a name as well.
      { className, service, caller: '' },
      now,
      hasFreeSlot,
    );
    return {
      refused_share_slots: shares.slots,
      refused_share_nested_calls: shares.nestedCalls,
      free_slot_beside_node: hasFreeSlot,
    };
  };

  const explainService = (active: ActiveConfiguration, policy: Policy, service: string) => {
    const now = options.now();
    const cluster = active.clusters.get(service) ?? { service, endpoints: [] };
    const choice = {
      cluster,
      evidence: endpointTracker,
      policy,
      home: node,
      answerBytes: options.averageResponseBytes(policy.className),
      exclude: new Set<string>(),
      random: createSampler(),
      now,
    };
    const localId = localEndpointIdOf(upstream, node.name);
    const localNode = node;
    const isLocal = prefersLocalEndpoint({ upstream, endpointTracker, localNode, service, now });
    const choices = new Map<string, number>();
    for (let index = 0; index < sampledChoices; index += 1) {
      const id = isLocal ? localId : chooseEndpoint(choice)?.id;
      if (id !== undefined) {
        choices.set(id, (choices.get(id) ?? 0) + 1 / sampledChoices);
      }
    }
    return {
      service,
      prefers_endpoint_beside_node: isLocal,
      throttle: explainThrottle(policy.className, service, now),
      endpoints: assessEndpoints(choice).map((assessment) => {
        const { endpoint, use, distance, costMs, share } = assessment;
        const { load, ejection } = endpointTracker.queries.get(endpoint.id) ?? {};
        const chosenShare = choices.get(endpoint.id) ?? 0;
        const unused = unusedReasons[use](assessment, (ejection?.ejectedUntil ?? 0) - now);
        const passed = isLocal
          ? 'the upstream beside the node has room'
          : 'other endpoints cost less or have a larger share';
        return {
          endpoint: endpoint.id,
          state: use,
          distance,
          version: endpoint.version,
          cost_ms: costMs === undefined ? undefined : Math.round(costMs * 10) / 10,
          share: Math.round(share * 1_000) / 1_000,
          in_flight: load?.inFlight,
          waiting: load?.waiting,
          limit: load?.limit,
          reported_pace: load?.pace,
          chosen_share: Math.round(chosenShare * 1_000) / 1_000,
          reason: unused ?? (chosenShare === 0 ? passed : undefined),
        };
      }),
    };
  };

  return (call: ExplainedCall) => {
    const active = configurationView.queries.current();
    if (!active) {
      throw new Failure('no_configuration');
    }
    const trafficClass = matchClass(active.configuration, call);
    const policy = trafficClass && active.policies.get(trafficClass.name);
    if (!policy) {
      const isConfirmed = configurationView.queries.confirmedAgeMs() <= maxKnownAgeMs;
      throw new Failure(
        isConfirmed ? 'unknown_class' : 'unconfirmed',
        `${call.method} ${call.path}`,
      );
    }
    const services = policy.split?.map(({ service }) => service) ?? [policy.service];
    return {
      node: node.name,
      version: formatVersion(active.version),
      class: policy.className,
      tenant: explainTenant(active, trafficClass.authExempt ?? false, call.tenant),
      policy: explainPolicy(
        trafficClass,
        active.clusters.get(policy.service),
        classesOfService(active.configuration, trafficClass),
      ),
      services: services.map((service) => explainService(active, policy, service)),
    };
  };
};

export type CallExplanation = ReturnType<ReturnType<typeof createCallExplanation>>;
