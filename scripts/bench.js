/**
 * Runs one benchmark: `npm run bench -- NAME [--json]` runs bench/NAME.ts. A benchmark exports
 * `run({ print, options })`, which returns the results. With --json they are printed as one JSON
 * object on the last line. Other options are passed to the benchmark.
 */
import { readdirSync } from 'node:fs';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { build } from './build.js';

const { values, positionals, tokens } = parseArgs({
  options: { json: { type: 'boolean', default: false } },
  allowPositionals: true,
  strict: false,
  tokens: true,
});
const [name] = positionals;
const folder = join(import.meta.dirname, '..', 'bench');
const names = readdirSync(folder)
  .filter((file) => file.endsWith('.ts'))
  .map((file) => file.slice(0, -'.ts'.length));

if (!names.includes(name)) {
  console.error(`usage: npm run bench -- NAME [--json]\nbenchmarks: ${names.join(', ')}`);
  process.exit(2);
}

const options = Object.fromEntries(
  tokens
    .filter(({ kind, name: option }) => kind === 'option' && option !== 'json')
    .map(({ name: option, value }) => [option, value ?? true]),
);

await build();
const { register } = await import('tsx/esm/api');
register();
const { run } = await import(join(folder, `${name}.ts`));
const figures = await run({
  print: values.json ? () => undefined : console.log,
  options,
});
console.log(values.json ? JSON.stringify(figures) : JSON.stringify(figures, null, 2));
process.exit(0);
