import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import fc from 'fast-check';
import {
  checkConfiguration,
  decodeConfiguration,
  diffLines,
  digestConfiguration,
  encodeConfiguration,
  matchClass,
  maxTargetBytes,
  parseTargets,
} from '../src/core/operators/configuration.js';
import { configurationSchema } from '../src/core/operators/configurationCodec.js';
import { isConfiguration } from '../src/core/operators/configurationGuards.js';
import { Failure } from '../src/utils/failure.js';
import type { Inventory } from '../src/types/internal.js';
import type { Configuration, Endpoint } from '../src/types/public.js';
import { checkProperty, configurationArbitrary } from './support/arbitraries.js';

const targets = `
[service.routedienst]
expected = true
[class.field-lookup]
service = "routedienst"
match = [{ method = "GET", path = "/lookup" }, { path = "/look" }]
answer_within = "250ms"
idempotent = true
importance = 80
rate = 200
work = "15ms"
[class.pole-count]
service = "routedienst"
match = [{ method = "GET", path = "/" }]
may_wait = "1m"
`;

const parse = (text: string): Configuration => {
  const { configuration, findings } = parseTargets(text, 'targets.toml');
  assert.deepEqual(findings, []);
  assert.ok(configuration);
  return configuration;
};

const endpoint = (id: string, dataCentre: string, slots: number): Endpoint => ({
  id,
  service: 'routedienst',
  dataCentre,
  region: 'r',
  address: '127.0.0.1:1',
  forwardAddress: '127.0.0.1:2',
  slots,
  connections: 100,
  state: 'ready',
  incarnation: 1,
  sequence: 1,
  node: id,
});

const inventoryOf = (endpoints: Endpoint[]): Inventory => ({
  clusters: new Map([['routedienst', { service: 'routedienst', endpoints }]]),
  delayMs: () => 1.5,
  dataCentres: ['a', 'b'],
});

const twoEndpoints = inventoryOf([endpoint('1', 'a', 10), endpoint('2', 'a', 10)]);

const findingsFor = (lines: string, inventory = twoEndpoints) =>
  checkConfiguration(parse(`[class.c]\nservice = "routedienst"\n${lines}`), inventory);

describe('configuration', () => {
  it('parses targets with durations and defaults', () => {
    const { classes, services } = parse(targets);
    assert.equal(classes['field-lookup']?.answerWithinMs, 250);
    assert.equal(classes['field-lookup']?.workMs, 15);
    assert.equal(classes['pole-count']?.mayWaitMs, 60_000);
    assert.equal(classes['pole-count']?.answerWithinMs, undefined);
    assert.equal(services.routedienst?.expected, true);
  });

  it('reports all problems of a file together, each with its key path', () => {
    const text = '[class.a]\nservice = 3\nanswer_within = "fast"\nlimit = 9\n[class.B]\n';
    const { configuration, findings } = parseTargets(text, 't.toml');
    assert.equal(configuration, undefined);
    assert.deepEqual(findings.map(({ place }) => place).sort(), [
      't.toml: class.B',
      't.toml: class.a.answer_within',
      't.toml: class.a.limit',
      't.toml: class.a.service',
    ]);
    const duration = findings.find(({ place }) => place.endsWith('answer_within'));
    assert.equal(duration?.found, '"fast"');
    assert.match(duration?.allowed ?? '', /250ms/);
  });

  it('rejects a text above the size limit before parsing it', () => {
    const { findings } = parseTargets('#'.repeat(maxTargetBytes + 1), 't.toml');
    assert.equal(findings[0]?.message, 'too large');
  });

  it('reports keys that are nested too deeply instead of overflowing the stack', () => {
    [`a${'.a'.repeat(100_000)} = 1`, `[${'a.'.repeat(100_000)}a]`].forEach((text) => {
      assert.equal(parseTargets(text, 't.toml').findings.length, 1);
    });
  });

  it('never throws while parsing, whatever the text', () => {
    const randomText = fc.string({ unit: 'binary', maxLength: 200 });
    const line = fc.tuple(fc.constantFrom(...targets.split('\n'), '__proto__ = 1'), randomText);
    const mutated = fc.array(line.map(([text, end]) => text + end.slice(0, 3)));
    checkProperty(
      fc.property(
        fc.oneof(
          randomText,
          mutated.map((lines) => lines.join('\n')),
        ),
        (text) => {
          const { configuration, findings } = parseTargets(text, 't');
          assert.equal(configuration === undefined, findings.length > 0);
        },
      ),
      1_000,
    );
  });

  it('preserves a configuration through encode and decode, independent of key order', () => {
    checkProperty(
      fc.property(configurationArbitrary, (configuration) => {
        const bytes = encodeConfiguration(configuration);
        const decoded = decodeConfiguration(bytes);
        assert.deepEqual(decoded, configuration);
        const reversed = {
          classes: Object.fromEntries(Object.entries(configuration.classes).reverse()),
          services: Object.fromEntries(Object.entries(configuration.services).reverse()),
        };
        assert.deepEqual(encodeConfiguration(reversed), bytes);
        assert.deepEqual(digestConfiguration(decoded), digestConfiguration(configuration));
      }),
    );
  });

  it('gives different digests and diff lines to different configurations', () => {
    checkProperty(
      fc.property(configurationArbitrary, configurationArbitrary, (a, b) => {
        const isSame = Buffer.compare(encodeConfiguration(a), encodeConfiguration(b)) === 0;
        assert.equal(Buffer.compare(digestConfiguration(a), digestConfiguration(b)) === 0, isSame);
        assert.equal(diffLines(a, b).length === 0, isSame);
      }),
    );
  });

  it('throws a Failure for bytes that are not a configuration', () => {
    const isFailure = (error: unknown) =>
      error instanceof Failure && error.reason === 'malformed_message';
    const { classes } = parse(targets);
    const renamed = { services: {}, classes: { x: classes['pole-count'] } };
    const texts = ['', '{}', '[]', '{"services":{},"classes":{"a":{}}}', JSON.stringify(renamed)];
    texts.forEach((text) => {
      assert.throws(() => decodeConfiguration(Buffer.from(text)), isFailure, text);
    });
    checkProperty(
      fc.property(
        fc.oneof(
          fc.uint8Array(),
          fc.json().map((text) => Buffer.from(text)),
        ),
        (bytes) => {
          assert.throws(() => decodeConfiguration(bytes), isFailure);
        },
      ),
    );
  });

  it('matches by class name, longest path and method', () => {
    const configuration = parse(targets);
    const name = (method: string, path: string, className?: string) =>
      matchClass(configuration, { method, path, className })?.name;
    assert.equal(name('GET', '/lookup/7'), 'field-lookup');
    assert.equal(name('POST', '/lookup/7'), 'field-lookup');
    assert.equal(name('GET', '/count'), 'pole-count');
    assert.equal(name('POST', '/count'), undefined);
    assert.equal(name('POST', '/', 'pole-count'), 'pole-count');
    assert.equal(name('GET', '/', 'constructor'), undefined);
  });

  it('accepts targets that can be met', () => {
    assert.deepEqual(checkConfiguration(parse(targets), twoEndpoints), []);
    assert.deepEqual(checkConfiguration(parse(targets), inventoryOf([])), []);
  });

  it('rejects a class whose service has no endpoint and is not expected', () => {
    const [finding] = findingsFor('', inventoryOf([]));
    assert.equal(finding?.place, 'class.c.service');
  });

  it('rejects targets that contradict each other', () => {
    const findings = findingsFor(
      'at_most_once = true\nidempotent = true\nanswer_within = "1s"\nmay_wait = "2s"',
    );
    assert.deepEqual(
      findings.map(({ place }) => place),
      ['class.c.at_most_once', 'class.c.may_wait'],
    );
  });

  it('rejects two classes that match the same calls', () => {
    const text = targets.replace('{ path = "/look" }', '{ method = "GET", path = "/" }');
    const [finding] = checkConfiguration(parse(text), twoEndpoints);
    assert.equal(finding?.place, 'class.pole-count.match.0');
    assert.equal(finding?.found, 'GET /');
  });

  it('rejects a time below two network trips plus work, and states the calculation', () => {
    assert.deepEqual(findingsFor('answer_within = "18ms"\nwork = "15ms"'), []);
    const [finding] = findingsFor('answer_within = "17ms"\nwork = "15ms"');
    assert.equal(
      finding?.message,
      'cannot be met: two network trips from b to a (2 * 1.5 ms) and 15 ms of work take 18 ms',
    );
  });

  it('rejects rates times work above the slots, summed over all classes of the service', () => {
    assert.deepEqual(findingsFor('rate = 200\nwork = "100ms"'), []);
    const [finding] = findingsFor('rate = 201\nwork = "100ms"');
    assert.match(finding?.message ?? '', /201\/s \* 0.1 s = 20.1/);
    // An expected service may still be starting, so its slots are not compared.
    const both = parse(`${targets.replace('expected = true', '')}rate = 18\nwork = "1s"`);
    assert.equal(checkConfiguration(both, twoEndpoints)[0]?.place, 'service.routedienst');
  });

  it('rejects an availability that the endpoints cannot reach', () => {
    assert.deepEqual(findingsFor('idempotent = true\navailability = 0.99999'), []);
    assert.match(
      findingsFor('availability = 0.999999')[0]?.message ?? '',
      /0\.001 \^ 2 - 0\.00001/,
    );
    const single = inventoryOf([endpoint('1', 'a', 10)]);
    assert.equal(findingsFor('availability = 0.9999', single).length, 1);
  });

  it('does not reject a change while endpoints of an expected service are still starting', () => {
    const text = `[service.routedienst]\nexpected = true\n[class.c]\nservice = "routedienst"\navailability = 0.9999`;
    const single = inventoryOf([endpoint('1', 'a', 10)]);
    assert.deepEqual(checkConfiguration(parse(text), single), []);
    const [finding] = checkConfiguration(
      parse(`${text}\nanswer_within = "10ms"\nwork = "15ms"`),
      single,
    );
    assert.match(finding?.message ?? '', /15 ms of work/);
  });

  it('does not reject a change because of a target that it does not modify', () => {
    const single = inventoryOf([endpoint('1', 'a', 10)]);
    const base = parse('[class.c]\nservice = "routedienst"\navailability = 0.9999');
    const next = parse(
      '[class.c]\nservice = "routedienst"\navailability = 0.9999\n[class.d]\nservice = "routedienst"\nmatch = [{ path = "/d" }]\navailability = 0.9',
    );
    assert.equal(checkConfiguration(next, single).length, 1);
    assert.deepEqual(checkConfiguration(next, single, base), []);
  });
});

describe('fast check of a decoded configuration', () => {
  interface Position {
    readonly parent: Record<string, unknown>;
    readonly key: string;
  }

  const positionsIn = (value: unknown): Position[] => {
    if (typeof value !== 'object' || value === null) {
      return [];
    }
    const parent = value as Record<string, unknown>;
    return Object.keys(parent).flatMap((key) => {
      // Lists keep their length: JSON has no list with a gap or with a named field.
      const inner = positionsIn(parent[key]);
      return Array.isArray(parent) ? inner : [{ parent, key }, ...inner];
    });
  };

  const mutations: Readonly<Record<string, (position: Position, other: unknown) => void>> = {
    replace: ({ parent, key }, other) => {
      parent[key] = other;
    },
    remove: ({ parent, key }) => {
      delete parent[key];
    },
    add: ({ parent }, other) => {
      parent.added = other;
    },
    rename: ({ parent, key }) => {
      parent[`${key}x`] = parent[key];
      delete parent[key];
    },
  };

  const otherValue = fc.oneof(
    fc.constantFrom(-1, 0, 0.5, 1, 101, Infinity, 2 ** 60, '', 'A', 'a-b', null, true, [], {}),
    fc.jsonValue({ maxDepth: 1 }),
  );

  it('accepts every valid configuration', () => {
    checkProperty(
      fc.property(configurationArbitrary, (configuration) => {
        const decoded: unknown = JSON.parse(
          new TextDecoder().decode(encodeConfiguration(configuration)),
        );
        assert.equal(isConfiguration(decoded), true);
      }),
    );
  });

  // Guards against a check that lets a configuration pass which the schemas reject or change.
  it('accepts nothing that the schemas reject', () => {
    let accepted = 0;
    let rejected = 0;
    checkProperty(
      fc.property(
        configurationArbitrary,
        fc.constantFrom(...Object.keys(mutations)),
        fc.nat(),
        otherValue,
        (configuration, mutation, index, other) => {
          const decoded: unknown = JSON.parse(
            new TextDecoder().decode(encodeConfiguration(configuration)),
          );
          const positions = positionsIn(decoded);
          mutations[mutation]!(positions[index % positions.length]!, other);
          const result = configurationSchema.safeParse(decoded);
          if (isConfiguration(decoded)) {
            accepted += 1;
            assert.deepEqual(result.data, decoded);
          } else {
            rejected += 1;
          }
        },
      ),
      3_000,
    );
    assert.ok(accepted > 100 && rejected > 1_000, `${accepted} accepted, ${rejected} rejected`);
  });
});
