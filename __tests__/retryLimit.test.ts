import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { createRetryBudgets } from '../src/core/calls/retry.js';
import { parsePlatformSettings, toRetryBudgets } from '../src/platform/settings.js';
import { createRandom } from './support/routingFixtures.js';

const limit = { share: 0.2, windowMs: 10_000, slack: 56 };
const service = 's';
const stepMs = 50;
const durationMs = 120_000;

/** Settings of the platform with this slack. */
const settingsWith = (slack: number) =>
  parsePlatformSettings(
    [
      'node=n',
      'ip=10.0.0.1',
      'zone=z',
      'internal_ports=7000,7010',
      `bounds=retry_budget_ratio=${limit.share},budget_window_s=10,retry_budget_slack=${slack}`,
    ].join('\n'),
    'local.conf',
  );

interface Scenario {
  /** Calls per second at one node, at a time in ms since the start of the simulation. */
  readonly callsPerSecond: (node: number, at: number) => number;
  /** Whether calls fail at that time, so that they are retried if the budget permits it. */
  readonly isFailing: (at: number) => boolean;
}

const constant = () => 40;
const scenarios: Record<string, Scenario> = {
  'a long time without failures and then a failure of all calls': {
    callsPerSecond: constant,
    isFailing: (at) => at > 90_000,
  },
  'an intermittent failure': {
    callsPerSecond: constant,
    isFailing: (at) => Math.floor(at / 3_000) % 2 === 0,
  },
  'traffic that stops while all calls fail': {
    callsPerSecond: (_node, at) => (at < 60_000 ? 80 : 2),
    isFailing: (at) => at > 55_000,
  },
  'traffic that moves from node to node': {
    callsPerSecond: (node, at) => (Math.floor(at / 5_000) % 9 === node ? 300 : 1),
    isFailing: () => true,
  },
};

/** Returns the calls and retries of all nodes for each step of the simulation. */
const simulate = (
  { callsPerSecond, isFailing }: Scenario,
  nodes: number,
  classes: number,
  slack = limit.slack,
) => {
  const random = createRandom(7);
  const settings = settingsWith(slack);
  const budgets = Array.from({ length: nodes }, () =>
    createRetryBudgets(toRetryBudgets(settings), () => nodes),
  );
  const steps = Array.from({ length: durationMs / stepMs }, () => ({ calls: 0, retries: 0 }));
  steps.forEach((step, index) => {
    const at = index * stepMs;
    budgets.forEach((budgetOf, node) => {
      const count = Math.floor((callsPerSecond(node, at) * stepMs) / 1_000 + random());
      for (let call = 0; call < count; call += 1) {
        const budget = budgetOf(`class-${Math.floor(random() * classes)}`, service);
        budget.commands.recordCall(at);
        step.calls += 1;
        // A call may be retried more than once.
        while (isFailing(at) && random() < 0.9 && budget.commands.spend(at)) {
          step.retries += 1;
        }
      }
    });
  });
  return steps;
};

// Guards against budgets that accumulate retries in times without failures and then spend all of
// them in one window.
describe('retries of all nodes together', () => {
  Object.entries(scenarios).forEach(([name, scenario]) =>
    it(`keep to the limit in every window with ${name}`, () => {
      const steps = simulate(scenario, 9, 5);
      const windowSteps = limit.windowMs / stepMs;
      const sum = (from: number, field: 'calls' | 'retries') =>
        steps
          .slice(Math.max(0, from), Math.max(0, from + windowSteps))
          .reduce((total, step) => total + step[field], 0);
      let maxRetries = 0;
      for (let from = 0; from + windowSteps <= steps.length; from += 1) {
        const calls = Math.max(
          sum(from, 'calls'),
          sum(from - windowSteps / 2, 'calls'),
          sum(from - windowSteps, 'calls'),
        );
        const retries = sum(from, 'retries');
        maxRetries = Math.max(maxRetries, retries);
        const allowed = limit.share * calls + limit.slack;
        assert.ok(retries <= allowed, `at ${from * stepMs} ms: ${retries} of ${allowed}`);
      }
      assert.ok(maxRetries > 0, 'some calls were retried');
    }),
  );

  // Guards against a small fleet that leaves most of its slack unused while calls fail.
  it('use at least a third of the slack in a fleet of 9 nodes with few calls', () => {
    const slack = 56;
    const steps = simulate({ callsPerSecond: () => 0.5, isFailing: () => true }, 9, 2, slack);
    const retries = steps
      .slice(0, limit.windowMs / stepMs)
      .reduce((sum, step) => sum + step.retries, 0);
    assert.ok(retries >= slack / 3, `${retries} retries`);
  });

  // Guards against a slack for each node that adds up to more than the limit in a large fleet.
  it('keep to the limit in a fleet of 400 nodes with few calls', () => {
    const slack = 420;
    const steps = simulate({ callsPerSecond: () => 0.5, isFailing: () => true }, 400, 5, slack);
    const windowSteps = limit.windowMs / stepMs;
    for (let from = windowSteps; from + windowSteps <= steps.length; from += 1) {
      const window = steps.slice(from, from + windowSteps);
      const retries = window.reduce((sum, step) => sum + step.retries, 0);
      const calls = window.reduce((sum, step) => sum + step.calls, 0);
      assert.ok(retries <= limit.share * calls + slack, `at ${from * stepMs} ms: ${retries}`);
    }
  });
});
