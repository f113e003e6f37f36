/**
 * Checks of a configuration against the fleet. They find targets that name unknown services,
 * contradict each other or cannot be met; each finding states the calculation behind it.
 */
import { isDeepStrictEqual } from 'node:util';
import type { Inventory } from '../../types/internal.js';
import type { Configuration, Finding, TrafficClass } from '../../types/public.js';
import {
  attainableAvailability,
  endpointUnavailability,
  longestDistance,
  readyEndpoints,
  slotsInUse,
  totalSlots,
  nonRetryableShare,
} from './capacity.js';
import { formatRule } from '../calls/classMatching.js';
import { formatDuration } from './durations.js';

type ClassCheck = (trafficClass: TrafficClass, inventory: Inventory) => Finding[];

const placeOf = ({ name }: TrafficClass, key: string): string => `class.${name}.${key}`;

const formatNumber = (value: number): string => String(Number(value.toPrecision(6)));

const checkIdempotency: ClassCheck = (trafficClass) =>
  trafficClass.atMostOnce && trafficClass.idempotent
    ? [
        {
          place: placeOf(trafficClass, 'at_most_once'),
          message: 'contradicts idempotent = true: an idempotent call may run twice',
          found: 'at_most_once = true, idempotent = true',
          allowed: 'one of them',
        },
      ]
    : [];

const checkMaxWait: ClassCheck = (trafficClass) => {
  const { answerWithinMs, mayWaitMs } = trafficClass;
  return answerWithinMs !== undefined && mayWaitMs >= answerWithinMs && mayWaitMs > 0
    ? [
        {
          place: placeOf(trafficClass, 'may_wait'),
          message: 'contradicts answer_within: a call that waits this long is late',
          found: `may_wait = ${formatDuration(mayWaitMs)}`,
          allowed: `less than answer_within, ${formatDuration(answerWithinMs)}`,
        },
      ]
    : [];
};

const checkLatency: ClassCheck = (trafficClass, inventory) => {
  const { answerWithinMs, workMs = 0, service } = trafficClass;
  const distance = longestDistance(inventory, readyEndpoints(inventory, service));
  const roundTripMs = 2 * (distance?.delayMs ?? 0);
  if (answerWithinMs === undefined || roundTripMs + workMs <= answerWithinMs) {
    return [];
  }
  const route = distance
    ? ` from ${distance.from} to ${distance.to} (2 * ${formatNumber(distance.delayMs)} ms)`
    : '';
  return [
    {
      place: placeOf(trafficClass, 'answer_within'),
      message:
        `cannot be met: two network trips${route} and ${formatNumber(workMs)} ms of work ` +
        `take ${formatNumber(roundTripMs + workMs)} ms`,
      found: formatDuration(answerWithinMs),
      allowed: `${formatNumber(roundTripMs + workMs)} ms or more`,
    },
  ];
};

const checkAvailability: ClassCheck = (trafficClass, inventory) => {
  const endpoints = readyEndpoints(inventory, trafficClass.service);
  const attainable = attainableAvailability(trafficClass, endpoints);
  if (endpoints.length === 0 || trafficClass.availability <= attainable) {
    return [];
  }
  const lossTerm = trafficClass.idempotent
    ? ''
    : ` - ${nonRetryableShare} for calls in flight that cannot be retried`;
  return [
    {
      place: placeOf(trafficClass, 'availability'),
      message:
        `cannot be met by ${endpoints.length} endpoint(s): ` +
        `1 - ${endpointUnavailability} ^ ${endpoints.length}${lossTerm} = ${attainable}`,
      found: String(trafficClass.availability),
      allowed: `${attainable} at most`,
    },
  ];
};

const checkService = (configuration: Configuration, inventory: Inventory): ClassCheck => {
  const isKnown = (service: string) =>
    (Object.hasOwn(configuration.services, service) && configuration.services[service]?.expected) ||
    (inventory.clusters.get(service)?.endpoints.length ?? 0) > 0;
  return (trafficClass) =>
    isKnown(trafficClass.service)
      ? []
      : [
          {
            place: placeOf(trafficClass, 'service'),
            message: 'names a service that has announced no endpoint',
            found: JSON.stringify(trafficClass.service),
            allowed: `a service with endpoints, or expected = true in service.${trafficClass.service}`,
          },
        ];
};

const checkDuplicateRules = (configuration: Configuration): Finding[] => {
  const classByRule = new Map<string, string>();
  return Object.values(configuration.classes).flatMap((trafficClass) =>
    trafficClass.match.flatMap((match, index) => {
      const rule = formatRule(match);
      const firstClass = classByRule.get(rule);
      classByRule.set(rule, firstClass ?? trafficClass.name);
      return firstClass === undefined
        ? []
        : [
            {
              place: placeOf(trafficClass, `match.${index}`),
              message: `matches the same calls as class.${firstClass}`,
              found: rule,
              allowed: 'each method and path once over all classes',
            },
          ];
    }),
  );
};

type ServicePredicate = (service: string) => boolean;

/** All classes of a service together must not need more slots than its endpoints have. */
const checkSlots = (
  configuration: Configuration,
  inventory: Inventory,
  isChecked: ServicePredicate,
): Finding[] =>
  Object.keys(configuration.services)
    .filter(isChecked)
    .flatMap((service) => {
      const slots = totalSlots(readyEndpoints(inventory, service));
      const demands = Object.values(configuration.classes)
        .filter((trafficClass) => trafficClass.service === service)
        .flatMap((trafficClass) => {
          const inUse = slotsInUse(trafficClass);
          return inUse === undefined ? [] : [{ trafficClass, inUse }];
        });
      const total = demands.reduce((sum, { inUse }) => sum + inUse, 0);
      if (slots === 0 || total <= slots) {
        return [];
      }
      const terms = demands.map(
        ({ trafficClass: { name, ratePerSecond = 0, workMs = 0 }, inUse }) =>
          `${name}: ${formatNumber(ratePerSecond)}/s * ${formatNumber(workMs / 1_000)} s = ${formatNumber(inUse)}`,
      );
      return [
        {
          place:
            demands.length === 1
              ? `class.${demands[0]?.trafficClass.name}.rate`
              : `service.${service}`,
          message: `needs more slots than ${service} has (rate * work): ${terms.join(', ')}`,
          found: `${formatNumber(total)} slots`,
          allowed: `${slots} slots at most`,
        },
      ];
    });

const isUnchanged = (trafficClass: TrafficClass, base: Configuration | undefined): boolean =>
  isDeepStrictEqual(trafficClass, base?.classes[trafficClass.name]);

/**
 * Checks a configuration against the fleet. It can be put in force if there are no findings.
 *
 * A target is compared with the current endpoints only if the change modifies its class and the
 * service is not `expected`: a target that can no longer be met because endpoints failed must not
 * block changes of other targets, and an expected service may still be starting.
 */
export const checkConfiguration = (
  configuration: Configuration,
  inventory: Inventory,
  base?: Configuration,
): Finding[] => {
  const changed = Object.values(configuration.classes).filter(
    (trafficClass) => !isUnchanged(trafficClass, base),
  );
  const isExpected: ServicePredicate = (service) =>
    configuration.services[service]?.expected ?? false;
  const needsSlotCheck: ServicePredicate = (service) =>
    !isExpected(service) && changed.some((trafficClass) => trafficClass.service === service);
  const withoutEndpoints: Inventory = { ...inventory, clusters: new Map() };
  const checkAgainstEndpoints = (trafficClass: TrafficClass): Finding[] => {
    const comparedInventory = isExpected(trafficClass.service) ? withoutEndpoints : inventory;
    return [checkLatency, checkAvailability].flatMap((check) =>
      check(trafficClass, comparedInventory),
    );
  };
  const checks = [checkService(configuration, inventory), checkIdempotency, checkMaxWait];
  return [
    ...changed.flatMap((trafficClass) => checks.flatMap((check) => check(trafficClass, inventory))),
    ...changed.flatMap(checkAgainstEndpoints),
    ...checkDuplicateRules(configuration),
    ...checkSlots(configuration, inventory, needsSlotCheck),
  ];
};
