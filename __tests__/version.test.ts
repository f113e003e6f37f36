import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import {
  compareVersions,
  formatVersion,
  isNewer,
  parseVersion,
} from '../src/core/agreement/version.js';

describe('version', () => {
  it('orders by term before index, so that a deposed leader cannot outnumber its successor', () => {
    assert.ok(isNewer({ term: 3, index: 7 }, { term: 2, index: 9 }));
    assert.equal(compareVersions({ term: 2, index: 9 }, { term: 2, index: 9 }), 0);
  });

  it('reads back its own text form and refuses any other', () => {
    assert.deepEqual(parseVersion(formatVersion({ term: 4, index: 12 })), { term: 4, index: 12 });
    ['', '4', '4.', '-1.2', '1.2.3', 'a.b'].forEach((text) => {
      assert.equal(parseVersion(text), undefined);
    });
  });
});
