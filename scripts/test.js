/**
 * Runs all checks of CI: formatter, linter, type checker, build and tests. Module tests run first
 * and in parallel. Tests that start processes (`*.process.test.ts`) run after them with less
 * concurrency. Failures that KNOWN-RED.txt lists by name are printed and do not fail the run.
 */
import { spawnSync } from 'node:child_process';
import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { join } from 'node:path';
import { run } from 'node:test';
import { spec as Spec } from 'node:test/reporters';
import { build } from './build.js';
import { installMissingDependencies } from './install.js';

const moduleTestConcurrency = 8;
const processTestConcurrency = 3;
const testTimeoutMs = 240_000;

installMissingDependencies();

const knownRed = existsSync('KNOWN-RED.txt')
  ? [...readFileSync('KNOWN-RED.txt', 'utf8').matchAll(/^test: (.+)$/gm)].map(([, name]) =>
      name.trim(),
    )
  : [];

const check = (command, args) => {
  const { status } = spawnSync(command, args, { stdio: 'inherit' });
  if (status !== 0) {
    console.log(`${command} ${args.join(' ')} failed`);
    process.exit(1);
  }
};

const runFiles = (files, concurrency, totals) =>
  new Promise((resolve) => {
    if (files.length === 0) {
      resolve();
      return;
    }
    const events = run({ files, concurrency, timeout: testTimeoutMs });
    const isSuite = ({ details }) => details.type === 'suite';
    const isFile = ({ name }) => files.some((file) => name === file || name.endsWith(file));
    const isFailureOfSubtests = ({ details }) => details.error?.failureType === 'subtestsFailed';
    events.on('test:pass', (test) => {
      if (!isSuite(test) && !isFile(test)) {
        totals.passed += 1;
      }
    });
    events.on('test:fail', (test) => {
      if (isFailureOfSubtests(test)) {
        return;
      }
      if (knownRed.includes(test.name)) {
        totals.known.push(test.name);
        return;
      }
      totals.failed.push(test.name);
    });
    events.compose(new Spec()).pipe(process.stdout, { end: false });
    events.on('end', resolve);
  });

const selected = process.argv.slice(2);
const allTests = readdirSync('__tests__', { recursive: true })
  .map(String)
  .filter((file) => file.endsWith('.test.ts'))
  .map((file) => join('__tests__', file))
  .filter((file) => selected.length === 0 || selected.some((part) => file.includes(part)))
  .sort();

if (selected.length === 0) {
  check('npx', ['prettier', '--check', '.']);
  check('npx', ['eslint', '--max-warnings', '0', '.']);
  check('npx', ['tsc', '--noEmit']);
}
await build();

process.env.NODE_OPTIONS = '--import tsx';
const totals = { passed: 0, failed: [], known: [] };
const isProcessTest = (file) => file.endsWith('.process.test.ts');
await runFiles(
  allTests.filter((file) => !isProcessTest(file)),
  moduleTestConcurrency,
  totals,
);
await runFiles(allTests.filter(isProcessTest), processTestConcurrency, totals);

totals.known.forEach((name) => console.log(`known red, see KNOWN-RED.txt: ${name}`));
totals.failed.forEach((name) => console.log(`failed: ${name}`));
console.log(`${totals.passed} passed, ${totals.failed.length} failed`);
process.exitCode = totals.failed.length === 0 ? 0 : 1;
