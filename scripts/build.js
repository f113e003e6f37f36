/**
 * Bundles the binaries and the stand-in upstream into dist/.
 */
import { existsSync } from 'node:fs';
import { installMissingDependencies } from './install.js';

const entryPoints = {
  auburnsill: 'src/bin/auburnsill.ts',
  'auburnsill-control': 'src/bin/control.ts',
  'auburnsill-node': 'src/bin/node.ts',
  'platform-control': 'src/platform/control.ts',
  'platform-node': 'src/platform/node.ts',
  'stand-in-upstream': 'standins/upstream.ts',
};

const isPresent = ([, file]) => existsSync(file);

export const build = async () => {
  installMissingDependencies();
  const { build: bundle } = await import('esbuild');
  await bundle({
    entryPoints: Object.fromEntries(Object.entries(entryPoints).filter(isPresent)),
    outdir: 'dist',
    bundle: true,
    platform: 'node',
    target: 'node20',
    format: 'esm',
    sourcemap: 'linked',
    logLevel: 'warning',
    banner: {
      js: "import { createRequire as createRequireOfBundle } from 'node:module'; const require = createRequireOfBundle(import.meta.url);",
    },
  });
};

if (process.argv[1] === import.meta.filename) {
  await build();
}
