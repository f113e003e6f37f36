import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createParentChoice } from '../src/core/distribution/parentChoice.js';
import { createRandom } from './support/routingFixtures.js';

const control = (name: string, dataCentre: string) => ({ address: name, dataCentre });

const createChoice = (controls = [control('own', 'a'), control('far', 'b')], peers = ['peer']) =>
  createParentChoice({
    dataCentre: 'a',
    ownAddress: 'self',
    controls,
    peers,
    random: createRandom(5),
  });

describe('choice of a parent', () => {
  it('tries another control instance before the peers if the own one is unresponsive', () => {
    const choice = createChoice();
    assert.equal(choice.commands.chooseParent(0)?.address, 'own');
    choice.commands.silent('own', 0);
    // Otherwise nodes that lost the same parent would attach to each other.
    assert.equal(choice.commands.chooseParent(1)?.address, 'far');
  });

  it('retries an unresponsive parent after a while, since most freezes are short', () => {
    const choice = createChoice([control('own', 'a')], []);
    choice.commands.silent('own', 0);
    assert.equal(choice.commands.chooseParent(1)?.address, 'own', 'better than none');
    const other = createChoice();
    other.commands.silent('own', 0);
    assert.deepEqual(
      [3_500, 3_501, 3_502].map((now) => other.commands.chooseParent(now)?.address).includes('own'),
      true,
    );
  });

  it('waits at most 0.4 s where nothing listens, so that a starting fleet attaches quickly', () => {
    const choice = createChoice();
    for (let tries = 0; tries < 40; tries += 1) {
      const attempt = choice.commands.chooseParent(tries);
      assert.ok(attempt && attempt.delayMs <= 400, `try ${tries}: ${attempt?.delayMs} ms`);
      choice.commands.refused();
    }
  });

  it('learns the control instances from its parent, and tries seeds that are none last', () => {
    const choice = createChoice([control('seed', '')], []);
    assert.equal(choice.commands.chooseParent(0)?.address, 'seed');
    choice.commands.learnControls([control('new-own', 'a'), control('new-far', 'b')]);
    assert.deepEqual(choice.queries.localControls(), ['new-own']);
    assert.deepEqual(choice.queries.remoteControls(), ['new-far', 'seed']);
    assert.deepEqual(
      choice.queries.controls().map(({ address }) => address),
      ['new-own', 'new-far'],
    );
  });
});
