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
import { createRandom } from './support/fleet.js';

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
  it('prefers the longest prefix of the named host, so that a shorter one does not hide it', () => {
    const nameOf = (host: string | undefined, path: string) =>
      matchClass(shop, { method: 'GET', host, path })?.name;
    assert.equal(nameOf('shop.example', '/orders/7'), 'orders');
    assert.equal(nameOf('shop.example', '/ordersX'), 'stock');
    assert.equal(nameOf('other.example', '/stock/7'), 'stock');
    assert.equal(nameOf('other.example', '/orders/7'), undefined);
    assert.equal(nameOf(undefined, '/orders/7'), undefined);
  });

  it('takes timeout and attempts from the class, and all services of a split', () => {
    const { deadlineMs, maxAttempts, service } = derivePolicies(shop).get('orders')!;
    assert.deepEqual([deadlineMs, maxAttempts, service], [900, 2, 'shop']);
    assert.deepEqual([...routedServices(shop)].sort(), ['shop', 'shop-next']);
    assert.equal(derivePolicies(shop).get('stock')!.service, 'shop');
  });

  it('keeps the share of each weighted service within a tenth over 200 calls', () => {
    for (let seed = 1; seed <= 20; seed += 1) {
      const spread = createQuasiRandom(createRandom(seed));
      const policy = derivePolicies(shop).get('stock')!;
      const picked = Array.from({ length: 200 }, () => pickService(policy, spread('stock')));
      const share = picked.filter((service) => service === 'shop-next').length / 200;
      assert.ok(Math.abs(share - 0.1) < 0.02, `seed ${seed}: ${share}`);
    }
  });

  it('gives a service of weight 0 no calls', () => {
    const work = {
      service: 'a',
      split: [
        { service: 'a', weight: 0 },
        { service: 'b', weight: 3 },
      ],
    };
    [0, 0.3, 0.999].forEach((position) => assert.equal(pickService(work, position), 'b'));
  });

  it('carries the limits of callers in a delta, also when they are taken away', () => {
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

  it('shares the unchanged entries of successive configurations, which are written once', () => {
    const classes = { ...shop.classes, orders: { ...shop.classes.orders!, maxAttempts: 5 } };
    const delta = diffConfigurations(shop, { ...shop, classes });
    assert.deepEqual(Object.keys(delta.classes.set), ['orders']);
    const sent = decodeDelta(encodeDelta(delta), delta.baseDigest, delta.resultDigest);
    const applied = applyDelta(shop, sent);
    assert.equal(applied.classes.stock, shop.classes.stock);
    assert.equal(applied.classes.orders?.maxAttempts, 5);
  });

  it('refuses a delta that takes away a service in use, or sets an entry of another form', () => {
    const withoutService = { ...shop, services: { shop: shop.services.shop! } };
    const delta = diffConfigurations(shop, withoutService);
    assert.throws(() => applyDelta(shop, delta), { reason: 'malformed_message' });
    const malformed = { ...delta, services: { set: { shop: { name: 7 } }, removed: [] } };
    assert.throws(() => applyDelta(shop, malformed), { reason: 'malformed_message' });
  });

  it('refuses a class that names both a service and a split, or neither', () => {
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
