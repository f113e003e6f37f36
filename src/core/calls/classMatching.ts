/**
 * Finds the traffic class of a call. The match rules of a configuration are indexed once, by host,
 * method and path prefix; the index is cached for the lifetime of the configuration object.
 */
import type { Configuration, Match, TrafficClass } from '../../types/public.js';

export interface CallShape {
  readonly method: string;
  readonly path: string;
  /** Host that the caller named, in lower case and without a port. */
  readonly host?: string;
  /** Class that the caller named, for example by `x-class`. */
  readonly className?: string;
}

interface RuleIndex {
  /** Distinct lengths of the path prefixes, longest first. */
  readonly lengths: readonly number[];
  readonly classByRule: ReadonlyMap<string, TrafficClass>;
}

const anyMethod = '*';
const anyHost = '';
const indexCache = new WeakMap<Configuration, RuleIndex>();

const ruleKey = (host: string, method: string, pathPrefix: string): string =>
  `${method} ${host}${pathPrefix}`;

/** Canonical text of a match rule: rules with the same text match the same calls. */
export const formatRule = ({
  host = anyHost,
  method = anyMethod,
  pathPrefix = '/',
}: Match): string => ruleKey(host, method, pathPrefix);

interface IndexedRule {
  readonly rule: string;
  readonly length: number;
}

/** Rules by class. Class objects are immutable and shared by successive configurations. */
const ruleCache = new WeakMap<TrafficClass, readonly IndexedRule[]>();

const rulesOf = (trafficClass: TrafficClass): readonly IndexedRule[] => {
  const cached = ruleCache.get(trafficClass);
  if (cached) {
    return cached;
  }
  const rules = trafficClass.match.map((match) => ({
    rule: formatRule(match),
    length: (match.pathPrefix ?? '/').length,
  }));
  ruleCache.set(trafficClass, rules);
  return rules;
};

const buildIndex = (configuration: Configuration): RuleIndex => {
  const classByRule = new Map<string, TrafficClass>();
  const lengths = new Set<number>();
  Object.values(configuration.classes).forEach((trafficClass) =>
    rulesOf(trafficClass).forEach(({ rule, length }) => {
      classByRule.set(rule, trafficClass);
      lengths.add(length);
    }),
  );
  return { lengths: [...lengths].sort((a, b) => b - a), classByRule };
};

const ruleIndexOf = (configuration: Configuration): RuleIndex => {
  const cached = indexCache.get(configuration);
  if (cached) {
    return cached;
  }
  const index = buildIndex(configuration);
  indexCache.set(configuration, index);
  return index;
};

const matchRule = (
  { lengths, classByRule }: RuleIndex,
  host: string,
  method: string,
  path: string,
): TrafficClass | undefined => {
  for (const length of lengths) {
    if (length <= path.length) {
      const prefix = path.slice(0, length);
      const found =
        classByRule.get(ruleKey(host, method, prefix)) ??
        classByRule.get(ruleKey(host, anyMethod, prefix));
      if (found) {
        return found;
      }
    }
  }
  return undefined;
};

/**
 * Returns the class of a call: the class that the caller named, or else the class of the matching
 * rule with the longest path prefix. A rule with a host takes precedence over all rules without
 * one; of two rules with the same prefix, the one with a method takes precedence.
 */
export const matchClass = (
  configuration: Configuration,
  { method, path, host, className }: CallShape,
): TrafficClass | undefined => {
  if (className === undefined) {
    const index = ruleIndexOf(configuration);
    const hostMatch = host === undefined ? undefined : matchRule(index, host, method, path);
    return hostMatch ?? matchRule(index, anyHost, method, path);
  }
  return Object.hasOwn(configuration.classes, className)
    ? configuration.classes[className]
    : undefined;
};
