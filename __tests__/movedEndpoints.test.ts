import { after, describe, it } from 'node:test';
import {
  createConfiguration,
  createManualSource,
  createEndpoint,
  findFreePort,
  startControl,
  startNode,
  waitUntil,
} from './support/feedFleet.js';

/** Less than the lease of 10 s after which a control instance removes a node that has moved. */
const withdrawalLimitMs = 5_000;

describe('an endpoint whose node has moved to another control instance', () => {
  const cleanups: (() => Promise<void>)[] = [];
  after(() => Promise.all(cleanups.map((stop) => stop())));

  it('is withdrawn everywhere at once, also where its node was attached before', async () => {
    const firstSource = createManualSource();
    const secondSource = createManualSource();
    firstSource.commit(createConfiguration(['lookup']));
    secondSource.commit(createConfiguration(['lookup']));
    const places = ['first', 'second'].map((name) => ({ name, dataCentre: `dc-${name}` }));
    const members: { name: string; address: string; dataCentre: string }[] = [];
    for (const place of places) {
      members.push({ ...place, address: `127.0.0.1:${await findFreePort()}` });
    }
    const [first, second] = members as [(typeof members)[0], (typeof members)[0]];
    const controls = await Promise.all([
      startControl(first, firstSource, members),
      startControl(second, secondSource, members),
    ]);
    const node = await startNode({ name: 'moving', dataCentre: first.dataCentre }, members);
    cleanups.push(node.stop, ...controls.map(({ stop }) => stop));
    const isKnownBy = (index: number) =>
      (controls[index]!.feed.fleet.inventory().clusters.get('lookup')?.endpoints.length ?? 0) > 0;

    node.feed.announcer.announce(createEndpoint('e', 'lookup'));
    await waitUntil(() => isKnownBy(0) && isKnownBy(1), 'the announcement at both instances');

    // Both instances stay connected, but the node moves away from the one that lags.
    firstSource.setConfirmedAge(60_000);
    secondSource.commit(createConfiguration(['lookup'], 2));
    await waitUntil(() => node.feed.view.queries.current()?.version.index === 2, 'the move');

    node.feed.announcer.withdraw('e');
    await waitUntil(
      () => !isKnownBy(0) && !isKnownBy(1),
      'the withdrawal at both instances',
      withdrawalLimitMs,
    );
  });
});
