/**
 * Quick start: `npm run quickstart` runs the road service of examples/wegendienst as local
 * processes in a temporary folder, with traffic and a change of its targets, until Ctrl-C. With
 * `--check` it verifies the outcome, prints one JSON object as its last line and exits with 0 or 1.
 */
import { existsSync, mkdtempSync, readFileSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { build } from './build.js';
import { startTraffic } from './quickstartTraffic.js';

const { values } = parseArgs({
  options: {
    check: { type: 'boolean', default: false },
    // For tests, which use an existing build that other tests use at the same time.
    'no-build': { type: 'boolean', default: false },
  },
});
const root = join(import.meta.dirname, '..');
const trafficBeforeChangeMs = 5_000;
const trafficAfterChangeMs = 5_000;
const statusEveryMs = 10_000;
// Limit of the convergence time that the design page requires.
const convergedLimitMs = 7_000;
const limitMs = 110_000;

const dataCentreNames = ['depot-gent', 'depot-aalst', 'stadhuis-dc'];

const deploymentOptions = (folder) => ({
  name: 'wegendienst',
  folder,
  onProgress: (line) => console.log(line),
  dataCentres: dataCentreNames.map((name) => ({
    name,
    region: 'oost-vlaanderen',
    upstreams: [
      { service: 'routedienst', count: 2, slots: 10, connections: 100 },
      { service: 'velddienst', count: 1, slots: 10, connections: 100 },
    ],
  })),
});

const sleep = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const runCli = async (deployment, args) => {
  const { exitCode, stdout, stderr } = await deployment.cli(args);
  if (exitCode !== 0) {
    throw new Error(`auburnsill ${args[0]} ended with ${exitCode}\n${stdout}\n${stderr}`);
  }
  return stdout;
};

const changeTargets = async (deployment, targets) => {
  const file = join(deployment.folder, 'targets-2.toml');
  writeFileSync(file, targets.replace('answer_within = "250ms"', 'answer_within = "200ms"'));
  console.log('\nfield-lookup has to answer within 200 ms instead of 250 ms from now on');
  const result = JSON.parse(await runCli(deployment, ['apply', file, '--wait', '--json']));
  result.difference.forEach((line) => console.log(`  ${line}`));
  console.log(
    `version ${result.version} is in force on every proxy after ${result.converged_ms} ms`,
  );
  return result;
};

const writeReport = async (deployment) => {
  const html = join(deployment.folder, 'burn.html');
  const nodes = deployment.nodes.map(({ admin }) => admin).join(',');
  console.log(`\n${await runCli(deployment, ['report', '--nodes', nodes, '--html', html])}`);
  console.log(`the burn report is at ${html}`);
  return html;
};

/** Counts repeated runs of idempotency keys over all upstreams, and keys that never ran. */
const countDuplicates = async (deployment, keys) => {
  const runs = new Map();
  for (const { upstream } of deployment.nodes) {
    const { byKey } = await upstream.counters();
    Object.entries(byKey).forEach(([key, count]) => runs.set(key, (runs.get(key) ?? 0) + count));
  }
  const lost = keys.filter((key) => !runs.has(key));
  const duplicates = [...runs.values()].reduce((sum, count) => sum + count - 1, 0);
  return { duplicates, lost: lost.length };
};

const printTraffic = ({ counts }) =>
  Object.entries(counts).forEach(([name, { calls, failed }]) =>
    console.log(`  ${name}: ${calls} calls, ${failed} failed`),
  );

/** Returns the versions that the nodes have in force, according to their response headers. */
const versionsServed = async (deployment) =>
  new Set(
    await Promise.all(
      deployment.nodes.map(async ({ calls }) => {
        const response = await fetch(`http://${calls}/poles/1`);
        await response.arrayBuffer();
        return response.headers.get('x-config-version');
      }),
    ),
  );

const findProblems = ({ traffic, change, served, duplicates, lost, html, requiredClasses }) => {
  const problems = [];
  const expect = (holds, text) => {
    if (!holds) {
      problems.push(text);
    }
  };
  expect(traffic.failed() === 0, `${traffic.failed()} calls failed: ${traffic.failures[0]}`);
  Object.entries(traffic.counts).forEach(([name, { calls }]) =>
    expect(calls > 0, `no call of ${name} was made`),
  );
  expect(duplicates === 0, `${duplicates} confirmations ran more than once`);
  expect(lost === 0, `${lost} confirmations did not run`);
  expect(change.outcome === 'accepted', `the change was ${change.outcome}`);
  expect(change.converged_ms > 0, 'no convergence time was reported');
  expect(change.converged_ms < convergedLimitMs, `converged after ${change.converged_ms} ms`);
  expect(served.size === 1 && served.has(change.version), `nodes serve ${[...served].join(', ')}`);
  const page = existsSync(html) ? readFileSync(html, 'utf8') : '';
  requiredClasses.forEach((name) => expect(page.includes(name), `the report misses ${name}`));
  return problems;
};

const printStatusUntilStopped = async (deployment, traffic, signal) => {
  console.log('\nCtrl-C ends the deployment.');
  while (!signal.aborted) {
    await sleep(statusEveryMs);
    if (!signal.aborted) {
      printTraffic(traffic);
      await writeReport(deployment);
    }
  }
};

const findLeftovers = (deployment) => [
  ...deployment
    .processes()
    .filter((managed) => managed.isRunning())
    .map(({ name }) => `${name} still runs`),
  ...(existsSync(deployment.folder) ? [`${deployment.folder} still exists`] : []),
];

const runDemonstration = async (deployment, stopSignal) => {
  const targets = readFileSync(join(root, 'examples/wegendienst/targets.toml'), 'utf8');
  console.log(`files are in ${deployment.folder}`);
  console.log(await runCli(deployment, ['status']));
  const traffic = startTraffic(deployment.nodes.map(({ calls }) => calls));
  try {
    console.log('\nsending lookups, confirmations, map tiles and pole counts');
    await sleep(trafficBeforeChangeMs);
    const change = await changeTargets(deployment, targets);
    await sleep(trafficAfterChangeMs);
    const servedVersions = await versionsServed(deployment);
    console.log(`\n${await runCli(deployment, ['status'])}`);
    printTraffic(traffic);
    const html = await writeReport(deployment);
    if (!values.check) {
      await printStatusUntilStopped(deployment, traffic, stopSignal);
      return undefined;
    }
    await traffic.stop();
    const { duplicates, lost } = await countDuplicates(deployment, traffic.keys);
    const requiredClasses = Object.keys(traffic.counts);
    const problems = findProblems({
      traffic,
      change,
      served: servedVersions,
      duplicates,
      lost,
      html,
      requiredClasses,
    });
    return {
      ok: problems.length === 0,
      converged_ms: change.converged_ms,
      calls: traffic.calls(),
      failed: traffic.failed(),
      duplicates,
      ...(problems.length > 0 ? { problems } : {}),
    };
  } finally {
    await traffic.stop();
  }
};

if (!values['no-build']) {
  await build();
}
const { register } = await import('tsx/esm/api');
register();
const { startDeployment } = await import('../__tests__/support/deployment.ts');

const folder = mkdtempSync(join(tmpdir(), 'auburnsill-quickstart-'));
const stopController = new AbortController();
const running = {};
const shutDown = async (code) => {
  // npm forwards the signal of Ctrl-C, so it arrives twice.
  if (stopController.signal.aborted) {
    return;
  }
  stopController.abort();
  await running.deployment?.stop();
  rmSync(folder, { recursive: true, force: true });
  process.exit(code);
};
process.on('SIGINT', () => shutDown(0));
process.on('SIGTERM', () => shutDown(0));
if (values.check) {
  setTimeout(() => {
    console.log(JSON.stringify({ ok: false, problems: [`not done within ${limitMs} ms`] }));
    shutDown(1);
  }, limitMs).unref();
}

try {
  running.deployment = await startDeployment({
    ...deploymentOptions(folder),
    targets: readFileSync(join(root, 'examples/wegendienst/targets.toml'), 'utf8'),
  });
  const result = await runDemonstration(running.deployment, stopController.signal);
  await running.deployment.stop(result?.ok === false);
  if (result) {
    const leftovers = findLeftovers(running.deployment);
    const ok = result.ok && leftovers.length === 0;
    const problems = [...(result.problems ?? []), ...leftovers];
    console.log(JSON.stringify({ ...result, ok, ...(ok ? {} : { problems }) }));
    process.exit(ok ? 0 : 1);
  }
} catch (error) {
  await running.deployment?.stop(true);
  console.error(error);
  if (values.check) {
    console.log(JSON.stringify({ ok: false, problems: [error.message] }));
  }
  process.exit(1);
}
