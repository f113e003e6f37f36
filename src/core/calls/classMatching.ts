/**
 * Finds the class of a call. The rules of a configuration are indexed once, by method and path
 * prefix, and the index lives as long as the configuration object.
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
  /** Lengths of the path prefixes in use, longest first. */
  readonly lengths: readonly number[];
  readonly classByRule: ReadonlyMap<string, TrafficClass>;
}

const anyMethod = '*';
const anyHost = '';
const indexes = new WeakMap<Configuration, RuleIndex>();

const ruleKey = (host: string, method: string, pathPrefix: string): string =>
  `${method} ${host}${pathPrefix}`;

/** Text form of a rule. Two rules with the same text match the same calls. */
export const formatRule = ({
  host = anyHost,
  method = anyMethod,
  pathPrefix = '/',
}: Match): string => ruleKey(host, method, pathPrefix);

interface IndexedRule {
  readonly rule: string;
  readonly length: number;
}

/** Rules by class: classes are shared by successive configurations and never change. */
const knownRules = new WeakMap<TrafficClass, readonly IndexedRule[]>();

const rulesOf = (trafficClass: TrafficClass): readonly IndexedRule[] => {
  const known = knownRules.get(trafficClass);
  if (known) {
    return known;
  }
  const rules = trafficClass.match.map((match) => ({
    rule: formatRule(match),
    length: (match.pathPrefix ?? '/').length,
  }));
  knownRules.set(trafficClass, rules);
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

const indexOf = (configuration: Configuration): RuleIndex => {
  const known = indexes.get(configuration);
  if (known) {
    return known;
  }
  const index = buildIndex(configuration);
  indexes.set(configuration, index);
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
 * Class of a call: the class that the caller named, else the rule with the longest path prefix. A
 * rule with a host goes before all rules without one, and of two rules with the same prefix the one
 * with a method wins.
 */
export const matchClass = (
  configuration: Configuration,
  { method, path, host, className }: CallShape,
): TrafficClass | undefined => {
  if (className === undefined) {
    const index = indexOf(configuration);
    const ofHost = host === undefined ? undefined : matchRule(index, host, method, path);
    return ofHost ?? matchRule(index, anyHost, method, path);
  }
  return Object.hasOwn(configuration.classes, className)
    ? configuration.classes[className]
    : undefined;
};
