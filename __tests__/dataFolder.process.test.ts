import assert from 'node:assert/strict';
import { readdirSync, readFileSync, writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { afterEach, beforeEach, describe, it } from 'node:test';
import {
  formatControlSettings,
  createProcessSandbox,
  type ProcessSandbox,
} from './support/processSandbox.js';
import { waitFor } from './support/waitFor.js';

describe('the data folder of a control instance', () => {
  let workshop: ProcessSandbox;

  beforeEach(() => {
    workshop = createProcessSandbox();
  });

  afterEach(() => workshop.close());

  const startFirst = async () => {
    const file = workshop.write('control.toml', formatControlSettings({}));
    const first = workshop.start('auburnsill-control', '--settings', file, '--bootstrap');
    await waitFor(() => first.output().some((line) => line.includes('control: started')), {
      what: 'the start of the first instance',
    });
    return { file, first };
  };

  const identityFile = (): string => {
    const folder = join(workshop.folder, 'data');
    const name = readdirSync(folder).find((entry) => entry.startsWith('identity'));
    assert.ok(name, 'the folder has no identity file');
    return join(folder, name);
  };

  // Guards against two processes that write to the same log.
  it('is refused to a second process while the first one runs', async () => {
    const { file, first } = await startFirst();
    const second = await workshop.run('auburnsill-control', '--settings', file);
    assert.equal(second.exitCode, 1);
    assert.match(second.stderr, /E103 data folder is in use.*process \d+/);
    assert.ok(first.isRunning());
  });

  it('is taken over after its process was killed', async () => {
    const { file, first } = await startFirst();
    await first.end('SIGKILL');
    const second = workshop.start('auburnsill-control', '--settings', file);
    await waitFor(() => second.output().some((line) => line.includes('control: started')));
    assert.equal(await second.end('SIGTERM'), 0);
  });

  // Guards against an instance that votes with the log of another instance.
  it('is refused to another instance and to another cluster', async () => {
    const { first } = await startFirst();
    await first.end('SIGTERM');
    const otherName = workshop.write('name.toml', formatControlSettings({ name: 'control-b' }));
    const otherCluster = workshop.write(
      'cluster.toml',
      formatControlSettings({ cluster: 'other' }),
    );
    for (const file of [otherName, otherCluster]) {
      const { exitCode, stderr } = await workshop.run('auburnsill-control', '--settings', file);
      assert.equal(exitCode, 1);
      assert.match(stderr, /E104 data folder belongs to another instance or format/);
    }
  });

  // Guards against an older version of the program that misreads the data of a newer one.
  it('is refused if a newer format wrote it', async () => {
    const { file, first } = await startFirst();
    await first.end('SIGTERM');
    const identity = JSON.parse(readFileSync(identityFile(), 'utf8'));
    writeFileSync(identityFile(), JSON.stringify({ ...identity, format: identity.format + 1 }));
    const { exitCode, stderr } = await workshop.run('auburnsill-control', '--settings', file);
    assert.equal(exitCode, 1);
    assert.match(stderr, /E104 .*format 2/);
  });

  it('is refused if its identity is damaged', async () => {
    const { file, first } = await startFirst();
    await first.end('SIGTERM');
    writeFileSync(identityFile(), readFileSync(identityFile(), 'utf8').slice(0, -10));
    const { exitCode, stderr } = await workshop.run('auburnsill-control', '--settings', file);
    assert.equal(exitCode, 1);
    assert.match(stderr, /E10[45] /);
  });
});
