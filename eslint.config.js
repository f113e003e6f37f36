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
      // One barrel of named exports: see docs/design.md, House style.
      'import-x/prefer-default-export': 'off',
      // Node.js ESM needs the extension of the emitted file.
      'import-x/extensions': 'off',
      'import-x/no-unresolved': 'off',
      // node:test, Headers and import.meta.filename are complete enough in the supported 20.x.
      'n/no-unsupported-features/node-builtins': 'off',
      // Logs go through winston; scripts print.
      'no-console': ['error'],
      // Loops that await in turn are the point of a retry or a stream.
      'no-await-in-loop': 'off',
      // for...of is supported by every Node.js version that this project runs on.
      'no-restricted-syntax': 'off',
      'no-continue': 'off',
      // State of a part lives in objects that its functions close over.
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
