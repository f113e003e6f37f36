/**
 * Decodes the configuration documents of the platform's operators into a `Configuration`. Operators
 * read back the original bytes of a document, which are what is stored.
 */
import { createHash } from 'node:crypto';
import * as z from 'zod';
import type { DocumentReader } from '../core/agreement/configurationHistory.js';
import { parseJsonText } from '../plugins/readText.js';
import { formatFinding } from '../utils/findings.js';
import { checkValue } from '../utils/settings.js';
import { Failure } from '../utils/failure.js';
import type {
  CallerLimits,
  Configuration,
  Finding,
  Service,
  TrafficClass,
} from '../types/public.js';
import type { Tenant } from '../types/tenants.js';
import { checkSharedKeys, hideFound } from '../core/tenants/tenantFindings.js';
import { checkTenantName, tenantSchema, toTenant } from './tenantDocuments.js';

/** Longest timeout that the platform allows, in ms. */
const maxTimeoutMs = 600_000;
/** Importance of rank 0; it halves with each further rank. */
const maxImportance = 80;
/**
 * Share of responses within the target latency, which the platform's documents do not specify: the
 * default for targets.
 */
const defaultShare = 0.99;
/** Share of its target latency for which a call may wait for a slot. */
const waitShare = 0.5;
/** Route types whose requests may run more than once. */
const idempotentRouteTypes: ReadonlySet<string> = new Set(['safe', 'download']);

const routeSchema = z.object({
  host: z.string().min(1),
  path_prefix: z.string().regex(/^\/(?:.*\/)?$/, 'a path that begins and ends with a slash'),
  route_type: z.string(),
  timeout_ms: z.number().positive().max(maxTimeoutMs),
  target_latency_ms: z.number().positive().optional(),
  /** Rank, with 0 as the highest. */
  priority: z.number().int().min(0).optional(),
  service: z.string().min(1).optional(),
  weighted_services: z
    .array(z.object({ service: z.string().min(1), weight: z.number().min(0) }))
    .min(1)
    .optional(),
  max_attempts: z.number().int().min(1).optional(),
  auth_exempt: z.boolean().optional(),
});

const serviceSchema = z.object({ max_connections: z.number().int().min(1).optional() });

const limitsSchema = z.object({
  max_header_bytes: z.number().int().positive(),
  max_body_bytes: z.number().int().min(0),
  header_timeout_ms: z.number().positive(),
  idle_timeout_ms: z.number().positive(),
});

const resourceSchema = z.object({
  type: z.string(),
  metadata: z.object({ name: z.string().optional() }),
  spec: z.unknown(),
});

/** Resources are validated separately, so that unchanged ones can be skipped. */
const documentSchema = z.object({
  version: z.number().int().min(1),
  base_version: z.number().int().min(0),
  resources: z.array(z.unknown()),
});

type Route = z.output<typeof routeSchema>;

const validName = /^[a-z0-9][a-z0-9-]{0,62}$/;
const digestNameLength = 40;

/** A byte that never occurs in UTF-8. */
const illFormedMark = Buffer.from([0xff]);

/**
 * Bytes of a name, different for different names. Escapes in JSON can form lone surrogates, which
 * UTF-8 cannot encode: they would all become the same replacement character.
 */
const nameBytes = (name: string): Buffer =>
  name.isWellFormed()
    ? Buffer.from(name)
    : Buffer.concat([illFormedMark, Buffer.from(name, 'utf16le')]);

/** Replaces a name that is not valid in a configuration by one derived from its SHA-256 digest. */
export const sanitizeName = (name: string): string =>
  validName.test(name)
    ? name
    : `x-${createHash('sha256').update(nameBytes(name)).digest('hex').slice(0, digestNameLength)}`;

const importanceOf = (rank: number): number => Math.max(1, Math.round(maxImportance / 2 ** rank));

const weightsOf = ({ service, weighted_services: weighted }: Route) =>
  weighted ?? (service === undefined ? [] : [{ service, weight: 1 }]);

const toClass = (name: string, route: Route): TrafficClass => {
  const weights = weightsOf(route).map(({ service, weight }) => ({
    service: sanitizeName(service),
    weight,
  }));
  const heaviest = weights.reduce((best, part) => (part.weight > best.weight ? part : best));
  const targetMs = route.target_latency_ms ?? route.timeout_ms;
  return {
    name,
    service: heaviest.service,
    ...(weights.length > 1 && { split: weights }),
    match: [{ host: route.host.toLowerCase(), pathPrefix: route.path_prefix }],
    answerWithinMs: targetMs,
    share: defaultShare,
    atMostOnce: false,
    idempotent: idempotentRouteTypes.has(route.route_type),
    mayWaitMs: Math.round(targetMs * waitShare),
    availability: defaultShare,
    importance: importanceOf(route.priority ?? 0),
    timeoutMs: route.timeout_ms,
    ...(route.max_attempts !== undefined && { maxAttempts: route.max_attempts }),
    ...(route.auth_exempt === true && { authExempt: true }),
  };
};

const toLimits = (limits: z.output<typeof limitsSchema>): CallerLimits => ({
  maxHeaderBytes: limits.max_header_bytes,
  maxBodyBytes: limits.max_body_bytes,
  headerTimeoutMs: limits.header_timeout_ms,
  idleTimeoutMs: limits.idle_timeout_ms,
});

interface DocumentBuilder {
  readonly classes: Record<string, TrafficClass>;
  readonly services: Record<string, Service>;
  callerLimits: CallerLimits | undefined;
  readonly tenants: Record<string, Tenant>;
  readonly findings: Finding[];
}

/** Adds the entry that a resource describes to a configuration. */
type Insertion = (builder: DocumentBuilder) => void;

const check = <Output>(
  findings: Finding[],
  place: string,
  value: unknown,
  schema: z.ZodType<Output>,
): Output | undefined => {
  const checked = checkValue(value, place, schema);
  findings.push(...checked.findings);
  return checked.output;
};

type ResourceReader = (
  findings: Finding[],
  name: string,
  spec: unknown,
  place: string,
) => Insertion | undefined;

const resourceReaders: Readonly<Record<string, ResourceReader>> = {
  routes: (findings, name, spec, place) => {
    const route = check(findings, place, spec, routeSchema);
    if (!route) {
      return undefined;
    }
    if (weightsOf(route).every(({ weight }) => weight <= 0)) {
      findings.push({ place, message: 'the weights add up to 0' });
      return undefined;
    }
    const trafficClass = toClass(sanitizeName(name), route);
    return ({ classes }) => {
      classes[trafficClass.name] = trafficClass;
    };
  },
  services: (findings, name, spec, place) => {
    const checked = check(findings, place, spec, serviceSchema);
    if (!checked) {
      return undefined;
    }
    const { max_connections: connections } = checked;
    const service: Service = {
      name: sanitizeName(name),
      expected: true,
      ...(connections !== undefined && { connections }),
    };
    return ({ services }) => {
      services[service.name] = service;
    };
  },
  limits: (findings, _name, spec, place) => {
    const checked = check(findings, place, spec, limitsSchema);
    const limits = checked && toLimits(checked);
    return (builder) => {
      builder.callerLimits = limits;
    };
  },
  tenants: (findings, givenName, spec, place) => {
    const checked = checkValue(spec, place, tenantSchema);
    const problems = [
      ...checkTenantName(givenName, place),
      ...checked.findings.map((finding) => hideFound(finding)),
    ];
    findings.push(...problems);
    if (!checked.output || problems.length > 0) {
      return undefined;
    }
    const tenant = toTenant(
      { name: sanitizeName(givenName), givenName },
      checked.output,
      importanceOf,
    );
    return (builder) => {
      if (Object.hasOwn(builder.tenants, tenant.name)) {
        builder.findings.push({
          place: `tenant ${givenName}: metadata.name`,
          message: 'two tenants have this name',
        });
      }
      builder.tenants[tenant.name] = tenant;
    };
  },
};

/** True if the resource is of a type whose resources hold no secrets. */
const isPublicResource = (value: unknown): boolean => {
  const type = (value as { type?: unknown } | null | undefined)?.type;
  return typeof type === 'string' && type !== 'tenants' && Object.hasOwn(resourceReaders, type);
};

const readResource = (
  findings: Finding[],
  value: unknown,
  index: number,
): Insertion | undefined => {
  const checked = checkValue(value, `document.resources.${index}`, resourceSchema);
  const resource = checked.output;
  findings.push(...(isPublicResource(value) ? checked.findings : checked.findings.map(hideFound)));
  if (!resource) {
    return undefined;
  }
  const { type, metadata, spec } = resource;
  const name = metadata.name ?? '';
  const place = `resources[${index}] ${type} ${name}`;
  const read = Object.hasOwn(resourceReaders, type) ? resourceReaders[type] : undefined;
  if (!read) {
    findings.push({ place, message: 'unknown type', found: type });
    return undefined;
  }
  return read(findings, name, spec, place);
};

const checkServices = ({ classes, services, findings }: DocumentBuilder) =>
  Object.values(classes).forEach(({ name, service, split = [] }) => {
    const used = [service, ...split.map((part) => part.service)];
    const missing = used.find((each) => !Object.hasOwn(services, each));
    if (missing !== undefined) {
      findings.push({ place: `route ${name}`, message: 'unknown service', found: missing });
    }
  });

const checkTenants = ({ tenants, findings }: DocumentBuilder) =>
  findings.push(
    ...checkSharedKeys(
      Object.values(tenants),
      (tenant, index) => `tenant ${tenant}: api_keys.${index}`,
    ),
  );

const serialize = (resource: unknown): string => {
  try {
    return JSON.stringify(resource);
  } catch (cause) {
    // JSON.parse accepts any depth, but JSON.stringify recurses and overflows the stack.
    throw new Failure('malformed_message', 'values are nested too deeply', { cause });
  }
};

/**
 * Creates a document reader. It throws a Failure that lists every problem of a document. A document
 * repeats nearly all resources of the previous one: a resource with unchanged text is not validated
 * again and yields the same entry object, whose canonical text is already known.
 */
export const createDocumentReader = (): DocumentReader => {
  let knownInsertions: ReadonlyMap<string, Insertion> = new Map();

  return (text) => {
    const { output, findings } = checkValue(parseJsonText(text), 'document', documentSchema);
    if (!output) {
      throw new Failure(
        'malformed_message',
        findings.map((finding) => formatFinding(hideFound(finding))).join('; '),
      );
    }
    const builder: DocumentBuilder = {
      classes: {},
      services: {},
      callerLimits: undefined,
      tenants: {},
      findings: [],
    };
    const insertions = new Map<string, Insertion>();
    output.resources.forEach((resource, index) => {
      const resourceText = serialize(resource);
      const insertion =
        knownInsertions.get(resourceText) ?? readResource(builder.findings, resource, index);
      if (insertion) {
        insertions.set(resourceText, insertion);
        insertion(builder);
      }
    });
    checkServices(builder);
    checkTenants(builder);
    if (builder.findings.length > 0) {
      throw new Failure('malformed_message', builder.findings.map(formatFinding).join('; '));
    }
    knownInsertions = insertions;
    const { services, classes, callerLimits, tenants } = builder;
    const configuration: Configuration = {
      services,
      classes,
      ...(callerLimits && { callerLimits }),
      ...(Object.keys(tenants).length > 0 && { tenants }),
    };
    return { number: output.version, baseNumber: output.base_version, configuration };
  };
};
