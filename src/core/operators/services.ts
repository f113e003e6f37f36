/**
 * Services of a class: one service, or several that share its calls by weight.
 */
import type { Configuration, TrafficClass, WeightedService } from '../../types/public.js';

type RoutedClass = Pick<TrafficClass, 'service' | 'split'>;

/** Services that calls of the class may be routed to, without duplicates. */
export const servicesOf = ({ service, split }: RoutedClass): readonly string[] =>
  split === undefined ? [service] : [...new Set(split.map((part) => part.service))];

const servicesByConfiguration = new WeakMap<Configuration, ReadonlySet<string>>();

/** All services that a configuration routes calls to. */
export const routedServices = (configuration: Configuration): ReadonlySet<string> => {
  const cached = servicesByConfiguration.get(configuration);
  if (cached) {
    return cached;
  }
  const services = new Set(Object.values(configuration.classes).flatMap(servicesOf));
  servicesByConfiguration.set(configuration, services);
  return services;
};

/** Picks a service in proportion to the weights. `position` is a number in [0, 1). */
export const pickService = ({ service, split }: RoutedClass, position: number): string => {
  if (split === undefined) {
    return service;
  }
  const total = split.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = position * total;
  const picked = split.find(({ weight }: WeightedService) => {
    remaining -= weight;
    return remaining < 0;
  });
  return picked?.service ?? service;
};
