/**
 * Configurations as the platform's operators send them, decoded into the product's model. The
 * document's own bytes are what is stored and read back.
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

/** The platform refuses longer timeouts, in ms. */
const maxTimeoutMs = 600_000;
/** Importance of the highest rank; each further rank has half as much. */
const topImportance = 80;
/** Share of answers within the aim, where the platform names none: the product's own default. */
const defaultShare = 0.99;
/** Part of its aim for which a call may wait for a slot. */
const waitShare = 0.5;
/** Kinds of route whose requests may run more than once. */
const idempotentKinds: ReadonlySet<string> = new Set(['safe', 'download']);

const routeSchema = z.object({
  host: z.string().min(1),
  path_prefix: z.string().regex(/^\/(?:.*\/)?$/, 'a path that begins and ends with a slash'),
  route_type: z.string(),
  timeout_ms: z.number().positive().max(maxTimeoutMs),
  target_latency_ms: z.number().positive().optional(),
  /** Rank; 0 is the highest. */
  priority: z.number().int().min(0).optional(),
  service: z.string().min(1).optional(),
  weighted_services: z
    .array(z.object({ service: z.string().min(1), weight: z.number().min(0) }))
    .min(1)
    .optional(),
  max_attempts: z.number().int().min(1).optional(),
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

/** Resources are checked one by one, so that those that are known already cost nothing. */
const documentSchema = z.object({
  version: z.number().int().min(1),
  base_version: z.number().int().min(0),
  resources: z.array(z.unknown()),
});

type Route = z.output<typeof routeSchema>;

const ownName = /^[a-z0-9][a-z0-9-]{0,62}$/;
const digestNameLength = 40;

/** Name in the product for a name of the platform, which may have characters that it refuses. */
export const sanitizeName = (name: string): string =>
  ownName.test(name)
    ? name
    : `x-${createHash('sha256').update(name).digest('hex').slice(0, digestNameLength)}`;

const importanceOf = (rank: number): number => Math.max(1, Math.round(topImportance / 2 ** rank));

const weightsOf = ({ service, weighted_services: weighted }: Route) =>
  weighted ?? (service === undefined ? [] : [{ service, weight: 1 }]);

const toClass = (name: string, route: Route): TrafficClass => {
  const weights = weightsOf(route).map(({ service, weight }) => ({
    service: sanitizeName(service),
    weight,
  }));
  const heaviest = weights.reduce((best, part) => (part.weight > best.weight ? part : best));
  const aimMs = route.target_latency_ms ?? route.timeout_ms;
  return {
    name,
    service: heaviest.service,
    ...(weights.length > 1 && { split: weights }),
    match: [{ host: route.host.toLowerCase(), pathPrefix: route.path_prefix }],
    answerWithinMs: aimMs,
    share: defaultShare,
    atMostOnce: false,
    idempotent: idempotentKinds.has(route.route_type),
    mayWaitMs: Math.round(aimMs * waitShare),
    availability: defaultShare,
    importance: importanceOf(route.priority ?? 0),
    timeoutMs: route.timeout_ms,
    ...(route.max_attempts !== undefined && { maxAttempts: route.max_attempts }),
  };
};

const toLimits = (limits: z.output<typeof limitsSchema>): CallerLimits => ({
  maxHeaderBytes: limits.max_header_bytes,
  maxBodyBytes: limits.max_body_bytes,
  headerTimeoutMs: limits.header_timeout_ms,
  idleTimeoutMs: limits.idle_timeout_ms,
});

interface Building {
  readonly classes: Record<string, TrafficClass>;
  readonly services: Record<string, Service>;
  callerLimits: CallerLimits | undefined;
  readonly findings: Finding[];
}

/** Puts the entry that a resource stands for into a configuration. */
type Placement = (building: Building) => void;

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
) => Placement | undefined;

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
    return (building) => {
      building.callerLimits = limits;
    };
  },
};

const readResource = (
  findings: Finding[],
  value: unknown,
  index: number,
): Placement | undefined => {
  const resource = check(findings, `document.resources.${index}`, value, resourceSchema);
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

const checkServices = ({ classes, services, findings }: Building) =>
  Object.values(classes).forEach(({ name, service, split = [] }) => {
    const used = [service, ...split.map((part) => part.service)];
    const missing = used.find((each) => !Object.hasOwn(services, each));
    if (missing !== undefined) {
      findings.push({ place: `route ${name}`, message: 'unknown service', found: missing });
    }
  });

const textOf = (resource: unknown): string => {
  try {
    return JSON.stringify(resource);
  } catch (cause) {
    // JSON is parsed at any depth, but written with one call for each level.
    throw new Failure('malformed_message', 'values are nested too deeply', { cause });
  }
};

/**
 * Creates a reader of documents. It throws a Failure that names every problem of a document.
 * Documents repeat nearly all resources of the one before: a resource with the same text is not
 * checked again and stands for the same entry, whose canonical text is known.
 */
export const createDocumentReader = (): DocumentReader => {
  let known: ReadonlyMap<string, Placement> = new Map();

  return (text) => {
    const { output, findings } = checkValue(parseJsonText(text), 'document', documentSchema);
    if (!output) {
      throw new Failure('malformed_message', findings.map(formatFinding).join('; '));
    }
    const building: Building = { classes: {}, services: {}, callerLimits: undefined, findings: [] };
    const placements = new Map<string, Placement>();
    output.resources.forEach((resource, index) => {
      const resourceText = textOf(resource);
      const placement = known.get(resourceText) ?? readResource(building.findings, resource, index);
      if (placement) {
        placements.set(resourceText, placement);
        placement(building);
      }
    });
    checkServices(building);
    if (building.findings.length > 0) {
      throw new Failure('malformed_message', building.findings.map(formatFinding).join('; '));
    }
    known = placements;
    const { services, classes, callerLimits } = building;
    const configuration: Configuration = {
      services,
      classes,
      ...(callerLimits && { callerLimits }),
    };
    return { number: output.version, baseNumber: output.base_version, configuration };
  };
};
