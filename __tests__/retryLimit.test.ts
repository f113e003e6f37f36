import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudgets } from '../src/core/calls/retry.js';
import { parsePlatformSettings, toRetryBudgets } from '../src/platform/settings.js';
import { createRandom } from './support/fleet.js';

const limit = { share: 0.2, windowMs: 10_000, spare: 56 };
const service = 's';
const stepMs = 50;
const dayMs = 120_000;

const settings = parsePlatformSettings(
  [
    'node=n',
    'ip=10.0.0.1',
    'zone=z',
    'internal_ports=7000,7010',
    `bounds=retry_budget_ratio=${limit.share},budget_window_s=10,retry_budget_slack=${limit.spare}`,
  ].join('\n'),
  'local.conf',
);

interface Load {
  /** Calls a second at one node, at a time of the day in ms. */
  readonly callsPerSecond: (node: number, at: number) => number;
  /** Whether calls fail at that time, so that every call is repeated if the budget lets it. */
  readonly isFailing: (at: number) => boolean;
}

const constant = () => 40;
const loads: Record<string, Load> = {
  'a long quiet time and then a failure of everything': {
    callsPerSecond: constant,
    isFailing: (at) => at > 90_000,
  },
  'a failure that comes and goes': {
    callsPerSecond: constant,
    isFailing: (at) => Math.floor(at / 3_000) % 2 === 0,
  },
  'traffic that ends while everything fails': {
    callsPerSecond: (_node, at) => (at < 60_000 ? 80 : 2),
    isFailing: (at) => at > 55_000,
  },
  'traffic that moves from node to node': {
    callsPerSecond: (node, at) => (Math.floor(at / 5_000) % 9 === node ? 300 : 1),
    isFailing: () => true,
  },
};

/** Calls and repeats of all nodes by step of the day. */
const play = ({ callsPerSecond, isFailing }: Load, nodes: number, classes: number) => {
  const random = createRandom(7);
  const budgets = Array.from({ length: nodes }, () => createRetryBudgets(toRetryBudgets(settings)));
  const steps = Array.from({ length: dayMs / stepMs }, () => ({ calls: 0, repeats: 0 }));
  steps.forEach((step, index) => {
    const at = index * stepMs;
    budgets.forEach((budgetOf, node) => {
      const count = Math.floor((callsPerSecond(node, at) * stepMs) / 1_000 + random());
      for (let call = 0; call < count; call += 1) {
        const budget = budgetOf(`class-${Math.floor(random() * classes)}`, service);
        budget.commands.recordCall(at);
        step.calls += 1;
        // One call may be repeated more than once.
        while (isFailing(at) && random() < 0.9 && budget.commands.spend(at)) {
          step.repeats += 1;
        }
      }
    });
  });
  return steps;
};

// Guards against budgets that save up repeats in quiet times and spend them all in one window.
describe('repeats of all nodes together', () => {
  Object.entries(loads).forEach(([name, load]) =>
    it(`keep to the limit in every window under ${name}`, () => {
      const steps = play(load, 9, 5);
      const windowSteps = limit.windowMs / stepMs;
      const sum = (from: number, field: 'calls' | 'repeats') =>
        steps
          .slice(Math.max(0, from), Math.max(0, from + windowSteps))
          .reduce((total, step) => total + step[field], 0);
      let most = 0;
      for (let from = 0; from + windowSteps <= steps.length; from += 1) {
        const calls = Math.max(
          sum(from, 'calls'),
          sum(from - windowSteps / 2, 'calls'),
          sum(from - windowSteps, 'calls'),
        );
        const repeats = sum(from, 'repeats');
        most = Math.max(most, repeats);
        const allowed = limit.share * calls + limit.spare;
        assert.ok(repeats <= allowed, `at ${from * stepMs} ms: ${repeats} of ${allowed}`);
      }
      assert.ok(most > 0, 'some calls were repeated');
    }),
  );
});
