import assert from 'node:assert/strict';
import { afterEach, beforeEach, describe, it } from 'node:test';
import {
  formatControlSettings,
  createProcessSandbox,
  type ProcessSandbox,
} from './support/processSandbox.js';
import { waitFor } from './support/waitFor.js';

/** Settings of a bootstrapping instance whose start blocks, since its second member never runs. */
const waitingSettings = (): string =>
  formatControlSettings({}).replace(
    '}]',
    '}, { name = "control-b", address = "127.0.0.1:1", data_centre = "a", region = "r" }]',
  );

describe('signals to a program that is still starting', () => {
  let workshop: ProcessSandbox;

  beforeEach(() => {
    workshop = createProcessSandbox();
  });

  afterEach(() => workshop.close());

  const startWaiting = async () => {
    const file = workshop.write('control.toml', waitingSettings());
    const program = workshop.start('auburnsill-control', '--settings', file, '--bootstrap');
    const logged = (text: string) =>
      waitFor(() => program.output().some((line) => line.includes(text)), { what: text });
    return { program, logged };
  };

  // Guards against SIGHUP ending a process, its default action, before the start is complete.
  it('do not end it on SIGHUP', async () => {
    const { program, logged } = await startWaiting();
    await logged('waiting for the other members');
    program.signal('SIGHUP');
    await logged('reloading');
    assert.ok(program.isRunning());
  });

  // Guards against a graceful stop that is reported as a failure because it came during the start.
  it('end it with exit code 0 on SIGTERM', async () => {
    const { program, logged } = await startWaiting();
    await logged('waiting for the other members');
    program.signal('SIGTERM');
    assert.equal(await program.waitForExit(), 0);
  });
});
