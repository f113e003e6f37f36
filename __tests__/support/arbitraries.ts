import fc from 'fast-check';
import type { Configuration, Service, TrafficClass } from '../../src/types/public.js';

/** Seed of all property tests; fast-check prints it with a counterexample. */
export const propertySeed = 20_261_204;

/** Checks a property with the fixed seed. */
export const checkProperty = <Ts>(property: fc.IProperty<Ts>, numRuns = 200): void =>
  fc.assert(property, { seed: propertySeed, numRuns });

const nameArbitrary = fc.stringMatching(/^[a-z0-9][a-z0-9-]{0,8}$/);

const trafficClassArbitrary = (name: string, services: string[]): fc.Arbitrary<TrafficClass> =>
  fc
    .record(
      {
        service: fc.constantFrom(...services),
        match: fc.array(
          fc.record(
            {
              method: fc.constantFrom('GET', 'POST'),
              pathPrefix: fc.stringMatching(/^\/[a-z/]{0,4}$/),
            },
            { requiredKeys: [], noNullPrototype: true },
          ),
          { maxLength: 3 },
        ),
        answerWithinMs: fc.integer({ min: 1, max: 60_000 }),
        share: fc.double({ min: 0.01, max: 1, noNaN: true }),
        atMostOnce: fc.boolean(),
        idempotent: fc.boolean(),
        mayWaitMs: fc.integer({ min: 0, max: 60_000 }),
        availability: fc.double({ min: 0.01, max: 1, noNaN: true }),
        importance: fc.integer({ min: 1, max: 100 }),
        ratePerSecond: fc.integer({ min: 1, max: 1_000 }),
        workMs: fc.integer({ min: 0, max: 1_000 }),
      },
      {
        noNullPrototype: true,
        requiredKeys: [
          'service',
          'match',
          'share',
          'atMostOnce',
          'idempotent',
          'mayWaitMs',
          'availability',
          'importance',
        ],
      },
    )
    .map((fields) => ({ name, ...fields }));

export const configurationArbitrary: fc.Arbitrary<Configuration> = fc
  .tuple(
    fc.uniqueArray(nameArbitrary, { minLength: 1, maxLength: 4 }),
    fc.uniqueArray(nameArbitrary, { maxLength: 5 }),
  )
  .chain(([services, classes]) =>
    fc.record(
      {
        services: fc
          .tuple(
            ...services.map((name) =>
              fc.boolean().map((expected): [string, Service] => [name, { name, expected }]),
            ),
          )
          .map(Object.fromEntries),
        classes: fc
          .tuple(...classes.map((name) => trafficClassArbitrary(name, services)))
          .map((items) => Object.fromEntries(items.map((item) => [item.name, item]))),
      },
      { noNullPrototype: true },
    ),
  );
