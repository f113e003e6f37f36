/**
 * Checks of a configuration against the fleet: targets that name nothing, contradict each other or
 * cannot be met. Each finding carries its arithmetic.
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

const round = (value: number): string => String(Number(value.toPrecision(6)));

const checkRepeats: ClassCheck = (trafficClass) =>
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

const checkWaiting: ClassCheck = (trafficClass) => {
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

const checkTime: ClassCheck = (trafficClass, inventory) => {
  const { answerWithinMs, workMs = 0, service } = trafficClass;
  const distance = longestDistance(inventory, readyEndpoints(inventory, service));
  const tripsMs = 2 * (distance?.delayMs ?? 0);
  if (answerWithinMs === undefined || tripsMs + workMs <= answerWithinMs) {
    return [];
  }
  const trips = distance
    ? ` from ${distance.from} to ${distance.to} (2 * ${round(distance.delayMs)} ms)`
    : '';
  return [
    {
      place: placeOf(trafficClass, 'answer_within'),
      message:
        `cannot be met: two network trips${trips} and ${round(workMs)} ms of work ` +
        `take ${round(tripsMs + workMs)} ms`,
      found: formatDuration(answerWithinMs),
      allowed: `${round(tripsMs + workMs)} ms or more`,
    },
  ];
};

const checkAvailability: ClassCheck = (trafficClass, inventory) => {
  const endpoints = readyEndpoints(inventory, trafficClass.service);
  const attainable = attainableAvailability(trafficClass, endpoints);
  if (endpoints.length === 0 || trafficClass.availability <= attainable) {
    return [];
  }
  const loss = trafficClass.idempotent
    ? ''
    : ` - ${nonRetryableShare} for calls in flight that cannot be repeated`;
  return [
    {
      place: placeOf(trafficClass, 'availability'),
      message:
        `cannot be met by ${endpoints.length} endpoint(s): ` +
        `1 - ${endpointUnavailability} ^ ${endpoints.length}${loss} = ${attainable}`,
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

const checkRules = (configuration: Configuration): Finding[] => {
  const ownerByRule = new Map<string, string>();
  return Object.values(configuration.classes).flatMap((trafficClass) =>
    trafficClass.match.flatMap((match, index) => {
      const rule = formatRule(match);
      const owner = ownerByRule.get(rule);
      ownerByRule.set(rule, owner ?? trafficClass.name);
      return owner === undefined
        ? []
        : [
            {
              place: placeOf(trafficClass, `match.${index}`),
              message: `matches the same calls as class.${owner}`,
              found: rule,
              allowed: 'each method and path once over all classes',
            },
          ];
    }),
  );
};

type ServiceChoice = (service: string) => boolean;

/** The classes of one service together must not need more slots than its endpoints have. */
const checkSlots = (
  configuration: Configuration,
  inventory: Inventory,
  isChecked: ServiceChoice,
): Finding[] =>
  Object.keys(configuration.services)
    .filter(isChecked)
    .flatMap((service) => {
      const slots = totalSlots(readyEndpoints(inventory, service));
      const needs = Object.values(configuration.classes)
        .filter((trafficClass) => trafficClass.service === service)
        .flatMap((trafficClass) => {
          const inUse = slotsInUse(trafficClass);
          return inUse === undefined ? [] : [{ trafficClass, inUse }];
        });
      const total = needs.reduce((sum, { inUse }) => sum + inUse, 0);
      if (slots === 0 || total <= slots) {
        return [];
      }
      const terms = needs.map(
        ({ trafficClass: { name, ratePerSecond = 0, workMs = 0 }, inUse }) =>
          `${name}: ${round(ratePerSecond)}/s * ${round(workMs / 1_000)} s = ${round(inUse)}`,
      );
      return [
        {
          place:
            needs.length === 1 ? `class.${needs[0]?.trafficClass.name}.rate` : `service.${service}`,
          message: `needs more slots than ${service} has (rate * work): ${terms.join(', ')}`,
          found: `${round(total)} slots`,
          allowed: `${slots} slots at most`,
        },
      ];
    });

const isSame = (trafficClass: TrafficClass, base: Configuration | undefined): boolean =>
  isDeepStrictEqual(trafficClass, base?.classes[trafficClass.name]);

/**
 * Checks a configuration against the fleet. No finding means that it can be put in force.
 *
 * Targets are compared with the endpoints that are there now only where the change touches them and
 * the service is not `expected`: a target that became unreachable because endpoints failed must not
 * block a change of another one, and an expected service may still be starting.
 */
export const checkConfiguration = (
  configuration: Configuration,
  inventory: Inventory,
  base?: Configuration,
): Finding[] => {
  const changed = Object.values(configuration.classes).filter(
    (trafficClass) => !isSame(trafficClass, base),
  );
  const isExpected: ServiceChoice = (service) => configuration.services[service]?.expected ?? false;
  const isMeasured: ServiceChoice = (service) =>
    !isExpected(service) && changed.some((trafficClass) => trafficClass.service === service);
  const withoutEndpoints: Inventory = { ...inventory, clusters: new Map() };
  const measure = (trafficClass: TrafficClass): Finding[] => {
    const known = isExpected(trafficClass.service) ? withoutEndpoints : inventory;
    return [checkTime, checkAvailability].flatMap((check) => check(trafficClass, known));
  };
  const checks = [checkService(configuration, inventory), checkRepeats, checkWaiting];
  return [
    ...changed.flatMap((trafficClass) => checks.flatMap((check) => check(trafficClass, inventory))),
    ...changed.flatMap(measure),
    ...checkRules(configuration),
    ...checkSlots(configuration, inventory, isMeasured),
  ];
};
