/**
 * Human-readable difference between two configurations.
 */
import type { Configuration } from '../../types/public.js';

const flatten = (configuration: Configuration): Map<string, string> => {
  const lines = new Map<string, string>();
  const add = (kind: string, items: Readonly<Record<string, object>>) =>
    Object.entries(items).forEach(([item, fields]) =>
      Object.entries(fields).forEach(([key, value]) =>
        lines.set(`${kind}.${item}.${key}`, JSON.stringify(value)),
      ),
    );
  add('service', configuration.services);
  add('class', configuration.classes);
  add('drain', configuration.drains ?? {});
  add('tenant', configuration.tenants ?? {});
  add('rollout', configuration.rollouts ?? {});
  const { callerLimits } = configuration;
  add('callers', callerLimits ? { limits: callerLimits } : {});
  return lines;
};

/** One line for each value that differs: `+ key = value`, `- key = value` or `~ key: a -> b`. */
export const diffLines = (base: Configuration, next: Configuration): string[] => {
  const before = flatten(base);
  const after = flatten(next);
  const keys = [...new Set([...before.keys(), ...after.keys()])].sort();
  return keys.flatMap((key) => {
    const [from, to] = [before.get(key), after.get(key)];
    if (from === to) {
      return [];
    }
    if (from === undefined) {
      return [`+ ${key} = ${to}`];
    }
    return to === undefined ? [`- ${key} = ${from}`] : [`~ ${key}: ${from} -> ${to}`];
  });
};
