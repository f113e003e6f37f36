/**
 * Installs the dependencies if they are missing, so that the commands in the README work in a clean
 * clone.
 */
import { spawnSync } from 'node:child_process';
import { existsSync } from 'node:fs';

export const installMissingDependencies = () => {
  if (existsSync('node_modules/.package-lock.json')) {
    return;
  }
  const { status } = spawnSync('npm', ['ci', '--no-audit', '--no-fund'], { stdio: 'inherit' });
  if (status !== 0) {
    process.exit(status ?? 1);
  }
};
