/**
 * Bundles the programs that run on the platform into target/. It calls the binary of the bundler,
 * so that only the packages in the lock file have to be installed.
 */
import { spawnSync } from 'node:child_process';

const entryPoints = {
  'auburnsill-control': 'src/platform/control.ts',
  'auburnsill-node': 'src/platform/node.ts',
};
const banner =
  "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);";

const { status } = spawnSync(
  'node_modules/esbuild/bin/esbuild',
  [
    ...Object.entries(entryPoints).map(([name, file]) => `${name}=${file}`),
    '--outdir=target',
    '--bundle',
    '--platform=node',
    '--target=node20',
    '--format=esm',
    '--log-level=warning',
    // Node.js keeps the source text in memory, so it is minified. Names are kept for stack traces.
    '--minify-whitespace',
    '--minify-syntax',
    `--banner:js=${banner}`,
  ],
  { stdio: 'inherit' },
);
process.exitCode = status ?? 1;
