/**
 * Finds the class of a call. The rules of a configuration are sorted once, and the result is kept
 * as long as the configuration is.
 */
import type { Configuration, TrafficClass } from '../types/public.js';

export interface CallShape {
  readonly method: string;
  readonly path: string;
  readonly className?: string;
}

interface Rule {
  readonly method: string | undefined;
  readonly pathPrefix: string;
  readonly trafficClass: TrafficClass;
}

const rulesByConfiguration = new WeakMap<Configuration, readonly Rule[]>();

const isMoreSpecific = (a: Rule, b: Rule): number =>
  b.pathPrefix.length - a.pathPrefix.length ||
  Number(b.method !== undefined) - Number(a.method !== undefined);

const buildRules = (configuration: Configuration): readonly Rule[] =>
  Object.values(configuration.classes)
    .flatMap((trafficClass) =>
      trafficClass.match.map(({ method, pathPrefix = '/' }) => ({
        method,
        pathPrefix,
        trafficClass,
      })),
    )
    .sort(isMoreSpecific);

const rulesOf = (configuration: Configuration): readonly Rule[] => {
  const known = rulesByConfiguration.get(configuration);
  if (known) {
    return known;
  }
  const rules = buildRules(configuration);
  rulesByConfiguration.set(configuration, rules);
  return rules;
};

/** Class of a call: the named one, else the rule with the longest path, method rules first. */
export const matchClass = (
  configuration: Configuration,
  { method, path, className }: CallShape,
): TrafficClass | undefined => {
  if (className !== undefined) {
    return Object.hasOwn(configuration.classes, className)
      ? configuration.classes[className]
      : undefined;
  }
  return rulesOf(configuration).find(
    (rule) =>
      (rule.method === undefined || rule.method === method) && path.startsWith(rule.pathPrefix),
  )?.trafficClass;
};
