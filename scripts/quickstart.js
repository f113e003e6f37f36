/**
 * Quick start: `npm run quickstart` runs the road service of examples/wegendienst as local processes
 * in a temporary folder, with traffic and a change of its targets, until Ctrl-C. With `--check` it
 * checks all of that by itself, prints one JSON object as its last line and ends with 0 or 1.
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
    // For tests, which run from a finished build that others use at the same time.
    'no-build': { type: 'boolean', default: false },
  },
});
const root = join(import.meta.dirname, '..');
const warmTrafficMs = 5_000;
const trafficAfterChangeMs = 5_000;
const statusEveryMs = 10_000;
// Convergence that the design page asks for.
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

/** Runs of each idempotency key, over all upstreams, beyond the first. */
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

/** Version that each node itself has in force, as it says on its answers. */
const versionsServed = async (deployment) =>
  new Set(
    await Promise.all(
      deployment.nodes.map(async ({ calls }) => {
        const answer = await fetch(`http://${calls}/poles/1`);
        await answer.arrayBuffer();
        return answer.headers.get('x-config-version');
      }),
    ),
  );

const problemsOf = ({ traffic, change, served, duplicates, lost, html, requiredClasses }) => {
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

const showUntilStopped = async (deployment, traffic, signal) => {
  console.log('\nCtrl-C ends the deployment.');
  while (!signal.aborted) {
    await sleep(statusEveryMs);
    if (!signal.aborted) {
      printTraffic(traffic);
      await writeReport(deployment);
    }
  }
};

const leftBehind = (deployment) => [
  ...deployment
    .processes()
    .filter((managed) => managed.isRunning())
    .map(({ name }) => `${name} still runs`),
  ...(existsSync(deployment.folder) ? [`${deployment.folder} still exists`] : []),
];

const demonstrate = async (deployment, stopSignal) => {
  const targets = readFileSync(join(root, 'examples/wegendienst/targets.toml'), 'utf8');
  console.log(`files are in ${deployment.folder}`);
  console.log(await runCli(deployment, ['status']));
  const traffic = startTraffic(deployment.nodes.map(({ calls }) => calls));
  try {
    console.log('\nlookups, confirmations, map tiles and pole counts are on their way');
    await sleep(warmTrafficMs);
    const change = await changeTargets(deployment, targets);
    await sleep(trafficAfterChangeMs);
    const served = await versionsServed(deployment);
    console.log(`\n${await runCli(deployment, ['status'])}`);
    printTraffic(traffic);
    const html = await writeReport(deployment);
    if (!values.check) {
      await showUntilStopped(deployment, traffic, stopSignal);
      return undefined;
    }
    await traffic.stop();
    const { duplicates, lost } = await countDuplicates(deployment, traffic.keys);
    const requiredClasses = Object.keys(traffic.counts);
    const problems = problemsOf({
      traffic,
      change,
      served,
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
const stop = new AbortController();
const running = {};
const endNow = async (code) => {
  // npm passes Ctrl-C on, so that it arrives twice.
  if (stop.signal.aborted) {
    return;
  }
  stop.abort();
  await running.deployment?.stop();
  rmSync(folder, { recursive: true, force: true });
  process.exit(code);
};
process.on('SIGINT', () => endNow(0));
process.on('SIGTERM', () => endNow(0));
if (values.check) {
  setTimeout(() => {
    console.log(JSON.stringify({ ok: false, problems: [`not done within ${limitMs} ms`] }));
    endNow(1);
  }, limitMs).unref();
}

try {
  running.deployment = await startDeployment({
    ...deploymentOptions(folder),
    targets: readFileSync(join(root, 'examples/wegendienst/targets.toml'), 'utf8'),
  });
  const result = await demonstrate(running.deployment, stop.signal);
  await running.deployment.stop(result?.ok === false);
  if (result) {
    const left = leftBehind(running.deployment);
    const ok = result.ok && left.length === 0;
    const problems = [...(result.problems ?? []), ...left];
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
