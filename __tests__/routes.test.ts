import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createQuasiRandom } from '../src/core/calls/quasiRandom.js';
import {
  applyDelta,
  decodeDelta,
  diffConfigurations,
  encodeDelta,
} from '../src/core/distribution/delta.js';
import { matchClass, parseTargets } from '../src/core/operators/configuration.js';
import { derivePolicies } from '../src/core/operators/policy.js';
import { pickService, routedServices } from '../src/core/operators/services.js';
import type { Configuration } from '../src/types/public.js';
import { createRandom } from './support/routingFixtures.js';

const parse = (text: string): Configuration => {
  const { configuration, findings } = parseTargets(text, 't.toml');
  assert.deepEqual(findings, []);
  return configuration!;
};

const shop = parse(`
[callers]
max_body_bytes = 1000
idle_timeout = "15s"

[class.orders]
service = "shop"
match = [{ host = "shop.example", path = "/orders/" }]
timeout = "900ms"
attempts = 2

[class.stock]
split = { shop = 90, shop-next = 10 }
match = [{ host = "shop.example", path = "/" }, { path = "/stock/" }]
idempotent = true
`);

describe('routes by host and path prefix', () => {
  it('prefers the longest matching prefix of the host over a shorter one', () => {
    const nameOf = (host: string | undefined, path: string) =>
      matchClass(shop, { method: 'GET', host, path })?.name;
    assert.equal(nameOf('shop.example', '/orders/7'), 'orders');
    assert.equal(nameOf('shop.example', '/ordersX'), 'stock');
    assert.equal(nameOf('other.example', '/stock/7'), 'stock');
    assert.equal(nameOf('other.example', '/orders/7'), undefined);
    assert.equal(nameOf(undefined, '/orders/7'), undefined);
  });

  it('takes timeout and attempts from the class, and routes to all services of a split', () => {
    const { deadlineMs, maxAttempts, service } = derivePolicies(shop).get('orders')!;
    assert.deepEqual([deadlineMs, maxAttempts, service], [900, 2, 'shop']);
    assert.deepEqual([...routedServices(shop)].sort(), ['shop', 'shop-next']);
    assert.equal(derivePolicies(shop).get('stock')!.service, 'shop');
  });

  it('keeps the share of a weighted service within 0.02 of its weight over 200 calls', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const quasiRandom = createQuasiRandom(createRandom(seed));
      const policy = derivePolicies(shop).get('stock')!;
      const picked = Array.from({ length: 200 }, () => pickService(policy, quasiRandom('stock')));
      const share = picked.filter((service) => service === 'shop-next').length / 200;
      assert.ok(Math.abs(share - 0.1) < 0.02, `seed ${seed}: ${share}`);
    }
  });

  it('gives a service of weight 0 no calls', () => {
    const weightedClass = {
      service: 'a',
      split: [
        { service: 'a', weight: 0 },
        { service: 'b', weight: 3 },
      ],
    };
    [0, 0.3, 0.999].forEach((position) => assert.equal(pickService(weightedClass, position), 'b'));
  });

  it('carries caller limits in a delta, also when they are removed', () => {
    const next: Configuration = { services: shop.services, classes: shop.classes };
    [
      [shop, next],
      [next, shop],
    ].forEach(([from, to]) => {
      const delta = diffConfigurations(from!, to!);
      const sent = decodeDelta(encodeDelta(delta), delta.baseDigest, delta.resultDigest);
      assert.deepEqual(applyDelta(from!, sent).callerLimits, to!.callerLimits);
    });
  });

  it('sends only changed entries in a delta and shares the unchanged ones', () => {
    const classes = { ...shop.classes, orders: { ...shop.classes.orders!, maxAttempts: 5 } };
    const delta = diffConfigurations(shop, { ...shop, classes });
    assert.deepEqual(Object.keys(delta.classes.set), ['orders']);
    const sent = decodeDelta(encodeDelta(delta), delta.baseDigest, delta.resultDigest);
    const applied = applyDelta(shop, sent);
    assert.equal(applied.classes.stock, shop.classes.stock);
    assert.equal(applied.classes.orders?.maxAttempts, 5);
  });

  it('rejects a delta that removes a service in use or contains a malformed entry', () => {
    const withoutService = { ...shop, services: { shop: shop.services.shop! } };
    const delta = diffConfigurations(shop, withoutService);
    assert.throws(() => applyDelta(shop, delta), { reason: 'malformed_message' });
    const malformed = { ...delta, services: { set: { shop: { name: 7 } }, removed: [] } };
    assert.throws(() => applyDelta(shop, malformed), { reason: 'malformed_message' });
  });

  it('rejects a class that has both a service and a split, or neither', () => {
    const { findings } = parseTargets(
      '[class.a]\nservice = "s"\nsplit = { s = 1 }\n[class.b]\n[class.c]\nsplit = { s = 0 }\n',
      't.toml',
    );
    assert.deepEqual(
      findings.map(({ place }) => place),
      ['t.toml: class.c.split', 't.toml: class.a.service', 't.toml: class.b.service'],
    );
  });
});
