import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  createConfiguration,
  createEndpoint,
  createManualSource,
  findFreeAddress,
  startControl,
  startNode,
  waitUntil,
  type RunningFeed,
} from './support/feedFleet.js';
import type { NodeFeed } from '../src/plugins/distribution/nodeFeed.js';
import { startFaultProxy } from './support/faultProxy.js';

const endpointIdsOf = (node: RunningFeed<NodeFeed>): string[] =>
  (node.feed.view.queries.current()?.clusters.get('lookup')?.endpoints ?? [])
    .filter(({ state }) => state === 'ready')
    .map(({ id }) => id)
    .sort();

const sleep = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

/** Longer than the period in which a node reports its whole subtree again. */
const settledMs = 4_000;

// Guards against an endpoint that left while all control instances were down, or while a node was
// cut off, and is in use again after they are back.
describe('an endpoint that left', () => {
  (['running', 'cut off'] as const).forEach((state) => {
    it(`is not in use after all control instances restarted, at a node that was ${state}`, async () => {
      const source = createManualSource();
      const address = await findFreeAddress();
      const proxy = await startFaultProxy({ target: address, host: '127.0.0.1' });
      let control = await startControl({ name: 'control-a', address }, source);
      const version = source.commit(createConfiguration(['lookup']));
      const direct = [{ address, dataCentre: 'dc-a' }];
      const leaving = await startNode({ name: 'leaving' }, direct);
      const staying = await startNode({ name: 'staying' }, direct);
      const observer = await startNode({ name: 'observer' }, [
        { address: proxy.address, dataCentre: 'dc-a' },
      ]);
      const stops = [leaving, staying, observer].map(({ stop }) => stop);
      try {
        leaving.feed.announcer.announce(createEndpoint('endpoint-leaving', 'lookup'));
        staying.feed.announcer.announce(createEndpoint('endpoint-staying', 'lookup'));
        await waitUntil(
          () =>
            observer.feed.view.queries.current()?.version.index === version.index &&
            endpointIdsOf(observer).length === 2,
          'both endpoints at the observer',
        );
        if (state === 'cut off') {
          proxy.set({ toServer: { silent: true }, toClient: { silent: true } });
        }
        await control.stop();
        leaving.feed.announcer.withdraw('endpoint-leaving');
        control = await startControl({ name: 'control-a', address }, source);
        proxy.heal();
        proxy.reset();
        await waitUntil(
          () => endpointIdsOf(observer).join() === 'endpoint-staying',
          'the withdrawal at the observer',
        );
        const until = performance.now() + settledMs;
        while (performance.now() < until) {
          assert.ok(!endpointIdsOf(observer).includes('endpoint-leaving'));
          await sleep(50);
        }
      } finally {
        await Promise.all(stops.map((stop) => stop()));
        await control.stop();
        await proxy.close();
      }
    });
  });
});
