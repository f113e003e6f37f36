import assert from 'node:assert/strict';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { it } from 'node:test';
import { readPlatformSettings } from '../src/platform/settings.js';
import { watchSettings } from '../src/platform/settingsWatch.js';
import { createSilentLog } from '../src/utils/log.js';
import { createManualTimer } from '../src/utils/timer.js';
import { waitFor } from './support/waitFor.js';

const settingsOf = (service: string) =>
  ['node=n', 'ip=127.0.0.1', 'zone=a', 'internal_ports=7380,7395', `service=${service}`, ''].join(
    '\n',
  );

// Guards against calls that carry the service of an earlier endpoint for good: a change before the
// first check was taken for the initial state of the file.
it('settings that change between their reading and the first check take effect', async (context) => {
  const folder = mkdtempSync(join(tmpdir(), 'auburnsill-settings-'));
  context.after(() => rmSync(folder, { recursive: true, force: true }));
  const file = join(folder, 'local.conf');
  writeFileSync(file, settingsOf('before'));
  const timer = createManualTimer();
  const watch = watchSettings(file, readPlatformSettings(file), timer, createSilentLog());
  writeFileSync(file, settingsOf('after'));
  assert.equal(watch.current().service, 'before');
  timer.advance(1_000);
  await waitFor(() => watch.current().service === 'after', { limitMs: 2_000 });
});
