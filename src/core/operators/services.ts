/**
 * Services of a class: the one that does its work, or those that share it by weight.
 */
import type { Configuration, TrafficClass, WeightedService } from '../../types/public.js';

type Work = Pick<TrafficClass, 'service' | 'split'>;

/** Services that calls of the class may go to, each once. */
export const servicesOf = ({ service, split }: Work): readonly string[] =>
  split === undefined ? [service] : [...new Set(split.map((part) => part.service))];

const routed = new WeakMap<Configuration, ReadonlySet<string>>();

/** All services that a configuration routes calls to. */
export const routedServices = (configuration: Configuration): ReadonlySet<string> => {
  const known = routed.get(configuration);
  if (known) {
    return known;
  }
  const services = new Set(Object.values(configuration.classes).flatMap(servicesOf));
  routed.set(configuration, services);
  return services;
};

/** Picks a service in proportion to the weights; `position` is a number in [0, 1). */
export const pickService = ({ service, split }: Work, position: number): string => {
  if (split === undefined) {
    return service;
  }
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let left = position * total;
  const found = split.find(({ weight }: WeightedService) => {
    left -= weight;
    return left < 0;
  });
  return found?.service ?? service;
};
