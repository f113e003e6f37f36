import { configs, plugins } from 'eslint-config-airbnb-extended';
import prettier from 'eslint-config-prettier';

export default [
  {
    ignores: ['dist/**', 'node_modules/**', 'src/gen/**', 'coverage/**', 'journal/**', 'target/**'],
  },
  plugins.stylistic,
  plugins.importX,
  plugins.node,
  plugins.typescriptEslint,
  ...configs.base.recommended,
  ...configs.node.recommended,
  ...configs.base.typescript,
  {
    rules: {
      // The package has named exports only, see docs/design.md, House style.
      'import-x/prefer-default-export': 'off',
      // Node.js ESM needs the extension of the emitted file.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      // node:test, Headers and import.meta.filename are complete enough in the supported 20.x.
      'n/no-unsupported-features/node-builtins': 'off',
      // The product logs through winston. Scripts may print, see below.
      'no-console': ['error'],
      // Retries and streams need loops that await sequentially.
      'no-await-in-loop': 'off',
      // for...of is supported by every Node.js version that this project runs on.
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      // Closures share mutable state objects, so writes to properties of parameters are allowed.
      'no-param-reassign': ['error', { props: false }],
      '@typescript-eslint/no-use-before-define': ['error', { functions: false, variables: false }],
    },
  },
  {
    files: ['scripts/**', 'bench/**', '__tests__/**', 'standins/**', 'eslint.config.js'],
    rules: {
      'no-console': 'off',
      'import-x/no-extraneous-dependencies': 'off',
      'no-await-in-loop': 'off',
      'n/no-sync': 'off',
      'n/no-process-exit': 'off',
    },
  },
  prettier,
];
